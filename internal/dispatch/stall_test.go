package dispatch_test

import (
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Guards against a dispatcher whose plan does not end and that keeps the lease: no other
// daemon takes over, and no job starts any more.
var _ = Describe("a dispatcher that stalls on a job", func() {
	// startStalling starts three dispatchers. The plans of as many terms hang as soon as
	// they have a demand of the job "bad".
	startStalling := func(f *fixture, terms int32) {
		release := make(chan struct{})
		var stalled atomic.Int32
		f.stallLimit = 400 * time.Millisecond
		f.plan = func(s placement.Snapshot) placement.Result {
			if slices.ContainsFunc(s.Demands, func(d placement.Demand) bool { return d.Key.Job == "bad" }) && stalled.Add(1) <= terms {
				s.Observe(placement.StepKey{Job: "bad"})
				<-release
			}
			return placement.Plan(s)
		}
		for _, name := range []string{"a", "b", "c"} {
			f.startDispatcher(name)
		}
		DeferCleanup(func() { close(release) })
	}
	submit := func(f *fixture, id string) {
		f.submit(batch.Job{ID: id, Spec: `{"ms":50}`, Steps: []batch.Step{task(1)}})
	}

	It("gives up its lease", func() {
		f := newFixture(1)
		startStalling(f, 1)
		submit(f, "first")
		Eventually(f.state("first")).WithTimeout(timeout).Should(Equal(batch.Completed))
		submit(f, "bad")
		submit(f, "j")
		Eventually(f.state("j")).WithTimeout(6 * time.Second).Should(Equal(batch.Completed))
		Eventually(f.state("bad")).WithTimeout(timeout).Should(Equal(batch.Completed))
	})

	It("sets the job aside when the next term has stalled on it too", func() {
		f := newFixture(1)
		startStalling(f, 2)
		submit(f, "bad")
		submit(f, "j")
		Eventually(f.state("j")).WithTimeout(8 * time.Second).Should(Equal(batch.Completed))
		Consistently(f.starts).WithTimeout(500 * time.Millisecond).ShouldNot(HaveKey("bad.0.0.0"))
		By("cancelling it")
		f.cancel("bad")
		Eventually(f.state("bad")).WithTimeout(timeout).Should(Equal(batch.Cancelled))
	})
})
