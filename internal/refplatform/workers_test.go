package refplatform_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

const (
	workerTarget = "workers/w1"
	// longLease is longer than any spec runs.
	longLease = time.Minute
)

// workerFixture holds a stand-in with one worker of 4 cores and 2 accelerators, and a
// client with the worker's address.
type workerFixture struct {
	standin *standin.Standin
	client  *refplatform.WorkersClient
	address string
}

func newWorkerFixture(timeout time.Duration) workerFixture {
	s := runStandin(standin.Config{
		Objects: &standin.ListenerConfig{},
		Workers: []standin.WorkerConfig{{ID: "w1", Zone: "z1", Rack: "r1", Cores: 4, MemoryMB: 1000, Accelerators: 2, Model: "a100"}},
	})
	client := refplatform.NewWorkers(refplatform.Config{Timeout: timeout})
	closeAfterSpec(client)
	return workerFixture{standin: s, client: client, address: s.Addresses().Workers["w1"]}
}

func unixMsIn(d time.Duration) int64 { return time.Now().Add(d).UnixMilli() }

// startTask returns a start message with a deadline one second from now.
func startTask(id string, parameters map[string]string) api.StartTask {
	return api.StartTask{
		TaskID: id, JobID: "j1", Resources: api.Resources{Cores: 3, MemoryMb: 800, Accelerators: 2}, Accelerators: []int{0, 1},
		StartBeforeMs: unixMsIn(time.Second), LeaseExpiresMs: unixMsIn(longLease), Parameters: parameters,
	}
}

func runFor(ms int) map[string]string {
	return map[string]string{standin.ParamRunMs: fmt.Sprint(ms)}
}

func (f workerFixture) start(task api.StartTask) api.StartReply {
	ginkgo.GinkgoHelper()
	reply, err := f.client.Start(context.Background(), f.address, task)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return reply
}

func (f workerFixture) act(action api.TaskActionKind, ids ...string) []api.TaskReport {
	ginkgo.GinkgoHelper()
	reports, err := f.client.Act(context.Background(), f.address, api.TaskAction{Action: action, TaskIds: ids})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return reports
}

func (f workerFixture) renew(ids ...string) []api.TaskReport {
	ginkgo.GinkgoHelper()
	var leases []api.TaskLease
	for _, id := range ids {
		leases = append(leases, api.TaskLease{TaskID: id, LeaseExpiresMs: unixMsIn(longLease)})
	}
	reports, err := f.client.Renew(context.Background(), f.address, leases)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return reports
}

