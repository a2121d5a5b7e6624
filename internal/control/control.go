// Package control runs the planning of one zone. It owns the planner lease, the
// workers with their reports, and the ends of tasks. One goroutine changes that
// state: it receives events through a channel and publishes immutable snapshots
// through an atomic pointer. Slow calls run on other goroutines.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
)

const (
	// maxQueuedEvents bounds the events that wait. Further task updates and requests
	// for reports are dropped: keepers repeat their updates, and each report is read
	// again within the report interval.
	maxQueuedEvents = 1024
	// maxPlanInterval is the time after which a new plan is computed even if no input
	// has changed.
	maxPlanInterval = time.Second
	// firstReportTimeout bounds how long planning waits after a takeover for a first
	// report of each worker.
	firstReportTimeout = 2 * time.Second
	// callTimeout bounds one call to a worker or the VM list.
	callTimeout = time.Second
	// statusInterval is the interval at which the states of the workers are published.
	statusInterval = time.Second
	// parallelReports bounds the reports that are read concurrently.
	parallelReports = 32

	defaultPlanEvery   = 200 * time.Millisecond
	defaultReportEvery = 30 * time.Second
	defaultVMListEvery = time.Second
)

// Lease is the planner lease of the zone; *lease.Lease implements it.
type Lease interface {
	Run(ctx context.Context) error
	Status() lease.Status
	Release(ctx context.Context) error
}

// HealthTracker records the failures and successes of tasks and quarantines workers
// on which different jobs fail; a quarantined worker gets no tasks. Only the
// goroutine of Run calls its methods.
type HealthTracker interface {
	// RecordFailure records that a task of a job failed or did not start on a
	// worker. After a takeover it is called for all failures in the job rows, also
	// for those that it has recorded before.
	RecordFailure(worker, job, reason string, at time.Time)
	// RecordSuccess records that a task of a job succeeded on a worker.
	RecordSuccess(worker, job string, at time.Time)
	// QuarantinedUntil returns the end of the quarantine of a worker and its reason,
	// or the zero time when the worker is not quarantined.
	QuarantinedUntil(worker string, now time.Time) (time.Time, string)
}

// nopHealthTracker quarantines no worker.
type nopHealthTracker struct{}

func (nopHealthTracker) RecordFailure(string, string, string, time.Time) {}
func (nopHealthTracker) RecordSuccess(string, string, time.Time)         {}
func (nopHealthTracker) QuarantinedUntil(string, time.Time) (until time.Time, _ string) {
	return time.Time{}, ""
}

// Config holds the dependencies and timing of a Control.
type Config struct {
	Zone     string
	Lease    Lease
	Follower *jobs.Follower
	Applier  *jobs.Applier
	View     configuration.View
	VMs      refplatform.VMs
	Workers  refplatform.Workers
	Network  peers.Network // receives the task updates of keepers on other daemons; nil means none
	// Plan computes a plan. It has no side effects and takes milliseconds, so it runs
	// on the goroutine of Run.
	Plan func(planner.Snapshot) planner.Plan
	// Health quarantines failing workers. nil means that no worker is quarantined.
	Health HealthTracker
	// StopOrphans stops tasks that a worker reports and that are in no job row. nil
	// means that they are not stopped.
	StopOrphans func(ctx context.Context, address string, tasks []string)

	// For the intervals, 0 means the default.
	PlanEvery   time.Duration
	ReportEvery time.Duration
	VMListEvery time.Duration

	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// State is an immutable snapshot of the control state.
type State struct {
	// HoldsLease reports whether this daemon holds the planner lease.
	HoldsLease bool
	// Epoch is the epoch of the planner lease if this daemon holds it, else 0.
	Epoch int64
	// Planner is the VM that held the lease when the lease row was last read.
	Planner string
	// Workers are the workers of the zone. Only the daemon that holds the lease knows
	// their free accelerators.
	Workers []api.WorkerStatus
	// Plan is the last plan, empty when this daemon does not hold the lease.
	Plan      planner.Plan
	PlannedAt time.Time

	addresses map[string]string
	daemons   []api.VM
	listed    bool
}

// Control plans for a zone while it holds the lease.
type Control struct {
	cfg    Config
	events chan event
	state  atomic.Pointer[State]
	calls  chan struct{} // bounds the reports that are read concurrently
	group  sync.WaitGroup

	// The fields below are accessed only by the goroutine of Run.
	workers            map[string]*worker
	vms                []api.VM
	listed             bool      // the VM list has been read at least once
	epoch              int64     // 0 when the lease is not held
	tookOverAt         time.Time // takeover of the current epoch
	dirty              bool      // an input of the plan has changed since the last plan
	plannedAt          time.Time
	plannedChangeCount int64 // ChangeCount of the rows at the last plan
	plannedRevision    int64 // configuration revision of the last plan
	applying           bool
	plan               planner.Plan
	taskEnds           map[string]map[int]taskEnd // by job and task index
	recordedFailures   map[string]int64           // by job, time of the last failure passed to the health tracker
	listInFlight       bool
	nextList           time.Time
	listUpdated        bool // the VM list has been read since the last snapshot
	statusesAt         time.Time
}

// event changes the control state on the goroutine of Run.
type event func(ctx context.Context, c *Control)

// New returns a control, which plans while Run runs.
func New(cfg Config) *Control {
	if cfg.PlanEvery <= 0 {
		cfg.PlanEvery = defaultPlanEvery
	}
	if cfg.ReportEvery <= 0 {
		cfg.ReportEvery = defaultReportEvery
	}
	if cfg.VMListEvery <= 0 {
		cfg.VMListEvery = defaultVMListEvery
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	cfg.Tracer = telemetry.TracerOrNoop(cfg.Tracer)
	if cfg.Health == nil {
		cfg.Health = nopHealthTracker{}
	}
	c := &Control{
		cfg: cfg, events: make(chan event, maxQueuedEvents), calls: make(chan struct{}, parallelReports),
		workers: map[string]*worker{}, taskEnds: map[string]map[int]taskEnd{},
	}
	c.state.Store(&State{})
	if cfg.Network != nil {
		cfg.Network.Handle(peers.KindTaskUpdate, c.onTaskUpdate)
	}
	return c
}

// Run runs the lease and the planning until ctx ends. It does not release the lease;
// call Resign for that.
func (c *Control) Run(ctx context.Context) error {
	defer c.group.Wait()
	c.group.Add(1)
	var leaseErr error
	go func() {
		defer c.group.Done()
		leaseErr = c.cfg.Lease.Run(ctx)
	}()
	tick := time.NewTicker(c.cfg.PlanEvery)
	defer tick.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			c.group.Wait()
			return eris.Wrap(leaseErr, "run the planner lease")
		case <-tick.C:
		case e := <-c.events:
			e(ctx, c)
			c.handleQueued(ctx)
		}
	}
}

