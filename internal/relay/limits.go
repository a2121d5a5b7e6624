package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// serverIdleTimeout is longer than peerIdleTimeout, after which a peer closes the connection.
	serverIdleTimeout = 20 * time.Second
	// maxPerAddress is the number of connections from the address of a daemon. A daemon has one,
	// and one more for a while after a restart or a lost connection.
	maxPerAddress = 4
	// defaultConnections is the number of connections if Limits sets none.
	defaultConnections = 64
	// unverifiedDivisor is the divisor of the connections for addresses that are not known to
	// belong to a daemon.
	unverifiedDivisor = 2
	// minIdleTime is how long a connection must have been unused to be closed for a new one.
	minIdleTime = 500 * time.Millisecond
)

// Limits bound what peers can take from a daemon. Zero values get defaults.
type Limits struct {
	// FrameBytes is the memory of the frames that arrive or belong to an operation.
	FrameBytes  int64
	Connections int
	// Verify returns what is known about the address of a sender. The default verifies none
	// and refuses none.
	Verify func(ctx context.Context, ip string) Verification
}

// Verification is what a daemon knows about the address of a sender.
type Verification int

const (
	// Unverified means that the address may belong to a daemon.
	Unverified Verification = iota
	// Announced means that a daemon has announced the address.
	Announced
	// Stranger means that no daemon has announced the address.
	Stranger
)

func (l Limits) withDefaults() Limits {
	l.FrameBytes = max(l.FrameBytes, minFrameBytes)
	if l.Connections <= 0 {
		l.Connections = defaultConnections
	}
	if l.Verify == nil {
		l.Verify = func(context.Context, string) Verification { return Unverified }
	}
	return l
}

// served is a connection of a peer to this daemon.
type served struct {
	address   string // empty if it is not verified
	close     func()
	busy      int // frames that arrive or belong to an operation
	idleSince time.Time
}

// connections are the connections that a daemon serves.
type connections struct {
	limits Limits
	mu     sync.Mutex
	all    map[*served]struct{}
}

// admit adds a connection, and closes another one if there is no room. It returns nil if the
// connection is to be refused. A verified address has connections of its own; all other
// addresses share a part of the limit.
func (cs *connections) admit(r *http.Request, clock func() time.Time) *served {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		ip = r.RemoteAddr
	}
	s := &served{close: func() {}}
	limit := cs.limits.Connections / unverifiedDivisor
	switch cs.limits.Verify(r.Context(), ip) {
	case Stranger:
		return nil
	case Announced:
		s.address, limit = ip, maxPerAddress
	case Unverified:
	}
	now := clock()
	s.idleSince = now
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sameAddress := func(other *served) bool { return other.address == s.address }
	if !cs.makeRoomLocked(now, limit, sameAddress) {
		return nil
	}
	notVerified := func(other *served) bool { return other.address == "" }
	if len(cs.all) >= cs.limits.Connections && !cs.closeIdleLocked(now, notVerified) {
		return nil
	}
	cs.all[s] = struct{}{}
	return s
}

// makeRoomLocked reports whether one more of certain connections is allowed, after it has
// closed an unused one if necessary.
func (cs *connections) makeRoomLocked(now time.Time, limit int, which func(*served) bool) bool {
	count := 0
	for other := range cs.all {
		if which(other) {
			count++
		}
	}
	return count < limit || cs.closeIdleLocked(now, which)
}

// closeIdleLocked closes the connection among certain ones that has been unused longest.
func (cs *connections) closeIdleLocked(now time.Time, which func(*served) bool) bool {
	var victim *served
	for other := range cs.all {
		if which(other) && other.busy == 0 && now.Sub(other.idleSince) >= minIdleTime &&
			(victim == nil || other.idleSince.Before(victim.idleSince)) {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	delete(cs.all, victim)
	go victim.close()
	return true
}

// setClose sets how a connection that was admitted is closed.
func (cs *connections) setClose(s *served, closeConn func()) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	s.close = closeConn
	if _, open := cs.all[s]; !open {
		go closeConn()
	}
}

func (cs *connections) remove(s *served) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, s)
}

func (cs *connections) use(s *served) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	s.busy++
}

func (cs *connections) unuse(s *served, now time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	s.busy--
	s.idleSince = now
}
