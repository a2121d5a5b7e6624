package guarantee_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
)

// workersInRacks returns workers w0, w1, ... with 8 accelerators, sizes[i] of them in rack i.
func workersInRacks(sizes ...int) (out []guarantee.Worker) {
	for rack, size := range sizes {
		for range size {
			out = append(out, guarantee.NewWorker(fmt.Sprintf("w%d", len(out)), fmt.Sprint("r", rack), "a1", 64, 128<<10, 8))
		}
	}
	return out
}

func shape(tasks, accelerators int, adjacency api.Adjacency) api.Shape {
	return api.Shape{Zone: "z", Tasks: tasks, Adjacency: adjacency,
		Resources: api.Resources{Cores: 4 * accelerators, MemoryMb: 1024, Accelerators: accelerators}}
}

func guaranteesOf(shapes ...api.Shape) (out []guarantee.Guarantee) {
	for i, s := range shapes {
		out = append(out, guarantee.Guarantee{Organisation: string(rune('a' + i)), Shape: s})
	}
	return out
}

func covered(id, org string, accelerators int, placements ...api.TaskPlacement) guarantee.CoveredPlacement {
	return guarantee.CoveredPlacement{JobID: id, Organisation: org, Tasks: placements,
		Resources: api.Resources{Cores: accelerators, MemoryMb: 64, Accelerators: accelerators}}
}

func taskOn(worker string, accelerators ...int) api.TaskPlacement {
	return api.TaskPlacement{Worker: worker, Accelerators: accelerators}
}

func workersOf(r guarantee.Reservation) (out []string) {
	for _, t := range r.Tasks {
		out = append(out, t.Worker)
	}
	return out
}

func missing(r guarantee.Result) (n int) {
	for _, s := range r.Shortfalls {
		n += s.MissingTasks
	}
	return n
}

