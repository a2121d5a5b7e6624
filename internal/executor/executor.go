// Package executor carries out the committed placements of one zone on the
// daemon that plans for it: it starts the members of placed jobs held and
// releases them together, and ends the attempts of stopping jobs. All calls to
// workers are idempotent by task identifier, so that another daemon resumes
// what it finds in the rows.
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
	// checkEvery is the interval at which rows are looked at without a change.
	checkEvery = 200 * time.Millisecond
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// retryPause is the pause between two tries of a call or commit.
	retryPause = 200 * time.Millisecond
	// maxStopPause bounds the pause between two stop calls for the same job.
	maxStopPause = 2 * time.Second
	// startPaceShare of the limit is what the pace is set to: calls take unequally
	// long, and the limit holds for the tasks that begin within any second.
	startPaceShare = 0.9
	// defaultStartsPerSecond is the default of limits.starts_per_second.
	defaultStartsPerSecond = 100
)

// VMDirectory gives what the VM list says about the zone.
type VMDirectory interface {
	// Address returns the address of a worker, false when it is not in the list.
	Address(worker string) (string, bool)
	// Daemons returns the entry VMs of the zone; false when no list is known yet.
	Daemons() ([]api.VM, bool)
	// RequestReport asks for a new report of a worker that did not do what it should.
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
	// Leading tells whether this daemon plans for the zone and knows all rows that
	// earlier planners committed.
	Leading func() bool
	// Epoch gives the epoch of the planner lease. It may be nil; then attempts that
	// were never released are not told apart.
	Epoch func() int64

	TaskLease        time.Duration
	ZoneConfirmation time.Duration
	MaxClockSkew     time.Duration
	CheckpointWait   time.Duration
	// CheckpointEvery is the interval of checkpoints of running jobs.
	CheckpointEvery time.Duration
	StartWait       time.Duration
	StartsPerSecond int

	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// Executor carries out placements and stops.
type Executor struct {
	cfg Config
	// admissions and releases pace the starts where they begin and where the tasks
	// begin to run: starts may be held up in between and would come all at once.
	admissions *rate.Limiter
	releases   *rate.Limiter

	mu         sync.Mutex
	operations map[string]*operation // by job
	tried      map[string]time.Time  // last periodic checkpoint tried, by job
	released   map[string]int        // last attempt of which a release may have been sent, by job
	running    sync.WaitGroup
}

// operation is a start or a stop in progress.
type operation struct {
	attempt int
	state   api.JobState
	cancel  context.CancelFunc
}

// New returns an executor with defaults filled in.
func New(cfg Config) *Executor {
	defaults := []struct {
		d    *time.Duration
		take time.Duration
	}{
		{&cfg.TaskLease, 20 * time.Second}, {&cfg.ZoneConfirmation, 2 * time.Second},
		{&cfg.MaxClockSkew, 500 * time.Millisecond}, {&cfg.CheckpointWait, 3 * time.Second}, {&cfg.CheckpointEvery, 10 * time.Minute},
		{&cfg.StartWait, 3 * time.Second},
	}
	for _, d := range defaults {
		if *d.d <= 0 {
			*d.d = d.take
		}
	}
	if cfg.StartsPerSecond <= 0 {
		cfg.StartsPerSecond = defaultStartsPerSecond
	}
	cfg.Log = telemetry.Logger(cfg.Log)
	cfg.Scope = telemetry.Scope(cfg.Scope)
	cfg.Tracer = telemetry.Tracer(cfg.Tracer)
	// A larger burst would let the zone start more than the limit in the first
	// second after its return.
	pace := rate.Limit(startPaceShare * float64(cfg.StartsPerSecond))
	return &Executor{cfg: cfg, admissions: rate.NewLimiter(pace, 1), releases: rate.NewLimiter(pace, 1), operations: map[string]*operation{}, tried: map[string]time.Time{}, released: map[string]int{}}
}

// Run carries out rows until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	defer e.running.Wait()
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		e.startLoop(ctx)
	}()
	for ctx.Err() == nil {
		changed := e.cfg.Follower.Changed()
		e.abandon()
		if e.cfg.Leading() {
			e.launchStops(ctx)
			e.launchCheckpoints(ctx, time.Now())
		}
		wait(ctx, changed, checkEvery)
	}
	return nil
}

// startLoop admits placed jobs one after the other, in order of urgency and
// placement, within the limit of starts. The order is taken anew for each job, so
// that an urgent job does not wait for the starts of a zone that has returned.
func (e *Executor) startLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.cfg.Follower.Changed()
		for e.cfg.Leading() && e.admitNext(ctx) {
		}
		wait(ctx, changed, checkEvery)
	}
}

// admitNext waits for a confirmation of the zone and for the limit, and then
// begins the start of the first job. It is false when there is none or starts
// must wait.
func (e *Executor) admitNext(ctx context.Context) bool {
	if len(e.placed()) == 0 {
		return false
	}
	if _, err := e.confirm(ctx); err != nil {
		return false
	}
	if e.admissions.Wait(ctx) != nil {
		return false
	}
	rows := e.placed()
	if len(rows) == 0 || !e.cfg.Leading() {
		return false
	}
	chargeRest(e.admissions, rows[0].Job)
	e.launch(ctx, rows[0], e.start)
	return true
}

// chargeRest charges the tasks of a job but the first, which has used a token, to
// the next job: one by one, because the limiter refuses more than its burst at once.
func chargeRest(limiter *rate.Limiter, job api.Job) {
	for range len(job.Placement) - 1 {
		limiter.Reserve()
	}
}

func (e *Executor) placed() []*jobs.Row {
	var out []*jobs.Row
	for _, row := range e.cfg.Follower.Rows() {
		startable := row.Job.State == api.JobStatePlaced && row.Job.Zone == e.cfg.Zone && !row.Job.CancelRequested
		if startable && !e.busy(row.Job) {
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

// launch runs an operation unless one runs for the same step of the job.
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
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer cancel()
		run(ctx, row)
		e.mu.Lock()
		delete(e.operations, job.ID)
		e.mu.Unlock()
	}()
}

// abandon cancels operations whose row has moved on, and all when this daemon no
// longer plans.
func (e *Executor) abandon() {
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

func (e *Executor) busy(job api.Job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.operations[job.ID] != nil
}

func sameStep(a, b api.Job) bool { return a.Attempt == b.Attempt && a.State == b.State }

// still tells whether the row is at the same step.
func (e *Executor) still(job api.Job) bool {
	row := e.cfg.Follower.Get(job.ID)
	return row != nil && sameStep(row.Job, job)
}

// transition commits a change of a row that is at the given step. It repeats it
// until it is made, the row has moved on, or ctx ends.
func (e *Executor) transition(ctx context.Context, job api.Job, f func(api.Job) (api.Job, error)) bool {
	for ctx.Err() == nil && e.still(job) {
		result, done := e.cfg.Applier.Transition(ctx, job.ID, f)
		if done {
			return true
		}
		if result.Status == jobs.Stale {
			_, _ = e.cfg.Follower.Fetch(ctx, job.ID)
		}
		wait(ctx, nil, retryPause)
	}
	return false
}

// StopOrphans stops tasks that a worker reports but no job row contains.
func (e *Executor) StopOrphans(ctx context.Context, address string, tasks []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.cfg.Scope.Counter("foreign_stops").Inc(int64(len(tasks)))
	if _, err := e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: api.Stop, TaskIds: tasks}); err != nil {
		e.cfg.Log.Warn("Stop of tasks without a job row failed.", zap.String("worker", address), zap.Error(err))
	}
}

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
