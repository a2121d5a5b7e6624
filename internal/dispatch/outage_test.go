package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// testFleet returns live workers, rackSize to a rack, whose racks take turns among zones.
func testFleet(workers, zones, rackSize int) []neighbour {
	fleet := make([]neighbour, workers)
	for i := range fleet {
		rack := i / rackSize
		fleet[i].place = place{zone: fmt.Sprintf("z%d", rack%zones), rack: fmt.Sprintf("r%d", rack)}
	}
	return fleet
}

// judgeAll returns how many workers have fallen and how many of these losses are widespread.
func judgeAll(fleet []neighbour) (fallen, widespreadLosses int) {
	for i, lost := range fleet {
		if !lost.fallen {
			continue
		}
		fallen++
		others := append(append([]neighbour{}, fleet[:i]...), fleet[i+1:]...)
		if widespread(lost, others) {
			widespreadLosses++
		}
	}
	return fallen, widespreadLosses
}

type fleetSize struct{ workers, zones, rackSize int }

var fleetSizes = []fleetSize{{8, 1, 8}, {8, 2, 2}, {60, 3, 5}, {350, 3, 14}, {1100, 4, 20}}

// Guards against tasks that crash their workers at once and excuse each other, the more so
// the more workers there are.
func TestTasksThatCrashWorkersAtOnceAreNoOutage(t *testing.T) {
	for _, size := range fleetSizes {
		for _, share := range []float64{0.05, 0.1, 0.2, 0.33} {
			for _, c := range []cause{fresh, suspected} {
				t.Run(fmt.Sprintf("%d of %v cause %d", int(share*float64(size.workers)), size, c), func(t *testing.T) {
					g := gomega.NewWithT(t)
					all, excused := 0, 0
					for seed := range uint64(max(2, 1200/size.workers)) {
						fleet := testFleet(size.workers, size.zones, size.rackSize)
						random := rand.New(rand.NewPCG(seed, 1))
						for _, i := range random.Perm(size.workers)[:int(share*float64(size.workers))] {
							fleet[i].fallen, fleet[i].cause = true, c
						}
						fallen, widespreadLosses := judgeAll(fleet)
						all, excused = all+fallen, excused+widespreadLosses
					}
					g.Expect(excused).To(gomega.BeNumerically("<=", all/50))
				})
			}
		}
	}
}

// Guards against suspected tasks that are isolated in whole racks, one after the other, and
// whose crashes look like the outage of a rack.
func TestIsolatedTasksThatCrashWholeRacksAreNoOutage(t *testing.T) {
	for _, size := range fleetSizes {
		g := gomega.NewWithT(t)
		fleet := testFleet(size.workers, size.zones, size.rackSize)
		for i := range min(3*size.rackSize, size.workers/2) {
			fleet[i].fallen, fleet[i].cause = true, suspected
		}
		_, widespreadLosses := judgeAll(fleet)
		g.Expect(widespreadLosses).To(gomega.BeZero(), "%v", size)
	}
}

// Guards against the outage of a zone, a rack or all that is taken for crashes by tasks: in a
// busy fleet each worker has a run that could be the cause.
func TestOutageIsWidespread(t *testing.T) {
	for _, size := range fleetSizes {
		for _, kind := range []string{"zone", "rack", "all"} {
			for _, busy := range []float64{0, 0.5, 0.9, 1} {
				t.Run(fmt.Sprintf("%s of %v, %v busy", kind, size, busy), func(t *testing.T) {
					g := gomega.NewWithT(t)
					fleet := testFleet(size.workers, size.zones, size.rackSize)
					random := rand.New(rand.NewPCG(1, 1))
					for i := range fleet {
						if kind == "zone" && fleet[i].zone != "z0" || kind == "rack" && fleet[i].rack != "r0" {
							continue
						}
						fleet[i].fallen = true
						if random.Float64() < busy {
							fleet[i].cause = fresh
						}
					}
					fallen, widespreadLosses := judgeAll(fleet)
					if tell := fallen > minFallen || busy == 0 && fallen > minUnexplained; tell {
						g.Expect(widespreadLosses).To(gomega.Equal(fallen))
					}
				})
			}
		}
	}
}

// Guards against jobs that fail though nothing but the outages of two zones took their
// workers, the second while the tasks of the first start again, and though each outage took
// two: the next start went to a worker that was not known to be down.
func TestTwoOutagesInARowFailNoJob(t *testing.T) {
	for _, size := range fleetSizes[1:4] {
		for _, busy := range []float64{0, 0.5, 1} {
			t.Run(fmt.Sprintf("%v, %v busy", size, busy), func(t *testing.T) {
				g := gomega.NewWithT(t)
				tracker := batch.NewTracker(batch.Job{ID: "j", MaxAttempts: 1, Steps: []batch.Step{{Tasks: 1}}})
				tracker.OpenDue(time.Unix(1000, 0))
				task := &tracker.Units[0].Tasks[0]
				for outage := range 2 {
					fleet := testFleet(size.workers, size.zones, size.rackSize)
					random := rand.New(rand.NewPCG(1, 1))
					lost := -1
					for i := range fleet {
						if fleet[i].zone != fmt.Sprintf("z%d", outage) {
							continue
						}
						lost, fleet[i].fallen = i, true
						if random.Float64() < busy {
							fleet[i].cause = cause(1 + outage) // suspected tasks of the first outage run beside others
						}
					}
					for range 2 {
						verdict := widespread(fleet[lost], append(append([]neighbour{}, fleet[:lost]...), fleet[lost+1:]...))
						isolated := task.Suspect()
						ref := tracker.Assign(tracker.Units[0], 0, batch.WorkerIncarnation{ID: "w"})
						task.Isolated = isolated
						tracker.Lose(ref, batch.Loss{Widespread: verdict}, "", time.Unix(1001, 0))
						fleet[lost].cause = suspected
					}
				}
				g.Expect(tracker.State).To(gomega.Equal(batch.Running), "%+v", task.Losses)
			})
		}
	}
}

// Guards against tasks that crash their workers while a zone is out and are excused, though
// an early loss under them came before.
func TestSuspectedTasksBesideAnOutageAreNoPartOfIt(t *testing.T) {
	g := gomega.NewWithT(t)
	fleet := testFleet(60, 3, 5)
	for i := range fleet {
		fleet[i].fallen = fleet[i].zone == "z0"
	}
	lost := -1
	for i := range fleet {
		if fleet[i].zone == "z1" && i%4 == 0 {
			fleet[i].fallen, fleet[i].cause, lost = true, suspected, i
		}
	}
	g.Expect(widespread(fleet[lost], append(fleet[:lost:lost], fleet[lost+1:]...))).To(gomega.BeFalse())
}

// Guards against a share of the fleet that crashes for causes outside of the work and is
// taken for crashes by tasks.
func TestCrashesWithoutARunThatExplainsThemAreWidespread(t *testing.T) {
	for _, size := range fleetSizes[2:] {
		g := gomega.NewWithT(t)
		fleet := testFleet(size.workers, size.zones, size.rackSize)
		random := rand.New(rand.NewPCG(1, 1))
		for n, i := range random.Perm(size.workers)[:size.workers*2/10] {
			fleet[i].fallen, fleet[i].cause = true, fresh
			if n%3 == 0 {
				fleet[i].cause = unexplained
			}
		}
		fallen, widespreadLosses := judgeAll(fleet)
		g.Expect(widespreadLosses).To(gomega.Equal(fallen), "%v", size)
	}
}
