package placement

import (
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// victim is what an eviction group holds on a worker.
type victim struct {
	group  int
	held   batch.Need
	cost   float64 // of the whole group, see EvictionGroup.cost
	urgent bool    // a borrower, see findBorrowers
	worn   bool    // evicted maxEvictionsPerTask times
	ending int     // see endingLevel
}

// evictionCost is what one more task costs on a worker.
type evictionCost struct {
	fits bool
	loss float64 // what the evictions cost, see EvictionGroup.cost
	left float64 // capacity that the task leaves, see leftover
}

func (c *evictionCost) cheaperThan(other *evictionCost) bool {
	return c.loss < other.loss || c.loss == other.loss && c.left < other.left
}

// evictionChoice is the worker of one task, and the groups to evict for it.
type evictionChoice struct {
	worker int
	groups []int
	loss   float64 // of this choice and those before it
}

// evictionSearch chooses workers for one task after the other where the evictions lose the
// least work. The choices for n tasks are the first n of those for more, so that demands of
// any number of tasks share a search until a worker of its rack changes.
type evictionSearch struct {
	version  uint32 // of the rack
	rack     int
	workers  []searchedWorker // of the rack, as far as they may take the tasks
	reach    int              // tasks that fit at most once all that may be evicted is
	choices  []evictionChoice
	complete bool // no further task fits
}

// searchedWorker is a worker after the choices of a search.
type searchedWorker struct {
	worker    int
	stepTasks int
	free      batch.Need // free and releasing capacity
	cost      evictionCost
	stale     bool   // cost is to be computed again
	evicted   []bool // by position among the victims of the worker; nil if none is
}

// usualGang is the number of choices for which a search has room from the start.
const usualGang = 8

// search returns the search of a shape in a rack. It starts anew if the rack has changed.
func (p *planner) search(s *shape, rack int) *evictionSearch {
	found := s.searches[rack]
	if found != nil && found.version == p.changes[rack] {
		return found
	}
	workers := s.workers[rack]
	if found == nil {
		found = &evictionSearch{rack: rack, workers: make([]searchedWorker, len(workers)), choices: make([]evictionChoice, 0, usualGang)}
		s.searches[rack] = found
	}
	found.version, found.complete, found.choices, found.reach = p.changes[rack], false, found.choices[:0], 0
	for i, w := range workers {
		found.reach += tasksThatFit(Add(p.expectedFree(w, s), p.evictable(w, s)), s.need, batch.MaxTasks)
		found.workers[i] = searchedWorker{worker: w, stepTasks: p.tasksOfStep(w, s.demand), free: p.expectedFree(w, s), cost: p.firstCost(s, w)}
	}
	return found
}

// firstCost returns the cost of a task on a worker in the state of the plan.
func (p *planner) firstCost(s *shape, w int) evictionCost {
	known := &s.costs[w]
	if !known.known || known.version != p.workerChanges[w] {
		*known = knownCost{known: true, version: p.workerChanges[w], cost: p.costOf(s, &searchedWorker{worker: w, stepTasks: p.tasksOfStep(w, s.demand), free: p.expectedFree(w, s)})}
	}
	return known.cost
}

// loss returns the work that the first n choices lose, or all if there are fewer.
func (e *evictionSearch) loss(n int) float64 {
	if n = min(n, len(e.choices)); n == 0 {
		return 0
	}
	return e.choices[n-1].loss
}

// extend chooses the worker for one more task, and reports whether there is one.
func (e *evictionSearch) extend(p *planner, s *shape) bool {
	if e.complete {
		return false
	}
	var best *searchedWorker
	for i := range e.workers {
		w := &e.workers[i]
		if w.stale {
			w.cost, w.stale = p.costOf(s, w), false
		}
		if w.cost.fits && (best == nil || w.cost.cheaperThan(&best.cost)) {
			best = w
		}
	}
	if best == nil {
		e.complete = true
		return false
	}
	groups := p.victimsFor(s, best)
	e.choices = append(e.choices, evictionChoice{worker: best.worker, groups: groups, loss: e.loss(len(e.choices)) + best.cost.loss})
	e.evict(p, s, groups)
	best.free = Sub(best.free, s.need)
	best.stepTasks++
	best.stale = true
	return true
}

// evict adds the capacity of groups to that of the workers of the search.
func (e *evictionSearch) evict(p *planner, s *shape, groups []int) {
	for _, g := range groups {
		for _, task := range p.Groups[g].Tasks {
			w := e.find(p, s, task.Worker)
			if w == nil {
				continue
			}
			victims := p.victims[task.Worker]
			if w.evicted == nil {
				w.evicted = make([]bool, len(victims))
			}
			w.evicted[slices.IndexFunc(victims, func(v victim) bool { return v.group == g })] = true
			w.free = Add(w.free, task.Need)
			w.stale = true
		}
	}
}

// find returns a worker of the search, or nil.
func (e *evictionSearch) find(p *planner, s *shape, w int) *searchedWorker {
	if e.rack != p.fleet && e.rack != p.rackOf[w] {
		return nil
	}
	if e.rack == p.fleet {
		if i := s.fleetPosition[w]; i >= 0 {
			return &e.workers[i]
		}
		return nil
	}
	for i := range e.workers {
		if e.workers[i].worker == w {
			return &e.workers[i]
		}
	}
	return nil
}

// expectedFree returns the free capacity of a worker after all tasks that are being stopped
// have ended, and those that end by themselves as soon.
func (p *planner) expectedFree(w int, s *shape) batch.Need {
	state := &p.workers[w]
	free := Sub(Add(state.free, state.releasing), state.heldInUse)
	if s.key.ending > 0 {
		return Add(free, p.ending[s.key.ending][w])
	}
	return free
}

// evictable returns the capacity of a worker that may be evicted for demands of a shape.
func (p *planner) evictable(w int, s *shape) batch.Need {
	if s.key.reclaims {
		return Add(p.preemptible[w], p.borrowed[w])
	}
	return p.preemptible[w]
}

// tasksOfStep returns how many tasks of the step of a demand a worker has, if the step limits
// them.
func (p *planner) tasksOfStep(w int, demand *Demand) int {
	if demand.Step.MaxPerWorker <= 0 {
		return 0
	}
	return p.Workers[w].StepTasks[demand.Key] + p.workers[w].stepTasks[demand.Key]
}

// costOf returns the cost of one more task on a worker.
func (p *planner) costOf(s *shape, w *searchedWorker) evictionCost {
	limit := s.demand.Step.MaxPerWorker
	if p.Workers[w.worker].Suspect && !s.key.suspects || p.workers[w.worker].onTrial || !p.sharable(w.worker, s.demand) || limit > 0 && w.stepTasks >= limit {
		return evictionCost{}
	}
	cost := evictionCost{fits: true, left: leftover(w.free, s.need)}
	if Covers(w.free, s.need) {
		return cost
	}
	victims, fits := p.neededVictims(s, w)
	for _, v := range victims {
		cost.loss += v.cost
	}
	cost.fits = fits
	return cost
}

// victimsFor returns the groups to evict for one more task, see costOf.
func (p *planner) victimsFor(s *shape, w *searchedWorker) []int {
	if Covers(w.free, s.need) {
		return nil
	}
	victims, _ := p.neededVictims(s, w)
	groups := make([]int, len(victims))
	for i, v := range victims {
		groups[i] = v.group
	}
	return groups
}

// neededVictims returns the victims whose eviction lets a task fit on a worker. It adds them
// in the order of their cost until the task fits, and then leaves out those that turned out
// not to be needed, the most expensive ones first. The result is valid until the next call.
func (p *planner) neededVictims(s *shape, w *searchedWorker) ([]victim, bool) {
	candidates, fits, free := p.candidates[:0], false, w.free
	victims := p.victims[w.worker]
	for i := range victims {
		v := &victims[i]
		if v.urgent && !s.key.reclaims || v.worn && s.key.sparesEvictedOften || v.ending <= s.key.ending || p.evicted[v.group] || w.evicted != nil && w.evicted[i] {
			continue
		}
		candidates = append(candidates, *v)
		if free = Add(free, v.held); Covers(free, s.need) {
			fits = true
			break
		}
	}
	p.candidates = candidates
	if !fits {
		return nil, false
	}
	needed := len(candidates)
	for i := len(candidates) - 1; i >= 0; i-- {
		if without := Sub(free, candidates[i].held); Covers(without, s.need) {
			free = without
			continue
		}
		needed--
		candidates[needed] = candidates[i]
	}
	return candidates[needed:], true
}

// evictForTasks evicts groups whose capacity the missing tasks of an urgent demand need, and
// keeps this capacity for them.
func (p *planner) evictForTasks(demand *Demand, missing int) {
	for _, round := range p.evictionRounds(demand) {
		s := p.evictionShape(demand, round)
		search := p.search(s, p.fleet)
		for len(search.choices) < missing && search.extend(p, s) {
		}
		choices := search.choices[:min(missing, len(search.choices))]
		p.apply(s, choices, p.evictionFor(demand))
		if missing -= len(choices); missing == 0 {
			return
		}
	}
}

// evictForGang evicts the groups whose capacity a whole urgent gang needs, in the rack where
// the least work is lost. It reports whether the gang then fits.
func (p *planner) evictForGang(demand *Demand, racks []int) bool {
	for _, round := range p.evictionRounds(demand) {
		s := p.evictionShape(demand, round)
		if best := p.cheapestRack(s, racks, len(demand.Tasks)); best != nil {
			p.apply(s, best.choices[:len(demand.Tasks)], p.evictionFor(demand))
			return true
		}
	}
	return false
}

// cheapestRack returns the search of the rack where n tasks lose the least work, or nil if
// they fit in none. The choices never lose less than those before them, so that only the
// search that has lost the least so far goes on.
func (p *planner) cheapestRack(s *shape, racks []int, n int) *evictionSearch {
	searches := make(searchHeap, 0, len(racks))
	for order, rack := range racks {
		if s.holds[rack] < n {
			continue
		}
		search := p.search(s, rack)
		if search.reach < n {
			continue
		}
		searches = append(searches, openSearch{search: search, loss: search.loss(n), order: order})
	}
	for i := len(searches)/2 - 1; i >= 0; i-- {
		searches.sink(i)
	}
	for len(searches) > 0 {
		first := &searches[0]
		switch {
		case len(first.search.choices) >= n:
			return first.search
		case first.search.extend(p, s):
			first.loss = first.search.loss(n)
		default:
			last := len(searches) - 1
			searches[0] = searches[last]
			searches = searches[:last]
		}
		searches.sink(0)
	}
	return nil
}

// openSearch is a search that may still be the cheapest. order is the position of its rack
// among those that are equally cheap.
type openSearch struct {
	search *evictionSearch
	loss   float64
	order  int
}

// searchHeap has the search that has lost the least first.
type searchHeap []openSearch

// sink moves an entry behind those that come before it.
func (h searchHeap) sink(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].loss < h[first].loss || h[child].loss == h[first].loss && h[child].order < h[first].order {
				first = child
			}
		}
		if first == i {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// apply evicts the groups of some choices and keeps the capacity that the tasks need: nothing
// else in this plan may use it, now or when it becomes free.
func (p *planner) apply(s *shape, choices []evictionChoice, eviction Eviction) {
	for _, choice := range choices {
		for _, g := range choice.groups {
			p.evicted[g] = true
			p.result.Evict = append(p.result.Evict, p.Groups[g].ID)
			p.result.Evictions = append(p.result.Evictions, eviction)
			held := p.heldBy(g)
			for _, task := range p.Groups[g].Tasks {
				state := &p.workers[task.Worker]
				state.releasing = Add(state.releasing, task.Need)
				held[task.Worker] = Sub(held[task.Worker], task.Need)
				p.touch(task.Worker)
			}
		}
	}
	for _, choice := range choices {
		p.hold(choice.worker, s.need)
	}
}

func minNeed(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMb: min(a.MemoryMb, b.MemoryMb), Accelerators: min(a.Accelerators, b.Accelerators)}
}
