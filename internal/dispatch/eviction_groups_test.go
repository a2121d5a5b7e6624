package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

// Guards against a dispatcher that fails in each plan, or evicts a gang which must not be
// evicted together with other work: such a gang was put into the first eviction group.
func TestGangThatMustNotBeEvictedIsInNoEvictionGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
	worker := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w"}})
	worker.listed = true
	term.addWorker(worker)
	for _, id := range []string{"suspected", "other"} {
		value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Priority: 1, Steps: []batch.Step{{Tasks: 2, Gang: true}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		term.addJob(id, table.Row{Key: JobsPrefix + id, Value: value, Version: 1}, nil)
		j := term.jobs[id]
		for i := range 2 {
			ref := j.tracker.Assign(j.tracker.Units[0], i, batch.WorkerIncarnation{ID: "w"})
			term.newRun(j, j.tracker.Units[0], ref, worker, phaseRunning)
		}
	}
	term.jobs["suspected"].tracker.Units[0].Tasks[1].Losses = batch.Losses{All: 2, Early: 1}
	for range 20 { // the runs of a worker are in a map
		p := &planInput{workers: []*workerState{worker}}
		term.evictionGroups(p, 4, time.Now())
		g.Expect(p.Groups).To(gomega.HaveLen(1))
		for _, r := range p.groups[0] {
			g.Expect(r.job).To(gomega.Equal(term.jobs["other"]))
		}
	}
}
