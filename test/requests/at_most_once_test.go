package requests_test

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const (
	// longServiceTime leaves time to inject a fault during the execution.
	longServiceTime = 300 * time.Millisecond
	// longDeadline leaves time for longServiceTime on a loaded machine.
	longDeadline = time.Second
	// shortDeadline passes before a frozen daemon is continued.
	shortDeadline = 400 * time.Millisecond
	// frozenTime is how long a daemon is frozen: longer than its peers need to take
	// over its minions, so that a second execution would be possible.
	frozenTime = 1300 * time.Millisecond
	// parallelSubmissions is the number of submissions of one key through each daemon.
	parallelSubmissions = 4
)

// longRequest still runs when the fault is injected. The deadline of
// shortDeadlineRequest passes during the fault.
var (
	longRequest          = requestSpec{nonIdempotent: true, serviceTime: longServiceTime, deadline: longDeadline}
	shortDeadlineRequest = requestSpec{nonIdempotent: true, deadline: shortDeadline}
)

// scenario submits requests with one key, injects faults and returns the expected
// number of executions, or anyExecutions if both 0 and 1 are correct.
type scenario func(ctx context.Context, tc *testCluster, key string) int

const anyExecutions = -1

var outcomeOf = func(a client.Answer[api.RequestResult]) api.Outcome { return a.Outcome() }

var atMostOnceCases = newCaseTable(clusterConfig{daemons: 3, minions: 1, proxies: true})

// runScenario returns a case that runs a scenario and compares the answers with the
// executions.
func runScenario(run scenario) func(tc *testCluster) {
	return func(tc *testCluster) {
		key := newKey("at-most-once")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		wantExecutions := run(ctx, tc, key)
		tc.expectNoViolations(ctx)
		if wantExecutions != anyExecutions {
			tc.expectExecutions(key, wantExecutions)
		}
	}
}

// Guards against a second execution of a non-idempotent request after its daemon, a
// peer, the minion or the table service failed, and against the outcome not_run for
// a request that has run.
var _ = ginkgo.DescribeTable("a non-idempotent request runs at most once, and never after outcome not_run", atMostOnceCases.await,
	atMostOnceCases.entry("entry daemon killed between claim and dispatch", runScenario(killBeforeDispatch)),
	atMostOnceCases.entry("entry daemon killed after dispatch", runScenario(killAfterDispatch)),
	atMostOnceCases.entry("entry daemon frozen across the deadline before dispatch", runScenario(freezeBeforeDispatch)),
	atMostOnceCases.entry("entry daemon frozen across the deadline after dispatch", runScenario(freezeAfterDispatch)),
	atMostOnceCases.entry("answer to the claim lost on the way", runScenario(loseClaimAnswer)),
	atMostOnceCases.entry("answers to all writes lost by the table service", runScenario(loseWriteAnswers)),
	atMostOnceCases.entry("table service down", runScenario(tableScenario(standin.Faults{Down: true}))),
	atMostOnceCases.entry("table service refuses connections", runScenario(tableScenario(standin.Faults{Refuse: true}))),
	atMostOnceCases.entry("table service slower than the deadline", runScenario(tableScenario(standin.Faults{DelayMs: 600}))),
	atMostOnceCases.entry("table service silent, claims applied late", runScenario(tableScenario(standin.Faults{Silent: true}))),
	atMostOnceCases.entry("table service slow", runScenario(slowTable)),
	atMostOnceCases.entry("retried through other daemons at the same time", runScenario(submitInParallel)),
	atMostOnceCases.entry("peer killed after a forward, before dispatch", runScenario(killPeerBeforeDispatch)),
	atMostOnceCases.entry("peer killed after a forward, after dispatch", runScenario(killPeerAfterDispatch)),
	atMostOnceCases.entry("link to the peer lost after dispatch", runScenario(cutPeerAfterDispatch)),
	atMostOnceCases.entry("answer of the minion lost", runScenario(loseMinionAnswer)),
	atMostOnceCases.entry("key used again with another body", runScenario(reuseKey)),
	atMostOnceCases.entry("two faults: killed after dispatch, table service down", runScenario(killAndTableDown)),
	atMostOnceCases.entry("two faults: frozen across the deadline, table answers lost", runScenario(freezeAndLoseAnswers)),
	atMostOnceCases.entry("two faults: peer killed, table service slow", runScenario(killPeerAndSlowTable)),
	atMostOnceCases.entry("two faults: answer of the minion lost, entry daemon killed", runScenario(loseMinionAnswerAndKill)),
)

func killBeforeDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, _ := tc.ownerAndOthers(ctx)
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := tc.submitAsync(ctx, owner, key, longRequest)
	tc.awaitClaim(ctx, key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	// No other daemon can know that the request was not sent.
	tc.expectUnknown(ctx, key, longRequest)
	return 0
}

func killAfterDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, _ := tc.ownerAndOthers(ctx)
	answer := tc.submitAsync(ctx, owner, key, longRequest)
	tc.awaitExecution(key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}

func freezeBeforeDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := tc.submitAsync(ctx, owner, key, shortDeadlineRequest)
	tc.awaitClaim(ctx, key)
	tc.Expect(owner.Pause()).To(gomega.Succeed())
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{})
	time.Sleep(frozenTime)
	for _, d := range others {
		tc.Expect(tc.submit(ctx, d, key, shortDeadlineRequest).Outcome()).To(gomega.Equal(api.OutcomeUnknown))
	}
	tc.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	return anyExecutions
}

func freezeAfterDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	request := shortDeadlineRequest
	request.serviceTime = longServiceTime
	answer := tc.submitAsync(ctx, owner, key, request)
	tc.awaitExecution(key)
	tc.Expect(owner.Pause()).To(gomega.Succeed())
	time.Sleep(frozenTime)
	for _, d := range others {
		tc.Expect(tc.submit(ctx, d, key, request).Outcome()).To(gomega.Equal(api.OutcomeUnknown))
	}
	tc.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	tc.eventually("the answer is stored", func() bool {
		return tc.callers[others[0].ID()].GetRequest(ctx, key).Outcome() == api.OutcomeRan
	})
	return 1
}

