package placement_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/bench/placement"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// BenchmarkPlan measures the time of one plan at the target scale. The goal is less
// than 10 ms.
func BenchmarkPlan(b *testing.B) {
	for name, scale := range map[string]placement.Scale{"system": placement.WholeSystem, "zone": placement.OneZone} {
		s := scale.Snapshot()
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				planner.Compute(s)
			}
		})
	}
}

// TestScale guards against a generated snapshot that has fewer workers, accelerators,
// tasks or jobs than the target scale.
func TestScale(t *testing.T) {
	g := NewWithT(t)
	for _, scale := range []placement.Scale{placement.WholeSystem, placement.OneZone} {
		s := scale.Snapshot()
		tasks, accelerators := 0, 0
		for _, j := range s.Jobs {
			tasks += len(j.Placement)
		}
		for _, w := range s.Workers {
			accelerators += w.Accelerators
		}
		g.Expect(tasks).To(Equal(scale.Running))
		g.Expect(accelerators).To(Equal(scale.Accelerators))
		g.Expect(s.Workers).To(HaveLen(scale.Workers))
		p := planner.Compute(s)
		g.Expect(len(p.Placements) + len(p.Refusals) + len(p.Reasons)).To(Equal(scale.Waiting))
	}
}

// TestRun guards against a simulation whose results differ between runs with the same
// seed.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	var first string
	for range 2 {
		var out strings.Builder
		g.Expect(placement.Run(placement.Options{Seed: 3, Workers: 12, PerRack: 6, Days: 1, Load: 1}, &out)).To(Succeed())
		g.Expect(out.String()).To(ContainSubstring("chosen"))
		table, _, _ := strings.Cut(out.String(), "plan p50")
		if first == "" {
			first = table
		}
		g.Expect(table).To(Equal(first))
	}
}
