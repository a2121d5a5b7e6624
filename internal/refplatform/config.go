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
	// DefaultTimeout bounds one call of all clients but the one of minions.
	DefaultTimeout = time.Second
	// DefaultMinionTimeout bounds one request to a minion. It only frees what a
	// minion that never answers would hold; the context carries the deadline.
	DefaultMinionTimeout = 10 * time.Minute
	// DefaultDialTimeout bounds one connection attempt.
	DefaultDialTimeout = time.Second
	// DefaultServiceConnections is the limit of connections to the table service,
	// the object store and the VM list, each.
	DefaultServiceConnections = 16
	// DefaultWorkerConnections is the limit of connections to one worker.
	DefaultWorkerConnections = 4
	// DefaultMinionConnections is the limit of connections to one minion.
	DefaultMinionConnections = 64

	defaultTableAnswerBytes  = 64 << 20
	defaultObjectAnswerBytes = 64 << 20
	defaultVMsAnswerBytes    = 8 << 20
	defaultWorkerAnswerBytes = 8 << 20
	defaultMinionAnswerBytes = 16 << 20
)

// Config holds what a client needs. Zero values take the defaults.
type Config struct {
	// URL is the base URL of a service, http with an IP address. Clients of
	// workers and minions take the address with each call instead.
	URL string
	// Timeout bounds one call, connection attempt and body included.
	Timeout time.Duration
	// DialTimeout bounds one connection attempt.
	DialTimeout time.Duration
	// Connections is the limit of connections to one address.
	Connections int
	// MaxAnswerBytes is the limit of the body of one answer.
	MaxAnswerBytes int64

	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	part string // name of the service in metrics
}

// withDefaults fills what is not set.
func (c Config) withDefaults(part string, timeout time.Duration, connections int, answerBytes int64) Config {
	c.Timeout = cmp.Or(c.Timeout, timeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.Connections = cmp.Or(c.Connections, connections)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, answerBytes)
	c.Logger = telemetry.LoggerOrNop(c.Logger)
	c.Scope = telemetry.ScopeOrNoop(c.Scope)
	c.Tracer = telemetry.TracerOrNoop(c.Tracer)
	c.Logger = c.Logger.Named(part)
	c.part = part
	return c
}

// baseURL checks the base URL of a service and strips a trailing slash.
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

// addressURL gives the URL of a path on a worker or minion.
func addressURL(address, path string) (string, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", eris.Errorf("address %q is not an IP address with a port", address)
	}
	return "http://" + address + path, nil
}
