package relay

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// PeersPrefix is the key prefix of the rows in which daemons announce themselves.
	PeersPrefix = "daemons/"
	// probeEvery is the interval between probes of the direct path to the store after it
	// has failed, and probeSpacing the shortest one: an operation that finds no direct
	// path asks for a probe, so that callers are served as soon as the store is back.
	probeEvery   = time.Second
	probeSpacing = 100 * time.Millisecond
	// probeTimeout bounds a probe, and the check of a peer before a commit.
	probeTimeout = 350 * time.Millisecond
	// peerFreshness is how long a peer that has reached the store is not checked again
	// before a commit. If it stops answering within that time, the outcome of a commit
	// sent to it is unknown.
	peerFreshness = 200 * time.Millisecond
	// listEvery is the interval between listings of up to peersAtListEvery peers. With
	// more peers it grows in proportion, so that a listing costs each daemon the same
	// number of rows a second in fleets of any size.
	listEvery        = 5 * time.Second
	peersAtListEvery = 20
	// strangerListEvery is the shortest interval between listings because of unknown senders.
	strangerListEvery = 2 * time.Second
	// strangerWait is how long an unknown sender waits for a listing. It is shorter than
	// dialTimeout of the sender.
	strangerWait = 200 * time.Millisecond
	// unansweredLimit is how long an operation must have been unanswered for the direct
	// path to count as failed. A slow store takes up to half a second to answer.
	unansweredLimit = 600 * time.Millisecond
	// minPeerTime is how long a peer must have left an operation unanswered to count as
	// failed. A peer reads from a slow store in 240 ms.
	minPeerTime = 300 * time.Millisecond
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

	// pathWanted asks for a probe of the direct path, listWanted for a listing of the
	// peers before the next one is due.
	pathWanted chan struct{}
	listWanted atomic.Bool
	// strangers bounds the listings because of unknown senders.
	strangers rate.Sometimes

	mu     sync.Mutex
	peers  peerSet
	listed chan struct{} // closed and replaced after each listing of the peers
	// restored is closed at the end of the current or last failure of the direct path.
	restored chan struct{}
}

var _ table.Watcher = (*Store)(nil)

// NewStore returns a store for the daemon with the name self.
func NewStore(direct table.Watcher, self string, log *zap.Logger, scope tally.Scope) *Store {
	return &Store{
		direct: direct, self: self, log: telemetry.Named(log, "relay"), scope: telemetry.ScopeOrNoop(scope),
		pathWanted: make(chan struct{}, 1), peers: newPeerSet(), strangers: rate.Sometimes{Interval: strangerListEvery}, listed: make(chan struct{}),
	}
}

// Run announces this daemon and updates the list of peers, and probes the direct path
// while it fails, until ctx ends.
func (s *Store) Run(ctx context.Context, announcement api.RelayPeer) error {
	value, err := cbor.Marshal(announcement)
	if err != nil {
		return eris.Wrap(err, "encode the announcement")
	}
	var listedAt time.Time
	announced := false // the listing contains this daemon
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case s.directFailed.Load():
			s.probeDirect(ctx)
		case now.Sub(listedAt) >= s.listInterval(announced) || s.listWanted.Load():
			s.listWanted.Store(false)
			listing, err := s.listPeers(ctx, announcement.Zone)
			if err != nil {
				s.log.Warn("Failed to list the peers.", telemetry.ErrorField(err))
				break // the next round tries again
			}
			listedAt = now
			// After a restart the row of before is often there still. Many daemons that
			// start at once would overload the partition of these rows.
			if announced = bytes.Equal(listing[s.self], value); !announced {
				announced = s.announce(ctx, value)
			}
		}
		s.closeIdlePeers(now)
		s.waitForProbe(ctx)
	}
	return nil
}

// waitForProbe waits for probeEvery, or for probeSpacing if an operation wants the
// direct path to be probed.
func (s *Store) waitForProbe(ctx context.Context) {
	timer := time.NewTimer(probeSpacing)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	timer.Reset(probeEvery - probeSpacing)
	select {
	case <-ctx.Done():
	case <-s.pathWanted:
	case <-timer.C:
	}
}

// wantPath asks for a probe of the direct path.
func (s *Store) wantPath() {
	select {
	case s.pathWanted <- struct{}{}:
	default:
	}
}

// probeDirect checks whether the direct path works again.
func (s *Store) probeDirect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := s.direct.Get(ctx, PeersPrefix+s.self); err == nil {
		s.mu.Lock()
		s.directFailed.Store(false)
		close(s.restored)
		s.mu.Unlock()
		s.log.Info("Direct path to the store works again.")
	}
}

