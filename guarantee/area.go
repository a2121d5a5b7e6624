package guarantee

// area is the reservation of one shape while it is built.
type area struct {
	parts []part
	tasks int
}

// part is what an area takes on one worker.
type part struct {
	worker int
	tasks  int
	pinned Capacity // held by covered placements
	pins   []int
	room   Capacity
}

func (a *area) part(worker int) *part {
	for i := range a.parts {
		if a.parts[i].worker == worker {
			return &a.parts[i]
		}
	}
	a.parts = append(a.parts, part{worker: worker})
	return &a.parts[len(a.parts)-1]
}

// peek returns a copy of the part on a worker, empty if there is none.
func (a *area) peek(worker int) part {
	for _, p := range a.parts {
		if p.worker == worker {
			return p
		}
	}
	return part{worker: worker}
}
