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
	// PeersPrefix is the key prefix of the rows in which daemons announce themselves.
	PeersPrefix = "daemons/"
	// probeEvery and probeTimeout are the interval and timeout of the probes of the
	// direct path to the store after it has failed. probeTimeout also bounds the check
	// of a peer before a commit.
	probeEvery   = 400 * time.Millisecond
	probeTimeout = 350 * time.Millisecond
	// peerFreshness is how long a peer that has reached the store is not checked again
	// before a commit. If it stops answering within that time, the outcome of a commit
	// sent to it is unknown.
	peerFreshness = 200 * time.Millisecond
	// listEvery is the interval between listings of the peers.
	listEvery = 5 * time.Second
	// maxPeers bounds the peers that are tried for one operation.
	maxPeers = 3
	// peerBackoff is how long a peer is not tried after a failure.
	peerBackoff = 2 * time.Second
	// unansweredLimit is how long an operation must have been unanswered for the direct
	// path to count as failed. A slow store takes up to half a second to answer.
	unansweredLimit = 600 * time.Millisecond
	// defaultTimeout bounds operations of callers that set no deadline.
	defaultTimeout = time.Second
)

// ErrNoPath means that the direct path has failed and no peer is left to try, so
// nothing was sent.
var ErrNoPath = eris.New("relay: no path to the store")

// Store is a table store that uses the direct path while it works, and otherwise
// relays operations through peers.
type Store struct {
	direct       table.Watcher
	self         string
	log          *zap.Logger
	scope        tally.Scope
	directFailed atomic.Bool

	mu       sync.Mutex
	peers    map[string]*peer // by name
	failedAt map[string]time.Time
	// succeededAt is when each peer last reached the store for this daemon.
	succeededAt map[string]time.Time
	preferred   string // peer of the last successful operation
}

var _ table.Watcher = (*Store)(nil)

// NewStore returns a store for the daemon with the name self.
func NewStore(direct table.Watcher, self string, log *zap.Logger, scope tally.Scope) *Store {
	return &Store{direct: direct, self: self, log: telemetry.Named(log, "relay"), scope: telemetry.ScopeOrNoop(scope), peers: map[string]*peer{}, failedAt: map[string]time.Time{}, succeededAt: map[string]time.Time{}}
}

// Run announces this daemon and updates the list of peers, and probes the direct path
// while it fails, until ctx ends.
func (s *Store) Run(ctx context.Context, announcement api.RelayPeer) error {
	value, err := cbor.Marshal(announcement)
	if err != nil {
		return eris.Wrap(err, "encode the announcement")
	}
	listedAt, announced := time.Time{}, false
	for ctx.Err() == nil {
		if s.directFailed.Load() {
			s.probeDirect(ctx)
		} else if now := time.Now(); now.Sub(listedAt) >= listEvery {
			listedAt = now
			if !announced {
				announced = s.announce(ctx, value)
			}
			s.listPeers(ctx)
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

// Withdraw removes the announcement of this daemon before it stops.
func (s *Store) Withdraw(ctx context.Context) {
	result := s.direct.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Delete: true}})
	if result.Status != table.Committed {
		s.log.Warn("Failed to withdraw the announcement of this daemon.", telemetry.ErrorField(result.Err))
	}
}

func (s *Store) announce(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	result := s.direct.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Value: value}})
	if result.Status != table.Committed {
		s.log.Warn("Failed to announce this daemon to its peers.", telemetry.ErrorField(result.Err))
	}
	return result.Status == table.Committed
}

func (s *Store) listPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	listing, err := s.direct.List(ctx, PeersPrefix, 0)
	if err != nil {
		s.log.Warn("Failed to list the peers.", telemetry.ErrorField(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, row := range listing.Rows {
		name := row.Key[len(PeersPrefix):]
		var announcement api.RelayPeer
		if err := cbor.Unmarshal(row.Value, &announcement); err != nil {
			s.log.Warn("Invalid announcement of a peer ignored.", zap.String("peer", name), telemetry.ErrorField(err))
			continue
		}
		listed[name] = true
		if known := s.peers[name]; name != s.self && (known == nil || known.address != announcement.Address) {
			s.peers[name] = newPeer(announcement.Address)
		}
	}
	for name := range s.peers {
		if !listed[name] {
			delete(s.peers, name)
			delete(s.failedAt, name)
			delete(s.succeededAt, name)
		}
	}
}

// probeDirect checks whether the direct path works again.
func (s *Store) probeDirect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := s.direct.Get(ctx, PeersPrefix+s.self); err == nil {
		s.directFailed.Store(false)
		s.log.Info("Direct path to the store works again.")
	}
}

// markDirectFailed makes operations use peers until a probe of the direct path
// succeeds.
func (s *Store) markDirectFailed(err error) {
	if !s.directFailed.Swap(true) {
		s.log.Warn("Direct path to the store failed.", telemetry.ErrorField(err))
	}
}

// Get returns a row and whether it exists.
func (s *Store) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if !s.directFailed.Load() {
		start := time.Now()
		row, found, err := s.direct.Get(ctx, key)
		if s.finishDirectRead(ctx, start, err) {
			return row, found, err
		}
	}
	listing, err := s.readThroughPeers(ctx, &api.RelayFrame{Operation: opGet, Key: key})
	if err != nil || len(listing.Rows) == 0 {
		return table.Row{}, false, err
	}
	return listing.Rows[0], true, nil
}

// List returns the changes below the prefix after version since.
func (s *Store) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	if !s.directFailed.Load() {
		start := time.Now()
		listing, err := s.direct.List(ctx, prefix, since)
		if s.finishDirectRead(ctx, start, err) {
			return listing, err
		}
	}
	return s.readThroughPeers(ctx, &api.RelayFrame{Operation: opList, Key: prefix, Since: since})
}