// markDirectFailed makes operations use peers until a probe of the direct path
// succeeds.
func (s *Store) markDirectFailed(err error) {
	s.mu.Lock()
	failedBefore := s.directFailed.Swap(true)
	if !failedBefore {
		s.restored = make(chan struct{})
	}
	s.mu.Unlock()
	if !failedBefore {
		s.log.Warn("Direct path to the store failed.", telemetry.ErrorField(err))
	}
}

// restoredSignal returns a channel that is closed when the direct path works again.
func (s *Store) restoredSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored
}

// Get returns a row and whether it exists.
func (s *Store) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.directFailed.Load() {
		s.wantPath()
	}
	listing, err := s.read(ctx, &api.RelayFrame{Operation: opGet, Key: key}, func() (table.Listing, bool, error) {
		start := time.Now()
		row, found, err := s.direct.Get(ctx, key)
		listing := table.Listing{}
		if found {
			listing.Rows = []table.Row{row}
		}
		return listing, s.finishDirectRead(ctx, start, err), err
	})
	if err != nil || len(listing.Rows) == 0 {
		return table.Row{}, false, err
	}
	return listing.Rows[0], true, nil
}

// List returns the changes below the prefix after version since.
func (s *Store) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	return s.read(ctx, &api.RelayFrame{Operation: opList, Key: prefix, Since: since}, func() (table.Listing, bool, error) {
		start := time.Now()
		listing, err := s.direct.List(ctx, prefix, since)
		return listing, s.finishDirectRead(ctx, start, err), err
	})
}

// Watch waits for changes below the prefix after version since and returns them. It
// waits up to wait on the direct path, and through a peer for a share of the time until
// the deadline of ctx.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	return s.read(ctx, &api.RelayFrame{Operation: opWatch, Key: prefix, Since: since}, func() (table.Listing, bool, error) {
		listing, err := s.direct.Watch(ctx, prefix, since, wait)
		// The store may leave a watch unanswered and serve everything else, so a watch
		// that ends at its deadline does not show that the path has failed.
		if err == nil || ctx.Err() != nil || eris.Is(err, table.ErrHistoryLost) {
			return listing, true, err
		}
		s.markDirectFailed(err)
		return listing, false, err
	})
}

// read reads on the direct path while it works, and otherwise through peers. The
// function direct reports whether its result is final. A read that waits for a peer
// returns to the direct path once that works again.
func (s *Store) read(ctx context.Context, frame *api.RelayFrame, direct func() (table.Listing, bool, error)) (table.Listing, error) {
	for {
		if !s.directFailed.Load() {
			if listing, final, err := direct(); final {
				return listing, err
			}
		}
		listing, err := s.readThroughPeers(ctx, frame)
		if err == nil || ctx.Err() != nil || s.directFailed.Load() {
			return listing, err
		}
	}
}

// finishDirectRead reports whether the result of a read on the direct path is final,
// so that no peer is tried. After an error it marks the path as failed, unless the
// caller's deadline came too early to show that.
func (s *Store) finishDirectRead(ctx context.Context, start time.Time, err error) bool {
	if err == nil || eris.Is(err, table.ErrHistoryLost) {
		return true
	}
	if showsFailure(ctx, start) {
		s.markDirectFailed(err)
	}
	return ctx.Err() != nil
}

// showsFailure reports whether an operation that ended without an answer shows that the
// direct path has failed: not if its caller has left, or allowed too little time.
func showsFailure(ctx context.Context, start time.Time) bool {
	switch {
	case ctx.Err() == nil:
		return true
	case eris.Is(ctx.Err(), context.Canceled):
		return false
	}
	return time.Since(start) >= unansweredLimit
}

// Commit applies all writes if all conditions hold, otherwise none. It does not repeat
// a commit that may have been applied through the direct path; the caller has to
// resolve its outcome.
func (s *Store) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if !s.directFailed.Load() {
		start := time.Now()
		result := s.direct.Commit(ctx, conditions, writes)
		switch result.Status {
		case table.Committed, table.Conflict, table.Rejected:
			return result
		case table.Unknown:
			if showsFailure(ctx, start) {
				s.markDirectFailed(result.Err)
			}
			return result
		case table.Unavailable:
			s.markDirectFailed(result.Err)
		}
	}
	s.wantPath()
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
	fresh := time.Since(s.peers.succeededAt[name]) < peerFreshness
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