var _ = Describe("Reserve", func() {
	const worker, rack, zone = api.AdjacencyWorker, api.AdjacencyRack, api.AdjacencyZone

	DescribeTable("places shapes without overlap and reports what is missing",
		func(workers []guarantee.Worker, shapes []api.Shape, wantMissing int) {
			r := guarantee.Reserve(workers, guaranteesOf(shapes...), nil)
			Expect(missing(r)).To(Equal(wantMissing))
			taken := map[string]bool{}
			for _, res := range r.Reservations {
				for _, t := range res.Tasks {
					Expect(t.Accelerators).To(HaveLen(res.Guarantee.Shape.Resources.Accelerators))
					for _, a := range t.Accelerators {
						key := fmt.Sprint(t.Worker, "/", a)
						Expect(taken).NotTo(HaveKey(key))
						taken[key] = true
					}
				}
			}
		},
		Entry("no workers", workersInRacks(), []api.Shape{shape(2, 8, zone)}, 2),
		Entry("one worker holds the shape", workersInRacks(1), []api.Shape{shape(2, 4, worker)}, 0),
		Entry("a shape with worker adjacency does not fit across two workers", workersInRacks(2), []api.Shape{shape(3, 4, worker)}, 1),
		Entry("a shape with rack adjacency does not fit across two racks", workersInRacks(2, 2), []api.Shape{shape(3, 8, rack)}, 1),
		Entry("a shape with zone adjacency fits across two racks", workersInRacks(2, 2), []api.Shape{shape(4, 8, zone)}, 0),
		Entry("an easy shape leaves the rack to a hard one", workersInRacks(2, 1), []api.Shape{shape(1, 8, zone), shape(2, 8, rack)}, 0),
		Entry("equal shapes share the racks", workersInRacks(4, 2), []api.Shape{shape(2, 8, rack), shape(2, 8, rack), shape(2, 8, rack)}, 0),
		Entry("the larger gang gets the larger rack", workersInRacks(3, 4), []api.Shape{shape(3, 8, rack), shape(4, 8, rack)}, 0),
		Entry("limited by cores", workersInRacks(1), []api.Shape{{Zone: "z", Tasks: 2, Adjacency: zone, Resources: api.Resources{Cores: 40}}}, 1),
		Entry("limited by memory", workersInRacks(1), []api.Shape{{Zone: "z", Tasks: 2, Adjacency: zone, Resources: api.Resources{MemoryMb: 100 << 10}}}, 1),
		Entry("limited by the accelerator model", workersInRacks(1), []api.Shape{{Zone: "z", Tasks: 1, Adjacency: zone, AcceleratorModel: "b2",
			Resources: api.Resources{Accelerators: 1}}}, 1))

	It("prefers free capacity, then capacity being released, then the least lost work", func() {
		workers := workersInRacks(4)
		workers[0].Free, workers[0].FutureFree = guarantee.Capacity{}, guarantee.Capacity{}
		workers[0].Loss = []int64{9, 9, 9, 9, 9, 9, 9, 9}
		workers[1].Free, workers[1].FutureFree = guarantee.Capacity{}, guarantee.Capacity{}
		workers[1].Loss = []int64{1, 1, 1, 1, 1, 1, 1, 1}
		workers[2].Free = guarantee.Capacity{}
		for n, want := range [][]string{{"w3"}, {"w2", "w3"}, {"w1", "w2", "w3"}} {
			r := guarantee.Reserve(workers, guaranteesOf(shape(n+1, 8, zone)), nil)
			Expect(workersOf(r.Reservations[0])).To(Equal(want))
		}
	})

	It("reserves shapes for which jobs wait first, so that they keep the capacity being reclaimed", func() {
		workers := workersInRacks(2)
		workers[0].Free, workers[0].Loss = guarantee.Capacity{}, []int64{1, 1, 1, 1, 1, 1, 1, 1}
		guarantees := guaranteesOf(shape(1, 8, zone), shape(1, 8, zone))
		guarantees[1].WaitOrder = 1
		r := guarantee.Reserve(workers, guarantees, nil)
		Expect(workersOf(r.Reservations[1])).To(Equal([]string{"w1"}))
	})

	It("keeps covered placements on unschedulable workers and reserves nothing else there", func() {
		workers := workersInRacks(2)
		workers[0].Unschedulable = true
		r := guarantee.Reserve(workers, guaranteesOf(shape(1, 4, zone), shape(2, 4, zone)), []guarantee.CoveredPlacement{covered("j", "a", 1, taskOn("w0", 7))})
		Expect(r.Demoted).To(BeEmpty())
		Expect(workersOf(r.Reservations[0])).To(Equal([]string{"w0"}))
		Expect(workersOf(r.Reservations[1])).To(Equal([]string{"w1", "w1"}))
		Expect(r.Shortfalls).To(BeEmpty())
	})

	It("uses the shape that matches the job and leaves the others unfragmented", func() {
		guarantees := []guarantee.Guarantee{{Organisation: "a", Shape: shape(1, 8, rack)}, {Organisation: "a", Shape: shape(1, 8, zone)}}
		job := covered("j", "a", 8, taskOn("w0", 0, 1, 2, 3, 4, 5, 6, 7))
		for i, adjacency := range []api.Adjacency{rack, zone} {
			job.Adjacency = adjacency
			r := guarantee.Reserve(workersInRacks(2), guarantees, []guarantee.CoveredPlacement{job})
			Expect(workersOf(r.Reservations[i])).To(Equal([]string{"w0"}))
			Expect(workersOf(r.Reservations[1-i])).To(Equal([]string{"w1"}))
		}
	})

	It("keeps covered placements inside the reservation when other workers leave", func() {
		job := covered("j", "a", 3, taskOn("w4", 5, 6, 7))
		before := workersInRacks(3, 3)
		r := guarantee.Reserve(before, guaranteesOf(shape(2, 8, rack), shape(3, 8, rack)), []guarantee.CoveredPlacement{job})
		Expect(r.Demoted).To(BeEmpty())
		Expect(r.Shortfalls).To(BeEmpty())
		Expect(workersOf(r.Reservations[0])).To(ContainElement("w4"))
		r = guarantee.Reserve(append(before[:3:3], before[4], before[5]), guaranteesOf(shape(2, 8, rack), shape(3, 8, rack)), []guarantee.CoveredPlacement{job})
		Expect(r.Demoted).To(BeEmpty())
		Expect(r.Shortfalls).To(BeEmpty())
		Expect(workersOf(r.Reservations[0])).To(Equal([]string{"w4", "w5"}))
	})

	It("moves a shape that no longer fits around a covered placement", func() {
		r := guarantee.Reserve(workersInRacks(1, 2), guaranteesOf(shape(2, 8, rack)), []guarantee.CoveredPlacement{covered("j", "a", 1, taskOn("w0", 0))})
		Expect(r.Shortfalls).To(BeEmpty())
		Expect(r.Demoted).To(Equal([]string{"j"}))
		Expect(workersOf(r.Reservations[0])).To(Equal([]string{"w1", "w2"}))
	})

	It("keeps a shape around a covered placement and reports it as short if it fits nowhere else", func() {
		r := guarantee.Reserve(workersInRacks(1, 1), guaranteesOf(shape(2, 8, rack)), []guarantee.CoveredPlacement{covered("j", "a", 1, taskOn("w1", 0))})
		Expect(missing(r)).To(Equal(1))
		Expect(r.Demoted).To(BeEmpty())
		Expect(workersOf(r.Reservations[0])).To(Equal([]string{"w1"}))
	})

	DescribeTable("demotes placements that fit into no shape", func(guarantees []guarantee.Guarantee, job guarantee.CoveredPlacement) {
		Expect(guarantee.Reserve(workersInRacks(2), guarantees, []guarantee.CoveredPlacement{job}).Demoted).To(Equal([]string{"j"}))
	},
		Entry("the guarantee has been removed", nil, covered("j", "a", 1, taskOn("w0", 0))),
		Entry("the worker has been removed", guaranteesOf(shape(1, 8, zone)), covered("j", "a", 1, taskOn("w9", 0))),
		Entry("the guarantee has shrunk", guaranteesOf(shape(1, 8, zone)), covered("j", "a", 1, taskOn("w0", 0), taskOn("w1", 0))),
		Entry("more cores than the shape has", guaranteesOf(shape(1, 1, zone)), covered("j", "a", 1, taskOn("w0", 0), taskOn("w0", 1))))

	It("demotes a placement on a worker without enough capacity for its shape", func() {
		jobs := []guarantee.CoveredPlacement{covered("j", "a", 8, taskOn("w0", 0, 1, 2, 3, 4, 5, 6, 7)), covered("k", "b", 1, taskOn("w0", 0))}
		r := guarantee.Reserve(workersInRacks(2), guaranteesOf(shape(1, 8, zone), shape(1, 8, zone)), jobs)
		Expect(r.Demoted).To(Equal([]string{"k"}))
		Expect(r.Shortfalls).To(BeEmpty())
	})

	It("puts several small covered tasks into one task of the shape", func() {
		jobs := []guarantee.CoveredPlacement{covered("j", "a", 3, taskOn("w0", 0, 1, 2)), covered("k", "a", 4, taskOn("w0", 4, 5, 6, 7))}
		r := guarantee.Reserve(workersInRacks(1), guaranteesOf(shape(1, 8, zone)), jobs)
		Expect(r.Demoted).To(BeEmpty())
		Expect(r.Shortfalls).To(BeEmpty())
	})

	It("leaves its input unchanged and is deterministic", func() {
		workers, jobs := workersInRacks(2, 2), []guarantee.CoveredPlacement{covered("j", "a", 1, taskOn("w1", 3))}
		first := guarantee.Reserve(workers, guaranteesOf(shape(2, 8, rack), shape(2, 4, zone)), jobs)
		Expect(workers).To(Equal(workersInRacks(2, 2)))
		Expect(guarantee.Reserve(workers, guaranteesOf(shape(2, 8, rack), shape(2, 4, zone)), jobs)).To(Equal(first))
	})
})

