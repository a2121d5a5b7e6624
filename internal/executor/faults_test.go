package executor_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/table"
)

type (
	peersKind    = peers.Kind
	peersHandler = peers.Handler
)

const running = api.TaskStateRunning

var _ = Describe("job path", func() {
	// Guards against a job that is accepted and not run to its end.
	It("starts, keeps and ends a gang", func() {
		c := newCluster(4, "a", "b")
		c.workers.runFor = 2 * taskLease
		a := c.start("a")
		c.start("b")
		c.add("j", 3)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		Eventually(a.job("j")).Should(inState(api.JobStateSucceeded))
		for _, t := range c.workers.all("j") {
			Expect(t.Exit).To(Equal(api.TaskExitSucceeded))
		}
		Expect(a.job("j")().Attempt).To(Equal(1))
	})

	// Guards against placements that are lost with their planner.
	DescribeTable("planner dies in the middle of a start", func(prepare func(*cluster, *daemon), reached api.TaskState, tasks int) {
		c := newCluster(3, "a", "b")
		a := c.start("a")
		b := c.start("b")
		prepare(c, a)
		c.add("j", 3)
		Eventually(b.job("j")).Should(inState(api.JobStatePlaced))
		Eventually(func() int { return c.live("j", reached) }).Should(Equal(tasks))
		a.kill()
		killed := time.Now()
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		GinkgoWriter.Printf("running %s after the death of the planner\n", time.Since(killed))
		Expect(b.job("j")().Attempt).To(Equal(1))
		Expect(c.live("j", running)).To(Equal(3))
		Consistently(func() int { return c.live("j", running) }, 2*taskLease).Should(Equal(3))
	},
		Entry("between commit and start", func(c *cluster, _ *daemon) { c.view.cut("a", true) }, api.TaskStateHeld, 0),
		Entry("between start and release", func(_ *cluster, a *daemon) {
			release := api.Release
			a.workers.failAct.Store(&release)
		}, api.TaskStateHeld, 3),
	)

	// Guards against two plans for one zone: the frozen planner's commit must fail.
	It("fences a frozen holder that wakes up and commits", func() {
		c := newCluster(3, "a", "b")
		a := c.start("a")
		b := c.start("b")
		thaw := a.store.freeze()
		c.add("j", 2)
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		placed := b.job("j")()
		c.add("k", 2)
		Eventually(b.job("k")).Should(inState(api.JobStateRunning))
		thaw()
		Eventually(func() []table.CommitStatus { return a.store.outcomes(jobs.Key("j")) }).Should(ContainElement(table.Conflict))
		Expect(a.store.outcomes(jobs.Key("j"))).To(HaveEach(table.Conflict))
		Consistently(b.job("j"), 500*time.Millisecond).Should(Equal(placed))
		Expect(a.control.Leading()).To(BeFalse())
		Expect(c.live("j", running)).To(Equal(2))
	})

	// Guards against a commit that is repeated under another placement because its
	// answer was lost.
	It("runs each job once when answers of commits are lost", func() {
		c := newCluster(6, "a")
		c.workers.runFor = 200 * time.Millisecond
		a := c.start("a")
		c.store.set(func() { c.store.lose = func(n int) bool { return n%3 == 0 } })
		for i := range 8 {
			c.add(fmt.Sprintf("j%d", i), 2)
		}
		for i := range 8 {
			id := fmt.Sprintf("j%d", i)
			Eventually(a.job(id)).Should(inState(api.JobStateSucceeded))
			Expect(c.workers.all(id)).To(HaveLen(2))
			Expect(a.job(id)().Attempt).To(Equal(1))
		}
	})

	// Guards against starts in a zone that was taken out a few seconds ago.
	It("starts nothing when the zone goes out between the check and the send", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		var out atomic.Int64
		var sent sync.WaitGroup
		sent.Add(2)
		c.workers.set(func() {
			c.workers.beforeStart = func(string) {
				// Both members have passed the check when the zone goes out.
				sent.Done()
				sent.Wait()
				if out.CompareAndSwap(0, time.Now().UnixMilli()) {
					c.view.setState(api.Out)
				}
				time.Sleep(zoneConfirmation + 50*time.Millisecond)
			}
		})
		c.add("j", 2)
		Eventually(out.Load).ShouldNot(BeZero())
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateWaiting), HaveField("Attempt", 1)))
		Expect(c.workers.all("j")).To(BeEmpty())
		c.workers.set(func() {
			Expect(c.workers.refused).To(Equal(2))
			c.workers.beforeStart = nil
		})
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against held tasks that begin to run in a zone that was taken out a
	// few seconds ago.
	It("runs nothing when the zone goes out while the release is on its way", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		var sent sync.WaitGroup
		sent.Add(2)
		var out atomic.Bool
		c.workers.set(func() {
			c.workers.beforeRelease = func(string) {
				if out.Load() {
					return
				}
				sent.Done()
				sent.Wait()
				out.Store(true)
				c.view.setState(api.Out)
				time.Sleep(zoneConfirmation + 50*time.Millisecond)
			}
		})
		c.add("j", 2)
		Eventually(out.Load).Should(BeTrue())
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateWaiting), HaveField("Attempt", 1)))
		for _, t := range c.workers.all("j") {
			Expect(t.released).To(BeFalse(), "task %s was released", t.TaskID)
		}
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against an urgent job that waits for a whole task lease because a
	// worker falls silent while the gang starts.
	It("places a gang anew at once when a worker falls silent before the release", func() {
		c := newCluster(4, "a")
		a := c.start("a")
		var silent atomic.Pointer[string]
		c.workers.set(func() {
			c.workers.beforeStart = func(worker string) {
				if silent.CompareAndSwap(nil, &worker) {
					c.workers.set(func() { c.workers.unreachable[worker] = true })
				}
			}
		})
		began := time.Now()
		c.add("j", 2)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", BeNumerically(">", 1))))
		Expect(time.Since(began)).To(BeNumerically("<", startWait+taskLease), "the start waited for the lease")
		for _, place := range a.job("j")().Placement {
			Expect(place.Worker).NotTo(Equal(*silent.Load()))
		}
	})

	// Guards against a gang of which a part goes on alone.
	It("ends all members within one lease time when one cannot be renewed", func() {
		c := newCluster(6, "a", "b")
		a := c.start("a")
		c.start("b")
		c.add("j", 3)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		time.Sleep(taskLease)
		lost := a.job("j")().Placement[1].Worker
		cut := time.Now()
		c.workers.set(func() { c.workers.unreachable[lost] = true })
		Eventually(func() int { return c.live("j", running) }, taskLease+skew).Should(BeZero())
		latest := time.Duration(0)
		for _, t := range c.workers.all("j") {
			latest = max(latest, t.ended.Sub(cut))
		}
		GinkgoWriter.Printf("all members had ended %s after one was cut off, lease %s\n", latest, taskLease)
		Expect(latest).To(BeNumerically("<=", taskLease))
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		Expect(a.job("j")().Failures[0].Worker).To(Equal(lost))
	})

	// Guards against running work that dies with the table service.
	It("keeps tasks through a long outage of the store", func() {
		c := newCluster(4, "a", "b")
		a := c.start("a")
		b := c.start("b")
		c.add("j", 3)
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		c.store.set(func() { c.store.down = true })
		Consistently(func() int { return c.live("j", running) }, 4*taskLease).Should(Equal(3))
		Expect(a.control.Leading()).To(BeFalse())
		a.kill()
		Consistently(func() int { return c.live("j", running) }, 2*taskLease).Should(Equal(3))
		c.store.set(func() { c.store.down = false })
		Eventually(b.control.Leading).Should(BeTrue())
		c.add("k", 1)
		Eventually(b.job("k")).Should(inState(api.JobStateRunning))
		Expect(b.job("j")()).To(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 1)))
	})

	// Guards against jobs that are handed to a keeper without rows.
	It("keeps tasks when a daemon comes up during an outage of the store", func() {
		c := newCluster(4, "a", "b", "c")
		a := c.start("a")
		b := c.start("b")
		for i := range 6 {
			c.add(fmt.Sprintf("j%d", i), 2)
		}
		Eventually(func() int { return countIn(b, api.JobStateRunning) }).Should(Equal(6))
		c.store.set(func() { c.store.down = true })
		a.kill()
		c.start("c")
		Consistently(func() (n int) {
			for i := range 6 {
				n += c.live(fmt.Sprintf("j%d", i), running)
			}
			return n
		}, 3*taskLease).Should(Equal(12))
		c.store.set(func() { c.store.down = false })
	})

	// Guards against work that is lost when a zone leaves and returns.
	It("checkpoints and stops work when the zone goes out, and resumes it", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		c.add("j", 2, func(j *api.Job) { j.Spec.Checkpoint = true })
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		c.view.setState(api.Out)
		Eventually(a.job("j")).Should(inState(api.JobStateWaiting))
		kept := a.job("j")()
		Expect(kept.Checkpoints).To(HaveLen(2))
		Expect(kept.ProgressMs).To(BeNumerically(">", 0))
		Consistently(a.job("j"), 500*time.Millisecond).Should(inState(api.JobStateWaiting))
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("ProgressMs", kept.ProgressMs)))
	})

	// Guards against a job of many hours that starts again from the beginning
	// after it has lost a worker.
	It("goes on from a periodic checkpoint when a worker loses its tasks", func() {
		c := newCluster(3, "a")
		c.checkpointEvery = 200 * time.Millisecond
		a := c.start("a")
		c.add("j", 2, func(j *api.Job) { j.Spec.Checkpoint = true })
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("ProgressMs", BeNumerically(">", 0))))
		lost := a.job("j")().Placement[0].Worker
		c.workers.set(func() { clear(c.workers.tasks[lost]) })
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		for _, t := range c.workers.all("j") {
			if _, attempt, _, _ := jobs.ParseTaskID(t.TaskID); attempt == 2 {
				Expect(t.ProgressMs).To(BeNumerically(">", 0))
			}
		}
	})

	// Guards against a part of a gang that is left over by a failed start.
	It("stops the started members when one does not start, and tries elsewhere", func() {
		c := newCluster(4, "a")
		a := c.start("a")
		Eventually(func() []api.WorkerStatus { return a.control.Current().Workers }).Should(HaveEach(HaveField("AcceleratorsFree", 8)))
		c.workers.set(func() { c.workers.unreachable["w1"] = true })
		c.add("j", 2)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		Expect(a.job("j")().Failures).To(ConsistOf(SatisfyAll(HaveField("Worker", "w1"), HaveField("Reason", ContainSubstring("not started")))))
		Expect(c.live("j", running, api.TaskStateHeld)).To(Equal(2))
	})

	// Guards against a job that is retried for ever.
	It("stops the gang of a failed task and gives up after several workers", func() {
		c := newCluster(5, "a")
		a := c.start("a")
		c.workers.set(func() {
			for i := range 5 {
				c.workers.failing[fmt.Sprintf("w%d", i)] = true
			}
		})
		c.add("j", 1)
		Eventually(a.job("j")).Should(inState(api.JobStateFailed))
		Expect(jobs.FailingWorkers(a.job("j")())).To(Equal(jobs.MaxFailingWorkers))
	})

	// Guards against a place that is given away while a foreign task holds it.
	It("stops reported tasks that are in no job row", func() {
		c := newCluster(1, "a")
		now := time.Now()
		_, err := c.workers.Start(context.Background(), "w0", api.StartTask{TaskID: "ghost.1.0", JobID: "ghost", Accelerators: []int{0},
			StartBeforeMs: now.Add(time.Second).UnixMilli(), LeaseExpiresMs: now.Add(time.Minute).UnixMilli()})
		Expect(err).NotTo(HaveOccurred())
		a := c.start("a")
		c.add("j", 1)
		Eventually(func() int { return c.live("ghost", api.TaskStateHeld) }).Should(BeZero())
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against a wave of cancellations that exceeds the write limit or leaves
	// tasks behind.
	It("ends a wave of cancelled jobs", func() {
		const wave = 40
		c := newCluster(6, "a")
		a := c.start("a")
		for i := range wave {
			c.add(fmt.Sprintf("j%d", i), 1)
		}
		Eventually(func() int { return countIn(a, api.JobStateRunning) }).Should(Equal(wave))
		before := c.commits()
		began := time.Now()
		var group sync.WaitGroup
		for i := range wave {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				a.service.Cancel(ctx, fmt.Sprintf("j%d", i), func(api.Job) bool { return true })
			})
		}
		group.Wait()
		Eventually(func() int { return countIn(a, api.JobStateCancelled) }).Should(Equal(wave))
		GinkgoWriter.Printf("%d jobs cancelled and ended in %s with %d commits\n", wave, time.Since(began), c.commits()-before)
		for i := range wave {
			Expect(c.live(fmt.Sprintf("j%d", i), running, api.TaskStateHeld)).To(BeZero())
		}
	})

	// Guards against a takeover that waits for the lease after a graceful shutdown.
	It("hands planning over at once when the planner leaves", func() {
		c := newCluster(2, "a", "b")
		a := c.start("a")
		b := c.start("b")
		Eventually(func() string { return b.control.Current().Planner }).Should(Equal("a"))
		Expect(a.control.Resign(context.Background())).To(Succeed())
		Eventually(b.control.Leading, plannerLease/2).Should(BeTrue())
	})
})

func countIn(d *daemon, state api.JobState) int {
	n := 0
	for _, row := range d.follower.Rows() {
		if row.Job.State == state && strings.HasPrefix(row.Job.ID, "j") {
			n++
		}
	}
	return n
}

func (c *cluster) commits() int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.commits
}
