// Package guarantee computes where the guaranteed shapes of organisations lie
// in an availability zone: a concrete reservation of workers and accelerators
// for each shape, without overlap. It also checks catalogue changes and selects
// the victims of a reclaim. All functions are pure and deterministic.
package guarantee

import (
	"cmp"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Capacity is an amount of cores and memory and a set of accelerators of a worker.
type Capacity = packing.Capacity

// Set is a set of accelerator indices of one worker, at most 64.
type Set = packing.Set

// Worker is a worker on which reservations may lie.
type Worker struct {
	ID               string
	Rack             string
	AcceleratorModel string
	// Usable is what reservations may use. It leaves out what unknown tasks hold.
	Usable Capacity
	// Free is the part of Usable that no task holds. Reservations prefer it.
	Free Capacity
	// FutureFree is Free and what is held by tasks that are being stopped.
	FutureFree Capacity
	// Loss is the work that is lost if an accelerator is taken from the borrower
	// that holds it, by accelerator index; nil means that nothing is lost.
	Loss []int64
	// Unschedulable says that the worker gets no new tasks (it is silent or quarantined).
	// Covered placements on it keep their reservation, but no other lies there.
	Unschedulable bool
}

// NewWorker returns an empty worker.
func NewWorker(id, rack, model string, cores int, memoryMB int64, accelerators int) Worker {
	room := Capacity{Cores: cores, MemoryMB: memoryMB, Accelerators: packing.FirstN(accelerators)}
	return Worker{ID: id, Rack: rack, AcceleratorModel: model, Usable: room, Free: room, FutureFree: room}
}

// Guarantee is one guaranteed shape of an organisation.
type Guarantee struct {
	Organisation string
	Shape        api.Shape
	// WaitOrder gives the order in which shapes that jobs wait for get free places: 1
	// comes first, 0 means that no job waits. The caller should keep the order
	// while a job waits for places that become free one after the other.
	WaitOrder int
}

// CoveredPlacement is a placement inside the guarantee of its organisation.
type CoveredPlacement struct {
	JobID        string
	Organisation string
	Resources    api.Resources // of each task
	Adjacency    api.Adjacency // that the job asks for
	Tasks        []api.TaskPlacement
}

// Reservation is the place of one guaranteed shape. It holds fewer tasks than
// the shape if the workers do not suffice.
type Reservation struct {
	Guarantee Guarantee
	Tasks     []api.TaskPlacement
}

// Shortfall says whose guarantee the workers do not hold, and by how much.
type Shortfall struct {
	Guarantee           Guarantee
	MissingTasks        int
	MissingAccelerators int
	Reason              string
}

// Result is the outcome of Reserve.
type Result struct {
	// Reservations has one entry for each guarantee, in the same order.
	Reservations []Reservation
	Shortfalls   []Shortfall
	// Demoted lists the jobs whose covered placement lies outside the new
	// reservations, in the order of the input.
	Demoted []string
}

// WorseThan tells whether a guarantee misses more in this result than in another
// one for the same guarantees.
func (r Result) WorseThan(than Result) bool {
	for i, res := range r.Reservations {
		if len(res.Tasks) < len(than.Reservations[i].Tasks) {
			return true
		}
	}
	return false
}

// ComparePreference orders the shapes of an organisation by which of them a job
// should use: tasks closest in size, then the same adjacency, then the loosest
// adjacency, then the nearest number of tasks. A job of a guaranteed shape thus
// uses this shape and leaves the others whole.
func ComparePreference(a, b api.Shape, tasks int, r api.Resources, adjacency api.Adjacency) int {
	distance := func(x, y int) int { return max(x-y, y-x) }
	other := func(s api.Shape) int {
		if s.Adjacency == adjacency {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(distance(a.Resources.Accelerators, r.Accelerators), distance(b.Resources.Accelerators, r.Accelerators)),
		cmp.Compare(other(a), other(b)),
		cmp.Compare(closeness(b.Adjacency), closeness(a.Adjacency)),
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
