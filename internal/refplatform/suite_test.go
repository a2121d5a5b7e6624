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

// shortTimeout is the call timeout of the specs that wait for it to pass.
const shortTimeout = 200 * time.Millisecond

func TestPlatform(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "platform")
}

// Guards against clients and stand-ins that leave goroutines behind.
var goroutinesBefore goleak.Option

var _ = ginkgo.BeforeSuite(func() { goroutinesBefore = goleak.IgnoreCurrent() })

var _ = ginkgo.AfterSuite(func() { gomega.Expect(goleak.Find(goroutinesBefore)).To(gomega.Succeed()) })

// host runs a stand-in until the spec ends.
func host(c standin.Config) *standin.Standin {
	ginkgo.GinkgoHelper()
	s, err := standin.New(c)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(ended, "5s").Should(gomega.Receive(gomega.BeNil()))
	})
	return s
}

// closeAfter closes the idle connections of a client when the spec ends.
func closeAfter(client interface{ Close() }) { ginkgo.DeferCleanup(client.Close) }

func setFaults(s *standin.Standin, target string, faults standin.Faults) {
	ginkgo.GinkgoHelper()
	gomega.Expect(s.SetFaults(target, faults)).To(gomega.Succeed())
}

// rawServer answers every connection with the same bytes and closes it. It
// stands for servers that the stand-in does not imitate.
func rawServer(answer string) string {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
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
		<-ended
	})
	return listener.Addr().String()
}

// answerRaw reads the request to its end before it answers, because a close
// with unread bytes would reset the connection and lose the answer.
func answerRaw(conn net.Conn, answer string) {
	defer conn.Close()
	const quiet = 30 * time.Millisecond
	buffer := make([]byte, 64<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		if _, err := conn.Read(buffer); err != nil {
			break
		}
	}
	_, _ = io.WriteString(conn, answer)
}

func beNotSent() gomega.OmegaMatcher {
	return gomega.WithTransform(refplatform.NotApplied, gomega.BeTrue())
}

func beMaybeSent() gomega.OmegaMatcher {
	return gomega.And(gomega.HaveOccurred(), gomega.WithTransform(refplatform.NotApplied, gomega.BeFalse()))
}
