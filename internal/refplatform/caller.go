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

// ErrAnswerTooLarge means that the body of an answer exceeds Config.MaxAnswerBytes.
var ErrAnswerTooLarge = eris.New("answer exceeds the size limit")

// CallError is the error of a call that got no usable answer.
type CallError struct {
	// MaybeApplied is false if the call certainly took no effect: nothing was sent,
	// or the server answered that it did not carry out the call.
	MaybeApplied bool
	cause        error
}

// Error returns the text of the cause.
func (e *CallError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// NotApplied reports whether the failed call certainly took no effect.
func NotApplied(err error) bool {
	var call *CallError
	return errors.As(err, &call) && !call.MaybeApplied
}

// call is an HTTP request with the name of its operation.
type call struct {
	name   string // for metrics and traces
	method string
	url    string
	header http.Header
	body   []byte
}

// answer is an HTTP answer whose body was read completely.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// notRun reports whether the server answered that the call took no effect.
func (a answer) notRun() bool {
	return a.status == http.StatusServiceUnavailable && a.header.Get(HeaderNotRun) == HeaderTrue
}

// absent reports whether the server answered that the row or object does not exist.
func (a answer) absent() bool {
	return a.status == http.StatusNotFound && a.header.Get(HeaderAbsent) == HeaderTrue
}

// statusError returns the error for an answer with an unexpected status.
func (a answer) statusError() error {
	return &CallError{MaybeApplied: !a.notRun(), cause: eris.Errorf("server answered with status %d", a.status)}
}

// caller makes HTTP calls within the limits of a Config.
type caller struct {
	config    Config
	transport *http.Transport
	metrics   *metrics
}

func newCaller(c Config) *caller {
	return &caller{config: c, transport: newTransport(c), metrics: newMetrics(c.Scope.Tagged(map[string]string{"service": c.service}))}
}

// Close closes idle connections. It does not interrupt calls in flight.
func (c *caller) Close() { c.transport.CloseIdleConnections() }

// do makes a call and reads the complete answer. Every error is a *CallError.
func (c *caller) do(ctx context.Context, request call) (answer, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	ctx, span := c.span(ctx, request.name)
	defer span.End()
	var tracker sentTracker
	got, err := c.exchange(tracker.attach(ctx), request)
	c.metrics.record(request.name, got.status, time.Since(start))
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return answer{}, &CallError{MaybeApplied: tracker.sent(), cause: eris.Wrap(err, request.name)}
	}
	return got, nil
}

// span starts a span if the call belongs to a trace. Periodic polls and renewals
// belong to none: their spans would far outnumber those of requests.
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
	r.Header["User-Agent"] = nil // saves 33 bytes per call; no service reads the header
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

// readBounded reads a body of at most limit bytes. length is -1 if the answer has no
// Content-Length.
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
