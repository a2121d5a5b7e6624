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

// defaultCallTimeout ends a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// queueWait is the pause before an answer is offered to a full queue again.
const queueWait = 5 * time.Millisecond

// Call sends a message to a VM and waits for the answer. An answer without a
// message means that the peer has no handler for the kind, is at its limit of
// concurrent work, or that its handler gave none.
func (m *Mesh) Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, CallStatus) {
	l := m.link(vm)
	if l == nil {
		return nil, NotSent
	}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	kind, _ := kindOf(&message)
	ctx, span := m.config.Tracer.Start(ctx, "peer call "+string(kind),
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("peer.vm", vm)))
	defer span.End()
	message.ID, message.Reply, message.Traceparent = m.nextCall.Add(1), false, telemetry.Traceparent(ctx)
	answer := l.expect(message.ID)
	defer l.forget(message.ID)
	sent := l.send(&message, kind)
	if sent == nil {
		return nil, NotSent
	}
	return l.await(ctx, sent, answer)
}

func (l *link) await(ctx context.Context, sent *outgoing, answer <-chan *api.PeerEnvelope) (*api.PeerEnvelope, CallStatus) {
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
	if sent.withdraw() {
		return nil, NotSent
	}
	return nil, Unanswered
}

// Notify sends a message without waiting; false means that it was not sent.
func (m *Mesh) Notify(vm string, message api.PeerEnvelope) bool {
	l := m.link(vm)
	if l == nil {
		return false
	}
	kind, _ := kindOf(&message)
	message.ID, message.Reply = 0, false
	return l.send(&message, kind) != nil
}

// touch notes a sign of life of the peer of a link.
func (m *Mesh) touch(l *link, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.touch(l.vm, l.incarnation, 0, now)
}

// receive handles a frame; false means that its sender has been superseded.
func (m *Mesh) receive(l *link, envelope *api.PeerEnvelope, kind Kind) bool {
	m.mu.Lock()
	current := m.members.touch(l.vm, l.incarnation, envelope.Revision, time.Now())
	if current && envelope.Heartbeat != nil {
		m.members.beat(l.vm, envelope.Heartbeat)
	}
	m.mu.Unlock()
	if !current {
		return false
	}
	m.config.HighestRevision.Raise(envelope.Revision)
	switch {
	case envelope.Reply:
		l.answer(envelope)
	case kind == kindHeartbeat || kind == kindHello:
	default:
		m.dispatch(l, envelope, kind)
	}
	return true
}

// dispatch runs the handler of a message on a goroutine of its own.
func (m *Mesh) dispatch(l *link, envelope *api.PeerEnvelope, kind Kind) {
	slots := m.smallWork
	if bulk(kind) {
		slots = m.bulkWork
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
	// The handler outlives the link: work that has begun is not cut off when
	// the caller's link breaks.
	started := m.goRun(func(ctx context.Context) {
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

// reply answers a call; a notice, which has no identifier, gets no answer. The
// work is done, so the answer waits for room in the queue: dropping it would
// leave the caller with an unknown outcome.
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
	if o := l.prepare(&answer, kind); o == nil || !l.pushWait(o) {
		l.mesh.logger.Debug("Answer not sent.", zap.String("peer", l.vm), zap.String("kind", string(kind)))
	}
}

// refuse answers a call that was not handled. It does not wait, because it runs
// on the reader of the link.
func (l *link) refuse(id uint64) {
	if id != 0 {
		l.send(&api.PeerEnvelope{ID: id, Reply: true}, kindEmpty)
	}
}
