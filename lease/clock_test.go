package lease

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a holder that wakes up after its machine was suspended and takes its
// lease for valid, because the monotonic clock has not counted the suspension.
var _ = Describe("the clock of a lease", func() {
	It("counts the time of CLOCK_BOOTTIME", func() {
		var before, after unix.Timespec
		now := newClock()
		Expect(unix.ClockGettime(unix.CLOCK_BOOTTIME, &before)).To(Succeed())
		start := now()
		time.Sleep(20 * time.Millisecond)
		elapsed := now().Sub(start)
		Expect(unix.ClockGettime(unix.CLOCK_BOOTTIME, &after)).To(Succeed())
		Expect(elapsed).To(BeNumerically(">=", 20*time.Millisecond))
		Expect(elapsed).To(BeNumerically("<=", time.Duration(after.Nano()-before.Nano())))
	})

	It("does not depend on the monotonic clock of the process", func() {
		Expect(newClock()().String()).NotTo(ContainSubstring("m="))
	})
})
