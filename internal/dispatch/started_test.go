package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

// assignTestRun assigns the task of a job to a worker whose start order gets no answer.
func assignTestRun(t *term, j *jobState) *run {
	w := t.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
	t.addWorker(w)
	ref := startTask(t, j)
	r := t.newRun(j, j.tracker.Units[0], ref, w, phaseStarting)
	r.startAttempts = maxStartAttempts // the next failed start drops the run
	return r
}

// takeOver returns the term of another dispatcher over the same store.
func takeOver(g *gomega.WithT, store *lossyStore) *term {
	later := func() time.Time { return time.Now().Add(time.Minute) }
	next := newLeasedTerm(g, store.Memory, Config{Client: unansweredClient{}}, later)
	job, found, err := store.Get(context.Background(), JobsPrefix+"j")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	progress, found, err := store.Get(context.Background(), ProgressPrefix+"j")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
	next.handleJobUpdate(table.Update{Rows: []table.Row{job}, Full: true}, map[string]storedProgress{"j": {"j": progress}})
	next.jobsListed = true
	return next
}

func waitingJobs(t *term) int64 {
	t.countedAt = time.Time{}
	counts, _ := t.pendingCounts(time.Now())
	return counts["q"]
}

// Guards against jobs that count as started although no worker has them: a worker that never
// answers got their runs, or their runs were dropped before a worker confirmed them.
func TestJobCountsAsWaitingUntilAWorkerConfirmsARun(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{Client: unansweredClient{}})
	submitLate(g, term)
	j := addTestJob(g, term, "j")
	r := assignTestRun(term, j)
	storeAll(term)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Running), "the state shown to callers is as before")
	g.Expect(waitingJobs(term)).To(gomega.Equal(int64(1)), "the start is not answered")
	g.Expect(waitingJobs(takeOver(g, store))).To(gomega.Equal(int64(1)), "nor after a take-over")
	term.handleStartReply(r, fleet.Reply{Outcome: fleet.Unanswered}, time.Millisecond)
	g.Expect(waitingJobs(term)).To(gomega.Equal(int64(1)))
	term.dropRun(r, "start was not carried out")
	storeAll(term)
	g.Expect(waitingJobs(term)).To(gomega.Equal(int64(1)), "the run was dropped")
	g.Expect(waitingJobs(takeOver(g, store))).To(gomega.Equal(int64(1)))
}

// Guards against jobs that count as waiting although a worker has run them, in this term or in
// one before.
func TestJobCountsAsStartedOnceAWorkerHasConfirmedARun(t *testing.T) {
	for name, confirm := range map[string]func(*term, *run){
		"accepted start": func(t *term, r *run) {
			t.handleStartReply(r, fleet.Reply{Outcome: fleet.Accepted}, time.Millisecond)
		},
		"report that lists the run": func(t *term, r *run) {
			r.phase = phaseUnknown
			t.reconcileRuns(r.worker, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Running: []fleet.RunStatus{{Run: r.ref}}})
		},
		"report that lists a run that was given up": func(t *term, r *run) {
			t.dropRun(r, "given up")
			t.reconcileRuns(r.worker, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Running: []fleet.RunStatus{{Run: r.ref}}})
		},
		"end": func(t *term, r *run) {
			t.handleEnd(r.worker, fleet.End{Number: 1, Run: r.ref, Reason: fleet.Stopped})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			term, store := newLossyTerm(g, Config{Client: confirmingClient{}})
			submitLate(g, term)
			r := assignTestRun(term, addTestJob(g, term, "j"))
			storeAll(term)
			g.Expect(waitingJobs(term)).To(gomega.Equal(int64(1)))
			confirm(term, r)
			g.Expect(waitingJobs(term)).To(gomega.Equal(int64(1)), "the confirmation is not stored yet")
			storeAll(term)
			g.Expect(waitingJobs(term)).To(gomega.BeZero())
			g.Expect(waitingJobs(takeOver(g, store))).To(gomega.BeZero())
		})
	}
}

// confirmingClient accepts all stops, and is not reached otherwise.
type confirmingClient struct{ unansweredClient }

func (confirmingClient) Stop(context.Context, fleet.Worker, fleet.Stop) fleet.Reply {
	return fleet.Reply{Outcome: fleet.Accepted}
}
