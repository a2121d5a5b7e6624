package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/table"
)

// Guards against a finished job that runs again: the history of the store was lost, and the
// new listing of the jobs was read before the rows of the job were deleted and arrived after
// that.
func TestListingFromBeforeTheDeletionOfAJobDoesNotAddIt(t *testing.T) {
	g := gomega.NewWithT(t)
	store := table.NewMemory()
	term := newLeasedTerm(g, store, Config{FinishedRetention: time.Second}, time.Now)
	term.jobsListed, term.workersListed = true, true
	value, err := batch.EncodeJob(batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	submitted := store.Commit(t.Context(), nil, []table.Write{{Key: JobsPrefix + "j", Value: value}})
	listing, err := store.List(t.Context(), JobsPrefix, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	term.finished["j"] = finishedJob{state: batch.Completed, endedAt: time.Now().Add(-time.Minute)}
	term.forgetFinished(time.Now())
	nextEvent(term)()
	g.Expect(term.finished).To(gomega.BeEmpty())
	term.handleJobUpdate(table.Update{Rows: listing.Rows, Full: true}, nil)
	g.Expect(term.jobs).To(gomega.BeEmpty())

	row := listing.Rows[0]
	row.Version = submitted.Version + 100
	term.handleJobUpdate(table.Update{Rows: []table.Row{row}}, nil)
	g.Expect(term.jobs).To(gomega.HaveKey("j"), "submitted again after it was deleted")
}

// Guards against an accepted job that is lost: a late deletion of an earlier job with its
// identifier takes it along.
func TestLateDeletionOfAJobDoesNotDeleteALaterOne(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{FinishedRetention: time.Second})
	submitLate(g, term)
	term.finished["j"] = finishedJob{state: batch.Completed, endedAt: time.Now().Add(-time.Minute)}
	store.set(func() { store.holdNext = JobsPrefix })
	term.forgetFinished(time.Now())
	nextEvent(term)()
	term.forgetFinished(time.Now())
	nextEvent(term)()
	g.Expect(term.finished).To(gomega.BeEmpty())
	submitLate(g, term) // the caller is told that it is accepted
	store.applyHeld()
	_, found, err := store.Get(t.Context(), JobsPrefix+"j")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(found).To(gomega.BeTrue())
}
