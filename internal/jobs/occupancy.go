package jobs

import (
	"fmt"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// occupancy tracks the resources that job rows and orphaned tasks hold on the
// workers of a zone.
type occupancy struct {
	workers map[string]planner.Worker
	used    map[string]*usage
}

type usage struct {
	cores        int
	memoryMB     int64
	accelerators map[int]bool
}

func newOccupancy(workers []planner.Worker) *occupancy {
	o := &occupancy{workers: map[string]planner.Worker{}, used: map[string]*usage{}}
	for _, w := range workers {
		o.workers[w.ID] = w
		for _, orphan := range w.Orphans {
			o.add(w.ID, orphan.Resources, orphan.Accelerators)
		}
	}
	return o
}

func (o *occupancy) add(worker string, r api.Resources, accelerators []int) {
	u := o.used[worker]
	if u == nil {
		u = &usage{accelerators: map[int]bool{}}
		o.used[worker] = u
	}
	u.cores += r.Cores
	u.memoryMB += r.MemoryMb
	for _, a := range accelerators {
		u.accelerators[a] = true
	}
}

func (o *occupancy) addJob(job api.Job) {
	for _, t := range job.Placement {
		o.add(t.Worker, job.Spec.Resources, t.Accelerators)
	}
}

// reserve reserves the resources of a placement if they are free on live workers.
// Otherwise it reserves nothing and returns the reason.
func (o *occupancy) reserve(job api.Job, tasks []api.TaskPlacement) string {
	reserved := newOccupancy(nil)
	indices := map[int]bool{}
	for _, t := range tasks {
		if reason := o.check(reserved, job.Spec.Resources, t); reason != "" {
			return reason
		}
		if indices[t.Index] || t.Index < 0 || t.Index >= len(tasks) {
			return fmt.Sprintf("task index %d is repeated or out of range", t.Index)
		}
		indices[t.Index] = true
		reserved.add(t.Worker, job.Spec.Resources, t.Accelerators)
	}
	for _, t := range tasks {
		o.add(t.Worker, job.Spec.Resources, t.Accelerators)
	}
	return ""
}

func (o *occupancy) check(reserved *occupancy, r api.Resources, t api.TaskPlacement) string {
	w, known := o.workers[t.Worker]
	if !known || w.State != planner.WorkerLive {
		return fmt.Sprintf("worker %s is not live", t.Worker)
	}
	if len(t.Accelerators) != r.Accelerators {
		return fmt.Sprintf("task %d has %d accelerators instead of %d", t.Index, len(t.Accelerators), r.Accelerators)
	}
	cores, memory := r.Cores, r.MemoryMb
	listed := map[int]bool{}
	for _, u := range []*usage{o.used[t.Worker], reserved.used[t.Worker]} {
		if u == nil {
			continue
		}
		cores += u.cores
		memory += u.memoryMB
		for _, a := range t.Accelerators {
			if u.accelerators[a] {
				return fmt.Sprintf("accelerator %d of worker %s is taken", a, t.Worker)
			}
		}
	}
	for _, a := range t.Accelerators {
		if a < 0 || a >= w.Accelerators || listed[a] {
			return fmt.Sprintf("accelerator %d of worker %s does not exist or is named twice", a, t.Worker)
		}
		listed[a] = true
	}
	if cores > w.Cores || memory > w.MemoryMB {
		return fmt.Sprintf("worker %s has too few cores or too little memory", t.Worker)
	}
	return ""
}