var _ = Describe("Check", func() {
	catalogue := func(shapes ...api.Shape) (c api.Catalogue) {
		for _, g := range guaranteesOf(shapes...) {
			c.Organisations = append(c.Organisations, api.Organisation{Name: g.Organisation, Guarantees: []api.Shape{g.Shape}})
		}
		return c
	}
	big, small := shape(3, 8, api.AdjacencyRack), shape(1, 8, api.AdjacencyZone)

	DescribeTable("refuses only changes that add or increase a shortfall", func(current, proposed api.Catalogue, accepted bool) {
		result := guarantee.Check("z", current, proposed, workersInRacks(2, 1))
		Expect(result.Accepted).To(Equal(accepted))
		Expect(result.Reason == "").To(Equal(accepted))
	},
		Entry("all fit", catalogue(), catalogue(small, small, small), true),
		Entry("one too many", catalogue(small, small, small), catalogue(small, small, small, small), false),
		Entry("too large for a rack", catalogue(), catalogue(big), false),
		Entry("an unrelated change while a guarantee is short", catalogue(big), catalogue(big, small), true),
		Entry("a smaller guarantee", catalogue(big), catalogue(small), true))

	It("ignores the guarantees of other zones", func() {
		elsewhere := big
		elsewhere.Zone = "y"
		Expect(guarantee.Check("z", catalogue(), catalogue(elsewhere), workersInRacks(1)).Accepted).To(BeTrue())
	})
})

