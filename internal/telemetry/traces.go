package telemetry

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/samphirepath/samphirepath/api"
)

const serviceName = "samphirepath"

// Traces holds the tracer provider of a process.
type Traces struct {
	Provider trace.TracerProvider
	shutdown func(context.Context) error
}

// NewTraces returns a tracer provider with the exporter that the settings select. vm
// and zone become resource attributes of the spans.
func NewTraces(ctx context.Context, s api.TraceSettings, vm, zone string) (*Traces, error) {
	switch s.Exporter {
	case "", "none":
		return &Traces{Provider: noop.NewTracerProvider(), shutdown: func(context.Context) error { return nil }}, nil
	case "file":
		return newFileTraces(s, vm, zone)
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OtlpURL))
		if err != nil {
			return nil, eris.Wrapf(err, "trace exporter to %s", s.OtlpURL)
		}
		return newTraces(exporter, s, vm, zone, nil), nil
	default:
		return nil, eris.Errorf("unknown trace exporter %q", s.Exporter)
	}
}

func newFileTraces(s api.TraceSettings, vm, zone string) (*Traces, error) {
	const ownerOnly = 0o600
	file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ownerOnly)
	if err != nil {
		return nil, eris.Wrap(err, "open the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, eris.Wrap(errors.Join(err, file.Close()), "trace exporter to a file")
	}
	return newTraces(exporter, s, vm, zone, file), nil
}

func newTraces(exporter sdktrace.SpanExporter, s api.TraceSettings, vm, zone string, file io.Closer) *Traces {
	const percent = 100.0
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(float64(s.SamplePercent)/percent))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("host.id", vm),
			attribute.String("cloud.availability_zone", zone),
		)),
	)
	shutdown := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			err = errors.Join(err, file.Close())
		}
		return eris.Wrap(err, "flush the traces")
	}
	return &Traces{Provider: provider, shutdown: shutdown}
}

// Tracer returns the tracer of a component of the daemon.
func (t *Traces) Tracer(component string) trace.Tracer { return t.Provider.Tracer(component) }

// Shutdown exports the remaining spans and closes the exporter.
func (t *Traces) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// TracerOrNoop returns the tracer, or one that records nothing if it is nil.
func TracerOrNoop(tracer trace.Tracer) trace.Tracer {
	if tracer == nil {
		return noop.NewTracerProvider().Tracer("")
	}
	return tracer
}

// traceparentHeader is the name of the W3C trace context header.
const traceparentHeader = "traceparent"

// Traceparent returns the W3C traceparent of the span in ctx, or "" if there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// WithTraceparent returns ctx with the remote parent span of a W3C traceparent. If
// the traceparent is invalid, it returns ctx unchanged.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{traceparentHeader: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
