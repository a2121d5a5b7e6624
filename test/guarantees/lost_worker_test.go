package guarantees

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

var _ = Describe("a guarantee whose worker is lost", func() {
	const guaranteed = 2

	// The places on a silent worker stay occupied for a lease time, so the
	// guarantee must lie on other workers by then.
	DescribeTable("is reclaimed on other workers",
		func(ctx SpecContext, faults standin.Faults) {
			z := start(ctx, 4, catalogue(map[string]int{owner: guaranteed}))
			// The checkpoint takes long enough for the fault to begin before its end.
			borrowers := z.fill(ctx, 4, work{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "900"}})
			submitted := time.Now()
			gang := work{key: "gang", tasks: guaranteed}
			id := z.submit(ctx, owner, gang.spec())
			var silent string
			Eventually(func() string {
				for _, b := range borrowers {
					if job := z.job(ctx, b); job.State == api.JobStateStopping {
						silent = job.Placement[0].Worker
					}
				}
				return silent
			}, startBound, time.Millisecond).ShouldNot(BeEmpty())
			Expect(z.Standin.SetFaults("workers/"+silent, faults)).To(Succeed())
			z.awaitStart(id, guaranteed, submitted)
			z.checkOnlyBorrowers(ctx, id)
		},
		Entry("when the worker of a borrower falls silent during the reclaim", SpecTimeout(specWait), standin.Faults{Silent: true}),
		Entry("when the worker of a borrower is lost during the reclaim", SpecTimeout(specWait), standin.Faults{Refuse: true}),
	)

	It("is placed elsewhere when another worker can hold it", func(ctx SpecContext) {
		z := startReporting(ctx, 3, catalogue(map[string]int{owner: guaranteed}), soonReport)
		z.fill(ctx, 3, work{checkpoint: true})
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{Refuse: true})).To(Succeed())
		Eventually(func() string { return z.workerStates(ctx)[firstWorker].State }, settleWait, pollEvery).Should(Equal("silent"))
		id := z.reclaim(ctx, work{key: "gang", tasks: guaranteed})
		for _, t := range z.history(id) {
			Expect(t.Worker).NotTo(Equal(firstWorker))
		}
		z.checkOnlyBorrowers(ctx, id)
	}, SpecTimeout(specWait))

	// An owner who is not told plans on capacity that is not there.
	It("is said to be short, for whom and by how much, when no worker can hold it", func(ctx SpecContext) {
		z := startReporting(ctx, 2, catalogue(map[string]int{owner: guaranteed}), soonReport)
		z.fill(ctx, 2, work{checkpoint: true})
		for _, d := range z.Daemons { // each has seen all workers before one is lost
			Eventually(func() string { return explain(ctx, d, token(owner), owner) }, settleWait, pollEvery).
				Should(ContainSubstring("Others borrow 8 accelerators"), d.ID())
		}
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{Refuse: true})).To(Succeed())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), owner) }, settleWait, pollEvery).
				Should(And(ContainSubstring("guarantee of owner in zone "+zone+" is short by 1 of 2 tasks"), ContainSubstring("Others borrow")), d.ID())
		}
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{})).To(Succeed())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, harness.OperatorToken, owner) }, settleWait, pollEvery).
				ShouldNot(ContainSubstring("short by"), d.ID())
		}
		id := z.reclaim(ctx, work{key: "gang", tasks: guaranteed})
		z.checkOnlyBorrowers(ctx, id)
	}, SpecTimeout(specWait))
})
