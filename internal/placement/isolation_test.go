package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Guards against other work on the worker of a task under suspicion: it would be taken
// down with it, and nobody would know which of them was the cause.
var _ = Describe("a demand that is isolated", func() {
	isolated := func(tasks int) placement.Demand {
		d := demand(1, tasks, batch.Step{Need: needing(1)})
		d.Isolated = true
		return d
	}

	It("takes only workers without other work", func() {
		workers := workersInRacks(1, 2)
		workers[0].Occupied, workers[0].Free.Accelerators = true, 7
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{isolated(1)}})
		Expect(tasksByWorker(result, 0)).To(Equal(map[int]int{1: 1}))
	})

	It("waits while there is none", func() {
		workers := workersInRacks(1, 2)
		workers[0].Occupied, workers[1].Occupied = true, true
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{isolated(1)}})
		Expect(result.Placements).To(BeEmpty())
	})

	It("keeps the worker from the other demands of the plan", func() {
		other := demand(2, 20, batch.Step{Need: needing(1)})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workersInRacks(1, 2), Demands: []placement.Demand{isolated(2), other}})
		Expect(tasksByWorker(result, 0)).To(HaveLen(1))
		for w := range tasksByWorker(result, 0) {
			Expect(tasksByWorker(result, 1)).NotTo(HaveKey(w))
		}
		Expect(tasksByWorker(result, 1)).To(HaveLen(1))
	})

	It("keeps its worker afterwards, also from urgent work", func() {
		workers := workersInRacks(1, 1)
		workers[0].Occupied, workers[0].Isolated, workers[0].Free.Accelerators = true, true, 7
		group := placement.EvictionGroup{ID: 0, Priority: 2, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(1)}}}
		urgent := demand(0, 1, batch.Step{Need: needing(8)})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{urgent, demand(1, 1, batch.Step{Need: needing(1)})}, Groups: []placement.EvictionGroup{group}})
		Expect(result).To(Equal(placement.Result{}))
	})

	It("evicts no other work", func() {
		workers := workersInRacks(1, 1)
		workers[0].Occupied, workers[0].Free.Accelerators = true, 7
		group := placement.EvictionGroup{ID: 0, Priority: 2, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(1)}}}
		urgent := isolated(1)
		urgent.Priority = 0
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{urgent}, Groups: []placement.EvictionGroup{group}})
		Expect(result).To(Equal(placement.Result{}))
	})

	// Guards against urgent work that evicts nothing because an isolated gang with the same
	// needs, for which only empty workers count, was looked at before.
	It("does not keep others with the same needs from evicting work", func() {
		workers := workersInRacks(1, 1)
		workers[0].Occupied, workers[0].Free = true, placement.Sub(workers[0].Free, needing(1))
		workers[0].Releases = []placement.Release{{At: now.Add(time.Minute), Need: needing(1)}}
		group := placement.EvictionGroup{ID: 0, Priority: 2, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(1)}}}
		suspect, other := demand(0, 1, batch.Step{Gang: true, Need: needing(8)}), demand(0, 1, batch.Step{Gang: true, Need: needing(8)})
		suspect.Isolated, suspect.StartableSince = true, now.Add(-time.Second)
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{suspect, other}, Groups: []placement.EvictionGroup{group}})
		Expect(result.Evict).To(Equal([]int{0}))
	})
})
