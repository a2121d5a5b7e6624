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
	return newTerm(context.Background(), New(cfg), l.Status())
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
