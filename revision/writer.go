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

// Bounds of the delay between attempts to resolve the outcome of a write whose
// answer was lost. The delay doubles with each attempt, because a table service that
// loses answers is often overloaded.
const (
	minResolveDelay = 20 * time.Millisecond
	maxResolveDelay = 500 * time.Millisecond
)

// Metadata is the part of a head row that the writer reads. The value of a head row
// is a JSON object with at least these fields.
type Metadata struct {
	Revision int64 `json:"revision"`
	// WriteID identifies the write. After a lost answer the writer finds out from it
	// whether its own write took effect.
	WriteID string `json:"write"`
}

// Head is a head row, or the copy of one in a history row, with its metadata.
type Head struct {
	Metadata
	Value   []byte
	Version int64 // version of the row; 0 if there is no head row
}

// Rows holds the values of the rows of one revision. With a nil Body no body row is
// written.
type Rows struct {
	Head []byte
	Body []byte
}

// Status says whether a write took effect.
type Status int

const (
	// Accepted means that the revision is in force.
	Accepted Status = iota + 1
	// Conflict means that another revision was accepted first and nothing was written.
	Conflict
	// NotApplied means that the write did not and cannot take effect.
	NotApplied
	// Unknown means that the outcome of the write could not be determined before the
	// context ended.
	Unknown
)

// Result describes the effect of a write. Current is the newest known head: the written
// one if it was accepted, the one read after a conflict, else the base of the write.
type Result struct {
	Status  Status
	Current Head
	Err     error
}

// Writer writes new revisions. The newest one is in the row prefix + "head". Each
// revision also has a row prefix + "history/{revision}" with the value of the head,
// and, if it has a body, a row prefix + "body/{revision}".
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

// Read returns the head. If there is no head row, its version and revision are 0.
func (w *Writer) Read(ctx context.Context) (Head, error) {
	return w.read(ctx, w.HeadKey())
}

// ReadAt returns the head as it was at a revision. If there is no such revision, its
// version is 0.
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

// Write writes the next revision if base is still the head. rows builds the values;
// the value of the head must contain the given metadata. If an answer is lost, Write
// reads back and retries until the outcome is known or ctx ends.
func (w *Writer) Write(ctx context.Context, base Head, rows func(Metadata) (Rows, error)) Result {
	next := Metadata{Revision: base.Revision + 1, WriteID: uuid.NewString()}
	values, err := rows(next)
	if err != nil {
		return Result{Status: NotApplied, Current: base, Err: err}
	}
	conditions, writes := w.transaction(base, next.Revision, values)
	written := Head{Metadata: next, Value: values.Head}
	inDoubt, conflicted := false, false
	for delay := minResolveDelay; ; delay = min(2*delay, maxResolveDelay) {
		committed := w.store.Commit(ctx, conditions, writes)
		switch committed.Status {
		case table.Committed:
			written.Version = committed.Version
			return Result{Status: Accepted, Current: written}
		case table.Conflict:
			if result, resolved := w.resolve(ctx, written); resolved {
				return result
			}
			conflicted = true
		case table.Unavailable:
			if !inDoubt {
				return Result{Status: NotApplied, Current: base, Err: eris.Wrap(committed.Err, "the table service is unavailable")}
			}
		case table.Unknown:
			inDoubt = true
			// Reads may succeed even while the answers to commits are lost.
			if result, resolved := w.resolve(ctx, written); resolved {
				return result
			}
		}
		// Repeating the commit is safe: because of the condition on the head, at
		// most one of the attempts takes effect.
		if sleep(ctx, delay) {
			continue
		}
		if conflicted && !inDoubt {
			return Result{Status: Conflict, Current: base, Err: eris.New("another write changed the head, which cannot be read")}
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

// resolve finds out from the history row whether the given head or that of another
// writer was accepted. It returns false if a read fails, or if there is no history
// row yet: a commit whose answer was lost may still take effect.
func (w *Writer) resolve(ctx context.Context, written Head) (Result, bool) {
	stored, err := w.ReadAt(ctx, written.Revision)
	if err != nil || stored.Version == 0 {
		return Result{}, false
	}
	if stored.WriteID == written.WriteID {
		written.Version = stored.Version
		return Result{Status: Accepted, Current: written}, true
	}
	current, err := w.Read(ctx)
	if err != nil {
		return Result{}, false
	}
	return Result{Status: Conflict, Current: current}, true
}

// sleep waits for a random time between half the delay and the delay. It returns false
// if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
