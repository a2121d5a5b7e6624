// Package placement measures planners on generated arrivals with a fake clock.
// Jobs run for their real time once they are placed; there is no other model
// of a cluster.
package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Options of a run.
type Options struct {
	Seed    uint64
	Workers int
	PerRack int
	Days    int
	// Load scales the arrivals; 1 asks for about 80 % of the accelerators.
	Load float64
}

const (
	acceleratorsPerWorker = 8
	coresPerWorker        = 64
	memoryPerWorkerMB     = 128 << 10
	zoneName              = "kiruna"
	// largeAccelerators is the size from which a job counts as large.
	largeAccelerators = 16
	// referenceWorkers is the number of workers for which Load 1 is meant.
	referenceWorkers = 48
)

// arrival is a job with what the planner does not know about it.
type arrival struct {
	job    api.Job
	at     time.Duration
	real   time.Duration // run time
	cancel time.Duration // when the caller cancels it; 0 is never
}

// generator draws arrivals.
type generator struct {
	random *rand.Rand
	scale  float64
	out    []arrival
}

// generate draws small and large jobs at a steady rate, bursts of both, and
// waves in which callers cancel half of what they submitted shortly before.
func generate(o Options) []arrival {
	g := &generator{
		random: rand.New(rand.NewPCG(o.Seed, 0)),
		scale:  o.Load * float64(o.Workers) / referenceWorkers,
	}
	for day := range o.Days {
		start := time.Duration(day) * 24 * time.Hour
		g.steady(start, 24*time.Hour, 20, g.small)
		g.steady(start, 24*time.Hour, 2, g.large)
		for _, hour := range []int{7, 11, 15, 19} {
			g.burst(start+time.Duration(hour)*time.Hour, 150, g.small)
		}
		for _, hour := range []int{6, 13, 20} {
			g.burst(start+time.Duration(hour)*time.Hour, 8, g.large)
		}
		for _, hour := range []int{12, 21} {
			g.cancelWave(start + time.Duration(hour)*time.Hour)
		}
	}
	slices.SortStableFunc(g.out, func(a, b arrival) int { return int(a.at - b.at) })
	return g.out
}

// steady draws arrivals at an hourly rate.
func (g *generator) steady(start, length time.Duration, perHour float64, draw func(time.Duration)) {
	mean := float64(time.Hour) / (perHour * g.scale)
	for at := start; ; {
		at += time.Duration(g.random.ExpFloat64() * mean)
		if at >= start+length {
			return
		}
		draw(at)
	}
}

// burst draws arrivals within a minute.
func (g *generator) burst(at time.Duration, n int, draw func(time.Duration)) {
	for range int(float64(n) * g.scale) {
		draw(at + time.Duration(g.random.Int64N(int64(time.Minute))))
	}
}

// cancelWave cancels half of the jobs of the last hour.
func (g *generator) cancelWave(at time.Duration) {
	for i := range g.out {
		if a := &g.out[i]; a.at < at && at-a.at < time.Hour && g.random.IntN(2) == 0 {
			a.cancel = at
		}
	}
}

func (g *generator) small(at time.Duration) {
	accelerators := []int{1, 1, 2, 4}[g.random.IntN(4)]
	g.add(at, 1, accelerators, api.AdjacencyWorker, 30*time.Minute, [3]int{10, 40, 50})
}

func (g *generator) large(at time.Duration) {
	tasks := []int{2, 4, 4, 6}[g.random.IntN(4)]
	adjacency := api.AdjacencyRack
	if g.random.IntN(10) < 4 {
		adjacency = api.AdjacencyZone
	}
	g.add(at, tasks, acceleratorsPerWorker, adjacency, 2*time.Hour, [3]int{5, 30, 65})
}

// add draws a job. Real run times are log-normal; declared ones are off by a
// factor that is log-normal as well and can be ten and more, and one job in ten
// asks for twice the cores that it needs.
func (g *generator) add(at time.Duration, tasks, accelerators int, adjacency api.Adjacency, median time.Duration, urgency [3]int) {
	runTime := time.Duration(float64(median) * math.Exp(0.8*g.random.NormFloat64()))
	declared := time.Duration(float64(runTime) * math.Exp(1.2*g.random.NormFloat64()))
	cores := 4 * accelerators
	if g.random.IntN(10) == 0 {
		cores *= 2
	}
	id := fmt.Sprintf("j%05d", len(g.out))
	g.out = append(g.out, arrival{at: at, real: runTime, job: api.Job{
		ID: id, Organisation: organisations[g.weighted([]int{40, 30, 20, 10})], Adjacency: adjacency,
		Urgency: []api.Urgency{api.Urgent, api.Standard, api.Batch}[g.weighted(urgency[:])],
		State:   api.JobStateWaiting,
		Spec: api.JobSpec{
			Name: id, Tasks: tasks, RunTimeS: int64(declared / time.Second), Checkpoint: g.random.IntN(10) < 7,
			Resources: api.Resources{Cores: cores, MemoryMb: 1024, Accelerators: accelerators},
		},
	}})
}

func (g *generator) weighted(weights []int) int {
	n := g.random.IntN(100)
	for i, w := range weights {
		if n -= w; n < 0 {
			return i
		}
	}
	return len(weights) - 1
}

var organisations = []string{"crew", "county", "launch", "university"}

// catalogue gives three organisations whole workers in one rack and one of them
// small places.
func catalogue() api.Catalogue {
	shapes := []api.Shape{
		{Tasks: 4, Resources: api.Resources{Cores: 32, MemoryMb: 8192, Accelerators: 8}, Adjacency: api.AdjacencyRack},
		{Tasks: 4, Resources: api.Resources{Cores: 32, MemoryMb: 8192, Accelerators: 8}, Adjacency: api.AdjacencyRack},
		{Tasks: 2, Resources: api.Resources{Cores: 32, MemoryMb: 8192, Accelerators: 8}, Adjacency: api.AdjacencyRack},
		{Tasks: 8, Resources: api.Resources{Cores: 4, MemoryMb: 1024, Accelerators: 1}, Adjacency: api.AdjacencyWorker},
	}
	var c api.Catalogue
	for i, name := range organisations {
		shapes[i].Zone = zoneName
		c.Organisations = append(c.Organisations, api.Organisation{Name: name, Guarantees: shapes[i : i+1]})
	}
	return c
}

func newWorkers(o Options) []planner.Worker {
	out := make([]planner.Worker, o.Workers)
	for i := range out {
		out[i] = planner.Worker{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/o.PerRack), State: planner.WorkerLive,
			Cores: coresPerWorker, MemoryMB: memoryPerWorkerMB, Accelerators: acceleratorsPerWorker, AcceleratorModel: "a1",
		}
	}
	return out
}
