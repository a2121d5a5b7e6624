package dispatch_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// startTimes returns when the runs of a task were started, in order.
func (f *fixture) startTimes(task string) []time.Time {
	var times []time.Time
	for _, w := range f.workers {
		for _, r := range w.Records() {
			if r.Task == task {
				times = append(times, r.Started)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

var _ = Describe("Worker health", func() {
	// Guards against one persistent task that always fails and excludes all workers of its
	// service, one after the other.
	It("serves other jobs beside a persistent task that always fails", func() {
		f := newFixture(3)
		f.startDispatcher("a")
		f.submit(batch.Job{ID: "p", Spec: `{"ms":20,"ends":"failed"}`, Steps: []batch.Step{{Tasks: 1, Persistent: true, Need: batch.Need{MilliCPU: 1000}, EstimateMs: 300}}})
		Eventually(func() int { return len(f.startTimes("p.0.0.0")) }).WithTimeout(15 * time.Second).Should(BeNumerically(">=", 6))
		for _, id := range []string{"j", "k"} {
			f.submit(batch.Job{ID: id, Spec: `{"ms":20}`, Steps: []batch.Step{{Tasks: 3, Gang: true, Need: batch.Need{Accelerators: 8}, EstimateMs: 20}}})
			Eventually(f.state(id)).WithTimeout(2 * time.Second).Should(Equal(batch.Completed))
		}
		times := f.startTimes("p.0.0.0")
		for i := range times[1:] {
			Expect(times[i+1].Sub(times[i])).To(BeNumerically("<", 6*time.Second))
		}
		// Without a back-off of the task the last of these follow each other within some ms.
		Expect(times[5].Sub(times[3])).To(BeNumerically(">", 1500*time.Millisecond))
	})

	// Guards against jobs that wait for runs which make no progress any more until their
	// worker is replaced, and against the stop of such a run that counts as an attempt.
	// After a take-over the next dispatcher has to judge the runs that it adopts.
	DescribeTable("moves runs without progress to other workers", func(takeOver bool) {
		f := newFixture(4)
		f.guarantees = map[string]int64{"o": 8}
		_, kill := f.startDispatcher("a")
		f.submit(batch.Job{ID: "u", Organisation: "o", Spec: `{"ms":60000}`, Steps: []batch.Step{{Tasks: 4, MaxPerWorker: 1, Need: batch.Need{Accelerators: 2}, EstimateMs: 100}}})
		f.submit(batch.Job{ID: "p", Spec: `{"ms":60000}`, Steps: []batch.Step{{Tasks: 4, Persistent: true, MaxPerWorker: 1, Need: batch.Need{MilliCPU: 1000}, EstimateMs: 100}}})
		f.submit(batch.Job{ID: "j", Spec: `{"ms":5000}`, Steps: []batch.Step{{Tasks: 8, MaxPerWorker: 2, Need: batch.Need{Accelerators: 2}, EstimateMs: 5000}}})
		Eventually(f.running).WithTimeout(timeout).Should(HaveLen(16))
		time.Sleep(time.Second)
		hung := map[string]bool{}
		for _, key := range f.workers[0].Running() {
			hung[key.Task] = true
		}
		f.workers[0].SetHung(true)
		if takeOver {
			kill()
			f.startDispatcher("b")
		}
		Eventually(f.state("j")).WithTimeout(14 * time.Second).Should(Equal(batch.Completed))
		// The worker is the only one with room, and may get the tasks again on trial.
		for task, starts := range f.starts() {
			switch {
			case strings.HasPrefix(task, "p.") || !hung[task]:
				Expect(starts).To(Equal(1), task+" is persistent or on a worker without fault")
			case strings.HasPrefix(task, "j."):
				Expect(starts).To(BeElementOf(2, 3), task)
			default:
				Expect(starts).To(BeNumerically("<=", 3), task+" is covered, and may be moved as well")
			}
		}
	}, Entry("found by the same dispatcher", false), Entry("found by its successor", true))

	// Guards against members of a gang that run on while another one is started elsewhere.
	It("moves a gang without progress as a whole", func() {
		f := newFixture(3)
		gangs := standinfleet.NewGangs(5 * time.Second)
		for _, w := range f.workers {
			w.Gangs = gangs
		}
		f.startDispatcher("a")
		step := func(tasks int) batch.Step {
			return batch.Step{Tasks: tasks, Gang: true, MaxPerWorker: 1, Need: batch.Need{Accelerators: 4}, EstimateMs: 6000}
		}
		f.submit(batch.Job{ID: "j", Spec: `{"ms":6000,"gang":2}`, Steps: []batch.Step{step(2)}})
		Eventually(f.running).WithTimeout(timeout).Should(HaveLen(2))
		first := slices.IndexFunc(f.workers, func(w *standinfleet.Worker) bool { return len(w.Running()) == 0 })
		f.submit(batch.Job{ID: "k", Spec: `{"ms":8000,"gang":1}`, Steps: []batch.Step{{Tasks: 1, Gang: true, Need: batch.Need{Accelerators: 8}, EstimateMs: 6000}}})
		Eventually(f.running).WithTimeout(timeout).Should(HaveLen(3))
		Expect(f.workers[first].Running()).To(HaveLen(1))
		time.Sleep(700 * time.Millisecond)
		for i, w := range f.workers {
			w.SetHung(i != first)
		}
		Eventually(func() []int { return []int{f.starts()["j.0.0.0"], f.starts()["j.0.0.1"]} }).WithTimeout(8 * time.Second).Should(Equal([]int{2, 2}))
		Expect(f.ends("stopped") + f.ends("broken")).To(Equal(2))
		for _, w := range f.workers {
			w.SetHung(false)
		}
		Eventually(f.state("j")).WithTimeout(14 * time.Second).Should(Equal(batch.Completed))
	})
})
