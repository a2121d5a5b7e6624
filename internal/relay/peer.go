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
	// dialTimeout bounds the time to reach a peer; the way takes a few ms.
	dialTimeout = 300 * time.Millisecond
	// relayPath is where a daemon serves its peers.
	relayPath = "/relay"
)

// errNotSent means that the operation has certainly not reached the peer.
var errNotSent = eris.New("relay: the peer was not reached")

// peer is a connection to another daemon, made when it is needed.
type peer struct {
	address string

	mu      sync.Mutex
	conn    *websocket.Conn
	next    uint64
	waiting map[uint64]chan *api.RelayFrame
}

func newPeer(address string) *peer {
	return &peer{address: address, waiting: map[uint64]chan *api.RelayFrame{}}
}

// call sends an operation and waits for its result.
func (p *peer) call(ctx context.Context, frame *api.RelayFrame) (*api.RelayFrame, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, eris.Wrap(errNotSent, err.Error())
	}
	result := make(chan *api.RelayFrame, 1)
	p.mu.Lock()
	p.next++
	sent := *frame
	sent.ID = p.next
	sent.Traceparent = telemetry.Traceparent(ctx)
	p.waiting[sent.ID] = result
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, sent.ID)
		p.mu.Unlock()
	}()
	if err := write(ctx, conn, &sent); err != nil {
		p.drop(conn)
		return nil, eris.Wrap(err, "send to a peer")
	}
	select {
	case answer := <-result:
		if answer == nil {
			return nil, eris.New("relay: the connection to the peer has ended")
		}
		return answer, nil
	case <-ctx.Done():
		// The connection may have gone silent; the next call makes a new one.
		p.drop(conn)
		return nil, eris.Wrap(ctx.Err(), "wait for a peer")
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
	conn.SetReadLimit(maxFrame)
	p.conn = conn
	// The connection serves later calls too.
	go p.read(context.WithoutCancel(ctx), conn)
	return conn, nil
}

// read hands results to the calls that wait for them.
func (p *peer) read(ctx context.Context, conn *websocket.Conn) {
	defer p.drop(conn)
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
		result := p.waiting[frame.ID]
		delete(p.waiting, frame.ID)
		p.mu.Unlock()
		if result != nil {
			result <- frame
		}
	}
}

// drop ends a connection and the calls that wait on it.
func (p *peer) drop(conn *websocket.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	_ = conn.CloseNow()
	for id, result := range p.waiting {
		delete(p.waiting, id)
		close(result)
	}
}
