// Package executor carries out the committed placements of one zone on the
// daemon that plans for it. It starts the tasks of a placed job in the held
// state, in which they do not run yet, releases them together, and stops the tasks
// of stopping jobs. All calls to workers are idempotent by task identifier, so that
// another daemon can take over from the state in the job rows.
package executor

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// pollInterval is the interval at which rows are checked when none has changed.
	pollInterval = 200 * time.Millisecond
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// retryInterval is the pause between two tries of a call or commit.
	retryInterval = 200 * time.Millisecond
	// maxStopRetryInterval bounds the pause between two stop calls for the same job.
	maxStopRetryInterval = 2 * time.Second
	// startRateShare is the share of the start limit that the rate limiters use.
	// Start calls differ in duration, so tasks admitted at the full rate could
	// exceed the limit within some second.
	startRateShare = 0.9
	// defaultStartsPerSecond is the default of limits.starts_per_second.
	defaultStartsPerSecond = 100
)

// VMDirectory looks up the workers and entry VMs of the zone in the VM list.
type VMDirectory interface {
	// Address returns the address of a worker, and false if the worker is not in the
	// list.
	Address(worker string) (string, bool)
	// Daemons returns the entry VMs of the zone, and false if no list is known yet.
	Daemons() ([]api.VM, bool)
	// RequestReport requests a report of a worker before the next regular one, after
	// the worker has not answered a call or has failed a start.
	RequestReport(worker string)
}

// Config holds the dependencies and timing of an Executor.
type Config struct {
	Zone      string
	Follower  *jobs.Follower
	Applier   *jobs.Applier
	Workers   refplatform.Workers
	View      configuration.View
	Network   peers.Network
	Directory VMDirectory
	// Leading reports whether this daemon plans for the zone and knows all rows
	// that earlier planners committed.
	Leading func() bool
	// Epoch returns the epoch of the planner lease. If it is nil, attempts that
	// were never released are handled like released ones.
	Epoch func() int64

	TaskLease time.Duration
	// ZoneConfirmation is the age up to which a confirmation that the zone is in
	// service permits starts and releases.
	ZoneConfirmation time.Duration
	MaxClockSkew     time.Duration
	// CheckpointWait bounds the wait for the checkpoints of all members of a job.
	CheckpointWait time.Duration
	// CheckpointEvery is the interval of checkpoints of running jobs.
	CheckpointEvery time.Duration
	// StartWait bounds the start of all members of a job, and then their release.
	StartWait       time.Duration
	StartsPerSecond int

	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// Executor starts placed jobs, stops stopping jobs and takes the periodic
// checkpoints of running jobs.
type Executor struct {
	cfg Config
	// admissionLimiter limits the start calls and releaseLimiter the releases. Both
	// are needed: starts may be delayed after their admission, and their releases
	// would then come in one burst.
	admissionLimiter *rate.Limiter
	releaseLimiter   *rate.Limiter

	mu                sync.Mutex
	operations        map[string]*operation // by job
	lastCheckpointTry map[string]time.Time  // time of the last try of a periodic checkpoint, by job
	releasedAttempt   map[string]int        // last attempt for which a release may have been sent, by job
	wg                sync.WaitGroup
}

// operation is a start, stop or periodic checkpoint in progress. It belongs to
// one step of the job; a step is an attempt together with a state.
type operation struct {
	attempt int
	state   api.JobState
	cancel  context.CancelFunc
}

// New returns an executor. Settings that are 0 get their defaults.
func New(cfg Config) *Executor {
	defaults := []struct {
		setting  *time.Duration
		fallback time.Duration
	}{
		{&cfg.TaskLease, 20 * time.Second}, {&cfg.ZoneConfirmation, 2 * time.Second},
		{&cfg.MaxClockSkew, 500 * time.Millisecond}, {&cfg.CheckpointWait, 3 * time.Second}, {&cfg.CheckpointEvery, 10 * time.Minute},
		{&cfg.StartWait, 3 * time.Second},
	}
	for _, d := range defaults {
		if *d.setting <= 0 {
			*d.setting = d.fallback
		}
	}
	if cfg.StartsPerSecond <= 0 {
		cfg.StartsPerSecond = defaultStartsPerSecond
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	cfg.Tracer = telemetry.TracerOrNoop(cfg.Tracer)
	// The burst is 1: a larger one would let the zone exceed the limit in the first
	// second after it returns to service.
	startRate := rate.Limit(startRateShare * float64(cfg.StartsPerSecond))
	return &Executor{cfg: cfg, admissionLimiter: rate.NewLimiter(startRate, 1), releaseLimiter: rate.NewLimiter(startRate, 1), operations: map[string]*operation{}, lastCheckpointTry: map[string]time.Time{}, releasedAttempt: map[string]int{}}
}

// Run starts, stops and checkpoints the jobs of the zone until ctx ends, and returns
// when all operations have ended.
func (e *Executor) Run(ctx context.Context) error {
	defer e.wg.Wait()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.startLoop(ctx)
	}()
	for ctx.Err() == nil {
		changed := e.cfg.Follower.Changed()
		e.cancelObsolete()
		if e.cfg.Leading() {
			e.launchStops(ctx)
			e.launchCheckpoints(ctx, time.Now())
		}
		wait(ctx, changed, pollInterval)
	}
	return nil
}

// startLoop admits placed jobs one at a time, ordered by urgency and then by time
// of placement, within the start limit. The jobs are sorted again before each
// admission, so that an urgent job does not wait for the backlog of starts of a
// zone that has returned to service.
func (e *Executor) startLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.cfg.Follower.Changed()
		for e.cfg.Leading() && e.admitNext(ctx) {
		}
		wait(ctx, changed, pollInterval)
	}
}

