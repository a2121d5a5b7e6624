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
	const guaranteedWorkers = 2

	// Guards against a reclaim that waits for a silent worker: its accelerators stay
	// occupied until its lease expires, so the guarantee must be met by other workers.
	DescribeTable("is reclaimed on other workers",
		func(ctx SpecContext, faults standin.Faults) {
			z := startCluster(ctx, 4, catalogue(map[string]int{owner: guaranteedWorkers}))
			// The checkpoint takes long enough that the fault is injected before its end.
			borrowers := z.fill(ctx, 4, jobTemplate{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "900"}})
			submitted := time.Now()
			gang := jobTemplate{key: "gang", tasks: guaranteedWorkers}
			id := z.submit(ctx, owner, gang.spec())
			var worker string
			Eventually(func() string {
				for _, b := range borrowers {
					if job := z.job(ctx, b); job.State == api.JobStateStopping {
						worker = job.Placement[0].Worker
					}
				}
				return worker
			}, startBound, time.Millisecond).ShouldNot(BeEmpty())
			Expect(z.Standin.SetFaults("workers/"+worker, faults)).To(Succeed())
			z.awaitStart(id, guaranteedWorkers, submitted)
			z.checkOnlyBorrowersPreempted(ctx, id)
		},
		Entry("when the worker of a borrower falls silent during the reclaim", SpecTimeout(specTimeout), standin.Faults{Silent: true}),
		Entry("when the worker of a borrower is lost during the reclaim", SpecTimeout(specTimeout), standin.Faults{Refuse: true}),
	)

	It("is met by other workers when they have the capacity", func(ctx SpecContext) {
		z := startClusterReporting(ctx, 3, catalogue(map[string]int{owner: guaranteedWorkers}), shortReportEvery)
		z.fill(ctx, 3, jobTemplate{checkpoint: true})
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{Refuse: true})).To(Succeed())
		Eventually(func() string { return z.workerStates(ctx)[firstWorker].State }, eventualTimeout, pollEvery).Should(Equal("silent"))
		id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: guaranteedWorkers})
		for _, t := range z.history(id) {
			Expect(t.Worker).NotTo(Equal(firstWorker))
		}
		z.checkOnlyBorrowersPreempted(ctx, id)
	}, SpecTimeout(specTimeout))

	// Guards against owners who rely on guaranteed capacity that is missing, because no
	// explanation says so.
	It("is explained as short, with its owner and the shortfall, when no worker has the capacity", func(ctx SpecContext) {
		z := startClusterReporting(ctx, 2, catalogue(map[string]int{owner: guaranteedWorkers}), shortReportEvery)
		z.fill(ctx, 2, jobTemplate{checkpoint: true})
		for _, d := range z.Daemons { // each knows all workers before one is lost
			Eventually(func() string { return explain(ctx, d, token(owner), owner) }, eventualTimeout, pollEvery).
				Should(ContainSubstring("Others borrow 8 accelerators"), d.ID())
		}
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{Refuse: true})).To(Succeed())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, token(owner), owner) }, eventualTimeout, pollEvery).
				Should(And(ContainSubstring("guarantee of owner in zone "+zone+" is short by 1 of 2 tasks"), ContainSubstring("Others borrow")), d.ID())
		}
		Expect(z.Standin.SetFaults("workers/"+firstWorker, standin.Faults{})).To(Succeed())
		for _, d := range z.Daemons {
			Eventually(func() string { return explain(ctx, d, harness.OperatorToken, owner) }, eventualTimeout, pollEvery).
				ShouldNot(ContainSubstring("short by"), d.ID())
		}
		id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: guaranteedWorkers})
		z.checkOnlyBorrowersPreempted(ctx, id)
	}, SpecTimeout(specTimeout))
})
