package refplatform_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// renewalOf returns a renewal of a task set by its holder, without the task list.
func renewalOf(holder string, expires int64, ids ...string) api.RenewTasks {
	return api.RenewTasks{Set: &api.RenewSet{Holder: holder, Hash: refplatform.TaskSetHash(ids), ExpiresMs: expires}}
}

// withTaskIDs adds the task list that defines the set to a renewal.
func withTaskIDs(message api.RenewTasks, ids ...string) api.RenewTasks {
	message.Set.TaskIds = ids
	return message
}

func (f workerFixture) renewSet(message api.RenewTasks) api.TaskReports {
	ginkgo.GinkgoHelper()
	answer, err := f.client.RenewSet(context.Background(), f.address, message)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return answer
}

var _ = ginkgo.Describe("Renewal of task sets", func() {
	var f workerFixture
	ginkgo.BeforeEach(func() { f = newWorkerFixture(0) })

	ginkgo.It("hashes a set independently of the order of its tasks", func() {
		gomega.Expect(refplatform.TaskSetHash([]string{"a", "b"})).To(gomega.Equal(refplatform.TaskSetHash([]string{"b", "a"})))
		gomega.Expect(refplatform.TaskSetHash([]string{"ab"})).NotTo(gomega.Equal(refplatform.TaskSetHash([]string{"a", "b"})))
	})

	ginkgo.It("extends the leases of a known set and lists only changed tasks", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		first := f.renewSet(withTaskIDs(renewalOf("k", unixMsIn(2*longLease), "a", "b"), "a", "b"))
		gomega.Expect(first.Tasks).To(gomega.HaveLen(2), "the answer to a definition lists all tasks")
		expires := unixMsIn(3 * longLease)
		message := renewalOf("k", expires, "a", "b")
		message.Set.Seen = first.Change
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.BeEmpty())
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(expires))
		f.act(api.Checkpoint, "b")
		answer := f.renewSet(message)
		gomega.Expect(answer.Tasks).To(gomega.HaveLen(1))
		gomega.Expect(answer.Tasks[0].CheckpointObject).NotTo(gomega.BeEmpty())
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.HaveLen(1), "the holder has not acknowledged the change")
		message.Set.Seen = answer.Change
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.BeEmpty())
	})

	// Guards against an answer that confirms the renewal of a set that the worker does
	// not know.
	ginkgo.It("renews nothing for an unknown set", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		f.renewSet(withTaskIDs(renewalOf("k", 0, "a"), "a"))
		before := f.task("a").LeaseExpiresMs
		for _, message := range []api.RenewTasks{
			renewalOf("other", unixMsIn(2*longLease), "a"), renewalOf("k", unixMsIn(2*longLease), "a", "b"),
		} {
			message.Leases = []api.TaskLease{{TaskID: "a", LeaseExpiresMs: unixMsIn(2 * longLease)}}
			answer := f.renewSet(message)
			gomega.Expect(answer.UnknownSet).To(gomega.BeTrue())
			gomega.Expect(answer.Set).To(gomega.BeEmpty())
		}
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(before))
		gomega.Expect(f.standin.RestartWorker("w1")).To(gomega.Succeed())
		gomega.Expect(f.renewSet(renewalOf("k", 0, "a")).UnknownSet).To(gomega.BeTrue())
	})

	// Guards against extending the leases of a gang with an unacknowledged member to the
	// common expiry.
	ginkgo.It("gives the listed tasks their own expiry and shortens no lease", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		individual, common := unixMsIn(2*longLease), unixMsIn(3*longLease)
		message := withTaskIDs(renewalOf("k", common, "a", "b"), "a", "b")
		message.Leases = []api.TaskLease{{TaskID: "b", LeaseExpiresMs: individual}}
		f.renewSet(message)
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(common))
		gomega.Expect(f.task("b").LeaseExpiresMs).To(gomega.Equal(individual))
		f.renewSet(renewalOf("k", unixMsIn(0), "a", "b"))
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(common))
	})

	// Guards against confirming tasks that are not on the worker, and against losing the
	// end of a task with the only answer that reports it.
	ginkgo.It("lists missing, ended and held tasks in every answer", func() {
		f.start(startTask("done", runFor(1)))
		held := startTask("held", nil)
		held.Held = true
		f.start(held)
		f.start(startTask("runs", nil))
		gomega.Eventually(f.exit("done"), "3s", "10ms").Should(gomega.Equal(api.TaskExitSucceeded))
		ids := []string{"done", "gone", "held", "runs"}
		message := withTaskIDs(renewalOf("k", unixMsIn(longLease), ids...), ids...)
		for range 3 {
			answer := f.renewSet(message)
			gomega.Expect(answer.Missing).To(gomega.Equal([]string{"gone"}))
			states := map[string]api.TaskState{}
			for _, t := range answer.Tasks {
				states[t.TaskID] = t.State
			}
			gomega.Expect(states).To(gomega.HaveKeyWithValue("done", api.TaskStateEnded))
			gomega.Expect(states).To(gomega.HaveKeyWithValue("held", api.TaskStateHeld))
			message = renewalOf("k", unixMsIn(longLease), ids...)
			message.Set.Seen = answer.Change
		}
	})

	ginkgo.It("stores one set per holder", func() {
		f.start(startTask("a", nil))
		f.renewSet(withTaskIDs(renewalOf("k1", 0, "a"), "a"))
		f.renewSet(withTaskIDs(renewalOf("k2", 0, "b"), "b"))
		gomega.Expect(f.renewSet(renewalOf("k1", 0, "a")).UnknownSet).To(gomega.BeFalse())
		gomega.Expect(f.renewSet(renewalOf("k2", 0, "b")).Missing).To(gomega.Equal([]string{"b"}))
	})

	ginkgo.It("rejects a definition whose hash does not match its tasks", func() {
		_, err := f.client.RenewSet(context.Background(), f.address, withTaskIDs(renewalOf("k", 0, "a"), "b"))
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against reading the answer of an older worker, which ignores the set, as if
	// all tasks were running.
	ginkgo.It("is not confirmed by a worker that does not support task sets", func() {
		setFaults(f.standin, workerTarget, standin.Faults{IgnoreSets: true})
		answer := f.renewSet(withTaskIDs(renewalOf("k", 0, "a"), "a"))
		gomega.Expect([]any{answer.Set, answer.UnknownSet}).To(gomega.Equal([]any{"", false}))
	})

	ginkgo.DescribeTable("rejects an answer about another set",
		func(body string) {
			client := refplatform.NewWorkers(refplatform.Config{Timeout: time.Second})
			closeAfterSpec(client)
			_, err := client.RenewSet(context.Background(), rawServer(rawAnswer("200 OK", "", body)), renewalOf("k", 0, "a"))
			gomega.Expect(err).To(beMaybeApplied())
		},
		ginkgo.Entry("other hash", `{"tasks":[],"set":"0123"}`),
		ginkgo.Entry("known and unknown", `{"tasks":[],"unknown_set":true,"set":"`+refplatform.TaskSetHash([]string{"a"})+`"}`),
	)
})
