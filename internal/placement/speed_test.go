package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Load: urgent gangs with a slack of half their run time, in a fleet in which each fourth
// worker takes twice as long as the others.
var _ = Describe("a plan for workers of different speeds", func() {
	fleet := func() []placement.Worker {
		workers := workersInRacks(2, 4)
		for i := range workers {
			if workers[i].Speed = 1.1; i%4 == 0 {
				workers[i].Speed = 0.5
			}
		}
		return workers
	}
	slowTasks := func(workers []placement.Worker, d placement.Demand) (slow, all int) {
		for w, n := range tasksByWorker(placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{d}}), 0) {
			if all += n; workers[w].Speed < 0.7 {
				slow += n
			}
		}
		return slow, all
	}
	gang := func(slack time.Duration) placement.Demand {
		d := demand(0, 2, batch.Step{Gang: true, Need: needing(8), EstimateMs: 2000})
		d.CriticalPath, d.Objective = 2*time.Second, now.Add(2*time.Second+slack)
		return d
	}

	// Guards against an urgent gang that is late because of one slow worker.
	It("starts work with little slack on fast workers", func() {
		slow, all := slowTasks(fleet(), gang(time.Second))
		Expect(all).To(Equal(2))
		Expect(slow).To(BeZero())
	})

	// Guards against fast workers that are taken by work that does not need them.
	It("starts work with much slack on slow workers", func() {
		slow, all := slowTasks(fleet(), gang(time.Minute))
		Expect(all).To(Equal(2))
		Expect(slow).To(Equal(2))
	})

	// Guards against urgent work that waits beside idle workers because they are slow.
	It("starts work with little slack on slow workers rather than not at all", func() {
		workers := fleet()
		for i := range workers {
			if workers[i].Speed > 1 {
				workers[i].Free.Accelerators = 0
			}
		}
		slow, _ := slowTasks(workers, gang(time.Second))
		Expect(slow).To(Equal(2))
	})
})
