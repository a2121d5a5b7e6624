package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// amount draws an ordinary amount, or one at an edge.
func amount(t *rapid.T, name string) int64 {
	return rapid.OneOf(rapid.Int64Range(0, 64), rapid.SampledFrom([]int64{0, 1, -1, 64000, batch.MaxAmount, math.MaxInt64, math.MinInt64})).Draw(t, name)
}

func needOf(t *rapid.T, name string) batch.Need {
	return batch.Need{MilliCPU: amount(t, name+" cpu"), MemoryMb: amount(t, name+" memory"), Accelerators: amount(t, name+" accelerators")}
}

// drawSnapshot draws workers, demands and running work with values at the edges.
func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Now: time.Unix(1000, 0)}
	for i := range rapid.IntRange(0, 6).Draw(t, "workers") {
		w := Worker{ID: fmt.Sprint("w", i), Service: "s", Rack: rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "rack"),
			Schedulable: rapid.IntRange(0, 4).Draw(t, "schedulable") > 0, Suspect: rapid.IntRange(0, 5).Draw(t, "suspect") == 0,
			Isolated: rapid.IntRange(0, 8).Draw(t, "isolated") == 0, Free: needOf(t, "free"), Releasing: needOf(t, "releasing")}
		for range rapid.IntRange(0, 3).Draw(t, "releases") {
			w.Releases = append(w.Releases, Release{At: s.Now.Add(time.Duration(rapid.Int64Range(-1, 5).Draw(t, "release")) * time.Second), Need: needOf(t, "release")})
		}
		s.Workers = append(s.Workers, w)
	}
	for d := range rapid.IntRange(1, 5).Draw(t, "demands") {
		step := &batch.Step{Need: needOf(t, "need"), Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "same rack"), BestEffort: rapid.Bool().Draw(t, "best effort"),
			DataRack: rapid.SampledFrom([]string{"", "r0", "none"}).Draw(t, "data rack"), EstimateMs: rapid.SampledFrom([]int64{0, 1000, batch.MaxEstimateMs}).Draw(t, "estimate"),
			MaxPerWorker: rapid.SampledFrom([]int{0, 1, 2, -1, math.MaxInt}).Draw(t, "limit")}
		demand := Demand{Key: StepKey{Job: fmt.Sprint("j", d)}, Step: step, Service: "s", Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			StartableSince: s.Now.Add(-time.Duration(rapid.Int64Range(0, 10).Draw(t, "waited")) * time.Second), Objective: s.Now.Add(time.Minute), Isolated: rapid.IntRange(0, 6).Draw(t, "isolated") == 0}
		for i := range rapid.SampledFrom([]int{1, 2, 7, batch.MaxTasks}).Draw(t, "tasks") {
			demand.Tasks = append(demand.Tasks, i)
		}
		s.Demands = append(s.Demands, demand)
	}
	if len(s.Workers) > 0 {
		for g := range rapid.IntRange(0, 4).Draw(t, "groups") {
			group := EvictionGroup{ID: g, Priority: rapid.IntRange(0, 2).Draw(t, "group priority"), Loss: float64(g)}
			for range rapid.IntRange(1, 3).Draw(t, "group tasks") {
				group.Tasks = append(group.Tasks, EvictionTask{Worker: rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker"), Need: needOf(t, "held")})
			}
			s.Groups = append(s.Groups, group)
		}
	}
	return s
}

// Guards against a plan that hangs, fails or places more than fits because of amounts at
// the edges, of zero, negative or of 64 bits.
func TestPlansOfAnyAmountsEndAndKeepTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		planned := make(chan Result, 1)
		go func() { planned <- Plan(s) }()
		select {
		case result := <-planned:
			checkPlacements(t, s, result)
		case <-time.After(maxPlanTime):
			t.Fatal("the plan does not end")
		}
	})
}

// checkPlacements checks that gangs are whole and that no worker gets more than is free.
func checkPlacements(t *rapid.T, s Snapshot, result Result) {
	left := make([]batch.Need, len(s.Workers))
	for i, w := range s.Workers {
		left[i] = w.Free
	}
	for _, p := range result.Placements {
		demand := &s.Demands[p.Demand]
		if len(p.Tasks) != len(p.Workers) || demand.Step.Gang && len(p.Tasks) != len(demand.Tasks) {
			t.Fatalf("%d tasks of %d are placed on %d workers", len(p.Tasks), len(demand.Tasks), len(p.Workers))
		}
		perWorker := map[int]int{}
		need := ChargedNeed(demand.Step)
		for _, w := range p.Workers {
			if !s.Workers[w].Schedulable || !Covers(left[w], need) {
				t.Fatalf("a task that needs %+v is placed on %+v, which has %+v left", need, s.Workers[w], left[w])
			}
			left[w] = Sub(left[w], need)
			perWorker[w]++
		}
		for _, n := range perWorker {
			if limit := demand.Step.MaxPerWorker; limit > 0 && n > limit {
				t.Fatalf("%d tasks are placed on a worker, the limit is %d", n, limit)
			}
		}
	}
}
