package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/lease"
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

// acceptedCountsAge is the age of a count of waiting jobs that callers accept.
const acceptedCountsAge = 2 * time.Second

// countsObserver is a daemon that reads the counts, beside the term that stores them.
type countsObserver struct {
	*term
	store    *lossyStore
	lease    *lease.Lease
	polledAt time.Time
}

// newCountsObserver returns a term that states the age of its counts, and another daemon with
// the intervals of the platform's daemons.
func newCountsObserver(g *gomega.WithT) *countsObserver {
	store := &lossyStore{Memory: table.NewMemory()}
	var d *Dispatcher
	newLease := func(holder string, healthy bool) *lease.Lease {
		l, err := lease.New(lease.Config{Store: store, Prefix: LeasePrefix, Holder: holder, Incarnation: holder, LeaseTime: 2 * time.Second, RenewEvery: 500 * time.Millisecond,
			PollEvery: 680 * time.Millisecond, Now: time.Now, Healthy: func() bool { return healthy }, Statement: func() []byte { return d.CountsStatement() }})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return l
	}
	holder := newLease("a", true)
	d = New(Config{Store: store, Lease: holder, Holder: "a"})
	for range 2 {
		holder.Step(context.Background())
	}
	t := newTerm(context.Background(), d, holder.Status(), time.Now())
	t.jobsListed, t.workersListed = true, true
	return &countsObserver{term: t, store: store, lease: newLease("b", false)}
}

// advance lets a time pass in which the dispatcher stores counts, the holder renews its lease
// and the other daemon reads it, if they do. It returns the highest age that this one knew.
func (c *countsObserver) advance(d time.Duration, counts, renews bool) (highest time.Duration) {
	renewedAt := time.Time{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickEvery) {
		if counts {
			c.commitRetryAt = time.Time{}
			c.flush()
			if c.committing {
				nextEvent(c.term)()
			}
		}
		if renews && time.Since(renewedAt) >= 500*time.Millisecond {
			renewedAt = time.Now()
			c.cfg.Lease.Step(context.Background())
		}
		if time.Since(c.polledAt) >= 680*time.Millisecond {
			c.polledAt = time.Now()
			c.lease.Step(context.Background())
		}
		if _, age, err := CountsAge(c.lease); err == nil {
			highest = max(highest, age)
		}
	}
	return highest
}

// Guards against counts of waiting jobs of any age that are told as recent: their dispatcher is
// lost, cannot store them or does not know the jobs, and the next one has not counted.
func TestAgeOfCountsIsKnownToOtherDaemons(t *testing.T) {
	for name, test := range map[string]struct {
		fault  func(*gomega.WithT, *countsObserver)
		counts bool
		renews bool
		recent bool
	}{
		"sound dispatcher, nothing changes": {counts: true, renews: true, recent: true},
		"sound dispatcher, a job comes": {
			fault:  func(g *gomega.WithT, c *countsObserver) { addTestJob(g, c.term, "j") },
			counts: true, renews: true, recent: true,
		},
		"dispatcher lost":           {},
		"dispatcher counts no more": {renews: true},
		"counts cannot be stored":   {fault: func(g *gomega.WithT, c *countsObserver) { c.refuseCounts(g) }, counts: true, renews: true},
		"counts too large to store": {fault: func(_ *gomega.WithT, c *countsObserver) { c.addOversizeQueues() }, counts: true, renews: true},
		"jobs cannot be read": {fault: func(_ *gomega.WithT, c *countsObserver) {
			c.handleJobUpdate(table.Update{Err: context.DeadlineExceeded}, nil)
		}, counts: true, renews: true},
		"term ended, lease renewed": {fault: func(_ *gomega.WithT, c *countsObserver) { c.counts.Store(nil) }, renews: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				c := newCountsObserver(g)
				c.advance(3*time.Second, true, true)
				_, age, err := CountsAge(c.lease)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(age).To(gomega.BeNumerically("<=", acceptedCountsAge))
				if test.fault != nil {
					test.fault(g, c)
				}
				highest := c.advance(4*time.Second, test.counts, test.renews)
				version, age, err := CountsAge(c.lease)
				if !test.recent {
					g.Expect(err != nil || age > acceptedCountsAge).To(gomega.BeTrue(), "%s", age)
					return
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(highest).To(gomega.BeNumerically("<=", acceptedCountsAge))
				row, _, err := c.store.Get(t.Context(), PendingKey)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(version).To(gomega.BeNumerically("<=", row.Version))
			})
		})
	}
}

// refuseCounts makes commits fail after a job has come.
func (c *countsObserver) refuseCounts(g *gomega.WithT) {
	addTestJob(g, c.term, "j")
	c.cfg.Store = &lossyStore{Memory: c.store.Memory, refuse: true}
}

// addOversizeQueues adds waiting jobs of so many queues that their counts fit into no row.
func (c *countsObserver) addOversizeQueues() {
	for n := range 1000 {
		queue := fmt.Sprint(strings.Repeat("q", 100), n)
		c.jobs[queue] = &jobState{tracker: batch.NewTracker(batch.Job{ID: queue, Queue: queue}), storedState: batch.Queued}
	}
}

// Guards against the counts of a dispatcher that is lost, told as recent because the lease was
// renewed by the next one.
func TestNextHolderDoesNotStateTheAgeOfItsPredecessorsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCountsObserver(g)
		c.advance(2*time.Second, true, true)
		next, err := lease.New(lease.Config{Store: c.store, Prefix: LeasePrefix, Holder: "c", Incarnation: "c", LeaseTime: 2 * time.Second, RenewEvery: 500 * time.Millisecond, Now: time.Now})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for !next.Status().Held {
			next.Step(t.Context())
			time.Sleep(250 * time.Millisecond)
		}
		for range 2 {
			c.lease.Step(t.Context())
			_, _, err = CountsAge(c.lease)
			g.Expect(err).To(gomega.MatchError(ErrCountsAgeUnknown))
			time.Sleep(250 * time.Millisecond)
			next.Step(t.Context())
		}
	})
}
