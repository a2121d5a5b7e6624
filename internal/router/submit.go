package router

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
)

// maxFreeRetries bounds the retries of a request that are not charged to the retry
// budget: after a peer or a minion could not be reached, after a peer or a leaving
// minion refused the request, or when a peer that may have claimed it turns out to hold
// no claim.
const maxFreeRetries = 3

// maxUnansweredAttempts is the number of attempts without a whole answer after which a
// request is given up: it may be what takes down the minions that get it.
const maxUnansweredAttempts = 3

// activeRequest holds the state of a request while this daemon routes it.
type activeRequest struct {
	Request
	started            time.Time
	mayForward         bool            // false for requests that a peer forwarded
	failedMinions      map[string]bool // minions to avoid in further attempts
	triedPeers         map[string]bool // peers that got the request
	attempts           int             // known dispatches to minions
	unansweredAttempts int             // attempts that ended without a whole answer
	freeRetries        int             // retries not charged to the budget, except those after a busy minion
	maybeClaimedByPeer bool            // a peer may have claimed the request
	claim              *claim.Handle   // acquired claim under which nothing has run: not sent yet, or not run by the minion
	lastReply          *Reply          // reply of the last attempt that ran or may have run the request; stands if no later attempt does
	lastNotRunReply    *Reply          // reply of the last attempt with attemptResult.free set
}

func (a *activeRequest) excludesMinion(id string) bool { return a.failedMinions[id] }
func (a *activeRequest) excludesPeer(vm string) bool   { return a.triedPeers[vm] }
func (a *activeRequest) excludesNothing() bool         { return len(a.failedMinions)+len(a.triedPeers) == 0 }

// attemptResult is the result of one attempt.
type attemptResult struct {
	reply Reply
	retry bool // another attempt is safe
	free  bool // nothing ran, or no daemon holds a claim of the request; a retry is not charged to the budget
	busy  bool // the minion was too busy; the request waits for the next free slot
}

// Submit runs a request and returns by its deadline.
func (r *Router) Submit(ctx context.Context, request Request) Reply {
	if !r.inFlight.begin() {
		return refusalReply(&activeRequest{Request: request}, Unavailable, "this daemon is stopping", retryAfterUnavailable)
	}
	defer r.inFlight.end()
	r.budget.Deposit()
	req := &activeRequest{Request: request, mayForward: true}
	reply := r.run(ctx, req)
	trace.SpanFromContext(ctx).SetAttributes( // the span of the HTTP server
		attribute.String("entry", request.Submission.Entry), attribute.String("urgency", string(request.Urgency)),
		attribute.String("outcome", string(reply.Result.Outcome)), attribute.Int("attempts", reply.Result.Attempts))
	r.scope.Tagged(map[string]string{"outcome": string(reply.Result.Outcome)}).Counter("requests").Inc(1)
	r.logOutcome(request, reply.Result)
	return reply
}

// logOutcome logs requests that did not succeed. A refusal is logged at level info,
// because the caller knows that nothing has run.
func (r *Router) logOutcome(request Request, result api.RequestResult) {
	if result.Outcome == api.OutcomeRan || result.InProgress {
		return
	}
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("key", request.Submission.Key), zap.String("organisation", request.Organisation),
		zap.String("entry", request.Submission.Entry), zap.String("outcome", string(result.Outcome)), zap.String("reason", result.Reason),
	}
	if result.Outcome == api.OutcomeNotRun {
		r.log.Info("Request refused.", fields...)
		return
	}
	r.log.Error("Request failed or its outcome is unknown.", fields...)
}

// run makes attempts until one needs no retry, must not be retried, or is refused a
// retry by the limits.
func (r *Router) run(ctx context.Context, req *activeRequest) Reply {
	req.started = time.Now()
	req.failedMinions, req.triedPeers = map[string]bool{}, map[string]bool{}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer r.releaseUnusedClaim(ctx, req)
	for try := 1; ; try++ {
		result := r.attempt(ctx, req)
		reply := result.reply
		if !result.retry || ctx.Err() != nil || !r.allowRetry(req, result) {
			return r.finish(req, reply)
		}
		if result.free {
			req.lastNotRunReply = &reply
			continue // the next attempt avoids a minion or peer that refused the request or was not reached
		}
		req.lastReply = &reply
		if !r.waitBeforeRetry(ctx, req, try) {
			return r.finish(req, reply)
		}
	}
}

