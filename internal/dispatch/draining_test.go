package dispatch_test

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

var _ = Describe("A worker that announces when it will leave", func() {
	var f *fixture

	// announce writes the entry of a draining worker with the time that it has left.
	announce := func(i int, remaining time.Duration) {
		entry := f.entry(i, "draining")
		f.writeEntry(i, bytes.Replace(entry, []byte("{"), fmt.Appendf(nil, `{"remaining_ms":%d,`, remaining.Milliseconds()), 1))
	}
	// busyWorker returns the position of the worker that runs the only task.
	busyWorker := func() int {
		busy := -1
		Eventually(func() bool {
			for i, w := range f.workers {
				if len(w.Running()) > 0 {
					busy = i
				}
			}
			return busy >= 0
		}, "3s", "10ms").Should(BeTrue())
		return busy
	}
	submit := func(step batch.Step) {
		f.submit(batch.Job{ID: "a", Spec: `{"ms":60000,"saves":"c1"}`, Priority: 1, Steps: []batch.Step{step}})
	}

	BeforeEach(func() {
		f = newFixture(4)
		f.workerLease = 20 * time.Second
	})

	// Guards against tasks that wait for the lease of a worker that has left.
	It("has runs that cannot end in time stopped, and they start elsewhere", func() {
		step := task(1)
		step.EstimateMs = 60_000
		f.startDispatcher("d1")
		submit(step)
		left := busyWorker()
		announce(left, 1600*time.Millisecond)
		Eventually(func() int { return f.ends("stopped") }, "1500ms", "10ms").Should(Equal(1))
		Eventually(func() bool { next := busyWorker(); return next != left && len(f.workers[next].Running()) == 1 }, "2s", "10ms").Should(BeTrue())
	})

	// Guards against work that is thrown away although it could go on and be saved.
	It("lets work with checkpoints go on until the last moment", func() {
		step := task(1)
		step.EstimateMs, step.Checkpoint = 60_000, true
		f.startDispatcher("d1")
		submit(step)
		left := busyWorker()
		announce(left, 2500*time.Millisecond)
		Consistently(func() int { return f.ends("stopped") }, "1s", "50ms").Should(Equal(0))
		Eventually(func() int { return f.ends("stopped") }, "1500ms", "10ms").Should(Equal(1))
	})

	// Guards against stops after the worker has taken its notice back.
	It("keeps its runs if it returns to service", func() {
		step := task(1)
		step.EstimateMs, step.Checkpoint = 60_000, true
		f.startDispatcher("d1")
		submit(step)
		left := busyWorker()
		announce(left, 1500*time.Millisecond)
		Consistently(func() int { return f.ends("stopped") }, "300ms", "50ms").Should(Equal(0))
		f.listWorker(left, "ready")
		Consistently(func() int { return f.ends("stopped") }, "2s", "50ms").Should(Equal(0))
	})

	// Guards against a gang that loses the work of all members with the worker of one.
	It("has a gang stopped as a whole", func() {
		step := task(8)
		step.Tasks, step.Gang, step.EstimateMs = 2, true, 60_000
		f.startDispatcher("d1")
		submit(step)
		left := busyWorker()
		Eventually(func() int { return len(f.running()) }, "3s", "10ms").Should(Equal(2))
		announce(left, 1600*time.Millisecond)
		Eventually(func() int { return f.ends("stopped") }, "1500ms", "10ms").Should(Equal(2))
		Eventually(func() map[string]int { return f.running() }, "3s", "10ms").Should(HaveLen(2))
		Expect(f.workers[left].Running()).To(BeEmpty())
	})

	// Guards against a second run beside one whose stop was not answered.
	It("has no task started elsewhere before the stop is confirmed", func() {
		step := task(1)
		step.EstimateMs = 60_000
		f.startDispatcher("d1")
		submit(step)
		left := busyWorker()
		f.workers[left].SetFault(func(*http.Request) standinfleet.Fault { return standinfleet.NoAnswer })
		announce(left, 1600*time.Millisecond)
		f.remove("servers/" + f.workers[left].ID)
		Consistently(func() int { return f.starts()["a.0.0.0"] }, "3s", "50ms").Should(Equal(1))
	})
})
