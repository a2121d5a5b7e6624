package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// fullFleet returns a fleet without free accelerators. A share of the workers runs urgent
// work, which is not evicted; the others run gangs of priority 1 and single tasks of priority
// 2, both of which may be.
func fullFleet(workers int, urgentShare float64, random *rand.Rand) ([]placement.Worker, []placement.EvictionGroup) {
	fleet := workersInRacks(workers/8, 8)
	var groups []placement.EvictionGroup
	for i := range fleet {
		w := &fleet[i]
		occupy := func(n int64) {
			w.Free = placement.Sub(w.Free, needing(n))
			w.Releases = append(w.Releases, placement.Release{At: now.Add(time.Duration(random.IntN(9000)) * time.Millisecond), Need: needing(n)})
		}
		if random.Float64() < urgentShare {
			occupy(8)
			continue
		}
		for held := int64(0); held < 8; {
			n := min(8-held, []int64{1, 1, 2, 4}[random.IntN(4)])
			held += n
			occupy(n)
			g := len(groups) - 1 - random.IntN(20)
			if n == 1 || g < 0 || groups[g].Priority != 1 {
				groups = append(groups, placement.EvictionGroup{ID: len(groups), Priority: 1 + int(n)%2, Loss: float64(random.IntN(100000))})
				g = len(groups) - 1
			}
			groups[g].Tasks = append(groups[g].Tasks, placement.EvictionTask{Worker: i, Need: needing(n)})
		}
	}
	return fleet, groups
}

// urgentBurst returns urgent gangs of up to 46 tasks, four fifths of them for one rack, and
// for each four of them one group of work that is not urgent.
func urgentBurst(gangs int, random *rand.Rand) []placement.Demand {
	var demands []placement.Demand
	for i := range gangs {
		accelerators := []int64{1, 2, 4, 8, 8}[random.IntN(5)]
		tasks := 1 + min(int(random.ExpFloat64()*7), 45)
		d := demand(0, tasks, batch.Step{Gang: true, SameRack: random.IntN(5) > 0, Need: needing(accelerators), EstimateMs: 2500})
		d.Key.Job = fmt.Sprint("urgent", i)
		d.StartableSince = now.Add(-time.Duration(600+random.IntN(2000)) * time.Millisecond)
		d.EvictFrom = d.StartableSince.Add(600 * time.Millisecond)
		demands = append(demands, d)
		if i%4 == 0 {
			other := demand(2, 78, batch.Step{Need: needing(1), EstimateMs: 9000})
			other.Key.Job = fmt.Sprint("other", i)
			demands = append(demands, other)
		}
	}
	return demands
}

// burstSnapshot is the load of a burst of urgent jobs on a full fleet: few gangs find work
// to evict, and the others look for it in each rack.
func burstSnapshot(workers, gangs int, urgentShare float64) placement.Snapshot {
	random := rand.New(rand.NewPCG(40, 1))
	fleet, groups := fullFleet(workers, urgentShare, random)
	return placement.Snapshot{Now: now, Workers: fleet, Demands: urgentBurst(gangs, random), Groups: groups}
}

const (
	// burstWorkers and burstGangs are the size of a burst on the large deployment.
	burstWorkers = 1104
	burstGangs   = 150
	// maxBurstPlan keeps the plans of a dispatcher on 0.8 of a core within 200 ms of each
	// other: it plans for a fifth of its time.
	maxBurstPlan = 20 * time.Millisecond
	// dispatcherGCPercent is how often a dispatcher collects garbage.
	dispatcherGCPercent = 200
)

// burstShares are shares of the fleet that urgent work occupies: much work to evict, some,
// and hardly any.
var burstShares = []float64{0.2, 0.6, 0.9}

// threadTime returns the processor time of the calling thread. Unlike the time on a clock it
// does not depend on what else the machine does.
func threadTime(g *gomega.WithT) time.Duration {
	var usage syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)).To(gomega.Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against urgent work that begins seconds late because each plan takes hundreds of
// milliseconds when many urgent gangs wait in a full fleet.
func TestPlanOfAnUrgentBurstIsFast(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(dispatcherGCPercent))
	for _, share := range burstShares {
		for _, mayWait := range []bool{false, true} {
			t.Run(fmt.Sprint(share, mayWait), func(t *testing.T) {
				g := gomega.NewWithT(t)
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				snapshot := burstSnapshot(burstWorkers, burstGangs, share)
				if mayWait {
					letWait(&snapshot)
				}
				fastest := time.Hour
				for range 30 {
					start := threadTime(g)
					placement.Plan(snapshot)
					fastest = min(fastest, threadTime(g)-start)
				}
				t.Log("fastest plan:", fastest)
				g.Expect(fastest).To(gomega.BeNumerically("<=", maxBurstPlan))
			})
		}
	}
}

// letWait lets the urgent demands of a burst wait for the runs that end soon: a third of them are
// between the eviction wait and the time by which they have to evict.
func letWait(s *placement.Snapshot) {
	s.StopTime = longestStop
	for i := range s.Demands {
		d := &s.Demands[i]
		d.EvictBy = d.StartableSince.Add(reclaimLimit - longestStop - startTime - longestGap)
		d.LatestStart = d.EvictBy
	}
	for g := range s.Groups {
		releases := s.Workers[s.Groups[g].Tasks[0].Worker].Releases
		s.Groups[g].EndsAt = releases[g%len(releases)].At
	}
}

func BenchmarkPlanOfAnUrgentBurst(b *testing.B) {
	for _, share := range burstShares {
		for _, gangs := range []int{15, burstGangs} {
			b.Run(fmt.Sprintf("workers=%d/gangs=%d/urgent=%v", burstWorkers, gangs, share), func(b *testing.B) {
				snapshot := burstSnapshot(burstWorkers, gangs, share)
				evicted, placed := 0, 0
				for b.Loop() {
					result := placement.Plan(snapshot)
					evicted, placed = len(result.Evict), len(result.Placements)
				}
				b.ReportMetric(float64(evicted), "evicted")
				b.ReportMetric(float64(placed), "placed")
			})
		}
	}
}