// waitBeforeRetry waits before a retry. It returns false at once if the deadline
// would come first, so that a peer that waits for the answer still gets it.
func (r *Router) waitBeforeRetry(ctx context.Context, req *activeRequest, try int) bool {
	delay := r.backoff.Delay(try)
	if time.Until(req.Deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// allowRetry reports whether the request may be retried and charges the retry
// budget. A request that a peer forwarded gets only free retries here; the peer makes
// the others, so that the retries of two daemons do not multiply. A retry after a busy
// minion is free: the new owner of the minions of a dead daemon finds them busy while
// requests of the dead daemon still run.
func (r *Router) allowRetry(req *activeRequest, result attemptResult) bool {
	if !req.mayForward && !result.free {
		return false
	}
	if result.busy {
		return true // busyBackoff spaces these retries, and the deadline ends them
	}
	if result.free {
		req.freeRetries++
		return req.freeRetries <= maxFreeRetries
	}
	if result.reply.Result.Outcome == api.OutcomeUnknown {
		if req.unansweredAttempts++; req.unansweredAttempts >= maxUnansweredAttempts {
			r.log.Warn("Request given up: several minions broke off its answer.", zap.String("request", req.ID), zap.String("entry", req.Submission.Entry), zap.Int("attempts", req.attempts))
			return false
		}
	}
	if !r.budget.TryWithdraw() {
		r.scope.Counter("retries_refused").Inc(1)
		return false
	}
	r.scope.Counter("retries").Inc(1)
	return true
}

// attempt acquires a minion or a peer for the request and sends the request to it.
func (r *Router) attempt(ctx context.Context, req *activeRequest) attemptResult {
	if req.Submission.NonIdempotent && req.claim == nil && !r.breaker.wouldAllow(time.Now()) {
		return attemptResult{reply: r.replyNotRun(req, &refusal{Unavailable, "the table service is unreachable, so the request cannot be claimed", retryAfterUnavailable})}
	}
	g := r.pool.acquire(ctx, &waiter{
		entry: req.Submission.Entry, rank: rank(req.Urgency), deadline: req.Deadline, timeout: req.Deadline.Sub(req.started),
		mayForward: req.mayForward && req.claim == nil, maxQueuedByEntry: req.MaxQueued, request: req,
	})
	switch {
	case g.refusal != nil && req.maybeClaimedByPeer:
		return r.awaitResult(ctx, req, false) // the lost peer may still run it
	case g.refusal != nil:
		return attemptResult{reply: r.replyNotRun(req, g.refusal)}
	case g.peer != "":
		return r.forward(ctx, req, g.peer)
	case req.Submission.NonIdempotent:
		return r.dispatchClaimed(ctx, req, g.minion)
	default:
		return r.dispatch(ctx, req, g.minion)
	}
}

// replyNotRun returns the reply to a request that its current attempt did not run:
// nothing was sent, or the minion or peer refused it. The reply of an earlier attempt
// that ran or may have run the request stands. The outcome is not_run only if it is
// certain that no attempt ran the request.
func (r *Router) replyNotRun(req *activeRequest, cause *refusal) Reply {
	switch {
	case req.lastReply != nil:
		return *req.lastReply
	case req.maybeClaimedByPeer:
		return unknownReply(req, "a peer may have dispatched the request; "+cause.reason)
	case req.lastNotRunReply != nil && cause.kind == Unavailable:
		return *req.lastNotRunReply // more specific than that no minion is available
	default:
		return refusalReply(req, cause.kind, cause.reason, cause.retryAfter)
	}
}

// finish fills in the duration, the attempts and the serving VM of a reply.
func (r *Router) finish(req *activeRequest, reply Reply) Reply {
	reply.Result.DurationMs = time.Since(req.started).Milliseconds()
	if reply.Result.Attempts == 0 {
		reply.Result.Attempts = req.attempts
	}
	if reply.Result.ServedBy == "" {
		reply.Result.ServedBy = r.config.Network.Self().VM
	}
	return reply
}

func newResult(req *activeRequest, outcome api.Outcome, reason string) api.RequestResult {
	return api.RequestResult{RequestID: req.ID, Key: req.Submission.Key, Outcome: outcome, Reason: reason, Attempts: req.attempts}
}

func refusalReply(req *activeRequest, kind RefusalKind, reason string, retryAfter time.Duration) Reply {
	return Reply{Result: newResult(req, api.OutcomeNotRun, reason), Refusal: kind, RetryAfter: retryAfter}
}

func unknownReply(req *activeRequest, reason string) Reply {
	return Reply{Result: newResult(req, api.OutcomeUnknown, reason)}
}
