// Package guarantee computes reservations for the guaranteed shapes of
// organisations in an availability zone: workers and accelerators for each
// shape, without overlap. It also checks catalogue changes and selects the
// victims of a reclaim. All functions are pure and deterministic.
package guarantee

import (
	"cmp"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Capacity is an amount of cores and memory and a set of accelerators of a
// worker.
type Capacity = packing.Capacity

// Set is a set of accelerator indices of one worker, at most 64.
type Set = packing.Set

// Worker is a worker on which reservations may lie.
type Worker struct {
	ID               string
	Rack             string
	AcceleratorModel string
	// Usable is what reservations may use: everything but what orphaned tasks
	// hold, which run on the worker but belong to no job.
	Usable Capacity
	// Free is the part of Usable that no task holds. Reservations prefer it.
	Free Capacity
	// FutureFree is Free and what tasks that are being stopped hold.
	FutureFree Capacity
	// Loss gives, by accelerator index, the work that is lost if the accelerator is
	// taken from the borrower that holds it. Nil means that nothing is lost.
	Loss []int64
	// Unschedulable is set if the worker may not get new tasks (it is silent or
	// quarantined). Covered placements on it keep their reservation, but nothing
	// else is reserved there.
	Unschedulable bool
}

// NewWorker returns an empty worker.
func NewWorker(id, rack, model string, cores int, memoryMB int64, accelerators int) Worker {
	capacity := Capacity{Cores: cores, MemoryMB: memoryMB, Accelerators: packing.FirstN(accelerators)}
	return Worker{ID: id, Rack: rack, AcceleratorModel: model, Usable: capacity, Free: capacity, FutureFree: capacity}
}

// Guarantee is one guaranteed shape of an organisation.
type Guarantee struct {
	Organisation string
	Shape        api.Shape
	// WaitOrder orders the shapes for which jobs wait: 1 gets free capacity first,
	// and 0 means that no job waits. The caller should keep the order while
	// capacity for a job becomes free step by step.
	WaitOrder int
}

// CoveredPlacement is a placement inside the guarantee of its organisation.
type CoveredPlacement struct {
	JobID        string
	Organisation string
	Resources    api.Resources // of each task
	Adjacency    api.Adjacency // requested by the job
	Tasks        []api.TaskPlacement
}

// Reservation holds the workers and accelerators of one guaranteed shape. It
// has fewer tasks than the shape if the workers do not suffice.
type Reservation struct {
	Guarantee Guarantee
	Tasks     []api.TaskPlacement
}

// Shortfall reports a guarantee that the workers cannot hold, and by how much.
type Shortfall struct {
	Guarantee           Guarantee
	MissingTasks        int
	MissingAccelerators int
	Reason              string
}

// Result is the result of Reserve.
type Result struct {
	// Reservations has one entry for each guarantee, in the same order.
	Reservations []Reservation
	Shortfalls   []Shortfall
	// Demoted lists the jobs whose covered placement lies outside the new
	// reservations, in the order of the covered placements passed to Reserve.
	Demoted []string
}

// WorseThan reports whether any guarantee has fewer reserved tasks in r than in
// other. Both results must be for the same guarantees.
func (r Result) WorseThan(other Result) bool {
	for i, res := range r.Reservations {
		if len(res.Tasks) < len(other.Reservations[i].Tasks) {
			return true
		}
	}
	return false
}

// ComparePreference orders the shapes of an organisation by which of them a job
// should use: tasks closest in size, then the same adjacency, then the loosest
// adjacency, then the nearest number of tasks. A job that matches a guaranteed
// shape thus uses it and leaves the others unfragmented.
func ComparePreference(a, b api.Shape, tasks int, r api.Resources, adjacency api.Adjacency) int {
	distance := func(x, y int) int { return max(x-y, y-x) }
	differs := func(s api.Shape) int {
		if s.Adjacency == adjacency {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(distance(a.Resources.Accelerators, r.Accelerators), distance(b.Resources.Accelerators, r.Accelerators)),
		cmp.Compare(differs(a), differs(b)),
		cmp.Compare(adjacencyRank(b.Adjacency), adjacencyRank(a.Adjacency)),
		cmp.Compare(distance(a.Tasks, tasks), distance(b.Tasks, tasks)))
}

// ForZone returns the guaranteed shapes of a zone, in the order of the catalogue.
func ForZone(catalogue api.Catalogue, zone string) []Guarantee {
	var out []Guarantee
	for i := range catalogue.Organisations {
		o := &catalogue.Organisations[i]
		for _, s := range o.Guarantees {
			if s.Zone == zone && s.Tasks > 0 {
				out = append(out, Guarantee{Organisation: o.Name, Shape: s})
			}
		}
	}
	return out
}
