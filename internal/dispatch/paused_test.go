package dispatch_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a run that is started a second time: the clock that limits how long a
// dispatcher renews the leases of workers without its own lease stood still while its
// machine was suspended, so it went on after its successor had given up the workers.
var _ = Describe("a dispatcher whose machine was suspended while it did not hold the lease", func() {
	It("ends its term", func() {
		f := newFixture(1)
		var suspended atomic.Int64
		f.leaseClock = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		d, _ := f.startDispatcher("a")
		Eventually(d.Leading).WithTimeout(timeout).Should(BeTrue())
		f.store.setDown(true)
		suspended.Store(int64(12 * time.Second))
		Eventually(d.Leading).WithTimeout(2 * time.Second).Should(BeFalse())
	})
})
