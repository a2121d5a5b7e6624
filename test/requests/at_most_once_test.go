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
	// longRun is a service time that leaves time for a fault during the execution.
	longRun = 300 * time.Millisecond
	// longDeadline leaves time for longRun on a loaded machine.
	longDeadline = time.Second
	// shortDeadline ends before a frozen daemon is woken.
	shortDeadline = 400 * time.Millisecond
	// freezeTime is longer than the time after which the peers of a frozen daemon
	// take over its minions, so that a second execution would be possible.
	freezeTime = 1300 * time.Millisecond
	// parallelSubmissions is the number of submissions of one key through each daemon.
	parallelSubmissions = 4
)

// longCall outlives the fault; hastyCall has a deadline in the middle of it.
var (
	longCall  = call{nonIdempotent: true, takes: longRun, deadline: longDeadline}
	hastyCall = call{nonIdempotent: true, deadline: shortDeadline}
)

// scenario injects faults around the requests of one key and returns the number
// of executions to expect, or anyExecutions when both 0 and 1 are right.
type scenario func(ctx context.Context, r *rig, key string) int

const anyExecutions = -1

var outcomeAt = func(a client.Answer[api.RequestResult]) api.Outcome { return a.Outcome() }

var onceCases = newCases(size{daemons: 3, minions: 1, proxies: true})

// once runs a scenario and compares the answers with the executions.
func once(inject scenario) func(r *rig) {
	return func(r *rig) {
		key := newKey("plan")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		want := inject(ctx, r, key)
		r.expectTruth(ctx)
		if want != anyExecutions {
			r.expectExecutions(key, want)
		}
	}
}

// Guards against a second execution of a request after its daemon, its peer or
// the table service failed, and against "not run" for a request that has run.
var _ = ginkgo.DescribeTable("a non-idempotent request runs at most once, and not run is true", onceCases.await,
	onceCases.entry("entry daemon killed between claim and dispatch", once(killBeforeDispatch)),
	onceCases.entry("entry daemon killed after dispatch", once(killAfterDispatch)),
	onceCases.entry("entry daemon frozen across the deadline before dispatch", once(freezeBeforeDispatch)),
	onceCases.entry("entry daemon frozen across the deadline after dispatch", once(freezeAfterDispatch)),
	onceCases.entry("answer to the claim lost on the way", once(loseClaimAnswer)),
	onceCases.entry("answers to all writes lost by the table service", once(loseWriteAnswers)),
	onceCases.entry("table service down", once(tableScenario(standin.Faults{Down: true}))),
	onceCases.entry("table service refuses connections", once(tableScenario(standin.Faults{Refuse: true}))),
	onceCases.entry("table service slower than the deadline", once(tableScenario(standin.Faults{DelayMs: 600}))),
	onceCases.entry("table service silent, claims land late", once(tableScenario(standin.Faults{Silent: true}))),
	onceCases.entry("table service slow", once(slowTable)),
	onceCases.entry("retried through other daemons at the same time", once(submitInParallel)),
	onceCases.entry("peer killed after a forward, before dispatch", once(killPeerBeforeDispatch)),
	onceCases.entry("peer killed after a forward, after dispatch", once(killPeerAfterDispatch)),
	onceCases.entry("link to the peer lost after dispatch", once(cutPeerAfterDispatch)),
	onceCases.entry("answer of the minion lost", once(loseMinionAnswer)),
	onceCases.entry("key used again with another body", once(reuseKey)),
	onceCases.entry("two faults: killed after dispatch, table service down", once(killAndTableDown)),
	onceCases.entry("two faults: frozen across the deadline, table answers lost", once(freezeAndLoseAnswers)),
	onceCases.entry("two faults: peer killed, table service slow", once(killPeerAndSlowTable)),
	onceCases.entry("two faults: answer of the minion lost, entry daemon killed", once(loseMinionAnswerAndKill)),
)

