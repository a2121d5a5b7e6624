package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// mixedSnapshot returns a busy fleet and waiting work of all kinds of one organisation.
func mixedSnapshot(random *rand.Rand) Snapshot {
	snapshot := idleFleet(4, 4, batch.Need{MilliCPU: 64000, MemoryMb: 128000, Accelerators: 8})
	for w := range snapshot.Workers {
		need := batch.Need{MilliCPU: 1000, MemoryMb: 1000, Accelerators: random.Int64N(9)}
		worker := &snapshot.Workers[w]
		worker.Free = Sub(worker.Free, need)
		worker.Releases = []Release{{At: snapshot.Now.Add(time.Duration(random.IntN(5000)) * time.Millisecond), Need: need}}
		snapshot.Groups = append(snapshot.Groups, EvictionGroup{ID: w, Priority: random.IntN(3), Organisation: "o", Loss: float64(random.IntN(1000)), Tasks: []EvictionTask{{Worker: w, Need: need}}})
	}
	for i := range 40 {
		step := batch.Step{Need: batch.Need{MilliCPU: 1000, MemoryMb: 1000, Accelerators: 1 + random.Int64N(8)}, EstimateMs: 1000 + random.Int64N(9000), SameRack: random.IntN(2) == 0}
		d := gangOf(1+random.IntN(5), step, snapshot.Now.Add(-time.Duration(random.IntN(3000))*time.Millisecond))
		d.Step.Gang = random.IntN(2) == 0
		d.Key.Job, d.Organisation, d.Priority = fmt.Sprint(i), "o", random.IntN(3)
		d.Objective = snapshot.Now.Add(time.Duration(random.IntN(20000)-2000) * time.Millisecond)
		d.EvictFrom = d.StartableSince.Add(600 * time.Millisecond)
		snapshot.Demands = append(snapshot.Demands, d)
	}
	snapshot.Usage = map[string]Usage{"o": {Other: batch.Need{MilliCPU: 16000, Accelerators: 64}}}
	if random.IntN(2) == 0 {
		snapshot.Guarantees = map[string]Guarantee{"o": {Accelerators: 40, Held: random.Int64N(60)}}
	}
	return snapshot
}

// Guards against shares that change the plans of a fleet with one organisation.
func TestPlanOfOneOrganisationDoesNotDependOnShares(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(300) {
		snapshot := mixedSnapshot(rand.New(rand.NewPCG(seed, 1)))
		ordered := newPlanner(snapshot)
		for _, d := range ordered.order() {
			ordered.placing = d
			ordered.place(d)
		}
		g.Expect(Plan(snapshot)).To(gomega.Equal(ordered.result), fmt.Sprint("seed ", seed))
	}
}
