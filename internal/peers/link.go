package peers

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// Timeouts of a link.
const (
	helloTimeout = 2 * time.Second
	// replacedLinkGrace is how long a replaced link stays open, so that calls in
	// progress on it can finish.
	replacedLinkGrace = 2 * time.Second
	// writeTimeoutFactor is the timeout of writing a frame as a multiple of the silence
	// timeout.
	writeTimeoutFactor = 4
)

// link is an open connection to another daemon on which both hellos were exchanged.
type link struct {
	mesh         *Mesh
	conn         *websocket.Conn
	vm           string
	zone         string
	incarnation  string
	dialled      bool // whether this daemon dialled
	queue        *queue
	heartbeatNow chan struct{} // requests a heartbeat before the next interval
	done         chan struct{} // closed by close
	closeOnce    sync.Once
	closeReason  error // why the link was closed; set before done is closed
	openedAt     time.Time

	mu           sync.Mutex
	lastRead     time.Time
	lastContact  time.Time // last update of the membership by recordActivity
	pendingCalls map[uint64]chan *api.PeerEnvelope
}

func newLink(m *Mesh, conn *websocket.Conn, hello *api.PeerHello, dialled bool) *link {
	now := time.Now()
	return &link{
		mesh: m, conn: conn, vm: hello.VM, zone: hello.Zone, incarnation: hello.Incarnation, dialled: dialled,
		queue: newQueue(), heartbeatNow: make(chan struct{}, 1), done: make(chan struct{}),
		openedAt: now, lastRead: now, pendingCalls: map[uint64]chan *api.PeerEnvelope{},
	}
}

// serve reads and writes frames until the link closes.
func (l *link) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.done:
		case <-ctx.Done():
			l.close(ctx.Err())
		}
		cancel()
	}()
	var writers sync.WaitGroup
	writers.Go(func() { l.writeFrames(ctx) })
	writers.Go(func() { l.sendHeartbeats(ctx) })
	l.close(l.readFrames(ctx))
	writers.Wait()
	l.mesh.logger.Debug("Link to peer closed.", zap.String("peer", l.vm), zap.Error(l.closeReason))
}

// close closes the link without a closing handshake, as the peer may not respond.
func (l *link) close(reason error) {
	l.closeOnce.Do(func() {
		l.closeReason = reason
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

func (l *link) readFrames(ctx context.Context) error {
	for {
		data, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		envelope, kind, err := decode(data)
		if err != nil {
			l.mesh.metrics.frameFaults.Inc(1)
			return err
		}
		l.mesh.metrics.received(kind, len(data))
		//nolint:contextcheck // Handlers may outlive the link, so they get the context of Run.
		if !l.mesh.receive(l, envelope, kind) {
			return errNewerIncarnation
		}
	}
}

// readFrame reads one frame. Each part of it counts as activity of the peer, because
// its heartbeats are delayed while it sends a large frame.
func (l *link) readFrame(ctx context.Context) ([]byte, error) {
	messageType, reader, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if messageType != websocket.MessageBinary {
		return nil, errTextFrame
	}
	return io.ReadAll(&activityReader{reader: reader, link: l})
}

// activityReader records activity of the peer on each read.
type activityReader struct {
	reader io.Reader
	link   *link
}

func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.link.recordActivity(time.Now())
	}
	return n, err
}

// recordActivity updates the time of the last read. The membership is updated at
// most twice per heartbeat interval.
func (l *link) recordActivity(now time.Time) {
	l.mu.Lock()
	l.lastRead = now
	recordNow := now.Sub(l.lastContact) > l.mesh.config.HeartbeatEvery/2
	if recordNow {
		l.lastContact = now
	}
	l.mu.Unlock()
	if recordNow {
		l.mesh.recordContact(l, now)
	}
}

var (
	errTextFrame        = errors.New("the peer sent a text frame")
	errNewerIncarnation = errors.New("a newer process runs on the VM of the peer")
	errSilent           = errors.New("no data received from the peer within the silence timeout")
	errReplaced         = errors.New("another link to the peer replaces this one")
)

// writeFrames writes queued frames. A healthy peer may read slowly, so the write
// timeout is several times the silence timeout. sendHeartbeats closes the link of a
// silent peer earlier.
func (l *link) writeFrames(ctx context.Context) {
	for {
		o := l.queue.pop(ctx)
		if o == nil {
			return
		}
		if !o.startWriting() {
			continue
		}
		if err := l.writeFrame(ctx, o); err != nil {
			l.close(eris.Wrap(err, "write a frame"))
			return
		}
	}
}

func (l *link) writeFrame(ctx context.Context, o *outgoingFrame) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeoutFactor*l.mesh.members.silenceTimeout(l.zone))
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, o.data); err != nil {
		return err
	}
	l.mesh.metrics.sent(o.kind, len(o.data))
	return nil
}

