package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/table"
)

// storedCount returns the number of waiting jobs of queue q that a caller reads from the store.
func storedCount(g *gomega.WithT, store table.Store) int64 {
	row, found, err := store.Get(context.Background(), PendingKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if !found {
		return 0
	}
	counts, err := batch.DecodeCounts(row.Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return counts["q"]
}

// Guards against a count of waiting jobs that is taken for stored although the commit, with
// one job that the store had rejected, did not contain it.
func TestCountsThatACommitOfOneJobLeavesOutAreStoredLater(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{})
	j := addTestJob(g, term, "j")
	term.confirmStart(startTask(term, j))
	term.countedAt = time.Now()
	storeProgress(g, term)
	addTestJob(g, term, "waiting")
	term.markChanged(j)
	j.storeAlone = true
	storeAll(term)
	g.Expect(storedCount(g, store)).To(gomega.Equal(int64(1)))
}

// Guards against a count of waiting jobs that stays wrong: a commit whose answer was lost had
// replaced it, and the term took the one before for stored.
func TestCountsAreStoredAgainAfterALostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{})
	j := addTestJob(g, term, "j")
	storeAll(term)
	g.Expect(storedCount(g, store)).To(gomega.Equal(int64(1)))
	term.confirmStart(startTask(term, j))
	term.countedAt = time.Now()
	storeProgress(g, term)

	store.set(func() { store.applyUnanswered = true })
	term.countedAt = time.Time{}
	storeProgress(g, term)
	store.set(func() { store.applyUnanswered = false })
	g.Expect(storedCount(g, store)).To(gomega.BeZero())
	addTestJob(g, term, "waiting")
	storeAll(term)
	g.Expect(storedCount(g, store)).To(gomega.Equal(int64(1)))
}

// Guards against a count of waiting jobs that stays wrong: a commit of an earlier one, without
// progress of jobs, was applied after a later one.
func TestLateCommitOfCountsDoesNotReplaceALaterOne(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{})
	addTestJob(g, term, "0")
	store.set(func() { store.holdNext = PendingKey })
	storeProgress(g, term)
	for n := range 10 {
		addTestJob(g, term, fmt.Sprint(n))
	}
	storeAll(term)
	g.Expect(storedCount(g, store)).To(gomega.Equal(int64(10)))
	store.applyHeld()
	storeAll(term)
	g.Expect(storedCount(g, store)).To(gomega.Equal(int64(10)))
}
