// Package control owns the control state of the planning of one zone: the lease,
// the workers with their reports, and the states of ended tasks. One goroutine
// changes that state; events come in through a channel, and immutable snapshots
// go out through an atomic pointer. Slow calls run on other goroutines.
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
	// eventQueue is the number of events that may wait. Task updates beyond it are
	// dropped, because keepers repeat them.
	eventQueue = 1024
	// planAtLeast is the longest time between two plans.
	planAtLeast = time.Second
	// gatherWait bounds the wait for first reports after a takeover.
	gatherWait = 2 * time.Second
	// callTimeout bounds one call to a worker or the VM list.
	callTimeout = time.Second
	// statusEvery is the interval at which the states of the workers are shown.
	statusEvery = time.Second
	// parallelReports bounds the reports that are read at the same time.
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

// Quarantine decides which workers get no tasks because different jobs fail on
// them. Its methods are called by the control goroutine.
type Quarantine interface {
	// RecordFailure records that a task of a job failed or did not start on a worker. It
	// is called again for the failures in the job rows after a takeover.
	RecordFailure(worker, job, reason string, at time.Time)
	// RecordSuccess records that a task of a job succeeded on a worker.
	RecordSuccess(worker, job string, at time.Time)
	// Until returns the end of the quarantine of a worker and its reason; the zero
	// time means that it is not quarantined.
	Until(worker string, now time.Time) (time.Time, string)
}

// noQuarantine never quarantines.
type noQuarantine struct{}

func (noQuarantine) RecordFailure(string, string, string, time.Time)     {}
func (noQuarantine) RecordSuccess(string, string, time.Time)             {}
func (noQuarantine) Until(string, time.Time) (until time.Time, _ string) { return time.Time{}, "" }

// Config holds the dependencies and timing of a Control.
type Config struct {
	Zone     string
	Lease    Lease
	Follower *jobs.Follower
	Applier  *jobs.Applier
	View     configuration.View
	VMs      refplatform.VMs
	Workers  refplatform.Workers
	Network  peers.Network // may be nil; task updates of keepers come through it
	// Plan computes a plan; it is pure and takes milliseconds.
	Plan func(planner.Snapshot) planner.Plan
	// Quarantine may be nil.
	Quarantine Quarantine
	// StopForeign stops reported tasks that are in no job row. It may be nil.
	StopForeign func(ctx context.Context, address string, tasks []string)

	PlanEvery   time.Duration
	ReportEvery time.Duration
	VMListEvery time.Duration

	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// State is an immutable snapshot of the control state.
type State struct {
	// Planning tells whether this daemon plans for the zone.
	Planning bool
	// Epoch is the epoch of the planner lease while planning, else 0.
	Epoch int64
	// Planner is the VM that holds the lease as last read.
	Planner string
	// Workers are the workers of the zone; their free accelerators are known on
	// the planning daemon only.
	Workers []api.WorkerStatus
	// Plan is the last plan, empty when not planning.
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
	calls  chan struct{}
	group  sync.WaitGroup

	// The fields below belong to the goroutine of Run.
	workers  map[string]*worker
	vms      []api.VM
	listed   bool
	epoch    int64
	since    time.Time // takeover of the current epoch
	dirty    bool
	planned  time.Time
	followed int64 // changes of the rows that the last plan knew
	revision int64 // configuration revision of the last plan
	applying bool
	plan     planner.Plan
	tasks    map[string]map[int]ended // ended tasks by job
	told     map[string]int64         // time of the last failure of each job told to the quarantine
	listing  bool
	nextList time.Time
	relisted bool // the VM list has been read since the last snapshot
	shown    time.Time
}

// event changes the control state on its goroutine.
type event func(ctx context.Context, c *Control)

// New returns a control; Run must run for it to plan.
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
	cfg.Log = telemetry.Logger(cfg.Log)
	cfg.Scope = telemetry.Scope(cfg.Scope)
	cfg.Tracer = telemetry.Tracer(cfg.Tracer)
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	c := &Control{
		cfg: cfg, events: make(chan event, eventQueue), calls: make(chan struct{}, parallelReports),
		workers: map[string]*worker{}, tasks: map[string]map[int]ended{},
	}
	c.state.Store(&State{})
	if cfg.Network != nil {
		cfg.Network.Handle(peers.KindTaskUpdate, c.onTaskUpdate)
	}
	return c
}

