package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// Limits on frames, which keep a faulty peer from exhausting memory or stack, the
// protocol version, and the kinds of messages that have no registered handler.
const (
	// DefaultMaxFrameBytes leaves room for a request body of the default maximum size
	// and its envelope.
	DefaultMaxFrameBytes = 4 << 20
	// maxHelloBytes limits the frames of a peer that has not authenticated yet.
	maxHelloBytes     = 4 << 10
	maxNestedLevels   = 16
	maxArrayElements  = 1 << 16
	maxMapEntries     = 1 << 12
	protocolVersion   = 1
	kindHello         = Kind("hello")
	kindHeartbeat     = Kind("heartbeat")
	kindZoneConfirm   = Kind("zone_confirm")
	kindRequestResult = Kind("request_result")
	kindEmpty         = Kind("empty")
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapEntries,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(envelope *api.PeerEnvelope) ([]byte, error) {
	data, err := encoder.Marshal(envelope)
	return data, eris.Wrap(err, "encode a frame")
}

// decode parses and validates a frame. It returns the envelope and the kind of its
// message.
func decode(data []byte) (*api.PeerEnvelope, Kind, error) {
	envelope := &api.PeerEnvelope{}
	if err := decoder.Unmarshal(data, envelope); err != nil {
		return nil, "", eris.Wrap(err, "decode a frame")
	}
	if envelope.Revision < 0 {
		return nil, "", eris.New("a frame has a negative revision")
	}
	kind, count := kindOf(envelope)
	if count > 1 {
		return nil, "", eris.New("a frame has more than one message")
	}
	if kind == kindEmpty && !envelope.Reply {
		return nil, "", eris.New("a frame has no message of a known kind")
	}
	return envelope, kind, nil
}

// kindOf returns the kind of the message in an envelope and the number of messages
// that are set; a valid envelope has at most one.
func kindOf(e *api.PeerEnvelope) (Kind, int) {
	kind, count := kindEmpty, 0
	for _, candidate := range []struct {
		kind Kind
		set  bool
	}{
		{kindHello, e.Hello != nil},
		{kindHeartbeat, e.Heartbeat != nil},
		{KindConfigurationRequest, e.ConfigurationRequest != nil},
		{KindConfiguration, e.Configuration != nil},
		{KindZoneConfirmRequest, e.ZoneConfirmRequest != nil},
		{kindZoneConfirm, e.ZoneConfirm != nil},
		{KindRequestForward, e.RequestForward != nil},
		{kindRequestResult, e.RequestResult != nil},
		{KindRequestCancel, e.RequestCancel != nil},
		{KindTaskUpdate, e.TaskUpdate != nil},
		{KindJobHint, e.JobHint != nil},
	} {
		if candidate.set {
			kind = candidate.kind
			count++
		}
	}
	return kind, count
}

// isBulk reports whether messages of the kind may be large. They are sent after all
// others.
func isBulk(kind Kind) bool {
	return kind == KindRequestForward || kind == kindRequestResult || kind == KindConfiguration
}
