package dispatch_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// soon bounds what should take a few calls.
const soon = 3 * time.Second

// onPath applies a fault to the calls of a path, at most n times.
func onPath(path string, fault standinfleet.Fault, n int) func(*http.Request) standinfleet.Fault {
	return func(r *http.Request) standinfleet.Fault {
		if strings.HasSuffix(r.URL.Path, path) && n > 0 {
			n--
			return fault
		}
		return standinfleet.Healthy
	}
}

var _ = Describe("a dispatcher", func() {
	It("runs a job of two steps to its end", func() {
		r := newRig(2)
		r.dispatcher("a")
		second := task(1)
		second.After = []int64{0}
		r.submit(batch.Job{ID: "j", Spec: `{"ms":50}`, Steps: []batch.Step{task(1), second}})
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.starts()).To(Equal(map[string]int{"j.0.0.0": 1, "j.0.1.0": 1}))
	})

	// A plan that was due before the jobs were listed made the term spin, so that
	// it never got the processor time to list them.
	It("does not use the processor while the jobs are not listed", func() {
		r := newRig(1)
		r.store.listDelay = 600 * time.Millisecond
		r.submit(batch.Job{ID: "j", Spec: `{"ms":50}`, Steps: []batch.Step{task(1)}})
		before := processorTime()
		r.dispatcher("a")
		time.Sleep(time.Second)
		Expect(processorTime() - before).To(BeNumerically("<", 300*time.Millisecond))
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
	})

	It("fails a job whose task fails too often, and not before", func() {
		r := newRig(2)
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":10,"ends":"failed"}`, MaxAttempts: 3, Steps: []batch.Step{task(1)}})
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Failed))
		Expect(r.starts()).To(Equal(map[string]int{"j.0.0.0": 3}))
	})

	It("stops the tasks of a cancelled job", func() {
		r := newRig(1)
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":60000}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		r.cancel("j")
		Eventually(r.running).WithTimeout(soon).Should(BeEmpty())
		Expect(r.state("j")()).To(Equal(batch.Cancelled))
	})

	It("evicts other work for an urgent job and starts it again", func() {
		r := newRig(1)
		r.dispatcher("a")
		r.submit(batch.Job{ID: "low", Spec: `{"ms":700}`, Priority: 2, Steps: []batch.Step{task(8)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveKey("low.0.0.0"))
		r.submit(batch.Job{ID: "urgent", Spec: `{"ms":100}`, Steps: []batch.Step{task(8)}})
		Eventually(r.state("urgent")).WithTimeout(soon).Should(Equal(batch.Completed))
		Eventually(r.state("low")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.starts()).To(Equal(map[string]int{"low.0.0.0": 2, "urgent.0.0.0": 1}))
	})

	DescribeTable("never runs a task twice when an order goes wrong", func(fault standinfleet.Fault) {
		r := newRig(2)
		for _, w := range r.workers {
			w.SetFault(onPath("/run-start", fault, 1))
		}
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":1500}`, MaxAttempts: 4, Steps: []batch.Step{task(1)}})
		most := 0
		Eventually(func() batch.State {
			for _, n := range r.running() {
				most = max(most, n)
			}
			return r.state("j")()
		}).WithTimeout(6 * time.Second).WithPolling(5 * time.Millisecond).Should(Equal(batch.Completed))
		Expect(most).To(Equal(1))
	},
		Entry("refused", standinfleet.Busy),
		Entry("never answered", standinfleet.Silent),
		Entry("carried out, answer lost", standinfleet.LoseAnswer),
		Entry("carried out late", standinfleet.Late),
	)

	It("keeps work running through a change of the dispatcher", func() {
		r := newRig(2)
		first, kill := r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":1500}`, Steps: []batch.Step{task(1), task(2)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(2))
		Expect(first.Leading()).To(BeTrue())
		second, _ := r.dispatcher("b")
		kill()
		Eventually(second.Leading).WithTimeout(soon).Should(BeTrue())
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.starts()).To(Equal(map[string]int{"j.0.0.0": 1, "j.0.1.0": 1}))
	})

	It("keeps the lease and the work through an outage of the store", func() {
		r := newRig(1)
		first, _ := r.dispatcher("a")
		second, _ := r.dispatcher("b")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":2500}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		leading := first
		if second.Leading() {
			leading = second
		}
		r.store.setDown(true)
		time.Sleep(3 * testLease)
		r.store.setDown(false)
		Consistently(leading.Leading).WithTimeout(2 * testLease).Should(BeTrue())
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.starts()).To(Equal(map[string]int{"j.0.0.0": 1}))
	})

	// Guards against callers that learn seconds late that their job is done, because
	// the store is away, and against an answer that a crash could make untrue.
	It("tells the state of a job while the store is away, as long as the workers keep its ends", func(ctx SpecContext) {
		r := newRig(1)
		d, _ := r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":400}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		told := func() batch.State { return d.State(ctx, "j") }
		Expect(told()).To(Equal(batch.Running))
		r.store.setDown(true)
		Eventually(told).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.state("j")()).To(Equal(batch.Running))
		Expect(d.State(ctx, "unknown")).To(BeEmpty())
		r.workers[0].SetFault(func(*http.Request) standinfleet.Fault { return standinfleet.Silent })
		Eventually(told).WithTimeout(soon).Should(BeEmpty())
		r.store.setDown(false)
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Eventually(told).WithTimeout(soon).Should(Equal(batch.Completed))
	})

	It("starts the work of a lost worker elsewhere once its lease has run out", func() {
		r := newRig(2)
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":2000}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		lost := 0
		if len(r.workers[1].Running()) > 0 {
			lost = 1
		}
		r.workers[lost].SetFault(func(*http.Request) standinfleet.Fault { return standinfleet.Silent })
		Eventually(func() int { return len(r.workers[1-lost].Running()) }).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(r.workers[lost].Running()).To(BeEmpty())
		Eventually(r.state("j")).WithTimeout(5 * time.Second).Should(Equal(batch.Completed))
	})

	It("starts the work of a worker that has started anew again", func() {
		r := newRig(1)
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":500}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		time.Sleep(5 * time.Millisecond)
		r.workers[0].Restart()
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
	})

	// An entry of the earlier life that came after a report of the new one made the
	// next report look like another start: its work was given up and ran twice.
	It("ignores entries of an earlier life of a worker", func() {
		r := newRig(2)
		stale := [][]byte{r.entry(0, "ready"), r.entry(1, "ready")}
		r.dispatcher("a")
		time.Sleep(5 * time.Millisecond)
		for _, w := range r.workers {
			w.Restart()
		}
		r.submit(batch.Job{ID: "j", Spec: `{"ms":1500}`, Steps: []batch.Step{task(1)}})
		Eventually(r.running).WithTimeout(soon).Should(HaveLen(1))
		time.Sleep(300 * time.Millisecond)
		r.listEntry(0, append(stale[0], ' '))
		r.listEntry(1, append(stale[1], ' '))
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.starts()).To(Equal(map[string]int{"j.0.0.0": 1}))
	})

	It("gives no work to draining workers and to zones out of service", func() {
		r := newRig(2)
		r.list(0, "draining")
		r.dispatcher("a")
		r.submit(batch.Job{ID: "j", Spec: `{"ms":10}`, Steps: []batch.Step{{Tasks: 6, Need: batch.Need{Accelerators: 1}, EstimateMs: 10}}})
		Eventually(r.state("j")).WithTimeout(soon).Should(Equal(batch.Completed))
		Expect(r.workers[0].Started()).To(BeEmpty())
		r.zones.zone = "z1"
		r.submit(batch.Job{ID: "k", Spec: `{"ms":10}`, Steps: []batch.Step{task(1)}})
		Consistently(r.state("k")).WithTimeout(300 * time.Millisecond).Should(Equal(batch.Queued))
	})
})
