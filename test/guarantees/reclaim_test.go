package guarantees

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

var _ = Describe("a guaranteed gang in a zone that borrowers fill", func() {
	const workers, guaranteedWorkers = 4, 2

	// Guards against owners who have to wait until the jobs of borrowers end.
	DescribeTable("starts within the stated bound",
		func(ctx SpecContext, template jobTemplate) {
			z := startCluster(ctx, workers, catalogue(map[string]int{owner: guaranteedWorkers}))
			borrowers := z.fill(ctx, workers, template)
			time.Sleep(time.Second) // so that there is work to checkpoint
			id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: guaranteedWorkers, parameters: map[string]string{standin.ParamRunMs: "1500"}})
			Eventually(func() bool { return z.job(ctx, id).Covered }, eventualTimeout, pollEvery).Should(BeTrue())
			victims := z.expectPreempted(ctx, borrowers, HaveLen(guaranteedWorkers))
			z.awaitResumed(victims, template.checkpoint && template.parameters[standin.ParamCheckpointMs] != "10000")
			z.checkOnlyBorrowersPreempted(ctx, id)
		},
		Entry("when the borrowers write checkpoints", SpecTimeout(specTimeout), jobTemplate{checkpoint: true}),
		Entry("when the borrowers write no checkpoints", SpecTimeout(specTimeout), jobTemplate{}),
		Entry("when the borrowers take long to stop", SpecTimeout(specTimeout), jobTemplate{checkpoint: true, parameters: map[string]string{
			standin.ParamCheckpointMs: "1000", standin.ParamStopMs: "2000"}}),
		Entry("when a checkpoint takes longer than the wait for it", SpecTimeout(specTimeout), jobTemplate{checkpoint: true, parameters: map[string]string{
			standin.ParamCheckpointMs: "10000"}}),
	)

	// Guards against reclaims that stop jobs with hours of work while younger ones could
	// be stopped instead.
	DescribeTable("stops the borrowers with the least lost work",
		func(ctx SpecContext, replaced ...int) {
			z := startCluster(ctx, workers, catalogue(map[string]int{owner: guaranteedWorkers}))
			borrowers := z.fill(ctx, workers, jobTemplate{})
			time.Sleep(time.Second)
			var young []string
			for _, i := range replaced {
				z.cancel(ctx, borrowers[i])
				job := jobTemplate{key: fmt.Sprintf("young-%d", i), tasks: 1}
				young = append(young, z.submit(ctx, borrower, job.spec()))
				z.awaitRunning(ctx, young...)
			}
			id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: guaranteedWorkers})
			z.expectPreempted(ctx, append(young, borrowers...), ConsistOf(young))
			z.checkOnlyBorrowersPreempted(ctx, id)
		},
		Entry("when the youngest run on the first workers", SpecTimeout(specTimeout), 0, 1),
		Entry("when the youngest run on the last workers", SpecTimeout(specTimeout), 2, 3),
	)

	It("does not stop a younger job inside the guarantee of another owner", func(ctx SpecContext) {
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: 2, secondOwner: 1}))
		borrowers := z.fill(ctx, workers, jobTemplate{})
		time.Sleep(time.Second)
		gang := jobTemplate{key: "covered", tasks: 1}
		covered := z.submit(ctx, secondOwner, gang.spec())
		z.awaitRunning(ctx, covered)
		id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: 2})
		z.expectPreempted(ctx, borrowers, HaveLen(3))
		z.checkOnlyBorrowersPreempted(ctx, id, covered)
	}, SpecTimeout(specTimeout))

	It("starts after its planner was killed in the middle of the reclaim", func(ctx SpecContext) {
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: guaranteedWorkers}))
		borrowers := z.fill(ctx, workers, jobTemplate{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "1500"}})
		planner := z.planner(ctx)
		submitted := time.Now()
		gang := jobTemplate{key: "gang", tasks: guaranteedWorkers}
		id := z.submit(ctx, owner, gang.spec())
		Eventually(func() (stopping int) {
			for _, b := range borrowers {
				if z.job(ctx, b).State == api.JobStateStopping {
					stopping++
				}
			}
			return stopping
		}, startBound, pollEvery).Should(Equal(guaranteedWorkers))
		Expect(planner.Kill()).To(Succeed())
		z.awaitStart(id, guaranteedWorkers, submitted)
		z.expectPreempted(ctx, borrowers, HaveLen(guaranteedWorkers))
		z.checkOnlyBorrowersPreempted(ctx, id)
	}, SpecTimeout(specTimeout))

	It("starts when two owners reclaim at once", func(ctx SpecContext) {
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: 2, secondOwner: 2}))
		z.fill(ctx, workers, jobTemplate{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "500"}})
		submitted := time.Now()
		gang := jobTemplate{key: "gang", tasks: 2}
		a, b := z.submit(ctx, owner, gang.spec()), z.submit(ctx, secondOwner, gang.spec())
		z.awaitStart(a, 2, submitted)
		z.awaitStart(b, 2, submitted)
		z.checkOnlyBorrowersPreempted(ctx, a, b)
	}, SpecTimeout(specTimeout))

	It("starts when a change raises the guarantee while borrowers use the capacity", func(ctx SpecContext) {
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: 1}))
		first := z.reclaim(ctx, jobTemplate{key: "first", tasks: 1})
		borrowers := z.fill(ctx, workers-1, jobTemplate{checkpoint: true})
		z.apply(ctx, catalogue(map[string]int{owner: 3}))
		id := z.reclaim(ctx, jobTemplate{key: "gang", tasks: 2})
		z.expectPreempted(ctx, borrowers, HaveLen(2))
		z.checkOnlyBorrowersPreempted(ctx, first, id)
	}, SpecTimeout(specTimeout))

	It("is refused with the reason when the zone does not have the capacity", func(ctx SpecContext) {
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: 2}))
		status, problem := z.tryApply(ctx, catalogue(map[string]int{owner: 2, secondOwner: 3}))
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(problem.Detail).To(And(ContainSubstring("zone "+zone), ContainSubstring("guarantee of"), ContainSubstring("1 of")))
	}, SpecTimeout(specTimeout))
})

// awaitResumed waits until preempted jobs run again, and checks that those with a
// checkpoint resumed from it.
func (z *zoneUnderTest) awaitResumed(ids []string, checkpoint bool) {
	GinkgoHelper()
	for _, id := range ids {
		var resumed standin.TaskHistory
		Eventually(func() bool {
			for _, t := range z.history(id) {
				if t.Attempt > 1 && t.ReleasedMs > 0 {
					resumed = t
					return true
				}
			}
			return false
		}, eventualTimeout, pollEvery).Should(BeTrue(), "job %s was not restarted", id)
		if checkpoint {
			Expect(resumed.ResumedMs).To(BeNumerically(">=", time.Second.Milliseconds()), "job %s lost its checkpoint", id)
		}
	}
}
