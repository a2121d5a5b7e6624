package requests_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const (
	// reorderedRequests is the number of requests in flight at the same time.
	reorderedRequests = 120
	// largePadding makes bodies span many chunks, so that a cut falls inside them.
	largePadding = 200_000
	// cutAfter is the number of bytes after which an answer with largePadding is cut.
	cutAfter = 100_000
	// faultyRequests is the number of requests to each daemon while answers are broken.
	faultyRequests = 12
	// lateDeadline is the deadline of requests whose service time is twice as long.
	lateDeadline = 200 * time.Millisecond
	// budgetRequests is the number of requests that fill the retry budget of each
	// daemon before retries are needed.
	budgetRequests = 40
)

var (
	lateCases        = newCaseTable(clusterConfig{daemons: 3, minions: 2})
	brokenCases      = newCaseTable(clusterConfig{daemons: 2, minions: 1, proxies: true, minionProxies: true})
	otherMinionCases = newCaseTable(clusterConfig{daemons: 2, minions: 4})
)

// Guards against answers that reach the wrong caller when many requests share
// connections and end in another order than they started.
var _ = ginkgo.It("each caller gets its own answer when answers are reordered", func() {
	tc := newCluster(clusterConfig{daemons: 3, minions: 4, minionProxies: true, proxies: true})
	random := rand.New(rand.NewPCG(randomSeed, 1))
	for _, p := range tc.Proxies {
		p.Peers.Set(faultproxy.Faults{Delay: time.Millisecond})
	}
	var group sync.WaitGroup
	for i := range reorderedRequests {
		spec := requestSpec{serviceTime: time.Duration(random.IntN(80)) * time.Millisecond, deadline: 5 * time.Second, nonIdempotent: i%2 == 0, paddingBytes: random.IntN(20_000)}
		d := tc.Daemons[i%len(tc.Daemons)]
		group.Go(func() {
			defer ginkgo.GinkgoRecover()
			answer := tc.submit(context.Background(), d, newKey("reordered"), spec)
			gomega.Expect(answer.Outcome()).To(gomega.Equal(api.OutcomeRan), answer.Problem.Detail)
		})
	}
	group.Wait()
	tc.expectNoViolations(context.Background())
})

// fetchLateAnswers returns a case that fetches answers that arrived after their
// deadline, each through all daemons.
func fetchLateAnswers(paddingBytes int) func(tc *testCluster) {
	return func(tc *testCluster) {
		ctx := context.Background()
		spec := requestSpec{nonIdempotent: true, serviceTime: 2 * lateDeadline, deadline: lateDeadline, paddingBytes: paddingBytes}
		for _, d := range tc.Daemons {
			key := newKey("late")
			tc.Expect(tc.submit(ctx, d, key, spec).Outcome()).To(gomega.Equal(api.OutcomeUnknown))
			for _, other := range tc.Daemons {
				tc.eventually("the answer can be fetched", func() bool {
					answer := tc.callers[other.ID()].GetRequest(ctx, key)
					tc.outcomes.record(key, spec, answer)
					return answer.Outcome() == api.OutcomeRan
				})
				tc.Expect(tc.submit(ctx, other, key, spec).Outcome()).To(gomega.Equal(api.OutcomeRan))
			}
		}
		tc.expectNoViolations(ctx)
	}
}

// Guards against the loss of an answer that arrives after its deadline.
var _ = ginkgo.DescribeTable("an answer after the deadline is stored and can be fetched by key", lateCases.await,
	lateCases.entry("stored in the row", fetchLateAnswers(0)),
	lateCases.entry("stored in the object store", fetchLateAnswers(largePadding)),
)

// answerFault makes minions, or connections to minions or peers, break answers.
type answerFault func(tc *testCluster) error

func breakAtMinions(faults standin.Faults) answerFault {
	return func(tc *testCluster) error {
		for i := range tc.minionCount {
			if err := tc.Standin.SetFaults(minionTarget(tc.minionID(i)), faults); err != nil {
				return err
			}
		}
		return nil
	}
}

func cutFromMinions(tc *testCluster) error {
	for _, p := range tc.minionProxies {
		p.Set(faultproxy.Faults{CutAnswerAfter: cutAfter})
	}
	return nil
}

func cutBetweenPeers(tc *testCluster) error {
	for _, p := range tc.Proxies {
		p.Peers.Set(faultproxy.Faults{CutAnswerAfter: cutAfter})
	}
	return nil
}

// allowedAnswers selects the requests that may still get an intact answer while answers
// are broken.
type allowedAnswers int

