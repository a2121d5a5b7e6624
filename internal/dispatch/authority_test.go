package dispatch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// newLeasedTerm returns a term of a daemon that holds the lease.
func newLeasedTerm(g *gomega.WithT, store *table.Memory, cfg Config, now func() time.Time) *term {
	l, err := lease.New(lease.Config{Store: store, Prefix: LeasePrefix, Holder: "a", Incarnation: "a", Now: now})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 2 { // sees that the lease is free, and takes it
		l.Step(context.Background())
	}
	g.Expect(l.Status().Held).To(gomega.BeTrue())
	cfg.Store, cfg.Lease, cfg.Holder, cfg.Log = store, l, "a", zap.NewNop()
	return newTerm(context.Background(), New(cfg), l.Status(), now())
}

// Guards against a task that is started a second time: a term stored what it knew from
// before another dispatcher held the lease, under the fence of the lease that its own
// daemon had acquired after that one.
func TestTermDoesNotActUnderALaterLeaseOfItsDaemon(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	store := table.NewMemory()
	now := time.Now()
	term := newLeasedTerm(g, store, Config{}, func() time.Time { return now })
	l, status := term.cfg.Lease, term.cfg.Lease.Status()
	term.jobsListed, term.workersListed = true, true

	// Another daemon takes the lease over, and releases it again.
	write := func(key string, value any) {
		encoded, err := json.Marshal(value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(store.Commit(ctx, nil, []table.Write{{Key: LeasePrefix + key, Value: encoded}}).Status).To(gomega.Equal(table.Committed))
	}
	write("lease", api.PlannerLease{Epoch: status.Epoch + 1})
	write("fence", api.PlannerFence{Epoch: status.Epoch + 1})
	now = now.Add(lease.DefaultLeaseTime)
	l.Step(ctx)
	g.Expect(l.Status().Held).To(gomega.BeTrue())
	g.Expect(l.Status().Epoch).To(gomega.Equal(status.Epoch + 2))

	term.jobs["j"] = &jobState{tracker: batch.NewTracker(batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}}), rows: map[string]storedRow{}}
	term.markChanged(term.jobs["j"])
	g.Expect(term.canStartWork()).To(gomega.BeFalse())
	term.flush()
	g.Expect(term.committing).To(gomega.BeFalse())
	g.Expect(term.endReason).To(gomega.Equal("lease was held by another daemon in between"))
}

// renewals counts the renewals of workers' leases.
type renewals struct {
	fleet.Client
	sent chan fleet.LeaseRenewal
}

func (r renewals) RenewLease(_ context.Context, _ fleet.Worker, order fleet.LeaseRenewal) fleet.Report {
	r.sent <- order
	return fleet.Report{Reply: fleet.Reply{Outcome: fleet.Unanswered}}
}

// Guards against a run that is started a second time: the first tick after a pause noticed
// that the term had been without its lease for too long, and renewed the leases of workers
// all the same.
func TestTickAfterAPauseExtendsNoLeaseOfAWorker(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	client := renewals{sent: make(chan fleet.LeaseRenewal, 1)}
	term := newLeasedTerm(g, table.NewMemory(), Config{Client: client, MaxWorkerLease: 6 * time.Second}, func() time.Time { return now })
	w := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w", StartedMs: 1}})
	w.clock, w.clockReadAt, w.lastAnswered = 1000, time.Now(), time.Now()
	term.workers["w"] = w
	w.runs[batch.RunRef{}] = &run{phase: phaseRunning, worker: w}
	term.tick()
	g.Eventually(client.sent).Should(gomega.Receive(gomega.HaveField("Deadline", gomega.BeNumerically(">", 1000))))

	w.polling, w.nextCall = false, time.Time{}
	now = now.Add(20 * time.Second)
	term.lastHeldAt = term.lastHeldAt.Add(-20 * time.Second)
	term.tick()
	g.Expect(term.endReason).To(gomega.Equal("lease not renewed for too long"))
	g.Consistently(client.sent).WithTimeout(50 * time.Millisecond).ShouldNot(gomega.Receive())
}
