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
	// maxGroup is the largest number of job rows in one commit.
	maxGroup = 64
	// parallelCommits lets a commit go on while another waits for its answer.
	parallelCommits = 4
	// settleTime bounds the reading back of a commit whose answer was lost.
	settleTime = 10 * time.Second
	// settlePause is the pause between two tries to settle a commit.
	settlePause = 100 * time.Millisecond
	// commitTimeout bounds one commit.
	commitTimeout = 3 * time.Second
)

// errNotSentInTime is the error of a change that was withdrawn at its SendBy.
var errNotSentInTime = eris.New("not sent in time")

// ChangeStatus tells what became of a change of a row.
type ChangeStatus int

const (
	// Committed means that the row was written.
	Committed ChangeStatus = iota + 1
	// Stale means that the row is no longer at the version; read it again. When
	// an earlier answer was lost, the change may have been made and overwritten.
	Stale
	// Fenced means that this daemon no longer plans for its zone.
	Fenced
	// NotWritten means that the change certainly was not and will not be made.
	NotWritten
	// Unsettled means that the change may have been made or may still be made.
	Unsettled
)

// Change is a conditional write of one job row.
type Change struct {
	Job     api.Job
	Version int64 // version the row must have; 0 means that it must not exist
	Delete  bool
	Fenced  bool // asserts the fence row of the planner
	// SendBy withdraws a change that has not been sent by then; zero for never.
	SendBy time.Time
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Status  ChangeStatus
	Version int64 // commit version when done
	Err     error
}

// WriterConfig holds the dependencies of a Writer.
type WriterConfig struct {
	Store    table.Store
	Follower *Follower
	// Limiter bounds the commits per second of this daemon.
	Limiter *rate.Limiter
	// Fence gives the condition of fenced changes, false when the lease is not
	// held. Nil refuses all fenced changes.
	Fence func() (table.Condition, bool)
	Log   *zap.Logger
	Scope tally.Scope
}

// Writer groups changes of job rows into commits within a limit.
type Writer struct {
	cfg   WriterConfig
	wake  chan struct{}
	slots chan struct{}

	mu    sync.Mutex
	queue []*pending
}

// pending is a change that waits for its outcome.
type pending struct {
	change Change
	value  []byte
	sent   bool // guarded by Writer.mu
	done   chan ChangeResult
}

// NewWriter returns a writer; Run must run for changes to be made.
func NewWriter(cfg WriterConfig) *Writer {
	cfg.Log = telemetry.Logger(cfg.Log)
	cfg.Scope = telemetry.Scope(cfg.Scope)
	if cfg.Limiter == nil {
		cfg.Limiter = rate.NewLimiter(rate.Inf, 1)
	}
	if cfg.Fence == nil {
		cfg.Fence = func() (table.Condition, bool) { return table.Condition{}, false }
	}
	return &Writer{cfg: cfg, wake: make(chan struct{}, 1), slots: make(chan struct{}, parallelCommits)}
}

// Apply makes changes and waits for their outcomes, in the order given. A change
// that was not sent when ctx ends, or by its SendBy, is not written. A change that
// was sent is unsettled when ctx ends before its answer.
func (w *Writer) Apply(ctx context.Context, changes ...Change) []ChangeResult {
	waiting := make([]*pending, len(changes))
	for i, c := range changes {
		waiting[i] = &pending{change: c, done: make(chan ChangeResult, 1)}
		if !c.Delete {
			waiting[i].value = mustEncode(c.Job)
		}
	}
	w.mu.Lock()
	w.queue = append(w.queue, waiting...)
	w.mu.Unlock()
	w.signal()
	results := make([]ChangeResult, len(changes))
	for i, p := range waiting {
		results[i] = w.await(ctx, p)
	}
	return results
}

func (w *Writer) await(ctx context.Context, p *pending) ChangeResult {
	if sendBy := p.change.SendBy; !sendBy.IsZero() {
		sending, cancel := context.WithDeadlineCause(ctx, sendBy, errNotSentInTime)
		defer cancel()
		select {
		case r := <-p.done:
			return r
		case <-sending.Done():
		}
		if w.withdraw(p) {
			return ChangeResult{Status: NotWritten, Err: context.Cause(sending)}
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
	return ChangeResult{Status: Unsettled, Err: ctx.Err()}
}

// withdraw takes a change out of the queue. It is false when the change was sent.
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
		for w.queued() {
			if !w.admit(ctx) {
				return nil
			}
			group := w.take()
			running.Add(1)
			go func() {
				defer running.Done()
				defer func() { <-w.slots }()
				w.commit(ctx, group)
			}()
		}
	}
}

// admit waits for a free slot and for the limit of commits.
func (w *Writer) admit(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case w.slots <- struct{}{}:
	}
	return w.cfg.Limiter.Wait(ctx) == nil
}

func (w *Writer) queued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0
}

// take removes a group from the queue: changes that are equally fenced, and at
// most one for each job.
func (w *Writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group, rest []*pending
	jobs := map[string]bool{}
	for _, p := range w.queue {
		if len(group) < maxGroup && !jobs[p.change.Job.ID] && (len(group) == 0 || group[0].change.Fenced == p.change.Fenced) {
			jobs[p.change.Job.ID] = true
			p.sent = true
			group = append(group, p)
			continue
		}
		rest = append(rest, p)
	}
	w.queue = rest
	return group
}
