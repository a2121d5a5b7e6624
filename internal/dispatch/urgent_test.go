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
