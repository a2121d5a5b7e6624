package refplatform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	maxIdleConnections     = 1024             // over all addresses of one client
	idleConnectionTimeout  = 90 * time.Second // shorter than the usual idle timeouts of servers
	maxAnswerHeaderBytes   = 64 << 10
	connectionWriteBuffer  = 16 << 10
	connectionReadBuffer   = 16 << 10
	keepAliveProbeInterval = 15 * time.Second
)

// countedConn counts the writes to a connection. The count is incremented before
// the write, so an unchanged count on a closed connection proves that nothing was
// sent. It also adds the bytes of both directions to the metrics.
type countedConn struct {
	net.Conn
	writes         atomic.Int64
	sent, received tally.Counter
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	c.sent.Inc(int64(n))
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Inc(int64(n))
	return n, err
}

func newCountedConn(conn net.Conn, c Config) *countedConn {
	return &countedConn{Conn: conn, sent: telemetry.ControlSent(c.Scope, c.service), received: telemetry.ControlReceived(c.Scope, c.service)}
}

// newTransport returns a transport whose connection pool has the limits of the config.
func newTransport(c Config) *http.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout, KeepAlive: keepAliveProbeInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newCountedConn(conn, c), nil
		},
		MaxConnsPerHost:        c.Connections,
		MaxIdleConnsPerHost:    c.Connections,
		MaxIdleConns:           maxIdleConnections,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		WriteBufferSize:        connectionWriteBuffer,
		ReadBufferSize:         connectionReadBuffer,
		DisableCompression:     true,
	}
}

// sentTracker tracks whether a call may have sent bytes, by comparing the write
// counts of its connections.
type sentTracker struct {
	mu        sync.Mutex
	snapshots []connSnapshot
}

// connSnapshot is the write count of a connection when the call obtained it.
type connSnapshot struct {
	conn   *countedConn
	writes int64
}

// attach returns a context that records the connections that a call obtains.
func (t *sentTracker) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			panic("refplatform: connection was not created by the transport's dialer")
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.snapshots = append(t.snapshots, connSnapshot{conn, conn.writes.Load()})
	}})
}

// sent reports whether the call may have sent a byte. It is exact once the call has
// failed, because the transport closes the connection of a failed call.
func (t *sentTracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, snapshot := range t.snapshots {
		if snapshot.conn.writes.Load() != snapshot.writes {
			return true
		}
	}
	return false
}
