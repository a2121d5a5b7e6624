package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

func newTestTerm() *term {
	return &term{Dispatcher: &Dispatcher{log: zap.NewNop()}, ctx: nil, jobs: map[string]*jobState{}}
}

// Guards against a dispatcher that plans again only after many seconds, because it was
// paused in the middle of a plan and took the pause for the duration of the plan.
func TestPauseDuringAPlanDelaysTheNextOneLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newTestTerm()
	term.planDuration = 3 * time.Second
	g.Expect(term.planInterval()).To(gomega.BeNumerically("<", 500*time.Millisecond))
	term.planDuration = 20 * time.Millisecond
	g.Expect(term.planInterval()).To(gomega.Equal(80 * time.Millisecond))
}

// Guards against ends that are lost after a worker has restarted: an answer of the
// earlier incarnation, with its higher numbers, would make the dispatcher ignore the
// first ends of the new one and acknowledge them unread.
func TestAnswerOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newTestTerm()
	w := &workerState{info: fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 200}}, runs: map[batch.RunRef]*run{}}
	answer := fleet.Report{Reply: fleet.Reply{Outcome: fleet.Accepted}, StartedMs: 100, Ended: []fleet.End{{Number: 40}}}
	term.handleReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), answer)
	g.Expect(w.lastEnd).To(gomega.BeZero())
	g.Expect(w.storedEnd).To(gomega.BeZero())
}

// Guards against the eviction of work that cannot be saved while tasks that save theirs
// when they are stopped run beside it.
func TestTasksWithCheckpointsAreTheCheapestToEvict(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	need := batch.Need{MilliCPU: 4000, Accelerators: 1}
	saving := &run{step: &batch.Step{Checkpoint: true}, need: need, startedAt: now.Add(-10 * time.Second)}
	justStarted := &run{step: &batch.Step{}, need: need, startedAt: now.Add(-300 * time.Millisecond)}
	g.Expect(saving.evictionLoss(now)).To(gomega.BeNumerically("<", justStarted.evictionLoss(now)))
}

// stops records the runs that are to be stopped.
type stops struct {
	fleet.Client
	sent chan batch.RunRef
}

func (c stops) Stop(_ context.Context, _ fleet.Worker, order fleet.Stop) fleet.Reply {
	c.sent <- order.Run
	return fleet.Reply{Outcome: fleet.Accepted}
}

// Guards against work that is stopped and starts anew: a new dispatcher that was asked
// about a worker before it had listed the jobs took all runs there for unknown ones.
func TestRunsAreNotUnknownBeforeTheJobsAreListed(t *testing.T) {
	g := gomega.NewWithT(t)
	client := stops{sent: make(chan batch.RunRef, 1)}
	term := newLeasedTerm(g, table.NewMemory(), Config{Client: client}, time.Now)
	w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
	ref := batch.RunRef{TaskRef: batch.TaskRef{Job: "j"}, Run: 1}
	report := fleet.Report{Reply: fleet.Reply{Outcome: fleet.Accepted}, StartedMs: 1, Running: []fleet.RunStatus{{Run: ref}}}
	term.handleReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), report)
	g.Consistently(client.sent).WithTimeout(50 * time.Millisecond).ShouldNot(gomega.Receive())

	term.jobsListed, term.workersListed = true, true
	term.handleReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), report)
	g.Eventually(client.sent).Should(gomega.Receive(gomega.Equal(ref)))
}
