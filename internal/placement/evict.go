package placement

import (
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// evictionTrial is a possible set of evictions for a demand and the capacity
// that would then be free.
type evictionTrial struct {
	free      map[int]batch.Need // free and releasing capacity by worker, for changed workers
	stepTasks map[int]int        // tasks of the demand by worker
	evict     []int              // positions of the groups to evict
	loss      float64            // work that the evictions lose, as EvictionGroup.Loss
}

// evictForTasks evicts groups whose capacity the missing tasks of an urgent
// demand need, and keeps this capacity for them.
func (p *planner) evictForTasks(demand *Demand, missing int) {
	for range missing {
		trial := p.newTrial()
		if !p.tryEvictForTask(demand, "", &trial) {
			return
		}
		p.apply(trial)
	}
}

// evictForGang evicts the groups whose capacity a whole urgent gang needs, in
// the rack where the least work is lost. It reports whether the gang then fits.
func (p *planner) evictForGang(demand *Demand, racks []string) bool {
	var best *evictionTrial
	for _, rack := range racks {
		trial := p.newTrial()
		if p.tryEvictForGang(demand, rack, &trial) && (best == nil || trial.loss < best.loss) {
			best = &trial
		}
	}
	if best == nil {
		return false
	}
	p.apply(*best)
	return true
}

func (p *planner) newTrial() evictionTrial {
	return evictionTrial{free: map[int]batch.Need{}, stepTasks: map[int]int{}}
}

func (p *planner) tryEvictForGang(demand *Demand, rack string, trial *evictionTrial) bool {
	for range demand.Tasks {
		if !p.tryEvictForTask(demand, rack, trial) {
			return false
		}
	}
	return true
}

// tryEvictForTask adds to the trial the evictions for one task, on the worker
// where they lose the least work. It reports whether the task then fits.
func (p *planner) tryEvictForTask(demand *Demand, rack string, trial *evictionTrial) bool {
	best, bestLoss, bestLeftover := -1, 0.0, 0.0
	var bestGroups []int
	need := ChargedNeed(demand.Step)
	for _, w := range p.byRack[rack] {
		worker := &p.Workers[w]
		if worker.Suspect || !eligible(worker, demand) || !p.sharable(w, demand) || !p.withinTrialLimit(w, demand, trial) {
			continue
		}
		groups, loss, ok := p.cheapestVictims(w, need, demand.Priority, trial)
		if !ok {
			continue
		}
		left := leftover(p.expectedFree(w, trial), need)
		if best < 0 || loss < bestLoss || loss == bestLoss && left < bestLeftover {
			best, bestLoss, bestLeftover, bestGroups = w, loss, left, groups
		}
	}
	if best < 0 {
		return false
	}
	for _, g := range bestGroups {
		for _, task := range p.Groups[g].Tasks {
			trial.free[task.Worker] = Add(p.expectedFree(task.Worker, trial), task.Need)
		}
	}
	trial.evict = append(trial.evict, bestGroups...)
	trial.loss += bestLoss
	trial.free[best] = Sub(p.expectedFree(best, trial), need)
	trial.stepTasks[best]++
	return true
}

func (p *planner) withinTrialLimit(w int, demand *Demand, trial *evictionTrial) bool {
	limit := demand.Step.MaxPerWorker
	return limit <= 0 || p.Workers[w].StepTasks[demand.Key]+p.workers[w].stepTasks[demand.Key]+trial.stepTasks[w] < limit
}

// expectedFree returns the free capacity of a worker after all tasks that are
// being stopped have ended.
func (p *planner) expectedFree(w int, trial *evictionTrial) batch.Need {
	if changed, ok := trial.free[w]; ok {
		return changed
	}
	return Add(p.workers[w].free, p.workers[w].releasing)
}

// cheapestVictims returns the groups on a worker whose eviction lets a task
// fit. It adds groups in the order of their loss until the task fits, and then
// leaves out those that turned out not to be needed.
func (p *planner) cheapestVictims(w int, need batch.Need, priority int, trial *evictionTrial) ([]int, float64, bool) {
	free := p.expectedFree(w, trial)
	if Covers(free, need) {
		return nil, 0, true
	}
	var candidates []int
	for _, g := range p.byWorker[w] {
		if p.Groups[g].Priority > priority && !p.evicted[g] && !slices.Contains(trial.evict, g) {
			candidates = append(candidates, g)
		}
	}
	for n, g := range candidates {
		free = Add(free, p.heldOn(g, w))
		if Covers(free, need) {
			groups, loss := p.neededVictims(candidates[:n+1], w, free, need)
			return groups, loss, true
		}
	}
	return nil, 0, false
}

// neededVictims returns the groups that have to be evicted for a task to fit, and
// their loss. free is the capacity of the worker without any of the groups, which
// are in the order of their loss; the most expensive ones are spared first.
func (p *planner) neededVictims(groups []int, w int, free, need batch.Need) ([]int, float64) {
	var needed []int
	loss := 0.0
	for _, g := range slices.Backward(groups) {
		if without := Sub(free, p.heldOn(g, w)); Covers(without, need) {
			free = without
			continue
		}
		needed = append(needed, g)
		loss += p.Groups[g].Loss
	}
	return needed, loss
}

// heldOn returns the capacity that the tasks of a group hold on a worker.
func (p *planner) heldOn(g, w int) batch.Need {
	var held batch.Need
	for _, task := range p.Groups[g].Tasks {
		if task.Worker == w {
			held = Add(held, task.Need)
		}
	}
	return held
}

// apply evicts the groups of a trial and keeps the capacity that the demand
// needs: nothing else in this plan may use it, now or when it becomes free.
func (p *planner) apply(trial evictionTrial) {
	for _, g := range trial.evict {
		p.evicted[g] = true
		p.result.Evict = append(p.result.Evict, p.Groups[g].ID)
	}
	for w, after := range trial.free {
		state := &p.workers[w]
		state.free = minNeed(state.free, after)
		state.releasing = Sub(after, state.free)
	}
}

func minNeed(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMb: min(a.MemoryMb, b.MemoryMb), Accelerators: min(a.Accelerators, b.Accelerators)}
}
