package placement

import (
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// placeGang places all tasks of a gang, in one rack if the step asks for it.
func (p *planner) placeGang(d int) {
	demand := &p.Demands[d]
	racks, oneRack := p.racksFor(demand)
	for _, rack := range racks {
		if workers, ok := p.tryGang(demand, rack); ok {
			p.result.Placements = append(p.result.Placements, Placement{Demand: d, Tasks: demand.Tasks, Workers: workers})
			return
		}
	}
	if p.mayEvict(demand) && p.evictForGang(demand, racks) {
		return
	}
	if oneRack && !p.waitsForLocality(demand) && (demand.Priority > 0 || p.mayEvict(demand)) {
		if workers, ok := p.tryGang(demand, ""); ok {
			p.result.Placements = append(p.result.Placements, Placement{Demand: d, Tasks: demand.Tasks, Workers: workers})
			return
		}
		if p.mayEvict(demand) && p.evictForGang(demand, []string{""}) {
			return
		}
	}
	if demand.Priority == 0 || p.reservations < maxReservations {
		p.reserve(demand, racks)
	}
}

// racksFor returns the racks to try, the fullest first, and oneRack as true. If
// the gang may be spread or fits in no rack, it returns "", which stands for all
// workers, and false.
func (p *planner) racksFor(demand *Demand) (racks []string, oneRack bool) {
	if demand.Step.DataRack != "" && p.rackCanHold(demand, demand.Step.DataRack) {
		return []string{demand.Step.DataRack}, true
	}
	if !demand.Step.SameRack {
		return []string{""}, false
	}
	leftoverByRack := map[string]float64{}
	for i := range p.Workers {
		worker := &p.Workers[i]
		if eligible(worker, demand) {
			leftoverByRack[worker.Rack] += leftover(p.workers[i].free, demand.Step.Need)
		}
	}
	for rack := range leftoverByRack {
		if p.rackCanHold(demand, rack) {
			racks = append(racks, rack)
		}
	}
	if len(racks) == 0 {
		return []string{""}, false
	}
	slices.SortFunc(racks, func(a, b string) int {
		if leftoverByRack[a] != leftoverByRack[b] {
			if leftoverByRack[a] < leftoverByRack[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return racks, true
}

// rackCanHold reports whether a rack could take the whole gang once the tasks
// that run there have ended.
func (p *planner) rackCanHold(demand *Demand, rack string) bool {
	missing := len(demand.Tasks)
	need := ChargedNeed(demand.Step)
	for _, i := range p.byRack[rack] {
		if missing <= 0 {
			break
		}
		if !eligible(&p.Workers[i], demand) {
			continue
		}
		total := Add(p.Workers[i].Free, p.Workers[i].Releasing)
		for _, release := range p.Workers[i].Releases {
			total = Add(total, release.Need)
		}
		most := missing
		if limit := demand.Step.MaxPerWorker; limit > 0 {
			most = min(most, limit)
		}
		missing -= tasksThatFit(total, need, most)
	}
	return missing <= 0
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
func (p *planner) tryGang(demand *Demand, rack string) ([]int, bool) {
	workers := p.fill(demand, rack, len(demand.Tasks))
	if len(workers) == len(demand.Tasks) {
		return workers, true
	}
	for _, taken := range workers {
		p.release(taken, demand)
	}
	return nil, false
}

// slot is the time from which a worker can take one task of a blocked gang.
type slot struct {
	at     time.Time
	worker int
}

// reserve reserves the workers that can take a blocked gang first, so that
// smaller work does not starve it. Work that ends before the gang can start may
// still start there.
func (p *planner) reserve(demand *Demand, racks []string) {
	var best []slot
	for _, rack := range racks {
		slots := p.slots(demand, rack)
		if len(slots) < len(demand.Tasks) {
			continue
		}
		slots = slots[:len(demand.Tasks)]
		if best == nil || slots[len(slots)-1].at.Before(best[len(best)-1].at) {
			best = slots
		}
	}
	if best == nil {
		return
	}
	p.reservations++
	at := best[len(best)-1].at
	for _, s := range best {
		state := &p.workers[s.worker]
		if state.reservedFrom.IsZero() {
			state.reservedFrom = at
			state.spare = p.freeAt(s.worker, at)
		}
		state.spare = Sub(state.spare, ChargedNeed(demand.Step))
	}
}

// slots returns when the workers of a rack can take the tasks of a gang,
// earliest first. Workers that are reserved for another gang are left out, and so are
// slots that the gang does not need.
func (p *planner) slots(demand *Demand, rack string) []slot {
	var slots []slot
	need := ChargedNeed(demand.Step)
	idle := 0 // slots that are free now
	for _, i := range p.byRack[rack] {
		if idle >= len(demand.Tasks) {
			break
		}
		if !eligible(&p.Workers[i], demand) || !p.workers[i].reservedFrom.IsZero() {
			continue
		}
		free := Add(p.workers[i].free, p.workers[i].releasing)
		releases := p.releases(i)
		at, most := p.Now, len(demand.Tasks)
		if limit := demand.Step.MaxPerWorker; limit > 0 {
			most = min(most, limit-p.Workers[i].StepTasks[demand.Key]-p.workers[i].stepTasks[demand.Key])
		}
		for next := 0; most > 0; next++ {
			n := tasksThatFit(free, need, most)
			for range n {
				free = Sub(free, need)
				slots = append(slots, slot{at: at, worker: i})
			}
			most -= n
			if at.Equal(p.Now) {
				idle += n
			}
			if next >= len(releases) {
				break
			}
			free = Add(free, releases[next].Need)
			if releases[next].At.After(at) {
				at = releases[next].At
			}
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	return slots
}

// releases returns the expected releases of a worker, earliest first.
func (p *planner) releases(w int) []Release {
	if p.sortedReleases[w] == nil {
		p.sortedReleases[w] = slices.Clone(p.Workers[w].Releases)
		slices.SortFunc(p.sortedReleases[w], func(a, b Release) int { return a.At.Compare(b.At) })
	}
	return p.sortedReleases[w]
}

// freeAt returns the expected free capacity of a worker at a time.
func (p *planner) freeAt(w int, at time.Time) batch.Need {
	free := Add(p.workers[w].free, p.workers[w].releasing)
	for _, release := range p.Workers[w].Releases {
		if !release.At.After(at) {
			free = Add(free, release.Need)
		}
	}
	return free
}
