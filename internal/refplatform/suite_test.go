package refplatform_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// shortTimeout is the call timeout in specs that wait until a call times out.
const shortTimeout = 200 * time.Millisecond

func TestRefplatform(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "refplatform")
}

// initialGoroutines excludes the goroutines that exist before the specs from the leak
// check of clients and stand-ins.
var initialGoroutines goleak.Option

var _ = ginkgo.BeforeSuite(func() { initialGoroutines = goleak.IgnoreCurrent() })

var _ = ginkgo.AfterSuite(func() { gomega.Expect(goleak.Find(initialGoroutines)).To(gomega.Succeed()) })

// runStandin runs a stand-in until the spec ends.
func runStandin(c standin.Config) *standin.Standin {
	ginkgo.GinkgoHelper()
	s, err := standin.New(c)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(done, "5s").Should(gomega.Receive(gomega.BeNil()))
	})
	return s
}

// closeAfterSpec closes the idle connections of a client when the spec ends.
func closeAfterSpec(client interface{ Close() }) { ginkgo.DeferCleanup(client.Close) }

func setFaults(s *standin.Standin, target string, faults standin.Faults) {
	ginkgo.GinkgoHelper()
	gomega.Expect(s.SetFaults(target, faults)).To(gomega.Succeed())
}

// rawServer answers every connection with the same bytes and closes it. It simulates
// servers whose faults the stand-in does not cover.
func rawServer(answer string) string {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answerRaw(conn, answer)
		}
	}()
	ginkgo.DeferCleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// answerRaw reads until no more of the request arrives before it answers, because
// closing a connection with unread bytes would reset it and lose the answer.
func answerRaw(conn net.Conn, answer string) {
	defer conn.Close()
	const idleTimeout = 30 * time.Millisecond
	buffer := make([]byte, 64<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := conn.Read(buffer); err != nil {
			break
		}
	}
	_, _ = io.WriteString(conn, answer)
}

func beNotApplied() gomega.OmegaMatcher {
	return gomega.WithTransform(refplatform.NotApplied, gomega.BeTrue())
}

func beMaybeApplied() gomega.OmegaMatcher {
	return gomega.And(gomega.HaveOccurred(), gomega.WithTransform(refplatform.NotApplied, gomega.BeFalse()))
}
