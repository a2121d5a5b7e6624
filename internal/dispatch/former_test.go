package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/platform"
)

// cutClient does not reach one worker.
type cutClient struct {
	fleet.Client
	worker string
}

func (c cutClient) unreachable(ctx context.Context, worker fleet.Worker) (fleet.Reply, bool) {
	if worker.ID != c.worker {
		return fleet.Reply{}, false
	}
	<-ctx.Done()
	return fleet.Reply{Outcome: fleet.Unanswered, Err: ctx.Err()}, true
}

func (c cutClient) Start(ctx context.Context, worker fleet.Worker, order fleet.Start) fleet.Reply {
	if reply, cut := c.unreachable(ctx, worker); cut {
		return reply
	}
	return c.Client.Start(ctx, worker, order)
}

func (c cutClient) RenewLease(ctx context.Context, worker fleet.Worker, order fleet.LeaseRenewal) fleet.Report {
	if reply, cut := c.unreachable(ctx, worker); cut {
		return fleet.Report{Reply: reply}
	}
	return c.Client.RenewLease(ctx, worker, order)
}

// A dispatcher takes over from one that is cut off from the store together with a worker,
// whose lease the former one goes on renewing.
var _ = Describe("a worker that only a former dispatcher reaches", func() {
	// takeOver starts dispatcher a with a job on the first worker, cuts both off, starts b
	// and submits a job that b plans on that worker before its first call has failed.
	takeOver := func(f *fixture) {
		f.startDispatcher("a")
		f.submit(batch.Job{ID: "old", Spec: `{"ms":4000}`, Steps: []batch.Step{task(1)}})
		Eventually(f.workers[0].Running).WithTimeout(timeout).Should(HaveLen(1))
		f.submit(batch.Job{ID: "new", Spec: `{"ms":50}`, Steps: []batch.Step{{Tasks: 14, Need: batch.Need{Accelerators: 1}, EstimateMs: 50, MaxPerWorker: 7}}})
		f.separateStore().setDown(true)
		f.client = cutClient{Client: platform.NewWorkers(), worker: f.workers[0].ID}
		f.startDispatcher("b")
	}

	// Guards against a run that is started a second time: the lease that the new term had
	// sent to the worker was taken for the longest one that any dispatcher may have sent.
	It("keeps its runs while the former one may renew their lease", func() {
		f := newFixture(2)
		takeOver(f)
		Consistently(func() int { return f.starts()["old.0.0.0"] }).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(f.ends("done")).To(BeNumerically(">=", 1))
	})
})
