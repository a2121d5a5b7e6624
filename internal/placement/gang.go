package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// placeGang places all tasks of a gang, in one rack if the step asks for it.
func (p *planner) placeGang(d int) {
	demand := &p.Demands[d]
	racks, oneRack := p.racksFor(demand)
	if p.placeGangIn(d, racks) || p.preemptForGang(d, racks) {
		return
	}
	if oneRack && !p.waitsForLocality(demand) && (demand.Priority > 0 || p.mayEvict(demand)) {
		fleet := []int{p.fleet}
		if p.placeGangIn(d, fleet) || p.preemptForGang(d, fleet) {
			return
		}
	}
	if demand.Priority == 0 || p.reservations < maxReservations {
		p.reserve(demand, racks)
	}
}

// placeGangIn places a gang in the first of some racks in which it fits, and reports whether
// it does in any.
func (p *planner) placeGangIn(d int, racks []int) bool {
	demand := &p.Demands[d]
	s := p.shapeOf(demand, false)
	for _, rack := range racks {
		if p.freeOf(s, rack).tasks < len(demand.Tasks) {
			continue
		}
		if workers, ok := p.tryGang(demand, rack); ok {
			p.result.Placements = append(p.result.Placements, Placement{Demand: d, Tasks: demand.Tasks, Workers: workers})
			return true
		}
	}
	return false
}

// racksFor returns the racks to try, the fullest first, and oneRack as true. If the gang may
// be spread or fits in no rack, it returns the whole fleet and false.
func (p *planner) racksFor(demand *Demand) (racks []int, oneRack bool) {
	s := p.shapeOf(demand, false)
	if rack, known := p.rackIndex[demand.Step.DataRack]; known && demand.Step.DataRack != "" && s.holds[rack] >= len(demand.Tasks) {
		return []int{rack}, true
	}
	if !demand.Step.SameRack {
		return []int{p.fleet}, false
	}
	type candidate struct {
		rack int
		left float64
	}
	candidates := make([]candidate, 0, len(p.racks))
	for r := range p.racks {
		if r == p.fleet || p.racks[r].name == "" || len(s.workers[r]) == 0 || s.holds[r] < len(demand.Tasks) {
			continue
		}
		candidates = append(candidates, candidate{r, p.freeOf(s, r).left})
	}
	if len(candidates) == 0 {
		return []int{p.fleet}, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.left, b.left), a.rack-b.rack)
	})
	racks = make([]int, 0, len(candidates))
	for _, c := range candidates {
		racks = append(racks, c.rack)
	}
	return racks, true
}

// tasksThatFit returns how many tasks of a need fit into a free capacity, at most most.
func tasksThatFit(free, need batch.Need, most int) int {
	if !Covers(free, need) {
		return 0
	}
	n := int64(most)
	for _, amount := range [...][2]int64{{free.MilliCPU, need.MilliCPU}, {free.MemoryMb, need.MemoryMb}, {free.Accelerators, need.Accelerators}} {
		if have, each := amount[0], amount[1]; each > 0 {
			n = min(n, have/each)
		}
	}
	return int(n)
}

// tryGang assigns workers to all tasks or to none.
func (p *planner) tryGang(demand *Demand, rack int) ([]int, bool) {
	workers := p.fill(demand, rack, len(demand.Tasks))
	if len(workers) == len(demand.Tasks) {
		return workers, true
	}
	for _, taken := range workers {
		p.release(taken, demand)
	}
	return nil, false
}

// reserve reserves the workers that can take a blocked gang first, so that
// smaller work does not starve it. Work that ends before the gang can start may
// still start there.
func (p *planner) reserve(demand *Demand, racks []int) {
	s := p.shapeOf(demand, false)
	var best []slot
	for _, rack := range racks {
		slots := p.slots(s, rack, len(demand.Tasks), false)
		if len(slots) < len(demand.Tasks) {
			continue
		}
		if best == nil || slots[len(slots)-1].after < best[len(best)-1].after {
			best = slots
		}
	}
	if best == nil {
		return
	}
	p.reservations++
	at := p.Now.Add(best[len(best)-1].after)
	for _, reserved := range best {
		p.reserveWorker(demand, reserved.worker, at)
	}
}

// reserveWorker reserves room for a task on a worker.
func (p *planner) reserveWorker(demand *Demand, w int, at time.Time) {
	state := &p.workers[w]
	if state.reservedFrom.IsZero() {
		state.reservedFrom = at
		state.reservedForCovered = demand.Priority == 0 && p.covered(demand)
		state.spare = p.freeAt(w, at)
		p.reserved[p.rackOf[w]]++
	}
	state.spare = Sub(state.spare, ChargedNeed(demand.Step))
}

