package router

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
)

// keyReusedStatus marks a forwarded refusal of a reused key in Result.Status;
// the message has no field for it.
const keyReusedStatus = 409

// hopAllowance is the time kept back from a forward for the way to the peer and
// back, so that a refusal at the deadline of the peer still arrives.
const hopAllowance = 10 * time.Millisecond

// forwardedTime returns the time that a peer may take out of the time left.
func forwardedTime(left time.Duration) time.Duration {
	return left - min(hopAllowance, left/10)
}

// forward sends a request to a peer that dispatches it on its own minions.
func (r *Router) forward(ctx context.Context, j *job, vm string) step {
	ctx, span := r.tracer.Start(ctx, "peer", trace.WithAttributes(attribute.String("peer", vm)))
	defer span.End()
	r.scope.Counter("forwards").Inc(1)
	answer, status := r.config.Network.Call(ctx, vm, api.PeerEnvelope{
		Traceparent: traceparent(ctx),
		RequestForward: &api.PeerRequestForward{
			RequestID: j.ID, Organisation: j.Organisation, Request: j.Submit, Urgency: j.Urgency,
			RemainingMs: forwardedTime(time.Until(j.Deadline)).Milliseconds(),
			BodyLength:  int64(len(j.Submit.Body)), BodyChecksum: xxhash.Sum64(j.Submit.Body),
		},
	})
	j.peers[vm] = true
	if status == peers.NotSent {
		r.pool.forwarded(vm, true)
		return step{reply: r.refused(j, &refusal{Unavailable, "the peer cannot be reached", leastRetryAfter}), retry: true, free: true}
	}
	if status == peers.Answered && r.intact(j, vm, answer) {
		back := answer.RequestResult
		r.pool.forwarded(vm, back.Result.Outcome == api.OutcomeNotRun)
		return r.judgeForwarded(j, back)
	}
	r.pool.forwarded(vm, true)
	return r.lost(ctx, j, vm)
}

// intact checks that an answer belongs to the request and is whole.
func (r *Router) intact(j *job, vm string, answer *api.PeerEnvelope) bool {
	if answer != nil && answer.RequestResult != nil {
		back := answer.RequestResult
		if back.RequestID == j.ID && back.Result.RequestID == j.ID && whole(back.Result.Body, back.BodyLength, back.BodyChecksum) {
			return true
		}
	}
	r.scope.Counter("broken_answers").Inc(1)
	r.log.Warn("A peer answered with a truncated or crossed result.", zap.String("peer", vm), zap.String("request", j.ID))
	return false
}

// judgeForwarded turns the answer of a peer into a step.
func (r *Router) judgeForwarded(j *job, back *api.PeerRequestResult) step {
	out := Reply{Result: back.Result}
	j.attempts += back.Result.Attempts
	out.Result.Attempts = j.attempts
	switch back.Result.Outcome {
	case api.OutcomeNotRun:
		if back.Result.Status == keyReusedStatus {
			return step{reply: refuse(j, KeyReused, back.Result.Reason, 0)}
		}
		why := &refusal{Overloaded, back.Result.Reason, max(time.Duration(back.RetryAfterMs)*time.Millisecond, leastRetryAfter)}
		return step{reply: r.refused(j, why), retry: true, free: true}
	case api.OutcomeFailed:
		return step{reply: out, retry: retryable(back.Result.Status) && !j.Submit.NonIdempotent}
	case api.OutcomeUnknown:
		return step{reply: out, retry: !j.Submit.NonIdempotent}
	default:
		return step{reply: out}
	}
}

// lost settles a forward without a whole answer: an idempotent request may be
// tried again, and for others the claim row decides.
func (r *Router) lost(ctx context.Context, j *job, vm string) step {
	if ctx.Err() != nil {
		r.config.Network.Notify(vm, api.PeerEnvelope{RequestCancel: &api.PeerRequestCancel{RequestID: j.ID}})
	}
	if !j.Submit.NonIdempotent {
		return step{reply: unknown(j, "the peer that got the request was lost"), retry: true}
	}
	j.elsewhere = true
	return r.awaitResult(ctx, j, true)
}

// servedForwards holds the cancel functions of the requests that peers forwarded.
type servedForwards struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

func (s *servedForwards) add(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		s.cancel = map[string]context.CancelFunc{}
	}
	s.cancel[id] = cancel
}

func (s *servedForwards) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancel, id)
}

func (s *servedForwards) stop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancel[id]; ok {
		cancel()
	}
}

// serveForward dispatches a request that a peer received.
func (r *Router) serveForward(ctx context.Context, from peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	forward := envelope.RequestForward
	if forward == nil {
		return nil
	}
	j := &job{Request: Request{
		ID: forward.RequestID, Organisation: forward.Organisation, Submit: forward.Request, Urgency: forward.Urgency,
		Deadline: time.Now().Add(time.Duration(forward.RemainingMs) * time.Millisecond),
	}}
	if !whole(forward.Request.Body, forward.BodyLength, forward.BodyChecksum) {
		r.log.Warn("A peer forwarded a truncated or crossed request.", zap.String("peer", from.VM), zap.String("request", j.ID))
		return resultEnvelope(refuse(j, Unavailable, "the forwarded body is not whole", leastRetryAfter))
	}
	if !r.flights.enter() {
		return resultEnvelope(refuse(j, Unavailable, "this daemon is stopping", retryAfterUnavailable))
	}
	defer r.flights.leave()
	ctx, cancel := context.WithCancel(withTraceparent(ctx, envelope.Traceparent))
	defer cancel()
	r.served.add(j.ID, cancel)
	defer r.served.remove(j.ID)
	ctx, span := r.tracer.Start(ctx, "forwarded request", trace.WithAttributes(attribute.String("from", from.VM)))
	defer span.End()
	return resultEnvelope(r.run(ctx, j))
}

// serveCancel drops a forwarded request whose caller has gone. A claimed request
// that has been sent goes on, so that its answer is kept.
func (r *Router) serveCancel(_ context.Context, _ peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	if envelope.RequestCancel != nil {
		r.served.stop(envelope.RequestCancel.RequestID)
	}
	return nil
}

func resultEnvelope(reply Reply) *api.PeerEnvelope {
	if reply.Refusal == KeyReused {
		reply.Result.Status = keyReusedStatus
	}
	return &api.PeerEnvelope{RequestResult: &api.PeerRequestResult{
		RequestID: reply.Result.RequestID, Result: reply.Result,
		BodyLength: int64(len(reply.Result.Body)), BodyChecksum: xxhash.Sum64(reply.Result.Body),
		Sent:         reply.Result.Outcome != api.OutcomeNotRun,
		RetryAfterMs: reply.RetryAfter.Milliseconds(),
	}}
}
