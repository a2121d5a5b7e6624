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

// Times of a link.
const (
	helloTimeout = 2 * time.Second
	// retireAfter lets calls on a link that another one has replaced finish.
	retireAfter = 2 * time.Second
	// slowWriteFactor times the time until a loss is the longest write of a frame.
	slowWriteFactor = 4
)

// link is one connection to another daemon after the hello.
type link struct {
	mesh        *Mesh
	conn        *websocket.Conn
	vm          string
	zone        string
	incarnation string
	dialled     bool // this daemon dialled
	queue       *queue
	kick        chan struct{} // asks for a heartbeat at once
	done        chan struct{} // closed when the link has ended
	closeOnce   sync.Once
	reason      error // why the link has ended, set before done is closed
	opened      time.Time

	mu        sync.Mutex
	lastRead  time.Time
	lastTouch time.Time
	waiting   map[uint64]chan *api.PeerEnvelope
}

func newLink(m *Mesh, conn *websocket.Conn, hello *api.PeerHello, dialled bool) *link {
	now := time.Now()
	return &link{
		mesh: m, conn: conn, vm: hello.VM, zone: hello.Zone, incarnation: hello.Incarnation, dialled: dialled,
		queue: newQueue(), kick: make(chan struct{}, 1), done: make(chan struct{}),
		opened: now, lastRead: now, waiting: map[uint64]chan *api.PeerEnvelope{},
	}
}

// serve reads and writes until the link ends.
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
	writers.Go(func() { l.write(ctx) })
	writers.Go(func() { l.beat(ctx) })
	l.close(l.read(ctx))
	writers.Wait()
	l.mesh.logger.Debug("Link ended.", zap.String("peer", l.vm), zap.Error(l.reason))
}

// close ends the link without a closing handshake: the peer may not answer.
func (l *link) close(reason error) {
	l.closeOnce.Do(func() {
		l.reason = reason
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

func (l *link) read(ctx context.Context) error {
	for {
		data, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		envelope, message, err := decode(data)
		if err != nil {
			l.mesh.metrics.faults.Inc(1)
			return err
		}
		l.mesh.metrics.received(message, len(data))
		//nolint:contextcheck // Handlers outlive the link and take the context of Run.
		if !l.mesh.receive(l, envelope, message) {
			return errSuperseded
		}
	}
}

// readFrame reads one frame. Each part of it counts as a sign of life, because
// the heartbeats of the peer wait while it sends a large frame.
func (l *link) readFrame(ctx context.Context) ([]byte, error) {
	kind, reader, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, errTextFrame
	}
	return io.ReadAll(&liveReader{reader: reader, link: l})
}

// liveReader notes the time of each read.
type liveReader struct {
	reader io.Reader
	link   *link
}

func (r *liveReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.link.progress(time.Now())
	}
	return n, err
}

// progress notes a sign of life, for the membership not more often than needed.
func (l *link) progress(now time.Time) {
	l.mu.Lock()
	l.lastRead = now
	touch := now.Sub(l.lastTouch) > l.mesh.config.HeartbeatEvery/2
	if touch {
		l.lastTouch = now
	}
	l.mu.Unlock()
	if touch {
		l.mesh.touch(l, now)
	}
}

var (
	errTextFrame  = errors.New("a text frame arrived")
	errSuperseded = errors.New("a newer process runs on the VM of the peer")
	errSilent     = errors.New("the peer is silent")
	errReplaced   = errors.New("a better link to the peer exists")
)

// write sends queued frames. A peer that is alive may read slowly, so a write
// may take several times as long as a loss; silence ends the link earlier.
func (l *link) write(ctx context.Context) {
	for {
		o := l.queue.pop(ctx)
		if o == nil {
			return
		}
		if !o.claim() {
			continue
		}
		if err := l.writeFrame(ctx, o); err != nil {
			l.close(eris.Wrap(err, "write a frame"))
			return
		}
	}
}

func (l *link) writeFrame(ctx context.Context, o *outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, slowWriteFactor*l.mesh.members.lost(l.zone))
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, o.data); err != nil {
		return err
	}
	l.mesh.metrics.sent(o.kind, len(o.data))
	return nil
}

// beat sends heartbeats and ends the link when the peer has been silent too long.
func (l *link) beat(ctx context.Context) {
	ticker := time.NewTicker(l.mesh.heartbeatEvery(l.zone))
	defer ticker.Stop()
	for {
		heartbeat := l.mesh.config.Announce()
		heartbeat.Draining = heartbeat.Draining || l.mesh.draining.Load()
		l.send(&api.PeerEnvelope{Heartbeat: &heartbeat}, kindHeartbeat)
		waited := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.kick:
		}
		lost := l.mesh.members.lost(l.zone)
		if time.Since(waited) > l.mesh.heartbeatEvery(l.zone)+lost/2 {
			l.excuse() // This process did not run; the peer may have sent all the time.
		}
		if l.silence() > lost {
			l.close(errSilent)
			return
		}
	}
}

func (l *link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastRead)
}

// excuse gives the peer the full time until a loss again.
func (l *link) excuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRead = time.Now()
}

func (l *link) kickHeartbeat() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// open tells whether the link has not ended.
func (l *link) open() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// send queues an envelope; nil means that it was not queued.
func (l *link) send(envelope *api.PeerEnvelope, kind Kind) *outgoing {
	o := l.prepare(envelope, kind)
	if o == nil || !l.push(o) {
		return nil
	}
	return o
}

// prepare encodes an envelope; nil means that it cannot be sent at all.
func (l *link) prepare(envelope *api.PeerEnvelope, kind Kind) *outgoing {
	envelope.Revision = l.mesh.config.HighestRevision.Value()
	data, err := encode(envelope)
	if err != nil {
		l.mesh.logger.Error("Message not encoded.", zap.String("kind", string(kind)), zap.Error(err))
		return nil
	}
	if int64(len(data)) > l.mesh.config.MaxFrameBytes {
		l.mesh.logger.Warn("Message too large for a peer.",
			zap.String("kind", string(kind)), zap.Int("bytes", len(data)))
		return nil
	}
	return &outgoing{data: data, kind: kind}
}

func (l *link) push(o *outgoing) bool {
	if l.open() && l.queue.push(o) {
		return true
	}
	l.mesh.metrics.dropped(o.kind)
	return false
}

// pushWait waits for room in the queue, but not longer than a call without a
// deadline waits for its answer.
func (l *link) pushWait(o *outgoing) bool {
	deadline := time.Now().Add(defaultCallTimeout)
	for l.open() && time.Now().Before(deadline) {
		if l.queue.push(o) {
			return true
		}
		time.Sleep(queueWait)
	}
	l.mesh.metrics.dropped(o.kind)
	return false
}

// expect registers a call and returns the channel of its answer.
func (l *link) expect(id uint64) <-chan *api.PeerEnvelope {
	answer := make(chan *api.PeerEnvelope, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[id] = answer
	return answer
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// answer hands an answer to its call; one that nobody waits for is dropped.
func (l *link) answer(envelope *api.PeerEnvelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting := l.waiting[envelope.ID]; waiting != nil {
		waiting <- envelope
		delete(l.waiting, envelope.ID)
	}
}
