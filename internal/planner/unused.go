package planner

import (
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// unusedReservation is the part of an organisation's reservations, or of the
// reservation of one shape, that no covered job uses.
type unusedReservation struct {
	allocations []allocation
	workers     []int                // positions of the workers, parallel to allocations
	shape       api.Shape            // set for a single shape
	shapes      []*unusedReservation // one for each shape, set for an organisation
}

func (u *unusedReservation) add(worker int, capacity packing.Capacity) {
	i := slices.Index(u.workers, worker)
	if i < 0 {
		i = len(u.workers)
		u.workers, u.allocations = append(u.workers, worker), append(u.allocations, allocation{worker: worker})
	}
	u.allocations[i].capacity = u.allocations[i].capacity.Add(capacity)
}

func (u *unusedReservation) sub(worker int, capacity packing.Capacity) {
	if i := slices.Index(u.workers, worker); i >= 0 {
		u.allocations[i].capacity = u.allocations[i].capacity.Sub(capacity)
	}
}

// take removes what a covered task holds from the unused reservation of the
// organisation and from that of the shape inside which the task lies.
func (u *unusedReservation) take(worker int, capacity packing.Capacity) {
	u.sub(worker, capacity)
	for _, s := range u.shapes {
		i := slices.Index(s.workers, worker)
		if i < 0 {
			continue
		}
		unused := &s.allocations[i].capacity
		if unused.Accelerators&capacity.Accelerators != 0 || capacity.Accelerators == 0 && unused.Covers(capacity) {
			*unused = unused.Sub(capacity)
			if capacity.Accelerators == 0 {
				return
			}
		}
	}
}

// candidates lists the reservations in which a job may be covered: the shapes
// in the order of preference, then all shapes together.
func (u *unusedReservation) candidates(w *waitingJob) []*unusedReservation {
	if len(u.shapes) < 2 {
		return []*unusedReservation{u}
	}
	out := slices.Clone(u.shapes)
	slices.SortStableFunc(out, func(x, y *unusedReservation) int {
		return guarantee.ComparePreference(x.shape, y.shape, w.gang.Tasks, w.gang.Resources, w.gang.Adjacency)
	})
	return append(out, u)
}

// fragmentedBy reports whether the tasks of a job are smaller than those of the
// shape that it should use. The rest of the capacity reserved for a task of the
// shape would then be too small for such a task.
func (u *unusedReservation) fragmentedBy(w *waitingJob) bool {
	shape := u.shapes[0].shape
	if len(u.shapes) > 1 {
		shape = u.candidates(w)[0].shape
	}
	return w.gang.Resources.Accelerators < shape.Resources.Accelerators
}

// setUnused derives the unused reservations from the reservations and the jobs
// covered in them.
func (r *round) setUnused(reservations []guarantee.Reservation, covered []guarantee.CoveredPlacement) {
	clear(r.unused)
	for _, res := range reservations {
		all := r.unused[res.Guarantee.Organisation]
		if all == nil {
			all = &unusedReservation{}
			r.unused[res.Guarantee.Organisation] = all
		}
		perShape := &unusedReservation{shape: res.Guarantee.Shape}
		all.shapes = append(all.shapes, perShape)
		for _, t := range res.Tasks {
			capacity := packing.CapacityOf(perShape.shape.Resources, 1, packing.SetOf(t.Accelerators))
			perShape.add(r.index[t.Worker], capacity)
			all.add(r.index[t.Worker], capacity)
		}
	}
	for _, c := range covered {
		for _, t := range c.Tasks {
			capacity := packing.CapacityOf(c.Resources, 1, packing.SetOf(t.Accelerators))
			r.unused[c.Organisation].take(r.index[t.Worker], capacity)
		}
	}
}
