package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Guards against a worker on trial that gets more than one task: from one plan, beside a run,
// or as members of a gang; and against a gang that waits although it fits on the others.
func TestWorkersOnTrialGetOneTask(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := func(id string, trial bool) Worker {
		return Worker{ID: id, Rack: "r", Schedulable: true, OnTrial: trial, Free: batch.Need{MilliCPU: 8000, Accelerators: 8}}
	}
	for _, c := range []struct {
		name     string
		workers  []Worker
		gang     bool
		priority int
		tasks    int
		onTrial  int // tasks that start on the first worker
		placed   int
	}{
		{"single tasks", []Worker{worker("a", true)}, false, 1, 3, 1, 1},
		{"single tasks with another worker", []Worker{worker("a", true), worker("b", false)}, false, 1, 3, 1, 3},
		{"urgent tasks take another worker first", []Worker{worker("a", true), worker("b", false)}, false, 0, 3, 0, 3},
		{"a gang that does not fit", []Worker{worker("a", true)}, true, 1, 2, 0, 0},
		{"a gang that needs the worker for one task", []Worker{worker("a", true), worker("b", false)}, true, 1, 9, 1, 9},
		{"a gang that needs it for two", []Worker{worker("a", true), worker("b", false)}, true, 0, 10, 0, 0},
		{"beside a run", []Worker{{ID: "a", Schedulable: true, OnTrial: true, Occupied: true, Free: batch.Need{MilliCPU: 8000, Accelerators: 8}}}, false, 1, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := Demand{Priority: c.priority, Objective: now.Add(time.Minute), StartableSince: now, Step: &batch.Step{Tasks: c.tasks, Gang: c.gang, SameRack: c.gang, Need: batch.Need{MilliCPU: 100, Accelerators: 1}, EstimateMs: 1000}}
			for i := range c.tasks {
				d.Tasks = append(d.Tasks, i)
			}
			onTrial, placed := 0, 0
			for _, p := range Plan(Snapshot{Now: now, Workers: c.workers, Demands: []Demand{d}}).Placements {
				for _, w := range p.Workers {
					placed++
					if w == 0 {
						onTrial++
					}
				}
			}
			g.Expect([]int{onTrial, placed}).To(gomega.Equal([]int{c.onTrial, c.placed}))
		})
	}
}
