package router

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/retry"
)

const (
	// claimTimeout bounds the commit of a claim, because the minion slot of the
	// request is reserved and idle meanwhile.
	claimTimeout = time.Second
	// slowClaimThreshold is the duration from which a failed claim counts as a
	// failure of the table service even if the deadline of its request has passed.
	slowClaimThreshold = 300 * time.Millisecond
	// storeResultTimeout bounds how long an answer is held back until its result
	// is stored. After that the answer is returned and the result is stored in the
	// background.
	storeResultTimeout = 250 * time.Millisecond
	// releaseTimeout bounds how long a caller waits for the release of a claim.
	// After that the claim is released in the background.
	releaseTimeout = 250 * time.Millisecond
)

// resultPollBackoff spaces the reads of a claim that another daemon holds.
var resultPollBackoff = retry.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond}

// dispatchClaimed claims a non-idempotent request and sends it to a minion.
func (r *Router) dispatchClaimed(ctx context.Context, req *activeRequest, m *minion) attemptResult {
	if req.claim == nil {
		if result, ok := r.claim(ctx, req); !ok {
			r.pool.release(m, req, noObservation, "", 0)
			return result
		}
	}
	if ctx.Err() != nil {
		r.pool.release(m, req, noObservation, "", 0)
		return attemptResult{reply: r.replyNotRun(req, &refusal{Overloaded, "the deadline came before the request was sent", minRetryAfter})}
	}
	handle := *req.claim
	req.claim = nil
	call := &claimedCall{router: r, req: *req, handle: handle, minion: m, answer: make(chan refplatform.MinionReply, 1)}
	r.inFlight.beginBackground()
	sent := time.Now()
	go call.run(context.WithoutCancel(ctx))
	select {
	case reply := <-call.answer:
		return r.handleClaimedReply(req, m, reply, handle)
	case <-ctx.Done():
	}
	if !call.decided.CompareAndSwap(false, true) {
		return r.handleClaimedReply(req, m, <-call.answer, handle)
	}
	r.pool.addOverdue(m, 1)
	r.pool.recordHang(m, req.Submission.Entry, time.Since(sent))
	req.attempts++
	return attemptResult{reply: unknownReply(req, "no answer by the deadline; a late answer is kept and can be fetched by key")}
}

// handleClaimedReply turns the reply of a minion into the result of the attempt. If the
// request was not run, it keeps the claim for the next attempt.
func (r *Router) handleClaimedReply(req *activeRequest, m *minion, reply refplatform.MinionReply, handle claim.Handle) attemptResult {
	if reply.Status == refplatform.MinionNotRun {
		req.claim = &handle
	}
	return r.handleMinionReply(req, m, reply)
}

// claimedCall sends a claimed request to a minion. It outlives its caller, so
// that an answer that arrives after the deadline is stored.
type claimedCall struct {
	router  *Router
	req     activeRequest // copy, because the caller keeps changing its own
	handle  claim.Handle
	minion  *minion
	answer  chan refplatform.MinionReply
	decided atomic.Bool // set by the first of the two: the call hands over its answer, or the caller stops waiting
}

func (c *claimedCall) run(ctx context.Context) {
	r := c.router
	defer r.inFlight.end()
	sendCtx, cancel := context.WithDeadline(ctx, c.req.Deadline.Add(r.config.Timing.LateAnswerWait.Std()))
	defer cancel()
	reply := r.send(sendCtx, &c.req, c.minion)
	if reply.Status == refplatform.MinionNotRun {
		if c.decided.CompareAndSwap(false, true) {
			c.answer <- reply // the caller sends the request elsewhere or releases the claim
			return
		}
		r.pool.addOverdue(c.minion, -1)
		r.releaseClaim(ctx, c.handle, releaseTimeout)
		return
	}
	c.storeResult(ctx, reply)
	if c.decided.CompareAndSwap(false, true) {
		c.answer <- reply
		return
	}
	r.pool.addOverdue(c.minion, -1)
}