// handleQueued handles all events that are queued, so that they cause only one
// step.
func (c *Control) handleQueued(ctx context.Context) {
	for {
		select {
		case e := <-c.events:
			e(ctx, c)
		default:
			return
		}
	}
}

// step follows the lease, starts the reads of the VM list and of worker reports that
// are due, computes a plan if necessary and publishes the state.
func (c *Control) step(ctx context.Context) {
	now := time.Now()
	c.followLease(now)
	c.refreshVMList(ctx, now)
	if c.epoch > 0 {
		c.startReports(ctx, now)
		c.replan(ctx, now)
	}
	c.publish(now)
}

// followLease starts planning when the lease is acquired and ends planning when the
// lease is lost.
func (c *Control) followLease(now time.Time) {
	status := c.cfg.Lease.Status()
	epoch := int64(0)
	if status.Held {
		epoch = status.Epoch
	}
	if epoch == c.epoch {
		return
	}
	c.epoch, c.tookOverAt, c.dirty = epoch, now, true
	c.plan, c.taskEnds, c.recordedFailures = planner.Plan{}, map[string]map[int]taskEnd{}, map[string]int64{}
	for _, w := range c.workers {
		w.reset()
	}
	if epoch > 0 {
		c.cfg.Follower.RequestRefresh()
		c.cfg.Log.Info("Planner lease acquired, planning of the zone begins.", zap.String("zone", c.cfg.Zone), zap.Int64("epoch", epoch))
		c.cfg.Scope.Counter("takeovers").Inc(1)
		return
	}
	c.cfg.Log.Info("Planner lease no longer held, planning of the zone ends.", zap.String("zone", c.cfg.Zone))
}

// Leading reports whether this daemon holds the planner lease and has read the job
// rows up to the commit version of its takeover, which include all commits of
// earlier planners.
func (c *Control) Leading() bool {
	status := c.cfg.Lease.Status()
	return status.Held && c.cfg.Follower.Version() >= status.AcquiredVersion
}

// Resign releases the lease for a graceful shutdown.
func (c *Control) Resign(ctx context.Context) error { return c.cfg.Lease.Release(ctx) }

// Current returns the newest snapshot, which must not be modified.
func (c *Control) Current() *State { return c.state.Load() }

// Address returns the address of a worker of the zone from the VM list.
func (c *Control) Address(worker string) (string, bool) {
	address, ok := c.state.Load().addresses[worker]
	return address, ok
}

// Daemons returns the entry VMs of the zone from the VM list, and whether the
// list has been read.
func (c *Control) Daemons() ([]api.VM, bool) {
	s := c.state.Load()
	return s.daemons, s.listed
}

// RequestReport makes the next report of a worker due at once. The request is dropped
// when the event queue is full; the report is then read at its usual time.
func (c *Control) RequestReport(worker string) {
	c.post(func(_ context.Context, c *Control) {
		if w := c.workers[worker]; w != nil {
			w.nextReport = time.Time{}
		}
	})
}

// TaskUpdate queues task states from a keeper. It drops them when the event queue is
// full; the keeper repeats them.
func (c *Control) TaskUpdate(worker string, tasks []api.TaskReport) {
	c.post(func(_ context.Context, c *Control) { c.recordEnds(worker, tasks) })
}

func (c *Control) onTaskUpdate(_ context.Context, _ peers.Member, e *api.PeerEnvelope) *api.PeerEnvelope {
	if e.TaskUpdate != nil {
		c.TaskUpdate(e.TaskUpdate.Worker, e.TaskUpdate.Tasks)
	}
	return nil
}

// post queues an event. It drops the event when the queue is full.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	default:
		c.cfg.Scope.Counter("dropped_events").Inc(1)
	}
}

// deliver queues the result of a call. It blocks while the queue is full, because
// a result must not be dropped.
func (c *Control) deliver(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}
