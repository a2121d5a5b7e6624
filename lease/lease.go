// Package lease elects one holder over a row of a table store. The holder
// renews the row by conditional writes; an observer takes over when it has seen
// the row unchanged for the lease time by its own monotonic clock. Each takeover
// raises an epoch in the lease row and in a fence row in one transaction, so
// that commits conditioned on the fence row fail once another holder exists.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// Defaults of Config.
const (
	DefaultLeaseTime  = 3 * time.Second
	DefaultRenewEvery = time.Second
	// marginDivisor sets the default margin to a tenth of the lease time.
	marginDivisor = 10
	// pollDivisor sets the default poll interval to half the renewal interval,
	// which keeps a takeover within lease time + 500 ms at the defaults.
	pollDivisor = 2
)

// Config holds the dependencies and timing of a Lease.
type Config struct {
	Store       table.Store
	Prefix      string // the rows are Prefix+"lease" and Prefix+"fence"
	Holder      string // identifier of this process's machine
	Incarnation string // changes with each start of the process
	// LeaseTime is how long an observer must see the row unchanged.
	LeaseTime time.Duration
	// RenewEvery is the interval of renewals.
	RenewEvery time.Duration
	// PollEvery is the interval of an observer's reads.
	PollEvery time.Duration
	// Margin is how long before the lease time the holder stops believing in it.
	Margin time.Duration
	// TakeoverDelay delays every takeover of a lease that another machine held, so that
	// machines with more capacity come first.
	TakeoverDelay time.Duration
	// Now is the clock; it must carry monotonic readings. Nil takes time.Now.
	Now func() time.Time
	Log *zap.Logger
}

// Status is what this process knows about the lease.
type Status struct {
	Held   bool
	Holder string // holder in the row as last read; empty after a release
	Epoch  int64
	// AcquiredVersion is the commit version at which this process took the lease.
	AcquiredVersion int64
}

// Lease follows and, where possible, holds a leader lease.
type Lease struct {
	cfg Config

	// round serialises rounds and releases, which wait on the store.
	round sync.Mutex
	seen  observation
	sent  map[int64]time.Time // send time of each renewal number of this process

	mu       sync.Mutex
	row      api.PlannerLease
	mine     bool
	until    time.Time // the lease is believed before this time
	fence    table.Condition
	takenAt  int64
	released bool
	changed  chan struct{}
}

// observation is how long the row has been seen at a version. The time before a
// failed read does not count: the holder may not have reached the store either.
type observation struct {
	version int64
	since   time.Time
	valid   bool
}

// New checks the configuration and returns a lease that is not held.
func New(cfg Config) (*Lease, error) {
	if cfg.Store == nil || cfg.Holder == "" || cfg.Incarnation == "" {
		return nil, eris.New("lease: store, holder and incarnation are required")
	}
	if cfg.LeaseTime <= 0 {
		cfg.LeaseTime = DefaultLeaseTime
	}
	if cfg.RenewEvery <= 0 {
		cfg.RenewEvery = min(DefaultRenewEvery, cfg.LeaseTime/3)
	}
	if cfg.PollEvery <= 0 {
		cfg.PollEvery = cfg.RenewEvery / pollDivisor
	}
	if cfg.Margin <= 0 {
		cfg.Margin = cfg.LeaseTime / marginDivisor
	}
	if cfg.RenewEvery+cfg.Margin >= cfg.LeaseTime {
		return nil, eris.Errorf("lease: renewal interval %s and margin %s leave nothing of the lease time %s", cfg.RenewEvery, cfg.Margin, cfg.LeaseTime)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Lease{cfg: cfg, sent: map[int64]time.Time{}, changed: make(chan struct{})}, nil
}

// Run renews or observes the lease until ctx ends. It does not release it.
func (l *Lease) Run(ctx context.Context) error {
	for {
		l.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(l.wait()):
		}
	}
}

func (l *Lease) wait() time.Duration {
	if l.Status().Held {
		return l.cfg.RenewEvery
	}
	return l.cfg.PollEvery
}

// Step runs one round: a renewal by the holder, an observation by others.
func (l *Lease) Step(ctx context.Context) {
	l.round.Lock()
	defer l.round.Unlock()
	// A round may not outlast the belief in the lease, so that a hanging store
	// does not keep the holder from noticing.
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LeaseTime)
	defer cancel()
	if l.Status().Held {
		l.renew(ctx)
		return
	}
	l.observe(ctx)
}

// Status returns what is known now. Held turns false without a round when the
// last renewal is too old.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldLocked()
	s := Status{Held: held, Holder: l.row.Holder, Epoch: l.row.Epoch}
	if held {
		s.AcquiredVersion = l.takenAt
	}
	return s
}

func (l *Lease) heldLocked() bool {
	return l.mine && !l.released && l.cfg.Now().Before(l.until)
}

// FenceCondition returns the condition that a commit of the holder must carry.
// It is false when the lease is not held.
func (l *Lease) FenceCondition() (table.Condition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.heldLocked()
}

// Changed returns a channel that is closed when the lease is next taken, lost
// or released in a round. A lapse by time alone is seen through Status.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Release gives the lease up, so that an observer takes over at its next read.
// The lease is not taken again by this value.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held := l.heldLocked()
	l.released = true
	l.signalLocked()
	l.mu.Unlock()
	l.round.Lock()
	defer l.round.Unlock()
	if !held {
		return nil
	}
	row := l.row
	row.Holder = ""
	row.Renewal++
	result := l.cfg.Store.Commit(ctx, []table.Condition{{Key: l.leaseKey(), Version: l.seen.version}},
		[]table.Write{{Key: l.leaseKey(), Value: encode(row)}})
	if result.Status != table.Committed {
		return eris.Errorf("lease: release of epoch %d was not confirmed, status %d: %v", row.Epoch, result.Status, result.Err)
	}
	l.cfg.Log.Info("Lease released.", zap.Int64("epoch", row.Epoch))
	return nil
}

func (l *Lease) leaseKey() string { return l.cfg.Prefix + "lease" }
func (l *Lease) fenceKey() string { return l.cfg.Prefix + "fence" }

func (l *Lease) signalLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the row types hold only strings and integers
	}
	return b
}
