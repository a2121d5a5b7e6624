package ingress

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// quietTime is how long nothing must have been refused or closed until pressure has ended.
const quietTime = 3 * time.Second

const (
	// headerFieldBytes and headerValueBytes are the memory of a field of a header, and of each
	// of its values, beside their texts: an entry of a map, a slice and a string.
	headerFieldBytes = 160
	headerValueBytes = 32
)

// Guard applies limits to the connections and requests of an HTTP server.
type Guard struct {
	limits Limits
	now    func() time.Time
	log    *zap.Logger
	scope  tally.Scope
	slots  chan struct{} // of decodings

	mu       sync.Mutex
	budget   *Budget
	headers  int64 // memory of headers
	requests int   // admitted by AdmitStoreRequest
	// sourceRequests are the admitted requests by source, only of sources with any.
	sourceRequests map[string]int
	conns          map[*conn]struct{}
	pressure       bool
	lastEvent      time.Time      // when something was last refused or closed
	events         map[string]int // since the pressure began, by reason
}

// New returns a guard. clock returns the current time; log and scope may be nil.
func New(limits Limits, clock func() time.Time, log *zap.Logger, scope tally.Scope) *Guard {
	return &Guard{
		limits: limits.withDefaults(), now: clock, log: telemetry.Named(telemetry.LoggerOrNop(log), "ingress"),
		scope: telemetry.ScopeOrNoop(scope).SubScope("ingress"), slots: make(chan struct{}, maxDecodings),
		budget: NewBudget(limits.BodyBytes, limits.SourceBytes), sourceRequests: map[string]int{}, conns: map[*conn]struct{}{}, events: map[string]int{},
	}
}

// Attach makes a server that has not been started use the guard. The server must serve on a
// listener of the guard.
func (g *Guard) Attach(server *http.Server) {
	server.ConnState, server.ConnContext = g.ConnState, connContext
	server.Handler = g.handler(server.Handler)
}

// Listener returns a listener that limits the connections of the given one.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{inner, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept closes connections that the limit does not allow. The client has then sent
// nothing that was read.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.guard.admit(inner); ok {
			return c, nil
		}
		inner.Close()
	}
}

// admit adds a connection. At the limit it closes another one, or returns false.
func (g *Guard) admit(inner net.Conn) (*conn, bool) {
	g.mu.Lock()
	var victim *conn
	if len(g.conns) >= g.limits.Connections {
		if victim = g.victim(func(*conn) bool { return true }); victim == nil {
			g.noteLocked(actionRefused, reasonConnections)
			g.mu.Unlock()
			return nil, false
		}
		g.noteLocked(actionClosed, reasonConnections)
		g.removeLocked(victim)
	}
	now := g.now()
	c := &conn{Conn: inner, guard: g, info: ConnInfo{Phase: PhaseHeader, Silent: true, Since: now, Progress: now}}
	g.conns[c] = struct{}{}
	g.gaugesLocked()
	g.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return c, true
}

// victim returns the connection to close among those that the filter accepts, or nil. The
// caller holds the lock.
func (g *Guard) victim(accepts func(*conn) bool) *conn {
	candidates, infos := make([]*conn, 0, len(g.conns)), make([]ConnInfo, 0, len(g.conns))
	for c := range g.conns {
		if accepts(c) {
			info := c.info
			info.Held += c.header
			candidates, infos = append(candidates, c), append(infos, info)
		}
	}
	if i, ok := SelectVictim(infos, g.now()); ok {
		return candidates[i]
	}
	return nil
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	g.releaseLocked(c)
	g.releaseHeaderLocked(c)
	delete(g.conns, c)
	g.gaugesLocked()
}

// releaseLocked gives back the bytes that the connection is charged for.
func (g *Guard) releaseLocked(c *conn) {
	g.budget.Release(c.source, c.info.Held+c.body)
	c.info.Held, c.body = 0, 0
}

func (g *Guard) releaseHeaderLocked(c *conn) {
	g.headers -= c.header
	c.header = 0
}

// noteRead notes the arrival of n bytes, and charges them unless they belong to a body. If
// the limit does not allow them, it closes other connections, or else this one and returns
// false.
func (g *Guard) noteRead(c *conn, n int64) bool {
	g.mu.Lock()
	victims := g.noteReadLocked(c, n)
	closed := c.closed
	g.mu.Unlock()
	for _, victim := range victims {
		victim.Conn.Close()
	}
	return !closed
}

