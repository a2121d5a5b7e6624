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

// maxWorkersBlamed is the number of workers on which a job may fail.
const maxWorkersBlamed = 3

// quarantined lists the workers in quarantine as the planner sees them.
func (z *zoneUnderTest) quarantined(ctx context.Context) []string {
	var out []string
	for id, w := range z.workerStates(ctx) {
		if w.State == "quarantined" {
			out = append(out, id)
		}
	}
	return out
}

var _ = Describe("a worker that fails every start", func() {
	// Without the quarantine each job loses an attempt on it again and again, and
	// is given up in the end although nothing is wrong with it.
	It("is quarantined, and the jobs finish elsewhere and are not blamed", func(ctx SpecContext) {
		z := start(ctx, 4, catalogue(nil))
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{FailStarts: true})).To(Succeed())
		var ids []string
		for i := range 6 {
			w := work{key: fmt.Sprintf("job-%d", i), tasks: 1, parameters: map[string]string{standin.ParamRunMs: "300"}}
			ids = append(ids, z.submit(ctx, borrower, w.spec()))
		}
		for _, id := range ids {
			Eventually(z.state(ctx, id), settleWait, pollEvery).Should(Equal(api.JobStateSucceeded))
		}
		Eventually(func() []string { return z.quarantined(ctx) }, settleWait, pollEvery).Should(ConsistOf(firstWorker))
		Expect(z.workerStates(ctx)[firstWorker].Reason).To(ContainSubstring("different jobs failed"))
		attempts := len(z.onWorker(firstWorker))
		for i := range 3 {
			w := work{key: fmt.Sprintf("later-%d", i), tasks: 1, parameters: map[string]string{standin.ParamRunMs: "300"}}
			Eventually(z.state(ctx, z.submit(ctx, borrower, w.spec())), settleWait, pollEvery).Should(Equal(api.JobStateSucceeded))
		}
		Expect(z.onWorker(firstWorker)).To(HaveLen(attempts), "a quarantined worker was given a task")
		z.checkAccelerators()
	}, SpecTimeout(specWait))
})

// onWorker lists the attempts on a worker.
func (z *zoneUnderTest) onWorker(id string) []standin.TaskHistory {
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
	// Endless retries of one job would take every worker out of service in turn.
	DescribeTable("is given up, and no worker is quarantined for it",
		func(ctx SpecContext, tasks int) {
			z := start(ctx, 5, catalogue(nil))
			w := work{key: "broken", tasks: tasks, parameters: map[string]string{standin.ParamFail: "now"}}
			id := z.submit(ctx, borrower, w.spec())
			Eventually(z.state(ctx, id), 2*settleWait, pollEvery).Should(BeElementOf(api.JobStateFailed, api.JobStateRefused))
			Expect(z.job(ctx, id).Reason).To(ContainSubstring("different workers"))
			failed := map[string]bool{}
			for _, f := range z.job(ctx, id).Failures {
				failed[f.Worker] = true
			}
			Expect(len(failed)).To(BeNumerically("<=", maxWorkersBlamed+tasks-1))
			Expect(z.quarantined(ctx)).To(BeEmpty())
			healthy := work{key: "healthy", tasks: 5, parameters: map[string]string{standin.ParamRunMs: "300"}}
			Eventually(z.state(ctx, z.submit(ctx, borrower, healthy.spec())), settleWait, pollEvery).Should(Equal(api.JobStateSucceeded))
			Expect(z.quarantined(ctx)).To(BeEmpty())
		},
		Entry("with one task", SpecTimeout(specWait), 1),
		Entry("as a gang", SpecTimeout(specWait), 2),
	)
})

