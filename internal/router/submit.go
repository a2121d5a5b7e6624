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

// freeTries is the number of times that a request may be offered elsewhere
// without the retry budget, after a peer or a minion could not be reached or the
// peer refused it.
const freeTries = 3

// job is a request on its way through this daemon.
type job struct {
	Request
	started    time.Time
	mayForward bool            // false for requests that a peer forwarded
	minions    map[string]bool // minions that failed it
	peers      map[string]bool // peers that refused or lost it
	attempts   int             // dispatches to minions, as far as known
	free       int             // tries without the budget
	elsewhere  bool            // a peer may have claimed it
	held       *claim.Held     // claim made by this daemon and not dispatched
	last       *Reply          // what to answer when no further attempt gets a place
	declined   *Reply          // what the last peer that took nothing said
}

func (j *job) excludesMinion(id string) bool { return j.minions[id] }
func (j *job) excludesPeer(vm string) bool   { return j.peers[vm] }
func (j *job) excludesNothing() bool         { return len(j.minions)+len(j.peers) == 0 }

// step is what one attempt came to.
type step struct {
	reply Reply
	retry bool // another attempt is safe
	free  bool // nothing was sent, so the retry budget is not charged
	busy  bool // the minion was too busy; the request waits for the next free slot
}

// Submit runs a request. It answers by the deadline of the request.
func (r *Router) Submit(ctx context.Context, request Request) Reply {
	if !r.flights.enter() {
		return refuse(&job{Request: request}, Unavailable, "this daemon is stopping", retryAfterUnavailable)
	}
	defer r.flights.leave()
	r.budget.First()
	j := &job{Request: request, mayForward: true}
	reply := r.run(ctx, j)
	trace.SpanFromContext(ctx).SetAttributes( // the span of the HTTP server
		attribute.String("entry", request.Submit.Entry), attribute.String("urgency", string(request.Urgency)),
		attribute.String("outcome", string(reply.Result.Outcome)), attribute.Int("attempts", reply.Result.Attempts))
	r.scope.Tagged(map[string]string{"outcome": string(reply.Result.Outcome)}).Counter("requests").Inc(1)
	r.logOutcome(request, reply.Result)
	return reply
}

// logOutcome makes requests without success stand out for those who read the log
// later. A refusal is no error: the caller knows that nothing has run.
func (r *Router) logOutcome(request Request, result api.RequestResult) {
	if result.Outcome == api.OutcomeRan || result.InProgress {
		return
	}
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("key", request.Submit.Key), zap.String("organisation", request.Organisation),
		zap.String("entry", request.Submit.Entry), zap.String("outcome", string(result.Outcome)), zap.String("reason", result.Reason),
	}
	if result.Outcome == api.OutcomeNotRun {
		r.log.Info("Request refused.", fields...)
		return
	}
	r.log.Error("Request without a good answer.", fields...)
}

// run makes attempts until one is final.
func (r *Router) run(ctx context.Context, j *job) Reply {
	j.started = time.Now()
	j.minions, j.peers = map[string]bool{}, map[string]bool{}
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	defer r.releaseUnsent(ctx, j)
	for try := 1; ; try++ {
		s := r.attempt(ctx, j)
		reply := s.reply
		if !s.retry || ctx.Err() != nil || !r.mayRetry(j, s) {
			return r.finish(j, reply)
		}
		if s.free {
			j.declined = &reply
			continue // the next try goes elsewhere
		}
		j.last = &reply
		if !r.pause(ctx, j, try) {
			return r.finish(j, reply)
		}
	}
}

// pause waits before a retry. It returns false at once when the deadline would
// come first, so that a peer that waits for the answer still gets it.
func (r *Router) pause(ctx context.Context, j *job, try int) bool {
	delay := r.backoff.Delay(try)
	if time.Until(j.Deadline) <= delay {
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

// mayRetry charges the retry. Requests that a peer forwarded are retried by the
// daemon that received them, so that the budgets of two hops do not multiply.
// Minions that are too busy cost nothing: the new owner of the minions of a dead
// daemon meets them while requests of the dead one still run.
func (r *Router) mayRetry(j *job, s step) bool {
	if !j.mayForward && !s.free {
		return false
	}
	if s.busy {
		return true // the minion gets no request for a while, which bounds the tries
	}
	if s.free {
		j.free++
		return j.free <= freeTries
	}
	if !r.budget.Take() {
		r.scope.Counter("retries_refused").Inc(1)
		return false
	}
	r.scope.Counter("retries").Inc(1)
	return true
}

// attempt finds a place for the request and sends it there.
func (r *Router) attempt(ctx context.Context, j *job) step {
	if j.Submit.NonIdempotent && j.held == nil && !r.gate.isOpen(time.Now()) {
		return step{reply: r.refused(j, &refusal{Unavailable, "the table service is unreachable, so the request cannot be claimed", retryAfterUnavailable})}
	}
	g := r.pool.acquire(ctx, &waiter{
		entry: j.Submit.Entry, rank: rank(j.Urgency), deadline: j.Deadline, given: j.Deadline.Sub(j.started),
		mayForward: j.mayForward && j.held == nil, maxQueued: j.MaxQueued, job: j,
	})
	switch {
	case g.refusal != nil && j.elsewhere:
		return r.awaitResult(ctx, j, false) // the lost peer may still run it
	case g.refusal != nil:
		return step{reply: r.refused(j, g.refusal)}
	case g.peer != "":
		return r.forward(ctx, j, g.peer)
	case j.Submit.NonIdempotent:
		return r.dispatchClaimed(ctx, j, g.minion)
	default:
		return r.dispatch(ctx, j, g.minion)
	}
}

// refused answers a request that gets no further attempt. After an earlier
// attempt its outcome stands; not_run is said only when it is certain.
func (r *Router) refused(j *job, why *refusal) Reply {
	switch {
	case j.last != nil:
		return *j.last
	case j.elsewhere:
		return unknown(j, "a peer may have dispatched the request; "+why.reason)
	case j.declined != nil && why.kind == Unavailable:
		return *j.declined // says more than that no other place is left
	default:
		return refuse(j, why.kind, why.reason, why.retryAfter)
	}
}

func (r *Router) finish(j *job, reply Reply) Reply {
	reply.Result.DurationMs = time.Since(j.started).Milliseconds()
	if reply.Result.Attempts == 0 {
		reply.Result.Attempts = j.attempts
	}
	if reply.Result.ServedBy == "" {
		reply.Result.ServedBy = r.config.Network.Self().VM
	}
	return reply
}

func result(j *job, outcome api.Outcome, reason string) api.RequestResult {
	return api.RequestResult{RequestID: j.ID, Key: j.Submit.Key, Outcome: outcome, Reason: reason, Attempts: j.attempts}
}

func refuse(j *job, kind Refusal, reason string, retryAfter time.Duration) Reply {
	return Reply{Result: result(j, api.OutcomeNotRun, reason), Refusal: kind, RetryAfter: retryAfter}
}

func unknown(j *job, reason string) Reply {
	return Reply{Result: result(j, api.OutcomeUnknown, reason)}
}
