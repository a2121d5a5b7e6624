// Package faultproxy is a small TCP proxy for tests that injects network faults:
// it resets connections, delays and holds bytes, and drops or truncates answers.
package faultproxy

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// chunkBytes bounds one read, and with it the chunk to which a delay applies.
	chunkBytes     = 32 << 10
	dialTimeout    = 5 * time.Second
	defaultAddress = "127.0.0.1:0"
)

// Faults are the faults that a proxy injects. The zero value injects none.
type Faults struct {
	// Cut resets the open connections, and new ones as soon as they are accepted.
	Cut bool
	// Delay holds back each chunk of bytes, in both directions.
	Delay time.Duration
	// HoldRequests and HoldAnswers hold the bytes of one direction until the field is
	// unset. A network that loses packets for a while has the same effect.
	HoldRequests bool
	HoldAnswers  bool
	// DropAnswers resets a connection when the first bytes of an answer arrive: the
	// request has taken effect, but its answer is lost.
	DropAnswers bool
	// CutAnswerAfter, if positive, ends the stream to the client after this number
	// of bytes of answers since the fault was set, and resets the connection to the
	// target. The bytes before the cut arrive.
	CutAnswerAfter int64
}

// HoldBoth returns the faults that hold the bytes of both directions.
func HoldBoth() Faults { return Faults{HoldRequests: true, HoldAnswers: true} }

// Config holds the addresses of a proxy and the parent of its logger.
type Config struct {
	// Listen is the address of the listener; if empty, a free port of 127.0.0.1.
	Listen string
	// Target is the address to which connections are forwarded.
	Target string
	// Logger is the parent of the proxy's logger; nil means no logging.
	Logger *zap.Logger
}

// Counters counts connections.
type Counters struct {
	Connections int // accepted
	Open        int
	Reset       int // by a fault
}

// Proxy forwards TCP connections to its target.
type Proxy struct {
	config      Config
	logger      *zap.Logger
	listener    net.Listener
	connections sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed and replaced by each change of faults
	links    map[*link]struct{}
	counters Counters
	closed   bool
}

// New returns a proxy that listens. Run accepts the connections.
func New(c Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", cmp.Or(c.Listen, defaultAddress))
	if err != nil {
		return nil, eris.Wrap(err, "listen for fault proxy")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Proxy{
		config: c, logger: c.Logger.Named("faultproxy"), listener: listener,
		changed: make(chan struct{}), links: map[*link]struct{}{},
	}, nil
}

// Address returns the address of the listener.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults, which apply to open connections too.
func (p *Proxy) Set(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
	if faults.Cut {
		p.resetAll()
	}
}

// ResetConnections resets the open connections and leaves the faults unchanged.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll resets all open connections. The caller holds p.mu.
func (p *Proxy) resetAll() {
	for l := range p.links {
		l.reset()
		p.counters.Reset++
		delete(p.links, l)
	}
}

// Counters returns the current counts.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters := p.counters
	counters.Open = len(p.links)
	return counters
}

// state returns the faults and a channel that is closed when they change.
func (p *Proxy) state() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// Run forwards connections until the context ends, then resets them.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.listener.Close() })
	defer stop()
	defer p.connections.Wait()
	defer p.close()
	for {
		conn, err := p.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept in fault proxy")
		}
		p.connections.Go(func() { p.serve(ctx, conn) })
	}
}

func (p *Proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
}

// addLink registers a connection. It returns false if the connection must be reset
// because Faults.Cut is set or the proxy is closed.
func (p *Proxy) addLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Connections++
	if p.faults.Cut || p.closed {
		p.counters.Reset++
		return false
	}
	p.links[l] = struct{}{}
	return true
}

// resetLink resets a connection because of a fault.
func (p *Proxy) resetLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.reset()
	if _, open := p.links[l]; open {
		p.counters.Reset++
		delete(p.links, l)
	}
}

func (p *Proxy) countReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Reset++
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	l := &link{client: client}
	if !p.addLink(l) {
		l.reset()
		return
	}
	defer p.removeLink(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.config.Target)
	if err != nil {
		p.logger.Debug("Resetting a connection: target can't be reached.", zap.String("target", p.config.Target), zap.Error(err))
		l.reset()
		return
	}
	l.setTarget(target)
	l.forward(ctx, p)
}

func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.reset()
	delete(p.links, l)
}
