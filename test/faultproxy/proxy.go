// Package faultproxy is a small TCP proxy for tests that cuts, delays and holds
// connections, drops answers and cuts them in the middle.
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
	// chunkBytes is the size of one read; delays apply to each chunk.
	chunkBytes     = 32 << 10
	dialTimeout    = 5 * time.Second
	defaultAddress = "127.0.0.1:0"
)

// Faults are the faults in force. The zero value passes everything on.
type Faults struct {
	// Cut resets present connections and resets new ones as soon as they are made.
	Cut bool
	// Delay holds back each chunk of bytes, in both directions.
	Delay time.Duration
	// HoldRequests and HoldAnswers keep bytes back until the switch is turned off,
	// as a network does that loses packets for a while.
	HoldRequests bool
	HoldAnswers  bool
	// DropAnswers resets a connection when the first byte of an answer arrives, so
	// that the request has taken effect and its answer is lost.
	DropAnswers bool
	// CutAnswerAfter ends the stream to the client after so many bytes of answers,
	// counted from the moment the fault is set, and resets the connection to the
	// target. The bytes before the cut arrive.
	CutAnswerAfter int64
}

// HoldBoth returns the faults that hold the bytes of both directions.
func HoldBoth() Faults { return Faults{HoldRequests: true, HoldAnswers: true} }

// Config says where to listen and where to connect.
type Config struct {
	// Listen is the address of the listener; empty takes a free port of 127.0.0.1.
	Listen string
	// Target is the address to which connections are made.
	Target string
	Logger *zap.Logger
}

// Counters count what has happened to connections.
type Counters struct {
	Connections int // accepted
	Open        int
	Reset       int // ended by a fault
}

// Proxy passes TCP connections on to its target.
type Proxy struct {
	config   Config
	logger   *zap.Logger
	listener net.Listener
	pipes    sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed and replaced by each change of faults
	links    map[*link]struct{}
	counters Counters
	closed   bool
}

// New binds the listener. Run serves it.
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

// Set replaces the faults.
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

// resetAll needs the lock.
func (p *Proxy) resetAll() {
	for l := range p.links {
		l.reset()
		p.counters.Reset++
		delete(p.links, l)
	}
}

// Counters returns the counters.
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

// Run passes connections on until the context ends, then cuts them.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.listener.Close() })
	defer stop()
	defer p.pipes.Wait()
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
		p.pipes.Go(func() { p.serve(ctx, conn) })
	}
}

func (p *Proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
}

// add takes up a connection unless new ones are being cut.
func (p *Proxy) add(l *link) bool {
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

// drop resets a connection because of a fault.
func (p *Proxy) drop(l *link) {
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
	if !p.add(l) {
		l.reset()
		return
	}
	defer p.remove(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.config.Target)
	if err != nil {
		p.logger.Debug("target can't be reached", zap.String("target", p.config.Target), zap.Error(err))
		l.reset()
		return
	}
	l.setTarget(target)
	l.pass(ctx, p)
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.reset()
	delete(p.links, l)
}