var _ = Describe("a job that can never run", func() {
	// A caller who is told late, or never, waits for a job that cannot start.
	It("is refused on submission with the reason", func(ctx SpecContext) {
		z := start(ctx, 2, catalogue(nil))
		for reason, change := range map[string]func(*api.JobSpec){
			"5 accelerators": func(s *api.JobSpec) { s.Resources.Accelerators = perWorker + 1 },
			"17 cores":       func(s *api.JobSpec) { s.Resources.Cores = 17 },
			"3 tasks":        func(s *api.JobSpec) { s.Tasks = 3 },
			"does not exist": func(s *api.JobSpec) { s.Zones = []string{"nowhere"} },
		} {
			spec := work{key: reason, tasks: 1}.spec()
			change(&spec)
			for _, d := range z.Daemons {
				var problem api.Problem
				Expect(call(ctx, http.MethodPost, d.CallersURL()+"/v1/jobs", token(borrower), spec, &problem)).
					To(Equal(http.StatusUnprocessableEntity), "%s: %s", reason, problem.Detail)
				Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
				Expect(problem.Detail).To(ContainSubstring(reason))
			}
		}
		Expect(z.onWorker(firstWorker)).To(BeEmpty())
	}, SpecTimeout(specWait))

	DescribeTable("is refused with the reason when a change makes it impossible while it waits",
		func(ctx SpecContext, change func(*api.Catalogue), reason string) {
			z := start(ctx, 2, catalogue(nil))
			running := z.fill(ctx, 1, work{})
			gang := work{key: "gang", tasks: 2}
			id := z.submit(ctx, borrower, gang.spec())
			Eventually(func() string { return z.job(ctx, id).Reason }, settleWait, pollEvery).ShouldNot(BeEmpty())
			Expect(z.state(ctx, id)()).To(Equal(api.JobStateWaiting))
			c := catalogue(nil)
			change(&c)
			z.apply(ctx, c)
			Eventually(z.state(ctx, id), settleWait, pollEvery).Should(Equal(api.JobStateRefused))
			Expect(z.job(ctx, id).Reason).To(ContainSubstring(reason))
			Expect(explain(ctx, z.live(), token(borrower), id)).To(ContainSubstring(reason))
			Expect(z.history(id)).To(BeEmpty())
			Expect(z.state(ctx, running[0])()).To(Equal(api.JobStateRunning), "a running job is left alone")
		},
		Entry("by the limit of its entry", SpecTimeout(specWait), func(c *api.Catalogue) { c.Entries[0].Limits.MaxTasks = 1 }, "allows 1"),
		Entry("by the quota of its organisation", SpecTimeout(specWait), func(c *api.Catalogue) { c.Organisations[2].QuotaAccelerators = 4 }, "quota"),
	)
})

var _ = Describe("explain", func() {
	// "Waiting" alone does not tell an owner whether to call someone.
	It("names who holds the places of a job that waits for a reclaim", func(ctx SpecContext) {
		z := start(ctx, 2, catalogue(map[string]int{owner: 1}))
		z.fill(ctx, 2, work{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "900", standin.ParamStopMs: "3000"}})
		gang := work{key: "gang", tasks: 1}
		id := z.submit(ctx, owner, gang.spec())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), id) }, 3*pollEvery+startBound/4, pollEvery).Should(And(
				ContainSubstring("inside the guarantee of owner"), MatchRegexp(`It starts when fill-\d of borrower has stopped`)), d.ID())
		}
		z.awaitRunning(ctx, id)
		Eventually(func() string { return explain(ctx, z.Daemons[0], token(owner), id) }, settleWait, pollEvery).
			Should(ContainSubstring("nobody else can take the place"))
	}, SpecTimeout(specWait))

	It("names who holds what a borrower waits for, and what an organisation lends", func(ctx SpecContext) {
		z := start(ctx, 2, catalogue(map[string]int{owner: 1}))
		z.fill(ctx, 2, work{})
		gang := work{key: "gang", tasks: 2}
		id := z.submit(ctx, second, gang.spec())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(second), id) }, settleWait, pollEvery).Should(And(
				ContainSubstring("only 0 of them are free in zone "+zone),
				MatchRegexp(`held by fill-\d of borrower \(4 accelerators\) and fill-\d of borrower \(4 accelerators\); it starts when enough of them end`)), d.ID())
			Eventually(func() string { return explain(ctx, d, harness.OperatorToken, owner) }, settleWait, pollEvery).Should(
				MatchRegexp(`Others borrow 4 accelerators of the guaranteed place: fill-\d of borrower \(4\); they are checkpointed and stopped within seconds when owner needs it`), d.ID())
		}
	}, SpecTimeout(specWait))

	It("says where a request ran, and that it is not sent twice while it has no answer", func(ctx SpecContext) {
		z := start(ctx, 1, catalogue(nil))
		send := func(key string) int {
			return call(ctx, http.MethodPost, z.live().CallersURL()+"/v1/requests", token(owner),
				api.RequestSubmit{Entry: "plans", Key: key, Body: []byte("{}"), NonIdempotent: true}, nil)
		}
		Eventually(func() int { return send("plan-1") }, settleWait, 10*pollEvery).Should(Equal(http.StatusOK))
		Expect(z.Standin.SetFaults("minions/"+zone+"-minion-1", standin.Faults{SlowMs: 3000})).To(Succeed())
		slow := make(chan int, 1)
		go func() { slow <- send("plan-2") }()
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), "plan-1") }, settleWait, pollEvery).
				Should(ContainSubstring("ran on minion "+zone+"-minion-1"), d.ID())
			Eventually(func() string { return explain(ctx, d, token(owner), "plan-2") }, settleWait, pollEvery).
				Should(ContainSubstring("has no answer yet; it is not sent a second time"), d.ID())
		}
		Expect(<-slow).To(Equal(http.StatusOK))
	}, SpecTimeout(specWait))
})
