package dispatch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/table"
)

// heldClient holds starts back until it is released, as a process that is paused does
// with all that it was about to send.
type heldClient struct {
	fleet.Client
	starts  atomic.Int64
	release chan struct{}
}

func (c *heldClient) Start(ctx context.Context, worker fleet.Worker, order fleet.Start) fleet.Reply {
	c.starts.Add(1)
	<-c.release
	return c.Client.Start(context.WithoutCancel(ctx), worker, order)
}

// panickingClient panics in calls to one worker.
type panickingClient struct {
	fleet.Client
	mu     sync.Mutex
	worker string
	panics int
}

func (c *panickingClient) check(worker fleet.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if worker.ID == c.worker {
		c.panics++
		panic("unexpected answer")
	}
}

func (c *panickingClient) Start(ctx context.Context, worker fleet.Worker, order fleet.Start) fleet.Reply {
	c.check(worker)
	return c.Client.Start(ctx, worker, order)
}

func (c *panickingClient) RenewLease(ctx context.Context, worker fleet.Worker, order fleet.LeaseRenewal) fleet.Report {
	c.check(worker)
	return c.Client.RenewLease(ctx, worker, order)
}

var _ = Describe("orders to workers", func() {
	// Guards against starts on a worker that wait for one that is not answered.
	It("are not held up by one without an answer", func() {
		f := newFixture(1)
		f.workers[0].SetFault(faultOnPath("/run-start", standinfleet.NoAnswer, 1))
		f.startDispatcher("a")
		f.submit(batch.Job{ID: "j", Spec: `{"ms":1000}`, MaxAttempts: 4, Steps: []batch.Step{{Tasks: 4, Need: batch.Need{Accelerators: 1}, EstimateMs: 1000}}})
		Eventually(f.running).WithTimeout(timeout).ShouldNot(BeEmpty())
		Eventually(f.running).WithTimeout(200 * time.Millisecond).Should(HaveLen(3))
		Eventually(f.state("j")).WithTimeout(timeout).Should(Equal(batch.Completed))
	})

	// Guards against a process that was paused for some seconds and then sends starts
	// under a lease that has expired in the meantime.
	It("are not sent when the lease has expired while they waited", func() {
		f := newFixture(1)
		client := &heldClient{Client: platform.NewWorkers(), release: make(chan struct{})}
		f.client = client
		f.startDispatcher("a")
		f.submit(batch.Job{ID: "j", Spec: `{"ms":10}`, MaxAttempts: 4, Steps: []batch.Step{{Tasks: 6, Need: batch.Need{Accelerators: 1}, EstimateMs: 10}}})
		Eventually(client.starts.Load).WithTimeout(timeout).Should(BeNumerically(">", 0))
		time.Sleep(50 * time.Millisecond)
		held := client.starts.Load()
		f.store.setDown(true)
		time.Sleep(2 * testLease)
		close(client.release)
		Consistently(client.starts.Load).WithTimeout(testLease).Should(Equal(held))
		f.store.setDown(false)
		Eventually(f.state("j")).WithTimeout(timeout).Should(Equal(batch.Completed))
	})

	// Guards against one worker whose answers make the client fail and end the process.
	It("go on to other workers when a call to one fails in an unexpected way", func() {
		f := newFixture(2)
		client := &panickingClient{Client: platform.NewWorkers(), worker: f.workers[0].ID}
		f.client = client
		d, _ := f.startDispatcher("a")
		f.submit(batch.Job{ID: "j", Spec: `{"ms":10}`, MaxAttempts: 4, Steps: []batch.Step{{Tasks: 9, Need: batch.Need{Accelerators: 1}, EstimateMs: 10}}})
		Eventually(func() int { return len(f.workers[1].StartCounts()) }).WithTimeout(timeout).Should(BeNumerically(">", 0))
		Eventually(func() int { client.mu.Lock(); defer client.mu.Unlock(); return client.panics }).WithTimeout(timeout).Should(BeNumerically(">", 1))
		Eventually(f.state("j")).WithTimeout(6 * time.Second).Should(Equal(batch.Completed))
		Expect(d.Leading()).To(BeTrue())
	})

	// Guards against one stored row that makes a decoder fail and ends the process of
	// each dispatcher in turn.
	It("go on when the entry of one worker makes the decoder fail", func() {
		f := newFixture(2)
		discovery := platform.Discovery()
		decode := discovery.Decode
		discovery.Decode = func(row table.Row) (fleet.Worker, error) {
			if row.Key == "servers/"+f.workers[0].ID {
				panic("unexpected entry")
			}
			return decode(row)
		}
		f.discovery = &discovery
		d, _ := f.startDispatcher("a")
		f.submit(batch.Job{ID: "j", Spec: `{"ms":10}`, Steps: []batch.Step{task(1)}})
		Eventually(f.state("j")).WithTimeout(timeout).Should(Equal(batch.Completed))
		Expect(f.workers[0].StartCounts()).To(BeEmpty())
		Expect(d.Leading()).To(BeTrue())
	})
})
