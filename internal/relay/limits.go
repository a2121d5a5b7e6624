package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// maxRequestBytes bounds the frame of an operation. The largest one is a commit, which a
	// table service accepts up to 1 MB.
	maxRequestBytes = 1 << 20
	// minFrameBytes is the least budget of frames: two of the largest, and their pieces.
	minFrameBytes = 6 << 20
	// frameTime is the time in which a frame must arrive. A peer sends the largest one in 0.8 s
	// over 10 Mbit/s.
	frameTime = 5 * time.Second
	// firstBufferBytes is the size of the buffer of a frame at first. Most operations fit. The
	// rest of a larger one arrives in pieces.
	firstBufferBytes = 1 << 10
	pieceBytes       = 32 << 10
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

// errFrames means that the budget has no room for a frame.
var errFrames = eris.New("relay: the frames of all peers take too much memory")

// frameBudget bounds the memory of the frames that arrive, and of those whose operation is
// being executed.
type frameBudget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	arriving map[*inboundFrame]struct{}
}

// inboundFrame is the memory of one frame.
type inboundFrame struct {
	budget  *frameBudget
	held    int64
	evicted bool
	close   func()
}

func newFrameBudget(limit int64) *frameBudget {
	return &frameBudget{limit: limit, arriving: map[*inboundFrame]struct{}{}}
}

// charge adds n bytes to a frame that arrives. If there is no room, it closes the connections
// of the largest frames that arrive, and returns an error once the frame itself is the largest.
func (f *inboundFrame) charge(n int64) error {
	b := f.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !f.evicted && b.used+n > b.limit {
		largest := f
		for other := range b.arriving {
			if other.held > largest.held+n {
				largest = other
			}
		}
		b.evictLocked(largest)
	}
	if f.evicted {
		return errFrames
	}
	f.held += n
	b.used += n
	return nil
}

func (b *frameBudget) evictLocked(f *inboundFrame) {
	f.evicted = true
	delete(b.arriving, f)
	b.used -= f.held
	f.held = 0
	go f.close()
}

// release gives back n bytes of the frame, or all if n is 0.
func (f *inboundFrame) release(n int64) {
	b := f.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 || n > f.held {
		n = f.held
	}
	f.held -= n
	b.used -= n
}

// complete makes a frame stay charged until it is released.
func (f *inboundFrame) complete() bool {
	b := f.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, f)
	return !f.evicted
}

// read reads the next frame of a connection. The caller must release it. begun is called when
// the frame starts to arrive.
func (b *frameBudget) read(ctx context.Context, conn *websocket.Conn, begun func()) (f *inboundFrame, data []byte, err error) {
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, nil, err
	}
	begun()
	closeConn := func() { _ = conn.CloseNow() }
	timer := time.AfterFunc(frameTime, closeConn)
	defer timer.Stop()
	f = &inboundFrame{budget: b, close: closeConn}
	b.mu.Lock()
	b.arriving[f] = struct{}{}
	b.mu.Unlock()
	if data, err = f.readAll(reader); err == nil && !f.complete() {
		err = errFrames
	}
	if err != nil {
		f.complete()
		f.release(0)
		return nil, nil, err
	}
	return f, data, nil
}

// piece is a part of a large frame while it arrives. Pieces are used again, because frames that
// are given up would otherwise leave garbage faster than it is collected.
type piece [pieceBytes]byte

var pieces = sync.Pool{New: func() any { return new(piece) }}

// readAll reads a frame. What it reads into is charged before it is allocated.
func (f *inboundFrame) readAll(reader io.Reader) ([]byte, error) {
	if err := f.charge(firstBufferBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstBufferBytes)
	size, ended, err := readFull(reader, first)
	if err != nil || ended {
		return first[:size], err
	}
	var parts []*piece
	defer func() {
		for _, part := range parts {
			pieces.Put(part)
		}
	}()
	for !ended {
		if err := f.charge(pieceBytes); err != nil {
			return nil, err
		}
		part := pieces.Get().(*piece)
		parts = append(parts, part)
		var n int
		if n, ended, err = readFull(reader, part[:]); err != nil {
			return nil, err
		}
		size += n
	}
	if err := f.charge(int64(size)); err != nil {
		return nil, err
	}
	data := append(make([]byte, 0, size), first...)
	for _, part := range parts {
		data = append(data, part[:min(pieceBytes, size-len(data))]...)
	}
	f.release(int64(len(parts) * pieceBytes))
	return data, nil
}

// readFull fills a buffer, and reports whether the frame has ended before.
func readFull(reader io.Reader, buffer []byte) (n int, ended bool, err error) {
	n, err = io.ReadFull(reader, buffer)
	if eris.Is(err, io.EOF) || eris.Is(err, io.ErrUnexpectedEOF) {
		return n, true, nil
	}
	return n, false, err
}
