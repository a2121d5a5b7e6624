package placement

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// placeTasks takes workers for as many tasks as fit: the best fits in the rack of
// their data, and then the best fits of all workers, unless the tasks still wait
// for workers in that rack.
func (p *planner) placeTasks(demand *Demand) []int {
	missing := len(demand.Tasks)
	if demand.Step.DataRack == "" {
		return p.fill(demand, p.fleet, missing)
	}
	var workers []int
	rack, known := p.rackIndex[demand.Step.DataRack]
	if known {
		workers = p.fill(demand, rack, missing)
	}
	if missing -= len(workers); missing > 0 && (!p.waitsForLocality(demand) || !known || !p.anyEligible(demand, rack)) {
		workers = append(workers, p.fill(demand, p.fleet, missing)...)
	}
	return workers
}

// anyEligible reports whether any worker of a rack could take the tasks when it is
// free.
func (p *planner) anyEligible(demand *Demand, rack int) bool {
	return slices.ContainsFunc(p.racks[rack].workers, func(w int) bool { return eligible(&p.Workers[w], demand) })
}

// fill takes workers of a rack for up to n tasks. Each task goes
// to the worker that would have the least capacity left. That worker stays the best
// for the next task as long as it has room, so one pass over the workers is enough
// for all tasks.
func (p *planner) fill(demand *Demand, rack, n int) []int {
	var taken []int
	for _, w := range p.byFit(demand, rack) {
		for len(taken) < n && p.fits(w, demand) {
			p.take(w, demand)
			taken = append(taken, w)
		}
		if len(taken) == n {
			break
		}
	}
	return taken
}

// byFit returns the workers of a rack that have room for a task
// of the demand, the one that would have the least capacity left first.
func (p *planner) byFit(demand *Demand, rack int) []int {
	type candidate struct {
		worker int
		score  float64
	}
	var candidates []candidate
	for _, w := range p.racks[rack].workers {
		if eligible(&p.Workers[w], demand) && p.fits(w, demand) {
			candidates = append(candidates, candidate{w, p.score(w, demand)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	workers := make([]int, len(candidates))
	for i, c := range candidates {
		workers[i] = c.worker
	}
	return workers
}

// score rates a worker for one task; the lowest is the best.
func (p *planner) score(w int, demand *Demand) float64 {
	worker := &p.Workers[w]
	score := leftover(p.workers[w].free, demand.Step.Need)
	if worker.Suspect || worker.OnTrial && (demand.Priority == 0 || demand.Step.Gang) {
		score += suspectPenalty
	}
	if demand.Avoid[worker.ID] {
		score += 2 * suspectPenalty
	}
	return score
}

// suspectPenalty exceeds the leftover of any worker, so that suspect workers
// come last.
const suspectPenalty = 1e9

// AcceleratorWeight is the number of cores that an accelerator counts for when
// fits are compared. Lost work is weighted by the same ratio.
const AcceleratorWeight = 8

// leftover returns the capacity that a task would leave free on a worker, in
// cores.
func leftover(free, need batch.Need) float64 {
	cores := (float64(free.MilliCPU) - float64(need.MilliCPU)) / 1000
	return AcceleratorWeight*(float64(free.Accelerators)-float64(need.Accelerators)) + cores
}

func eligible(worker *Worker, demand *Demand) bool {
	return worker.Schedulable && worker.Service == demand.Service &&
		(demand.Step.Label == "" || slices.Contains(worker.Labels, demand.Step.Label))
}

// fits reports whether one more task of the demand may start on a worker now.
func (p *planner) fits(w int, demand *Demand) bool {
	state := &p.workers[w]
	need := ChargedNeed(demand.Step)
	if !Covers(state.free, need) || !p.withinStepLimit(w, demand) || !p.sharable(w, demand) {
		return false
	}
	if p.passesReservation(state, demand) || p.exceedsBetterWorkerWait(demand) {
		return true
	}
	return !p.outlastsReservation(state, demand) || Covers(state.spare, need)
}

// passesReservation reports whether a demand may use a worker that is reserved for a gang.
// Urgent work may, but what is beyond the guarantee of its organisation leaves to a gang
// what a guarantee covers.
func (p *planner) passesReservation(state *workerState, demand *Demand) bool {
	return demand.Priority == 0 && (!state.reservedForCovered || p.covered(demand))
}

// sharable reports whether a demand may use a worker beside what is there already.
func (p *planner) sharable(w int, demand *Demand) bool {
	state := &p.workers[w]
	switch {
	case state.isolatedFor != nil:
		return state.isolatedFor == demand
	case p.Workers[w].Isolated:
		return false
	case state.onTrial && !state.open():
		return false
	case demand.Isolated:
		return !p.Workers[w].Occupied && state.taken == 0
	}
	return true
}

// open reports whether a worker has no task, not even of this plan.
func (s *workerState) open() bool { return !s.occupied && s.taken == 0 }

func (p *planner) withinStepLimit(w int, demand *Demand) bool {
	limit := demand.Step.MaxPerWorker
	return limit <= 0 || p.Workers[w].StepTasks[demand.Key]+p.workers[w].stepTasks[demand.Key] < limit
}

// take assigns capacity of a worker to one task.
func (p *planner) take(w int, demand *Demand) {
	state := &p.workers[w]
	need := ChargedNeed(demand.Step)
	p.touch(w)
	state.free = Sub(state.free, need)
	if state.taken++; demand.Isolated {
		state.isolatedFor = demand
	}
	if p.outlastsReservation(state, demand) {
		state.spare = Sub(state.spare, need)
	}
	p.countStepTasks(w, demand, 1)
}

// release takes back take.
func (p *planner) release(w int, demand *Demand) {
	state := &p.workers[w]
	need := ChargedNeed(demand.Step)
	p.touch(w)
	state.free = Add(state.free, need)
	if state.taken--; state.taken == 0 {
		state.isolatedFor = nil
	}
	if p.outlastsReservation(state, demand) {
		state.spare = Add(state.spare, need)
	}
	p.countStepTasks(w, demand, -1)
}

// outlastsReservation reports whether a task of the demand would still run when the
// gang that has reserved the worker is expected to start.
func (p *planner) outlastsReservation(state *workerState, demand *Demand) bool {
	end := p.Now.Add(demand.runTime())
	return !state.reservedFrom.IsZero() && end.After(state.reservedFrom)
}

func (p *planner) countStepTasks(w int, demand *Demand, by int) {
	if demand.Step.MaxPerWorker <= 0 {
		return
	}
	if p.workers[w].stepTasks == nil {
		p.workers[w].stepTasks = map[StepKey]int{}
	}
	p.workers[w].stepTasks[demand.Key] += by
}