func loseClaimAnswer(ctx context.Context, tc *testCluster, key string) int {
	owner, _ := tc.ownerAndOthers(ctx)
	proxy := tc.Proxies[owner.ID()].Table
	proxy.Set(faultproxy.Faults{DropAnswers: true})
	answer := tc.submitAsync(ctx, owner, key, longRequest)
	tc.awaitClaim(ctx, key)
	proxy.Set(faultproxy.Faults{})
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeRan))
	tc.Expect(tc.submitToAll(ctx, key, longRequest)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func loseWriteAnswers(ctx context.Context, tc *testCluster, key string) int {
	tc.setTableFaults(standin.Faults{LoseEvery: 1})
	tc.Expect(tc.submitToAll(ctx, key, longRequest)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

// tableScenario returns a scenario that submits a key while the table service does not
// answer in time, and again after the fault: a claim from the first time must not block
// the key.
func tableScenario(faults standin.Faults) scenario {
	return func(ctx context.Context, tc *testCluster, key string) int {
		tc.setTableFaults(faults)
		for _, outcome := range tc.submitToAll(ctx, key, shortDeadlineRequest) {
			tc.Expect(outcome).NotTo(gomega.Equal(api.OutcomeRan))
		}
		tc.Expect(tc.restoreService(ctx)).To(gomega.Succeed())
		tc.eventually("the key can be used again", func() bool {
			return tc.submit(ctx, tc.Daemons[len(tc.Daemons)-1], key, shortDeadlineRequest).Outcome() == api.OutcomeRan
		})
		return 1
	}
}

func slowTable(ctx context.Context, tc *testCluster, key string) int {
	tc.setTableFaults(standin.Faults{DelayMs: 150})
	tc.Expect(tc.submitToAll(ctx, key, longRequest)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func submitInParallel(ctx context.Context, tc *testCluster, key string) int {
	var group sync.WaitGroup
	for range parallelSubmissions {
		for _, d := range tc.Daemons {
			group.Go(func() { tc.submit(ctx, d, key, longRequest) })
		}
	}
	group.Wait()
	tc.Expect(tc.submitToAll(ctx, key, longRequest)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func killPeerBeforeDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := tc.submitAsync(ctx, others[0], key, longRequest)
	tc.awaitClaim(ctx, key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 0
}

func killPeerAfterDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	answer := tc.submitAsync(ctx, others[0], key, longRequest)
	tc.awaitExecution(key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}

// cutPeerAfterDispatch expects that the daemon that forwarded the request reads the
// answer from the claim row, which needs no connection between the peers.
func cutPeerAfterDispatch(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	answer := tc.submitAsync(ctx, others[0], key, longRequest)
	tc.awaitExecution(key)
	for _, p := range tc.Proxies {
		p.Peers.Set(faultproxy.Faults{Cut: true})
	}
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeRan))
	tc.Expect(tc.submit(ctx, owner, key, longRequest).Outcome()).To(gomega.Equal(api.OutcomeRan))
	return 1
}

func loseMinionAnswer(ctx context.Context, tc *testCluster, key string) int {
	tc.Expect(tc.Standin.SetFaults(minionTarget(tc.minionID(0)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}

func reuseKey(ctx context.Context, tc *testCluster, key string) int {
	reused := longRequest
	reused.variant = "another body"
	first := tc.submitAsync(ctx, tc.Daemons[0], key, longRequest)
	tc.awaitExecution(key)
	for range 2 { // while the first request runs, and after its end
		for _, d := range tc.Daemons {
			answer := tc.callers[d.ID()].SubmitRequest(ctx, reused.request(key))
			tc.Expect(answer.Status).To(gomega.Equal(http.StatusConflict))
			tc.Expect(answer.Outcome()).To(gomega.Equal(api.OutcomeNotRun))
		}
		if first != nil {
			tc.Expect(outcomeOf(<-first)).To(gomega.Equal(api.OutcomeRan))
			first = nil
		}
	}
	tc.Expect(tc.submitToAll(ctx, key, longRequest)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func killAndTableDown(ctx context.Context, tc *testCluster, key string) int {
	owner, _ := tc.ownerAndOthers(ctx)
	answer := tc.submitAsync(ctx, owner, key, longRequest)
	tc.awaitExecution(key)
	tc.setTableFaults(standin.Faults{Down: true})
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}

func freezeAndLoseAnswers(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := tc.submitAsync(ctx, owner, key, shortDeadlineRequest)
	tc.awaitClaim(ctx, key)
	tc.Expect(owner.Pause()).To(gomega.Succeed())
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{DropAnswers: true})
	time.Sleep(frozenTime)
	for _, d := range others {
		tc.submit(ctx, d, key, shortDeadlineRequest)
	}
	tc.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	tc.Proxies[owner.ID()].Table.Set(faultproxy.Faults{})
	return anyExecutions
}

func killPeerAndSlowTable(ctx context.Context, tc *testCluster, key string) int {
	owner, others := tc.ownerAndOthers(ctx)
	tc.setTableFaults(standin.Faults{DelayMs: 150})
	answer := tc.submitAsync(ctx, others[0], key, longRequest)
	tc.awaitExecution(key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}

func loseMinionAnswerAndKill(ctx context.Context, tc *testCluster, key string) int {
	owner, _ := tc.ownerAndOthers(ctx)
	tc.Expect(tc.Standin.SetFaults(minionTarget(tc.minionID(0)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	answer := tc.submitAsync(ctx, owner, key, longRequest)
	tc.awaitExecution(key)
	tc.Expect(owner.Kill()).To(gomega.Succeed())
	tc.Expect(outcomeOf(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	tc.expectUnknown(ctx, key, longRequest)
	return 1
}
