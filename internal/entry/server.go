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
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// readHeaderTimeout bounds the wait for the header of an HTTP request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections that nobody uses.
	idleTimeout = 2 * time.Minute
	// defaultGracefulStop is the default of the setting timing.graceful_stop.
	defaultGracefulStop = time.Minute
)

// Config holds the dependencies and settings of a Server. Logger, scope and
// tracer may be nil, and so may Metrics and Ready.
type Config struct {
	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	CallersAddress   string // listener for callers, IP address and port
	OperatorsAddress string // listener for operators, IP address and port
	OperatorToken    string // hex SHA-256 of the bearer token of operators
	MaxBodyBytes     int64  // largest payload of a request; 0 takes 1 MiB
	GracefulStop     time.Duration

	View     configuration.View
	Handlers Handlers
	Metrics  http.Handler // serves GET /metrics
	Ready    func() bool  // asked by GET /readyz beside the readiness flag
}

// Server serves the HTTP API on two listeners.
type Server struct {
	config    Config
	log       *zap.Logger
	scope     tally.Scope
	tracer    trace.Tracer
	tokens    tokens
	ready     atomic.Bool
	callers   listener
	operators listener
}

type listener struct {
	server *http.Server
	socket net.Listener
}

// New returns a server; Listen and Run start it.
func New(config Config) *Server {
	config.Log = telemetry.Logger(config.Log)
	config.Scope = telemetry.Scope(config.Scope)
	config.Tracer = telemetry.Tracer(config.Tracer)
	if config.GracefulStop <= 0 {
		config.GracefulStop = defaultGracefulStop
	}
	config.MaxBodyBytes = orDefault(config.MaxBodyBytes, defaultMaxBodyBytes)
	s := &Server{
		config: config, log: config.Log.Named("entry"), scope: config.Scope.SubScope("entry"), tracer: config.Tracer,
		tokens: tokens{view: config.View, operator: config.OperatorToken},
	}
	s.callers.server = s.httpServer(s.callerHandler())
	s.operators.server = s.httpServer(s.operatorHandler())
	return s
}

func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(s.log)}
}

func (s *Server) newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Logger.SetOutput(io.Discard)
	e.JSONSerializer = strictSerializer{}
	e.HTTPErrorHandler = handleError
	e.Use(identify, s.observe, limitBody(s.config.MaxBodyBytes))
	return e
}

func (s *Server) callerHandler() http.Handler {
	e := s.newEcho()
	e.Use(s.authenticate)
	api.RegisterHandlers(callerRouter{e}, s.config.Handlers)
	return e
}

func (s *Server) operatorHandler() http.Handler {
	e := s.newEcho()
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	if s.config.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(s.config.Metrics))
	}
	guarded := e.Group("", s.authenticate, s.guardOperators)
	api.RegisterHandlers(guarded, s.config.Handlers)
	return e
}

// guardOperators lets organisations use the routes for callers only.
func (s *Server) guardOperators(next echo.HandlerFunc) echo.HandlerFunc {
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

// SetReady sets the readiness flag. Turn it off first when stopping, so that the
// load balancer sends no new callers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Listen opens both listeners, so that a wrong address is known before Run.
func (s *Server) Listen() error {
	for _, l := range []struct {
		to      *listener
		address string
	}{{&s.callers, s.config.CallersAddress}, {&s.operators, s.config.OperatorsAddress}} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			s.close()
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		l.to.socket = socket
	}
	return nil
}

func (s *Server) close() {
	for _, l := range []*listener{&s.callers, &s.operators} {
		if l.socket != nil {
			_ = l.socket.Close()
		}
	}
}

// CallersAddress returns the address of the listener for callers after Listen.
func (s *Server) CallersAddress() string { return s.callers.socket.Addr().String() }

// OperatorsAddress returns the address of the listener for operators after Listen.
func (s *Server) OperatorsAddress() string { return s.operators.socket.Addr().String() }

// Run serves until ctx ends and then lets the requests in flight finish, for
// GracefulStop at most.
func (s *Server) Run(ctx context.Context) error {
	if s.callers.socket == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range []*listener{&s.callers, &s.operators} {
		group.Go(func() error { return serve(l) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return s.shutdown(context.WithoutCancel(ctx))
	})
	s.log.Info("Serving.", zap.String("callers", s.CallersAddress()), zap.String("operators", s.OperatorsAddress()))
	return eris.Wrap(group.Wait(), "entry")
}

func serve(l *listener) error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// shutdown stops the listener for callers first, so that health and metrics can
// be read until the last request has finished.
func (s *Server) shutdown(ctx context.Context) error {
	s.SetReady(false)
	ctx, cancel := context.WithTimeout(ctx, s.config.GracefulStop)
	defer cancel()
	err := s.callers.server.Shutdown(ctx)
	if err != nil {
		s.log.Warn("Stopping with HTTP requests in flight.", zap.Error(err))
		_ = s.callers.server.Close()
	}
	if closeErr := s.operators.server.Shutdown(ctx); closeErr != nil {
		_ = s.operators.server.Close()
		return eris.Wrap(closeErr, "stop the listener for operators")
	}
	return eris.Wrap(err, "stop the listener for callers")
}
