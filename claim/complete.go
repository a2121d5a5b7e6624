package claim

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// ErrSuperseded means that the row of a claim was changed by another claim. It
// shows a writer that does not keep to the protocol.
var ErrSuperseded = eris.New("the claim row holds another claim")

// Complete stores the result of a claim. When it fails because ctx ended, Run
// goes on storing the result.
func (c *Claims) Complete(ctx context.Context, held Held, result api.RequestResult) error {
	work := job{key: RowKey(held.row.Organisation, held.row.Key), version: held.version, row: held.row}
	work.row.State = api.ClaimStateDone
	work.row.Result = result
	return c.finish(ctx, work)
}

// Release marks a claim as not run, so that its key can be claimed again. Call
// it only when the request was certainly not dispatched. When it fails because
// ctx ended, Run goes on marking the claim.
func (c *Claims) Release(ctx context.Context, held Held) error {
	return c.finish(ctx, job{key: RowKey(held.row.Organisation, held.row.Key), version: held.version, row: held.row, undo: true})
}

func (c *Claims) finish(ctx context.Context, work job) error {
	err := c.settle(ctx, work)
	if err != nil && !eris.Is(err, ErrSuperseded) {
		c.hand(work)
	}
	return err
}

// job is a final write to a claim row that must not be lost.
type job struct {
	key     string
	version int64     // version of the row that is replaced
	row     api.Claim // the claim; with its result unless undo is set
	undo    bool      // mark the claim as not run
}

// settle retries the write until it has certainly taken effect or ctx ends.
func (c *Claims) settle(ctx context.Context, work job) error {
	for attempt := 1; ; attempt++ {
		finished, err := c.settleOnce(ctx, &work)
		if finished {
			return err
		}
		if waitErr := c.config.Backoff.Wait(ctx, attempt); waitErr != nil {
			return eris.Wrap(waitErr, "store the end of a claim")
		}
	}
}

// settleOnce writes the row once. On a conflict it reads the row: the write may
// have landed before, or, when undoing, the claim itself landed late.
func (c *Claims) settleOnce(ctx context.Context, work *job) (finished bool, err error) {
	value, err := c.encode(ctx, *work)
	if err != nil {
		return false, err
	}
	result := c.config.Store.Commit(ctx, []table.Condition{{Key: work.key, Version: work.version}},
		[]table.Write{{Key: work.key, Value: value}})
	switch result.Status {
	case table.Committed:
		return true, nil
	case table.Conflict, table.Unknown:
	default:
		return false, result.Err
	}
	found, err := c.read(ctx, work.key)
	if err != nil {
		return false, err
	}
	switch {
	case found.version == work.version:
		return false, nil // not landed yet
	case found.exists && found.claim.Nonce == work.row.Nonce && found.claim.State == api.ClaimStateClaimed:
		work.version = found.version
		return false, nil
	case found.exists && found.claim.Nonce == work.row.Nonce:
		return true, nil // the write has landed
	case work.undo:
		return true, nil // another claim took the key, so this one can never land
	default:
		return true, ErrSuperseded
	}
}

// encode returns the row to write. A large result goes to the object store
// first, so that a row never names an object that does not exist.
func (c *Claims) encode(ctx context.Context, work job) ([]byte, error) {
	row := work.row
	if work.undo {
		row.State = api.ClaimStateNotRun
		row.Result = api.RequestResult{}
		return marshal(row)
	}
	result, err := json.Marshal(row.Result)
	if err != nil {
		return nil, eris.Wrap(err, "encode result")
	}
	if len(result) > c.config.InlineLimit && c.config.Objects != nil {
		row.ResultObject = work.key + "/" + row.Nonce
		if _, err := c.config.Objects.Put(ctx, row.ResultObject, result, false); err != nil {
			return nil, eris.Wrap(err, "store result object")
		}
		row.Result.Body = nil
	}
	return marshal(row)
}

func marshal(row api.Claim) ([]byte, error) {
	value, err := json.Marshal(row)
	return value, eris.Wrap(err, "encode claim")
}

// load completes the result of a row from the object store.
func (c *Claims) load(ctx context.Context, row *api.Claim) error {
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
