// Package ingress holds tests of the ingress limits. Real daemons run on loopback, and
// clients that never complete their requests overload them. The tests check only what does
// not depend on the speed of the machine: that the process lives, its peak memory, its open
// descriptors, and that ordinary requests are answered.
package ingress

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// memoryLimitMB is the memory of the smallest machine. The platform daemon gets it as
	// limits.memory_mb; the daemon of the own API has no such setting and runs on the same
	// machines.
	memoryLimitMB = 144
	// platformDescriptors is the setting limits.max_fds of the platform daemon.
	platformDescriptors = 512
	// apiDescriptors is the usual soft limit of descriptors of a process, for the daemon of
	// the own API, which has no setting for them.
	apiDescriptors = 1024

	// settleTime is the time after the load in which memory and descriptors are still observed.
	settleTime = time.Second
	// answerTimeout bounds the wait for the answer to an ordinary request.
	answerTimeout = 30 * time.Second
	samplePeriod  = 20 * time.Millisecond
	// storeDelay is the time that a slow store takes for a call.
	storeDelay = 500 * time.Millisecond
)

func TestIngress(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ingress")
}

var _ = ginkgo.BeforeSuite(func() {
	_, err := harness.Build()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(func() { gomega.Expect(harness.RemoveBinaries()).To(gomega.Succeed()) })

// target is a daemon under load.
type target struct {
	name        string
	process     *harness.Process
	address     string // for callers
	path        string // of a submission of the clients
	host        string
	scheme      string // of the Authorization header
	tokens      []string
	body        string       // start of a submission; spaces make it the largest permitted one
	smallValues string       // submission of the largest permitted size with as many values as possible
	submit      func() error // submits a small job with a new name
	healthCheck func() error // the check of the load balancer
	descriptors int
	slowStore   *atomic.Bool // makes the store of the platform daemon take storeDelay for a call
	peerAddress string
	submitOther func() error // submit of the second organisation, on the own API
	// settingsFile is set for a platform daemon.
	settingsFile string
}

// checkUnderLoad overloads the daemon and checks its bounds. It guards against a daemon
// that ends because clients fill its memory or its table of descriptors, and against one
// that serves nobody while such clients stay connected.
func (t target) checkUnderLoad(l load) {
	descriptors := observeDescriptors(t.process.PID())
	if l.reads {
		t.slowStore.Store(true)
	}
	clients := l.start(t)
	clients.waitSent()
	time.Sleep(settleTime)
	t.slowStore.Store(false)
	gomega.Eventually(t.submit).WithTimeout(answerTimeout).WithPolling(100*time.Millisecond).Should(gomega.Succeed(), "while the clients are connected")
	gomega.Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(gomega.Succeed())
	clients.close()
	gomega.Eventually(t.submit).WithTimeout(answerTimeout).WithPolling(100*time.Millisecond).Should(gomega.Succeed(), "after the clients have left")
	gomega.Expect(t.process.Running()).To(gomega.BeTrue(), "the process has ended")
	memory, open := peakMemory(t.process.PID()), descriptors()
	ginkgo.GinkgoWriter.Printf("%s\n", t.process.Logs())
	ginkgo.AddReportEntry("peak", strconv.Itoa(int(memory>>20))+" MB, "+strconv.Itoa(open)+" descriptors", ginkgo.ReportEntryVisibilityAlways)
	gomega.Expect([]int64{memory >> 20, int64(open)}).To(gomega.HaveExactElements(
		gomega.BeNumerically("<=", memoryLimitMB), gomega.BeNumerically("<=", t.descriptors)), "MB of memory and descriptors")
}

// peakMemory returns the largest resident memory of a process so far, in bytes.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	gomega.Expect(found).To(gomega.BeTrue())
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return kilobytes << 10
}

// observeDescriptors counts the open descriptors of a process periodically. The returned
// function ends that and returns the largest count.
func observeDescriptors(pid int) func() int {
	stop, peak := make(chan struct{}), make(chan int)
	go func() {
		largest := 0
		for {
			if entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")); err == nil {
				largest = max(largest, len(entries))
			}
			select {
			case <-stop:
				peak <- largest
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	return func() int { close(stop); return <-peak }
}