func (f workerFixture) task(id string) api.TaskReport {
	ginkgo.GinkgoHelper()
	report, err := f.client.Report(context.Background(), f.address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, task := range report.Tasks {
		if task.TaskID == id {
			return task
		}
	}
	return api.TaskReport{}
}

func (f workerFixture) exit(id string) func() api.TaskExit {
	return func() api.TaskExit { return f.task(id).Exit }
}

var _ = ginkgo.Describe("WorkersClient", func() {
	ctx := context.Background()

	ginkgo.It("reports capacity and tasks", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		report, err := f.client.Report(ctx, f.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]any{report.WorkerID, report.Zone, report.Rack, report.Cores, report.Accelerators, report.AcceleratorModel}).
			To(gomega.Equal([]any{"w1", "z1", "r1", 4, 2, "a100"}))
		gomega.Expect(report.Tasks).To(gomega.HaveLen(1))
		gomega.Expect(report.Tasks[0].State).To(gomega.Equal(api.TaskStateRunning))
		gomega.Expect(report.Tasks[0].Accelerators).To(gomega.Equal([]int{0, 1}))
	})

	ginkgo.It("starts a task that exceeds the free capacity", func() {
		f := newWorkerFixture(0)
		gomega.Expect(f.start(startTask("j1.1.0", nil)).Accepted).To(gomega.BeTrue())
		gomega.Expect(f.start(startTask("j2.1.0", nil)).Accepted).To(gomega.BeTrue())
	})

	ginkgo.It("runs a task until it succeeds, or fails as its parameters request", func() {
		f := newWorkerFixture(0)
		f.start(startTask("good", runFor(500))) // longer than the other starts take on a busy machine
		f.start(startTask("bad", map[string]string{standin.ParamRunMs: "50", standin.ParamFail: "true"}))
		f.start(startTask("here", map[string]string{standin.ParamFail: "worker=w1"}))
		f.start(startTask("elsewhere", map[string]string{standin.ParamFail: "worker=w2"}))
		gomega.Expect(f.task("good").State).To(gomega.Equal(api.TaskStateRunning))
		gomega.Eventually(f.exit("good"), "3s", "10ms").Should(gomega.Equal(api.TaskExitSucceeded))
		gomega.Eventually(f.exit("bad"), "3s", "10ms").Should(gomega.Equal(api.TaskExitFailed))
		gomega.Expect(f.task("here").Exit).To(gomega.Equal(api.TaskExitFailed))
		gomega.Expect(f.task("elsewhere").State).To(gomega.Equal(api.TaskStateRunning))
	})

	ginkgo.It("rejects a start after its deadline", func() {
		f := newWorkerFixture(0)
		task := startTask("j1.1.0", nil)
		task.StartBeforeMs = unixMsIn(-time.Millisecond)
		reply := f.start(task)
		gomega.Expect(reply.Accepted).To(gomega.BeFalse())
		gomega.Expect(reply.Task.Exit).To(gomega.Equal(api.TaskExitRefused))
		gomega.Expect(f.standin.TaskHistory()).To(gomega.BeEmpty())
	})

	ginkgo.It("runs a held task only after its release", func() {
		f := newWorkerFixture(0)
		task := startTask("j1.1.0", runFor(1))
		task.Held = true
		gomega.Expect(f.start(task).Task.State).To(gomega.Equal(api.TaskStateHeld))
		gomega.Consistently(func() api.TaskState { return f.task("j1.1.0").State }, "100ms").Should(gomega.Equal(api.TaskStateHeld))
		f.act(api.Release, "j1.1.0")
		gomega.Eventually(f.exit("j1.1.0"), "3s", "10ms").Should(gomega.Equal(api.TaskExitSucceeded))
		history := f.standin.TaskHistory()[0]
		gomega.Expect(history.ReleasedMs).To(gomega.BeNumerically(">=", history.StartedMs+100))
	})

	ginkgo.It("ends held and running tasks when their lease expires, but not a renewed one", func() {
		f := newWorkerFixture(0)
		expires := unixMsIn(300 * time.Millisecond)
		for _, id := range []string{"running", "held", "renewed"} {
			task := startTask(id, nil)
			task.Held, task.LeaseExpiresMs = id == "held", expires
			f.start(task)
		}
		reports := f.renew("renewed", "unknown")
		gomega.Expect(reports).To(gomega.HaveLen(1))
		gomega.Expect(reports[0].LeaseExpiresMs).To(gomega.BeNumerically(">", expires))
		gomega.Eventually(f.exit("running"), "3s", "10ms").Should(gomega.Equal(api.TaskExitLeaseLapsed))
		gomega.Eventually(f.exit("held"), "3s", "10ms").Should(gomega.Equal(api.TaskExitLeaseLapsed))
		gomega.Expect(f.task("renewed").State).To(gomega.Equal(api.TaskStateRunning))
		gomega.Expect(f.renew("running")[0].State).To(gomega.Equal(api.TaskStateEnded))
		for _, history := range f.standin.TaskHistory()[:2] {
			gomega.Expect(history.EndedMs).To(gomega.Equal(expires))
		}
	})

	ginkgo.It("never starts an attempt twice", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		repeated := f.start(startTask("j1.1.0", nil))
		gomega.Expect(repeated.Accepted).To(gomega.BeTrue())
		f.act(api.Stop, "j1.1.0")
		repeated = f.start(startTask("j1.1.0", nil))
		gomega.Expect(repeated.Accepted).To(gomega.BeFalse())
		gomega.Expect(repeated.Task.Exit).To(gomega.Equal(api.TaskExitStopped))
		gomega.Expect(f.standin.TaskHistory()).To(gomega.HaveLen(1))
	})

	ginkgo.It("rejects a start that arrives after its stop", func() {
		f := newWorkerFixture(0)
		gomega.Expect(f.act(api.Stop, "late")).To(gomega.BeEmpty())
		gomega.Expect(f.start(startTask("late", nil)).Accepted).To(gomega.BeFalse())
	})

	ginkgo.It("stops a task, which is in the state stopping while the stop takes time", func() {
		f := newWorkerFixture(0)
		f.start(startTask("slow", map[string]string{standin.ParamStopMs: "100"}))
		f.start(startTask("quick", nil))
		reports := f.act(api.Stop, "slow", "unknown", "quick")
		gomega.Expect(reports).To(gomega.HaveLen(2))
		gomega.Expect(reports[0].State).To(gomega.Equal(api.TaskStateStopping))
		gomega.Expect(reports[1].Exit).To(gomega.Equal(api.TaskExitStopped))
		gomega.Eventually(f.exit("slow"), "3s", "10ms").Should(gomega.Equal(api.TaskExitStopped))
	})

	ginkgo.It("resumes from a checkpoint with the progress stored in it", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", runFor(10_000)))
		time.Sleep(150 * time.Millisecond)
		checkpointed := f.act(api.Checkpoint, "j1.1.0")[0]
		gomega.Expect(checkpointed.CheckpointObject).NotTo(gomega.BeEmpty())
		gomega.Expect(checkpointed.ProgressMs).To(gomega.BeNumerically(">=", 150))
		time.Sleep(50 * time.Millisecond)
		stopped := f.act(api.Stop, "j1.1.0")[0]
		gomega.Expect(stopped.ProgressMs).To(gomega.Equal(checkpointed.ProgressMs), "the reported progress is that of the checkpoint")
		next := startTask("j1.2.0", runFor(10_000))
		next.CheckpointObject = checkpointed.CheckpointObject
		gomega.Expect(f.start(next).Task.ProgressMs).To(gomega.Equal(checkpointed.ProgressMs))
		gomega.Expect(f.standin.TaskHistory()[1].ResumedMs).To(gomega.Equal(checkpointed.ProgressMs))
	})

	ginkgo.It("keeps the last checkpoint while the object store is down", func() {
		f := newWorkerFixture(5 * time.Second)
		f.start(startTask("j1.1.0", nil))
		first := f.act(api.Checkpoint, "j1.1.0")[0].CheckpointObject
		setFaults(f.standin, standin.TargetObjects, standin.Faults{Refuse: true})
		gomega.Expect(f.act(api.Checkpoint, "j1.1.0")[0].CheckpointObject).To(gomega.Equal(first))
		next := startTask("j1.2.0", nil)
		next.CheckpointObject = first
		gomega.Expect(f.start(next).Accepted).To(gomega.BeFalse())
		setFaults(f.standin, standin.TargetObjects, standin.Faults{})
		gomega.Expect(f.start(next).Accepted).To(gomega.BeTrue())
	})

	ginkgo.It("slows a throttled task down until it is released", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		f.act(api.Throttle, "j1.1.0")
		before := f.standin.TaskHistory()[0].ProgressMs
		start := time.Now()
		time.Sleep(200 * time.Millisecond)
		after := f.standin.TaskHistory()[0].ProgressMs
		gomega.Expect(after - before).To(gomega.BeNumerically("<=", time.Since(start).Milliseconds()/2+5))
		gomega.Expect(after - before).To(gomega.BeNumerically(">=", 90))
		f.act(api.Release, "j1.1.0")
		released := f.standin.TaskHistory()[0].ProgressMs
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(f.standin.TaskHistory()[0].ProgressMs - released).To(gomega.BeNumerically(">=", 90))
	})

	ginkgo.It("fails every start while the fault FailStarts is set", func() {
		f := newWorkerFixture(0)
		setFaults(f.standin, workerTarget, standin.Faults{FailStarts: true})
		gomega.Expect(f.start(startTask("j1.1.0", nil)).Task.Exit).To(gomega.Equal(api.TaskExitFailed))
		setFaults(f.standin, workerTarget, standin.Faults{})
		gomega.Expect(f.start(startTask("j1.2.0", nil)).Task.State).To(gomega.Equal(api.TaskStateRunning))
	})

	ginkgo.It("loses its tasks in a restart and gets a new instance", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		before, err := f.client.Report(ctx, f.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(f.standin.RestartWorker("w1")).To(gomega.Succeed())
		after, err := f.client.Report(ctx, f.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(after.Instance).NotTo(gomega.Equal(before.Instance))
		gomega.Expect(after.Tasks).To(gomega.BeEmpty())
		gomega.Expect(f.standin.TaskHistory()[0].EndedMs).To(gomega.BeNumerically(">", 0))
	})

	// Guards against reporting a start as not applied although the task runs, and
	// against running the task twice when the start is repeated.
	ginkgo.DescribeTable("reports a failed start as not applied only if the task certainly did not start",
		func(faults standin.Faults, matcher gomega.OmegaMatcher, runs int) {
			f := newWorkerFixture(shortTimeout)
			setFaults(f.standin, workerTarget, faults)
			_, err := f.client.Start(ctx, f.address, startTask("j1.1.0", nil))
			gomega.Expect(err).To(matcher)
			setFaults(f.standin, workerTarget, standin.Faults{})
			gomega.Eventually(f.standin.TaskHistory, "3s").Should(gomega.HaveLen(runs))
			gomega.Expect(f.start(startTask("j1.1.0", nil)).Accepted).To(gomega.BeTrue())
			gomega.Expect(f.standin.TaskHistory()).To(gomega.HaveLen(1))
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, beNotApplied(), 0),
		ginkgo.Entry("down", standin.Faults{Down: true}, beNotApplied(), 0),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, beMaybeApplied(), 1),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}, beMaybeApplied(), 1),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 400}, beMaybeApplied(), 1),
		ginkgo.Entry("paused until after the timeout", standin.Faults{Silent: true}, beMaybeApplied(), 1),
	)

	ginkgo.It("does not start a task when a paused worker resumes after the start deadline", func() {
		f := newWorkerFixture(shortTimeout)
		setFaults(f.standin, workerTarget, standin.Faults{Silent: true})
		task := startTask("j1.1.0", nil)
		task.StartBeforeMs = unixMsIn(shortTimeout)
		_, err := f.client.Start(ctx, f.address, task)
		gomega.Expect(err).To(beMaybeApplied())
		time.Sleep(50 * time.Millisecond)
		setFaults(f.standin, workerTarget, standin.Faults{})
		gomega.Consistently(f.standin.TaskHistory, "100ms").Should(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("rejects an answer that does not match the call",
		func(body string) {
			address := rawServer(rawAnswer("200 OK", "", body))
			client := refplatform.NewWorkers(refplatform.Config{Timeout: time.Second})
			closeAfterSpec(client)
			_, err := client.Start(ctx, address, startTask("j1.1.0", nil))
			gomega.Expect(err).To(beMaybeApplied())
			_, err = client.Renew(ctx, address, nil)
			gomega.Expect(err).To(beMaybeApplied())
			_, err = client.RenewSet(ctx, address, api.RenewTasks{Set: &api.RenewSet{Hash: "a"}})
			gomega.Expect(err).To(beMaybeApplied())
			_, err = client.Report(ctx, address)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("empty object", `{}`),
		ginkgo.Entry("not JSON", `hello`),
		ginkgo.Entry("another task", `{"accepted":true,"task":{"task_id":"j2.1.0","state":"running"}}`),
		ginkgo.Entry("unknown state", `{"accepted":true,"task":{"task_id":"j1.1.0","state":"x"},"tasks":[{"task_id":"j1.1.0","state":"x"}]}`),
		ginkgo.Entry("ended without an exit", `{"accepted":true,"task":{"task_id":"j1.1.0","state":"ended"},"tasks":[{"task_id":"j1.1.0","state":"ended"}]}`),
	)
})
