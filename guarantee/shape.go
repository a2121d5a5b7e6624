package guarantee

// shapeReservation is the reservation of one shape while it is built.
type shapeReservation struct {
	parts []workerPart
	tasks int
}

// workerPart is the part of a shape that is reserved on one worker.
type workerPart struct {
	worker         int
	tasks          int
	pinnedCapacity Capacity // of the covered placements in pins
	pins           []int
	capacity       Capacity
}

func (a *shapeReservation) ensurePart(worker int) *workerPart {
	for i := range a.parts {
		if a.parts[i].worker == worker {
			return &a.parts[i]
		}
	}
	a.parts = append(a.parts, workerPart{worker: worker})
	return &a.parts[len(a.parts)-1]
}

// partOn returns a copy of the part on a worker, or an empty one.
func (a *shapeReservation) partOn(worker int) workerPart {
	for _, p := range a.parts {
		if p.worker == worker {
			return p
		}
	}
	return workerPart{worker: worker}
}
