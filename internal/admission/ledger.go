package admission

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// grantTime is how long a granted job counts before the dispatcher must have seen its row.
	grantTime = 4 * time.Second
	// askTimeout bounds a request to the dispatcher.
	askTimeout = 500 * time.Millisecond
	// askRate bounds the requests of a daemon to the dispatcher, per second and at once.
	askRate = 20
)

// uncountedTime is how long a job counts that no load will tell about: several times what the
// store takes to apply a submission without an answer, and a load to include it.
const uncountedTime = 10 * time.Second

// Config holds what a Ledger reads.
type Config struct {
	// Notice returns the encoded load that the dispatcher has published last, nil before the
	// first one.
	Notice func() []byte
	// Load returns the load, for a daemon that counts it itself. It replaces Notice.
	Load func() Load
	// Daemons returns the number of daemons that accept jobs.
	Daemons func() int
	// Budget returns the budget that applies before the first load.
	Budget func() int64
	// Window is DaemonWindow by default.
	Window func(load Load, daemons int) int64
	// BeyondWindow admits a job that does not fit into the window while no other is in it. Only
	// one ledger of a system may do so, or each daemon would accept such a job at the same time.
	BeyondWindow bool
	// Ask asks the dispatcher for a job that does not fit into the window of this daemon. It
	// returns one of the refusals, or another error if there is no answer. Without it such a job
	// is refused.
	Ask   func(ctx context.Context, organisation string, bytes int64) error
	Log   *zap.Logger
	Scope tally.Scope
	// Now is time.Now by default.
	Now func() time.Time
}

// Ledger admits jobs on one daemon.
type Ledger struct {
	cfg   Config
	log   *zap.Logger
	scope tally.Scope
	asks  *rate.Limiter

	mu      sync.Mutex
	notice  []byte
	load    Load
	known   bool // a load has been read
	pending []*Reservation
}

// Reservation is a job that is being accepted, or that was and is not in the load yet.
type Reservation struct {
	ledger       *Ledger
	organisation string
	bytes        int64
	granted      bool // by the dispatcher
	// version is that of the commit of the job, 0 while it is not known.
	version int64
	// expires is when the job no longer counts unless its version is known and a load is, which
	// then decides; zero while it is being stored.
	expires time.Time
}

// NewLedger returns a ledger.
func NewLedger(cfg Config) *Ledger {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Window == nil {
		cfg.Window = DaemonWindow
	}
	return &Ledger{cfg: cfg, log: telemetry.Named(cfg.Log, "admission"), scope: telemetry.ScopeOrNoop(cfg.Scope).SubScope("admission"), asks: rate.NewLimiter(askRate, askRate)}
}

// Reserve admits a job, or returns one of the refusals. The caller must then call Stored,
// Unknown or Release. A nil ledger admits all jobs.
func (l *Ledger) Reserve(ctx context.Context, organisation string, bytes int64) (*Reservation, error) {
	if l == nil {
		return nil, nil
	}
	r := &Reservation{ledger: l, organisation: organisation, bytes: bytes}
	err := l.reserve(r)
	if eris.Is(err, ErrDaemon) && l.cfg.Ask != nil && l.asks.Allow() {
		if err = l.ask(ctx, organisation, bytes); err == nil {
			r.granted = true
			err = l.reserve(r)
		}
	}
	if err != nil {
		l.scope.Counter("refused").Inc(1)
		return nil, err
	}
	return r, nil
}

func (l *Ledger) ask(ctx context.Context, organisation string, bytes int64) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := l.cfg.Ask(ctx, organisation, bytes)
	l.scope.Counter("asked").Inc(1)
	if err == nil || eris.Is(err, ErrOrganisation) || eris.Is(err, ErrFull) {
		return err
	}
	return ErrDaemon
}

// reserve adds a reservation if it fits.
func (l *Ledger) reserve(r *Reservation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked()
	load := l.load
	if !l.known {
		load = Load{BudgetBytes: l.cfg.Budget()}
	}
	window := l.cfg.Window(load, l.cfg.Daemons())
	pending := l.pendingLocked(r.organisation)
	l.scope.Gauge("pending_bytes").Update(float64(pending.All))
	if r.granted || l.cfg.BeyondWindow && pending.Window.All == 0 {
		pending.Window, window = Amount{}, max(window, r.bytes)
	}
	if err := Check(load, pending, window, r.organisation, r.bytes); err != nil {
		return err
	}
	l.pending = append(l.pending, r)
	return nil
}

func (l *Ledger) pendingLocked(organisation string) (p Pending) {
	for _, r := range l.pending {
		p.add(r.bytes, r.organisation == organisation)
		if !r.granted {
			p.Window.add(r.bytes, r.organisation == organisation)
		}
	}
	return p
}

func (a *Amount) add(bytes int64, sameOrganisation bool) {
	a.All += bytes
	if sameOrganisation {
		a.Organisation += bytes
	}
}

// Grant reserves a job at the dispatcher for another daemon, which stores it at once.
func (l *Ledger) Grant(ctx context.Context, organisation string, bytes int64) error {
	r, err := l.Reserve(ctx, organisation, bytes)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.expires = l.cfg.Now().Add(grantTime)
	return nil
}

// Load returns the load that was read last, for log lines.
func (l *Ledger) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load
}

// Daemons returns the number of daemons that accept jobs.
func (l *Ledger) Daemons() int { return l.cfg.Daemons() }

// updateLocked reads the published load, and drops the reservations that it includes.
func (l *Ledger) updateLocked() {
	if l.cfg.Load != nil {
		l.load, l.known = l.cfg.Load(), true
	} else if notice := l.cfg.Notice(); len(notice) > 0 && !bytes.Equal(notice, l.notice) {
		l.notice = notice
		load, err := DecodeLoad(notice)
		if err != nil {
			l.log.Error("Published load of jobs ignored.", telemetry.ErrorField(err))
		} else {
			l.load, l.known = load, true
		}
	}
	now := l.cfg.Now()
	l.pending = slices.DeleteFunc(l.pending, func(r *Reservation) bool {
		if r.version > 0 && l.known {
			return r.version <= l.load.Version
		}
		return !r.expires.IsZero() && now.After(r.expires)
	})
}

// Stored records that the job was stored by the commit with a version. Before the first load it
// counts for a while only: a dispatcher of an earlier version publishes none.
func (r *Reservation) Stored(version int64) {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.version, r.expires = version, r.ledger.cfg.Now().Add(uncountedTime)
}

// Unknown records that the job may be stored.
func (r *Reservation) Unknown() {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.expires = r.ledger.cfg.Now().Add(uncountedTime)
}

// Release records that the job is not stored, was before, or is counted in the load.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(other *Reservation) bool { return other == r })
}
