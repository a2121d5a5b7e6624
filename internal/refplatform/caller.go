package refplatform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// ErrAnswerTooLarge is the cause when the body of an answer exceeds the limit.
var ErrAnswerTooLarge = eris.New("answer exceeds the size limit")

// CallError is a call that got no usable answer.
type CallError struct {
	// MaybeApplied is false when certainly nothing was sent or the server says that
	// the call took no effect.
	MaybeApplied bool
	cause        error
}

// Error returns the cause.
func (e *CallError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// NotApplied tells whether the failed call certainly took no effect.
func NotApplied(err error) bool {
	var call *CallError
	return errors.As(err, &call) && !call.MaybeApplied
}

// call is one HTTP request.
type call struct {
	name   string // for metrics and traces
	method string
	url    string
	header http.Header
	body   []byte
}

// answer is a whole HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// notRun tells whether the server says that the call took no effect.
func (a answer) notRun() bool {
	return a.status == http.StatusServiceUnavailable && a.header.Get(HeaderNotRun) == HeaderTrue
}

// absent tells whether the server says that the row or object does not exist.
func (a answer) absent() bool {
	return a.status == http.StatusNotFound && a.header.Get(HeaderAbsent) == HeaderTrue
}

// refusal is the error of an answer with an unexpected status.
func (a answer) refusal() error {
	return &CallError{MaybeApplied: !a.notRun(), cause: eris.Errorf("server answered with status %d", a.status)}
}

// caller makes HTTP calls with the limits of a Config.
type caller struct {
	config    Config
	transport *http.Transport
	metrics   *metrics
}

func newCaller(c Config) *caller {
	return &caller{config: c, transport: newTransport(c), metrics: newMetrics(c.Scope.Tagged(map[string]string{"service": c.part}))}
}

// Close closes idle connections. Calls in flight are not cut off.
func (c *caller) Close() { c.transport.CloseIdleConnections() }

// do makes a call and reads the whole answer. Every error is a *CallError.
func (c *caller) do(ctx context.Context, request call) (answer, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	ctx, span := c.span(ctx, request.name)
	defer span.End()
	var tracker sentTracker
	result, err := c.exchange(tracker.attach(ctx), request)
	c.metrics.record(request.name, result.status, time.Since(started))
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return answer{}, &CallError{MaybeApplied: tracker.sent(), cause: eris.Wrap(err, request.name)}
	}
	return result, nil
}

// span starts a span for a call that belongs to a trace. Periodic polls and
// renewals belong to none and would drown the traces of requests.
func (c *caller) span(ctx context.Context, name string) (context.Context, trace.Span) {
	if parent := trace.SpanFromContext(ctx); !parent.SpanContext().IsValid() {
		return ctx, parent
	}
	return c.config.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

func (c *caller) exchange(ctx context.Context, request call) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, request.method, request.url, bytes.NewReader(request.body))
	if err != nil {
		return answer{}, err
	}
	r.Header["User-Agent"] = nil // saves 33 bytes a call; no service reads it
	for name, values := range request.header {
		r.Header[name] = values
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := readBounded(response.Body, response.ContentLength, c.config.MaxAnswerBytes)
	if err != nil {
		return answer{}, eris.Wrap(err, "read answer")
	}
	return answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// readBounded reads a body of at most limit bytes. length is -1 when it is not announced.
func readBounded(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrAnswerTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrAnswerTooLarge
	}
	return data, nil
}
