package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// addTestJob adds a job of one task to a term.
func addTestJob(g *gomega.WithT, t *term, id string) *jobState {
	value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Steps: []batch.Step{{Tasks: 1}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.addJob(id, table.Row{Key: JobsPrefix + id, Value: value, Version: 1}, nil)
	return t.jobs[id]
}

// startTask records a start of the task of a job.
func startTask(t *term, j *jobState) batch.RunRef {
	ref := j.tracker.Assign(j.tracker.Units[0], 0, batch.WorkerIncarnation{ID: "w"})
	t.markChanged(j)
	return ref
}

// nextEvent waits for the next result of a commit or other event.
func nextEvent(t *term) func() {
	select {
	case event := <-t.results:
		return event
	case event := <-t.events:
		return event
	}
}

// storeProgress commits once and waits for the result.
func storeProgress(g *gomega.WithT, t *term) {
	t.flush()
	g.Expect(t.committing).To(gomega.BeTrue())
	nextEvent(t)()
}

// Guards against callers that are told what a crash of the dispatcher takes back: the state
// of a job changed for them before it was stored.
func TestStateOfAJobIsToldOnceItIsStored(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
	term.jobsListed, term.countedAt = true, time.Now()
	j := addTestJob(g, term, "j")
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Queued))
	ref := startTask(term, j)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Queued))
	storeProgress(g, term)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Running))
	j.tracker.Finish(ref)
	term.updateJobState(j)
	g.Expect(j.tracker.State).To(gomega.Equal(batch.Completed))
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Running))
	storeProgress(g, term)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Completed))
}

// Guards against a caller that is told "running" after another one was told "completed": a
// term whose lease has expired does not know what the next dispatcher has stored.
func TestTermWithoutItsLeaseTellsFinalStatesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	term := newLeasedTerm(g, table.NewMemory(), Config{}, func() time.Time { return now })
	term.jobsListed, term.countedAt = true, time.Now()
	startTask(term, addTestJob(g, term, "running"))
	ended := addTestJob(g, term, "ended")
	ended.tracker.Finish(startTask(term, ended))
	term.updateJobState(ended)
	storeProgress(g, term)
	g.Expect(term.knownState("running")).To(gomega.Equal(batch.Running))
	now = now.Add(lease.DefaultLeaseTime)
	g.Expect(term.knownState("running")).To(gomega.BeEmpty())
	g.Expect(term.knownState("ended")).To(gomega.Equal(batch.Completed))
}

// Guards against callers that wait for the stored ends of their jobs longer than needed
// after an outage of the store: the first commits carried other changes.
func TestCommitStoresTheEndsOfJobsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
	term.jobsListed = true
	const jobs, ended = 5 * maxCommitRows, maxCommitRows / 2
	for n := range jobs {
		j := addTestJob(g, term, fmt.Sprint(n))
		ref := startTask(term, j)
		if n < ended {
			j.tracker.Finish(ref)
			term.updateJobState(j)
		}
	}
	commit := term.collectProgress(time.Now())
	for n := range ended {
		g.Expect(commit.jobs).To(gomega.HaveKey(fmt.Sprint(n)))
	}
}

// Guards against a count of waiting jobs that misses one whose first start was never stored:
// it still waits if the dispatcher is lost.
func TestJobCountsAsWaitingUntilAStartIsStored(t *testing.T) {
	g := gomega.NewWithT(t)
	term := newLeasedTerm(g, table.NewMemory(), Config{}, time.Now)
	term.jobsListed = true
	waiting := func() int64 {
		term.countedAt = time.Time{}
		counts, _ := term.pendingCounts(time.Now())
		return counts["q"]
	}
	term.confirmStart(startTask(term, addTestJob(g, term, "j")))
	g.Expect(waiting()).To(gomega.Equal(int64(1)))
	storeProgress(g, term)
	g.Expect(waiting()).To(gomega.BeZero())
}
