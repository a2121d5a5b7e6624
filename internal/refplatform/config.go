package refplatform

import (
	"cmp"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// Defaults of Config.
const (
	// DefaultTimeout bounds one call of every client except that of minions.
	DefaultTimeout = time.Second
	// DefaultMinionTimeout bounds one request to a minion. The deadline of the request
	// is in the context; this timeout only releases the connection and memory of a
	// request that a minion never answers.
	DefaultMinionTimeout = 10 * time.Minute
	// DefaultDialTimeout bounds one connection attempt.
	DefaultDialTimeout = time.Second
	// DefaultServiceConnections is the maximum number of connections to each of the
	// table service, the object store and the VM list.
	DefaultServiceConnections = 16
	// DefaultWorkerConnections is the maximum number of connections to one worker.
	DefaultWorkerConnections = 4
	// DefaultMinionConnections is the maximum number of connections to one minion.
	DefaultMinionConnections = 64

	defaultTableAnswerBytes  = 64 << 20
	defaultObjectAnswerBytes = 64 << 20
	defaultVMsAnswerBytes    = 8 << 20
	defaultWorkerAnswerBytes = 8 << 20
	defaultMinionAnswerBytes = 16 << 20
)

// Config configures a client. Zero values select the defaults.
type Config struct {
	// URL is the base URL of a service: plain http with an IP address and a port.
	// Clients of workers and minions ignore it and get the address with each call.
	URL string
	// Timeout bounds one call, including the connection attempt and the body.
	Timeout time.Duration
	// DialTimeout bounds one connection attempt.
	DialTimeout time.Duration
	// Connections is the maximum number of connections to one address.
	Connections int
	// MaxAnswerBytes is the maximum size of the body of one answer.
	MaxAnswerBytes int64

	// Logger, Scope and Tracer may be nil: logs, metrics or traces are then discarded.
	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	service string // name of the service in metrics
}

// withDefaults replaces zero values by the defaults and names the service for logs
// and metrics.
func (c Config) withDefaults(service string, timeout time.Duration, connections int, answerBytes int64) Config {
	c.Timeout = cmp.Or(c.Timeout, timeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.Connections = cmp.Or(c.Connections, connections)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, answerBytes)
	c.Logger = telemetry.LoggerOrNop(c.Logger)
	c.Scope = telemetry.ScopeOrNoop(c.Scope)
	c.Tracer = telemetry.TracerOrNoop(c.Tracer)
	c.Logger = c.Logger.Named(service)
	c.service = service
	return c
}

// baseURL validates the base URL of a service and strips a trailing slash.
func baseURL(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return "", eris.Wrap(err, "parse service URL")
	}
	if u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" {
		return "", eris.Errorf("service URL %q is not a plain http URL", raw)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "", eris.Errorf("service URL %q has no IP address with a port", raw)
	}
	return strings.TrimSuffix(raw, "/"), nil
}

// addressURL returns the URL of a path on a worker or minion.
func addressURL(address, path string) (string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", eris.Errorf("address %q is not an IP address with a port", address)
	}
	return "http://" + address + path, nil
}
