package placement

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// FirstFit is the baseline: jobs in the order of their age, each on the first
// workers that hold it. It knows no guarantees, urgency or preemption, and jobs
// overtake those that do not fit.
func FirstFit(s planner.Snapshot) planner.Plan {
	free, index := make([]packing.Capacity, len(s.Workers)), make(map[string]int)
	for i, w := range s.Workers {
		free[i] = packing.Capacity{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: packing.FirstN(w.Accelerators)}
		index[w.ID] = i
	}
	var waiting []*api.Job
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.State == api.JobStateWaiting {
			waiting = append(waiting, j)
		}
		for _, t := range j.Placement {
			w := index[t.Worker]
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

// firstFit fills the gang from each worker on, within what its adjacency allows.
func firstFit(workers []planner.Worker, free []packing.Capacity, j *api.Job) []api.TaskPlacement {
	for first := range workers {
		var picked []int
		for w := first; w < len(workers) && len(picked) < j.Spec.Tasks; w++ {
			if j.Adjacency == api.AdjacencyWorker && w != first ||
				j.Adjacency == api.AdjacencyRack && workers[w].Rack != workers[first].Rack {
				break
			}
			for range free[w].MaxTasks(j.Spec.Resources, j.Spec.Tasks-len(picked)) {
				picked = append(picked, w)
			}
		}
		if len(picked) == j.Spec.Tasks {
			return takeAll(workers, free, j, picked)
		}
		if j.Adjacency == api.AdjacencyZone {
			return nil
		}
	}
	return nil
}

func takeAll(workers []planner.Worker, free []packing.Capacity, j *api.Job, picked []int) []api.TaskPlacement {
	out := make([]api.TaskPlacement, len(picked))
	for i, w := range picked {
		set := free[w].Accelerators.Lowest(j.Spec.Resources.Accelerators)
		free[w] = free[w].Sub(packing.CapacityOf(j.Spec.Resources, 1, set))
		out[i] = api.TaskPlacement{Index: i, Worker: workers[w].ID, Accelerators: set.Indices()}
	}
	return out
}
