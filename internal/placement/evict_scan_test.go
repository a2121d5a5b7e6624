package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// scanTrial is a possible set of evictions, found by looking at all workers of a rack for each
// task of a gang.
type scanTrial struct {
	shape *shape
	free  map[int]batch.Need
	evict []int
	loss  float64
}

func (trial *scanTrial) freeOn(p *planner, w int) batch.Need {
	if free, changed := trial.free[w]; changed {
		return free
	}
	return p.expectedFree(w, trial.shape)
}

// evictByScan is the straightforward search that cheapestRack must agree with. It returns nil
// if the gang fits in no rack.
func evictByScan(p *planner, s *shape, demand *Demand, reclaims bool, racks []int) *scanTrial {
	var best *scanTrial
	for _, rack := range racks {
		trial := &scanTrial{shape: s, free: map[int]batch.Need{}}
		fits := true
		for range demand.Tasks {
			fits = fits && addTaskByScan(p, demand, reclaims, rack, trial)
		}
		if fits && (best == nil || trial.loss < best.loss) {
			best = trial
		}
	}
	return best
}

func addTaskByScan(p *planner, demand *Demand, reclaims bool, rack int, trial *scanTrial) bool {
	best, bestLoss, bestLeft := -1, 0.0, 0.0
	var bestGroups []int
	need := ChargedNeed(demand.Step)
	for _, w := range p.racks[rack].workers {
		if p.Workers[w].Suspect || !eligible(&p.Workers[w], demand) || !p.sharable(w, demand) {
			continue
		}
		groups, loss, ok := victimsByScan(p, w, demand, reclaims, trial)
		left := leftover(trial.freeOn(p, w), need)
		if ok && (best < 0 || loss < bestLoss || loss == bestLoss && left < bestLeft) {
			best, bestLoss, bestLeft, bestGroups = w, loss, left, groups
		}
	}
	if best < 0 {
		return false
	}
	for _, g := range bestGroups {
		for _, task := range p.Groups[g].Tasks {
			trial.free[task.Worker] = Add(trial.freeOn(p, task.Worker), task.Need)
		}
	}
	trial.evict = append(trial.evict, bestGroups...)
	trial.loss += bestLoss
	trial.free[best] = Sub(trial.freeOn(p, best), need)
	return true
}

// costByScan is the work that an eviction loses, once more for each earlier eviction, and twice
// that if the job misses its objective.
func costByScan(group *EvictionGroup) float64 {
	cost := group.Loss + group.Loss*float64(group.Evictions)
	if group.MissesObjective {
		cost += cost
	}
	return cost
}

// sparedByScan reports whether a group is left alone: it was evicted three times already, or it
// ends as soon as a stop would have ended it. Neither holds for all demands.
func sparedByScan(p *planner, demand *Demand, group *EvictionGroup) bool {
	if group.Evictions >= 3 && p.uncovered[demand] {
		return true
	}
	deadline := demand.LatestStart
	if !p.uncovered[demand] && demand.EvictBy.Before(deadline) {
		deadline = demand.EvictBy
	}
	part := int64(150 * time.Millisecond)
	return p.StopTime > 0 && !group.EndsAt.After(p.Now.Add(p.StopTime)) && p.Now.Before(deadline) && group.EndsAt.UnixNano()/part < deadline.UnixNano()/part
}

func victimsByScan(p *planner, w int, demand *Demand, reclaims bool, trial *scanTrial) ([]int, float64, bool) {
	need := ChargedNeed(demand.Step)
	free := trial.freeOn(p, w)
	var order []int
	for g := range p.Groups {
		holds := slices.ContainsFunc(p.Groups[g].Tasks, func(task EvictionTask) bool { return task.Worker == w })
		if holds && !p.evicted[g] && !slices.Contains(trial.evict, g) && (p.Groups[g].Priority > 0 || reclaims && p.borrowers[g]) && !sparedByScan(p, demand, &p.Groups[g]) {
			order = append(order, g)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(costByScan(&p.Groups[a]) - costByScan(&p.Groups[b])) })
	held := func(g int) (sum batch.Need) {
		for _, task := range p.Groups[g].Tasks {
			if task.Worker == w {
				sum = Add(sum, task.Need)
			}
		}
		return sum
	}
	n := 0
	for ; n < len(order) && !Covers(free, need); n++ {
		free = Add(free, held(order[n]))
	}
	if !Covers(free, need) {
		return nil, 0, false
	}
	var needed []int
	loss := 0.0
	for _, g := range slices.Backward(order[:n]) {
		if without := Sub(free, held(g)); Covers(without, need) {
			free = without
			continue
		}
		needed = append(needed, g)
		loss += costByScan(&p.Groups[g])
	}
	return needed, loss, true
}

