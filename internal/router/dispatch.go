package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// traceparentHeader is the name of the W3C trace context header.
const traceparentHeader = "traceparent"

// dispatch sends an idempotent request to a minion.
func (r *Router) dispatch(ctx context.Context, req *activeRequest, m *minion) attemptResult {
	reply := r.send(ctx, req, m)
	return r.handleMinionReply(req, m, reply)
}

// send sends the request and releases the slot once the minion has answered or
// failed.
func (r *Router) send(ctx context.Context, req *activeRequest, m *minion) refplatform.MinionReply {
	ctx, span := r.tracer.Start(ctx, "minion", trace.WithAttributes(attribute.String("minion", m.vm.ID)))
	defer span.End()
	started := time.Now()
	remaining := time.Until(req.Deadline)
	reply := r.config.Minions.Send(ctx, m.vm.Address, refplatform.MinionRequest{
		RequestID: req.ID, Entry: req.Submission.Entry, Body: req.Submission.Body,
		DeadlineMs: remaining.Milliseconds(), Traceparent: traceparent(ctx),
	})
	if reply.Leaving {
		r.pool.markLeaving(m)
	}
	took := time.Since(started)
	r.scope.Counter("dispatches").Inc(1)
	r.scope.Timer("minion_time").Record(took)
	observed := observationOf(reply)
	if observed == failed && ctx.Err() != nil && !r.pool.exceedsHangTime(req.Submission.Entry, took) {
		observed = deadlineExceeded
	}
	r.pool.release(m, req, observed, describeReply(reply), took)
	span.SetAttributes(attribute.Int("status", reply.Code))
	return reply
}

// observationOf returns what a reply shows about the health of its minion.
func observationOf(reply refplatform.MinionReply) observation {
	switch reply.Status {
	case refplatform.MinionRan:
		return answered
	case refplatform.MinionFailed:
		if retryable(reply.Code) {
			return failed
		}
		return answered
	case refplatform.MinionNotRun:
		if reply.Leaving {
			return noObservation
		}
		if reply.Code != 0 {
			return tooBusy
		}
		return unreachable
	default:
		return failed
	}
}

// handleMinionReply turns the reply of a minion into the result of the attempt.
func (r *Router) handleMinionReply(req *activeRequest, m *minion, reply refplatform.MinionReply) attemptResult {
	if reply.Status != refplatform.MinionNotRun {
		req.attempts++
	}
	out := Reply{Result: newResult(req, api.OutcomeRan, "")}
	out.Result.Minion, out.Result.Status, out.Result.Body = m.vm.ID, reply.Code, reply.Body
	switch reply.Status {
	case refplatform.MinionRan:
		return attemptResult{reply: out}
	case refplatform.MinionFailed:
		out.Result.Outcome, out.Result.Reason = api.OutcomeFailed, describeReply(reply)
		req.failedMinions[m.vm.ID] = true
		return attemptResult{reply: out, retry: retryable(reply.Code) && !req.Submission.NonIdempotent}
	case refplatform.MinionNotRun:
		busy := observationOf(reply) == tooBusy
		if !busy {
			req.failedMinions[m.vm.ID] = true
		}
		cause := &refusal{Unavailable, describeReply(reply), retryAfterUnavailable}
		return attemptResult{reply: r.replyNotRun(req, cause), retry: true, free: true, busy: busy}
	default:
		out.Result.Outcome, out.Result.Reason, out.Result.Body = api.OutcomeUnknown, describeReply(reply), nil
		req.failedMinions[m.vm.ID] = true
		return attemptResult{reply: out, retry: !req.Submission.NonIdempotent}
	}
}

// retryable reports whether another minion may succeed after this HTTP status.
func retryable(code int) bool {
	return code == http.StatusBadGateway || code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout
}

func describeReply(reply refplatform.MinionReply) string {
	switch reply.Status {
	case refplatform.MinionFailed:
		return fmt.Sprintf("the minion answered with status %d", reply.Code)
	case refplatform.MinionNotRun:
		if reply.Code != 0 {
			return fmt.Sprintf("the minion refused the request with status %d", reply.Code)
		}
		return "no connection to the minion"
	case refplatform.MinionUnknown:
		return "no whole answer of the minion arrived"
	default:
		return ""
	}
}

func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

func withTraceparent(ctx context.Context, header string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: header})
}
