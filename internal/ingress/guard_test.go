package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/samphirepath/samphirepath/internal/ingress"
)

// testServer is an HTTP server with a guard. POST reads the body, and other methods answer
// with 64 bytes, or 10,000 at /large. POST to /echo answers with the body twice. The source of a body is the path.
type testServer struct {
	address string
	done    atomic.Int64 // requests that were carried out
	logs    *observer.ObservedLogs
	scope   tally.TestScope
	hold    chan struct{} // closed to let the requests to /hold and /released end
	waiting atomic.Int64  // requests that have waited for hold
}

const (
	maxBody  = 100_000
	waitTime = 10 * time.Second
)

// testClock stands still until the test advances it. It is an hour ahead, so that no deadline
// passes during a test.
type testClock struct{ nanoseconds atomic.Int64 }

func newClock() *testClock {
	c := &testClock{}
	c.nanoseconds.Store(time.Now().Add(time.Hour).UnixNano())
	return c
}

func (c *testClock) now() time.Time          { return time.Unix(0, c.nanoseconds.Load()) }
func (c *testClock) advance(d time.Duration) { c.nanoseconds.Add(int64(d)) }

// slowReader is a connection whose client takes a while to accept what is written.
type slowReader struct {
	net.Conn
	clock *testClock
	delay time.Duration
}

func (c *slowReader) SetWriteDeadline(time.Time) error { return nil }

func (c *slowReader) Write(p []byte) (int, error) {
	c.clock.advance(c.delay)
	return len(p), nil
}

// oneConnection is a listener with one connection.
type oneConnection struct {
	net.Listener
	conn net.Conn
}

func (l oneConnection) Accept() (net.Conn, error) { return l.conn, nil }

// pastGrace is longer than the time in which a new connection or request is not closed for
// others.
const pastGrace = 600 * time.Millisecond

func serve(limits ingress.Limits) *testServer { return serveAt(limits, time.Now, time.Second) }

func serveAt(limits ingress.Limits, clock func() time.Time, headerTimeout time.Duration) *testServer {
	core, logs := observer.New(zapcore.InfoLevel)
	s := &testServer{logs: logs, scope: tally.NewTestScope("", nil), hold: make(chan struct{})}
	guard := ingress.New(limits, clock, zap.New(core), s.scope)
	server := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, err := guard.ReadBody(w, r, ingress.Body{Source: r.URL.Path, Max: maxBody})
			if err != nil {
				http.Error(w, err.Error(), ingress.Status(err))
				return
			}
			if r.URL.Path == "/echo" {
				_, _ = w.Write(body.Joined())
				_, _ = io.Copy(w, body.Reader())
				return
			}
		}
		if r.URL.Path == "/unknown" {
			guard.Abandon(w, r)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.URL.Path == "/released" {
			guard.ReleaseBody(r)
		}
		if r.URL.Path == "/hold" || r.URL.Path == "/released" {
			s.waiting.Add(1)
			<-s.hold
		}
		s.done.Add(1)
		length := 64
		if r.URL.Path == "/large" {
			length = 10_000
		}
		_, _ = io.WriteString(w, strings.Repeat("a", length))
	})}
	guard.Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	DeferCleanup(server.Close)
	return s
}

// send opens a connection and sends a text.
func (s *testServer) send(text string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// status waits for an answer and returns its status, or 0 if the connection was closed.
func status(c net.Conn) int {
	Expect(c.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
		return 0
	}
	return response.StatusCode
}

func (s *testServer) counter(name string) int64 {
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name()+" "+c.Tags()["reason"] == name {
			return c.Value()
		}
	}
	return 0
}

