package guarantees

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

// maxFailedWorkers is the number of different workers on which a job must fail until the
// scheduler stops restarting it.
const maxFailedWorkers = 3

// quarantinedWorkers lists the workers that the planner reports as quarantined.
func (z *zoneUnderTest) quarantinedWorkers(ctx context.Context) []string {
	var out []string
	for id, w := range z.workerStates(ctx) {
		if w.State == "quarantined" {
			out = append(out, id)
		}
	}
	return out
}

var _ = Describe("a worker that fails every start", func() {
	// Guards against healthy jobs that fail for good: without the quarantine, a job is
	// placed on the broken worker repeatedly and loses an attempt each time.
	It("is quarantined, and the jobs succeed on other workers", func(ctx SpecContext) {
		z := startCluster(ctx, 4, catalogue(nil))
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{FailStarts: true})).To(Succeed())
		var ids []string
		for i := range 6 {
			job := jobTemplate{key: fmt.Sprintf("job-%d", i), tasks: 1, parameters: map[string]string{standin.ParamRunMs: "300"}}
			ids = append(ids, z.submit(ctx, borrower, job.spec()))
		}
		for _, id := range ids {
			Eventually(z.state(ctx, id), eventualTimeout, pollEvery).Should(Equal(api.JobStateSucceeded))
		}
		Eventually(func() []string { return z.quarantinedWorkers(ctx) }, eventualTimeout, pollEvery).Should(ConsistOf(firstWorker))
		Expect(z.workerStates(ctx)[firstWorker].Reason).To(ContainSubstring("different jobs failed"))
		attemptsBefore := len(z.tasksOnWorker(firstWorker))
		for i := range 3 {
			job := jobTemplate{key: fmt.Sprintf("later-%d", i), tasks: 1, parameters: map[string]string{standin.ParamRunMs: "300"}}
			Eventually(z.state(ctx, z.submit(ctx, borrower, job.spec())), eventualTimeout, pollEvery).Should(Equal(api.JobStateSucceeded))
		}
		Expect(z.tasksOnWorker(firstWorker)).To(HaveLen(attemptsBefore), "a quarantined worker got a task")
		z.checkAccelerators()
	}, SpecTimeout(specTimeout))
})

// tasksOnWorker returns the task history of a worker.
func (z *zoneUnderTest) tasksOnWorker(id string) []standin.TaskHistory {
	GinkgoHelper()
	all, err := z.Standin.Tasks()
	Expect(err).NotTo(HaveOccurred())
	var out []standin.TaskHistory
	for _, t := range all {
		if t.Worker == id {
			out = append(out, t)
		}
	}
	return out
}

var _ = Describe("a job that fails everywhere", func() {
	// Guards against a broken job that is retried without limit and has one worker after
	// the other quarantined.
	DescribeTable("fails after a few workers, and no worker is quarantined for it",
		func(ctx SpecContext, tasks int) {
			z := startCluster(ctx, 5, catalogue(nil))
			job := jobTemplate{key: "broken", tasks: tasks, parameters: map[string]string{standin.ParamFail: "now"}}
			id := z.submit(ctx, borrower, job.spec())
			Eventually(z.state(ctx, id), 2*eventualTimeout, pollEvery).Should(BeElementOf(api.JobStateFailed, api.JobStateRefused))
			Expect(z.job(ctx, id).Reason).To(ContainSubstring("different workers"))
			failedWorkers := map[string]bool{}
			for _, f := range z.job(ctx, id).Failures {
				failedWorkers[f.Worker] = true
			}
			Expect(len(failedWorkers)).To(BeNumerically("<=", maxFailedWorkers+tasks-1))
			Expect(z.quarantinedWorkers(ctx)).To(BeEmpty())
			healthy := jobTemplate{key: "healthy", tasks: 5, parameters: map[string]string{standin.ParamRunMs: "300"}}
			Eventually(z.state(ctx, z.submit(ctx, borrower, healthy.spec())), eventualTimeout, pollEvery).Should(Equal(api.JobStateSucceeded))
			Expect(z.quarantinedWorkers(ctx)).To(BeEmpty())
		},
		Entry("with one task", SpecTimeout(specTimeout), 1),
		Entry("as a gang", SpecTimeout(specTimeout), 2),
	)
})

