package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// A worker lists its ends in parts. A run whose end was in a later part was taken for one
// that no longer existed, and its task ran again.
var _ = Describe("more ends than one answer of a worker holds", func() {
	const tasks = 700
	start := func(f *fixture) {
		step := batch.Step{Tasks: tasks, Need: batch.Need{MilliCPU: 50, MemoryMb: 10}, EstimateMs: 1500}
		f.submit(batch.Job{ID: "j", Steps: []batch.Step{step}, Spec: `{"ms":2000}`})
		Eventually(func() int { return len(f.running()) }, 5*time.Second).Should(Equal(tasks))
	}
	expectOneRunEach := func(f *fixture) {
		Eventually(f.state("j"), 10*time.Second).Should(Equal(batch.Completed))
		for task, n := range f.starts() {
			Expect(n).To(Equal(1), task)
		}
	}

	It("are read by the next dispatcher before any task runs again", func() {
		f := newFixture(1)
		_, kill := f.startDispatcher("a")
		start(f)
		Eventually(func() int { return f.ends("done") }, 5*time.Second).Should(BeNumerically(">", 0))
		kill()
		Eventually(func() int { return f.ends("done") }, 5*time.Second).Should(Equal(tasks))
		f.startDispatcher("b")
		expectOneRunEach(f)
	})

	It("are read after an outage of the store before any task runs again", func() {
		f := newFixture(1)
		f.startDispatcher("a")
		start(f)
		f.store.setDown(true)
		Eventually(func() int { return f.ends("done") }, 5*time.Second).Should(Equal(tasks))
		time.Sleep(500 * time.Millisecond)
		f.store.setDown(false)
		expectOneRunEach(f)
	})
})