func (s *testServer) gauge(name string) float64 {
	for _, g := range s.scope.Snapshot().Gauges() {
		if g.Name() == name {
			return g.Value()
		}
	}
	return -1
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

var small = post("/small", 4, "body")

var _ = Describe("Guard", func() {
	limits := ingress.Limits{Connections: 8, BodyBytes: 4 * (maxBody + 1), SourceBytes: maxBody + 1, BodyTime: 2 * time.Second}

	DescribeTable("refuses and has done nothing", func(request string, want int) {
		s := serve(limits)
		Expect(status(s.send(request))).To(Equal(want))
		Expect(s.done.Load()).To(BeZero())
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(BeZero())
		Expect(status(s.send(small))).To(Equal(http.StatusOK))
	},
		Entry("a body that stops short", post("/a", 1000, strings.Repeat(" ", 999)), http.StatusRequestTimeout),
		Entry("a body that does not begin", post("/a", 1000, ""), http.StatusRequestTimeout),
		Entry("a chunked body that does not end", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", http.StatusRequestTimeout),
		Entry("a body that announces too much", post("/a", maxBody+1, ""), http.StatusRequestEntityTooLarge),
		Entry("a chunked body that is too large", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n"+strings.Repeat(" ", maxBody+1)+"\r\n", http.StatusRequestEntityTooLarge),
		Entry("a body of an unknown caller, at once", "PUT /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n", http.StatusUnauthorized),
		Entry("a header that does not end", "POST /a HTTP/1.1\r\nHost: a\r\n", 0),
	)

	// Guards against clients that ask for 100 Continue and hold their connections.
	It("refuses a body that is not sent after Expect", func() {
		s := serve(limits)
		c := s.send("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		Expect(status(c)).To(Equal(http.StatusContinue))
		Expect(status(c)).To(Equal(http.StatusRequestTimeout))
		Expect(s.done.Load()).To(BeZero())
	})

	// Guards against a deadline of the body that ends the request itself.
	It("serves a request that takes longer than its body may", func() {
		s := serve(ingress.Limits{Connections: 8, BodyBytes: 1000, SourceBytes: 1000, BodyTime: 200 * time.Millisecond})
		c := s.send(post("/hold", 4, "body"))
		time.AfterFunc(600*time.Millisecond, func() { close(s.hold) })
		Expect(status(c)).To(Equal(http.StatusOK))
	})

	// Guards against clients without a token that hold all connections with bodies that they
	// announce and do not send.
	DescribeTable("answers without a body that the handler does not read", func(request string) {
		clock := newClock()
		s := serveAt(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000}, clock.now, time.Minute)
		response, err := http.ReadResponse(bufio.NewReader(s.send(request)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		_, err = io.Copy(io.Discard, response.Body) // ends after the handler has returned
		Expect(err).NotTo(HaveOccurred())
		clock.advance(pastGrace)
		Expect(status(s.send(small))).To(Equal(http.StatusOK))
	},
		Entry("of an announced length", "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbody"),
		Entry("in chunks", "GET /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"),
		Entry("with an answer larger than the buffer of net/http", "PUT /large HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nbody"),
	)

	// Guards against a body whose pieces are put together in a wrong way.
	DescribeTable("passes on a body unchanged", func(length int) {
		var text strings.Builder
		for i := 0; text.Len() < length; i++ {
			fmt.Fprintf(&text, "%d ", i)
		}
		body := text.String()[:length]
		response, err := http.ReadResponse(bufio.NewReader(serve(limits).send(post("/echo", length, body))), nil)
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer) == body+body).To(BeTrue())
	}, Entry("of one piece", 100), Entry("of a full piece", 2048), Entry("of several pieces", 99_999))

	It("serves pipelined requests one after the other", func() {
		s := serve(limits)
		c := s.send(strings.Repeat(small, 50))
		reader := bufio.NewReader(c)
		for range 50 {
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(BeZero())
	})

	// Guards against one source that keeps its whole share, and against memory that the
	// unfinished bodies of many sources hold.
	It("gives up stalled bodies for others", func() {
		clock := newClock()
		s := serveAt(limits, clock.now, time.Minute)
		var stalled []net.Conn
		for i := range 4 {
			stalled = append(stalled, s.send(post(fmt.Sprintf("/%d", i), maxBody, strings.Repeat(" ", maxBody-1))))
		}
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(BeNumerically(">=", 4*maxBody))
		Expect(status(s.send(post("/0", 4, "body")))).To(Equal(http.StatusTooManyRequests), "before the time of grace")
		Expect(status(s.send(small))).To(Equal(http.StatusServiceUnavailable), "before the time of grace")
		Expect(s.counter("ingress.refused source")).To(Equal(int64(1)))
		Expect(s.counter("ingress.refused budget")).To(Equal(int64(1)))
		Expect(s.counter("ingress.closed source")).To(BeZero())
		clock.advance(pastGrace)
		Expect(status(s.send(post("/0", 4, "body")))).To(Equal(http.StatusOK))
		Expect(status(stalled[0])).To(Equal(http.StatusTooManyRequests))
		Expect(s.done.Load()).To(Equal(int64(1)))
		Expect(s.counter("ingress.closed source")).To(Equal(int64(1)))
		Expect(s.counter("ingress.refused source")).To(Equal(int64(2)), "the new body and then the stalled one")
		Expect(s.counter("ingress.refused budget")).To(Equal(int64(1)))
	})

	// Guards against connections without requests that keep others out.
	It("closes idle connections for new ones, and never a request that is carried out", func() {
		s := serve(ingress.Limits{Connections: 2, BodyBytes: 1000, SourceBytes: 1000})
		idle := s.send(small)
		Expect(status(idle)).To(Equal(http.StatusOK))
		busy := s.send(post("/hold", 4, "body"))
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(Equal(4.0))
		other := s.send(post("/hold", 4, "body"))
		Expect(status(idle)).To(Equal(0))
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(Equal(8.0))
		Expect(status(s.send(small))).To(Equal(0), "both connections are busy")
		close(s.hold)
		Expect(status(busy)).To(Equal(http.StatusOK))
		Expect(status(other)).To(Equal(http.StatusOK))
		Expect(s.done.Load()).To(Equal(int64(3)))
	})

	// Guards against goroutines and descriptors that wait for clients which do not read.
	It("closes a connection whose answers are not read", func() {
		s := serve(ingress.Limits{Connections: 8, BodyBytes: 1000, SourceBytes: 1000, WriteTime: 200 * time.Millisecond})
		c, err := net.Dial("tcp", s.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { c.Close() })
		requests := strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 10_000)
		Expect(c.SetWriteDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		for err == nil {
			_, err = io.WriteString(c, requests)
		}
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
		Eventually(func() float64 { return s.gauge("ingress.connections") }).WithTimeout(waitTime).Should(BeZero())
	})

	// Guards against clients that hold all connections with answers that they do not read.
	It("closes a connection whose answers are not read for others", func() {
		clock := newClock()
		s := serveAt(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000}, clock.now, time.Minute)
		c := s.send("")
		go func() {
			requests := strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1000)
			for {
				if _, err := io.WriteString(c, requests); err != nil {
					return
				}
			}
		}()
		Eventually(func() bool {
			before := s.done.Load()
			time.Sleep(200 * time.Millisecond)
			return before > 0 && s.done.Load() == before
		}).WithTimeout(waitTime).Should(BeTrue(), "the daemon waits for the client to read")
		clock.advance(pastGrace)
		Expect(status(s.send(small))).To(Equal(http.StatusOK))
		Expect(s.counter("ingress.closed connections")).To(Equal(int64(1)))
	})

	// Guards against clients that get new time for each small answer, and against time
	// between answers that counts as time of an answer.
	It("bounds the time of many small answers, not the time between them", func() {
		clock := newClock()
		guard := ingress.New(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000, WriteTime: 10 * time.Second}, clock.now, nil, nil)
		client := &slowReader{clock: clock}
		connection, err := guard.Listener(oneConnection{conn: client}).Accept()
		Expect(err).NotTo(HaveOccurred())
		answer := func() error {
			clock.advance(time.Hour)
			_, err := io.WriteString(connection, "answer")
			return err
		}
		for range 4 {
			Expect(answer()).To(Succeed())
		}
		client.delay = 3 * time.Second
		for range 4 {
			Expect(answer()).To(Succeed())
		}
		Expect(answer()).To(MatchError(os.ErrDeadlineExceeded))
	})

	// Guards against headers that take many times their bytes when parsed.
	It("closes connections whose headers take too much", func() {
		clock := newClock()
		s := serveAt(ingress.Limits{Connections: 8, BodyBytes: 1000, SourceBytes: 1000, HeaderBytes: 20_000}, clock.now, time.Minute)
		part := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 200)
		Expect(status(s.send(part + strings.Repeat("a:\r\n", 200)))).To(Equal(0))
		Expect(s.counter("ingress.closed headers")).To(Equal(int64(1)))
		first := s.send(part)
		Eventually(func() float64 { return s.gauge("ingress.header_bytes") }).WithTimeout(waitTime).Should(BeNumerically(">", 0))
		clock.advance(pastGrace)
		Expect(status(s.send(part + "\r\n"))).To(Equal(http.StatusOK))
		Expect(status(first)).To(Equal(0))
		Expect(s.counter("ingress.closed headers")).To(Equal(int64(2)))
		Eventually(func() float64 { return s.gauge("ingress.header_bytes") }).WithTimeout(waitTime).Should(BeZero())
	})

	// Guards against new clients with large headers that keep out ordinary ones until they are
	// old enough to be closed.
	It("closes a larger header for a small one within the time of grace", func() {
		clock := newClock()
		s := serveAt(ingress.Limits{Connections: 8, BodyBytes: 1000, SourceBytes: 1000, HeaderBytes: 20_000}, clock.now, time.Minute)
		large := s.send("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 300))
		Eventually(func() float64 { return s.gauge("ingress.header_bytes") }).WithTimeout(waitTime).Should(BeNumerically(">", 19_000))
		Expect(status(s.send("GET / HTTP/1.1\r\nHost: a\r\nAccept: text/html\r\nAccept-Language: en\r\n\r\n"))).To(Equal(http.StatusOK))
		Expect(status(large)).To(Equal(0))
		Expect(s.counter("ingress.closed headers")).To(Equal(int64(1)))
	})

	// Guards against ordinary clients that are cut off while they send their next request.
	It("does not close a connection whose next header is arriving as idle", func() {
		clock := newClock()
		s := serveAt(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000}, clock.now, time.Minute)
		c := s.send(small)
		Expect(status(c)).To(Equal(http.StatusOK))
		Eventually(func() float64 { return s.gauge("ingress.header_bytes") }).WithTimeout(waitTime).Should(BeZero())
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() float64 { return s.gauge("ingress.header_bytes") }).WithTimeout(waitTime).Should(BeNumerically(">", 0))
		Expect(status(s.send(small))).To(Equal(0))
		_, err = io.WriteString(c, "Host: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(c)).To(Equal(http.StatusOK))
	})

	It("admits a limited number of requests to the store", func() {
		guard := ingress.New(ingress.Limits{Connections: 2, BodyBytes: 1000, SourceBytes: 1000}, time.Now, nil, nil)
		leave, err := guard.AdmitStoreRequest("a", true)
		Expect(err).NotTo(HaveOccurred())
		_, err = guard.AdmitStoreRequest("b", true)
		Expect(ingress.Status(err)).To(Equal(http.StatusServiceUnavailable))
		leave()
		_, err = guard.AdmitStoreRequest("b", true)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against callers whose reads of a slow store refuse the submissions of others.
	It("keeps requests to the store for other sources and for submissions", func() {
		guard := ingress.New(ingress.Limits{Connections: 16, BodyBytes: 1000, SourceBytes: 1000}, time.Now, nil, nil)
		admit := func(source string, submission bool) error {
			_, err := guard.AdmitStoreRequest(source, submission)
			return err
		}
		for range 4 {
			Expect(admit("a", false)).To(Succeed())
		}
		Expect(ingress.Status(admit("a", true))).To(Equal(http.StatusTooManyRequests), "half of the 8 requests")
		for range 2 {
			Expect(admit("b", false)).To(Succeed())
		}
		Expect(admit("c", false)).To(MatchError(ingress.ErrRequests), "a quarter is for submissions")
		for range 2 {
			Expect(admit("c", true)).To(Succeed())
		}
		Expect(admit("c", true)).To(MatchError(ingress.ErrRequests))
	})

	// Guards against bodies that are charged for as long as a slow store takes, although they
	// have been decoded.
	It("gives back the bytes of a body before its request ends", func() {
		s := serve(limits)
		c := s.send(post("/released", 4, "body"))
		Eventually(s.waiting.Load).WithTimeout(waitTime).Should(Equal(int64(1)))
		Expect(s.gauge("ingress.body_bytes")).To(BeZero())
		close(s.hold)
		Expect(status(c)).To(Equal(http.StatusOK))
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(BeZero())
	})

	It("logs when pressure begins and ends", func() {
		s := serve(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000})
		s.send(post("/hold", 4, "body"))
		Eventually(func() float64 { return s.gauge("ingress.body_bytes") }).WithTimeout(waitTime).Should(Equal(4.0))
		for range 5 {
			Expect(status(s.send(small))).To(Equal(0))
		}
		close(s.hold)
		Eventually(s.logs.Len).WithTimeout(waitTime).Should(Equal(2))
		Expect(s.logs.All()[0].Message).To(Equal("Limits of clients reached."))
		Expect(s.logs.All()[1].ContextMap()["events"]).To(Equal(map[string]int{"refused connections": 5}))
	})
})