const (
	allowNone allowedAnswers = iota
	// allowRetried allows answers to idempotent requests: a minion that mismatches
	// answers, which means that it sends the answer to another request, may answer a
	// retry with the intact answer to the first attempt.
	allowRetried
	// allowAll allows answers to all requests: the fault ends by itself or can be
	// bypassed.
	allowAll
)

// submitWithBrokenAnswers returns a case that sends requests while answers are
// broken and expects success only for the allowed ones.
func submitWithBrokenAnswers(inject answerFault, allowed allowedAnswers) func(tc *testCluster) {
	return func(tc *testCluster) {
		ctx := context.Background()
		// A minion that mismatches answers may send the answer to this request in place of
		// the answer to a later one.
		tc.Expect(tc.submit(ctx, tc.Daemons[0], newKey("earlier"), requestSpec{}).Outcome()).To(gomega.Equal(api.OutcomeRan))
		tc.Expect(inject(tc)).To(gomega.Succeed())
		var ran atomic.Int64
		var group sync.WaitGroup
		for i := range faultyRequests {
			for _, d := range tc.Daemons {
				spec := requestSpec{nonIdempotent: i%2 == 0, paddingBytes: largePadding, deadline: time.Second}
				group.Go(func() {
					outcome := tc.submit(ctx, d, newKey("broken"), spec).Outcome()
					if outcome == api.OutcomeRan && (spec.nonIdempotent || allowed == allowNone) {
						ran.Add(1)
					}
				})
			}
		}
		group.Wait()
		if allowed != allowAll {
			tc.Expect(ran.Load()).To(gomega.BeZero(), "broken answers returned as success")
		}
		tc.expectNoViolations(ctx)
	}
}

// Guards against an answer that is returned as success although it is truncated,
// has a wrong checksum or belongs to another request.
var _ = ginkgo.DescribeTable("a broken answer is never returned as success", brokenCases.await,
	brokenCases.entry("cut by the minion", submitWithBrokenAnswers(breakAtMinions(standin.Faults{Truncate: true}), allowNone)),
	brokenCases.entry("cut on the way from the minion", submitWithBrokenAnswers(cutFromMinions, allowAll)),
	brokenCases.entry("cut between peers", submitWithBrokenAnswers(cutBetweenPeers, allowAll)),
	brokenCases.entry("mismatched", submitWithBrokenAnswers(breakAtMinions(standin.Faults{MismatchAnswers: true}), allowRetried)),
	brokenCases.entry("wrong checksum", submitWithBrokenAnswers(breakAtMinions(standin.Faults{WrongChecksum: true}), allowNone)),
	brokenCases.entry("two faults: mismatched and late", submitWithBrokenAnswers(breakAtMinions(standin.Faults{MismatchAnswers: true, SlowMs: 100}), allowRetried)),
)

// submitWithBrokenMinion returns a case that sends idempotent requests while one of
// four minions breaks its answers.
func submitWithBrokenMinion(faults standin.Faults) func(tc *testCluster) {
	return func(tc *testCluster) {
		ctx := context.Background()
		// Each request adds to the retry budget.
		for range budgetRequests {
			for _, d := range tc.Daemons {
				tc.Expect(tc.submit(ctx, d, newKey("before"), requestSpec{}).Outcome()).To(gomega.Equal(api.OutcomeRan))
			}
		}
		tc.Expect(tc.Standin.SetFaults(minionTarget(tc.minionID(0)), faults)).To(gomega.Succeed())
		for i := range 2 * faultyRequests {
			answer := tc.submit(ctx, tc.Daemons[i%len(tc.Daemons)], newKey("retried"), requestSpec{paddingBytes: 1000})
			tc.Expect(answer.Outcome()).To(gomega.Equal(api.OutcomeRan), fmt.Sprint(answer))
		}
		tc.expectNoViolations(ctx)
	}
}

// Guards against an idempotent request that fails although another minion can give
// an intact answer.
var _ = ginkgo.DescribeTable("an idempotent request gets an intact answer from another minion", otherMinionCases.await,
	otherMinionCases.entry("one truncates", submitWithBrokenMinion(standin.Faults{Truncate: true})),
	otherMinionCases.entry("one mismatches answers", submitWithBrokenMinion(standin.Faults{MismatchAnswers: true})),
	otherMinionCases.entry("one announces wrong checksums", submitWithBrokenMinion(standin.Faults{WrongChecksum: true})),
	otherMinionCases.entry("one loses answers", submitWithBrokenMinion(standin.Faults{LoseEvery: 1})),
)
