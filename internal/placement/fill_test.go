package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// bestFitByScan is the straightforward search that fill must agree with: it looks at
// all workers for each task.
func bestFitByScan(p *planner, demand *Demand, rack int) int {
	best, bestScore := -1, 0.0
	for _, w := range p.racks[rack].workers {
		if !eligible(&p.Workers[w], demand) || !p.fits(w, demand) {
			continue
		}
		if score := p.score(w, demand); best < 0 || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func randomFleet(random *rand.Rand) Snapshot {
	now := time.Unix(1000, 0)
	snapshot := Snapshot{Now: now}
	for i := range 60 {
		free := batch.Need{MilliCPU: random.Int64N(64000), MemoryMb: random.Int64N(128000), Accelerators: random.Int64N(9)}
		snapshot.Workers = append(snapshot.Workers, Worker{
			ID: fmt.Sprint("w", i), Service: "s", Rack: fmt.Sprint("r", i%5), Schedulable: random.IntN(10) > 0, Suspect: random.IntN(8) == 0, Free: free,
			Releases: []Release{{At: now.Add(time.Duration(random.IntN(9000)) * time.Millisecond), Need: batch.Need{Accelerators: 8 - free.Accelerators}}},
		})
	}
	return snapshot
}

func randomDemand(random *rand.Rand, now time.Time, n int) Demand {
	step := &batch.Step{
		Need:       batch.Need{MilliCPU: random.Int64N(20000), MemoryMb: random.Int64N(40000), Accelerators: random.Int64N(5)},
		EstimateMs: random.Int64N(9000), BestEffort: random.IntN(6) == 0, MaxPerWorker: random.IntN(3),
	}
	d := Demand{Key: StepKey{Job: fmt.Sprint("j", n)}, Step: step, Service: "s", Priority: random.IntN(3), StartableSince: now, Avoid: map[string]bool{fmt.Sprint("w", random.IntN(60)): true}}
	for i := range 1 + random.IntN(40) {
		d.Tasks = append(d.Tasks, i)
	}
	return d
}

// Guards against placements that differ from the best fit of each single task, since
// fill looks at the workers only once for all tasks of a demand.
func TestFillAgreesWithAScanForEachTask(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			snapshot := randomFleet(random)
			fast, scanned := newPlanner(snapshot), newPlanner(snapshot)
			for n := range 6 {
				demand := randomDemand(random, snapshot.Now, n)
				if n == 2 {
					fast.reserve(&demand, []int{fast.fleet})
					scanned.reserve(&demand, []int{scanned.fleet})
					continue
				}
				rack := []int{fast.fleet, fast.rackIndex["r1"]}[random.IntN(2)]
				var want []int
				for range demand.Tasks {
					w := bestFitByScan(scanned, &demand, rack)
					if w < 0 {
						break
					}
					scanned.take(w, &demand)
					want = append(want, w)
				}
				g.Expect(fast.fill(&demand, rack, len(demand.Tasks))).To(gomega.Equal(want))
				g.Expect(fast.workers).To(gomega.Equal(scanned.workers))
			}
		})
	}
}

// Guards against capacity beside a reservation that is lost for a whole plan when a
// gang is tried on a worker and does not fit.
func TestReleaseTakesBackWhatTakeHasTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	snapshot := randomFleet(random)
	p := newPlanner(snapshot)
	gang := randomDemand(random, snapshot.Now, 0)
	gang.Step.MaxPerWorker = 0
	p.reserve(&gang, []int{p.fleet})
	before := append([]workerState(nil), p.workers...)
	long := Demand{Step: &batch.Step{Need: batch.Need{MilliCPU: 1}, EstimateMs: 60000}, Service: "s", Priority: 1, StartableSince: snapshot.Now}
	for w := range p.workers {
		p.take(w, &long)
		p.release(w, &long)
	}
	g.Expect(p.workers).To(gomega.Equal(before))
}

// Guards against a reservation on a worker that already runs as many tasks of the step
// as it may.
func TestSlotsCountRunningTasksOfTheStep(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	demand := Demand{Key: StepKey{Job: "j"}, Step: &batch.Step{Gang: true, Need: batch.Need{Accelerators: 1}, MaxPerWorker: 2}, Service: "s", Tasks: []int{0, 1, 2}}
	free := batch.Need{Accelerators: 8}
	p := newPlanner(Snapshot{Now: now, Demands: []Demand{demand}, Workers: []Worker{
		{ID: "w0", Service: "s", Schedulable: true, Free: free, StepTasks: map[StepKey]int{demand.Key: 2}},
		{ID: "w1", Service: "s", Schedulable: true, Free: free, StepTasks: map[StepKey]int{demand.Key: 1}},
	}})
	g.Expect(p.slots(p.shapeOf(&demand, false), p.fleet, 3, false)).To(gomega.Equal([]slot{{worker: 1}}))
}
