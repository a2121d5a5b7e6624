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
	// claimWait bounds the time for a claim, because its slot is idle meanwhile.
	claimWait = time.Second
	// slowClaim is the time after which a claim that failed counts against the
	// table service even if its request ran out of time.
	slowClaim = 300 * time.Millisecond
	// storeResultWait is the time for which an answer waits until its result is
	// stored; after that it is passed on and stored in the background.
	storeResultWait = 250 * time.Millisecond
	// releaseWait is the time for which a claim is released in the foreground.
	releaseWait = 250 * time.Millisecond
)

// pollResult spaces out the reads of a claim that another daemon holds.
var pollResult = retry.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond}

// dispatchClaimed claims a non-idempotent request and sends it to a minion.
func (r *Router) dispatchClaimed(ctx context.Context, j *job, m *minion) step {
	if j.held == nil {
		if s, acquired := r.claim(ctx, j); !acquired {
			r.pool.release(m, j, noObservation, "", 0)
			return s
		}
	}
	if ctx.Err() != nil {
		r.pool.release(m, j, noObservation, "", 0)
		return step{reply: r.refused(j, &refusal{Overloaded, "the deadline came before the request was sent", leastRetryAfter})}
	}
	held := *j.held
	j.held = nil
	call := &claimedCall{router: r, job: *j, held: held, minion: m, answer: make(chan refplatform.MinionReply, 1)}
	r.flights.extend()
	sent := time.Now()
	go call.run(context.WithoutCancel(ctx))
	select {
	case reply := <-call.answer:
		return r.judgeClaimed(j, m, reply, held)
	case <-ctx.Done():
	}
	if !call.taken.CompareAndSwap(false, true) {
		return r.judgeClaimed(j, m, <-call.answer, held)
	}
	r.pool.markLate(m, 1)
	r.pool.markHanging(m, j.Submit.Entry, time.Since(sent))
	j.attempts++
	return step{reply: unknown(j, "no answer by the deadline; a late answer is kept and can be fetched by key")}
}

func (r *Router) judgeClaimed(j *job, m *minion, reply refplatform.MinionReply, held claim.Held) step {
	if reply.Status == refplatform.MinionNotRun {
		j.held = &held
	}
	return r.judge(j, m, reply)
}

// claimedCall is a dispatch that outlives its caller, so that a late answer is kept.
type claimedCall struct {
	router *Router
	job    job // copy; the caller goes on with its own
	held   claim.Held
	minion *minion
	answer chan refplatform.MinionReply
	taken  atomic.Bool // set by the one who decides what becomes of the answer
}

func (c *claimedCall) run(ctx context.Context) {
	r := c.router
	defer r.flights.leave()
	sendCtx, cancel := context.WithDeadline(ctx, c.job.Deadline.Add(r.config.Timing.LateAnswerWait.Std()))
	defer cancel()
	reply := r.send(sendCtx, &c.job, c.minion)
	if reply.Status == refplatform.MinionNotRun {
		if c.taken.CompareAndSwap(false, true) {
			c.answer <- reply // the caller sends it elsewhere or releases the claim
			return
		}
		r.pool.markLate(c.minion, -1)
		r.releaseClaim(ctx, c.held, releaseWait)
		return
	}
	c.store(ctx, reply)
	if c.taken.CompareAndSwap(false, true) {
		c.answer <- reply
		return
	}
	r.pool.markLate(c.minion, -1)
}

