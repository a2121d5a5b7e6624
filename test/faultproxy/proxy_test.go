package faultproxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const messageBytes = 1000

func TestFaultProxy(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "faultproxy")
}

// goroutinesBefore holds the goroutines at the start of the suite. The check after the
// suite guards against connections that outlive their proxy.
var goroutinesBefore goleak.Option

var _ = ginkgo.BeforeSuite(func() { goroutinesBefore = goleak.IgnoreCurrent() })

var _ = ginkgo.AfterSuite(func() { gomega.Expect(goleak.Find(goroutinesBefore)).To(gomega.Succeed()) })

// echoServer sends back what it receives and counts the bytes.
type echoServer struct {
	address       string
	receivedBytes atomic.Int64
}

func newEchoServer() *echoServer {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &echoServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.echo(conn)
		}
	}()
	ginkgo.DeferCleanup(listener.Close)
	return s
}

func (s *echoServer) echo(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		s.receivedBytes.Add(int64(n))
		if _, writeErr := conn.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

type fixture struct {
	server *echoServer
	proxy  *faultproxy.Proxy
}

func newFixture() fixture {
	ginkgo.GinkgoHelper()
	server := newEchoServer()
	proxy, err := faultproxy.New(faultproxy.Config{Target: server.address})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- proxy.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(runErr, "5s").Should(gomega.Receive(gomega.BeNil()))
	})
	return fixture{server, proxy}
}

func (f fixture) dial() net.Conn {
	ginkgo.GinkgoHelper()
	conn, err := net.Dial("tcp", f.proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { conn.Close() })
	return conn
}

// send writes messageBytes bytes.
func send(conn net.Conn) {
	ginkgo.GinkgoHelper()
	_, err := io.WriteString(conn, strings.Repeat("x", messageBytes))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// receive reads messageBytes bytes, or fewer if an error or the timeout comes first.
func receive(conn net.Conn, timeout time.Duration) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	return io.ReadFull(conn, make([]byte, messageBytes))
}

// dialAndReceive connects, reads, and returns the error of the dial or of the read. A
// connection may be reset during either.
func dialAndReceive(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = receive(conn, 5*time.Second)
	return err
}

func expectEcho(conn net.Conn) {
	ginkgo.GinkgoHelper()
	send(conn)
	n, err := receive(conn, 5*time.Second)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(n).To(gomega.Equal(messageBytes))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

var _ = ginkgo.Describe("Proxy", func() {
	ginkgo.It("forwards bytes and the end of the stream in both directions", func() {
		f := newFixture()
		conn := f.dial()
		expectEcho(conn)
		gomega.Expect(conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
		_, err := conn.Read(make([]byte, 1))
		gomega.Expect(err).To(gomega.Equal(io.EOF))
		gomega.Eventually(func() int { return f.proxy.Counters().Open }, "5s").Should(gomega.BeZero())
		gomega.Expect(f.proxy.Counters().Reset).To(gomega.BeZero())
	})

	ginkgo.It("resets open and new connections while Cut is set, and forwards new ones afterwards", func() {
		f := newFixture()
		conn := f.dial()
		expectEcho(conn)
		f.proxy.Set(faultproxy.Faults{Cut: true})
		_, err := receive(conn, 5*time.Second)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(isTimeout(err)).To(gomega.BeFalse())
		err = dialAndReceive(f.proxy.Address())
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(isTimeout(err)).To(gomega.BeFalse())
		f.proxy.Set(faultproxy.Faults{})
		expectEcho(f.dial())
	})

	ginkgo.It("resets only the open connections with ResetConnections", func() {
		f := newFixture()
		conn := f.dial()
		expectEcho(conn)
		f.proxy.ResetConnections()
		_, err := receive(conn, 5*time.Second)
		gomega.Expect(isTimeout(err)).To(gomega.BeFalse())
		gomega.Expect(err).To(gomega.HaveOccurred())
		expectEcho(f.dial())
	})

	ginkgo.It("delays both directions", func() {
		f := newFixture()
		conn := f.dial()
		expectEcho(conn)
		const delay = 100 * time.Millisecond
		f.proxy.Set(faultproxy.Faults{Delay: delay})
		started := time.Now()
		expectEcho(conn)
		gomega.Expect(time.Since(started)).To(gomega.BeNumerically(">=", 2*delay))
	})

	ginkgo.DescribeTable("holds bytes and forwards them when the fault ends",
		func(faults faultproxy.Faults, reachesServer bool) {
			f := newFixture()
			conn := f.dial()
			f.proxy.Set(faults)
			send(conn)
			n, err := receive(conn, 150*time.Millisecond)
			gomega.Expect(n).To(gomega.BeZero())
			gomega.Expect(isTimeout(err)).To(gomega.BeTrue())
			gomega.Expect(f.server.receivedBytes.Load() > 0).To(gomega.Equal(reachesServer))
			f.proxy.Set(faultproxy.Faults{})
			n, err = receive(conn, 5*time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(n).To(gomega.Equal(messageBytes))
		},
		ginkgo.Entry("both directions", faultproxy.HoldBoth(), false),
		ginkgo.Entry("requests", faultproxy.Faults{HoldRequests: true}, false),
		ginkgo.Entry("answers", faultproxy.Faults{HoldAnswers: true}, true),
	)

	ginkgo.It("drops the answer after the request has reached the target", func() {
		f := newFixture()
		conn := f.dial()
		f.proxy.Set(faultproxy.Faults{DropAnswers: true})
		send(conn)
		n, err := receive(conn, 5*time.Second)
		gomega.Expect(n).To(gomega.BeZero())
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(isTimeout(err)).To(gomega.BeFalse())
		gomega.Expect(f.server.receivedBytes.Load()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(f.proxy.Counters().Reset).To(gomega.Equal(1))
	})

	ginkgo.It("cuts an answer after the number of bytes, counted from when the fault is set", func() {
		f := newFixture()
		conn := f.dial()
		expectEcho(conn)
		f.proxy.Set(faultproxy.Faults{CutAnswerAfter: 300})
		send(conn)
		n, err := receive(conn, 5*time.Second)
		gomega.Expect(n).To(gomega.Equal(300))
		gomega.Expect(err).To(gomega.Equal(io.ErrUnexpectedEOF))
		gomega.Expect(f.proxy.Counters().Reset).To(gomega.Equal(1))
	})

	ginkgo.It("resets a connection whose target can't be reached", func() {
		proxy, err := faultproxy.New(faultproxy.Config{Target: "127.0.0.1:1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- proxy.Run(ctx) }()
		err = dialAndReceive(proxy.Address())
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(isTimeout(err)).To(gomega.BeFalse())
		cancel()
		gomega.Eventually(ended, "5s").Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.It("closes held connections when its context ends", func() {
		f := newFixture()
		conn := f.dial()
		f.proxy.Set(faultproxy.HoldBoth())
		send(conn)
		gomega.Eventually(func() int { return f.proxy.Counters().Open }, "5s").Should(gomega.Equal(1))
	})
})
