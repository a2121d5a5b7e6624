// Package dispatch runs batch jobs: the daemon that holds the leader lease follows
// the accepted jobs and the workers, plans, starts and stops tasks, and stores their
// progress. One goroutine owns all state of a term; calls to the store and to workers
// run in other goroutines and post their results to it.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// Keys of the rows. Progress, counts, the commit mark and the lease must be in one
// partition of the store, because they are committed together.
const (
	JobsPrefix     = "jobs/"
	CancelSuffix   = "/cancel"
	ProgressPrefix = "progress/"
	CountsPrefix   = "counts/"
	PendingKey     = CountsPrefix + "pending" // number of waiting jobs of each queue
	StallsPrefix   = "stalls/"
	MarkPrefix     = "marks/"
	CommitMarkKey  = MarkPrefix + "commit" // identifier of the last commit of progress
	LeasePrefix    = "leader/"
)

const (
	// minPlanInterval is the minimum time between two plans. The events in between are
	// covered by one plan.
	minPlanInterval = 10 * time.Millisecond
	// planIntervalFactor is the minimum time between two plans as a multiple of the
	// duration of the last one.
	planIntervalFactor = 4
	// maxPlanInterval bounds it. Urgent work starts within seconds.
	maxPlanInterval = 400 * time.Millisecond
	// tickEvery is the interval of the checks that no event triggers.
	tickEvery = 100 * time.Millisecond
	// defaultLeaseOutage is longer than the outages of the store that running tasks must
	// survive.
	defaultLeaseOutage = 12 * time.Second
	// defaultCancelRetention is several times the seconds by which the platform may apply a
	// call late.
	defaultCancelRetention = 30 * time.Second
)

// Discovery locates and decodes the rows in which workers register themselves.
type Discovery struct {
	Prefix string
	Decode func(table.Row) (fleet.Worker, error)
}

// Zones reports which zones are out of service.
type Zones interface {
	OutOfService(zone string) bool
}

// allInService is the default of Config.Zones.
type allInService struct{}

func (allInService) OutOfService(string) bool { return false }

// Config holds the dependencies and bounds of a Dispatcher.
type Config struct {
	Store  table.Watcher
	Lease  *lease.Lease
	Holder string // name of this daemon in the lease
	Zone   string // zone of this daemon
	// EndFormerTerm asks another daemon to end its term if that has a lower epoch, and
	// reports whether none runs or will run there any more.
	EndFormerTerm func(ctx context.Context, daemon string, epoch int64) (bool, error)
	Workers       Discovery
	Client        fleet.Client
	Zones         Zones // all are in service if it is nil
	// Guarantees returns the accelerators that belong to each organisation for its jobs of
	// priority 0, or nil if there are no guarantees; all such jobs are then equal.
	Guarantees     func() map[string]int64
	MaxWorkerLease time.Duration // longest lease that a worker accepts
	// LeaseOutage is how long a holder that cannot renew its lease at the store continues to
	// renew the leases of workers. A successor waits at least this long before it drops the
	// runs of a worker that it cannot reach, so all daemons need the same value. The default
	// is 12 s.
	LeaseOutage time.Duration
	MaxStopTime time.Duration // longest time that a stop takes
	// ReclaimLimit is the time within which urgent work that a guarantee covers has to start.
	// The default is 2.7 s.
	ReclaimLimit      time.Duration
	FinishedRetention time.Duration // how long the rows of finished jobs are kept
	// CancelRetention is how long the cancellation of an unknown job is kept. A submission
	// that was not answered may be applied until then. The default is 30 s.
	CancelRetention time.Duration
	// StallLimit is how long a step of a term may take until the term counts as stalled. The
	// default is 4 s.
	StallLimit time.Duration
	// OnTerm is called with true when a term starts and with false when it has ended. It may
	// be nil.
	OnTerm func(dispatching bool)
	// JobBudget returns the memory for jobs that is published with their load. The default is
	// that of the smallest machines.
	JobBudget func() int64
	// MaxRuns bounds the runs of a term; 0 means that there is no bound.
	MaxRuns int
	// Plan places the waiting tasks. The default is placement.Plan.
	Plan     func(placement.Snapshot) placement.Result
	Follower table.Follower
	Log      *zap.Logger
	Scope    tally.Scope
}

