package router_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/router"
)

func TestMain(m *testing.M) {
	// Ginkgo leaves a goroutine running after the suite.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

// faultOnce returns a function that gives the fault for the first call only.
func faultOnce(fault string) func(*daemon, *daemon) string {
	var used atomic.Bool
	return func(*daemon, *daemon) string {
		if used.CompareAndSwap(false, true) {
			return fault
		}
		return ""
	}
}

const submitTimeout = 400 * time.Millisecond

var _ = Describe("router", func() {
	var c *cluster
	// d0 has no minions and forwards to d1 and d2.
	BeforeEach(func() { c = newCluster([]string{"a", "b", "b"}, []string{"b", "b", "b", "b", "b", "b"}) })
	AfterEach(func() { c.close() })

	// Guards against a second run, a wrong answer or a wrong outcome when the link
	// between two daemons fails.
	DescribeTable("faults of a link", func(fault string, nonIdempotent bool, outcome api.Outcome, runs int) {
		c.callFault = faultOnce(fault)
		reply := c.daemons[0].submit("k", "body", nonIdempotent, submitTimeout)
		Expect(reply.Result.Outcome).To(Equal(outcome), reply.Result.Reason)
		Expect(string(reply.Result.Body)).To(Equal("answer to body"))
		Expect(c.runs("body")).To(Equal(runs))
	},
		Entry("none", "", true, api.OutcomeRan, 1),
		Entry("not sent, claimed", "not sent", true, api.OutcomeRan, 1),
		Entry("call lost, claimed", "call lost", true, api.OutcomeRan, 1),
		Entry("call late, claimed", "call late", true, api.OutcomeRan, 1),
		Entry("answer lost, claimed", "answer lost", true, api.OutcomeRan, 1),
		Entry("answer truncated, claimed", "truncated", true, api.OutcomeRan, 1),
		Entry("answer altered, claimed", "altered", true, api.OutcomeRan, 1),
		Entry("answer to another request, claimed", "mismatched", true, api.OutcomeRan, 1),
		Entry("call lost, idempotent", "call lost", false, api.OutcomeRan, 1),
		Entry("answer lost, idempotent", "answer lost", false, api.OutcomeRan, 2),
		Entry("answer truncated, idempotent", "truncated", false, api.OutcomeRan, 2),
		Entry("answer to another request, idempotent", "mismatched", false, api.OutcomeRan, 2),
	)

	// Guards against not_run for a request that unreachable peers still run, and
	// against a reply before its result is stored.
	It("waits for a request that only lost peers can run", func() {
		c.callFault = func(*daemon, *daemon) string { return "call late" }
		reply := c.daemons[0].submit("k", "body", true, submitTimeout)
		Expect(reply.Result.Outcome).To(Equal(api.OutcomeRan), reply.Result.Reason)
		c.setStoreFault("unavailable")
		reply = c.daemons[0].submit("k2", "body 2", true, submitTimeout)
		Expect(reply.Result.Outcome).To(Equal(api.OutcomeUnknown), reply.Result.Reason)
	})

	// Guards against a second dispatch of a request whose dispatching daemon died, and
	// against not_run for a request that may have run.
	DescribeTable("death of the dispatching daemon", func(afterDispatch bool, runs int) {
		for _, d := range c.daemons[1:] {
			d.onSend = func(send func() refplatform.MinionReply) refplatform.MinionReply {
				if afterDispatch {
					send()
				}
				d.kill()
				return refplatform.MinionReply{Status: refplatform.MinionUnknown, Err: errDown}
			}
		}
		reply := c.daemons[0].submit("k", "body", true, submitTimeout)
		Expect(reply.Result.Outcome).To(Equal(api.OutcomeUnknown))
		for _, d := range c.daemons[1:] {
			d.onSend = nil
		}
		again := c.daemons[0].submit("k", "body", true, submitTimeout)
		Expect(again.Result.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(again.Result.InProgress).To(BeFalse())
		Expect(c.runs("body")).To(Equal(runs))
	},
		Entry("between claim and dispatch", false, 0),
		Entry("after dispatch", true, 1),
	)

	// Guards against wrong outcomes when the table service fails.
	DescribeTable("faults of the table service", func(fault string, nonIdempotent bool, outcome api.Outcome, runs int) {
		c.setStoreFault(fault)
		reply := c.daemons[1].submit("k", "body", nonIdempotent, submitTimeout)
		Expect(reply.Result.Outcome).To(Equal(outcome), reply.Result.Reason)
		Expect(c.runs("body")).To(Equal(runs))
		c.setStoreFault("")
		if outcome == api.OutcomeNotRun { // a refused key can be submitted again
			Eventually(func() api.Outcome {
				return c.daemons[2].submit("k", "body", nonIdempotent, submitTimeout).Result.Outcome
			}, 3*time.Second).Should(Equal(api.OutcomeRan))
			Expect(c.runs("body")).To(Equal(1))
		}
	},
		Entry("unreachable, claimed", "unavailable", true, api.OutcomeNotRun, 0),
		Entry("hanging, claimed", "hangs", true, api.OutcomeNotRun, 0),
		Entry("hanging, idempotent", "hangs", false, api.OutcomeRan, 1),
		Entry("unreachable, idempotent", "unavailable", false, api.OutcomeRan, 1),
		Entry("answers lost, claimed", "answer lost", true, api.OutcomeRan, 1),
	)

	// Guards against retries of requests that may have run, and against failing
	// requests that another minion can run.
	DescribeTable("faults of minions", func(mode string, faultyMinions int, nonIdempotent bool, outcome, otherOutcome api.Outcome, maxRuns int) {
		n := 0
		c.eachMinion(func(m *fakeMinion) {
			if n++; n <= faultyMinions {
				m.mode = mode
			}
		})
		for i := range 6 {
			body := fmt.Sprint("body ", i)
			reply := c.daemons[1].submit(fmt.Sprint("k", i), body, nonIdempotent, submitTimeout)
			Expect(c.runs(body)).To(BeNumerically("<=", maxRuns))
			Expect(reply.Result.Outcome).To(Or(Equal(outcome), Equal(otherOutcome)), reply.Result.Reason)
			if reply.Result.Outcome == api.OutcomeNotRun {
				Expect(c.runs(body)).To(BeZero())
			}
		}
	},
		Entry("all refuse the request itself", "refuses", 6, false, api.OutcomeFailed, api.OutcomeFailed, 1),
		Entry("some fail, idempotent", "fails", 1, false, api.OutcomeRan, api.OutcomeRan, 2),
		Entry("all fail, claimed", "fails", 6, true, api.OutcomeFailed, api.OutcomeFailed, 1),
		Entry("some broken, claimed", "broken", 3, true, api.OutcomeUnknown, api.OutcomeRan, 1),
		Entry("some unreachable, claimed", "unreachable", 1, true, api.OutcomeRan, api.OutcomeRan, 1),
		Entry("all unreachable, claimed", "unreachable", 6, true, api.OutcomeNotRun, api.OutcomeNotRun, 0),
	)

	// Guards against a request that takes down one minion after another: each breaks off its
	// answer, and another one would get the request.
	It("gives up a request that broke off at several minions", func() {
		c.eachMinion(func(m *fakeMinion) { m.mode = "broken" })
		reply := c.daemons[1].submit("k", "body", false, 3*time.Second)
		Expect(reply.Result.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(c.runs("body")).To(BeNumerically("<=", 3))
	})

	// Guards against running requests whose callers no longer wait.
	It("cancels a queued forwarded request when its caller cancels", func() {
		c.eachMinion(func(m *fakeMinion) { m.serviceTime = 100 * time.Millisecond })
		var group sync.WaitGroup
		for i := range 48 {
			group.Go(func() { c.daemons[1+i%2].submit(fmt.Sprint(i), "load", false, time.Second) })
		}
		time.Sleep(30 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		reply := c.daemons[0].router.Submit(ctx, router.Request{ID: "gone", Organisation: "o", Deadline: time.Now().Add(time.Second),
			Submission: api.RequestSubmit{Entry: "service", Key: "gone", Body: []byte("gone")}})
		Expect(reply.Result.Outcome).NotTo(Equal(api.OutcomeRan))
		group.Wait()
		Expect(c.runs("gone")).To(BeZero())
	})

	// Guards against traces that end at the daemon that received the request.
	It("passes the trace on to peers and minions", func() {
		ctx, root := c.tracerProvider.Tracer("test").Start(context.Background(), "root")
		reply := c.daemons[0].router.Submit(ctx, router.Request{ID: "r", Organisation: "o", Deadline: time.Now().Add(submitTimeout),
			Submission: api.RequestSubmit{Entry: "service", Key: "k", Body: []byte("body")}})
		Expect(reply.Result.Outcome).To(Equal(api.OutcomeRan))
		names := map[string]bool{}
		for _, span := range c.spanRecorder.Ended() {
			if span.SpanContext().TraceID() == root.SpanContext().TraceID() {
				names[span.Name()] = true
			}
		}
		Expect(names).To(HaveKey("peer"))
		Expect(names).To(HaveKey("forwarded request"))
		Expect(names).To(HaveKey("minion"))
	})

	// Guards against daemons that give different answers for one key.
	It("returns the stored answer through another daemon and refuses another body", func() {
		first := c.daemons[1].submit("k", "body", true, submitTimeout)
		Expect(first.Result.Outcome).To(Equal(api.OutcomeRan))
		for _, d := range c.daemons {
			again := d.submit("k", "body", true, submitTimeout)
			Expect(again.Result.Body).To(Equal(first.Result.Body))
			Expect(again.Result.Outcome).To(Equal(api.OutcomeRan))
			Expect(d.submit("k", "other", true, submitTimeout).Refusal).To(Equal(router.KeyReused))
		}
		Expect(c.runs("body")).To(Equal(1))
		Expect(c.runs("other")).To(BeZero())
	})

	// Guards against the loss of answers that arrive after the deadline.
	It("stores a late answer and reports the request as in progress until then", func() {
		c.eachMinion(func(m *fakeMinion) { m.serviceTime = 200 * time.Millisecond })
		Expect(c.daemons[1].submit("k", "body", true, 50*time.Millisecond).Result.Outcome).To(Equal(api.OutcomeUnknown))
		Expect(c.daemons[2].submit("k", "body", true, submitTimeout).Result.InProgress).To(BeTrue())
		Eventually(func() api.Outcome {
			result, _, err := c.daemons[0].router.Lookup(context.Background(), "o", "k")
			Expect(err).NotTo(HaveOccurred())
			return result.Outcome
		}).Should(Equal(api.OutcomeRan))
		Expect(c.runs("body")).To(Equal(1))
	})

	// Guards against a planned stop that interrupts requests in flight.
	It("finishes requests in flight and refuses new ones while draining", func() {
		d := c.daemons[1]
		const requests = 40 // fewer than the 48 slots of all minions, so all reach one
		var sent atomic.Int64
		release := make(chan struct{})
		for _, each := range c.daemons {
			each.onSend = func(send func() refplatform.MinionReply) refplatform.MinionReply {
				sent.Add(1)
				<-release
				return send()
			}
		}
		var group sync.WaitGroup
		for i := range requests {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(d.submit(fmt.Sprint(i), fmt.Sprint(i), i%2 == 0, 2*time.Second).Result.Outcome).To(Equal(api.OutcomeRan))
			})
		}
		Eventually(sent.Load).Should(BeEquivalentTo(requests))
		d.draining.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- d.router.Drain(ctx) }()
		Consistently(drained).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		close(release)
		Eventually(drained).WithTimeout(5 * time.Second).Should(Receive(Succeed()))
		group.Wait()
		refused := d.submit("new", "new", false, submitTimeout)
		Expect(refused.Result.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against new requests for minions that are leaving or whose zone is out of
	// service.
	It("sends nothing to leaving minions, even if the VM list has them as live again", func() {
		for i := range 6 {
			c.setVM(i, func(vm *api.VM) { vm.State = api.Leaving })
		}
		time.Sleep(50 * time.Millisecond)
		for i := range 6 {
			c.setVM(i, func(vm *api.VM) { vm.State = api.Live })
		}
		time.Sleep(50 * time.Millisecond)
		Expect(c.daemons[1].submit("k", "body", false, submitTimeout).Result.Outcome).To(Equal(api.OutcomeNotRun))
		c.setVM(0, func(vm *api.VM) { vm.Instance = "2" })
		time.Sleep(80 * time.Millisecond)
		Expect(c.daemons[0].submit("k", "body", false, submitTimeout).Result.Outcome).To(Equal(api.OutcomeRan))
		c.mu.Lock()
		c.zones = []api.Zone{{Name: "b", State: api.Out}}
		c.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		Expect(c.daemons[0].submit("k2", "out", false, submitTimeout).Result.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(c.runs("out")).To(BeZero())
	})

	// Guards against more requests on a minion than it has slots, and against requests
	// that time out in the queue instead of being refused before they are queued.
	It("refuses requests early under overload", func() {
		c.eachMinion(func(m *fakeMinion) { m.serviceTime = 50 * time.Millisecond })
		for i := range 60 {
			c.daemons[i%3].submit(fmt.Sprint("warm", i), "warm", false, submitTimeout)
		}
		var group sync.WaitGroup
		var early, ran atomic.Int64
		for i := range 600 {
			group.Go(func() {
				defer GinkgoRecover()
				reply := c.daemons[i%3].submit(fmt.Sprint(i), "load", false, 200*time.Millisecond)
				switch reply.Result.Outcome {
				case api.OutcomeRan:
					ran.Add(1)
				case api.OutcomeNotRun:
					Expect(reply.RetryAfter).To(BeNumerically(">", 0))
					if reply.Result.Reason == "the deadline cannot be met" { // refused before it was queued
						early.Add(1)
					}
				}
			})
		}
		group.Wait()
		Expect(early.Load()).To(BeNumerically(">", 300))
		Expect(ran.Load()).To(BeNumerically(">=", 96))
		c.eachMinion(func(m *fakeMinion) { Expect(m.maxBusy).To(BeNumerically("<=", m.slots)) })
	})
})