// readThroughPeers sends a read to one peer after the other until one succeeds. Each but
// the last gets half of the remaining time, so that a peer that does not answer leaves
// time for the next. It gives up when the direct path works again.
func (s *Store) readThroughPeers(ctx context.Context, frame *api.RelayFrame) (table.Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restored := s.restoredSignal()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-ctx.Done():
		}
	}()
	cause := ErrNoPath
	names := s.candidates()
	for i, name := range names {
		listing, err := s.readThroughPeer(ctx, name, frame, i == len(names)-1)
		if err == nil || eris.Is(err, table.ErrHistoryLost) {
			return listing, err
		}
		cause = err
	}
	return table.Listing{}, cause
}

func (s *Store) readThroughPeer(ctx context.Context, name string, frame *api.RelayFrame, last bool) (table.Listing, error) {
	if deadline, ok := ctx.Deadline(); ok && !last {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	answer, err := s.callPeer(ctx, name, frame)
	if err != nil {
		return table.Listing{}, err
	}
	listing, err := parseListing(answer)
	if err == nil || eris.Is(err, table.ErrHistoryLost) {
		s.recordSuccess(name)
	} else {
		s.recordFailure(name)
	}
	return listing, err
}

// JobState returns the state of a job as the dispatcher of another daemon knows it, or
// "" if it is not certain.
func (s *Store) JobState(ctx context.Context, daemon, job string) (string, error) {
	return s.askDaemon(ctx, daemon, &api.RelayFrame{Operation: opState, Key: job})
}

// EndTermBefore asks another daemon to end a dispatcher's term with a lower epoch, and
// reports whether none runs or will run there any more.
func (s *Store) EndTermBefore(ctx context.Context, daemon string, epoch int64) (bool, error) {
	answer, err := s.askDaemon(ctx, daemon, &api.RelayFrame{Operation: opEndTerm, Key: daemon, Since: epoch})
	return answer == termEnded, err
}

// GrantJob asks the dispatcher of another daemon to admit a job.
func (s *Store) GrantJob(ctx context.Context, daemon, organisation string, bytes int64) error {
	answer, err := s.askDaemon(ctx, daemon, &api.RelayFrame{Operation: opGrant, Key: organisation, Since: bytes})
	if err != nil {
		return err
	}
	return parseGrant(answer)
}

// Results of opGrant.
const (
	granted          = "granted"
	organisationFull = "organisation_full"
	full             = "full"
	notGranted       = "not_granted"
)

func grantText(err error) string {
	switch {
	case err == nil:
		return granted
	case eris.Is(err, admission.ErrOrganisation):
		return organisationFull
	case eris.Is(err, admission.ErrFull):
		return full
	}
	return notGranted
}

func parseGrant(text string) error {
	switch text {
	case granted:
		return nil
	case organisationFull:
		return admission.ErrOrganisation
	case full:
		return admission.ErrFull
	}
	return eris.Errorf("relay: the dispatcher does not admit the job: %q", text)
}

// askDaemon sends an operation to a certain daemon and returns the text of its result.
func (s *Store) askDaemon(ctx context.Context, daemon string, frame *api.RelayFrame) (string, error) {
	if !s.knowsPeer(daemon) {
		// The daemon may have joined since the last listing.
		s.listWanted.Store(true)
	}
	answer, err := s.callPeer(ctx, daemon, frame)
	if err != nil {
		return "", err
	}
	listing, err := parseListing(answer)
	if err != nil || len(listing.Rows) == 0 {
		return "", err
	}
	return string(listing.Rows[0].Value), nil
}

func (s *Store) knowsPeer(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.peers[name] != nil
}

func (s *Store) callPeer(ctx context.Context, name string, frame *api.RelayFrame) (*api.RelayFrame, error) {
	s.mu.Lock()
	p := s.peers.peers[name]
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
	start := time.Now()
	answer, err := p.call(ctx, &sent)
	// A caller that has left, or had little time, says nothing about the peer.
	if err != nil && (ctx.Err() == nil || !eris.Is(ctx.Err(), context.Canceled) && time.Since(start) >= minPeerTime) {
		s.recordFailure(name)
	}
	s.scope.Counter("relayed").Inc(1)
	return answer, err
}

// candidates returns the peers to try for an operation.
func (s *Store) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.candidates(time.Now())
}

func (s *Store) recordSuccess(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.recordSuccess(name, time.Now())
}

func (s *Store) recordFailure(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.recordFailure(name, time.Now())
}
