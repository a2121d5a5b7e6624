package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

// Guards against a run that is started a second time: the clock of an idle worker is not
// read, one that is 2 % slow is over a second behind the estimate after a minute, and a
// start that is carried out late then has a longer lease than the dispatcher allows for.
func TestLeaseOfAnIdleWorkerCountsTheUncertaintyOfItsClock(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{MaxWorkerLease: 6 * time.Second}, time.Now)
	now := time.Now()
	idle := time.Minute
	w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
	w.clock, w.clockReadAt = 1000, now.Add(-idle)
	deadlineMs := term.extendLease(w, now)
	actualMs := 1000 + int64(minClockRate*float64(idle.Milliseconds()))
	lasts := time.Duration(float64(deadlineMs-actualMs)/minClockRate) * time.Millisecond
	g.Expect(w.leaseExpiresAt).To(gomega.BeTemporally(">=", now.Add(lasts)))
}

// Guards against starts that a worker rejects as late because its clock was read long ago.
func TestClockOfAnIdleWorkerIsReadAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
	term.jobsListed, term.workersListed = true, true
	now := time.Now()
	w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
	w.listed, w.unread, w.clockReadAt = true, false, now.Add(-time.Minute)
	g.Expect(term.needsCall(w, now)).To(gomega.BeFalse())
	g.Expect(term.needsCall(w, now.Add(2*time.Minute))).To(gomega.BeTrue())
}

// Guards against a run that is started a second time: a worker that had restarted was not
// called before it got its next task, so that it had seen no fence and carried out a start
// that was sent to its earlier incarnation.
func TestRestartedWorkerIsCalledWithTheRaisedFence(t *testing.T) {
	g := gomega.NewWithT(t)
	client := renewals{sent: make(chan fleet.LeaseRenewal, 1)}
	term := newLeasedTerm(g, table.NewMemory(), Config{Client: client}, time.Now)
	term.jobsListed, term.workersListed = true, true
	worker := fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}, Clock: 1}
	term.updateWorker(worker, 1, time.Now())
	w := term.workers["w"]
	w.unread = false
	fence := w.fence
	worker.StartedMs = 2
	term.updateWorker(worker, 2, time.Now())
	term.tick()
	g.Eventually(client.sent).Should(gomega.Receive(gomega.HaveField("Fence", gomega.BeNumerically(">", fence))))
}

// Guards against a run that is started a second time: the next incarnation of a worker may
// carry out a start that was sent to the one before, and has a whole lease from then on.
func TestRestartWithAnUnansweredStartExtendsTheWaitForItsLease(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{MaxWorkerLease: 6 * time.Second}, time.Now)
	for _, confirmed := range []bool{true, false} {
		w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
		r := &run{phase: phaseStarting, worker: w, unit: &batch.Unit{Tasks: make([]batch.Task, 1)}}
		if confirmed {
			r.phase, r.confirmedAt = phaseRunning, time.Now()
		}
		w.runs[batch.RunRef{}] = r
		w.leaseExpiresAt = time.Now()
		now := time.Now()
		term.resetWorker(w, 2, 1, now)
		g.Expect(w.leaseExpiresAt.After(now.Add(lateOrderTime + 6*time.Second))).To(gomega.Equal(!confirmed))
	}
}