var _ = Describe("a job that can never run", func() {
	// Guards against a job that can never start but is accepted, or is refused late, so
	// that its caller waits in vain.
	It("is refused on submission with the reason", func(ctx SpecContext) {
		z := startCluster(ctx, 2, catalogue(nil))
		for reason, change := range map[string]func(*api.JobSpec){
			"5 accelerators": func(s *api.JobSpec) { s.Resources.Accelerators = acceleratorsPerWorker + 1 },
			"17 cores":       func(s *api.JobSpec) { s.Resources.Cores = 17 },
			"3 tasks":        func(s *api.JobSpec) { s.Tasks = 3 },
			"does not exist": func(s *api.JobSpec) { s.Zones = []string{"nowhere"} },
		} {
			spec := jobTemplate{key: reason, tasks: 1}.spec()
			change(&spec)
			for _, d := range z.Daemons {
				var problem api.Problem
				Expect(call(ctx, http.MethodPost, d.CallersURL()+"/v1/jobs", token(borrower), spec, &problem)).
					To(Equal(http.StatusUnprocessableEntity), "%s: %s", reason, problem.Detail)
				Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
				Expect(problem.Detail).To(ContainSubstring(reason))
			}
		}
		Expect(z.tasksOnWorker(firstWorker)).To(BeEmpty())
	}, SpecTimeout(specTimeout))

	DescribeTable("is refused with the reason when a change makes it impossible while it waits",
		func(ctx SpecContext, change func(*api.Catalogue), reason string) {
			z := startCluster(ctx, 2, catalogue(nil))
			running := z.fill(ctx, 1, jobTemplate{})
			gang := jobTemplate{key: "gang", tasks: 2}
			id := z.submit(ctx, borrower, gang.spec())
			Eventually(func() string { return z.job(ctx, id).Reason }, eventualTimeout, pollEvery).ShouldNot(BeEmpty())
			Expect(z.state(ctx, id)()).To(Equal(api.JobStateWaiting))
			c := catalogue(nil)
			change(&c)
			z.apply(ctx, c)
			Eventually(z.state(ctx, id), eventualTimeout, pollEvery).Should(Equal(api.JobStateRefused))
			Expect(z.job(ctx, id).Reason).To(ContainSubstring(reason))
			Expect(explain(ctx, z.runningDaemon(), token(borrower), id)).To(ContainSubstring(reason))
			Expect(z.history(id)).To(BeEmpty())
			Expect(z.state(ctx, running[0])()).To(Equal(api.JobStateRunning), "a running job was affected")
		},
		Entry("by the limit of its entry", SpecTimeout(specTimeout), func(c *api.Catalogue) { c.Entries[0].Limits.MaxTasks = 1 }, "allows 1"),
		Entry("by the quota of its organisation", SpecTimeout(specTimeout), func(c *api.Catalogue) { c.Organisations[2].QuotaAccelerators = 4 }, "quota"),
	)
})

var _ = Describe("explain", func() {
	// Guards against explanations that only say that a job waits: its owner cannot tell
	// whether something has to be done about it.
	It("names the jobs that hold the accelerators of a job that waits for a reclaim", func(ctx SpecContext) {
		z := startCluster(ctx, 2, catalogue(map[string]int{owner: 1}))
		z.fill(ctx, 2, jobTemplate{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "900", standin.ParamStopMs: "3000"}})
		gang := jobTemplate{key: "gang", tasks: 1}
		id := z.submit(ctx, owner, gang.spec())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), id) }, 3*pollEvery+startBound/4, pollEvery).Should(And(
				ContainSubstring("inside the guarantee of owner"), MatchRegexp(`It starts when fill-\d of borrower has stopped`)), d.ID())
		}
		z.awaitRunning(ctx, id)
		Eventually(func() string { return explain(ctx, z.Daemons[0], token(owner), id) }, eventualTimeout, pollEvery).
			Should(ContainSubstring("nobody else can take the place"))
	}, SpecTimeout(specTimeout))

	It("names the jobs that hold what a borrower waits for, and the jobs that borrow from an organisation", func(ctx SpecContext) {
		z := startCluster(ctx, 2, catalogue(map[string]int{owner: 1}))
		z.fill(ctx, 2, jobTemplate{})
		gang := jobTemplate{key: "gang", tasks: 2}
		id := z.submit(ctx, secondOwner, gang.spec())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(secondOwner), id) }, eventualTimeout, pollEvery).Should(And(
				ContainSubstring("only 0 of them are free in zone "+zone),
				MatchRegexp(`held by fill-\d of borrower \(4 accelerators\) and fill-\d of borrower \(4 accelerators\); it starts when enough of them end`)), d.ID())
			Eventually(func() string { return explain(ctx, d, harness.OperatorToken, owner) }, eventualTimeout, pollEvery).Should(
				MatchRegexp(`Others borrow 4 accelerators of the guaranteed place: fill-\d of borrower \(4\); they are checkpointed and stopped within seconds when owner needs it`), d.ID())
		}
	}, SpecTimeout(specTimeout))

	It("says where a request ran, and that it is not sent twice while it has no answer", func(ctx SpecContext) {
		z := startCluster(ctx, 1, catalogue(nil))
		send := func(key string) int {
			return call(ctx, http.MethodPost, z.runningDaemon().CallersURL()+"/v1/requests", token(owner),
				api.RequestSubmit{Entry: "plans", Key: key, Body: []byte("{}"), NonIdempotent: true}, nil)
		}
		Eventually(func() int { return send("plan-1") }, eventualTimeout, 10*pollEvery).Should(Equal(http.StatusOK))
		Expect(z.Standin.SetFaults("minions/"+zone+"-minion-1", standin.Faults{SlowMs: 3000})).To(Succeed())
		slow := make(chan int, 1)
		go func() { slow <- send("plan-2") }()
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), "plan-1") }, eventualTimeout, pollEvery).
				Should(ContainSubstring("ran on minion "+zone+"-minion-1"), d.ID())
			Eventually(func() string { return explain(ctx, d, token(owner), "plan-2") }, eventualTimeout, pollEvery).
				Should(ContainSubstring("has no answer yet; it is not sent a second time"), d.ID())
		}
		Expect(<-slow).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))
})
