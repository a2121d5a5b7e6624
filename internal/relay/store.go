package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// PeersPrefix is where daemons announce themselves.
	PeersPrefix = "daemons/"
	// probeEvery and probeTimeout are for the own path to the store while it is
	// known to be bad.
	probeEvery   = 400 * time.Millisecond
	probeTimeout = 350 * time.Millisecond
	// freshFor is how long a peer that has just reached the store is not asked again
	// before a commit: what may be lost when it falls silent right after an answer.
	freshFor = 200 * time.Millisecond
	// listEvery is how often the peers are listed.
	listEvery = 5 * time.Second
	// maxPeers bounds the peers that one operation is tried through.
	maxPeers = 3
	// avoidFor is how long a peer that failed is tried last.
	avoidFor = 2 * time.Second
	// patience is how long an operation must go unanswered to show that the own
	// path is bad; a slow store takes up to half a second.
	patience = 600 * time.Millisecond
	// defaultWait bounds operations of callers without a deadline.
	defaultWait = time.Second
)

// ErrNoPath means that neither the own path nor a peer reaches the store, so
// nothing was sent.
var ErrNoPath = eris.New("relay: no path to the store")

// Store is a table store that uses the own path while it works and peers while
// it does not.
type Store struct {
	own   table.Watcher
	self  string
	log   *zap.Logger
	scope tally.Scope
	bad   atomic.Bool

	mu     sync.Mutex
	peers  map[string]*peer // by name
	failed map[string]time.Time
	// workedAt is when a peer last reached the store for this daemon.
	workedAt map[string]time.Time
	prefer   string // peer that worked last
}

var _ table.Watcher = (*Store)(nil)

// NewStore returns a store for the daemon of a name.
func NewStore(own table.Watcher, self string, log *zap.Logger, scope tally.Scope) *Store {
	return &Store{own: own, self: self, log: telemetry.Part(log, "relay"), scope: telemetry.Scope(scope), peers: map[string]*peer{}, failed: map[string]time.Time{}, workedAt: map[string]time.Time{}}
}

// Run announces this daemon, keeps the list of peers and probes the own path
// while it is bad, until ctx ends.
func (s *Store) Run(ctx context.Context, announced api.RelayPeer) error {
	value, err := cbor.Marshal(announced)
	if err != nil {
		return eris.Wrap(err, "encode the announcement")
	}
	listed, told := time.Time{}, false
	for ctx.Err() == nil {
		if s.bad.Load() {
			s.probe(ctx)
		} else if now := time.Now(); now.Sub(listed) >= listEvery {
			listed = now
			if !told {
				told = s.announce(ctx, value)
			}
			s.list(ctx)
		}
		timer := time.NewTimer(probeEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// Withdraw removes the announcement of a daemon that stops.
func (s *Store) Withdraw(ctx context.Context) {
	result := s.own.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Delete: true}})
	if result.Status != table.Committed {
		s.log.Warn("Announcement not withdrawn.", telemetry.Cause(result.Err))
	}
}

func (s *Store) announce(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, defaultWait)
	defer cancel()
	result := s.own.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Value: value}})
	if result.Status != table.Committed {
		s.log.Warn("Daemon not announced.", telemetry.Cause(result.Err))
	}
	return result.Status == table.Committed
}

func (s *Store) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, defaultWait)
	defer cancel()
	listing, err := s.own.List(ctx, PeersPrefix, 0)
	if err != nil {
		s.log.Warn("Peers not listed.", telemetry.Cause(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, row := range listing.Rows {
		name := row.Key[len(PeersPrefix):]
		var announced api.RelayPeer
		if err := cbor.Unmarshal(row.Value, &announced); err != nil {
			s.log.Warn("Announcement ignored.", zap.String("peer", name), telemetry.Cause(err))
			continue
		}
		listed[name] = true
		if known := s.peers[name]; name != s.self && (known == nil || known.address != announced.Address) {
			s.peers[name] = newPeer(announced.Address)
		}
	}
	for name := range s.peers {
		if !listed[name] {
			delete(s.peers, name)
			delete(s.failed, name)
			delete(s.workedAt, name)
		}
	}
}

// probe tries the own path.
func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := s.own.Get(ctx, PeersPrefix+s.self); err == nil {
		s.bad.Store(false)
		s.log.Info("Own path to the store works again.")
	}
}

// failedOwn records that the own path does not work.
func (s *Store) failedOwn(err error) {
	if !s.bad.Swap(true) {
		s.log.Warn("Own path to the store does not work.", telemetry.Cause(err))
	}
}

// Get returns the row and whether it exists.
func (s *Store) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if !s.bad.Load() {
		began := time.Now()
		row, found, err := s.own.Get(ctx, key)
		if s.settled(ctx, began, err) {
			return row, found, err
		}
	}
	listing, err := s.ask(ctx, &api.RelayFrame{Operation: opGet, Key: key})
	if err != nil || len(listing.Rows) == 0 {
		return table.Row{}, false, err
	}
	return listing.Rows[0], true, nil
}

// List returns what changed below the prefix after version since.
func (s *Store) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	if !s.bad.Load() {
		began := time.Now()
		listing, err := s.own.List(ctx, prefix, since)
		if s.settled(ctx, began, err) {
			return listing, err
		}
	}
	return s.ask(ctx, &api.RelayFrame{Operation: opList, Key: prefix, Since: since})
}

