package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// dialTimeout bounds the time to connect to a peer, which usually takes a few ms.
	dialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to a peer is kept. It is longer
	// than the usual gap between two operations of a daemon without a path of its own.
	peerIdleTimeout = 10 * time.Second
	// relayPath is the HTTP path on which a daemon serves its peers.
	relayPath = "/relay"
)

// errNotSent means that the operation has certainly not reached the peer.
var errNotSent = eris.New("relay: the peer was not reached")

// peer is another daemon. Its connection is opened on demand and shared by all calls.
type peer struct {
	address string

	mu      sync.Mutex
	conn    *websocket.Conn
	usedAt  time.Time // when the last operation was sent
	heardAt time.Time // when the last result arrived
	lastID  uint64
	pending map[uint64]chan *api.RelayFrame
}

func newPeer(address string) *peer {
	return &peer{address: address, pending: map[uint64]chan *api.RelayFrame{}}
}

// call sends an operation and waits for its result.
func (p *peer) call(ctx context.Context, frame *api.RelayFrame) (*api.RelayFrame, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, eris.Wrap(errNotSent, err.Error())
	}
	result := make(chan *api.RelayFrame, 1)
	p.mu.Lock()
	p.lastID++
	sentAt := time.Now()
	p.usedAt = sentAt
	sent := *frame
	sent.ID = p.lastID
	sent.Traceparent = telemetry.Traceparent(ctx)
	p.pending[sent.ID] = result
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, sent.ID)
		p.mu.Unlock()
	}()
	if err := write(ctx, conn, &sent); err != nil {
		p.closeConn(conn)
		return nil, eris.Wrap(err, "send an operation to a peer")
	}
	select {
	case answer := <-result:
		if answer == nil {
			return nil, eris.New("relay: the connection to the peer ended before the result of the operation arrived")
		}
		return answer, nil
	case <-ctx.Done():
		p.closeIfSilent(ctx, conn, sentAt)
		return nil, eris.Wrap(ctx.Err(), "wait for the result of an operation from a peer")
	}
}

func (p *peer) connect(ctx context.Context) (*websocket.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+p.address+relayPath, &websocket.DialOptions{HTTPClient: http.DefaultClient})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	p.conn = conn
	// The connection outlives this call, because later calls use it too.
	go p.readResults(context.WithoutCancel(ctx), conn)
	return conn, nil
}

// readResults delivers results to the calls that wait for them until the connection
// ends.
func (p *peer) readResults(ctx context.Context, conn *websocket.Conn) {
	defer p.closeConn(conn)
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.heardAt = time.Now()
		result := p.pending[frame.ID]
		delete(p.pending, frame.ID)
		p.mu.Unlock()
		if result != nil {
			result <- frame
		}
	}
}

// closeIfSilent closes a connection on which nothing has arrived since an operation was
// sent whose time has run out: it may be dead, and the next call opens a new one. A
// caller that has left, or a single slow operation, says nothing about the connection,
// and closing it would make the outcome of other operations unknown.
func (p *peer) closeIfSilent(ctx context.Context, conn *websocket.Conn, sentAt time.Time) {
	p.mu.Lock()
	silent := p.heardAt.Before(sentAt)
	p.mu.Unlock()
	if silent && eris.Is(ctx.Err(), context.DeadlineExceeded) {
		p.closeConn(conn)
	}
}

// closeConn closes a connection and fails the calls that wait for a result from it.
func (p *peer) closeConn(conn *websocket.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.closeLocked()
	}
}

// close closes the connection, if one is open.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}

// closeIdle closes the connection if it has not been used for peerIdleTimeout.
func (p *peer) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 && now.Sub(p.usedAt) > peerIdleTimeout {
		p.closeLocked()
	}
}

func (p *peer) closeLocked() {
	if p.conn == nil {
		return
	}
	_ = p.conn.CloseNow()
	p.conn = nil
	for id, result := range p.pending {
		delete(p.pending, id)
		close(result)
	}
}
