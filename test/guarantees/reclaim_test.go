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
	const workers, guaranteed = 4, 2

	// An owner who must wait for borrowers to end has no guarantee.
	DescribeTable("starts within the stated bound",
		func(ctx SpecContext, like work) {
			z := start(ctx, workers, catalogue(map[string]int{owner: guaranteed}))
			borrowers := z.fill(ctx, workers, like)
			time.Sleep(time.Second) // work that a checkpoint can keep
			id := z.reclaim(ctx, work{key: "gang", tasks: guaranteed, parameters: map[string]string{standin.ParamRunMs: "1500"}})
			Eventually(func() bool { return z.job(ctx, id).Covered }, settleWait, pollEvery).Should(BeTrue())
			victims := z.expectPreempted(ctx, borrowers, HaveLen(guaranteed))
			z.goOn(victims, like.checkpoint && like.parameters[standin.ParamCheckpointMs] != "10000")
			z.checkOnlyBorrowers(ctx, id)
		},
		Entry("when the borrowers keep checkpoints", SpecTimeout(specWait), work{checkpoint: true}),
		Entry("when the borrowers keep none", SpecTimeout(specWait), work{}),
		Entry("when the borrowers take long to stop", SpecTimeout(specWait), work{checkpoint: true, parameters: map[string]string{
			standin.ParamCheckpointMs: "1000", standin.ParamStopMs: "2000"}}),
		Entry("when a checkpoint takes longer than it is waited for", SpecTimeout(specWait), work{checkpoint: true, parameters: map[string]string{
			standin.ParamCheckpointMs: "10000"}}),
	)

	// Stopping the wrong jobs throws away hours of work.
	DescribeTable("stops the borrowers with the least lost work",
		func(ctx SpecContext, replaced ...int) {
			z := start(ctx, workers, catalogue(map[string]int{owner: guaranteed}))
			borrowers := z.fill(ctx, workers, work{})
			time.Sleep(time.Second)
			var young []string
			for _, i := range replaced {
				z.cancel(ctx, borrowers[i])
				w := work{key: fmt.Sprintf("young-%d", i), tasks: 1}
				young = append(young, z.submit(ctx, borrower, w.spec()))
				z.awaitRunning(ctx, young...)
			}
			id := z.reclaim(ctx, work{key: "gang", tasks: guaranteed})
			z.expectPreempted(ctx, append(young, borrowers...), ConsistOf(young))
			z.checkOnlyBorrowers(ctx, id)
		},
		Entry("on the first places", SpecTimeout(specWait), 0, 1),
		Entry("on the last places", SpecTimeout(specWait), 2, 3),
	)

	It("does not stop a younger job inside the guarantee of another owner", func(ctx SpecContext) {
		z := start(ctx, workers, catalogue(map[string]int{owner: 2, second: 1}))
		borrowers := z.fill(ctx, workers, work{})
		time.Sleep(time.Second)
		gang := work{key: "covered", tasks: 1}
		covered := z.submit(ctx, second, gang.spec())
		z.awaitRunning(ctx, covered)
		id := z.reclaim(ctx, work{key: "gang", tasks: 2})
		z.expectPreempted(ctx, borrowers, HaveLen(3))
		z.checkOnlyBorrowers(ctx, id, covered)
	}, SpecTimeout(specWait))

	It("starts after its planner was killed in the middle of the reclaim", func(ctx SpecContext) {
		z := start(ctx, workers, catalogue(map[string]int{owner: guaranteed}))
		borrowers := z.fill(ctx, workers, work{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "1500"}})
		planner := z.planner(ctx)
		submitted := time.Now()
		gang := work{key: "gang", tasks: guaranteed}
		id := z.submit(ctx, owner, gang.spec())
		Eventually(func() (stopping int) {
			for _, b := range borrowers {
				if z.job(ctx, b).State == api.JobStateStopping {
					stopping++
				}
			}
			return stopping
		}, startBound, pollEvery).Should(Equal(guaranteed))
		Expect(planner.Kill()).To(Succeed())
		z.awaitStart(id, guaranteed, submitted)
		z.expectPreempted(ctx, borrowers, HaveLen(guaranteed))
		z.checkOnlyBorrowers(ctx, id)
	}, SpecTimeout(specWait))

	It("starts when two owners reclaim at once", func(ctx SpecContext) {
		z := start(ctx, workers, catalogue(map[string]int{owner: 2, second: 2}))
		z.fill(ctx, workers, work{checkpoint: true, parameters: map[string]string{standin.ParamCheckpointMs: "500"}})
		submitted := time.Now()
		gang := work{key: "gang", tasks: 2}
		a, b := z.submit(ctx, owner, gang.spec()), z.submit(ctx, second, gang.spec())
		z.awaitStart(a, 2, submitted)
		z.awaitStart(b, 2, submitted)
		z.checkOnlyBorrowers(ctx, a, b)
	}, SpecTimeout(specWait))

	It("starts when a change raises the guarantee while borrowers hold the places", func(ctx SpecContext) {
		z := start(ctx, workers, catalogue(map[string]int{owner: 1}))
		first := z.reclaim(ctx, work{key: "first", tasks: 1})
		borrowers := z.fill(ctx, workers-1, work{checkpoint: true})
		z.apply(ctx, catalogue(map[string]int{owner: 3}))
		id := z.reclaim(ctx, work{key: "gang", tasks: 2})
		z.expectPreempted(ctx, borrowers, HaveLen(2))
		z.checkOnlyBorrowers(ctx, first, id)
	}, SpecTimeout(specWait))

	It("is not promised when the zone cannot hold it, and the refusal says why", func(ctx SpecContext) {
		z := start(ctx, workers, catalogue(map[string]int{owner: 2}))
		status, problem := z.tryApply(ctx, catalogue(map[string]int{owner: 2, second: 3}))
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(problem.Detail).To(And(ContainSubstring("zone "+zone), ContainSubstring("guarantee of"), ContainSubstring("1 of")))
	}, SpecTimeout(specWait))
})

// goOn waits until preempted jobs run again, from their checkpoint if they keep one.
func (z *zoneUnderTest) goOn(ids []string, checkpoint bool) {
	GinkgoHelper()
	for _, id := range ids {
		var again standin.TaskHistory
		Eventually(func() bool {
			for _, t := range z.history(id) {
				if t.Attempt > 1 && t.ReleasedMs > 0 {
					again = t
					return true
				}
			}
			return false
		}, settleWait, pollEvery).Should(BeTrue(), "job %s does not go on", id)
		if checkpoint {
			Expect(again.ResumedMs).To(BeNumerically(">=", time.Second.Milliseconds()), "job %s lost its checkpoint", id)
		}
	}
}
