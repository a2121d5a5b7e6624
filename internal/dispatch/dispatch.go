// Package dispatch runs batch jobs: the daemon that holds the lease follows the
// accepted jobs and the workers, plans, starts and stops tasks, and stores what
// became of them. All state of a term belongs to one goroutine; calls to the
// store and to workers run beside it and post their results.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// Keys of the rows. Progress, counts and the lease are committed together.
const (
	JobsPrefix     = "jobs/"
	CancelSuffix   = "/cancel"
	ProgressPrefix = "progress/"
	CountsPrefix   = "counts/"
	PendingKey     = CountsPrefix + "pending"
	LeasePrefix    = "leader/"
)

const (
	// planEvery bounds how often a plan is made; events between are planned together.
	planEvery = 10 * time.Millisecond
	// planShare is how many times as long as a plan takes the next one waits.
	planShare = 4
	// tickEvery is the interval of the checks that no event triggers.
	tickEvery = 100 * time.Millisecond
	// holdWithoutLease is how long a holder that lost touch with the store goes on
	// extending the leases of workers. It outlasts an outage of the store, and a
	// successor waits for it before it gives up a worker that it cannot reach.
	holdWithoutLease = 12 * time.Second
)

// Discovery tells how to read the rows in which workers announce themselves.
type Discovery struct {
	Prefix string
	Decode func(table.Row) (fleet.Worker, error)
}

// Zones tells which zones are taken out of service.
type Zones interface {
	OutOfService(zone string) bool
}

// Config holds what a Dispatcher needs.
type Config struct {
	Store             table.Watcher
	Lease             *lease.Lease
	Holder            string // name of this daemon in the lease
	Workers           Discovery
	Client            fleet.Client
	Zones             Zones
	MaxWorkerLease    time.Duration // longest lease that a worker accepts
	MaxStopTime       time.Duration // longest time that a stop takes
	FinishedRetention time.Duration // how long finished jobs stay known
	Follower          table.Follower
	Log               *zap.Logger
	Scope             tally.Scope
}

// Dispatcher runs terms while this daemon holds the lease.
type Dispatcher struct {
	cfg     Config
	log     *zap.Logger
	scope   tally.Scope
	leading atomic.Bool
	current atomic.Pointer[term] // nil while this daemon does not dispatch
	// topFence is the highest fence given out by a term of this process. A lease
	// may serve two terms, and workers remember the fences of the first.
	topFence int64
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, log: telemetry.Part(cfg.Log, "dispatch"), scope: telemetry.Scope(cfg.Scope)}
}

// Leading tells whether a term is running.
func (d *Dispatcher) Leading() bool { return d.leading.Load() }

// State returns the state of a job as the running term knows it, also while the store
// is away; "" when there is no term or it cannot tell.
func (d *Dispatcher) State(ctx context.Context, id string) batch.State {
	t := d.current.Load()
	if t == nil {
		return ""
	}
	answer := make(chan batch.State, 1)
	select {
	case t.events <- func() { answer <- t.state(id) }:
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

// Run holds a term whenever the lease is held, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if status := d.cfg.Lease.Status(); status.Held {
			d.term(ctx, status.Epoch)
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

func (d *Dispatcher) term(ctx context.Context, epoch int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.leading.Store(true)
	defer d.leading.Store(false)
	t := newTerm(ctx, d, epoch)
	d.current.Store(t)
	defer d.current.Store(nil)
	d.log.Info("Term started.", zap.Int64("epoch", epoch))
	reason := t.run() //nolint:contextcheck // the term keeps its context: results of calls come back through its queue
	d.log.Info("Term ended.", zap.Int64("epoch", epoch), zap.String("reason", reason))
}
