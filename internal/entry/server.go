package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/ingress"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// readHeaderTimeout bounds the time in which the header of an HTTP request must
	// arrive.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes is four times that of the users' platform.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// defaultGracefulStop is the default of the setting timing.graceful_stop.
	defaultGracefulStop = time.Minute
	// The defaults of the settings limits.max_connections, limits.body_memory_bytes and
	// timing.body_timeout.
	defaultMaxConnections  = 512
	defaultBodyMemoryBytes = 24 << 20
	defaultBodyTimeout     = 30 * time.Second
	// operatorBodyMemoryBytes is the budget of the listener for operators, who send a
	// catalogue now and then.
	operatorBodyMemoryBytes = 8 << 20
)

// Config holds the dependencies and settings of a Server. Logger, scope and
// tracer may be nil, and so may Metrics and Ready.
type Config struct {
	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	CallersAddress    string // IP address and port of the listener for callers
	OperatorsAddress  string // IP address and port of the listener for operators
	OperatorTokenHash string // hex SHA-256 of the bearer token of operators
	MaxBodyBytes      int64  // largest payload of a request; 0 means 1 MiB
	// MaxConnections bounds the connections of callers; 0 means 512.
	MaxConnections int
	// BodyMemoryBytes bounds the bytes of request bodies in flight; 0 means 24 MiB.
	BodyMemoryBytes int64
	// BodyTimeout bounds the time in which a body must arrive; 0 means 30 s.
	BodyTimeout time.Duration
	// GracefulStop bounds the wait for requests in flight when Run ends; 0 means 1 min.
	GracefulStop time.Duration

	View     configuration.View
	Handlers Handlers
	Metrics  http.Handler // serves GET /metrics
	Ready    func() bool  // further condition of GET /readyz, besides the readiness flag
}

// Server serves the HTTP API on two listeners.
type Server struct {
	config        Config
	log           *zap.Logger
	scope         tally.Scope
	tracer        trace.Tracer
	authenticator authenticator
	ready         atomic.Bool
	callers       httpListener
	operators     httpListener
}

// httpListener is an HTTP server with the listener that it serves on, which is nil
// before Listen.
type httpListener struct {
	server   *http.Server
	listener net.Listener
	guard    *ingress.Guard
}

// New returns a server. Listen opens its listeners, and Run serves on them.
func New(config Config) *Server {
	config.Log = telemetry.LoggerOrNop(config.Log)
	config.Scope = telemetry.ScopeOrNoop(config.Scope)
	config.Tracer = telemetry.TracerOrNoop(config.Tracer)
	if config.GracefulStop <= 0 {
		config.GracefulStop = defaultGracefulStop
	}
	config.MaxBodyBytes = orDefault(config.MaxBodyBytes, defaultMaxBodyBytes)
	s := &Server{
		config: config, log: config.Log.Named("entry"), scope: config.Scope.SubScope("entry"), tracer: config.Tracer,
		authenticator: authenticator{view: config.View, operatorHash: config.OperatorTokenHash},
	}
	s.callers.guard = s.newGuard("callers", orDefault(config.MaxConnections, defaultMaxConnections), orDefault(config.BodyMemoryBytes, defaultBodyMemoryBytes))
	s.operators.guard = s.newGuard("operators", ingress.SmallListenerConnections, operatorBodyMemoryBytes)
	s.callers.server = s.httpServer(s.callerHandler(), s.callers.guard)
	s.operators.server = s.httpServer(s.operatorHandler(), s.operators.guard)
	return s
}

func (s *Server) newGuard(listener string, connections int, bodyBytes int64) *ingress.Guard {
	limits := ingress.BodyLimits(connections, bodyBytes, bodyLimit(s.config.MaxBodyBytes))
	if limits.BodyTime = s.config.BodyTimeout; limits.BodyTime <= 0 {
		limits.BodyTime = defaultBodyTimeout
	}
	return ingress.New(limits, time.Now, s.log.With(zap.String("listener", listener)), s.config.Scope.Tagged(map[string]string{"listener": listener}))
}