// storeResult stores the result in the claim row. It takes at most half of the time
// left before the deadline, so that a slow store does not make the answer late.
func (c *claimedCall) storeResult(ctx context.Context, reply refplatform.MinionReply) {
	r := c.router
	c.req.failedMinions = map[string]bool{}
	result := r.handleMinionReply(&c.req, c.minion, reply)
	timeout := storeResultTimeout
	if remaining := time.Until(c.req.Deadline); remaining > 0 {
		timeout = min(timeout, remaining/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := r.config.Claims.Complete(ctx, c.handle, r.finish(&c.req, result.reply).Result); err != nil {
		r.log.Warn("Could not store the result of the claimed request.", zap.String("request", c.req.ID), zap.Error(err))
	}
}

// claim acquires the claim and returns true, or returns the result that follows
// from an existing claim or a failed attempt.
func (r *Router) claim(ctx context.Context, req *activeRequest) (attemptResult, bool) {
	if !r.breaker.allow(time.Now()) {
		return attemptResult{reply: r.replyNotRun(req, &refusal{Unavailable, "the table service is unreachable, so the request cannot be claimed", retryAfterUnavailable})}, false
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	started := time.Now()
	out := r.config.Claims.Claim(claimCtx, claim.Request{Organisation: req.Organisation, Key: req.Submission.Key, BodyHash: bodyHash(req.Submission)})
	r.scope.Timer("claim_time").Record(time.Since(started))
	r.recordClaimOutcome(ctx, out, time.Since(started))
	switch out.Status {
	case claim.Acquired:
		req.claim = &out.Handle
		return attemptResult{}, true
	case claim.NotAcquired:
		r.log.Warn("Could not claim the request.", zap.String("request", req.ID), zap.Error(out.Err))
		if out.KeyInUse {
			return attemptResult{reply: unknownReply(req, "the key has been claimed before and the table service cannot be read")}, false
		}
		return attemptResult{reply: r.replyNotRun(req, &refusal{Unavailable, "the request could not be claimed in the table service", retryAfterUnavailable})}, false
	case claim.InProgress:
		if req.maybeClaimedByPeer || req.triedPeers[out.Row.VM] {
			return r.awaitResult(ctx, req, true), false
		}
	}
	return attemptResult{reply: r.replyFromClaim(req, out.Row, out.Err)}, false
}

// recordClaimOutcome records in the circuit breaker whether the table service
// answered. If the caller stopped waiting, a failed claim counts only if it took at
// least slowClaimThreshold.
func (r *Router) recordClaimOutcome(ctx context.Context, out claim.Outcome, took time.Duration) {
	if out.Status != claim.NotAcquired {
		r.breaker.record(true, time.Now())
	} else if ctx.Err() == nil || took >= slowClaimThreshold {
		r.breaker.record(false, time.Now())
	}
}

// replyFromClaim returns the reply to a request whose key is already claimed.
func (r *Router) replyFromClaim(req *activeRequest, row api.Claim, err error) Reply {
	switch {
	case row.BodyHash != bodyHash(req.Submission):
		return refusalReply(req, KeyReused, "the key belongs to a request with another body", 0)
	case err != nil:
		return unknownReply(req, "the request has a stored result that cannot be read now")
	}
	out := Reply{Result: r.resultFromClaim(row)}
	out.Result.RequestID = req.ID
	return out
}

// awaitResult polls the claim row of a request that a peer may have dispatched.
// With returnUnclaimed it returns once there is no row or the row shows a released
// claim, so that this daemon can send the request elsewhere.
func (r *Router) awaitResult(ctx context.Context, req *activeRequest, returnUnclaimed bool) attemptResult {
	for try := 1; ; try++ {
		row, exists, err := r.config.Claims.Lookup(ctx, req.Organisation, req.Submission.Key)
		if err == nil {
			switch {
			case !exists || row.State == api.ClaimStateNotRun:
				if !returnUnclaimed {
					break
				}
				return attemptResult{reply: unknownReply(req, "the peer that got the request was lost; whether it ran is not known"), retry: true, free: true}
			case row.BodyHash != bodyHash(req.Submission) || row.State == api.ClaimStateDone:
				return attemptResult{reply: r.replyFromClaim(req, row, nil)}
			}
		}
		if err := resultPollBackoff.Wait(ctx, try); err != nil {
			return attemptResult{reply: unknownReply(req, "no result by the deadline; a late answer is kept and can be fetched by key")}
		}
	}
}

// releaseUnusedClaim releases the claim that a request still holds when it ends: it was
// not sent under the claim, or the minion did not run it.
func (r *Router) releaseUnusedClaim(ctx context.Context, req *activeRequest) {
	if req.claim != nil {
		r.releaseClaim(ctx, *req.claim, time.Until(req.Deadline)/2)
	}
}

// releaseClaim releases the claim even if ctx has ended, because an unreleased
// claim blocks the key. After the timeout the release goes on in the background.
func (r *Router) releaseClaim(ctx context.Context, handle claim.Handle, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(timeout, releaseTimeout))
	defer cancel()
	if err := r.config.Claims.Release(ctx, handle); err != nil {
		r.log.Warn("Could not release the claim of the request.", zap.Error(err))
	}
}