// slots returns when the workers of a rack can take n tasks of a gang, or as many of them as
// ever fit, earliest first by the expected or by the late ends of runs. Workers that are
// reserved for another gang are left out, and late ends for which no demand waits.
func (p *planner) slots(s *shape, rack, n int, late bool) []slot {
	if rack != p.fleet {
		slots := p.slotsOfRack(s, rack, late)
		return slots[:min(n, len(slots))]
	}
	lists := make([][]slot, 0, len(p.racks))
	for r := range p.racks {
		if r == p.fleet {
			continue
		}
		if slots := p.slotsOfRack(s, r, late); len(slots) > 0 {
			lists = append(lists, slots)
		}
	}
	var merged []slot
	for len(merged) < n {
		first := -1
		for i := range lists {
			if len(lists[i]) > 0 && (first < 0 || lists[i][0].after < lists[first][0].after) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		merged = append(merged, lists[first][0])
		lists[first] = lists[first][1:]
	}
	return merged
}

// slotsOfRack returns all slots of a rack that the largest gang can need.
func (p *planner) slotsOfRack(s *shape, rack int, late bool) []slot {
	cache := s.slots
	if late {
		cache = s.lateSlots
	}
	version := p.changes[rack] + p.reserved[rack]
	if known := cache[rack]; known != nil && known.version == version {
		return known.slots
	}
	slots := p.slotBuffer[:0]
	for _, w := range s.workers[rack] {
		if state := &p.workers[w]; state.reservedFrom.IsZero() && (!state.onTrial || state.open()) {
			slots = p.appendSlots(slots, s, w, late)
		}
	}
	p.slotBuffer = slots
	slots = slices.Clone(slots)
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Or(cmp.Compare(a.after, b.after), a.worker-b.worker) })
	cache[rack] = &rackSlots{version: version, slots: slots}
	return slots
}

// appendSlots appends the slots of a worker. What is being stopped counts as free, or by the
// late times as free after the longest time of a stop.
func (p *planner) appendSlots(slots []slot, s *shape, w int, late bool) []slot {
	free, releasing := Sub(p.workers[w].free, p.workers[w].heldInUse), p.workers[w].releasing
	if !late {
		free, releasing = Add(free, releasing), batch.Need{}
	}
	releases := p.releases(w, late)
	after, most := time.Duration(0), p.largestGang
	if limit := s.demand.Step.MaxPerWorker; limit > 0 {
		most = min(most, limit-p.Workers[w].StepTasks[s.demand.Key]-p.workers[w].stepTasks[s.demand.Key])
	}
	if p.workers[w].onTrial {
		most = min(most, 1)
	}
	for next := 0; most > 0; {
		n := tasksThatFit(free, s.need, most)
		for range n {
			free = Sub(free, s.need)
			slots = append(slots, slot{after: after, worker: w})
		}
		most -= n
		switch {
		case releasing != batch.Need{} && (next >= len(releases) || releases[next].At.Sub(p.Now) > p.StopTime):
			free, releasing = Add(free, releasing), batch.Need{}
			after = max(after, p.StopTime)
		case next < len(releases) && (!late || releases[next].At.Sub(p.Now) <= p.longestWait):
			free = Add(free, releases[next].Need)
			after = max(after, releases[next].At.Sub(p.Now))
			next++
		default:
			return slots
		}
	}
	return slots
}

// releases returns the releases of a worker with their expected or late times, earliest first.
func (p *planner) releases(w int, late bool) []Release {
	sorted := p.sortedReleases
	if late {
		sorted = p.lateReleases
	}
	if sorted[w] == nil {
		sorted[w] = slices.Clone(p.Workers[w].Releases)
		for i := range sorted[w] {
			if r := &sorted[w][i]; late {
				r.At = r.late()
			}
		}
		slices.SortFunc(sorted[w], func(a, b Release) int { return a.At.Compare(b.At) })
	}
	return sorted[w]
}

// freeAt returns the expected free capacity of a worker at a time.
func (p *planner) freeAt(w int, at time.Time) batch.Need {
	free := Sub(Add(p.workers[w].free, p.workers[w].releasing), p.workers[w].heldInUse)
	for _, release := range p.Workers[w].Releases {
		if !release.At.After(at) {
			free = Add(free, release.Need)
		}
	}
	return free
}
