// Package lease elects a single holder through a row of a table store. The holder
// renews the row by conditional writes. An observer takes over when the row has not
// changed for the lease time by the observer's own monotonic clock. Each takeover
// raises an epoch in the lease row and in a fence row in one transaction, so commits
// that are conditional on the fence row fail once another process has taken over.
package lease

import (
	"context"
	"encoding/json"
	"slices"
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
	// pollDivisor sets the default poll interval to half the renewal interval. With the
	// other defaults a takeover then happens within the lease time + 500 ms.
	pollDivisor = 2
	// outageDivisor divides the renewal interval while the store does not answer the last
	// holder, or an observer.
	outageDivisor = 5
)

// Config holds the dependencies and timing of a Lease.
type Config struct {
	Store       table.Store
	Prefix      string // the rows are Prefix+"lease" and Prefix+"fence"
	Holder      string // identifier of the machine that this process runs on
	Incarnation string // identifier of this run of the process
	// LeaseTime is how long the row must be unchanged before an observer takes over.
	LeaseTime time.Duration
	// RenewEvery is the interval between renewals by the holder.
	RenewEvery time.Duration
	// PollEvery is the interval between reads by an observer.
	PollEvery time.Duration
	// Margin is how much earlier than LeaseTime after its last renewal the holder
	// considers the lease expired.
	Margin time.Duration
	// TakeoverDelay delays the acquisition of a lease that is free, released or held by
	// another incarnation, so that machines with more capacity acquire it first.
	TakeoverDelay time.Duration
	// Healthy reports whether this process still does the work of a holder. While it does
	// not, it neither renews nor acquires the lease, so that another process takes over.
	// The default is always healthy.
	Healthy func() bool
	// Notice returns data that the holder publishes to the observers with its next renewal,
	// or nil to leave it as it is. It must be short, because all of them read it.
	Notice func() []byte
	// Statement returns what the holder states with its next renewal, or nil for nothing. It
	// holds for that renewal only: a later one, or one of another holder, replaces it.
	Statement func() []byte
	// Now returns the current time. Steps of the time of day must not affect it. The
	// default also counts the time that the machine was suspended.
	Now func() time.Time
	Log *zap.Logger
}

// Status is what this process knows about the lease.
type Status struct {
	Held   bool
	Holder string // holder in the row as last read; empty after a release
	Epoch  int64
	// AcquiredVersion is the commit version at which this process acquired the lease.
	AcquiredVersion int64
	// Former names earlier holders that may not have noticed yet that they lost the lease,
	// while it is held. An empty name stands for any others.
	Former []string
	// Notice is what a holder has published last, in the row as last read or written.
	Notice []byte
}

// Lease observes a leader lease, and acquires and renews it when possible.
type Lease struct {
	cfg Config

	// roundMu serialises rounds and releases, which call the store.
	roundMu  sync.Mutex
	observed observation
	lastRead answeredRead
	sentAt   map[int64]time.Time // when this process sent each renewal number

	mu         sync.Mutex
	row        api.PlannerLease
	acquired   bool
	validUntil time.Time // the lease counts as held before this time
	// renewedAfter is not after the renewal of row; zero if no such time is known.
	renewedAfter    time.Time
	fence           table.Condition
	acquiredVersion int64
	forgottenBefore int64 // epoch up to which the earlier holders are forgotten
	released        bool
	readFailed      bool // the last observation failed
	changed         chan struct{}
	wake            chan struct{} // asks for the next round at once
}

// observation records since when the row has been at a version. A failed read makes it
// invalid: the holder may have been unable to renew the lease during the same outage.
type observation struct {
	version int64
	since   time.Time
	valid   bool
}

// answeredRead is the last read by an observer that was answered.
type answeredRead struct {
	sent    time.Time
	version int64
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
		cfg.Now = newClock()
	}
	if cfg.Healthy == nil {
		cfg.Healthy = func() bool { return true }
	}
	if cfg.Notice == nil {
		cfg.Notice = func() []byte { return nil }
	}
	if cfg.Statement == nil {
		cfg.Statement = func() []byte { return nil }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Lease{cfg: cfg, sentAt: map[int64]time.Time{}, changed: make(chan struct{}), wake: make(chan struct{}, 1)}, nil
}

