package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

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
