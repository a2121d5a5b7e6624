package peers

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// queueRetryInterval is the delay between attempts to add an answer to a full queue.
const queueRetryInterval = 5 * time.Millisecond

// Call sends a message to a VM and waits for the answer. An answer without a
// message means that the peer has no handler for the kind, that all of its
// handler slots are in use, or that the handler returned nothing.
func (m *Mesh) Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, CallStatus) {
	l := m.link(vm)
	if l == nil {
		return nil, NotSent
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	kind, _ := kindOf(&message)
	ctx, span := m.config.Tracer.Start(ctx, "peer call "+string(kind),
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("peer.vm", vm)))
	defer span.End()
	message.ID, message.Reply, message.Traceparent = m.lastCallID.Add(1), false, telemetry.Traceparent(ctx)
	answer := l.registerCall(message.ID)
	defer l.unregisterCall(message.ID)
	frame := l.send(&message, kind)
	if frame == nil {
		return nil, NotSent
	}
	return l.awaitAnswer(ctx, frame, answer)
}

// awaitAnswer waits for the answer to a call. If ctx ends or the link closes first, it
// withdraws the frame to determine whether the call can have reached the peer.
func (l *link) awaitAnswer(ctx context.Context, frame *outgoingFrame, answer <-chan *api.PeerEnvelope) (*api.PeerEnvelope, CallStatus) {
	select {
	case envelope := <-answer:
		return envelope, Answered
	case <-ctx.Done():
	case <-l.done:
	}
	select {
	case envelope := <-answer:
		return envelope, Answered
	default:
	}
	if frame.withdraw() {
		return nil, NotSent
	}
	return nil, Unanswered
}

// Notify queues a message that needs no answer. It reports whether the message
// was queued.
func (m *Mesh) Notify(vm string, message api.PeerEnvelope) bool {
	l := m.link(vm)
	if l == nil {
		return false
	}
	kind, _ := kindOf(&message)
	message.ID, message.Reply = 0, false
	return l.send(&message, kind) != nil
}

// recordContact updates the time at which the peer of a link was last heard from.
func (m *Mesh) recordContact(l *link, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.recordContact(l.vm, l.incarnation, 0, now)
}

// receive handles a frame. It returns false if a newer process on the VM has
// superseded the sender.
func (m *Mesh) receive(l *link, envelope *api.PeerEnvelope, kind Kind) bool {
	m.mu.Lock()
	current := m.members.recordContact(l.vm, l.incarnation, envelope.Revision, time.Now())
	if current && envelope.Heartbeat != nil {
		m.members.applyHeartbeat(l.vm, envelope.Heartbeat)
	}
	m.mu.Unlock()
	if !current {
		return false
	}
	m.config.HighestRevision.Raise(envelope.Revision)
	switch {
	case envelope.Reply:
		l.deliverAnswer(envelope)
	case kind == kindHeartbeat || kind == kindHello:
	default:
		m.dispatch(l, envelope, kind)
	}
	return true
}

// dispatch runs the handler of a message on its own goroutine. A message without a
// handler or a free handler slot is refused.
func (m *Mesh) dispatch(l *link, envelope *api.PeerEnvelope, kind Kind) {
	slots := m.smallSlots
	if isBulk(kind) {
		slots = m.bulkSlots
	}
	handler := m.handlers[kind]
	if handler == nil {
		l.refuse(envelope.ID)
		return
	}
	select {
	case slots <- struct{}{}:
	default:
		m.metrics.dropped(kind)
		l.refuse(envelope.ID)
		return
	}
	// The handler gets the context of Run, not that of the link: work that has
	// started continues when the link to the caller breaks.
	started := m.runInBackground(func(ctx context.Context) {
		defer func() { <-slots }()
		ctx, span := m.config.Tracer.Start(telemetry.WithTraceparent(ctx, envelope.Traceparent),
			"peer handle "+string(kind), trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		l.reply(envelope.ID, handler(ctx, m.member(l.vm), envelope))
	})
	if !started {
		<-slots
	}
}

// reply answers a call. Notifications have the identifier 0 and get no answer.
// The work is done and dropping its answer would leave the caller with an unknown
// outcome, so reply waits for space in the queue.
func (l *link) reply(id uint64, envelope *api.PeerEnvelope) {
	if id == 0 {
		return
	}
	answer := api.PeerEnvelope{}
	if envelope != nil {
		answer = *envelope
	}
	answer.ID, answer.Reply = id, true
	kind, _ := kindOf(&answer)
	if o := l.encodeFrame(&answer, kind); o == nil || !l.pushWithRetry(o) {
		l.mesh.logger.Debug("Answer to peer dropped.", zap.String("peer", l.vm), zap.String("kind", string(kind)))
	}
}

// refuse sends an empty answer to a call that was not handled. It must not block,
// because it runs on the goroutine that reads the link.
func (l *link) refuse(id uint64) {
	if id != 0 {
		l.send(&api.PeerEnvelope{ID: id, Reply: true}, kindEmpty)
	}
}