// Watch waits for changes below the prefix after version since and returns them. It
// waits up to wait on the direct path, and through a peer for a share of the time until
// the deadline of ctx.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	if !s.directFailed.Load() {
		listing, err := s.direct.Watch(ctx, prefix, since, wait)
		// The store may leave a watch unanswered and serve everything else, so a watch
		// that ends at its deadline does not show that the path has failed.
		if err == nil || ctx.Err() != nil || eris.Is(err, table.ErrHistoryLost) {
			return listing, err
		}
		s.markDirectFailed(err)
	}
	return s.readThroughPeers(ctx, &api.RelayFrame{Operation: opWatch, Key: prefix, Since: since})
}

// finishDirectRead reports whether the result of a read on the direct path is final,
// so that no peer is tried. After an error it marks the path as failed, unless the
// caller's deadline came too early to show that.
func (s *Store) finishDirectRead(ctx context.Context, start time.Time, err error) bool {
	if err == nil || eris.Is(err, table.ErrHistoryLost) {
		return true
	}
	if ctx.Err() == nil || time.Since(start) >= unansweredLimit {
		s.markDirectFailed(err)
	}
	return ctx.Err() != nil
}

// Commit applies all writes if all conditions hold, otherwise none. It does not repeat
// a commit that may have been applied through the direct path; the caller has to
// resolve its outcome.
func (s *Store) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if !s.directFailed.Load() {
		start := time.Now()
		result := s.direct.Commit(ctx, conditions, writes)
		switch result.Status {
		case table.Committed, table.Conflict:
			return result
		case table.Unknown:
			if ctx.Err() == nil || time.Since(start) >= unansweredLimit {
				s.markDirectFailed(result.Err)
			}
			return result
		case table.Unavailable:
			s.markDirectFailed(result.Err)
		}
	}
	frame := commitFrame(conditions, writes)
	cause := ErrNoPath
	for _, name := range s.candidates() {
		if err := s.checkPeer(ctx, name); err != nil {
			cause = err
			continue
		}
		answer, err := s.callPeer(ctx, name, frame)
		if err != nil {
			cause = err
			if eris.Is(err, errNotSent) {
				continue
			}
			return table.CommitResult{Status: table.Unknown, Err: err}
		}
		result := parseResult(answer)
		if result.Status != table.Unavailable {
			s.recordSuccess(name)
			return result
		}
		s.recordFailure(name)
		cause = result.Err
	}
	return table.CommitResult{Status: table.Unavailable, Err: cause}
}

// checkPeer checks that a peer answers and reaches the store before a commit is sent
// to it: a commit without an answer has an unknown outcome, a read without an answer
// has no effect.
func (s *Store) checkPeer(ctx context.Context, name string) error {
	s.mu.Lock()
	fresh := time.Since(s.succeededAt[name]) < peerFreshness
	s.mu.Unlock()
	if fresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := s.callPeer(ctx, name, &api.RelayFrame{Operation: opGet, Key: PeersPrefix + s.self})
	if err != nil {
		return err
	}
	if _, err := parseListing(answer); err != nil {
		s.recordFailure(name)
		return err
	}
	s.recordSuccess(name)
	return nil
}

// readThroughPeers sends a read to one peer after the other until one succeeds.
func (s *Store) readThroughPeers(ctx context.Context, frame *api.RelayFrame) (table.Listing, error) {
	cause := ErrNoPath
	for _, name := range s.candidates() {
		answer, err := s.callPeer(ctx, name, frame)
		if err != nil {
			cause = err
			continue
		}
		listing, err := parseListing(answer)
		if err == nil || eris.Is(err, table.ErrHistoryLost) {
			s.recordSuccess(name)
			return listing, err
		}
		s.recordFailure(name)
		cause = err
	}
	return table.Listing{}, cause
}

// JobState returns the state of a job as the dispatcher of another daemon knows it, or
// "" if it is not certain.
func (s *Store) JobState(ctx context.Context, daemon, job string) (string, error) {
	answer, err := s.callPeer(ctx, daemon, &api.RelayFrame{Operation: opState, Key: job})
	if err != nil {
		return "", err
	}
	listing, err := parseListing(answer)
	if err != nil || len(listing.Rows) == 0 {
		return "", err
	}
	return string(listing.Rows[0].Value), nil
}

func (s *Store) callPeer(ctx context.Context, name string, frame *api.RelayFrame) (*api.RelayFrame, error) {
	s.mu.Lock()
	p := s.peers[name]
	s.mu.Unlock()
	if p == nil {
		return nil, errNotSent
	}
	timeout := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	sent := *frame
	sent.WaitMs = timeout.Milliseconds()
	answer, err := p.call(ctx, &sent)
	if err != nil {
		s.recordFailure(name)
	}
	s.scope.Counter("relayed").Inc(1)
	return answer, err
}

// candidates returns the peers to try: the one of the last success first, and without
// those that have failed recently.
func (s *Store) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	now := time.Now()
	if s.preferred != "" && s.peers[s.preferred] != nil && now.Sub(s.failedAt[s.preferred]) > peerBackoff {
		names = append(names, s.preferred)
	}
	for name := range s.peers {
		if len(names) >= maxPeers {
			break
		}
		if name != s.preferred && now.Sub(s.failedAt[name]) > peerBackoff {
			names = append(names, name)
		}
	}
	return names
}

func (s *Store) recordSuccess(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferred = name
	s.succeededAt[name] = time.Now()
	delete(s.failedAt, name)
}

func (s *Store) recordFailure(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[name] = time.Now()
	delete(s.succeededAt, name)
}
