package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// maxGroup bounds the job rows in one commit.
	maxGroup = 64
	// parallelCommits bounds the commits in flight. There may be several, so that a
	// commit does not wait for the answer to another.
	parallelCommits = 4
	// resolveTimeout bounds the attempts to determine the outcome of a commit whose
	// answer was lost.
	resolveTimeout = 10 * time.Second
	// resolveRetryDelay is the pause between two attempts to determine an outcome.
	resolveRetryDelay = 100 * time.Millisecond
	// commitTimeout bounds one call of Store.Commit.
	commitTimeout = 3 * time.Second
)

// errNotSentInTime is the error of a change that was withdrawn at its SendBy time.
var errNotSentInTime = eris.New("the change was not sent before its deadline")

// ChangeStatus is the outcome of a change of a row.
type ChangeStatus int

const (
	// Committed means that the row was written.
	Committed ChangeStatus = iota + 1
	// Stale means that the row no longer has the expected version and must be read
	// again. If an earlier answer was lost, the change may have been made and then
	// overwritten.
	Stale
	// Fenced means that the change was refused because this daemon does not hold the
	// planner lease of its zone.
	Fenced
	// NotWritten means that the change certainly was not and will not be made.
	NotWritten
	// OutcomeUnknown means that the change may have been made or may still be made.
	OutcomeUnknown
)

// Change is a conditional write of one job row.
type Change struct {
	Job     api.Job
	Version int64 // version the row must have; 0 means that it must not exist
	Delete  bool
	Fenced  bool // makes the commit conditional on the fence row of the planner
	// SendBy is the time at which a change that has not been sent is withdrawn;
	// zero means never.
	SendBy time.Time
}

// ChangeResult holds the outcome of a change.
type ChangeResult struct {
	Status  ChangeStatus
	Version int64 // commit version; set when committed
	Err     error
}

// WriterConfig holds the dependencies of a Writer.
type WriterConfig struct {
	Store    table.Store
	Follower *Follower
	// Limiter bounds the commits per second of this daemon. nil means no limit.
	Limiter *rate.Limiter
	// Fence returns the condition of fenced changes, or false when the planner
	// lease is not held. nil means that all fenced changes are refused.
	Fence func() (table.Condition, bool)
	Log   *zap.Logger
	Scope tally.Scope
}

// Writer batches changes of job rows into commits and limits their rate.
type Writer struct {
	cfg   WriterConfig
	wake  chan struct{}
	slots chan struct{}

	mu    sync.Mutex
	queue []*pending
}

// pending is a change whose outcome is not known yet.
type pending struct {
	change Change
	value  []byte
	sent   bool // guarded by Writer.mu
	done   chan ChangeResult
}

// NewWriter returns a writer, which commits changes while Run runs.
func NewWriter(cfg WriterConfig) *Writer {
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	if cfg.Limiter == nil {
		cfg.Limiter = rate.NewLimiter(rate.Inf, 1)
	}
	if cfg.Fence == nil {
		cfg.Fence = func() (table.Condition, bool) { return table.Condition{}, false }
	}
	return &Writer{cfg: cfg, wake: make(chan struct{}, 1), slots: make(chan struct{}, parallelCommits)}
}

// Apply queues changes and waits for their outcomes, which it returns in the order
// of the changes. A change that has not been sent when ctx ends or at its SendBy
// time is not written. The outcome of a change that was sent is unknown when ctx
// ends before the answer arrives.
func (w *Writer) Apply(ctx context.Context, changes ...Change) []ChangeResult {
	queued := make([]*pending, len(changes))
	for i, c := range changes {
		queued[i] = &pending{change: c, done: make(chan ChangeResult, 1)}
		if !c.Delete {
			queued[i].value = mustEncode(c.Job)
		}
	}
	w.mu.Lock()
	w.queue = append(w.queue, queued...)
	w.mu.Unlock()
	w.signal()
	results := make([]ChangeResult, len(changes))
	for i, p := range queued {
		results[i] = w.await(ctx, p)
	}
	return results
}

func (w *Writer) await(ctx context.Context, p *pending) ChangeResult {
	if sendBy := p.change.SendBy; !sendBy.IsZero() {
		sendCtx, cancel := context.WithDeadlineCause(ctx, sendBy, errNotSentInTime)
		defer cancel()
		select {
		case r := <-p.done:
			return r
		case <-sendCtx.Done():
		}
		if w.withdraw(p) {
			return ChangeResult{Status: NotWritten, Err: context.Cause(sendCtx)}
		}
	}
	select {
	case r := <-p.done:
		return r
	case <-ctx.Done():
	}
	if w.withdraw(p) {
		return ChangeResult{Status: NotWritten, Err: ctx.Err()}
	}
	select {
	case r := <-p.done:
		return r
	default:
	}
	return ChangeResult{Status: OutcomeUnknown, Err: ctx.Err()}
}

// withdraw removes a change from the queue. It returns false when the change has
// already been sent.
func (w *Writer) withdraw(p *pending) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.sent {
		return false
	}
	w.removeLocked(p)
	return true
}

func (w *Writer) removeLocked(p *pending) {
	for i, q := range w.queue {
		if q == p {
			w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			return
		}
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run commits queued changes until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for w.hasQueued() {
			if !w.acquireSlot(ctx) {
				return nil
			}
			group := w.nextGroup()
			running.Add(1)
			go func() {
				defer running.Done()
				defer func() { <-w.slots }()
				w.commit(ctx, group)
			}()
		}
	}
}

// acquireSlot waits for a free commit slot and for the rate limiter. It returns
// false when ctx ends first.
func (w *Writer) acquireSlot(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case w.slots <- struct{}{}:
	}
	return w.cfg.Limiter.Wait(ctx) == nil
}

func (w *Writer) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// nextGroup removes a group of changes from the queue. The changes of a group are
// all fenced or all unfenced, and belong to different jobs.
func (w *Writer) nextGroup() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group, remaining []*pending
	included := map[string]bool{}
	for _, p := range w.queue {
		if len(group) < maxGroup && !included[p.change.Job.ID] && (len(group) == 0 || group[0].change.Fenced == p.change.Fenced) {
			included[p.change.Job.ID] = true
			p.sent = true
			group = append(group, p)
			continue
		}
		remaining = append(remaining, p)
	}
	w.queue = remaining
	return group
}