// Dispatcher runs terms while this daemon holds the lease.
type Dispatcher struct {
	cfg     Config
	log     *zap.Logger
	scope   tally.Scope
	leading atomic.Bool
	current atomic.Pointer[term] // nil while this daemon does not dispatch
	// minEpoch is the lowest epoch of which a term may run. Another daemon that holds the
	// lease raises it, and a term that has committed when it ends.
	minEpoch atomic.Int64
	// maxFence is the highest fence used by a term of this process. The next term uses
	// a higher one even if it has the same epoch, because workers reject orders with a
	// lower fence than the highest that they have seen.
	maxFence  int64
	shareTags shareTags
	// counts is what the running term knows of the stored counts of waiting jobs; nil if it
	// has stored none.
	counts atomic.Pointer[countsState]
	// load is the encoded load of jobs of the running term.
	load atomic.Pointer[[]byte]
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.CancelRetention <= 0 {
		cfg.CancelRetention = defaultCancelRetention
	}
	if cfg.StallLimit <= 0 {
		cfg.StallLimit = defaultStallLimit
	}
	if cfg.ReclaimLimit <= 0 {
		cfg.ReclaimLimit = defaultReclaimLimit
	}
	if cfg.LeaseOutage <= 0 {
		cfg.LeaseOutage = defaultLeaseOutage
	}
	if cfg.Plan == nil {
		cfg.Plan = placement.Plan
	}
	if cfg.OnTerm == nil {
		cfg.OnTerm = func(bool) {}
	}
	if cfg.JobBudget == nil {
		cfg.JobBudget = func() int64 { return admission.Budget(nil) }
	}
	if cfg.Zones == nil {
		cfg.Zones = allInService{}
	}
	if cfg.Guarantees == nil {
		cfg.Guarantees = func() map[string]int64 { return nil }
	}
	return &Dispatcher{cfg: cfg, log: telemetry.Named(cfg.Log, "dispatch"), scope: telemetry.ScopeOrNoop(cfg.Scope)}
}

// Leading reports whether a term is running.
func (d *Dispatcher) Leading() bool { return d.leading.Load() }

// State returns the stored state of a job as the running term knows it, even while the
// store is unreachable. It returns "" if no term is running or the state is not certain.
func (d *Dispatcher) State(ctx context.Context, id string) batch.State {
	t := d.current.Load()
	if t == nil {
		return ""
	}
	answer := make(chan batch.State, 1)
	select {
	case t.events <- func() { answer <- t.knownState(id) }:
	case <-ctx.Done():
		return ""
	case <-t.ctx.Done():
		return ""
	}
	select {
	case state := <-answer:
		return state
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return ""
}

// Run runs a term whenever this daemon holds the lease, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := d.cfg.Lease.Now()
		if status := d.cfg.Lease.Status(); status.Held && status.Epoch >= d.minEpoch.Load() {
			d.runTerm(ctx, status, now)
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.cfg.Lease.Changed():
		case <-time.After(tickEvery):
		}
	}
	return nil
}

// EndTermBefore ends the running term if its epoch is lower, and reports whether no such
// term runs or will run any more. Calls to workers that the term has sent by then extend
// their leases to at most the longest lease from now.
func (d *Dispatcher) EndTermBefore(ctx context.Context, epoch int64) bool {
	d.raiseMinEpoch(epoch)
	t := d.current.Load()
	if t == nil {
		return true
	}
	newer := make(chan struct{})
	select {
	case t.events <- func() {
		if t.epoch >= epoch {
			close(newer)
			return
		}
		t.endReason = "another daemon holds the lease"
	}:
	case <-t.done:
		return true
	case <-ctx.Done():
		return false
	}
	select {
	case <-newer:
		return true
	case <-t.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// raiseMinEpoch prevents terms of lower epochs from starting.
func (d *Dispatcher) raiseMinEpoch(epoch int64) {
	for {
		known := d.minEpoch.Load()
		if known >= epoch || d.minEpoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

func (d *Dispatcher) runTerm(ctx context.Context, status lease.Status, heldAt time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.leading.Store(true)
	defer d.leading.Store(false)
	d.cfg.OnTerm(true)
	defer d.cfg.OnTerm(false)
	t := newTerm(ctx, d, status, heldAt)
	d.current.Store(t)
	defer close(t.done)
	defer d.current.Store(nil)
	defer d.load.Store(nil)
	defer d.counts.Store(nil)
	go t.watchProgress(status.Epoch) //nolint:contextcheck // as t.run
	if status.Epoch < d.minEpoch.Load() {
		return
	}
	d.log.Info("Term started.", zap.Int64("epoch", status.Epoch), zap.Strings("former", status.Former))
	reason := t.run() //nolint:contextcheck // the term stores its context, because results of calls return through its event queue
	t.setShares(nil)
	unstoredJobs, unstoredEnds := t.unstored()
	d.log.Info("Term ended.", zap.Int64("epoch", status.Epoch), zap.String("reason", reason),
		zap.Int("unstored_jobs", unstoredJobs), zap.Int("unstored_ends", unstoredEnds),
		zap.Duration("since_lease", d.cfg.Lease.Now().Sub(t.lastHeldAt)), zap.Duration("since_last_extension", sinceOrZero(t.lastExtension, time.Now())))
	if t.committed && ctx.Err() == nil && d.minEpoch.Load() <= t.epoch {
		// A commit that is applied late would meet a next term of the same epoch. If another
		// daemon has taken over, the epoch has changed already.
		d.raiseMinEpoch(t.epoch + 1)
		d.cfg.Lease.Abandon(t.epoch)
	}
}
