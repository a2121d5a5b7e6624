// Package placement simulates planners on generated job arrivals with a fake clock.
// Jobs hold their resources for their actual run time and may be preempted or cancelled;
// daemons, leases and failures are not modelled.
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

// Options configures a simulation.
type Options struct {
	Seed    uint64
	Workers int
	PerRack int // workers in a rack
	Days    int // days of arrivals
	// Load scales the arrival rates; 1 requests about 80 % of the accelerators.
	Load float64
}

const (
	acceleratorsPerWorker = 8
	coresPerWorker        = 64
	memoryPerWorkerMB     = 128 << 10
	zoneName              = "kiruna"
	// minLargeAccelerators is the total number of accelerators from which a job counts
	// as large.
	minLargeAccelerators = 16
	// referenceWorkers is the number of workers for which the arrival rates are set;
	// they scale in proportion to Options.Workers.
	referenceWorkers = 48
)

// arrival is a job with its actual run time and its cancellation, which the planner does
// not know in advance.
type arrival struct {
	job         api.Job
	submittedAt time.Duration // since the start of the simulation
	runTime     time.Duration // actual run time, which differs from the declared one
	cancelAt    time.Duration // since the start of the simulation; 0 if the caller does not cancel the job
}

// generator draws random arrivals.
type generator struct {
	random   *rand.Rand
	scale    float64 // factor of all arrival rates
	arrivals []arrival
}

// generateArrivals draws small and large jobs at a constant mean rate, bursts of both,
// and waves in which callers cancel about half of the jobs of the last hour. The result
// is sorted by time.
func generateArrivals(o Options) []arrival {
	g := &generator{
		random: rand.New(rand.NewPCG(o.Seed, 0)),
		scale:  o.Load * float64(o.Workers) / referenceWorkers,
	}
	for day := range o.Days {
		start := time.Duration(day) * 24 * time.Hour
		g.poisson(start, 24*time.Hour, 20, g.addSmallJob)
		g.poisson(start, 24*time.Hour, 2, g.addLargeJob)
		for _, hour := range []int{7, 11, 15, 19} {
			g.burst(start+time.Duration(hour)*time.Hour, 150, g.addSmallJob)
		}
		for _, hour := range []int{6, 13, 20} {
			g.burst(start+time.Duration(hour)*time.Hour, 8, g.addLargeJob)
		}
		for _, hour := range []int{12, 21} {
			g.cancelWave(start + time.Duration(hour)*time.Hour)
		}
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.submittedAt - b.submittedAt) })
	return g.arrivals
}

// poisson draws arrivals of a Poisson process with the given mean rate.
func (g *generator) poisson(start, length time.Duration, perHour float64, add func(time.Duration)) {
	meanInterval := float64(time.Hour) / (perHour * g.scale)
	for at := start; ; {
		at += time.Duration(g.random.ExpFloat64() * meanInterval)
		if at >= start+length {
			return
		}
		add(at)
	}
}

// burst draws n arrivals, times the scale, within one minute.
func (g *generator) burst(at time.Duration, n int, add func(time.Duration)) {
	for range int(float64(n) * g.scale) {
		add(at + time.Duration(g.random.Int64N(int64(time.Minute))))
	}
}

// cancelWave cancels each job of the last hour with a probability of one half.
func (g *generator) cancelWave(at time.Duration) {
	for i := range g.arrivals {
		if a := &g.arrivals[i]; a.submittedAt < at && at-a.submittedAt < time.Hour && g.random.IntN(2) == 0 {
			a.cancelAt = at
		}
	}
}

func (g *generator) addSmallJob(at time.Duration) {
	accelerators := []int{1, 1, 2, 4}[g.random.IntN(4)]
	g.addJob(at, 1, accelerators, api.AdjacencyWorker, 30*time.Minute, [3]int{10, 40, 50})
}

func (g *generator) addLargeJob(at time.Duration) {
	tasks := []int{2, 4, 4, 6}[g.random.IntN(4)]
	adjacency := api.AdjacencyRack
	if g.random.IntN(10) < 4 {
		adjacency = api.AdjacencyZone
	}
	g.addJob(at, tasks, acceleratorsPerWorker, adjacency, 2*time.Hour, [3]int{5, 30, 65})
}

// addJob draws a job. Its actual run time is log-normal. The declared one differs by a
// factor that is log-normal too and can be ten or more. One job in ten requests twice
// the cores that it needs.
func (g *generator) addJob(at time.Duration, tasks, accelerators int, adjacency api.Adjacency, median time.Duration, urgency [3]int) {
	runTime := time.Duration(float64(median) * math.Exp(0.8*g.random.NormFloat64()))
	declared := time.Duration(float64(runTime) * math.Exp(1.2*g.random.NormFloat64()))
	cores := 4 * accelerators
	if g.random.IntN(10) == 0 {
		cores *= 2
	}
	id := fmt.Sprintf("j%05d", len(g.arrivals))
	g.arrivals = append(g.arrivals, arrival{submittedAt: at, runTime: runTime, job: api.Job{
		ID: id, Organisation: organisations[g.weightedIndex([]int{40, 30, 20, 10})], Adjacency: adjacency,
		Urgency: []api.Urgency{api.Urgent, api.Standard, api.Batch}[g.weightedIndex(urgency[:])],
		State:   api.JobStateWaiting,
		Spec: api.JobSpec{
			Name: id, Tasks: tasks, RunTimeS: int64(declared / time.Second), Checkpoint: g.random.IntN(10) < 7,
			Resources: api.Resources{Cores: cores, MemoryMb: 1024, Accelerators: accelerators},
		},
	}})
}

// weightedIndex draws an index with the given weights, in percent.
func (g *generator) weightedIndex(weights []int) int {
	n := g.random.IntN(100)
	for i, w := range weights {
		if n -= w; n < 0 {
			return i
		}
	}
	return len(weights) - 1
}

var organisations = []string{"crew", "county", "launch", "university"}

// catalogue guarantees each of three organisations all accelerators of several workers in
// one rack, and the fourth small tasks on a single worker.
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
