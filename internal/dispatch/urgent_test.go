package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// recordsByStart returns the runs on all workers, the first one that started first.
func (f *fixture) recordsByStart() []standinfleet.RunRecord {
	var records []standinfleet.RunRecord
	for _, w := range f.workers {
		records = append(records, w.Records()...)
	}
	slices.SortFunc(records, func(a, b standinfleet.RunRecord) int { return cmp.Compare(a.Started.UnixNano(), b.Started.UnixNano()) })
	return records
}

var _ = Describe("urgent jobs among many others", func() {
	// Guards against urgent starts that wait for seconds until they are stored, behind the
	// progress of hundreds of other jobs.
	It("have their starts stored first", func() {
		const others, urgent = 300, 30
		f := newFixture(4)
		f.store.setCommitDelay(50 * time.Millisecond)
		small := batch.Step{Tasks: 1, Need: batch.Need{MilliCPU: 100, MemoryMb: 100}, EstimateMs: 3000}
		for i := range others {
			f.submit(batch.Job{ID: fmt.Sprint("other", i), Spec: `{"ms":3000}`, Priority: 2, Steps: []batch.Step{small}, Stretch: 10})
		}
		for i := range urgent {
			f.submit(batch.Job{ID: fmt.Sprint("urgent", i), Spec: `{"ms":3000}`, Steps: []batch.Step{small}, Stretch: 10})
		}
		f.startDispatcher("d")
		Eventually(func() int { return len(f.recordsByStart()) }, 5*time.Second).Should(BeNumerically(">=", others+urgent))
		last := 0
		for i, r := range f.recordsByStart() {
			if strings.HasPrefix(r.Task, "urgent") {
				last = i
			}
		}
		By("one commit stores up to 45 jobs")
		Expect(last).To(BeNumerically("<", 45))
	})
})

var _ = Describe("an organisation with a guarantee", func() {
	// Guards against guarantees that are not counted: urgent jobs of other organisations held
	// all workers, and never yielded to a job within the guarantee of its organisation.
	It("gets its accelerators back from urgent jobs beyond the guarantees of others", func() {
		f := newFixture(2)
		f.guarantees = map[string]int64{"owner": 8, "borrower": 8}
		whole := task(8)
		whole.EstimateMs = 20000
		f.submit(batch.Job{ID: "covered", Spec: `{"ms":20000}`, Organisation: "borrower", Steps: []batch.Step{whole}, Stretch: 2})
		f.startDispatcher("d")
		Eventually(f.running, 2*time.Second).Should(HaveKey("covered.0.0.0"))
		f.submit(batch.Job{ID: "borrowed", Spec: `{"ms":20000}`, Organisation: "borrower", Steps: []batch.Step{whole}, Stretch: 2})
		Eventually(f.running, 2*time.Second).Should(HaveKey("borrowed.0.0.0"))
		f.submit(batch.Job{ID: "own", Spec: `{"ms":20000}`, Organisation: "owner", Steps: []batch.Step{whole}, Stretch: 2})
		Eventually(f.running, 3*time.Second).Should(HaveKey("own.0.0.0"))
		Expect(f.running()).To(HaveKey("covered.0.0.0"))
		By("the owner takes no more than its guarantee")
		f.submit(batch.Job{ID: "more", Spec: `{"ms":20000}`, Organisation: "owner", Steps: []batch.Step{whole}, Stretch: 2})
		Consistently(f.running, time.Second).Should(And(HaveKey("covered.0.0.0"), HaveKey("own.0.0.0")))
	})
})
