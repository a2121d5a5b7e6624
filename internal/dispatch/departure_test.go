package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
	"github.com/samphirepath/samphirepath/table"
)

// Guards against flapping workers that get work each time they return, and against workers
// that are quarantined because each return counts twice or because they drain.
func TestDeparturesOfAWorkerCountOnce(t *testing.T) {
	for _, c := range []struct {
		name                string
		departures          int
		unlisted, announced bool
		state               workerhealth.State
	}{
		{"restarts", 4, false, false, workerhealth.Quarantined},
		{"leaves and returns", 4, true, false, workerhealth.Quarantined},
		{"leaves and returns less often", 3, true, false, workerhealth.Suspect},
		{"drains each time", 4, true, true, workerhealth.Healthy},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
			worker := fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}, Clock: 1}
			term.updateWorker(worker, 1, time.Now())
			for i := range c.departures {
				w := term.workers["w"]
				if c.unlisted {
					w.info.Draining = c.announced
					term.markUnlisted(w)
				}
				worker.StartedMs = int64(i) + 2
				term.updateWorker(worker, int64(i)+2, time.Now())
			}
			workers := make([]placement.Worker, 4) // a quarter may be quarantined
			workers[0].ID = "w"
			states := term.health.Apply(workers, nil, time.Now())
			g.Expect(states["w"]).To(gomega.Equal(c.state))
		})
	}
}
