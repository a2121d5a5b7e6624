package placement

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// FirstFit is the baseline planner: it places jobs from the oldest on, each on the
// first workers with enough capacity. It ignores guarantees and urgency and preempts
// nothing. A job that does not fit is skipped, so that younger ones can start first.
func FirstFit(s planner.Snapshot) planner.Plan {
	free, workerIndex := make([]packing.Capacity, len(s.Workers)), make(map[string]int)
	for i, w := range s.Workers {
		free[i] = packing.Capacity{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: packing.FirstN(w.Accelerators)}
		workerIndex[w.ID] = i
	}
	var waiting []*api.Job
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.State == api.JobStateWaiting {
			waiting = append(waiting, j)
		}
		for _, t := range j.Placement {
			w := workerIndex[t.Worker]
			free[w] = free[w].Sub(packing.CapacityOf(j.Spec.Resources, 1, packing.SetOf(t.Accelerators)))
		}
	}
	slices.SortStableFunc(waiting, func(a, b *api.Job) int { return cmp.Compare(a.SubmittedMs, b.SubmittedMs) })
	var plan planner.Plan
	for _, j := range waiting {
		if tasks := firstFit(s.Workers, free, j); tasks != nil {
			plan.Placements = append(plan.Placements, planner.Placement{JobID: j.ID, Tasks: tasks})
		}
	}
	return plan
}

// firstFit tries each worker in turn as the first of the gang and fills the following
// ones as far as the adjacency allows. It returns nil if the gang does not fit.
func firstFit(workers []planner.Worker, free []packing.Capacity, j *api.Job) []api.TaskPlacement {
	for first := range workers {
		var chosen []int
		for w := first; w < len(workers) && len(chosen) < j.Spec.Tasks; w++ {
			if j.Adjacency == api.AdjacencyWorker && w != first ||
				j.Adjacency == api.AdjacencyRack && workers[w].Rack != workers[first].Rack {
				break
			}
			for range free[w].MaxTasks(j.Spec.Resources, j.Spec.Tasks-len(chosen)) {
				chosen = append(chosen, w)
			}
		}
		if len(chosen) == j.Spec.Tasks {
			return allocate(workers, free, j, chosen)
		}
		if j.Adjacency == api.AdjacencyZone {
			return nil
		}
	}
	return nil
}

// allocate places the tasks on the chosen workers and subtracts them from free.
func allocate(workers []planner.Worker, free []packing.Capacity, j *api.Job, chosen []int) []api.TaskPlacement {
	out := make([]api.TaskPlacement, len(chosen))
	for i, w := range chosen {
		set := free[w].Accelerators.Lowest(j.Spec.Resources.Accelerators)
		free[w] = free[w].Sub(packing.CapacityOf(j.Spec.Resources, 1, set))
		out[i] = api.TaskPlacement{Index: i, Worker: workers[w].ID, Accelerators: set.Indices()}
	}
	return out
}
