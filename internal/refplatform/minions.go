package refplatform

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// ErrMismatchedAnswer is the cause when an answer belongs to another request.
var ErrMismatchedAnswer = eris.New("answer belongs to another request")

// MinionsClient calls minions.
type MinionsClient struct{ *caller }

var _ Minions = (*MinionsClient)(nil)

// NewMinions returns a client of minions.
func NewMinions(c Config) *MinionsClient {
	c = c.withDefaults("minions", DefaultMinionTimeout, DefaultMinionConnections, defaultMinionAnswerBytes)
	return &MinionsClient{newCaller(c)}
}

// Send sends one request to a minion and checks the answer.
func (m *MinionsClient) Send(ctx context.Context, address string, request MinionRequest) MinionReply {
	url, err := addressURL(address, PathRun)
	if err != nil {
		return MinionReply{Status: MinionNotRun, Err: err}
	}
	ctx = withParent(ctx, request.Traceparent)
	got, err := m.do(ctx, call{name: "minion run", method: http.MethodPost, url: url, header: minionHeader(request), body: request.Body})
	if err != nil {
		if NotApplied(err) {
			return MinionReply{Status: MinionNotRun, Err: err}
		}
		return MinionReply{Status: MinionUnknown, Err: err}
	}
	return minionReply(got, request.RequestID)
}

// withParent makes the span of the request the parent unless the context carries one.
func withParent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" || trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

func minionHeader(request MinionRequest) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/octet-stream")
	header.Set(HeaderRequestID, request.RequestID)
	header.Set(HeaderEntry, request.Entry)
	header.Set(HeaderDeadlineMs, strconv.FormatInt(request.DeadlineMs, 10))
	SetBodyHeaders(header, request.Body)
	return header
}

// minionReply judges a whole HTTP answer. Only a refusal may lack the request
// identifier, because a minion may refuse before it reads the request.
func minionReply(got answer, requestID string) MinionReply {
	answered := got.header.Get(HeaderRequestID)
	refused := got.notRun()
	if answered != requestID && (!refused || answered != "") {
		err := eris.Wrapf(ErrMismatchedAnswer, "answer to %q instead of %q", answered, requestID)
		return MinionReply{Status: MinionUnknown, Code: got.status, Err: err}
	}
	reply := MinionReply{Code: got.status, Leaving: got.header.Get(HeaderLeaving) == HeaderTrue}
	if refused {
		reply.Status, reply.Err = MinionNotRun, eris.New("minion refused the request")
		return reply
	}
	if err := CheckBody(got.header, got.body); err != nil {
		reply.Status, reply.Err = MinionUnknown, err
		return reply
	}
	reply.Status, reply.Body = MinionRan, got.body
	if got.status >= http.StatusInternalServerError {
		reply.Status = MinionFailed
	}
	return reply
}
