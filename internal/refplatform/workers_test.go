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
	// longLease outlives a spec.
	longLease = time.Minute
)

// workerFixture is a client with one worker of 4 cores and 2 accelerators.
type workerFixture struct {
	host    *standin.Standin
	client  *refplatform.WorkersClient
	address string
}

func newWorkerFixture(timeout time.Duration) workerFixture {
	s := host(standin.Config{
		Objects: &standin.ListenerConfig{},
		Workers: []standin.WorkerConfig{{ID: "w1", Zone: "z1", Rack: "r1", Cores: 4, MemoryMB: 1000, Accelerators: 2, Model: "a100"}},
	})
	client := refplatform.NewWorkers(refplatform.Config{Timeout: timeout})
	closeAfter(client)
	return workerFixture{host: s, client: client, address: s.Addresses().Workers["w1"]}
}

func in(d time.Duration) int64 { return time.Now().Add(d).UnixMilli() }

// startTask is a task that may start within a second.
func startTask(id string, parameters map[string]string) api.StartTask {
	return api.StartTask{
		TaskID: id, JobID: "j1", Resources: api.Resources{Cores: 3, MemoryMb: 800, Accelerators: 2}, Accelerators: []int{0, 1},
		StartBeforeMs: in(time.Second), LeaseExpiresMs: in(longLease), Parameters: parameters,
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
		leases = append(leases, api.TaskLease{TaskID: id, LeaseExpiresMs: in(longLease)})
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

	ginkgo.It("starts a task that does not fit", func() {
		f := newWorkerFixture(0)
		gomega.Expect(f.start(startTask("j1.1.0", nil)).Accepted).To(gomega.BeTrue())
		gomega.Expect(f.start(startTask("j2.1.0", nil)).Accepted).To(gomega.BeTrue())
	})

	ginkgo.It("runs a task to its end, or to the failure that it asks for", func() {
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

	ginkgo.It("refuses a start after its deadline", func() {
		f := newWorkerFixture(0)
		task := startTask("j1.1.0", nil)
		task.StartBeforeMs = in(-time.Millisecond)
		reply := f.start(task)
		gomega.Expect(reply.Accepted).To(gomega.BeFalse())
		gomega.Expect(reply.Task.Exit).To(gomega.Equal(api.TaskExitRefused))
		gomega.Expect(f.host.TaskHistory()).To(gomega.BeEmpty())
	})

	ginkgo.It("lets a held task run only after a release", func() {
		f := newWorkerFixture(0)
		task := startTask("j1.1.0", runFor(1))
		task.Held = true
		gomega.Expect(f.start(task).Task.State).To(gomega.Equal(api.TaskStateHeld))
		gomega.Consistently(func() api.TaskState { return f.task("j1.1.0").State }, "100ms").Should(gomega.Equal(api.TaskStateHeld))
		f.act(api.Release, "j1.1.0")
		gomega.Eventually(f.exit("j1.1.0"), "3s", "10ms").Should(gomega.Equal(api.TaskExitSucceeded))
		history := f.host.TaskHistory()[0]
		gomega.Expect(history.ReleasedMs).To(gomega.BeNumerically(">=", history.StartedMs+100))
	})

	ginkgo.It("ends held and running tasks whose lease lapses, and not the renewed one", func() {
		f := newWorkerFixture(0)
		expires := in(300 * time.Millisecond)
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
		for _, history := range f.host.TaskHistory()[:2] {
			gomega.Expect(history.EndedMs).To(gomega.Equal(expires))
		}
	})

	ginkgo.It("never starts an attempt twice", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		again := f.start(startTask("j1.1.0", nil))
		gomega.Expect(again.Accepted).To(gomega.BeTrue())
		f.act(api.Stop, "j1.1.0")
		again = f.start(startTask("j1.1.0", nil))
		gomega.Expect(again.Accepted).To(gomega.BeFalse())
		gomega.Expect(again.Task.Exit).To(gomega.Equal(api.TaskExitStopped))
		gomega.Expect(f.host.TaskHistory()).To(gomega.HaveLen(1))
	})

	ginkgo.It("refuses a start that arrives after its stop", func() {
		f := newWorkerFixture(0)
		gomega.Expect(f.act(api.Stop, "late")).To(gomega.BeEmpty())
		gomega.Expect(f.start(startTask("late", nil)).Accepted).To(gomega.BeFalse())
	})

	ginkgo.It("stops a task, passing through the state stopping when that takes time", func() {
		f := newWorkerFixture(0)
		f.start(startTask("slow", map[string]string{standin.ParamStopMs: "100"}))
		f.start(startTask("quick", nil))
		reports := f.act(api.Stop, "slow", "unknown", "quick")
		gomega.Expect(reports).To(gomega.HaveLen(2))
		gomega.Expect(reports[0].State).To(gomega.Equal(api.TaskStateStopping))
		gomega.Expect(reports[1].Exit).To(gomega.Equal(api.TaskExitStopped))
		gomega.Eventually(f.exit("slow"), "3s", "10ms").Should(gomega.Equal(api.TaskExitStopped))
	})

	ginkgo.It("resumes from a checkpoint with the progress that it holds", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", runFor(10_000)))
		time.Sleep(150 * time.Millisecond)
		saved := f.act(api.Checkpoint, "j1.1.0")[0]
		gomega.Expect(saved.CheckpointObject).NotTo(gomega.BeEmpty())
		gomega.Expect(saved.ProgressMs).To(gomega.BeNumerically(">=", 150))
		time.Sleep(50 * time.Millisecond)
		stopped := f.act(api.Stop, "j1.1.0")[0]
		gomega.Expect(stopped.ProgressMs).To(gomega.Equal(saved.ProgressMs), "reported progress is what the checkpoint holds")
		next := startTask("j1.2.0", runFor(10_000))
		next.CheckpointObject = saved.CheckpointObject
		gomega.Expect(f.start(next).Task.ProgressMs).To(gomega.Equal(saved.ProgressMs))
		gomega.Expect(f.host.TaskHistory()[1].ResumedMs).To(gomega.Equal(saved.ProgressMs))
	})

	ginkgo.It("keeps the last checkpoint when the object store is down", func() {
		f := newWorkerFixture(5 * time.Second)
		f.start(startTask("j1.1.0", nil))
		first := f.act(api.Checkpoint, "j1.1.0")[0].CheckpointObject
		setFaults(f.host, standin.TargetObjects, standin.Faults{Refuse: true})
		gomega.Expect(f.act(api.Checkpoint, "j1.1.0")[0].CheckpointObject).To(gomega.Equal(first))
		next := startTask("j1.2.0", nil)
		next.CheckpointObject = first
		gomega.Expect(f.start(next).Accepted).To(gomega.BeFalse())
		setFaults(f.host, standin.TargetObjects, standin.Faults{})
		gomega.Expect(f.start(next).Accepted).To(gomega.BeTrue())
	})

	ginkgo.It("slows a throttled task down until it is released again", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		f.act(api.Throttle, "j1.1.0")
		before := f.host.TaskHistory()[0].ProgressMs
		began := time.Now()
		time.Sleep(200 * time.Millisecond)
		after := f.host.TaskHistory()[0].ProgressMs
		gomega.Expect(after - before).To(gomega.BeNumerically("<=", time.Since(began).Milliseconds()/2+5))
		gomega.Expect(after - before).To(gomega.BeNumerically(">=", 90))
		f.act(api.Release, "j1.1.0")
		fast := f.host.TaskHistory()[0].ProgressMs
		time.Sleep(100 * time.Millisecond)
		gomega.Expect(f.host.TaskHistory()[0].ProgressMs - fast).To(gomega.BeNumerically(">=", 90))
	})

	ginkgo.It("fails every start when told so", func() {
		f := newWorkerFixture(0)
		setFaults(f.host, workerTarget, standin.Faults{FailStarts: true})
		gomega.Expect(f.start(startTask("j1.1.0", nil)).Task.Exit).To(gomega.Equal(api.TaskExitFailed))
		setFaults(f.host, workerTarget, standin.Faults{})
		gomega.Expect(f.start(startTask("j1.2.0", nil)).Task.State).To(gomega.Equal(api.TaskStateRunning))
	})

	ginkgo.It("forgets its tasks in a restart and takes a new instance", func() {
		f := newWorkerFixture(0)
		f.start(startTask("j1.1.0", nil))
		before, err := f.client.Report(ctx, f.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(f.host.RestartWorker("w1")).To(gomega.Succeed())
		after, err := f.client.Report(ctx, f.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(after.Instance).NotTo(gomega.Equal(before.Instance))
		gomega.Expect(after.Tasks).To(gomega.BeEmpty())
		gomega.Expect(f.host.TaskHistory()[0].EndedMs).To(gomega.BeNumerically(">", 0))
	})

	// Guards against a start that is taken for not made although the task runs,
	// and against a second run when the start is repeated.
	ginkgo.DescribeTable("leaves open whether a failed start ran, unless nothing was sent",
		func(faults standin.Faults, matcher gomega.OmegaMatcher, runs int) {
			f := newWorkerFixture(shortTimeout)
			setFaults(f.host, workerTarget, faults)
			_, err := f.client.Start(ctx, f.address, startTask("j1.1.0", nil))
			gomega.Expect(err).To(matcher)
			setFaults(f.host, workerTarget, standin.Faults{})
			gomega.Eventually(f.host.TaskHistory, "3s").Should(gomega.HaveLen(runs))
			gomega.Expect(f.start(startTask("j1.1.0", nil)).Accepted).To(gomega.BeTrue())
			gomega.Expect(f.host.TaskHistory()).To(gomega.HaveLen(1))
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, beNotSent(), 0),
		ginkgo.Entry("down", standin.Faults{Down: true}, beNotSent(), 0),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, beMaybeSent(), 1),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}, beMaybeSent(), 1),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 400}, beMaybeSent(), 1),
		ginkgo.Entry("silent, then resumed", standin.Faults{Silent: true}, beMaybeSent(), 1),
	)

	ginkgo.It("does not start a task when a silent worker resumes after the start deadline", func() {
		f := newWorkerFixture(shortTimeout)
		setFaults(f.host, workerTarget, standin.Faults{Silent: true})
		task := startTask("j1.1.0", nil)
		task.StartBeforeMs = in(shortTimeout)
		_, err := f.client.Start(ctx, f.address, task)
		gomega.Expect(err).To(beMaybeSent())
		time.Sleep(50 * time.Millisecond)
		setFaults(f.host, workerTarget, standin.Faults{})
		gomega.Consistently(f.host.TaskHistory, "100ms").Should(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("refuses an answer that does not fit the call",
		func(body string) {
			address := rawServer(raw("200 OK", "", body))
			client := refplatform.NewWorkers(refplatform.Config{Timeout: time.Second})
			closeAfter(client)
			_, err := client.Start(ctx, address, startTask("j1.1.0", nil))
			gomega.Expect(err).To(beMaybeSent())
			_, err = client.Renew(ctx, address, nil)
			gomega.Expect(err).To(beMaybeSent())
			_, err = client.RenewSet(ctx, address, api.RenewTasks{Set: &api.RenewSet{Hash: "a"}})
			gomega.Expect(err).To(beMaybeSent())
			_, err = client.Report(ctx, address)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("empty object", `{}`),
		ginkgo.Entry("no JSON", `hello`),
		ginkgo.Entry("another task", `{"accepted":true,"task":{"task_id":"j2.1.0","state":"running"}}`),
		ginkgo.Entry("unknown state", `{"accepted":true,"task":{"task_id":"j1.1.0","state":"x"},"tasks":[{"task_id":"j1.1.0","state":"x"}]}`),
		ginkgo.Entry("ended without an exit", `{"accepted":true,"task":{"task_id":"j1.1.0","state":"ended"},"tasks":[{"task_id":"j1.1.0","state":"ended"}]}`),
	)
})