// Run owns the control state and the lease until ctx ends. It does not release
// the lease; Resign does.
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
			return eris.Wrap(leaseErr, "planner lease")
		case <-tick.C:
		case e := <-c.events:
			e(ctx, c)
			c.drain(ctx)
		}
	}
}

// drain handles the events that wait, so that they cause one step.
func (c *Control) drain(ctx context.Context) {
	for {
		select {
		case e := <-c.events:
			e(ctx, c)
		default:
			return
		}
	}
}

// step does what is due.
func (c *Control) step(ctx context.Context) {
	now := time.Now()
	c.followLease(now)
	c.list(ctx, now)
	if c.epoch > 0 {
		c.gather(ctx, now)
		c.replan(ctx, now)
	}
	c.publish(now)
}

// followLease starts and ends the planning with the lease.
func (c *Control) followLease(now time.Time) {
	status := c.cfg.Lease.Status()
	epoch := int64(0)
	if status.Held {
		epoch = status.Epoch
	}
	if epoch == c.epoch {
		return
	}
	c.epoch, c.since, c.dirty = epoch, now, true
	c.plan, c.tasks, c.told = planner.Plan{}, map[string]map[int]ended{}, map[string]int64{}
	for _, w := range c.workers {
		w.reset()
	}
	if epoch > 0 {
		c.cfg.Follower.RequestRefresh()
		c.cfg.Log.Info("Planning begins.", zap.String("zone", c.cfg.Zone), zap.Int64("epoch", epoch))
		c.cfg.Scope.Counter("takeovers").Inc(1)
		return
	}
	c.cfg.Log.Info("Planning ends.", zap.String("zone", c.cfg.Zone))
}

// Leading tells whether this daemon plans for the zone and has followed the job
// rows up to its takeover, which covers all commits of earlier planners.
func (c *Control) Leading() bool {
	status := c.cfg.Lease.Status()
	return status.Held && c.cfg.Follower.Version() >= status.AcquiredVersion
}

// Resign releases the lease for a graceful shutdown.
func (c *Control) Resign(ctx context.Context) error { return c.cfg.Lease.Release(ctx) }

// Current returns the newest snapshot; treat it as read-only.
func (c *Control) Current() *State { return c.state.Load() }

// Address returns the address of a worker of the zone by the VM list.
func (c *Control) Address(worker string) (string, bool) {
	address, ok := c.state.Load().addresses[worker]
	return address, ok
}

// Daemons returns the entry VMs of the zone by the VM list, and whether a list
// has been read.
func (c *Control) Daemons() ([]api.VM, bool) {
	s := c.state.Load()
	return s.daemons, s.listed
}

// RequestReport causes a new report of a worker.
func (c *Control) RequestReport(worker string) {
	c.post(func(_ context.Context, c *Control) {
		if w := c.workers[worker]; w != nil {
			w.due = time.Time{}
		}
	})
}

// TaskUpdate takes task states from the keeper of this daemon.
func (c *Control) TaskUpdate(worker string, tasks []api.TaskReport) {
	c.post(func(_ context.Context, c *Control) { c.takeTasks(worker, tasks) })
}

func (c *Control) onTaskUpdate(_ context.Context, _ peers.Member, e *api.PeerEnvelope) *api.PeerEnvelope {
	if e.TaskUpdate != nil {
		c.TaskUpdate(e.TaskUpdate.Worker, e.TaskUpdate.Tasks)
	}
	return nil
}

// post queues an event; it is dropped when the queue is full.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	default:
		c.cfg.Scope.Counter("dropped_events").Inc(1)
	}
}

// deliver queues the end of a call, which must not be dropped.
func (c *Control) deliver(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}
