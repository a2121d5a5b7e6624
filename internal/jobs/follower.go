package jobs

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// DefaultPollEvery is the default interval between polls of the job rows.
	DefaultPollEvery = 500 * time.Millisecond
	// minReadInterval limits a daemon to 10 listings a second when many job hints
	// arrive. 40 daemons then use at most a fifth of the 2,000 reads a second that
	// the platform serves.
	minReadInterval = 100 * time.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = 2 * time.Second
)

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Store     table.Store
	Network   peers.Network // carries job hints; nil means that none are sent or received
	PollEvery time.Duration // 0 means DefaultPollEvery
	Log       *zap.Logger
	Scope     tally.Scope
}

// Follower keeps an in-memory copy of all job rows. It polls the store, reads it at
// once after a hint of another daemon that a row has changed, and records the
// commits of this daemon.
type Follower struct {
	cfg     FollowerConfig
	refresh chan struct{}

	mu          sync.Mutex
	rows        map[string]*Row
	sorted      []*Row // all rows by identifier, nil after a change
	version     int64
	changeCount int64 // counts changes of rows
	lastRead    time.Time
	changed     chan struct{}
}

// NewFollower returns an empty follower and registers its handler of job hints.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.PollEvery <= 0 {
		cfg.PollEvery = DefaultPollEvery
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	f := &Follower{cfg: cfg, refresh: make(chan struct{}, 1), rows: map[string]*Row{}, changed: make(chan struct{})}
	if cfg.Network != nil {
		cfg.Network.Handle(peers.KindJobHint, f.onHint)
	}
	return f
}

func (f *Follower) onHint(context.Context, peers.Member, *api.PeerEnvelope) *api.PeerEnvelope {
	f.RequestRefresh()
	return nil
}

// RequestRefresh makes Run read the rows before the next poll is due.
func (f *Follower) RequestRefresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run keeps the rows up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	tick := time.NewTicker(f.cfg.PollEvery)
	defer tick.Stop()
	failing := false
	for {
		err := f.Refresh(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			f.cfg.Log.Warn("Job rows cannot be read from the table service; the copy is out of date.", zap.Error(err))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(minReadInterval, f.cfg.PollEvery)):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-f.refresh:
		}
	}
}

// Refresh reads the rows that have changed since the last read.
func (f *Follower) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	since := f.Version()
	listing, err := f.cfg.Store.List(ctx, Prefix, since)
	if err != nil {
		return eris.Wrap(err, "list job rows")
	}
	f.apply(listing)
	return nil
}

func (f *Follower) apply(listing table.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRead = time.Now()
	changed := false
	for _, key := range listing.Deleted {
		id := strings.TrimPrefix(key, Prefix)
		if row := f.rows[id]; row != nil && row.Version <= listing.Version {
			delete(f.rows, id)
			changed = true
		}
	}
	for _, stored := range listing.Rows {
		changed = f.storeLocked(stored) || changed
	}
	f.version = max(f.version, listing.Version)
	f.cfg.Scope.Gauge("rows").Update(float64(len(f.rows)))
	if changed {
		f.signalLocked()
	}
}

func (f *Follower) storeLocked(stored table.Row) bool {
	id := strings.TrimPrefix(stored.Key, Prefix)
	if row := f.rows[id]; row != nil && row.Version >= stored.Version {
		return false
	}
	job, err := decode(stored.Value)
	if err != nil {
		f.cfg.Log.Error("Job row is ignored; the in-memory copy keeps the previous one, if any.", zap.String("job", id), zap.Error(err))
		return false
	}
	f.rows[id] = &Row{Job: job, Version: stored.Version}
	return true
}

// Observe stores in the copy a row that this daemon has written or read, without
// waiting for the next poll. It ignores a row that is not newer than the copy.
func (f *Follower) Observe(job api.Job, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows[job.ID]
	if row == nil && version <= f.version {
		return // deleted by a newer listing
	}
	if row != nil && row.Version >= version {
		return
	}
	f.rows[job.ID] = &Row{Job: job, Version: version}
	f.signalLocked()
}

// Remove removes from the copy a row that this daemon has deleted with the commit
// of the given version.
func (f *Follower) Remove(id string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row := f.rows[id]; row != nil && row.Version < version {
		delete(f.rows, id)
		f.signalLocked()
	}
}

// Fetch reads one row from the store and stores it in the copy. It returns nil
// when the row does not exist.
func (f *Follower) Fetch(ctx context.Context, id string) (*Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, found, err := f.cfg.Store.Get(ctx, Key(id))
	if err != nil {
		return nil, eris.Wrapf(err, "read the row of job %s", id)
	}
	if !found {
		return nil, nil
	}
	job, err := decode(stored.Value)
	if err != nil {
		return nil, err
	}
	f.Observe(job, stored.Version)
	return &Row{Job: job, Version: stored.Version}, nil
}

// Get returns the row from the copy, or nil.
func (f *Follower) Get(id string) *Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[id]
}

// Rows returns all rows, ordered by identifier; treat the slice as read-only.
func (f *Follower) Rows() []*Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sorted != nil {
		return f.sorted
	}
	out := make([]*Row, 0, len(f.rows))
	for _, row := range f.rows {
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.ID < out[j].Job.ID })
	f.sorted = out
	return out
}

// Version returns the commit version up to which the copy is complete.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// LastRead returns the time of the last answered listing, or the zero time before
// the first one.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// ChangeCount returns a number that rises with each change of a row. Version, in
// contrast, also rises with commits to other rows of the store, such as lease
// renewals.
func (f *Follower) ChangeCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeCount
}

// Changed returns a channel that is closed at the next change of a row.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) signalLocked() {
	f.sorted = nil
	f.changeCount++
	close(f.changed)
	f.changed = make(chan struct{})
}

// NotifyPeers sends the other daemons a hint that the row of a job has changed.
func (f *Follower) NotifyPeers(id string) {
	if f.cfg.Network == nil {
		return
	}
	for _, m := range f.cfg.Network.Members() {
		if m.State == peers.Live || m.State == peers.Draining {
			f.cfg.Network.Notify(m.VM, api.PeerEnvelope{JobHint: &api.PeerJobHint{JobID: id}})
		}
	}
}
