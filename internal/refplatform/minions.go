package refplatform

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// ErrMismatchedAnswer means that an answer has the identifier of another request.
var ErrMismatchedAnswer = eris.New("answer belongs to another request")

// MinionsClient sends requests to minions.
type MinionsClient struct{ *caller }

var _ Minions = (*MinionsClient)(nil)

// NewMinions returns a client of minions.
func NewMinions(c Config) *MinionsClient {
	c = c.withDefaults("minions", DefaultMinionTimeout, DefaultMinionConnections, defaultMinionAnswerBytes)
	return &MinionsClient{newCaller(c)}
}

// Send sends one request to a minion and verifies the answer.
func (m *MinionsClient) Send(ctx context.Context, address string, request MinionRequest) MinionReply {
	url, err := addressURL(address, PathRun)
	if err != nil {
		return MinionReply{Status: MinionNotRun, Err: err}
	}
	ctx = withParentSpan(ctx, request.Traceparent)
	got, err := m.do(ctx, call{name: "minion run", method: http.MethodPost, url: url, header: minionHeader(request), body: request.Body})
	if err != nil {
		if NotApplied(err) {
			return MinionReply{Status: MinionNotRun, Err: err}
		}
		return MinionReply{Status: MinionUnknown, Err: err}
	}
	return minionReply(got, request.RequestID)
}

// withParentSpan makes the span in traceparent the parent of new spans, unless the
// context already has a span.
func withParentSpan(ctx context.Context, traceparent string) context.Context {
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

// minionReply derives the outcome of a request from a complete HTTP answer. Only a
// refusal may lack the request identifier, because a minion may refuse a request
// before reading it.
func minionReply(got answer, requestID string) MinionReply {
	answeredID := got.header.Get(HeaderRequestID)
	notRun := got.notRun()
	if answeredID != requestID && (!notRun || answeredID != "") {
		err := eris.Wrapf(ErrMismatchedAnswer, "answer to %q instead of %q", answeredID, requestID)
		return MinionReply{Status: MinionUnknown, Code: got.status, Err: err}
	}
	reply := MinionReply{Code: got.status, Leaving: got.header.Get(HeaderLeaving) == HeaderTrue}
	if notRun {
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
