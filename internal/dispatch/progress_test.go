package dispatch_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

var _ = Describe("a job with more progress than a row holds", func() {
	// The store rejected the row of such a job, and with it each commit that had the
	// progress of other jobs: nothing started any more.
	It("does not keep other jobs from starting", func() {
		f := newFixture(4)
		f.store.maxRowBytes = batch.MaxRowBytes
		f.startDispatcher("a")
		large := batch.Step{Tasks: 400, Need: batch.Need{MilliCPU: 100, MemoryMb: 10}, EstimateMs: 50, Checkpoint: true}
		f.submit(batch.Job{ID: "large", Steps: []batch.Step{large}, Priority: 1,
			Spec: `{"ms":50,"ends":"stopped","saves":"` + strings.Repeat("s", 240) + `"}`})
		Eventually(func() int { return f.ends("stopped") }, 10*time.Second).Should(BeNumerically(">", 800))
		f.submit(batch.Job{ID: "small", Steps: []batch.Step{task(1)}, Spec: `{"ms":10}`})
		Eventually(f.state("small"), 10*time.Second).Should(Equal(batch.Completed))
		Expect(f.store.rejected()).To(BeZero())
	})

	It("leaves out checkpoints that are too long to be stored", func() {
		f := newFixture(4)
		f.store.maxRowBytes = batch.MaxRowBytes
		f.startDispatcher("a")
		f.submit(batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 40, Need: batch.Need{MilliCPU: 100}, EstimateMs: 50, Checkpoint: true}}, Priority: 1,
			Spec: `{"ms":50,"ends":"stopped","saves":"` + strings.Repeat("s", 3000) + `"}`})
		Eventually(func() int { return f.ends("stopped") }, 10*time.Second).Should(BeNumerically(">", 80))
		Expect(f.store.rejected()).To(BeZero())
	})

	It("is taken over by another dispatcher", func() {
		f := newFixture(4)
		f.store.maxRowBytes = batch.MaxRowBytes
		_, kill := f.startDispatcher("a")
		step := batch.Step{Tasks: 150, Need: batch.Need{MilliCPU: 100, MemoryMb: 10}, EstimateMs: 1500}
		f.submit(batch.Job{ID: "j", Steps: []batch.Step{step}, Spec: `{"ms":1500}`, Repeats: 3, FirstAtMs: time.Now().UnixMilli(), EveryMs: 1})
		Eventually(func() int { return len(f.running()) }, 5*time.Second).Should(Equal(450))
		kill()
		f.startDispatcher("b")
		Eventually(f.state("j"), 10*time.Second).Should(Equal(batch.Completed))
		for task, n := range f.starts() {
			Expect(n).To(Equal(1), task)
		}
		Eventually(func() int { return f.progressRows("j") }, 2*time.Second).Should(Equal(1))
	})
})

// Guards against one job whose progress the store does not accept and that stops all others,
// since the commit with it is repeated for ever.
var _ = Describe("a job whose progress the store rejects", func() {
	It("is held, while all others go on", func() {
		f := newFixture(2)
		f.startDispatcher("a")
		f.store.setRejectedKey("progress/bad")
		f.submit(batch.Job{ID: "bad", Spec: `{"ms":50}`, Steps: []batch.Step{task(1)}})
		for _, id := range []string{"j", "k", "l"} {
			f.submit(batch.Job{ID: id, Spec: `{"ms":50}`, Steps: []batch.Step{task(1), task(1)}})
		}
		for _, id := range []string{"j", "k", "l"} {
			Eventually(f.state(id)).WithTimeout(timeout).Should(Equal(batch.Completed))
		}
		Expect(f.starts()["bad.0.0.0"]).To(BeZero())
		rejected := f.store.rejected()
		f.submit(batch.Job{ID: "later", Spec: `{"ms":50}`, Steps: []batch.Step{{Tasks: 2, Gang: true, Need: batch.Need{Accelerators: 8}, EstimateMs: 50}}})
		Eventually(f.state("later")).WithTimeout(timeout).Should(Equal(batch.Completed), "the held job occupies no worker")
		Expect(f.store.rejected()).To(BeNumerically("<=", rejected+1))
		f.store.setRejectedKey("")
		Eventually(f.state("bad")).WithTimeout(8 * time.Second).Should(Equal(batch.Completed))
	})
})