func (s *Server) httpServer(handler http.Handler, guard *ingress.Guard) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(s.log)}
	guard.Attach(server)
	return server
}

func (s *Server) newEcho(guard *ingress.Guard) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Logger.SetOutput(io.Discard)
	e.JSONSerializer = strictSerializer{}
	e.HTTPErrorHandler = handleError
	e.Use(assignRequestID, s.instrument, setGuard(guard), limitBody(s.config.MaxBodyBytes))
	return e
}

func (s *Server) callerHandler() http.Handler {
	e := s.newEcho(s.callers.guard)
	e.Use(s.authenticate, receiveBody(s.config.MaxBodyBytes, callerElements))
	api.RegisterHandlers(callerRouter{e}, s.config.Handlers)
	return e
}

func (s *Server) operatorHandler() http.Handler {
	e := s.newEcho(s.operators.guard)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	if s.config.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(s.config.Metrics))
	}
	authenticated := e.Group("", s.authenticate, s.restrictOperatorRoutes, receiveBody(s.config.MaxBodyBytes, operatorElements))
	api.RegisterHandlers(authenticated, s.config.Handlers)
	return e
}

// restrictOperatorRoutes answers 403 to organisations on all routes except those for
// callers.
func (s *Server) restrictOperatorRoutes(next echo.HandlerFunc) echo.HandlerFunc {
	restricted := s.operatorsOnly(next)
	return func(c echo.Context) error {
		if isCallerRoute(c.Path()) {
			return next(c)
		}
		return restricted(c)
	}
}

func (s *Server) readyz(c echo.Context) error {
	if !s.ready.Load() || s.config.Ready != nil && !s.config.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// SetReady sets the readiness flag. Clear it first when stopping, so that the load
// balancer sends no new requests.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Listen opens both listeners. Calling it before Run reports a wrong address early.
func (s *Server) Listen() error {
	for _, l := range []struct {
		target  *httpListener
		address string
	}{{&s.callers, s.config.CallersAddress}, {&s.operators, s.config.OperatorsAddress}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			s.close()
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		l.target.listener = l.target.guard.Listener(listener)
	}
	return nil
}

func (s *Server) close() {
	for _, l := range []*httpListener{&s.callers, &s.operators} {
		if l.listener != nil {
			_ = l.listener.Close()
			l.listener = nil
		}
	}
}

// CallersAddress returns the address of the listener for callers after Listen.
func (s *Server) CallersAddress() string { return s.callers.listener.Addr().String() }

// OperatorsAddress returns the address of the listener for operators after Listen.
func (s *Server) OperatorsAddress() string { return s.operators.listener.Addr().String() }

// Run serves until ctx ends. It then waits up to GracefulStop for the requests in
// flight to finish.
func (s *Server) Run(ctx context.Context) error {
	if s.callers.listener == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range []*httpListener{&s.callers, &s.operators} {
		group.Go(func() error { return serve(l) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return s.shutdown(context.WithoutCancel(ctx))
	})
	s.log.Info("Serving.", zap.String("callers", s.CallersAddress()), zap.String("operators", s.OperatorsAddress()))
	return eris.Wrap(group.Wait(), "entry")
}

func serve(l *httpListener) error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// shutdown stops the listener for callers first, so that the listener for operators
// serves health and metrics until the last request has finished.
func (s *Server) shutdown(ctx context.Context) error {
	s.SetReady(false)
	ctx, cancel := context.WithTimeout(ctx, s.config.GracefulStop)
	defer cancel()
	err := s.callers.server.Shutdown(ctx)
	if err != nil {
		s.log.Warn("Listener for callers closed with HTTP requests in flight.", zap.Error(err))
		_ = s.callers.server.Close()
	}
	if closeErr := s.operators.server.Shutdown(ctx); closeErr != nil {
		_ = s.operators.server.Close()
		return eris.Wrap(closeErr, "stop the listener for operators")
	}
	return eris.Wrap(err, "stop the listener for callers")
}
