package revision

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/table"
)

// Pauses between attempts to settle a write whose answer was lost. They grow,
// because a table service that loses answers is often overloaded.
const (
	firstSettleWait = 20 * time.Millisecond
	maxSettleWait   = 500 * time.Millisecond
)

// Metadata is the part of a head row that the writer reads. A head row is a JSON
// object with at least these fields.
type Metadata struct {
	Revision int64 `json:"revision"`
	// WriteID identifies the write, so that its author recognises it when the
	// answer to the commit was lost.
	WriteID string `json:"write"`
}

// Head is a head row as read.
type Head struct {
	Metadata
	Value   []byte
	Version int64 // 0 when there is no head yet
}

// Rows are the values of one revision. A nil Body writes no body row.
type Rows struct {
	Head []byte
	Body []byte
}

// Status tells what became of a write.
type Status int

const (
	// Accepted means that the revision is in force.
	Accepted Status = iota + 1
	// Conflict means that another revision was accepted first and nothing was written.
	Conflict
	// NotApplied means that the write certainly did not and will not take effect.
	NotApplied
	// Unknown means that the write could not be settled before the context ended.
	Unknown
)

// Result is the outcome of a write. Current is the newest head known after the
// write: the own one when accepted, the winner's in a conflict.
type Result struct {
	Status  Status
	Current Head
	Err     error
}

// Writer moves a head row forward. The head row lies at prefix + "head". Each
// revision also gets the row prefix + "history/{revision}" with the same value,
// and with a body the row prefix + "body/{revision}".
type Writer struct {
	store  table.Store
	prefix string
}

// NewWriter returns a writer for the rows below the prefix, such as "configuration/".
func NewWriter(store table.Store, prefix string) *Writer {
	return &Writer{store: store, prefix: prefix}
}

// BodyKey returns the key of the body row of a revision.
func (w *Writer) BodyKey(revision int64) string {
	return w.prefix + "body/" + strconv.FormatInt(revision, 10)
}

// HistoryKey returns the key of the history row of a revision.
func (w *Writer) HistoryKey(revision int64) string {
	return w.prefix + "history/" + strconv.FormatInt(revision, 10)
}

// HeadKey returns the key of the head row.
func (w *Writer) HeadKey() string { return w.prefix + "head" }

// Read returns the head; without a head row its version and revision are 0.
func (w *Writer) Read(ctx context.Context) (Head, error) {
	return w.read(ctx, w.HeadKey())
}

// ReadAt returns the head as it was at a revision; its version is 0 if there is none.
func (w *Writer) ReadAt(ctx context.Context, revision int64) (Head, error) {
	return w.read(ctx, w.HistoryKey(revision))
}

func (w *Writer) read(ctx context.Context, key string) (Head, error) {
	row, found, err := w.store.Get(ctx, key)
	if err != nil {
		return Head{}, eris.Wrapf(err, "read %s", key)
	}
	if !found {
		return Head{}, nil
	}
	head := Head{Value: row.Value, Version: row.Version}
	if err := json.Unmarshal(row.Value, &head.Metadata); err != nil {
		return Head{}, eris.Wrapf(err, "decode %s", key)
	}
	return head, nil
}

// Write accepts the next revision if base is still the head. rows builds the
// values for the new revision and write identifier, which the head must carry
// as in Record. A lost answer is settled by reading back until ctx ends.
func (w *Writer) Write(ctx context.Context, base Head, rows func(Metadata) (Rows, error)) Result {
	next := Metadata{Revision: base.Revision + 1, WriteID: uuid.NewString()}
	values, err := rows(next)
	if err != nil {
		return Result{Status: NotApplied, Current: base, Err: err}
	}
	conditions, writes := w.transaction(base, next.Revision, values)
	own := Head{Metadata: next, Value: values.Head}
	sent, refused := false, false
	for wait := firstSettleWait; ; wait = min(2*wait, maxSettleWait) {
		committed := w.store.Commit(ctx, conditions, writes)
		switch committed.Status {
		case table.Committed:
			own.Version = committed.Version
			return Result{Status: Accepted, Current: own}
		case table.Conflict:
			if result, settled := w.settle(ctx, own); settled {
				return result
			}
			refused = true
		case table.Unavailable:
			if !sent {
				return Result{Status: NotApplied, Current: base, Err: eris.Wrap(committed.Err, "the table service is unavailable")}
			}
		case table.Unknown:
			sent = true
			// Reads can still pass while the answers to commits are lost.
			if result, settled := w.settle(ctx, own); settled {
				return result
			}
		}
		// Repeating the commit is safe: the conditions on the head let at most
		// one of the attempts take effect.
		if pause(ctx, wait) {
			continue
		}
		if refused && !sent {
			return Result{Status: Conflict, Current: base, Err: eris.New("the head has moved and cannot be read")}
		}
		return Result{Status: Unknown, Current: base, Err: eris.Wrap(ctx.Err(), "the answer to the write was lost")}
	}
}

func (w *Writer) transaction(base Head, revision int64, values Rows) ([]table.Condition, []table.Write) {
	conditions := []table.Condition{
		{Key: w.HeadKey(), Version: base.Version},
		{Key: w.HistoryKey(revision)},
	}
	writes := []table.Write{
		{Key: w.HeadKey(), Value: values.Head},
		{Key: w.HistoryKey(revision), Value: values.Head},
	}
	if values.Body != nil {
		conditions = append(conditions, table.Condition{Key: w.BodyKey(revision)})
		writes = append(writes, table.Write{Key: w.BodyKey(revision), Value: values.Body})
	}
	return conditions, writes
}

// settle finds out whose write took the revision. It settles nothing as long as
// the revision has no history row: a commit whose answer was lost may still
// take effect.
func (w *Writer) settle(ctx context.Context, own Head) (Result, bool) {
	taken, err := w.ReadAt(ctx, own.Revision)
	if err != nil || taken.Version == 0 {
		return Result{}, false
	}
	if taken.WriteID == own.WriteID {
		own.Version = taken.Version
		return Result{Status: Accepted, Current: own}, true
	}
	current, err := w.Read(ctx)
	if err != nil {
		return Result{}, false
	}
	return Result{Status: Conflict, Current: current}, true
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait/2 + rand.N(wait/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
