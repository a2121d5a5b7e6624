package placement

import (
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// reclaim is a trial of making room: what the workers would have and what would
// be stopped for it.
type reclaim struct {
	after map[int]batch.Need // free and leaving room per worker, as far as changed
	steps map[int]int        // tasks of the demand per worker
	evict []int
	loss  float64
}

// makeRoom evicts what the missing tasks of an urgent demand need, and keeps
// that room for them.
func (p *planner) makeRoom(demand *Demand, missing int) {
	for range missing {
		trial := p.newReclaim()
		if !p.reclaimOne(demand, "", &trial) {
			return
		}
		p.apply(trial)
	}
}

// makeGangRoom evicts what a whole urgent gang needs in the rack where the least
// work is lost.
func (p *planner) makeGangRoom(demand *Demand, racks []string) bool {
	var best *reclaim
	for _, rack := range racks {
		trial := p.newReclaim()
		if p.reclaimGang(demand, rack, &trial) && (best == nil || trial.loss < best.loss) {
			best = &trial
		}
	}
	if best == nil {
		return false
	}
	p.apply(*best)
	return true
}

func (p *planner) newReclaim() reclaim {
	return reclaim{after: map[int]batch.Need{}, steps: map[int]int{}}
}

func (p *planner) reclaimGang(demand *Demand, rack string, trial *reclaim) bool {
	for range demand.Tasks {
		if !p.reclaimOne(demand, rack, trial) {
			return false
		}
	}
	return true
}

// reclaimOne finds the worker where one task costs the least work.
func (p *planner) reclaimOne(demand *Demand, rack string, trial *reclaim) bool {
	best, bestLoss, bestSlack := -1, 0.0, 0.0
	var bestGroups []int
	need := ChargedNeed(demand.Step)
	for _, w := range p.byRack[rack] {
		worker := &p.Workers[w]
		if worker.Suspect || !eligible(worker, demand) || !p.mayTake(w, demand, trial) {
			continue
		}
		groups, loss, ok := p.cheapest(w, need, demand.Priority, trial)
		if !ok {
			continue
		}
		left := slack(p.expected(w, trial), need)
		if best < 0 || loss < bestLoss || loss == bestLoss && left < bestSlack {
			best, bestLoss, bestSlack, bestGroups = w, loss, left, groups
		}
	}
	if best < 0 {
		return false
	}
	for _, g := range bestGroups {
		for _, part := range p.Groups[g].Parts {
			trial.after[part.Worker] = Add(p.expected(part.Worker, trial), part.Need)
		}
	}
	trial.evict = append(trial.evict, bestGroups...)
	trial.loss += bestLoss
	trial.after[best] = Sub(p.expected(best, trial), need)
	trial.steps[best]++
	return true
}

func (p *planner) mayTake(w int, demand *Demand, trial *reclaim) bool {
	limit := demand.Step.MaxPerWorker
	return limit <= 0 || p.Workers[w].StepTasks[demand.Key]+p.workers[w].steps[demand.Key]+trial.steps[w] < limit
}

// expected is the room of a worker once everything that is being stopped has gone.
func (p *planner) expected(w int, trial *reclaim) batch.Need {
	if changed, ok := trial.after[w]; ok {
		return changed
	}
	return Add(p.workers[w].free, p.workers[w].leaving)
}

// cheapest returns the groups on a worker whose end makes room for a task at the
// least loss, by taking those with the least loss first.
func (p *planner) cheapest(w int, need batch.Need, priority int, trial *reclaim) ([]int, float64, bool) {
	room := p.expected(w, trial)
	if Covers(room, need) {
		return nil, 0, true
	}
	var candidates []int
	for _, g := range p.byWorker[w] {
		if p.Groups[g].Priority > priority && !p.evicted[g] && !slices.Contains(trial.evict, g) {
			candidates = append(candidates, g)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		switch x, y := p.Groups[a].Loss, p.Groups[b].Loss; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var groups []int
	loss := 0.0
	for _, g := range candidates {
		groups = append(groups, g)
		loss += p.Groups[g].Loss
		for _, part := range p.Groups[g].Parts {
			if part.Worker == w {
				room = Add(room, part.Need)
			}
		}
		if Covers(room, need) {
			return groups, loss, true
		}
	}
	return nil, 0, false
}

// apply evicts the groups of a trial and keeps the room that it found: nothing
// else of this round may use it, now or when it becomes free.
func (p *planner) apply(trial reclaim) {
	for _, g := range trial.evict {
		p.evicted[g] = true
		p.result.Evict = append(p.result.Evict, p.Groups[g].ID)
	}
	for w, after := range trial.after {
		room := &p.workers[w]
		room.free = least(room.free, after)
		room.leaving = Sub(after, room.free)
	}
}

func least(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMb: min(a.MemoryMb, b.MemoryMb), Accelerators: min(a.Accelerators, b.Accelerators)}
}
