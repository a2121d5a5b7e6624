package placement

import (
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// placeGang places all tasks of a gang, in one rack where that matters.
func (p *planner) placeGang(d int) {
	demand := &p.Demands[d]
	racks, wholeRack := p.racksFor(demand)
	for _, rack := range racks {
		if workers, ok := p.tryGang(demand, rack); ok {
			p.result.Placements = append(p.result.Placements, Placement{Demand: d, Tasks: demand.Tasks, Workers: workers})
			return
		}
	}
	if p.mayEvict(demand) && p.makeGangRoom(demand, racks) {
		return
	}
	if wholeRack && !p.patient(demand) && (demand.Priority > 0 || p.mayEvict(demand)) {
		if workers, ok := p.tryGang(demand, ""); ok {
			p.result.Placements = append(p.result.Placements, Placement{Demand: d, Tasks: demand.Tasks, Workers: workers})
			return
		}
		if p.mayEvict(demand) && p.makeGangRoom(demand, []string{""}) {
			return
		}
	}
	if demand.Priority == 0 || p.reserved < maxReservations {
		p.reserve(demand, racks)
	}
}

// racksFor returns the racks to try, the one with the least room first, or ""
// for all workers when the gang need not be together or fits no rack.
func (p *planner) racksFor(demand *Demand) (racks []string, wholeRack bool) {
	if demand.Step.DataRack != "" && p.rackHolds(demand, demand.Step.DataRack) {
		return []string{demand.Step.DataRack}, true
	}
	if !demand.Step.SameRack {
		return []string{""}, false
	}
	seen := map[string]float64{}
	for i := range p.Workers {
		worker := &p.Workers[i]
		if eligible(worker, demand) {
			seen[worker.Rack] += slack(p.workers[i].free, demand.Step.Need)
		}
	}
	for rack := range seen {
		if p.rackHolds(demand, rack) {
			racks = append(racks, rack)
		}
	}
	if len(racks) == 0 {
		return []string{""}, false
	}
	slices.SortFunc(racks, func(a, b string) int {
		if seen[a] != seen[b] {
			if seen[a] < seen[b] {
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

// rackHolds tells whether a rack could take the whole gang if only work that may
// be waited for ran there.
func (p *planner) rackHolds(demand *Demand, rack string) bool {
	slots := 0
	need := ChargedNeed(demand.Step)
	for _, i := range p.byRack[rack] {
		if !eligible(&p.Workers[i], demand) {
			continue
		}
		whole := Add(p.Workers[i].Free, p.Workers[i].Releasing)
		for _, release := range p.Workers[i].Releases {
			whole = Add(whole, release.Need)
		}
		for n := 0; Covers(whole, need) && (demand.Step.MaxPerWorker <= 0 || n < demand.Step.MaxPerWorker); n++ {
			whole = Sub(whole, need)
			slots++
		}
	}
	return slots >= len(demand.Tasks)
}

// tryGang takes room for all tasks or for none.
func (p *planner) tryGang(demand *Demand, rack string) ([]int, bool) {
	workers := make([]int, 0, len(demand.Tasks))
	for range demand.Tasks {
		w, _ := p.tightest(demand, rack)
		if w < 0 {
			for _, taken := range workers {
				p.giveBack(taken, demand)
			}
			return nil, false
		}
		p.take(w, demand)
		workers = append(workers, w)
	}
	return workers, true
}

// slot is room for one task of a blocked gang at a time.
type slot struct {
	at     time.Time
	worker int
}

// reserve keeps the workers that will have room for a blocked gang first, so
// that smaller work does not starve it. Work that ends before may still start.
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
	p.reserved++
	at := best[len(best)-1].at
	for _, s := range best {
		room := &p.workers[s.worker]
		if room.keepFor.IsZero() {
			room.keepFor = at
			room.spare = p.roomAt(s.worker, at)
		}
		room.spare = Sub(room.spare, ChargedNeed(demand.Step))
	}
}

// slots returns when each worker of a rack will have room for tasks of a gang,
// earliest first. Workers that are kept for another gang are left out.
func (p *planner) slots(demand *Demand, rack string) []slot {
	var slots []slot
	need := ChargedNeed(demand.Step)
	for _, i := range p.byRack[rack] {
		if !eligible(&p.Workers[i], demand) || !p.workers[i].keepFor.IsZero() {
			continue
		}
		room := Add(p.workers[i].free, p.workers[i].leaving)
		releases := p.releases(i)
		at, limit := p.Now, demand.Step.MaxPerWorker
		for n, next := 0, 0; ; {
			for Covers(room, need) && (limit <= 0 || n < limit) {
				room = Sub(room, need)
				slots = append(slots, slot{at: at, worker: i})
				n++
			}
			if next >= len(releases) {
				break
			}
			room = Add(room, releases[next].Need)
			if releases[next].At.After(at) {
				at = releases[next].At
			}
			next++
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	return slots
}

// releases returns what is expected to become free on a worker, earliest first.
func (p *planner) releases(w int) []Release {
	if p.released[w] == nil {
		p.released[w] = slices.Clone(p.Workers[w].Releases)
		slices.SortFunc(p.released[w], func(a, b Release) int { return a.At.Compare(b.At) })
	}
	return p.released[w]
}

// roomAt is the expected room of a worker at a time.
func (p *planner) roomAt(w int, at time.Time) batch.Need {
	room := Add(p.workers[w].free, p.workers[w].leaving)
	for _, release := range p.Workers[w].Releases {
		if !release.At.After(at) {
			room = Add(room, release.Need)
		}
	}
	return room
}
