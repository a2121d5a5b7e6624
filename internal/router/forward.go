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

// keyReusedStatus in the field Result.Status of a peer's answer stands for the refusal
// KeyReused, because the message has no field for the kind of a refusal.
const keyReusedStatus = 409

// hopAllowance is the part of the remaining time that is kept for the network round
// trip to a peer, so that a refusal that the peer sends at its deadline still arrives.
const hopAllowance = 10 * time.Millisecond

// peerTimeout returns the time given to a peer out of the time left. It keeps
// hopAllowance, but at most a tenth of the time left.
func peerTimeout(left time.Duration) time.Duration {
	return left - min(hopAllowance, left/10)
}

// forward sends a request to a peer, which dispatches it to a minion that the peer owns.
func (r *Router) forward(ctx context.Context, req *activeRequest, vm string) attemptResult {
	ctx, span := r.tracer.Start(ctx, "peer", trace.WithAttributes(attribute.String("peer", vm)))
	defer span.End()
	r.scope.Counter("forwards").Inc(1)
	answer, status := r.config.Network.Call(ctx, vm, api.PeerEnvelope{
		Traceparent: traceparent(ctx),
		RequestForward: &api.PeerRequestForward{
			RequestID: req.ID, Organisation: req.Organisation, Request: req.Submission, Urgency: req.Urgency,
			RemainingMs: peerTimeout(time.Until(req.Deadline)).Milliseconds(),
			BodyLength:  int64(len(req.Submission.Body)), BodyChecksum: xxhash.Sum64(req.Submission.Body),
		},
	})
	req.triedPeers[vm] = true
	if status == peers.NotSent {
		r.pool.endForward(vm, true)
		return attemptResult{reply: r.replyNotRun(req, &refusal{Unavailable, "the peer cannot be reached", minRetryAfter}), retry: true, free: true}
	}
	if status == peers.Answered && r.answerIntact(req, vm, answer) {
		result := answer.RequestResult
		r.pool.endForward(vm, result.Result.Outcome == api.OutcomeNotRun)
		return r.handleForwardResult(req, result)
	}
	r.pool.endForward(vm, true)
	return r.handleLostForward(ctx, req, vm)
}

// answerIntact reports whether an answer belongs to the request and its body has
// the length and checksum that it was sent with.
func (r *Router) answerIntact(req *activeRequest, vm string, answer *api.PeerEnvelope) bool {
	if answer != nil && answer.RequestResult != nil {
		result := answer.RequestResult
		if result.RequestID == req.ID && result.Result.RequestID == req.ID && intact(result.Result.Body, result.BodyLength, result.BodyChecksum) {
			return true
		}
	}
	r.scope.Counter("broken_answers").Inc(1)
	r.log.Warn("Dropped the answer of a peer: it is missing, truncated or altered, or belongs to another request.", zap.String("peer", vm), zap.String("request", req.ID))
	return false
}

// handleForwardResult turns the answer of a peer into the result of the attempt.
func (r *Router) handleForwardResult(req *activeRequest, result *api.PeerRequestResult) attemptResult {
	out := Reply{Result: result.Result}
	req.attempts += result.Result.Attempts
	out.Result.Attempts = req.attempts
	switch result.Result.Outcome {
	case api.OutcomeNotRun:
		if result.Result.Status == keyReusedStatus {
			return attemptResult{reply: refusalReply(req, KeyReused, result.Result.Reason, 0)}
		}
		cause := &refusal{Overloaded, result.Result.Reason, max(time.Duration(result.RetryAfterMs)*time.Millisecond, minRetryAfter)}
		return attemptResult{reply: r.replyNotRun(req, cause), retry: true, free: true}
	case api.OutcomeFailed:
		return attemptResult{reply: out, retry: retryable(result.Result.Status) && !req.Submission.NonIdempotent}
	case api.OutcomeUnknown:
		return attemptResult{reply: out, retry: !req.Submission.NonIdempotent}
	default:
		return attemptResult{reply: out}
	}
}

// handleLostForward handles a forward without a valid answer: an idempotent request
// may be retried, and for others the claim row decides.
func (r *Router) handleLostForward(ctx context.Context, req *activeRequest, vm string) attemptResult {
	if ctx.Err() != nil {
		r.config.Network.Notify(vm, api.PeerEnvelope{RequestCancel: &api.PeerRequestCancel{RequestID: req.ID}})
	}
	if !req.Submission.NonIdempotent {
		return attemptResult{reply: unknownReply(req, "the peer that got the request was lost"), retry: true}
	}
	req.maybeClaimedByPeer = true
	return r.awaitResult(ctx, req, true)
}

// forwardedRequests holds the cancel functions, by request identifier, of the
// requests that peers forwarded to this daemon.
type forwardedRequests struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

func (f *forwardedRequests) add(id string, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancels == nil {
		f.cancels = map[string]context.CancelFunc{}
	}
	f.cancels[id] = cancel
}

func (f *forwardedRequests) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, id)
}

func (f *forwardedRequests) cancel(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel, ok := f.cancels[id]; ok {
		cancel()
	}
}

// handleForward dispatches a request that a peer received and forwarded.
func (r *Router) handleForward(ctx context.Context, from peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	forward := envelope.RequestForward
	if forward == nil {
		return nil
	}
	req := &activeRequest{Request: Request{
		ID: forward.RequestID, Organisation: forward.Organisation, Submission: forward.Request, Urgency: forward.Urgency,
		Deadline: time.Now().Add(time.Duration(forward.RemainingMs) * time.Millisecond),
	}}
	if !intact(forward.Request.Body, forward.BodyLength, forward.BodyChecksum) {
		r.log.Warn("Refused a forwarded request: its body does not match its length or checksum.", zap.String("peer", from.VM), zap.String("request", req.ID))
		return resultEnvelope(refusalReply(req, Unavailable, "the forwarded body is not whole", minRetryAfter))
	}
	if !r.inFlight.begin() {
		return resultEnvelope(refusalReply(req, Unavailable, "this daemon is stopping", retryAfterUnavailable))
	}
	defer r.inFlight.end()
	ctx, cancel := context.WithCancel(withTraceparent(ctx, envelope.Traceparent))
	defer cancel()
	r.forwarded.add(req.ID, cancel)
	defer r.forwarded.remove(req.ID)
	ctx, span := r.tracer.Start(ctx, "forwarded request", trace.WithAttributes(attribute.String("from", from.VM)))
	defer span.End()
	return resultEnvelope(r.run(ctx, req))
}

// handleCancel cancels a forwarded request whose caller no longer waits. A claimed
// request that has been sent to a minion goes on, so that its answer is stored.
func (r *Router) handleCancel(_ context.Context, _ peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	if envelope.RequestCancel != nil {
		r.forwarded.cancel(envelope.RequestCancel.RequestID)
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
