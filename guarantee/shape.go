package guarantee

// shapeReservation is the reservation of one shape while it is built.
type shapeReservation struct {
	parts []workerPart // one for each worker used
	tasks int          // of all parts
}

// workerPart is the part of a shape that is reserved on one worker.
type workerPart struct {
	worker         int // position of the worker
	tasks          int
	pinnedCapacity Capacity // held by the placements in pins
	pins           []int    // positions of the covered placements that are pinned here
	capacity       Capacity // of all tasks; includes pinnedCapacity
}

func (s *shapeReservation) ensurePart(worker int) *workerPart {
	for i := range s.parts {
		if s.parts[i].worker == worker {
			return &s.parts[i]
		}
	}
	s.parts = append(s.parts, workerPart{worker: worker})
	return &s.parts[len(s.parts)-1]
}

// partOn returns a copy of the part on a worker, or an empty one.
func (s *shapeReservation) partOn(worker int) workerPart {
	for _, p := range s.parts {
		if p.worker == worker {
			return p
		}
	}
	return workerPart{worker: worker}
}
