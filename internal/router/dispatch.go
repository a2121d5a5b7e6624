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

// traceparentHeader is the key of the W3C trace context.
const traceparentHeader = "traceparent"

// dispatch sends an idempotent request to a minion.
func (r *Router) dispatch(ctx context.Context, j *job, m *minion) step {
	reply := r.send(ctx, j, m)
	return r.judge(j, m, reply)
}

// send sends the request and gives the slot back when the minion is done with it.
func (r *Router) send(ctx context.Context, j *job, m *minion) refplatform.MinionReply {
	ctx, span := r.tracer.Start(ctx, "minion", trace.WithAttributes(attribute.String("minion", m.vm.ID)))
	defer span.End()
	started := time.Now()
	left := time.Until(j.Deadline)
	reply := r.config.Minions.Send(ctx, m.vm.Address, refplatform.MinionRequest{
		RequestID: j.ID, Entry: j.Submit.Entry, Body: j.Submit.Body,
		DeadlineMs: left.Milliseconds(), Traceparent: traceparent(ctx),
	})
	if reply.Leaving {
		r.pool.markLeaving(m)
	}
	took := time.Since(started)
	r.scope.Counter("dispatches").Inc(1)
	r.scope.Timer("minion_time").Record(took)
	seen := observe(reply)
	if seen == failing && ctx.Err() != nil && !r.pool.hangs(j.Submit.Entry, took) {
		seen = cutOff
	}
	r.pool.release(m, j, seen, describe(reply), took)
	span.SetAttributes(attribute.Int("status", reply.Code))
	return reply
}

// observe tells what a reply says about the minion.
func observe(reply refplatform.MinionReply) observation {
	switch reply.Status {
	case refplatform.MinionRan:
		return answered
	case refplatform.MinionFailed:
		if retryable(reply.Code) {
			return failing
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
		return failing
	}
}

// judge turns the reply of a minion into a step.
func (r *Router) judge(j *job, m *minion, reply refplatform.MinionReply) step {
	if reply.Status != refplatform.MinionNotRun {
		j.attempts++
	}
	out := Reply{Result: result(j, api.OutcomeRan, "")}
	out.Result.Minion, out.Result.Status, out.Result.Body = m.vm.ID, reply.Code, reply.Body
	switch reply.Status {
	case refplatform.MinionRan:
		return step{reply: out}
	case refplatform.MinionFailed:
		out.Result.Outcome, out.Result.Reason = api.OutcomeFailed, describe(reply)
		j.minions[m.vm.ID] = true
		return step{reply: out, retry: retryable(reply.Code) && !j.Submit.NonIdempotent}
	case refplatform.MinionNotRun:
		busy := observe(reply) == tooBusy
		if !busy {
			j.minions[m.vm.ID] = true
		}
		why := &refusal{Unavailable, describe(reply), retryAfterUnavailable}
		return step{reply: r.refused(j, why), retry: true, free: true, busy: busy}
	default:
		out.Result.Outcome, out.Result.Reason, out.Result.Body = api.OutcomeUnknown, describe(reply), nil
		j.minions[m.vm.ID] = true
		return step{reply: out, retry: !j.Submit.NonIdempotent}
	}
}

// retryable tells whether a status says that another minion may do better.
func retryable(code int) bool {
	return code == http.StatusBadGateway || code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout
}

func describe(reply refplatform.MinionReply) string {
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
