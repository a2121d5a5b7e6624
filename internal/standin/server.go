package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	readHeaderTimeout = 10 * time.Second
	// relistenTries and relistenWait bound how long a listener that was closed on
	// purpose tries to get its port back.
	relistenTries = 50
	relistenWait  = 20 * time.Millisecond
)

// server is one listener that can be closed and opened again on the same port.
type server struct {
	name    string
	handler http.Handler
	limit   int // connections answered normally; 0 is no limit
	logger  *zap.Logger

	mu       sync.Mutex
	address  string
	listener net.Listener
	http     *http.Server
	started  bool
	closed   bool
	serving  sync.WaitGroup
}

// newServer listens, but serves only after start.
func newServer(name, address string, limit int, handler http.Handler, logger *zap.Logger) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &server{
		name: name, handler: handler, limit: limit, logger: logger,
		address: listener.Addr().String(), listener: listener,
	}, nil
}

// start serves the listener.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	if s.listener != nil && !s.closed {
		s.serve()
	}
}

// serve needs the lock.
func (s *server) serve() {
	listener := s.listener
	if s.limit > 0 {
		listener = newLimitListener(listener, s.limit)
	}
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       markSurplus,
		ErrorLog:          zap.NewStdLog(s.logger),
	}
	server := s.http
	s.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("Listener failed.", zap.String("service", s.name), zap.Error(err))
		}
	})
}

// refuse closes the listener and all its connections, or opens it again.
func (s *server) refuse(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || on == (s.listener == nil) {
		return nil
	}
	if on {
		s.shut()
		return nil
	}
	return s.reopen()
}

func (s *server) shut() {
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

func (s *server) reopen() error {
	var err error
	for range relistenTries {
		if s.listener, err = net.Listen("tcp", s.address); err == nil {
			if s.started {
				s.serve()
			}
			return nil
		}
		time.Sleep(relistenWait)
	}
	s.listener = nil
	return eris.Wrapf(err, "listen again for %s", s.name)
}

// close ends the server and waits for its accept loop.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.shut()
	s.mu.Unlock()
	s.serving.Wait()
}

// limitListener marks connections above a limit as surplus.
type limitListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  int
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, limit: limit}
}

// Accept returns the next connection.
func (l *limitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	surplus := l.open >= l.limit
	if !surplus {
		l.open++
	}
	return &limitedConn{Conn: conn, surplus: surplus, free: sync.OnceFunc(func() { l.free(surplus) })}, nil
}

func (l *limitListener) free(surplus bool) {
	if surplus {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	surplus bool
	free    func()
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.free()
	return c.Conn.Close()
}

type surplusKey struct{}

// markSurplus tells the handlers of a connection that it is above the limit.
func markSurplus(ctx context.Context, conn net.Conn) context.Context {
	if limited, ok := conn.(*limitedConn); ok && limited.surplus {
		return context.WithValue(ctx, surplusKey{}, true)
	}
	return ctx
}

func isSurplus(ctx context.Context) bool {
	surplus, _ := ctx.Value(surplusKey{}).(bool)
	return surplus
}
