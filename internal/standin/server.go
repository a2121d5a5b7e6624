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
	// reopenAttempts and reopenRetryDelay bound how long a listener that was closed by
	// a fault tries to bind its port again.
	reopenAttempts   = 50
	reopenRetryDelay = 20 * time.Millisecond
)

// server is an HTTP server whose listener can be closed and reopened on the same port.
type server struct {
	name           string
	handler        http.Handler
	maxConnections int // calls on further connections are refused; 0 means no limit
	logger         *zap.Logger

	mu          sync.Mutex
	address     string
	listener    net.Listener
	http        *http.Server
	started     bool
	closed      bool
	acceptLoops sync.WaitGroup
}

// newServer binds the listener. The server answers calls only after start.
func newServer(name, address string, maxConnections int, handler http.Handler, logger *zap.Logger) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	return &server{
		name: name, handler: handler, maxConnections: maxConnections, logger: logger,
		address: listener.Addr().String(), listener: listener,
	}, nil
}

// start serves the listener unless a fault has closed it.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	if s.listener != nil && !s.closed {
		s.serve()
	}
}

// serve accepts connections in the background. The caller must hold the lock.
func (s *server) serve() {
	listener := s.listener
	if s.maxConnections > 0 {
		listener = newLimitListener(listener, s.maxConnections)
	}
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       markOverLimit,
		ErrorLog:          zap.NewStdLog(s.logger),
	}
	server := s.http
	s.acceptLoops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("Listener failed.", zap.String("service", s.name), zap.Error(err))
		}
	})
}

// setRefusing closes the listener and all its connections, or reopens the listener.
func (s *server) setRefusing(refusing bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || refusing == (s.listener == nil) {
		return nil
	}
	if refusing {
		s.closeListener()
		return nil
	}
	return s.reopen()
}

// closeListener closes the listener and its connections. The caller must hold the lock.
func (s *server) closeListener() {
	if s.http != nil {
		_ = s.http.Close()
		s.http = nil
	}
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// reopen binds the port of the listener again. The caller must hold the lock.
func (s *server) reopen() error {
	var err error
	for range reopenAttempts {
		if s.listener, err = net.Listen("tcp", s.address); err == nil {
			if s.started {
				s.serve()
			}
			return nil
		}
		time.Sleep(reopenRetryDelay)
	}
	s.listener = nil
	return eris.Wrapf(err, "listen again for %s", s.name)
}

// close stops the server and waits for its accept loops.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.closeListener()
	s.mu.Unlock()
	s.acceptLoops.Wait()
}

// limitListener accepts all connections and marks those above a limit.
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
	overLimit := l.open >= l.limit
	if !overLimit {
		l.open++
	}
	return &limitedConn{Conn: conn, overLimit: overLimit, release: sync.OnceFunc(func() { l.release(overLimit) })}, nil
}

func (l *limitListener) release(overLimit bool) {
	if overLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// limitedConn is a connection of a limitListener. It counts towards the limit until it
// is closed, unless it is above the limit.
type limitedConn struct {
	net.Conn
	overLimit bool
	release   func()
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

type overLimitKey struct{}

// markOverLimit records in the context of a connection whether it is above the limit.
func markOverLimit(ctx context.Context, conn net.Conn) context.Context {
	if limited, ok := conn.(*limitedConn); ok && limited.overLimit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

func isOverLimit(ctx context.Context) bool {
	overLimit, _ := ctx.Value(overLimitKey{}).(bool)
	return overLimit
}