// noteReadLocked does the work of noteRead. It returns the removed connections, which the
// caller must close.
func (g *Guard) noteReadLocked(c *conn, n int64) (victims []*conn) {
	c.info.Progress, c.info.Silent = g.now(), false
	if c.info.Phase == PhaseIdle {
		g.setPhaseLocked(c, PhaseHeader)
	}
	if c.info.Phase != PhaseHeader {
		return nil
	}
	n *= headerMemoryFactor
	for !c.closed {
		if g.headers+n <= g.limits.HeaderBytes {
			g.headers += n
			c.header += n
			g.gaugesLocked()
			return victims
		}
		victim := g.headerVictim(c, n)
		g.noteLocked(actionClosed, reasonHeaders)
		g.removeLocked(victim)
		victims = append(victims, victim)
	}
	return victims
}

// headerVictim returns the connection to close when the headers do not leave room for n more
// bytes of c. If all are new, it is the one with the largest header if that is much larger
// than that of c, so that many large headers do not keep out small ones.
func (g *Guard) headerVictim(c *conn, n int64) *conn {
	arriving := func(other *conn) bool {
		return other != c && other.header > 0 && other.info.Phase == PhaseHeader
	}
	if victim := g.victim(arriving); victim != nil {
		return victim
	}
	largest, size := c, largerHeaderFactor*(c.header+n)
	for other := range g.conns {
		if arriving(other) && other.header > size {
			largest, size = other, other.header
		}
	}
	return largest
}

// AdmitStoreRequest admits a request of a source that uses the store. It returns a function
// to call at its end, or an error if too many are being carried out, in total or for the
// source. Part of the limit is kept for submissions.
func (g *Guard) AdmitStoreRequest(source string, submission bool) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, sourceLimit := g.limits.Requests, max(g.limits.Requests/requestSourceDivisor, 1)
	if !submission {
		limit -= g.limits.Requests / submissionDivisor
	}
	switch {
	case g.sourceRequests[source] >= sourceLimit:
		g.noteLocked(actionRefused, reasonSourceRequests)
		return nil, ErrSourceRequests
	case g.requests >= limit:
		g.noteLocked(actionRefused, reasonRequests)
		return nil, ErrRequests
	}
	g.requests++
	g.sourceRequests[source]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.requests--
		if g.sourceRequests[source]--; g.sourceRequests[source] == 0 {
			delete(g.sourceRequests, source)
		}
	}, nil
}

// ReleaseBody gives back the bytes of the body of a request before its end. The caller must
// no longer refer to the body. A nil guard has no limit.
func (g *Guard) ReleaseBody(r *http.Request) {
	c := connOf(r)
	if g == nil || c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c.source, c.body)
	c.body = 0
	g.gaugesLocked()
}

func (g *Guard) setPhaseLocked(c *conn, phase Phase) {
	now := g.now()
	c.info.Phase, c.info.Since, c.info.Progress = phase, now, now
}

// ConnState is the hook of http.Server. A connection is idle again only after its answer
// has been written.
func (g *Guard) ConnState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseHeaderLocked(c)
	g.setPhaseLocked(c, PhaseIdle)
	g.gaugesLocked()
}

type connKey struct{}

func connContext(ctx context.Context, inner net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, inner)
}

// connOf returns the connection of a request, or nil if no guard has accepted it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !g.begin(c, headerMemory(r)) {
			panic(http.ErrAbortHandler) // ends the connection; see http.Handler
		}
		defer g.end(c)
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		// net/http reads up to 256 KB of an unread body before it sends the answer. Only what
		// has arrived with the header is read; ReadBody sets a later deadline.
		g.setReadDeadline(c, past)
		next.ServeHTTP(w, r)
		if !g.receivedBody(c) {
			g.closeAfterAnswer(c, w)
		}
	})
}

// headerMemory estimates the memory of a parsed header.
func headerMemory(r *http.Request) int64 {
	n := int64(len(r.RequestURI))
	for name, values := range r.Header {
		n += headerFieldBytes + int64(len(name))
		for _, value := range values {
			n += headerValueBytes + int64(len(value))
		}
	}
	return n
}

