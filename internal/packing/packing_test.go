package packing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

func TestPacking(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "packing")
}

// query returns a query for tasks with the given number of accelerators; free
// lists the free accelerators of the workers, three workers to a rack.
func query(tasks, accelerators int, adjacency api.Adjacency, free ...int) (*packing.Packer, packing.Query) {
	racks, models := make([]string, len(free)), make([]string, len(free))
	available := make([]packing.Capacity, len(free))
	for i, n := range free {
		racks[i], models[i] = string(rune('a'+i/3)), "a1"
		available[i] = packing.Capacity{Cores: 64, MemoryMB: 1024, Accelerators: packing.FirstN(n)}
	}
	topology := packing.NewTopology(racks, models)
	return packing.NewPacker(topology), packing.Query{Available: available, Candidates: topology.AllWorkers,
		Gang: packing.Gang{Tasks: tasks, Adjacency: adjacency, Resources: api.Resources{Cores: 1, MemoryMb: 1, Accelerators: accelerators}}}
}

func workersOf(assignments []packing.Assignment) (out []int) {
	for _, p := range assignments {
		out = append(out, p.Worker)
	}
	return out
}

var _ = Describe("Place", func() {
	const worker, rack, zone = api.AdjacencyWorker, api.AdjacencyRack, api.AdjacencyZone

	DescribeTable("prefers the closest assignment, then the best fit",
		func(tasks, accelerators int, adjacency api.Adjacency, want []int, free ...int) {
			p, q := query(tasks, accelerators, adjacency, free...)
			assignments, ok := p.Place(q)
			Expect(ok).To(Equal(want != nil))
			Expect(workersOf(assignments)).To(Equal(want))
			Expect(p.Fits(q)).To(Equal(ok))
		},
		Entry("the worker with the best fit", 1, 2, worker, []int{1}, 8, 3, 4),
		Entry("a worker in the fullest rack", 1, 8, zone, []int{3}, 8, 8, 8, 8, 8, 0),
		Entry("one worker before a rack", 2, 2, rack, []int{2, 2}, 2, 2, 8),
		Entry("one rack before the zone", 2, 8, zone, []int{3, 4}, 8, 0, 0, 8, 8, 0),
		Entry("the rack with the fewest free accelerators", 2, 8, rack, []int{3, 4}, 8, 8, 8, 8, 8, 0),
		Entry("few workers, and the last task on the best fit", 3, 4, zone, []int{0, 0, 2}, 8, 6, 4),
		Entry("several racks if no rack holds the gang", 2, 8, zone, []int{0, 3}, 8, 0, 0, 8),
		Entry("never several racks with rack adjacency", 2, 8, rack, nil, 8, 0, 0, 8),
		Entry("never several workers with worker adjacency", 2, 8, worker, nil, 8, 8, 8),
		Entry("a task that needs no accelerators, where none are free", 1, 0, zone, []int{1}, 8, 0, 4))

	It("minimises the cost and uses the pick function of the query", func() {
		p, q := query(1, 4, zone, 8, 8, 8)
		q.Cost = func(w, n int) int64 { return []int64{5, 1, 9}[w] * int64(n) }
		q.Pick = func(_ int, available packing.Set, n int) packing.Set { return available &^ packing.FirstN(n) }
		assignments, ok := p.Place(q)
		Expect(ok).To(BeTrue())
		Expect(workersOf(assignments)).To(Equal([]int{1}))
		Expect(assignments[0].Accelerators.Indices()).To(Equal([]int{4, 5, 6, 7}))
	})

	It("leaves out avoided workers and other models", func() {
		p, q := query(1, 8, zone, 8, 8)
		q.Gang.Avoid = []int{0}
		assignments, _ := p.Place(q)
		Expect(workersOf(assignments)).To(Equal([]int{1}))
		q.Gang.Model = "b2"
		Expect(p.Fits(q)).To(BeFalse())
	})

	DescribeTable("MaxTasks counts the tasks that fit", func(adjacency api.Adjacency, want int) {
		p, q := query(9, 4, adjacency, 8, 4, 0, 8)
		Expect(p.MaxTasks(q)).To(Equal(want))
	},
		Entry("on a worker", worker, 2), Entry("on a rack", rack, 3), Entry("in the zone", zone, 5))
})
