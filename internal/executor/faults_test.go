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

// These aliases spare cluster_test.go the import of package peers.
type (
	peersKind    = peers.Kind
	peersHandler = peers.Handler
)

const running = api.TaskStateRunning

var _ = Describe("job lifecycle", func() {
	// Guards against a job that is accepted but not run to its end. It runs for
	// longer than its lease, so the leases must be renewed.
	It("starts a gang, renews its leases and ends it", func() {
		c := newCluster(4, "a", "b")
		c.workers.runTime = 2 * taskLease
		a := c.start("a")
		c.start("b")
		c.addJob("j", 3)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		Eventually(a.job("j")).Should(inState(api.JobStateSucceeded))
		for _, t := range c.workers.tasksOf("j") {
			Expect(t.Exit).To(Equal(api.TaskExitSucceeded))
		}
		Expect(a.job("j")().Attempt).To(Equal(1))
	})

	// Guards against placements that are lost when the planner that committed them
	// crashes during the start.
	DescribeTable("another daemon resumes a start when the planner crashes", func(prepare func(*cluster, *daemon), reached api.TaskState, tasks int) {
		c := newCluster(3, "a", "b")
		a := c.start("a")
		b := c.start("b")
		prepare(c, a)
		c.addJob("j", 3)
		Eventually(b.job("j")).Should(inState(api.JobStatePlaced))
		Eventually(func() int { return c.countTasks("j", reached) }).Should(Equal(tasks))
		a.kill()
		killed := time.Now()
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		GinkgoWriter.Printf("running %s after the crash of the planner\n", time.Since(killed))
		Expect(b.job("j")().Attempt).To(Equal(1))
		Expect(c.countTasks("j", running)).To(Equal(3))
		Consistently(func() int { return c.countTasks("j", running) }, 2*taskLease).Should(Equal(3))
	},
		Entry("between the commit and the start", func(c *cluster, _ *daemon) { c.view.setCutOff("a", true) }, api.TaskStateHeld, 0),
		Entry("between the start and the release", func(_ *cluster, a *daemon) {
			release := api.Release
			a.workers.failAct.Store(&release)
		}, api.TaskStateHeld, 3),
	)

	// Guards against two plans for one zone: the commit of a planner that was frozen
	// past its lease must fail.
	It("fences a frozen lease holder that resumes and commits", func() {
		c := newCluster(3, "a", "b")
		a := c.start("a")
		b := c.start("b")
		thaw := a.store.freeze()
		c.addJob("j", 2)
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		placed := b.job("j")()
		c.addJob("k", 2)
		Eventually(b.job("k")).Should(inState(api.JobStateRunning))
		thaw()
		Eventually(func() []table.CommitStatus { return a.store.outcomes(jobs.Key("j")) }).Should(ContainElement(table.Conflict))
		Expect(a.store.outcomes(jobs.Key("j"))).To(HaveEach(table.Conflict))
		Consistently(b.job("j"), 500*time.Millisecond).Should(Equal(placed))
		Expect(a.control.Leading()).To(BeFalse())
		Expect(c.countTasks("j", running)).To(Equal(2))
	})

	// Guards against a commit that is retried with another placement because its
	// answer was lost.
	It("runs each job once when answers of commits are lost", func() {
		c := newCluster(6, "a")
		c.workers.runTime = 200 * time.Millisecond
		a := c.start("a")
		c.store.update(func() { c.store.loseAnswer = func(n int) bool { return n%3 == 0 } })
		for i := range 8 {
			c.addJob(fmt.Sprintf("j%d", i), 2)
		}
		for i := range 8 {
			id := fmt.Sprintf("j%d", i)
			Eventually(a.job(id)).Should(inState(api.JobStateSucceeded))
			Expect(c.workers.tasksOf(id)).To(HaveLen(2))
			Expect(a.job(id)().Attempt).To(Equal(1))
		}
	})

	// Guards against starts in a zone that has just been taken out of service: the
	// start is delayed after its confirmation was checked.
	It("starts nothing when the zone goes out of service between the check and the send", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		var out atomic.Int64
		var sent sync.WaitGroup
		sent.Add(2)
		c.workers.update(func() {
			c.workers.beforeStart = func(string) {
				// The zone goes out of service after both members have passed the check.
				sent.Done()
				sent.Wait()
				if out.CompareAndSwap(0, time.Now().UnixMilli()) {
					c.view.setState(api.Out)
				}
				time.Sleep(zoneConfirmation + 50*time.Millisecond)
			}
		})
		c.addJob("j", 2)
		Eventually(out.Load).ShouldNot(BeZero())
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateWaiting), HaveField("Attempt", 1)))
		Expect(c.workers.tasksOf("j")).To(BeEmpty())
		c.workers.update(func() {
			Expect(c.workers.refusedStarts).To(Equal(2))
			c.workers.beforeStart = nil
		})
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against held tasks that begin to run in a zone that has just been taken
	// out of service: the release is delayed in transit.
	It("runs nothing when the zone goes out of service while the release is in transit", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		var sent sync.WaitGroup
		sent.Add(2)
		var out atomic.Bool
		c.workers.update(func() {
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
		c.addJob("j", 2)
		Eventually(out.Load).Should(BeTrue())
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateWaiting), HaveField("Attempt", 1)))
		for _, t := range c.workers.tasksOf("j") {
			Expect(t.released).To(BeFalse(), "task %s was released", t.TaskID)
		}
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against an urgent job that waits for a whole task lease because a
	// worker stops responding while the gang starts.
	It("places a gang again without waiting for the lease when a worker stops responding before the release", func() {
		c := newCluster(4, "a")
		a := c.start("a")
		var unresponsive atomic.Pointer[string]
		c.workers.update(func() {
			c.workers.beforeStart = func(worker string) {
				if unresponsive.CompareAndSwap(nil, &worker) {
					c.workers.update(func() { c.workers.unreachable[worker] = true })
				}
			}
		})
		began := time.Now()
		c.addJob("j", 2)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", BeNumerically(">", 1))))
		Expect(time.Since(began)).To(BeNumerically("<", startWait+taskLease), "the start waited for the lease")
		for _, placement := range a.job("j")().Placement {
			Expect(placement.Worker).NotTo(Equal(*unresponsive.Load()))
		}
	})

	// Guards against a gang of which a part continues without the rest.
	It("ends all members within one lease time when the lease of one cannot be renewed", func() {
		c := newCluster(6, "a", "b")
		a := c.start("a")
		c.start("b")
		c.addJob("j", 3)
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		time.Sleep(taskLease)
		lost := a.job("j")().Placement[1].Worker
		cutAt := time.Now()
		c.workers.update(func() { c.workers.unreachable[lost] = true })
		Eventually(func() int { return c.countTasks("j", running) }, taskLease+skew).Should(BeZero())
		latest := time.Duration(0)
		for _, t := range c.workers.tasksOf("j") {
			latest = max(latest, t.endedAt.Sub(cutAt))
		}
		GinkgoWriter.Printf("all members had ended %s after one was cut off, lease %s\n", latest, taskLease)
		Expect(latest).To(BeNumerically("<=", taskLease))
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		Expect(a.job("j")().Failures[0].Worker).To(Equal(lost))
	})

	// Guards against running tasks that end because the table service is down: leases
	// must be renewed without it, also after the planner has crashed.
	It("keeps tasks running through a long outage of the store", func() {
		c := newCluster(4, "a", "b")
		a := c.start("a")
		b := c.start("b")
		c.addJob("j", 3)
		Eventually(b.job("j")).Should(inState(api.JobStateRunning))
		c.store.update(func() { c.store.down = true })
		Consistently(func() int { return c.countTasks("j", running) }, 4*taskLease).Should(Equal(3))
		Expect(a.control.Leading()).To(BeFalse())
		a.kill()
		Consistently(func() int { return c.countTasks("j", running) }, 2*taskLease).Should(Equal(3))
		c.store.update(func() { c.store.down = false })
		Eventually(b.control.Leading).Should(BeTrue())
		c.addJob("k", 1)
		Eventually(b.job("k")).Should(inState(api.JobStateRunning))
		Expect(b.job("j")()).To(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 1)))
	})

	// Guards against jobs that are assigned to a lease keeper that has not read the
	// job rows: a daemon that starts during the outage must not take over renewals.
	It("keeps tasks running when a daemon starts during an outage of the store", func() {
		c := newCluster(4, "a", "b", "c")
		a := c.start("a")
		b := c.start("b")
		for i := range 6 {
			c.addJob(fmt.Sprintf("j%d", i), 2)
		}
		Eventually(func() int { return countIn(b, api.JobStateRunning) }).Should(Equal(6))
		c.store.update(func() { c.store.down = true })
		a.kill()
		c.start("c")
		Consistently(func() (n int) {
			for i := range 6 {
				n += c.countTasks(fmt.Sprintf("j%d", i), running)
			}
			return n
		}, 3*taskLease).Should(Equal(12))
		c.store.update(func() { c.store.down = false })
	})

	// Guards against progress that is lost when a zone goes out of service and returns.
	It("checkpoints and stops work when the zone goes out of service, and resumes it", func() {
		c := newCluster(3, "a")
		a := c.start("a")
		c.addJob("j", 2, func(j *api.Job) { j.Spec.Checkpoint = true })
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
		c.view.setState(api.Out)
		Eventually(a.job("j")).Should(inState(api.JobStateWaiting))
		stopped := a.job("j")()
		Expect(stopped.Checkpoints).To(HaveLen(2))
		Expect(stopped.ProgressMs).To(BeNumerically(">", 0))
		Consistently(a.job("j"), 500*time.Millisecond).Should(inState(api.JobStateWaiting))
		c.view.setState(api.In)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("ProgressMs", stopped.ProgressMs)))
	})

	// Guards against a job of many hours that starts again from the beginning after
	// one of its workers has lost its tasks.
	It("resumes from a periodic checkpoint when a worker loses its tasks", func() {
		c := newCluster(3, "a")
		c.checkpointEvery = 200 * time.Millisecond
		a := c.start("a")
		c.addJob("j", 2, func(j *api.Job) { j.Spec.Checkpoint = true })
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("ProgressMs", BeNumerically(">", 0))))
		lost := a.job("j")().Placement[0].Worker
		c.workers.update(func() { clear(c.workers.tasks[lost]) })
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		for _, t := range c.workers.tasksOf("j") {
			if _, attempt, _, _ := jobs.ParseTaskID(t.TaskID); attempt == 2 {
				Expect(t.ProgressMs).To(BeNumerically(">", 0))
			}
		}
	})

	// Guards against members of a gang that stay behind after a failed start.
	It("stops the started members when one does not start, and retries on other workers", func() {
		c := newCluster(4, "a")
		a := c.start("a")
		Eventually(func() []api.WorkerStatus { return a.control.Current().Workers }).Should(HaveEach(HaveField("AcceleratorsFree", 8)))
		c.workers.update(func() { c.workers.unreachable["w1"] = true })
		c.addJob("j", 2)
		Eventually(a.job("j")).Should(SatisfyAll(inState(api.JobStateRunning), HaveField("Attempt", 2)))
		Expect(a.job("j")().Failures).To(ConsistOf(SatisfyAll(HaveField("Worker", "w1"), HaveField("Reason", ContainSubstring("not started")))))
		Expect(c.countTasks("j", running, api.TaskStateHeld)).To(Equal(2))
	})

	// Guards against a job that is retried for ever.
	It("stops retrying a job whose task has failed on several workers", func() {
		c := newCluster(5, "a")
		a := c.start("a")
		c.workers.update(func() {
			for i := range 5 {
				c.workers.failing[fmt.Sprintf("w%d", i)] = true
			}
		})
		c.addJob("j", 1)
		Eventually(a.job("j")).Should(inState(api.JobStateFailed))
		Expect(jobs.FailingWorkers(a.job("j")())).To(Equal(jobs.MaxFailingWorkers))
	})

	// Guards against accelerators that are assigned to a job while an orphaned task
	// holds them.
	It("stops reported tasks that are in no job row", func() {
		c := newCluster(1, "a")
		now := time.Now()
		_, err := c.workers.Start(context.Background(), "w0", api.StartTask{TaskID: "ghost.1.0", JobID: "ghost", Accelerators: []int{0},
			StartBeforeMs: now.Add(time.Second).UnixMilli(), LeaseExpiresMs: now.Add(time.Minute).UnixMilli()})
		Expect(err).NotTo(HaveOccurred())
		a := c.start("a")
		c.addJob("j", 1)
		Eventually(func() int { return c.countTasks("ghost", api.TaskStateHeld) }).Should(BeZero())
		Eventually(a.job("j")).Should(inState(api.JobStateRunning))
	})

	// Guards against many concurrent cancellations that exceed the write limit or
	// leave tasks behind.
	It("ends many jobs that are cancelled at once", func() {
		const count = 40
		c := newCluster(6, "a")
		a := c.start("a")
		for i := range count {
			c.addJob(fmt.Sprintf("j%d", i), 1)
		}
		Eventually(func() int { return countIn(a, api.JobStateRunning) }).Should(Equal(count))
		before := c.commits()
		began := time.Now()
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				a.service.Cancel(ctx, fmt.Sprintf("j%d", i), func(api.Job) bool { return true })
			})
		}
		group.Wait()
		Eventually(func() int { return countIn(a, api.JobStateCancelled) }).Should(Equal(count))
		GinkgoWriter.Printf("%d jobs cancelled and ended in %s with %d commits\n", count, time.Since(began), c.commits()-before)
		for i := range count {
			Expect(c.countTasks(fmt.Sprintf("j%d", i), running, api.TaskStateHeld)).To(BeZero())
		}
	})

	// Guards against a takeover that waits for the planner lease to expire after a
	// graceful shutdown.
	It("hands planning over at once when the planner resigns", func() {
		c := newCluster(2, "a", "b")
		a := c.start("a")
		b := c.start("b")
		Eventually(func() string { return b.control.Current().Planner }).Should(Equal("a"))
		Expect(a.control.Resign(context.Background())).To(Succeed())
		Eventually(b.control.Leading, plannerLease/2).Should(BeTrue())
	})
})

// countIn counts the jobs in the state whose names start with "j".
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
