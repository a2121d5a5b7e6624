package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Guards against metrics that grow with the names that callers use, and against shares of
// organisations that are shown although they hold nothing any more.
func TestMetricsOfSharesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	scope := tally.NewTestScope("", nil)
	term, _ := newLossyTerm(g, Config{Scope: scope})
	for round := range 3 {
		shares := map[string]float64{}
		for n := range maxShareTags {
			shares[fmt.Sprint("o", round, "-", n)] = 0.5
		}
		term.setShares(shares)
	}
	g.Expect(len(scope.Snapshot().Gauges())).To(gomega.Equal(maxShareTags + 1))
	g.Expect(scope.Snapshot().Gauges()["dominant_share+organisation="+otherTag].Value()).To(gomega.Equal(0.5))
	term.setShares(nil)
	for _, gauge := range scope.Snapshot().Gauges() {
		g.Expect(gauge.Value()).To(gomega.BeZero())
	}
}

// Guards against urgent work within its guarantee that counts in the shares because a snapshot
// without urgent demands has no guarantees.
func TestSnapshotWithoutUrgentDemandsHasGuarantees(t *testing.T) {
	g := gomega.NewWithT(t)
	term, _ := newLossyTerm(g, Config{Guarantees: func() map[string]int64 { return map[string]int64{"o": 4} }})
	w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}, Capacity: batch.Need{Accelerators: 8}})
	w.listed = true
	term.addWorker(w)
	urgent := addTestJob(g, term, "urgent")
	urgent.tracker.Job.Organisation = "o"
	urgent.tracker.Job.Steps[0].Need = batch.Need{Accelerators: 4}
	term.newRun(urgent, urgent.tracker.Units[0], startTask(term, urgent), w, phaseRunning)
	waiting := addTestJob(g, term, "waiting")
	waiting.tracker.Job.Priority = 1
	p := term.snapshot(time.Now())
	g.Expect(p.Demands).To(gomega.HaveLen(1))
	g.Expect(placement.DominantShares(p.Snapshot)).To(gomega.HaveKeyWithValue("o", 0.0))
}

// Guards against a log that names an organisation whose persistent task runs for long.
func TestLongestWaitingOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	organisation, since := longestWaiting([]placement.Demand{
		{Organisation: "a", Step: &batch.Step{}, StartableSince: now},
		{Organisation: "b", Step: &batch.Step{}, StartableSince: now.Add(-time.Second)},
		{Organisation: "c", Step: &batch.Step{Persistent: true}, StartableSince: now.Add(-time.Hour)},
	})
	g.Expect(organisation).To(gomega.Equal("b"))
	g.Expect(since).To(gomega.Equal(now.Add(-time.Second)))
	_, since = longestWaiting(nil)
	g.Expect(since.IsZero()).To(gomega.BeTrue())
}
