package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// urgentOf returns a waiting gang of whole workers of an organisation.
func urgentOf(organisation string, workers int, since time.Time) placement.Demand {
	d := demand(0, workers, batch.Step{Gang: true, Need: needing(8)})
	d.Key.Job, d.Organisation, d.StartableSince, d.EvictFrom = organisation+since.String(), organisation, since, now
	return d
}

// runningUrgent returns the run of an urgent task of the borrower, which holds a whole worker.
func runningUrgent(id, worker int, startedAt time.Time, loss float64) placement.EvictionGroup {
	return placement.EvictionGroup{ID: id, Organisation: "borrower", StartedAt: startedAt, Loss: loss, Tasks: []placement.EvictionTask{{Worker: worker, Need: needing(8)}}}
}

var _ = Describe("a guarantee", func() {
	// occupied returns a fleet of which work holds all accelerators.
	occupied := func(workers int) []placement.Worker {
		fleet := workersInRacks(1, workers)
		for i := range fleet {
			fleet[i].Free = placement.Sub(fleet[i].Free, needing(8))
			fleet[i].Releases = []placement.Release{{At: now.Add(9 * time.Second), Need: needing(8)}}
		}
		return fleet
	}

	// Guards against an organisation whose urgent jobs wait within its guarantee while others
	// hold more urgent work than theirs.
	It("is reclaimed from urgent work beyond another one, the newest first", func() {
		groups := []placement.EvictionGroup{
			runningUrgent(0, 0, now.Add(-3*time.Second), 1),
			runningUrgent(1, 1, now.Add(-time.Second), 9),
			runningUrgent(2, 2, now.Add(-2*time.Second), 5),
		}
		snapshot := placement.Snapshot{Now: now, Workers: occupied(3), Demands: []placement.Demand{urgentOf("owner", 1, now)}, Groups: groups,
			Guarantees: map[string]placement.Guarantee{"owner": {Accelerators: 8}, "borrower": {Accelerators: 16, Held: 24}}}
		Expect(placement.Plan(snapshot).Evict).To(Equal([]int{1}))
		By("work within the guarantee of its own organisation stays")
		snapshot.Demands[0] = urgentOf("owner", 2, now)
		snapshot.Guarantees["owner"] = placement.Guarantee{Accelerators: 16}
		Expect(placement.Plan(snapshot).Evict).To(BeEmpty())
		By("demands beyond the guarantee evict no urgent work")
		snapshot.Demands[0] = urgentOf("owner", 1, now)
		snapshot.Guarantees["owner"] = placement.Guarantee{Accelerators: 8, Held: 1}
		Expect(placement.Plan(snapshot).Evict).To(BeEmpty())
	})

	It("is met from work that is not urgent where that is enough", func() {
		other := runningUrgent(1, 1, now, 500)
		other.Priority = 2
		snapshot := placement.Snapshot{Now: now, Workers: occupied(2), Demands: []placement.Demand{urgentOf("owner", 1, now)},
			Groups:     []placement.EvictionGroup{runningUrgent(0, 0, now, 1), other},
			Guarantees: map[string]placement.Guarantee{"owner": {Accelerators: 8}, "borrower": {Held: 8}}}
		Expect(placement.Plan(snapshot).Evict).To(Equal([]int{1}))
	})

	// Guards against urgent work beyond a guarantee that takes what becomes free ahead of
	// work within one.
	It("puts the demands that it covers before those of others", func() {
		older, covered := urgentOf("borrower", 1, now.Add(-5*time.Second)), urgentOf("owner", 1, now)
		snapshot := placement.Snapshot{Now: now, Workers: workersInRacks(1, 1), Demands: []placement.Demand{older, covered},
			Guarantees: map[string]placement.Guarantee{"owner": {Accelerators: 8}}}
		Expect(tasksByWorker(placement.Plan(snapshot), 1)).To(HaveLen(1))
		By("without any guarantees the older one goes first")
		snapshot.Guarantees = nil
		Expect(tasksByWorker(placement.Plan(snapshot), 0)).To(HaveLen(1))
		By("a demand that exceeds the guarantee by itself does not use it up")
		snapshot.Guarantees = map[string]placement.Guarantee{"owner": {Accelerators: 8}}
		snapshot.Demands = []placement.Demand{older, urgentOf("owner", 2, now.Add(-3*time.Second)), covered}
		Expect(tasksByWorker(placement.Plan(snapshot), 2)).To(HaveLen(1))
	})

	// Guards against a gang that never finds its workers free at the same time, because newer
	// urgent work beyond a guarantee takes each of them.
	It("keeps the workers that a covered gang waits for from other urgent work", func() {
		fleet := workersInRacks(1, 2)
		fleet[1].Free = placement.Sub(fleet[1].Free, needing(8))
		fleet[1].Releases = []placement.Release{{At: now.Add(time.Second), Need: needing(8)}}
		long := urgentOf("borrower", 1, now)
		long.Step.EstimateMs = 9000
		snapshot := placement.Snapshot{Now: now, Workers: fleet, Demands: []placement.Demand{urgentOf("owner", 2, now), long},
			Guarantees: map[string]placement.Guarantee{"owner": {Accelerators: 16}}}
		Expect(placement.Plan(snapshot).Placements).To(BeEmpty())
	})
})
