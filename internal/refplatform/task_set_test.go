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

// setOf is a renewal of tasks by a holder, without their list.
func setOf(holder string, expires int64, ids ...string) api.RenewTasks {
	return api.RenewTasks{Set: &api.RenewSet{Holder: holder, Hash: refplatform.TaskSetHash(ids), ExpiresMs: expires}}
}

// define adds the list of the tasks to a renewal.
func define(message api.RenewTasks, ids ...string) api.RenewTasks {
	message.Set.TaskIds = ids
	return message
}

func (f workerFixture) renewSet(message api.RenewTasks) api.TaskReports {
	ginkgo.GinkgoHelper()
	answer, err := f.client.RenewSet(context.Background(), f.address, message)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return answer
}

var _ = ginkgo.Describe("Renewal of sets", func() {
	var f workerFixture
	ginkgo.BeforeEach(func() { f = newWorkerFixture(0) })

	ginkgo.It("hashes a set whatever the order of its tasks", func() {
		gomega.Expect(refplatform.TaskSetHash([]string{"a", "b"})).To(gomega.Equal(refplatform.TaskSetHash([]string{"b", "a"})))
		gomega.Expect(refplatform.TaskSetHash([]string{"ab"})).NotTo(gomega.Equal(refplatform.TaskSetHash([]string{"a", "b"})))
	})

	ginkgo.It("extends the tasks of a known set and lists only changes", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		first := f.renewSet(define(setOf("k", in(2*longLease), "a", "b"), "a", "b"))
		gomega.Expect(first.Tasks).To(gomega.HaveLen(2), "a definition is answered with all states")
		expires := in(3 * longLease)
		message := setOf("k", expires, "a", "b")
		message.Set.Seen = first.Change
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.BeEmpty())
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(expires))
		f.act(api.Checkpoint, "b")
		answer := f.renewSet(message)
		gomega.Expect(answer.Tasks).To(gomega.HaveLen(1))
		gomega.Expect(answer.Tasks[0].CheckpointObject).NotTo(gomega.BeEmpty())
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.HaveLen(1), "the holder has not seen the change")
		message.Set.Seen = answer.Change
		gomega.Expect(f.renewSet(message).Tasks).To(gomega.BeEmpty())
	})

	// Guards against renewals of nothing that pass for renewals.
	ginkgo.It("renews nothing for an unknown set", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		f.renewSet(define(setOf("k", 0, "a"), "a"))
		before := f.task("a").LeaseExpiresMs
		for _, message := range []api.RenewTasks{
			setOf("other", in(2*longLease), "a"), setOf("k", in(2*longLease), "a", "b"),
		} {
			message.Leases = []api.TaskLease{{TaskID: "a", LeaseExpiresMs: in(2 * longLease)}}
			answer := f.renewSet(message)
			gomega.Expect(answer.UnknownSet).To(gomega.BeTrue())
			gomega.Expect(answer.Set).To(gomega.BeEmpty())
		}
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(before))
		gomega.Expect(f.host.RestartWorker("w1")).To(gomega.Succeed())
		gomega.Expect(f.renewSet(setOf("k", 0, "a")).UnknownSet).To(gomega.BeTrue())
	})

	// Guards against the extension of a gang with an unacknowledged member.
	ginkgo.It("gives the listed tasks their own expiry and shortens no lease", func() {
		f.start(startTask("a", nil))
		f.start(startTask("b", nil))
		own, common := in(2*longLease), in(3*longLease)
		message := define(setOf("k", common, "a", "b"), "a", "b")
		message.Leases = []api.TaskLease{{TaskID: "b", LeaseExpiresMs: own}}
		f.renewSet(message)
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(common))
		gomega.Expect(f.task("b").LeaseExpiresMs).To(gomega.Equal(own))
		f.renewSet(setOf("k", in(0), "a", "b"))
		gomega.Expect(f.task("a").LeaseExpiresMs).To(gomega.Equal(common))
	})

	// Guards against acknowledgements for tasks that the worker does not hold, and
	// against ends that are told only once.
	ginkgo.It("names missing tasks and repeats ended and held ones", func() {
		f.start(startTask("done", runFor(1)))
		held := startTask("held", nil)
		held.Held = true
		f.start(held)
		f.start(startTask("runs", nil))
		gomega.Eventually(f.exit("done"), "3s", "10ms").Should(gomega.Equal(api.TaskExitSucceeded))
		ids := []string{"done", "gone", "held", "runs"}
		message := define(setOf("k", in(longLease), ids...), ids...)
		for range 3 {
			answer := f.renewSet(message)
			gomega.Expect(answer.Missing).To(gomega.Equal([]string{"gone"}))
			states := map[string]api.TaskState{}
			for _, t := range answer.Tasks {
				states[t.TaskID] = t.State
			}
			gomega.Expect(states).To(gomega.HaveKeyWithValue("done", api.TaskStateEnded))
			gomega.Expect(states).To(gomega.HaveKeyWithValue("held", api.TaskStateHeld))
			message = setOf("k", in(longLease), ids...)
			message.Set.Seen = answer.Change
		}
	})

	ginkgo.It("keeps one set for each holder", func() {
		f.start(startTask("a", nil))
		f.renewSet(define(setOf("k1", 0, "a"), "a"))
		f.renewSet(define(setOf("k2", 0, "b"), "b"))
		gomega.Expect(f.renewSet(setOf("k1", 0, "a")).UnknownSet).To(gomega.BeFalse())
		gomega.Expect(f.renewSet(setOf("k2", 0, "b")).Missing).To(gomega.Equal([]string{"b"}))
	})

	ginkgo.It("refuses a definition whose hash does not fit", func() {
		_, err := f.client.RenewSet(context.Background(), f.address, define(setOf("k", 0, "a"), "b"))
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against answers of older workers that look as if all tasks ran.
	ginkgo.It("is not confirmed by a worker that does not know sets", func() {
		setFaults(f.host, workerTarget, standin.Faults{IgnoreSets: true})
		answer := f.renewSet(define(setOf("k", 0, "a"), "a"))
		gomega.Expect([]any{answer.Set, answer.UnknownSet}).To(gomega.Equal([]any{"", false}))
	})

	ginkgo.DescribeTable("refuses an answer about another set",
		func(body string) {
			client := refplatform.NewWorkers(refplatform.Config{Timeout: time.Second})
			closeAfter(client)
			_, err := client.RenewSet(context.Background(), rawServer(raw("200 OK", "", body)), setOf("k", 0, "a"))
			gomega.Expect(err).To(beMaybeSent())
		},
		ginkgo.Entry("other hash", `{"tasks":[],"set":"0123"}`),
		ginkgo.Entry("known and unknown", `{"tasks":[],"unknown_set":true,"set":"`+refplatform.TaskSetHash([]string{"a"})+`"}`),
	)
})