// begin marks the connection as busy. It returns false if the connection was closed in the
// meantime; its request must then not be carried out.
func (g *Guard) begin(c *conn, header int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return false
	}
	// The charge so far is for the worst case, and includes what arrived with the header.
	if header < c.header {
		g.headers -= c.header - header
		c.header = header
		g.gaugesLocked()
	}
	c.received = false
	g.setPhaseLocked(c, PhaseBusy)
	return true
}

// end gives back the bytes of the request, whose answer net/http then sends.
func (g *Guard) end(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c)
	c.evicted = nil
	if c.info.Phase != PhaseRefused {
		g.setPhaseLocked(c, PhaseAnswering)
	}
	g.gaugesLocked()
}

// receivedBody reports whether ReadBody has read the body of the request to its end.
func (g *Guard) receivedBody(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.received
}

func (g *Guard) setReadDeadline(c *conn, deadline time.Time) {
	if err := c.SetReadDeadline(deadline); err != nil {
		g.log.Debug("Failed to set the read deadline of a connection, which is closed.", zap.Error(err))
	}
}

// Abandon makes the server close the connection after the answer, without reading the rest
// of the body. w must be the writer that the server has passed to its handler. The request
// must not have been carried out.
func (g *Guard) Abandon(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if g == nil || c == nil || r.ContentLength == 0 {
		return
	}
	g.mu.Lock()
	g.releaseLocked(c)
	g.setPhaseLocked(c, PhaseRefused)
	g.gaugesLocked()
	g.mu.Unlock()
	g.closeAfterAnswer(c, w)
}

// closeAfterAnswer makes the server close the connection after the answer, without reading
// the rest of the body.
func (g *Guard) closeAfterAnswer(c *conn, w http.ResponseWriter) {
	// MaxBytesReader tells the server that a limit was exceeded. The server then waits a
	// little before it closes the connection, so that the answer is not lost.
	_, _ = http.MaxBytesReader(w, &unlimited{}, 0).Read(make([]byte, 1))
	g.setReadDeadline(c, past)
}

// unlimited is a body that exceeds any limit.
type unlimited struct{}

func (unlimited) Read(p []byte) (int, error) { return len(p), nil }
func (unlimited) Close() error               { return nil }

// Decode calls decode when few other bodies are being decoded. It returns an error if the
// context ends before. A nil guard has no limit.
func (g *Guard) Decode(ctx context.Context, decode func()) error {
	if g == nil {
		decode()
		return nil
	}
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		g.mu.Lock()
		g.noteLocked(actionRefused, reasonDecodings)
		g.mu.Unlock()
		return ErrExhausted
	}
	defer func() { <-g.slots }()
	decode()
	return nil
}

// noteLocked counts a refused request or a closed connection. The first one begins
// pressure, which ends after quietTime without another.
func (g *Guard) noteLocked(action, reason string) {
	g.scope.Tagged(map[string]string{"reason": reason}).Counter(action).Inc(1)
	if reason == reasonLate || reason == reasonTooLarge {
		return // says nothing about the load
	}
	g.lastEvent = g.now()
	g.events[action+" "+reason]++
	if g.pressure {
		return
	}
	g.pressure = true
	g.log.Warn("Limits of clients reached.", append(g.figuresLocked(), zap.String("first", action+" "+reason))...)
	time.AfterFunc(quietTime, g.checkPressure)
}

func (g *Guard) checkPressure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rest := quietTime - g.now().Sub(g.lastEvent); rest > 0 {
		time.AfterFunc(rest, g.checkPressure)
		return
	}
	g.log.Info("Limits of clients no longer reached.", append(g.figuresLocked(), zap.Any("events", g.events))...)
	g.pressure, g.events = false, map[string]int{}
}

func (g *Guard) figuresLocked() []zap.Field {
	return []zap.Field{zap.Int("connections", len(g.conns)), zap.Int("connection_limit", g.limits.Connections),
		zap.Int64("body_bytes", g.budget.Used()), zap.Int64("body_bytes_limit", g.budget.limit),
		zap.Int64("header_bytes", g.headers), zap.Int64("header_bytes_limit", g.limits.HeaderBytes)}
}

func (g *Guard) gaugesLocked() {
	g.scope.Gauge("connections").Update(float64(len(g.conns)))
	g.scope.Gauge("body_bytes").Update(float64(g.budget.Used()))
	g.scope.Gauge("header_bytes").Update(float64(g.headers))
}

// AddressSource returns the source of a request whose token is not known.
func AddressSource(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return "address " + strings.ToLower(host)
}
