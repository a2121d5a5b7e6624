package kit

import (
	"net"
	"sync"
	"sync/atomic"
)

// Link is a listener whose connections can be cut.
type Link struct {
	net.Listener
	cut atomic.Bool

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// NewLink listens on a free loopback port.
func NewLink() (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return &Link{Listener: listener, conns: map[*linkConn]struct{}{}}, err
}

// Cut resets all connections, and each new one until Restore.
func (l *Link) Cut() {
	l.cut.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c.Conn)
	}
}

// Restore lets connections pass again.
func (l *Link) Restore() { l.cut.Store(false) }

// Accept returns the next connection that is not reset.
func (l *Link) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.cut.Load() {
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

// Close closes the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
