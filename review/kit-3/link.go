package kit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the state of a link.
type Mode int32

const (
	// Open links pass everything.
	Open Mode = iota
	// Reset links reset each connection.
	Reset
	// Silent links deliver nothing and report no error.
	Silent
)

// silentPoll is how often a silent connection looks whether its link passes bytes again.
const silentPoll = 20 * time.Millisecond

// Link is a listener whose connections can be cut.
type Link struct {
	net.Listener
	mode atomic.Int32

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// NewLink listens on a free loopback port.
func NewLink() (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return &Link{Listener: listener, conns: map[*linkConn]struct{}{}}, err
}

// Set changes the mode. Connections that were open are reset when the mode becomes Reset.
func (l *Link) Set(mode Mode) {
	l.mode.Store(int32(mode))
	if mode != Reset {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c.Conn)
	}
}

// Accept returns the next connection that is not reset.
func (l *Link) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if Mode(l.mode.Load()) == Reset {
			reset(conn)
			continue
		}
		c := &linkConn{Conn: conn, link: l}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

type linkConn struct {
	net.Conn
	link *Link
}

func (c *linkConn) awaitOpen() {
	for Mode(c.link.mode.Load()) == Silent {
		time.Sleep(silentPoll)
	}
}

// Read delivers nothing while the link is silent.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.awaitOpen()
	return n, err
}

// Write sends nothing while the link is silent.
func (c *linkConn) Write(p []byte) (int, error) {
	c.awaitOpen()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
