package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// maxPlanTime is far above the time that these small plans take, and far below a lease.
const maxPlanTime = 2 * time.Second

// planWithin fails the test if a plan does not end: a plan that hangs stops all starts.
func planWithin(t *testing.T, snapshot Snapshot) Result {
	t.Helper()
	planned := make(chan Result, 1)
	go func() { planned <- Plan(snapshot) }()
	select {
	case result := <-planned:
		return result
	case <-time.After(maxPlanTime):
		t.Fatal("the plan does not end")
	}
	return Result{}
}

func idleFleet(racks, perRack int, free batch.Need) Snapshot {
	snapshot := Snapshot{Now: time.Unix(1000, 0)}
	for i := range racks * perRack {
		snapshot.Workers = append(snapshot.Workers, Worker{ID: fmt.Sprint("w", i), Service: "s", Rack: fmt.Sprint("r", i/perRack), Schedulable: true, Free: free})
	}
	return snapshot
}

func gangOf(tasks int, step batch.Step, now time.Time) Demand {
	step.Gang = true
	d := Demand{Key: StepKey{Job: "gang"}, Step: &step, Service: "s", Priority: 1, StartableSince: now, Objective: now.Add(time.Minute)}
	for i := range tasks {
		d.Tasks = append(d.Tasks, i)
	}
	return d
}

// Guards against a gang whose charged need is zero or tiny beside the capacity of the
// workers: how many of its tasks a worker can take was counted one by one.
func TestPlanOfAGangEndsWhateverItsTasksNeed(t *testing.T) {
	ordinary := batch.Need{MilliCPU: 64000, MemoryMb: 131072, Accelerators: 8}
	huge := batch.Need{MilliCPU: 1<<63 - 1, MemoryMb: 1<<63 - 1, Accelerators: 1<<63 - 1}
	for name, c := range map[string]struct {
		free batch.Need
		step batch.Step
	}{
		"best effort, one rack": {ordinary, batch.Step{Need: batch.Need{MilliCPU: 500}, SameRack: true, BestEffort: true}},
		"no need, one rack":     {ordinary, batch.Step{SameRack: true}},
		"no need, data rack":    {ordinary, batch.Step{DataRack: "r0"}},
		"no need, any rack":     {ordinary, batch.Step{}},
		"tiny need, one rack":   {huge, batch.Step{Need: batch.Need{MilliCPU: 1}, SameRack: true}},
		"huge workers":          {huge, batch.Step{Need: batch.Need{MilliCPU: 1000, Accelerators: 1}, SameRack: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			snapshot := idleFleet(2, 3, c.free)
			snapshot.Demands = []Demand{gangOf(3, c.step, snapshot.Now)}
			result := planWithin(t, snapshot)
			g.Expect(result.Placements).To(gomega.HaveLen(1))
			g.Expect(result.Placements[0].Workers).To(gomega.HaveLen(3))
		})
	}
}

// Guards against the same in the reservation for a gang that has to wait: the workers are
// draining of other work, or already have the most tasks of the step.
func TestReservationForAGangEndsWhateverItsTasksNeed(t *testing.T) {
	for name, step := range map[string]batch.Step{
		"no need":   {MaxPerWorker: 1},
		"tiny need": {Need: batch.Need{MilliCPU: 1}, MaxPerWorker: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			snapshot := idleFleet(1, 2, batch.Need{MilliCPU: 1 << 62, MemoryMb: 1 << 62})
			snapshot.Demands = []Demand{gangOf(3, step, snapshot.Now)}
			g.Expect(planWithin(t, snapshot).Placements).To(gomega.BeEmpty())
		})
	}
	// Without a limit per worker the gang waits for the memory of running work.
	snapshot := idleFleet(1, 2, batch.Need{MilliCPU: 1 << 62})
	for i := range snapshot.Workers {
		snapshot.Workers[i].Releases = []Release{{At: snapshot.Now.Add(time.Second), Need: batch.Need{MemoryMb: 1 << 62}}}
	}
	snapshot.Demands = []Demand{gangOf(3, batch.Step{Need: batch.Need{MemoryMb: 1}}, snapshot.Now)}
	gomega.NewWithT(t).Expect(planWithin(t, snapshot).Placements).To(gomega.BeEmpty())
}