// admitNext waits for a confirmation of the zone and for the limiter, and then
// launches the start of the first startable job. It returns false when there is
// no such job or the zone cannot be confirmed.
func (e *Executor) admitNext(ctx context.Context) bool {
	if len(e.startableJobs()) == 0 {
		return false
	}
	if _, err := e.confirm(ctx); err != nil {
		return false
	}
	if e.admissionLimiter.Wait(ctx) != nil {
		return false
	}
	rows := e.startableJobs()
	if len(rows) == 0 || !e.cfg.Leading() {
		return false
	}
	reserveRemaining(e.admissionLimiter, rows[0].Job)
	e.launch(ctx, rows[0], e.start)
	return true
}

// reserveRemaining takes a token for each task of the job except the first, whose
// token has already been used. The next job waits for these tokens. They are
// reserved one by one because the limiter refuses more than its burst at once.
func reserveRemaining(limiter *rate.Limiter, job api.Job) {
	for range len(job.Placement) - 1 {
		limiter.Reserve()
	}
}

// startableJobs returns the placed jobs of the zone that have no operation in
// progress, in the order of their starts.
func (e *Executor) startableJobs() []*jobs.Row {
	var out []*jobs.Row
	for _, row := range e.cfg.Follower.Rows() {
		startable := row.Job.State == api.JobStatePlaced && row.Job.Zone == e.cfg.Zone && !row.Job.CancelRequested
		if startable && !e.inProgress(row.Job) {
			out = append(out, row)
		}
	}
	rank := map[api.Urgency]int{api.Urgent: 0, api.Standard: 1, api.Batch: 2}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].Job, out[j].Job
		if rank[a.Urgency] != rank[b.Urgency] {
			return rank[a.Urgency] < rank[b.Urgency]
		}
		if a.PlacedMs != b.PlacedMs {
			return a.PlacedMs < b.PlacedMs
		}
		return a.SubmittedMs < b.SubmittedMs
	})
	return out
}

func (e *Executor) launchStops(ctx context.Context) {
	for _, row := range e.cfg.Follower.Rows() {
		if row.Job.State == api.JobStateStopping && row.Job.Zone == e.cfg.Zone {
			e.launch(ctx, row, e.stop)
		}
	}
}

// launch runs an operation in the background unless one is in progress for the job.
func (e *Executor) launch(ctx context.Context, row *jobs.Row, run func(context.Context, *jobs.Row)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job := row.Job
	if e.operations[job.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	op := &operation{attempt: job.Attempt, state: job.State, cancel: cancel}
	e.operations[job.ID] = op
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer cancel()
		run(ctx, row)
		e.mu.Lock()
		delete(e.operations, job.ID)
		e.mu.Unlock()
	}()
}

// cancelObsolete cancels operations whose job row is at another step, and all
// operations when this daemon no longer plans for the zone.
func (e *Executor) cancelObsolete() {
	leading := e.cfg.Leading()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, op := range e.operations {
		row := e.cfg.Follower.Get(id)
		if !leading || row == nil || row.Job.Attempt != op.attempt || row.Job.State != op.state {
			op.cancel()
		}
	}
}

func (e *Executor) inProgress(job api.Job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.operations[job.ID] != nil
}

func sameStep(a, b api.Job) bool { return a.Attempt == b.Attempt && a.State == b.State }

// isCurrent reports whether the job row is still at the step of the given job.
func (e *Executor) isCurrent(job api.Job) bool {
	row := e.cfg.Follower.Get(job.ID)
	return row != nil && sameStep(row.Job, job)
}

// transition commits a change to a job row. It retries until the change is
// committed, the row has left the step of the given job, or ctx ends. It reports
// whether the change was committed.
func (e *Executor) transition(ctx context.Context, job api.Job, change func(api.Job) (api.Job, error)) bool {
	for ctx.Err() == nil && e.isCurrent(job) {
		result, done := e.cfg.Applier.Transition(ctx, job.ID, change)
		if done {
			return true
		}
		if result.Status == jobs.Stale {
			_, _ = e.cfg.Follower.Fetch(ctx, job.ID)
		}
		wait(ctx, nil, retryInterval)
	}
	return false
}

// StopOrphans stops tasks that the worker reports and that are in no job row.
func (e *Executor) StopOrphans(ctx context.Context, address string, tasks []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.cfg.Scope.Counter("foreign_stops").Inc(int64(len(tasks)))
	if _, err := e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: api.Stop, TaskIds: tasks}); err != nil {
		e.cfg.Log.Warn("Stopping orphaned tasks on a worker failed.", zap.String("worker", address), zap.Error(err))
	}
}

// wait returns after d, or earlier when changed is closed or ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
