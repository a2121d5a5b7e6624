package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// busyFleet returns a fleet whose workers have 0 to 7 accelerators in use, and the running
// work that may be evicted.
func busyFleet(workers int) ([]placement.Worker, []placement.EvictionGroup) {
	fleet := workersInRacks(workers/8, 8)
	var groups []placement.EvictionGroup
	for i := range fleet {
		for task := range i % 8 {
			fleet[i].Free = placement.Sub(fleet[i].Free, needing(1))
			fleet[i].Releases = append(fleet[i].Releases, placement.Release{At: now.Add(time.Duration(i%9+task) * time.Second), Need: needing(1)})
			groups = append(groups, placement.EvictionGroup{ID: len(groups), Priority: 1 + task%2, Loss: float64(100 * task), Tasks: []placement.EvictionTask{{Worker: i, Need: needing(1)}}})
		}
	}
	return fleet, groups
}

// waitingGroups returns demands of the shapes that callers send: urgent gangs, gangs in
// one rack, and wide steps of small tasks.
func waitingGroups(n int) []placement.Demand {
	var demands []placement.Demand
	for i := range n {
		var d placement.Demand
		switch i % 4 {
		case 0:
			d = demand(0, 4, batch.Step{Gang: true, Need: needing(8)})
		case 1:
			d = demand(1, 6, batch.Step{Gang: true, SameRack: true, Need: needing(4)})
		default:
			d = demand(2, 20, batch.Step{Need: needing(1), EstimateMs: 9000})
		}
		d.Key.Job = fmt.Sprint(i)
		d.EvictFrom = now
		demands = append(demands, d)
	}
	return demands
}

// BenchmarkPlanOfOrganisations plans work that ten organisations wait with.
func BenchmarkPlanOfOrganisations(b *testing.B) {
	for _, groups := range []int{10, 200} {
		b.Run(fmt.Sprintf("workers=1104/groups=%d", groups), func(b *testing.B) {
			fleet, running := busyFleet(1104)
			snapshot := placement.Snapshot{Now: now, Workers: fleet, Demands: waitingGroups(groups), Groups: running, Usage: map[string]placement.Usage{}}
			for i := range snapshot.Demands {
				snapshot.Demands[i].Organisation = fmt.Sprint(i % 10)
				snapshot.Usage[fmt.Sprint(i%10)] = placement.Usage{Other: needing(int64(100 * (i % 10)))}
			}
			for b.Loop() {
				placement.Plan(snapshot)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{352, 1104, 3000} {
		for _, groups := range []int{10, 200} {
			b.Run(fmt.Sprintf("workers=%d/groups=%d", workers, groups), func(b *testing.B) {
				fleet, running := busyFleet(workers)
				snapshot := placement.Snapshot{Now: now, Workers: fleet, Demands: waitingGroups(groups), Groups: running}
				for b.Loop() {
					placement.Plan(snapshot)
				}
			})
		}
	}
}