func killBeforeDispatch(ctx context.Context, r *rig, key string) int {
	owner, _ := r.ownerAndOthers(ctx)
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := r.start(ctx, owner, key, longCall)
	r.claimLands(ctx, key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	// Nobody can know that the request was not sent.
	r.expectUnknown(ctx, key, longCall)
	return 0
}

func killAfterDispatch(ctx context.Context, r *rig, key string) int {
	owner, _ := r.ownerAndOthers(ctx)
	answer := r.start(ctx, owner, key, longCall)
	r.executionBegins(key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 1
}

func freezeBeforeDispatch(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := r.start(ctx, owner, key, hastyCall)
	r.claimLands(ctx, key)
	r.Expect(owner.Pause()).To(gomega.Succeed())
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{})
	time.Sleep(freezeTime)
	for _, d := range others {
		r.Expect(r.submit(ctx, d, key, hastyCall).Outcome()).To(gomega.Equal(api.OutcomeUnknown))
	}
	r.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	return anyExecutions
}

func freezeAfterDispatch(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	hasty := hastyCall
	hasty.takes = longRun
	answer := r.start(ctx, owner, key, hasty)
	r.executionBegins(key)
	r.Expect(owner.Pause()).To(gomega.Succeed())
	time.Sleep(freezeTime)
	for _, d := range others {
		r.Expect(r.submit(ctx, d, key, hasty).Outcome()).To(gomega.Equal(api.OutcomeUnknown))
	}
	r.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	r.eventually("the answer is kept", func() bool {
		return r.callers[others[0].ID()].GetRequest(ctx, key).Outcome() == api.OutcomeRan
	})
	return 1
}

func loseClaimAnswer(ctx context.Context, r *rig, key string) int {
	owner, _ := r.ownerAndOthers(ctx)
	proxy := r.Proxies[owner.ID()].Table
	proxy.Set(faultproxy.Faults{DropAnswers: true})
	answer := r.start(ctx, owner, key, longCall)
	r.claimLands(ctx, key)
	proxy.Set(faultproxy.Faults{})
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeRan))
	r.Expect(r.retryEverywhere(ctx, key, longCall)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func loseWriteAnswers(ctx context.Context, r *rig, key string) int {
	r.setTable(standin.Faults{LoseEvery: 1})
	r.Expect(r.retryEverywhere(ctx, key, longCall)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

// tableScenario keeps the table service from answering in time, then retries the
// key elsewhere. The key must not stay blocked.
func tableScenario(faults standin.Faults) scenario {
	return func(ctx context.Context, r *rig, key string) int {
		r.setTable(faults)
		for _, told := range r.retryEverywhere(ctx, key, hastyCall) {
			r.Expect(told).NotTo(gomega.Equal(api.OutcomeRan))
		}
		r.Expect(r.heal(ctx)).To(gomega.Succeed())
		r.eventually("the key can be used again", func() bool {
			return r.submit(ctx, r.Daemons[len(r.Daemons)-1], key, hastyCall).Outcome() == api.OutcomeRan
		})
		return 1
	}
}

func slowTable(ctx context.Context, r *rig, key string) int {
	r.setTable(standin.Faults{DelayMs: 150})
	r.Expect(r.retryEverywhere(ctx, key, longCall)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func submitInParallel(ctx context.Context, r *rig, key string) int {
	var group sync.WaitGroup
	for range parallelSubmissions {
		for _, d := range r.Daemons {
			group.Go(func() { r.submit(ctx, d, key, longCall) })
		}
	}
	group.Wait()
	r.Expect(r.retryEverywhere(ctx, key, longCall)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func killPeerBeforeDispatch(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := r.start(ctx, others[0], key, longCall)
	r.claimLands(ctx, key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 0
}

func killPeerAfterDispatch(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	answer := r.start(ctx, others[0], key, longCall)
	r.executionBegins(key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 1
}

// cutPeerAfterDispatch expects the answer by the claim row, which needs no link.
func cutPeerAfterDispatch(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	answer := r.start(ctx, others[0], key, longCall)
	r.executionBegins(key)
	for _, p := range r.Proxies {
		p.Peers.Set(faultproxy.Faults{Cut: true})
	}
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeRan))
	r.Expect(r.submit(ctx, owner, key, longCall).Outcome()).To(gomega.Equal(api.OutcomeRan))
	return 1
}

func loseMinionAnswer(ctx context.Context, r *rig, key string) int {
	r.Expect(r.Standin.SetFaults(minionTarget(r.minionID(0)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	r.expectUnknown(ctx, key, longCall)
	return 1
}

func reuseKey(ctx context.Context, r *rig, key string) int {
	other := longCall
	other.variant = "another body"
	first := r.start(ctx, r.Daemons[0], key, longCall)
	r.executionBegins(key)
	for range 2 { // while the first runs, and after its end
		for _, d := range r.Daemons {
			answer := r.callers[d.ID()].SubmitRequest(ctx, other.request(key))
			r.Expect(answer.Status).To(gomega.Equal(http.StatusConflict))
			r.Expect(answer.Outcome()).To(gomega.Equal(api.OutcomeNotRun))
		}
		if first != nil {
			r.Expect(outcomeAt(<-first)).To(gomega.Equal(api.OutcomeRan))
			first = nil
		}
	}
	r.Expect(r.retryEverywhere(ctx, key, longCall)).To(gomega.HaveEach(api.OutcomeRan))
	return 1
}

func killAndTableDown(ctx context.Context, r *rig, key string) int {
	owner, _ := r.ownerAndOthers(ctx)
	answer := r.start(ctx, owner, key, longCall)
	r.executionBegins(key)
	r.setTable(standin.Faults{Down: true})
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 1
}

func freezeAndLoseAnswers(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{HoldAnswers: true})
	answer := r.start(ctx, owner, key, hastyCall)
	r.claimLands(ctx, key)
	r.Expect(owner.Pause()).To(gomega.Succeed())
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{DropAnswers: true})
	time.Sleep(freezeTime)
	for _, d := range others {
		r.submit(ctx, d, key, hastyCall)
	}
	r.Expect(owner.Continue()).To(gomega.Succeed())
	<-answer
	r.Proxies[owner.ID()].Table.Set(faultproxy.Faults{})
	return anyExecutions
}

func killPeerAndSlowTable(ctx context.Context, r *rig, key string) int {
	owner, others := r.ownerAndOthers(ctx)
	r.setTable(standin.Faults{DelayMs: 150})
	answer := r.start(ctx, others[0], key, longCall)
	r.executionBegins(key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 1
}

func loseMinionAnswerAndKill(ctx context.Context, r *rig, key string) int {
	owner, _ := r.ownerAndOthers(ctx)
	r.Expect(r.Standin.SetFaults(minionTarget(r.minionID(0)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	answer := r.start(ctx, owner, key, longCall)
	r.executionBegins(key)
	r.Expect(owner.Kill()).To(gomega.Succeed())
	r.Expect(outcomeAt(<-answer)).To(gomega.Equal(api.OutcomeUnknown))
	r.expectUnknown(ctx, key, longCall)
	return 1
}