var _ = Describe("SelectVictims", func() {
	borrower := func(id string, lost time.Duration, cores int, tasks ...api.TaskPlacement) guarantee.Borrower {
		n := 0
		if len(tasks) > 0 {
			n = len(tasks[0].Accelerators)
		}
		return guarantee.Borrower{JobID: id, LostWork: lost, Tasks: tasks, Resources: api.Resources{Cores: cores, Accelerators: n}}
	}
	borrowers := []guarantee.Borrower{
		borrower("gang", time.Hour, 8, taskOn("w0", 0), taskOn("w1", 0)),
		borrower("cheap", time.Second, 4, taskOn("w0", 1)),
		borrower("middle", time.Minute, 16, taskOn("w0", 2)),
	}
	capacity := func(cores int, accelerators guarantee.Set) guarantee.Capacity {
		return guarantee.Capacity{Cores: cores, Accelerators: accelerators}
	}

	DescribeTable("selects the victims that lose the least work", func(targets []guarantee.ReclaimTarget, want []string, ok bool) {
		got, enough := guarantee.SelectVictims(borrowers, targets)
		Expect(enough).To(Equal(ok))
		if ok {
			Expect(got).To(Equal(want))
		}
	},
		Entry("holder of the accelerator", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(0, 1<<2)}}, []string{"middle"}, true),
		Entry("the holder of cores that loses the least work", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(3, 0)}}, []string{"cheap"}, true),
		Entry("a cheap victim that does not suffice is dropped", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(10, 0)}}, []string{"middle"}, true),
		Entry("cores freed by a victim with a target accelerator count", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(8, 1)}}, []string{"gang"}, true),
		Entry("a gang is selected once for two workers", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(0, 1)}, {Worker: "w1", Capacity: capacity(0, 1)}}, []string{"gang"}, true),
		Entry("more than all hold", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(29, 0)}}, nil, false),
		Entry("an accelerator that nobody holds", []guarantee.ReclaimTarget{{Worker: "w0", Capacity: capacity(0, 1<<7)}}, nil, false))

	It("counts the lost work of a job without accelerators as if it had one", func() {
		Expect(guarantee.LostWork(time.Minute, 4)).To(Equal(4 * time.Minute))
		Expect(guarantee.LostWork(time.Minute, 0)).To(Equal(time.Minute))
		Expect(guarantee.LostWork(-time.Minute, 4)).To(BeZero())
	})
})
