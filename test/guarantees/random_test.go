package guarantees

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

var _ = Describe("a randomised run", func() {
	// Guards against reclaims that fail or exceed the bound for combinations of gang sizes,
	// checkpoints and slow stops that no table of cases covers.
	It("reclaims each guarantee within the bound", func(ctx SpecContext) {
		const workers, rounds = 6, 5
		z := startCluster(ctx, workers, catalogue(map[string]int{owner: 3, secondOwner: 2}))
		random := rand.New(rand.NewPCG(seed, 1))
		var covered, borrowed []string
		lend := func(n int) {
			for i := range n {
				job := jobTemplate{
					key: fmt.Sprintf("lend-%d-%d", len(borrowed), i), tasks: 1 + random.IntN(2), checkpoint: random.IntN(2) == 0,
					parameters: map[string]string{
						standin.ParamCheckpointMs: strconv.Itoa(random.IntN(1500)), standin.ParamStopMs: strconv.Itoa(random.IntN(1500)),
					},
				}
				borrowed = append(borrowed, z.submit(ctx, borrower, job.spec()))
			}
		}
		lend(workers)
		for round := range rounds {
			time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
			sizes := map[string]int{owner: 1 + random.IntN(3), secondOwner: 1 + random.IntN(2)}
			var ids []string
			submitted := time.Now()
			for _, organisation := range []string{owner, secondOwner} {
				job := jobTemplate{key: fmt.Sprintf("gang-%d", round), tasks: sizes[organisation], parameters: map[string]string{standin.ParamRunMs: "400"}}
				ids = append(ids, z.submit(ctx, organisation, job.spec()))
			}
			z.awaitStart(ids[0], sizes[owner], submitted)
			z.awaitStart(ids[1], sizes[secondOwner], submitted)
			for _, id := range ids {
				Eventually(z.state(ctx, id), eventualTimeout, pollEvery).Should(Equal(api.JobStateSucceeded))
			}
			covered = append(covered, ids...)
			lend(random.IntN(2))
		}
		z.expectPreempted(ctx, borrowed, Not(BeEmpty()))
		z.checkOnlyBorrowersPreempted(ctx, covered...)
	}, SpecTimeout(specTimeout))
})
