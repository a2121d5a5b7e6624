package telemetry

import (
	"io"
	"net/http"
	"time"
	"unicode"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// metricsPrefix starts the name of each metric, except those of the process and of
// the Go runtime.
const metricsPrefix = "samphirepath"

// reportInterval is the interval at which tally reports its values to the Prometheus
// registry. A scrape sees values that are at most this old.
const reportInterval = 500 * time.Millisecond

// Names of the counters of control traffic in bytes. The mesh of peers counts its
// frames, except those that carry request bodies or results; the clients of the platform
// count all bytes of their connections.
const (
	controlSentName     = "control_sent_bytes"
	controlReceivedName = "control_received_bytes"
)

// Metrics holds the root scope of a process and the HTTP handler that serves its
// values.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a registry of their own, so that several
// daemons in one test process do not share values. The handler also serves
// process_cpu_seconds_total, process_resident_memory_bytes and the metrics of
// the Go runtime.
func NewMetrics(tags map[string]string, logger *zap.Logger) (*Metrics, error) {
	logger = Named(logger, "metrics")
	registry := prometheus.NewRegistry()
	process := collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})
	for _, collector := range []prometheus.Collector{process, collectors.NewGoCollector()} {
		if err := registry.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register process metrics")
		}
	}
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			logger.Error("Registering a metric failed.", zap.Error(err))
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	ControlSent(scope, "peers")
	ControlReceived(scope, "peers")
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// sanitizeOptions returns options that change names as Prometheus requires but leave
// tag values unchanged, so that names of VMs and zones with dashes are the same in
// metrics, logs and settings.
func sanitizeOptions() *tally.SanitizeOptions {
	options := tallyprometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}}
	return &options
}

// Close reports the last values and stops the reporting.
func (m *Metrics) Close() error { return eris.Wrap(m.closer.Close(), "close the metrics") }

// ScopeOrNoop returns the scope, or one that discards everything if it is nil.
func ScopeOrNoop(scope tally.Scope) tally.Scope {
	if scope == nil {
		return tally.NoopScope
	}
	return scope
}

// ControlSent returns the counter of bytes of control traffic sent over a channel,
// such as "peers" or "table".
func ControlSent(scope tally.Scope, channel string) tally.Counter {
	return ScopeOrNoop(scope).Tagged(map[string]string{"channel": channel}).Counter(controlSentName)
}

// ControlReceived returns the counter of bytes of control traffic received over a
// channel.
func ControlReceived(scope tally.Scope, channel string) tally.Counter {
	return ScopeOrNoop(scope).Tagged(map[string]string{"channel": channel}).Counter(controlReceivedName)
}
