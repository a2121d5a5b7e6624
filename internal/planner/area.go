package planner

import (
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// area is what is left of the reservations of an organisation, or of one of
// its shapes.
type area struct {
	parts   []held
	workers []int     // of the parts
	shape   api.Shape // of the areas of single shapes
	shapes  []*area   // of the area of an organisation
}

func (a *area) add(worker int, room packing.Capacity) {
	i := slices.Index(a.workers, worker)
	if i < 0 {
		i = len(a.workers)
		a.workers, a.parts = append(a.workers, worker), append(a.parts, held{worker: worker})
	}
	a.parts[i].room = a.parts[i].room.Add(room)
}

func (a *area) sub(worker int, room packing.Capacity) {
	if i := slices.Index(a.workers, worker); i >= 0 {
		a.parts[i].room = a.parts[i].room.Sub(room)
	}
}

// take removes what a covered task holds from the area of the organisation and
// from the shape in which it lies.
func (a *area) take(worker int, room packing.Capacity) {
	a.sub(worker, room)
	for _, s := range a.shapes {
		i := slices.Index(s.workers, worker)
		if i < 0 {
			continue
		}
		rest := &s.parts[i].room
		if rest.Accelerators&room.Accelerators != 0 || room.Accelerators == 0 && rest.Covers(room) {
			*rest = rest.Sub(room)
			if room.Accelerators == 0 {
				return
			}
		}
	}
}

// options lists the areas in which a job may be covered: the shapes in the order
// of preference, then all shapes together.
func (a *area) options(w *waitingJob) []*area {
	if len(a.shapes) < 2 {
		return []*area{a}
	}
	out := slices.Clone(a.shapes)
	slices.SortStableFunc(out, func(x, y *area) int {
		return guarantee.ComparePreference(x.shape, y.shape, w.need.Tasks, w.need.Resources, w.need.Adjacency)
	})
	return append(out, a)
}

// breaksPlaces tells whether the tasks of a job are smaller than those of the
// shape that it should use, so that they would leave parts of its places unusable
// for the shape.
func (a *area) breaksPlaces(w *waitingJob) bool {
	shape := a.shapes[0].shape
	if len(a.shapes) > 1 {
		shape = a.options(w)[0].shape
	}
	return w.need.Resources.Accelerators < shape.Resources.Accelerators
}

// setAreas derives the areas from reservations and the jobs covered in them.
func (r *round) setAreas(reservations []guarantee.Reservation, covered []guarantee.CoveredPlacement) {
	clear(r.areas)
	for _, res := range reservations {
		all := r.areas[res.Guarantee.Organisation]
		if all == nil {
			all = &area{}
			r.areas[res.Guarantee.Organisation] = all
		}
		own := &area{shape: res.Guarantee.Shape}
		all.shapes = append(all.shapes, own)
		for _, t := range res.Tasks {
			room := packing.CapacityOf(own.shape.Resources, 1, packing.SetOf(t.Accelerators))
			own.add(r.index[t.Worker], room)
			all.add(r.index[t.Worker], room)
		}
	}
	for _, c := range covered {
		for _, t := range c.Tasks {
			room := packing.CapacityOf(c.Resources, 1, packing.SetOf(t.Accelerators))
			r.areas[c.Organisation].take(r.index[t.Worker], room)
		}
	}
}