// Run renews or observes the lease until ctx ends. It does not release the lease.
func (l *Lease) Run(ctx context.Context) error {
	for {
		l.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
		case <-time.After(l.interval()):
		}
	}
}

// interval returns the time until the next round. While the store does not answer, a
// holder whose lease has expired and observers look more often, so that one of them goes on
// as soon as the store is back.
func (l *Lease) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.heldLocked():
		return l.cfg.RenewEvery
	case l.released:
	case l.acquired, l.readFailed:
		return l.cfg.RenewEvery / outageDivisor
	}
	return l.cfg.PollEvery
}

// Step runs one round: a renewal if the lease is held, otherwise an observation.
func (l *Lease) Step(ctx context.Context) {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	// A round may not take longer than the lease time, so that a hanging store does not
	// prevent the holder from noticing that its lease has expired.
	ctx, cancel := context.WithTimeout(ctx, l.cfg.LeaseTime)
	defer cancel()
	if l.Status().Held {
		if !l.cfg.Healthy() {
			l.cfg.Log.Warn("Lease not renewed because its holder makes no progress.", zap.Int64("epoch", l.Status().Epoch))
			return
		}
		l.renew(ctx)
		return
	}
	l.observe(ctx)
}

// Status returns the current status. Held becomes false without a round once the last
// renewal is too old.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldLocked()
	s := Status{Held: held, Holder: l.row.Holder, Epoch: l.row.Epoch, Notice: l.row.Notice}
	if held {
		s.AcquiredVersion, s.Former = l.acquiredVersion, slices.Clone(l.rowLocked().Former)
	}
	return s
}

// Statement returns what the holder has stated with the renewal in the row as last read or
// written, and a time by Now that is not after that renewal, zero if none is known.
func (l *Lease) Statement() (statement []byte, renewedAfter time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Statement, l.renewedAfter
}

func (l *Lease) heldLocked() bool {
	return l.acquired && !l.released && l.cfg.Now().Before(l.validUntil)
}

// ForgetFormer records that all holders before an epoch have noticed that they lost the
// lease. The next renewal stores it.
func (l *Lease) ForgetFormer(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgottenBefore = max(l.forgottenBefore, epoch)
}

// rowLocked returns the row as last read or written, without the earlier holders that are
// forgotten.
func (l *Lease) rowLocked() api.PlannerLease {
	row := l.row
	if row.Epoch <= l.forgottenBefore {
		row.Former = nil
	}
	return row
}

func (l *Lease) currentRow() api.PlannerLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rowLocked()
}

// FenceCondition returns the condition that each commit of the holder must include,
// and reports whether the lease is held.
func (l *Lease) FenceCondition() (table.Condition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.heldLocked()
}

// FenceOf is FenceCondition for the holder of one epoch. The lease does not count as held
// by it once this process has acquired a later epoch.
func (l *Lease) FenceOf(epoch int64) (table.Condition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.heldLocked() && l.row.Epoch == epoch
}

// Abandon gives the lease up if it is held under an epoch. The next round acquires it again
// under a later one, so that a commit under the abandoned epoch is not applied any more.
func (l *Lease) Abandon(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.acquired || l.row.Epoch != epoch {
		return
	}
	l.acquired, l.validUntil = false, time.Time{}
	l.signalLocked()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Now returns the time by which the lease expires. It counts the time that the machine was
// suspended, and is only comparable to other times that this Lease has returned.
func (l *Lease) Now() time.Time { return l.cfg.Now() }

// Changed returns a channel that is closed when the lease is next acquired, lost or
// released. It is not closed when the lease only expires; Status shows that.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Release releases the lease, so that an observer acquires it at its first read after
// its TakeoverDelay. This Lease does not acquire it again; Run goes on to observe it.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held := l.heldLocked()
	l.released = true
	l.signalLocked()
	l.mu.Unlock()
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if !held {
		return nil
	}
	row := l.currentRow()
	row.Holder, row.Statement = "", nil
	row.Renewal++
	result := l.write(ctx, row)
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