// randomBusyFleet returns a fleet with running gangs and single tasks of all priorities, and
// guarantees that some organisations exceed.
func randomBusyFleet(random *rand.Rand) Snapshot {
	s := randomFleet(random)
	for g := range 90 {
		group := EvictionGroup{ID: g, Priority: random.IntN(3), Loss: float64(random.IntN(30)), Organisation: fmt.Sprint("o", random.IntN(4)), StartedAt: s.Now.Add(-time.Duration(random.IntN(9)) * time.Second),
			EndsAt: s.Now.Add(time.Duration(100+random.IntN(4000)) * time.Millisecond), Evictions: random.IntN(5) * random.IntN(2), MissesObjective: random.IntN(3) == 0}
		for range 1 + random.IntN(4)*random.IntN(2) {
			task := EvictionTask{Worker: random.IntN(len(s.Workers)), Need: batch.Need{MilliCPU: random.Int64N(20000), MemoryMb: random.Int64N(40000), Accelerators: random.Int64N(5)}}
			group.Tasks = append(group.Tasks, task)
			w := &s.Workers[task.Worker]
			w.Releases = append(w.Releases, Release{At: group.EndsAt, Need: task.Need})
		}
		s.Groups = append(s.Groups, group)
	}
	s.StopTime = time.Duration(random.IntN(2)*900) * time.Millisecond
	s.Guarantees = map[string]Guarantee{}
	for o := range 4 {
		s.Guarantees[fmt.Sprint("o", o)] = Guarantee{Accelerators: random.Int64N(40), Held: random.Int64N(60)}
	}
	return s
}

// Guards against evictions that lose more work than the straightforward search, because what
// was found out for one gang is used for another although a worker has changed in between.
func TestEvictionsAgreeWithAScanForEachTask(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 2))
			p := newPlanner(randomBusyFleet(random))
			needs := []batch.Need{{MilliCPU: 20000, Accelerators: 2}, {MilliCPU: 9000, MemoryMb: 30000, Accelerators: 6}}
			for n := range 14 {
				demand := Demand{Key: StepKey{Job: fmt.Sprint("j", n)}, Service: "s", Step: &batch.Step{Gang: true, Need: needs[random.IntN(2)]}, Tasks: make([]int, 1+random.IntN(6))}
				racks := []int{0, 1, 2, 3, 4}
				if random.IntN(3) == 0 {
					racks = []int{p.fleet}
				}
				reclaims := random.IntN(2) == 0
				wait := func() time.Time { return p.Now.Add(time.Duration(random.IntN(2000)-500) * time.Millisecond) }
				demand.LatestStart, demand.EvictBy = wait(), wait()
				p.uncovered[&demand] = random.IntN(2) == 0
				s := p.evictionShape(&demand, evictionRound{reclaims: reclaims})
				want := evictByScan(p, s, &demand, reclaims, racks)
				found := p.cheapestRack(s, racks, len(demand.Tasks))
				g.Expect(found == nil).To(gomega.Equal(want == nil))
				if want == nil {
					continue
				}
				before := len(p.result.Evict)
				p.apply(s, found.choices[:len(demand.Tasks)], Eviction{})
				g.Expect(p.result.Evict[before:]).To(gomega.ConsistOf(want.evict))
				for w, free := range want.free {
					g.Expect(p.expectedFree(w, s)).To(gomega.Equal(free))
				}
				if taken := random.IntN(len(p.workers)); p.fits(taken, &demand) {
					p.take(taken, &demand)
				}
			}
		})
	}
}
