package table

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Confirmation says how to find out whether a commit was applied while its answer is
// outstanding: by reads of one of its rows.
type Confirmation struct {
	Key     string         // row that the commit writes
	Applied func(Row) bool // reports whether the row shows that the commit was applied
	Every   time.Duration  // interval between the reads; the default is ConfirmEvery
	Timeout time.Duration  // bound of each read; the default is ConfirmTimeout
}

// Defaults of Confirmation. A commit usually takes 10 ms, and a read from a slow store
// 240 ms.
const (
	ConfirmEvery   = 250 * time.Millisecond
	ConfirmTimeout = 450 * time.Millisecond
)

// maxFastReads is the number of reads that are answered within fastRead and do not show
// the commit, after which it counts as lost: the store is not slow then, and a commit
// takes hardly longer than a read. A slow store gets the time until the deadline.
const (
	maxFastReads = 3
	fastRead     = 60 * time.Millisecond
)

// ErrNoAnswer means that a commit was not answered and reads did not show it.
var ErrNoAnswer = eris.New("table: the commit was not answered, and reads do not show it")

// CommitConfirmed commits and returns the result, or Committed with the version of the
// row as soon as a read shows that the commit was applied: its answer may be lost, and
// it would be missed only after the whole timeout.
func CommitConfirmed(ctx context.Context, store Store, conditions []Condition, writes []Write, c Confirmation) CommitResult {
	if c.Every <= 0 {
		c.Every = ConfirmEvery
	}
	if c.Timeout <= 0 {
		c.Timeout = ConfirmTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	commitCtx, cancelCommit := detach(ctx)
	// A confirmed commit is not cancelled: that would look like a failed path to the store.
	stopCancel := context.AfterFunc(ctx, cancelCommit)
	committed := make(chan CommitResult, 1)
	go func() {
		defer cancelCommit()
		committed <- commitContained(commitCtx, store, conditions, writes)
	}()
	reads := make(chan confirmationRead)
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for fastReads := 0; ; {
		select {
		case result := <-committed:
			return result
		case read := <-reads:
			if read.applied {
				stopCancel()
				return CommitResult{Status: Committed, Version: read.row.Version}
			}
			if read.answered && read.took <= fastRead {
				fastReads++
			}
			if fastReads >= maxFastReads {
				return CommitResult{Status: Unknown, Err: ErrNoAnswer}
			}
		case <-ticker.C:
			go func() {
				read := readRow(ctx, store, c)
				select {
				case reads <- read:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// detach returns a context with the values and the deadline of ctx that does not end
// when ctx is cancelled.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// commitContained commits. A failure inside the store leaves the outcome unknown.
func commitContained(ctx context.Context, store Store, conditions []Condition, writes []Write) (result CommitResult) {
	defer func() {
		if cause := recover(); cause != nil {
			result = CommitResult{Status: Unknown, Err: eris.Errorf("internal error of the store: %v", cause)}
		}
	}()
	return store.Commit(ctx, conditions, writes)
}

// confirmationRead is a read of the row that a commit writes.
type confirmationRead struct {
	row      Row
	applied  bool // the row shows that the commit was applied
	answered bool
	took     time.Duration
}

// readRow reads the row of a confirmation. A read that fails shows nothing; the commit
// reports why the store is unreachable.
func readRow(ctx context.Context, store Store, c Confirmation) (read confirmationRead) {
	defer func() {
		if recover() != nil {
			read = confirmationRead{}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	start := time.Now()
	row, found, err := store.Get(ctx, c.Key)
	return confirmationRead{row: row, answered: err == nil, applied: err == nil && found && c.Applied(row), took: time.Since(start)}
}