// Watch returns what changed below the prefix after version since.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	if !s.bad.Load() {
		listing, err := s.own.Watch(ctx, prefix, since, wait)
		// A watch may go silent on a store that serves everything else, so its
		// deadline says nothing about the path.
		if err == nil || ctx.Err() != nil || eris.Is(err, table.ErrHistoryLost) {
			return listing, err
		}
		s.failedOwn(err)
	}
	return s.ask(ctx, &api.RelayFrame{Operation: opWatch, Key: prefix, Since: since})
}

// settled tells whether a read on the own path is to be returned as it is. A
// caller that waited long enough without an answer shows that the path is bad,
// one with little time left does not.
func (s *Store) settled(ctx context.Context, began time.Time, err error) bool {
	if err == nil || eris.Is(err, table.ErrHistoryLost) {
		return true
	}
	if ctx.Err() == nil || time.Since(began) >= patience {
		s.failedOwn(err)
	}
	return ctx.Err() != nil
}

// Commit applies all writes if all conditions hold, else none. A commit that the
// own path may have carried out is not repeated here; callers settle it.
func (s *Store) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if !s.bad.Load() {
		began := time.Now()
		result := s.own.Commit(ctx, conditions, writes)
		switch result.Status {
		case table.Committed, table.Conflict:
			return result
		case table.Unknown:
			if ctx.Err() == nil || time.Since(began) >= patience {
				s.failedOwn(result.Err)
			}
			return result
		case table.Unavailable:
			s.failedOwn(result.Err)
		}
	}
	frame := commitFrame(conditions, writes)
	cause := ErrNoPath
	for _, name := range s.candidates() {
		if err := s.reaches(ctx, name); err != nil {
			cause = err
			continue
		}
		answer, err := s.through(ctx, name, frame)
		if err != nil {
			cause = err
			if eris.Is(err, errNotSent) {
				continue
			}
			return table.CommitResult{Status: table.Unknown, Err: err}
		}
		result := toResult(answer)
		if result.Status != table.Unavailable {
			s.worked(name)
			return result
		}
		s.failedPeer(name)
		cause = result.Err
	}
	return table.CommitResult{Status: table.Unavailable, Err: cause}
}

// reaches finds out whether a peer answers and reaches the store, before a commit is
// entrusted to it: a commit that is sent and not answered has an unknown outcome, a
// question that is not answered has done nothing.
func (s *Store) reaches(ctx context.Context, name string) error {
	s.mu.Lock()
	fresh := time.Since(s.workedAt[name]) < freshFor
	s.mu.Unlock()
	if fresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := s.through(ctx, name, &api.RelayFrame{Operation: opGet, Key: PeersPrefix + s.self})
	if err != nil {
		return err
	}
	if _, err := toListing(answer); err != nil {
		s.failedPeer(name)
		return err
	}
	s.worked(name)
	return nil
}

// ask reads through a peer.
func (s *Store) ask(ctx context.Context, frame *api.RelayFrame) (table.Listing, error) {
	cause := ErrNoPath
	for _, name := range s.candidates() {
		answer, err := s.through(ctx, name, frame)
		if err != nil {
			cause = err
			continue
		}
		listing, err := toListing(answer)
		if err == nil || eris.Is(err, table.ErrHistoryLost) {
			s.worked(name)
			return listing, err
		}
		s.failedPeer(name)
		cause = err
	}
	return table.Listing{}, cause
}

// JobState asks a daemon for the state of a job that its dispatcher knows; "" when
// it cannot tell.
func (s *Store) JobState(ctx context.Context, daemon, job string) (string, error) {
	answer, err := s.through(ctx, daemon, &api.RelayFrame{Operation: opState, Key: job})
	if err != nil {
		return "", err
	}
	listing, err := toListing(answer)
	if err != nil || len(listing.Rows) == 0 {
		return "", err
	}
	return string(listing.Rows[0].Value), nil
}

func (s *Store) through(ctx context.Context, name string, frame *api.RelayFrame) (*api.RelayFrame, error) {
	s.mu.Lock()
	p := s.peers[name]
	s.mu.Unlock()
	if p == nil {
		return nil, errNotSent
	}
	wait := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	sent := *frame
	sent.WaitMs = wait.Milliseconds()
	answer, err := p.call(ctx, &sent)
	if err != nil {
		s.failedPeer(name)
	}
	s.scope.Counter("relayed").Inc(1)
	return answer, err
}

// candidates returns the peers to try, the one that worked last first and those
// that failed lately left out.
func (s *Store) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	now := time.Now()
	if s.prefer != "" && s.peers[s.prefer] != nil && now.Sub(s.failed[s.prefer]) > avoidFor {
		names = append(names, s.prefer)
	}
	for name := range s.peers {
		if len(names) >= maxPeers {
			break
		}
		if name != s.prefer && now.Sub(s.failed[name]) > avoidFor {
			names = append(names, name)
		}
	}
	return names
}

func (s *Store) worked(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefer = name
	s.workedAt[name] = time.Now()
	delete(s.failed, name)
}

func (s *Store) failedPeer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[name] = time.Now()
	delete(s.workedAt, name)
}