// sendHeartbeats sends heartbeats and closes the link when the peer has been silent
// for longer than the silence timeout.
func (l *link) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(l.mesh.heartbeatInterval(l.zone))
	defer ticker.Stop()
	for {
		heartbeat := l.mesh.config.Heartbeat()
		heartbeat.Draining = heartbeat.Draining || l.mesh.draining.Load()
		l.send(&api.PeerEnvelope{Heartbeat: &heartbeat}, kindHeartbeat)
		waitStart := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.heartbeatNow:
		}
		timeout := l.mesh.members.silenceTimeout(l.zone)
		if time.Since(waitStart) > l.mesh.heartbeatInterval(l.zone)+timeout/2 {
			l.resetSilence() // This process was suspended; the peer may have sent data meanwhile.
		}
		if l.silence() > timeout {
			l.close(errSilent)
			return
		}
	}
}

// silence returns the time since data was last read from the peer.
func (l *link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastRead)
}

// resetSilence restarts the silence timeout.
func (l *link) resetSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRead = time.Now()
}

func (l *link) triggerHeartbeat() {
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
}

// isOpen reports whether the link has not been closed.
func (l *link) isOpen() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// send encodes and queues an envelope. It returns nil if it was not queued.
func (l *link) send(envelope *api.PeerEnvelope, kind Kind) *outgoingFrame {
	o := l.encodeFrame(envelope, kind)
	if o == nil || !l.push(o) {
		return nil
	}
	return o
}

// encodeFrame encodes an envelope. It returns nil if that fails or if the frame is
// too large.
func (l *link) encodeFrame(envelope *api.PeerEnvelope, kind Kind) *outgoingFrame {
	envelope.Revision = l.mesh.config.HighestRevision.Value()
	data, err := encode(envelope)
	if err != nil {
		l.mesh.logger.Error("Encoding a message for a peer failed.", zap.String("kind", string(kind)), zap.Error(err))
		return nil
	}
	if int64(len(data)) > l.mesh.config.MaxFrameBytes {
		l.mesh.logger.Warn("Message for a peer exceeds the frame limit and is not sent.",
			zap.String("kind", string(kind)), zap.Int("bytes", len(data)))
		return nil
	}
	return &outgoingFrame{data: data, kind: kind}
}

func (l *link) push(o *outgoingFrame) bool {
	if l.isOpen() && l.queue.push(o) {
		return true
	}
	l.mesh.metrics.dropped(o.kind)
	return false
}

// pushWithRetry waits for space in the queue, at most as long as a call without a
// deadline waits for its answer.
func (l *link) pushWithRetry(o *outgoingFrame) bool {
	deadline := time.Now().Add(defaultCallTimeout)
	for l.isOpen() && time.Now().Before(deadline) {
		if l.queue.push(o) {
			return true
		}
		time.Sleep(queueRetryInterval)
	}
	l.mesh.metrics.dropped(o.kind)
	return false
}

// registerCall registers a call and returns the channel that receives its answer.
func (l *link) registerCall(id uint64) <-chan *api.PeerEnvelope {
	answer := make(chan *api.PeerEnvelope, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingCalls[id] = answer
	return answer
}

func (l *link) unregisterCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, id)
}

// deliverAnswer passes an answer to the call that waits for it, and drops it if there
// is none.
func (l *link) deliverAnswer(envelope *api.PeerEnvelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.pendingCalls[envelope.ID]; answer != nil {
		answer <- envelope
		delete(l.pendingCalls, envelope.ID)
	}
}
