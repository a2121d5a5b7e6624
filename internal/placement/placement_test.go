package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var now = time.Unix(1000, 0)

// needing returns the need of a task with n accelerators.
func needing(n int64) batch.Need {
	return batch.Need{MilliCPU: 1000, MemoryMb: 1000, Accelerators: n}
}

// workersInRacks returns racks of workers with 8 accelerators each.
func workersInRacks(racks, perRack int) []placement.Worker {
	var workers []placement.Worker
	for i := range racks * perRack {
		workers = append(workers, placement.Worker{
			ID: fmt.Sprintf("w%d", i), Service: "s", Rack: fmt.Sprintf("r%d", i/perRack), Labels: []string{"a"}, Schedulable: true,
			Free: batch.Need{MilliCPU: 64000, MemoryMb: 128000, Accelerators: 8},
		})
	}
	return workers
}

func demand(priority, tasks int, step batch.Step) placement.Demand {
	step.Tasks = tasks
	if step.EstimateMs == 0 {
		step.EstimateMs = 2000
	}
	d := placement.Demand{Key: placement.StepKey{Job: fmt.Sprint(priority, tasks, step)}, Step: &step, Service: "s", Priority: priority, Objective: now.Add(time.Minute), StartableSince: now}
	for i := range tasks {
		d.Tasks = append(d.Tasks, i)
	}
	return d
}

// tasksByWorker returns how many tasks of a demand went to each worker.
func tasksByWorker(result placement.Result, d int) map[int]int {
	counts := map[int]int{}
	for _, p := range result.Placements {
		if p.Demand == d {
			for _, w := range p.Workers {
				counts[w]++
			}
		}
	}
	return counts
}