// store keeps the result under the claim. It takes at most half of the time that
// the caller still has, so that a slow store does not make the answer late.
func (c *claimedCall) store(ctx context.Context, reply refplatform.MinionReply) {
	r := c.router
	c.job.minions = map[string]bool{}
	s := r.judge(&c.job, c.minion, reply)
	wait := storeResultWait
	if left := time.Until(c.job.Deadline); left > 0 {
		wait = min(wait, left/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := r.config.Claims.Complete(ctx, c.held, r.finish(&c.job, s.reply).Result); err != nil {
		r.log.Warn("Result is not stored yet.", zap.String("request", c.job.ID), zap.Error(err))
	}
}

// claim makes the claim, or tells what the claim of somebody else means.
func (r *Router) claim(ctx context.Context, j *job) (step, bool) {
	if !r.gate.pass(time.Now()) {
		return step{reply: r.refused(j, &refusal{Unavailable, "the table service is unreachable, so the request cannot be claimed", retryAfterUnavailable})}, false
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	started := time.Now()
	out := r.config.Claims.Claim(claimCtx, claim.Request{Organisation: j.Organisation, Key: j.Submit.Key, BodyHash: bodyHash(j.Submit)})
	r.scope.Timer("claim_time").Record(time.Since(started))
	r.reportStore(ctx, out, time.Since(started))
	switch out.Status {
	case claim.Acquired:
		j.held = &out.Held
		return step{}, true
	case claim.NotAcquired:
		r.log.Warn("Claim not made.", zap.String("request", j.ID), zap.Error(out.Err))
		if out.Occupied {
			return step{reply: unknown(j, "the key has been claimed before and the table service cannot be read")}, false
		}
		return step{reply: r.refused(j, &refusal{Unavailable, "the request could not be claimed in the table service", retryAfterUnavailable})}, false
	case claim.InProgress:
		if j.elsewhere || j.peers[out.Row.VM] {
			return r.awaitResult(ctx, j, true), false
		}
	}
	return step{reply: r.replyOfRow(j, out.Row, out.Err)}, false
}

// reportStore tells the gate whether the table service answered. A claim that
// was soon cut short by its caller tells nothing.
func (r *Router) reportStore(ctx context.Context, out claim.Outcome, took time.Duration) {
	if out.Status != claim.NotAcquired {
		r.gate.report(true, time.Now())
	} else if ctx.Err() == nil || took >= slowClaim {
		r.gate.report(false, time.Now())
	}
}

// replyOfRow answers a request whose key is claimed already.
func (r *Router) replyOfRow(j *job, row api.Claim, err error) Reply {
	switch {
	case row.BodyHash != bodyHash(j.Submit):
		return refuse(j, KeyReused, "the key belongs to a request with another body", 0)
	case err != nil:
		return unknown(j, "the request has a stored result that cannot be read now")
	}
	out := Reply{Result: r.resultOfRow(row)}
	out.Result.RequestID = j.ID
	return out
}

// awaitResult polls the claim row of a request that a peer may have dispatched.
// With offer set it returns when the row shows that the request has not been sent
// yet, so that it can be offered elsewhere.
func (r *Router) awaitResult(ctx context.Context, j *job, offer bool) step {
	for try := 1; ; try++ {
		row, exists, err := r.config.Claims.Lookup(ctx, j.Organisation, j.Submit.Key)
		if err == nil {
			switch {
			case !exists || row.State == api.ClaimStateNotRun:
				if !offer {
					break
				}
				return step{reply: unknown(j, "the peer that got the request was lost; whether it ran is not known"), retry: true, free: true}
			case row.BodyHash != bodyHash(j.Submit) || row.State == api.ClaimStateDone:
				return step{reply: r.replyOfRow(j, row, nil)}
			}
		}
		if err := pollResult.Wait(ctx, try); err != nil {
			return step{reply: unknown(j, "no result by the deadline; a late answer is kept and can be fetched by key")}
		}
	}
}

// releaseUnsent releases the claim of a request that ended before it was sent.
func (r *Router) releaseUnsent(ctx context.Context, j *job) {
	if j.held != nil {
		r.releaseClaim(ctx, *j.held, time.Until(j.Deadline)/2)
	}
}

// releaseClaim goes on when ctx has ended, because the key stays blocked
// otherwise. After the wait the claim is released in the background.
func (r *Router) releaseClaim(ctx context.Context, held claim.Held, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(wait, releaseWait))
	defer cancel()
	if err := r.config.Claims.Release(ctx, held); err != nil {
		r.log.Warn("Claim is not released yet.", zap.Error(err))
	}
}
