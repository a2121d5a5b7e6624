// Package relay lets a daemon that cannot reach the table store use it through a
// peer. Peers exchange CBOR frames over WebSocket; each frame is an operation on the
// store or its result.
package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// Operations of a frame.
const (
	opGet    = "get"
	opList   = "list"
	opWatch  = "watch"
	opCommit = "commit"
	// opState requests the state of a job from the peer's dispatcher.
	opState = "state"
	// opEndTerm asks the peer whether its dispatcher has ended all terms before an epoch.
	opEndTerm = "end_term"
	// opGrant asks the peer's dispatcher to admit a job.
	opGrant = "grant"
)

const (
	// maxFrameBytes bounds the size of a frame. The largest one is a listing of all
	// unfinished jobs of a large deployment.
	maxFrameBytes = 16 << 20
	// maxArrayElements bounds the length of each array in a frame.
	maxArrayElements = 1 << 17
	// maxRequestElements bounds it in the frame of an operation. A table service accepts 100
	// rows in a commit.
	maxRequestElements = 128
)

var (
	decoder        = newDecoder(maxArrayElements)
	requestDecoder = newDecoder(maxRequestElements)
)

func newDecoder(maxArrayElements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func encodeFrame(frame *api.RelayFrame) ([]byte, error) {
	data, err := cbor.Marshal(frame)
	return data, eris.Wrap(err, "encode a relay frame")
}

func decodeFrame(data []byte) (*api.RelayFrame, error) { return decodeWith(decoder, data) }

// decodeRequest decodes the frame of an operation.
func decodeRequest(data []byte) (*api.RelayFrame, error) { return decodeWith(requestDecoder, data) }

func decodeWith(mode cbor.DecMode, data []byte) (*api.RelayFrame, error) {
	var frame api.RelayFrame
	if err := mode.Unmarshal(data, &frame); err != nil {
		return nil, eris.Wrap(err, "decode a relay frame")
	}
	return &frame, nil
}

func listingFrame(id uint64, listing table.Listing, err error) *api.RelayFrame {
	frame := &api.RelayFrame{ID: id, Keys: listing.Deleted, Version: listing.Version}
	if err != nil {
		frame.Failure = err.Error()
		frame.HistoryLost = eris.Is(err, table.ErrHistoryLost)
		return frame
	}
	for _, row := range listing.Rows {
		frame.Rows = append(frame.Rows, api.RelayRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return frame
}

func parseListing(frame *api.RelayFrame) (table.Listing, error) {
	switch {
	case frame.HistoryLost:
		return table.Listing{}, table.ErrHistoryLost
	case frame.Failure != "":
		return table.Listing{}, eris.Errorf("through a peer: %s", frame.Failure)
	}
	listing := table.Listing{Deleted: frame.Keys, Version: frame.Version}
	for _, row := range frame.Rows {
		listing.Rows = append(listing.Rows, table.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return listing, nil
}

func commitFrame(conditions []table.Condition, writes []table.Write) *api.RelayFrame {
	frame := &api.RelayFrame{Operation: opCommit}
	for _, c := range conditions {
		frame.Conditions = append(frame.Conditions, api.RelayRow{Key: c.Key, Version: c.Version})
	}
	for _, w := range writes {
		frame.Writes = append(frame.Writes, api.RelayRow{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return frame
}

func parseCommit(frame *api.RelayFrame) ([]table.Condition, []table.Write) {
	var conditions []table.Condition
	for _, c := range frame.Conditions {
		conditions = append(conditions, table.Condition{Key: c.Key, Version: c.Version})
	}
	var writes []table.Write
	for _, w := range frame.Writes {
		writes = append(writes, table.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return conditions, writes
}

func resultFrame(id uint64, result table.CommitResult) *api.RelayFrame {
	frame := &api.RelayFrame{ID: id, Status: int(result.Status), Version: result.Version, Keys: result.Conflicts}
	if result.Err != nil {
		frame.Failure = result.Err.Error()
	}
	return frame
}

func parseResult(frame *api.RelayFrame) table.CommitResult {
	result := table.CommitResult{Status: table.CommitStatus(frame.Status), Version: frame.Version, Conflicts: frame.Keys}
	if result.Status < table.Committed || result.Status > table.Rejected {
		result.Status = table.Unknown
	}
	if frame.Failure != "" {
		result.Err = eris.Errorf("through a peer: %s", frame.Failure)
	}
	return result
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
