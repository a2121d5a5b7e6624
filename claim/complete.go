package claim

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// ErrSuperseded means that another claim has replaced the row of this claim. This
// happens only if a writer replaces the row of a claim that was not released.
var ErrSuperseded = eris.New("the claim row holds another claim")

// Complete stores the result of a claim. If it fails because ctx ended, Run goes on
// storing the result in the background.
func (c *Claims) Complete(ctx context.Context, handle Handle, result api.RequestResult) error {
	write := finalWrite{key: RowKey(handle.row.Organisation, handle.row.Key), version: handle.version, row: handle.row}
	write.row.State = api.ClaimStateDone
	write.row.Result = result
	return c.writeOrEnqueue(ctx, write)
}

// Release marks a claim as not run, so that its key can be claimed again. Call it
// only if the request was certainly not dispatched. If it fails because ctx ended,
// Run goes on marking the claim in the background.
func (c *Claims) Release(ctx context.Context, handle Handle) error {
	return c.writeOrEnqueue(ctx, finalWrite{key: RowKey(handle.row.Organisation, handle.row.Key), version: handle.version, row: handle.row, release: true})
}

func (c *Claims) writeOrEnqueue(ctx context.Context, write finalWrite) error {
	err := c.retryWrite(ctx, write)
	if err != nil && !eris.Is(err, ErrSuperseded) {
		c.enqueue(write)
	}
	return err
}

// finalWrite is the write of the final state of a claim, which must not be lost.
type finalWrite struct {
	key     string
	version int64     // version of the row that is replaced
	row     api.Claim // the claim; with its result unless release is set
	release bool      // mark the claim as not run
}

// retryWrite retries the write until it has certainly taken effect or ctx ends.
func (c *Claims) retryWrite(ctx context.Context, write finalWrite) error {
	for attempt := 1; ; attempt++ {
		finished, err := c.tryWrite(ctx, &write)
		if finished {
			return err
		}
		if waitErr := c.config.Backoff.Wait(ctx, attempt); waitErr != nil {
			return eris.Wrap(waitErr, "write the final state of a claim")
		}
	}
}

// tryWrite commits the row once. After a conflict or an unknown outcome it reads the
// row, because an earlier try of the write may have taken effect or, on a release,
// the insertion of the claim may have taken effect late.
func (c *Claims) tryWrite(ctx context.Context, write *finalWrite) (done bool, err error) {
	value, err := c.encode(ctx, *write)
	if err != nil {
		return false, err
	}
	result := c.config.Store.Commit(ctx, []table.Condition{{Key: write.key, Version: write.version}},
		[]table.Write{{Key: write.key, Value: value}})
	switch result.Status {
	case table.Committed:
		return true, nil
	case table.Conflict, table.Unknown:
	default:
		return false, result.Err
	}
	found, err := c.readRow(ctx, write.key)
	if err != nil {
		return false, err
	}
	switch {
	case found.version == write.version:
		return false, nil // the write has not taken effect yet
	case found.exists && found.claim.Nonce == write.row.Nonce && found.claim.State == api.ClaimStateClaimed:
		write.version = found.version
		return false, nil
	case found.exists && found.claim.Nonce == write.row.Nonce:
		return true, nil // the write has taken effect
	case write.release:
		return true, nil // another claim replaced the row, so the insertion of this one can never take effect
	default:
		return true, ErrSuperseded
	}
}

// encode returns the encoded row. A large result is stored in the object store first,
// so that a row never refers to an object that does not exist.
func (c *Claims) encode(ctx context.Context, write finalWrite) ([]byte, error) {
	row := write.row
	if write.release {
		row.State = api.ClaimStateNotRun
		row.Result = api.RequestResult{}
		return encodeRow(row)
	}
	result, err := json.Marshal(row.Result)
	if err != nil {
		return nil, eris.Wrap(err, "encode result")
	}
	if len(result) > c.config.InlineLimit && c.config.Objects != nil {
		row.ResultObject = write.key + "/" + row.Nonce
		if _, err := c.config.Objects.Put(ctx, row.ResultObject, result, false); err != nil {
			return nil, eris.Wrap(err, "store result object")
		}
		row.Result.Body = nil
	}
	return encodeRow(row)
}

func encodeRow(row api.Claim) ([]byte, error) {
	value, err := json.Marshal(row)
	return value, eris.Wrap(err, "encode claim")
}

// loadResult reads the result of a row from the object store if it is stored there.
func (c *Claims) loadResult(ctx context.Context, row *api.Claim) error {
	if row.ResultObject == "" {
		return nil
	}
	if c.config.Objects == nil {
		return eris.New("the result is in an object store and none is set")
	}
	value, exists, err := c.config.Objects.Get(ctx, row.ResultObject)
	if err != nil {
		return eris.Wrap(err, "read result object")
	}
	if !exists {
		return eris.Errorf("result object %s is missing", row.ResultObject)
	}
	return eris.Wrap(json.Unmarshal(value, &row.Result), "decode result object")
}
