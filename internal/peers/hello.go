package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// endpointPath is the URL path of the WebSocket endpoint.
const endpointPath = "/peers"

// ServeHTTP accepts a link from another daemon and serves it until it closes.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != endpointPath {
		http.NotFound(w, r)
		return
	}
	select {
	case m.helloSlots <- struct{}{}:
	default:
		http.Error(w, "too many connections without a hello", http.StatusServiceUnavailable)
		return
	}
	holdsSlot := true
	releaseSlot := func() {
		if holdsSlot {
			holdsSlot = false
			<-m.helloSlots
		}
	}
	defer releaseSlot()
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	ended := make(chan struct{})
	//nolint:contextcheck // The context of the request ends when the connection is hijacked.
	started := m.runInBackground(func(ctx context.Context) {
		defer close(ended)
		l, err := m.accept(ctx, conn)
		if err != nil {
			m.logger.Debug("Connection from peer rejected.", zap.String("address", r.RemoteAddr), zap.Error(err))
			return
		}
		releaseSlot()
		l.serve(ctx)
		m.unregister(l)
	})
	if started {
		<-ended
	}
}

// accept reads and checks the hello of the dialling daemon, then sends that of this
// daemon.
func (m *Mesh) accept(ctx context.Context, conn *websocket.Conn) (*link, error) {
	hello, revision, err := m.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if err := m.writeHello(ctx, conn); err != nil {
		return nil, err
	}
	return m.establish(conn, hello, revision, "", false)
}

// establish creates and registers a link after both sides have sent their hello.
func (m *Mesh) establish(conn *websocket.Conn, hello *api.PeerHello, revision int64, address string, dialled bool) (*link, error) {
	conn.SetReadLimit(m.config.MaxFrameBytes)
	l := newLink(m, conn, hello, dialled)
	if err := m.register(l, hello, revision, address); err != nil {
		return nil, err
	}
	m.metrics.linksOpened.Inc(1)
	m.config.HighestRevision.Raise(revision)
	return l, nil
}

func (m *Mesh) writeHello(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	data, err := encode(&api.PeerEnvelope{
		Revision: m.config.HighestRevision.Value(),
		Hello: &api.PeerHello{
			VM: m.config.VM, Zone: m.config.Zone, Incarnation: m.config.Incarnation,
			Protocol: protocolVersion, Token: m.config.Token,
		},
	})
	if err != nil {
		return err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return eris.Wrap(err, "send the hello")
	}
	m.metrics.sent(kindHello, len(data))
	return nil
}

func (m *Mesh) readHello(ctx context.Context, conn *websocket.Conn) (*api.PeerHello, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn.SetReadLimit(maxHelloBytes)
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the hello")
	}
	envelope, kind, err := decode(data)
	if err != nil {
		return nil, 0, err
	}
	m.metrics.received(kind, len(data))
	hello := envelope.Hello
	switch {
	case hello == nil:
		return nil, 0, eris.New("the first frame is not a hello")
	case !tokensEqual(hello.Token, m.config.Token):
		return nil, 0, eris.New("the hello has a wrong token")
	case hello.Protocol != protocolVersion:
		return nil, 0, eris.Errorf("the hello has the unsupported protocol version %d", hello.Protocol)
	case hello.VM == "" || hello.Zone == "" || hello.Incarnation == "":
		return nil, 0, eris.New("the hello lacks the VM, zone or incarnation")
	}
	return hello, envelope.Revision, nil
}

// tokensEqual compares hashes of equal length in constant time, so that the duration
// reveals nothing about the token.
func tokensEqual(a, b string) bool {
	first, second := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(first[:], second[:]) == 1
}

var (
	errSelf             = eris.New("the address belongs to this daemon")
	errDuplicateVM      = eris.New("the peer claims the VM of this daemon")
	errOlderIncarnation = eris.New("the peer is an older process on its VM")
)

// register makes the link the current one of its peer, unless an existing link is
// preferred and active.
func (m *Mesh) register(l *link, hello *api.PeerHello, revision int64, address string) error {
	if hello.VM == m.config.VM {
		if hello.Incarnation == m.config.Incarnation {
			return errSelf
		}
		return errDuplicateVM
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCtx == nil || m.runCtx.Err() != nil {
		return eris.New("the mesh is not running")
	}
	old := m.links[l.vm]
	if !m.members.applyHello(hello, revision, address, time.Now()) {
		return errOlderIncarnation
	}
	switch {
	case old == nil:
	case old.incarnation != l.incarnation:
		old.close(errNewerIncarnation)
	case m.preferred(old) && !m.preferred(l) && old.silence() < 2*m.heartbeatInterval(l.zone):
		return errReplaced
	default:
		time.AfterFunc(replacedLinkGrace, func() { old.close(errReplaced) })
	}
	m.links[l.vm] = l
	return nil
}

// preferred reports whether the daemon with the lower VM identifier dialled the
// link. Of two links between the same daemons, both sides thus keep the same one.
func (m *Mesh) preferred(l *link) bool { return l.dialled == (m.config.VM < l.vm) }

func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.vm] == l {
		delete(m.links, l.vm)
	}
}

func (m *Mesh) link(vm string) *link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.links[vm]
}