var _ = Describe("a plan", func() {
	It("places a gang whole or not at all", func() {
		gang := demand(1, 3, batch.Step{Gang: true, Need: needing(8)})
		Expect(tasksByWorker(placement.Plan(placement.Snapshot{Now: now, Workers: workersInRacks(1, 3), Demands: []placement.Demand{gang}}), 0)).To(HaveLen(3))
		Expect(placement.Plan(placement.Snapshot{Now: now, Workers: workersInRacks(1, 2), Demands: []placement.Demand{gang}}).Placements).To(BeEmpty())
	})

	It("makes a gang wait for one rack until its locality wait has passed", func() {
		workers := workersInRacks(2, 2)
		workers[0].Free.Accelerators = 0
		workers[0].Releases = []placement.Release{{At: now.Add(time.Second), Need: needing(8)}}
		workers[2].Free.Accelerators = 0
		workers[2].Releases = []placement.Release{{At: now.Add(time.Second), Need: needing(8)}}
		gang := demand(1, 2, batch.Step{Gang: true, SameRack: true, Need: needing(8)})
		Expect(placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{gang}}).Placements).To(BeEmpty())
		gang.StartableSince = now.Add(-time.Minute)
		Expect(tasksByWorker(placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{gang}}), 0)).To(Equal(map[int]int{1: 1, 3: 1}))
	})

	It("spreads a gang that no rack can hold", func() {
		gang := demand(1, 3, batch.Step{Gang: true, SameRack: true, Need: needing(8)})
		Expect(tasksByWorker(placement.Plan(placement.Snapshot{Now: now, Workers: workersInRacks(2, 2), Demands: []placement.Demand{gang}}), 0)).To(HaveLen(3))
	})

	It("evicts the cheapest work for an urgent task and keeps the capacity for it", func() {
		workers := workersInRacks(1, 2)
		for i := range workers {
			workers[i].Free = batch.Need{MilliCPU: 64000, MemoryMb: 128000}
		}
		groups := []placement.EvictionGroup{
			{ID: 0, Priority: 1, Loss: 500, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(8)}}},
			{ID: 1, Priority: 2, Loss: 100, Tasks: []placement.EvictionTask{{Worker: 1, Need: needing(8)}}},
		}
		urgent := demand(0, 1, batch.Step{Need: needing(8)})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{urgent}, Groups: groups})
		Expect(result.Evict).To(Equal([]int{1}))
		By("the capacity being freed goes to the urgent task, and nothing more is evicted")
		workers[1].Releasing = needing(8)
		result = placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{urgent, demand(2, 1, batch.Step{Need: needing(1)})}, Groups: groups[:1]})
		Expect(result.Evict).To(BeEmpty())
		workers[1].Free, workers[1].Releasing = batch.Need{MilliCPU: 64000, MemoryMb: 128000, Accelerators: 8}, batch.Need{}
		result = placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{demand(2, 1, batch.Step{Need: needing(1)}), urgent}, Groups: groups[:1]})
		Expect(tasksByWorker(result, 1)).To(Equal(map[int]int{1: 1}))
	})

	// Guards against small work that is stopped for nothing: the task needed the capacity
	// of the last and largest victim, which alone was enough.
	It("evicts no work whose capacity the urgent task does not need", func() {
		workers := workersInRacks(1, 1)
		workers[0].Free = batch.Need{MilliCPU: 64000, MemoryMb: 128000, Accelerators: 1}
		var groups []placement.EvictionGroup
		for i := range 3 {
			groups = append(groups, placement.EvictionGroup{ID: i, Priority: 2, Loss: 100, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(1)}}})
		}
		groups = append(groups, placement.EvictionGroup{ID: 3, Priority: 1, Loss: 500, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(4)}}})
		urgent := demand(0, 1, batch.Step{Need: needing(5)})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{urgent}, Groups: groups})
		Expect(result.Evict).To(Equal([]int{3}))
	})

	// Guards against starvation of a wide gang: newer urgent work with earlier
	// objectives took the capacity that was freed for the gang.
	It("lets urgent work that has waited go ahead of newer urgent work", func() {
		wide := demand(0, 2, batch.Step{Gang: true, Need: needing(8)})
		newer := demand(0, 1, batch.Step{Need: needing(8)})
		newer.Objective = wide.Objective.Add(-30 * time.Second)
		snapshot := placement.Snapshot{Now: now.Add(700 * time.Millisecond), Workers: workersInRacks(1, 2), Demands: []placement.Demand{newer, wide}}
		newer.StartableSince = snapshot.Now
		snapshot.Demands[0].StartableSince = snapshot.Now
		Expect(tasksByWorker(placement.Plan(snapshot), 1)).To(BeEmpty())
		snapshot.Now = now.Add(800 * time.Millisecond)
		Expect(tasksByWorker(placement.Plan(snapshot), 1)).To(HaveLen(2))
	})

	It("never evicts work of the same priority", func() {
		workers := workersInRacks(1, 1)
		workers[0].Free.Accelerators = 0
		groups := []placement.EvictionGroup{{Priority: 0, Loss: 1, Tasks: []placement.EvictionTask{{Worker: 0, Need: needing(8)}}}}
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{demand(0, 1, batch.Step{Need: needing(8)})}, Groups: groups})
		Expect(result.Evict).To(BeEmpty())
	})

	It("reserves workers for a blocked gang and backfills work that ends before it starts", func() {
		workers := workersInRacks(1, 2)
		workers[0].Free.Accelerators = 0
		workers[0].Releases = []placement.Release{{At: now.Add(3 * time.Second), Need: needing(8)}}
		gang := demand(1, 2, batch.Step{Gang: true, Need: needing(8)})
		long := demand(2, 1, batch.Step{Need: needing(1), EstimateMs: 9000})
		short := demand(2, 1, batch.Step{Need: needing(1), EstimateMs: 1000})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{gang, long, short}})
		Expect(tasksByWorker(result, 1)).To(BeEmpty())
		Expect(tasksByWorker(result, 2)).To(Equal(map[int]int{1: 1}))
	})

	// Guards against a step that waits 3 s for a worker near its data while most
	// of the fleet is idle.
	It("bounds the wait for a better worker in an underused fleet", func() {
		workers := workersInRacks(3, 2)
		for i := range 2 {
			workers[i].Free.Accelerators = 0
			workers[i].Releases = []placement.Release{{At: now.Add(9 * time.Second), Need: needing(8)}}
		}
		near := demand(2, 2, batch.Step{DataRack: "r0", Need: needing(1), EstimateMs: 6000})
		waiting := placement.Snapshot{Now: now.Add(1900 * time.Millisecond), Workers: workers, Demands: []placement.Demand{near}}
		Expect(placement.Plan(waiting).Placements).To(BeEmpty())
		waiting.Now = now.Add(2 * time.Second)
		Expect(tasksByWorker(placement.Plan(waiting), 0)).NotTo(BeEmpty())
		By("the same bound holds for work that waits behind a reservation")
		gang := demand(1, 6, batch.Step{Gang: true, Need: needing(8)})
		small := demand(2, 1, batch.Step{Need: needing(1), EstimateMs: 60000})
		waiting.Demands = []placement.Demand{gang, small}
		waiting.Now = now.Add(1900 * time.Millisecond)
		Expect(tasksByWorker(placement.Plan(waiting), 1)).To(BeEmpty())
		waiting.Now = now.Add(2 * time.Second)
		Expect(tasksByWorker(placement.Plan(waiting), 1)).To(HaveLen(1))
	})

	// Guards against a persistent task that is not started again for twice its run time
	// because the rack of its data is busy, in a fleet that is too full for the bound of an
	// underused one.
	It("bounds the wait for a better worker of a persistent task in a full fleet", func() {
		workers := workersInRacks(2, 2)
		for i := range 3 {
			workers[i].Free.Accelerators = 0
			workers[i].Releases = []placement.Release{{At: now.Add(9 * time.Second), Need: needing(8)}}
		}
		near := demand(2, 2, batch.Step{DataRack: "r0", Need: needing(1), EstimateMs: 60000, Persistent: true, MaxPerWorker: 1})
		other := demand(2, 1, batch.Step{DataRack: "r0", Need: needing(1), EstimateMs: 6000})
		other.Objective = now.Add(time.Hour)
		waiting := placement.Snapshot{Now: now.Add(1900 * time.Millisecond), Workers: workers, Demands: []placement.Demand{near, other}}
		Expect(placement.Plan(waiting).Placements).To(BeEmpty())
		waiting.Now = now.Add(2 * time.Second)
		result := placement.Plan(waiting)
		Expect(tasksByWorker(result, 0)).To(Equal(map[int]int{3: 1}), "the limit per worker and the capacity hold")
		Expect(tasksByWorker(result, 1)).To(BeEmpty(), "a task that is not persistent waits longer")
		By("the same bound holds behind the reservation of a gang")
		gang := demand(1, 4, batch.Step{Gang: true, Need: needing(8)})
		behind := demand(2, 1, batch.Step{Need: needing(1), EstimateMs: 60000, Persistent: true})
		waiting.Demands = []placement.Demand{gang, behind, demand(2, 1, batch.Step{Need: needing(1), EstimateMs: 60000})}
		waiting.Now = now.Add(1900 * time.Millisecond)
		Expect(placement.Plan(waiting).Placements).To(BeEmpty())
		waiting.Now = now.Add(2 * time.Second)
		result = placement.Plan(waiting)
		Expect(tasksByWorker(result, 1)).To(Equal(map[int]int{3: 1}))
		Expect(tasksByWorker(result, 2)).To(BeEmpty())
	})

	// Guards against a task that misses its objective while it waits for the rack of its
	// data, although other workers are free.
	It("ends the wait for a better worker when the objective could be missed", func() {
		workers := workersInRacks(2, 1)
		workers[0].Free.Accelerators = 0
		workers[0].Releases = []placement.Release{{At: now.Add(9 * time.Second), Need: needing(8)}}
		near := demand(2, 1, batch.Step{DataRack: "r0", Need: needing(4), EstimateMs: 6000})
		near.CriticalPath, near.Objective = 6*time.Second, now.Add(9*time.Second)
		waiting := placement.Snapshot{Now: now.Add(2900 * time.Millisecond), Workers: workers, Demands: []placement.Demand{near}}
		workers[1].Free.Accelerators = 4
		workers[1].Releases = []placement.Release{{At: now.Add(9 * time.Second), Need: needing(4)}}
		Expect(placement.Plan(waiting).Placements).To(BeEmpty())
		waiting.Now = now.Add(3 * time.Second)
		Expect(tasksByWorker(placement.Plan(waiting), 0)).To(Equal(map[int]int{1: 1}))
		By("the run times that were learned count rather than the estimate")
		waiting.Demands[0].LatestStart = now.Add(5 * time.Second)
		Expect(placement.Plan(waiting).Placements).To(BeEmpty())
	})

	It("respects labels, limits per worker and the racks of data", func() {
		workers := workersInRacks(2, 2)
		workers[3].Labels = []string{"b"}
		labelled := demand(1, 1, batch.Step{Label: "b", Need: needing(1)})
		spread := demand(1, 3, batch.Step{MaxPerWorker: 1, Need: needing(1)})
		near := demand(1, 2, batch.Step{DataRack: "r1", Need: needing(1)})
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{labelled, spread, near}})
		Expect(tasksByWorker(result, 0)).To(Equal(map[int]int{3: 1}))
		Expect(tasksByWorker(result, 1)).To(HaveLen(3))
		for w := range tasksByWorker(result, 2) {
			Expect(w).To(BeNumerically(">=", 2))
		}
	})

	It("places no tasks on unschedulable workers and workers of other services", func() {
		workers := workersInRacks(1, 2)
		workers[0].Schedulable = false
		workers[1].Service = "other"
		Expect(placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: []placement.Demand{demand(0, 1, batch.Step{Need: needing(1)})}}).Placements).To(BeEmpty())
	})
})
