package requests_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	daemonKills = 9
	minionKills = 9
	// inFlight is the number of requests in flight at each kill.
	inFlight = 16
	// daemonRetryServiceTime is for requests that a daemon retries: short, because the
	// second execution is part of the measured time.
	daemonRetryServiceTime = 20 * time.Millisecond
	// callerRetryServiceTime is for requests that the caller retries. It leaves time to
	// send all requests before the kill.
	callerRetryServiceTime = 60 * time.Millisecond
	// maxMedianRecovery bounds the median time from the kill to the answer.
	maxMedianRecovery = 100 * time.Millisecond
	// maxP99Recovery bounds the p99 after the loss of a daemon. It is the time after
	// which peers consider a silent daemon lost.
	maxP99Recovery   = time.Second
	recoveryDeadline = 5 * time.Second
	// recoveryBudgetRequests is the number of requests to each daemon before the first
	// kill. They deposit about 20 retries in its retry budget, in addition to the initial
	// 10.
	recoveryBudgetRequests  = 200
	maxRecordedMicroseconds = 60_000_000
)

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicroseconds, 3) }

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// recoveryTest kills a process while requests are in flight and records, for each
// request that the kill interrupted, the time from the kill to its intact answer.
// Retries of the caller go to other daemons and have no service time.
type recoveryTest struct {
	cluster   *testCluster
	latencies *hdrhistogram.Histogram
	// serviceTime is the service time of the requests. The kill comes after half of it.
	serviceTime time.Duration
	// daemonRetries is set if the daemons must retry; the caller then submits once.
	daemonRetries bool
}

// killUnderLoad sends request i to the daemon first(i), calls kill while the requests
// run, lets the caller retry at the other daemons and returns the number of failed
// requests.
func (t *recoveryTest) killUnderLoad(first func(i int) *harness.Daemon, others []*harness.Daemon, kill func()) (failed int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var killedAt time.Time
	retry := func(key string, i int) {
		for try := 0; try < inFlight; try++ {
			spec := requestSpec{deadline: recoveryDeadline}
			if t.cluster.submit(context.Background(), others[(i+try)%len(others)], key, spec).Outcome() == api.OutcomeRan {
				mu.Lock()
				defer mu.Unlock()
				_ = t.latencies.RecordValue(time.Since(killedAt).Microseconds())
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		failed++
	}
	for i := range inFlight {
		group.Go(func() {
			key := newKey("recovery")
			answer := t.cluster.submit(context.Background(), first(i), key, requestSpec{serviceTime: t.serviceTime, deadline: recoveryDeadline})
			mu.Lock()
			afterKill := !killedAt.IsZero()
			mu.Unlock()
			switch {
			case answer.Outcome() != api.OutcomeRan && t.daemonRetries:
				mu.Lock()
				defer mu.Unlock()
				failed++
			case answer.Outcome() != api.OutcomeRan:
				retry(key, i)
			case afterKill && answer.Value.Attempts > 1:
				mu.Lock()
				defer mu.Unlock()
				_ = t.latencies.RecordValue(time.Since(killedAt).Microseconds())
			}
		})
	}
	time.Sleep(t.serviceTime / 2)
	mu.Lock()
	killedAt = time.Now()
	mu.Unlock()
	kill()
	group.Wait()
	return failed
}

// Guards against callers that wait too long for an answer after a daemon is lost.
var _ = ginkgo.It("a request is retried elsewhere within 100 ms of the kill of its daemon", func() {
	tc := newCluster(clusterConfig{daemons: 4, minions: 6})
	t := &recoveryTest{cluster: tc, latencies: newLatencies(), serviceTime: callerRetryServiceTime}
	failed := 0
	for i := range daemonKills {
		victim := tc.Daemons[i%len(tc.Daemons)]
		others := slices.DeleteFunc(slices.Clone(tc.Daemons), func(d *harness.Daemon) bool { return d == victim })
		failed += t.killUnderLoad(func(int) *harness.Daemon { return victim }, others, func() {
			gomega.Expect(victim.Kill()).To(gomega.Succeed())
		})
		gomega.Expect(tc.restoreService(context.Background())).To(gomega.Succeed())
	}
	report("recovery from the kill of a daemon", "median %s, p99 %s, %d requests retried, %d failed",
		quantile(t.latencies, 50), quantile(t.latencies, 99), t.latencies.TotalCount(), failed)
	gomega.Expect(failed).To(gomega.BeZero())
	gomega.Expect(t.latencies.TotalCount()).To(gomega.BeNumerically(">=", daemonKills*inFlight/2), "requests interrupted by the kills")
	gomega.Expect(quantile(t.latencies, 50)).To(gomega.BeNumerically("<=", maxMedianRecovery))
	gomega.Expect(quantile(t.latencies, 99)).To(gomega.BeNumerically("<=", maxP99Recovery))
	tc.expectNoViolations(context.Background())
})

// Guards against callers that wait too long for an answer after a minion is lost.
var _ = ginkgo.It("a request is retried elsewhere within 100 ms of the kill of its minion", func() {
	tc := newCluster(clusterConfig{daemons: 3, minions: 6, minionProxies: true})
	t := &recoveryTest{cluster: tc, latencies: newLatencies(), serviceTime: daemonRetryServiceTime, daemonRetries: true}
	// Each request deposits a part of a retry in the budget of its daemon. All kills
	// together interrupt up to 60 requests, and the daemons must retry each of them.
	for range recoveryBudgetRequests {
		for _, d := range tc.Daemons {
			tc.submit(context.Background(), d, newKey("before"), requestSpec{})
		}
	}
	failed := 0
	for i := range minionKills {
		proxy := tc.minionProxies[tc.minionID(i%tc.minionCount)]
		failed += t.killUnderLoad(func(i int) *harness.Daemon { return tc.Daemons[i%len(tc.Daemons)] }, tc.Daemons, func() {
			proxy.Set(faultproxy.Faults{Cut: true})
		})
		gomega.Expect(tc.restoreService(context.Background())).To(gomega.Succeed())
	}
	report("recovery from the kill of a minion", "median %s, p99 %s, %d requests retried, %d failed",
		quantile(t.latencies, 50), quantile(t.latencies, 99), t.latencies.TotalCount(), failed)
	gomega.Expect(failed).To(gomega.BeZero())
	gomega.Expect(t.latencies.TotalCount()).To(gomega.BeNumerically(">=", minionKills), "requests interrupted by the kills")
	gomega.Expect(quantile(t.latencies, 50)).To(gomega.BeNumerically("<=", maxMedianRecovery))
	tc.expectNoViolations(context.Background())
})

// Guards against requests that wait for a peer after the connection to it is lost.
var _ = ginkgo.It("a request is retried elsewhere within 100 ms of the kill of the peer to which it was forwarded", func() {
	tc := newCluster(clusterConfig{daemons: 4, minions: 3})
	ctx := context.Background()
	// The kill of a peer interrupts more requests than the retry budget covers; the
	// caller retries the others.
	t := &recoveryTest{cluster: tc, latencies: newLatencies(), serviceTime: callerRetryServiceTime}
	forwarder, owners := tc.forwarderAndOwners(ctx)
	failed := 0
	// How many requests the daemons retry themselves varies, so the kills continue
	// until the caller has retried enough requests for a meaningful distribution.
	for i := 0; i < daemonKills || t.latencies.TotalCount() < daemonKills && i < maxPeerKills; i++ {
		victim := owners[i%len(owners)]
		others := slices.DeleteFunc(slices.Clone(tc.Daemons), func(d *harness.Daemon) bool { return d == victim })
		failed += t.killUnderLoad(func(int) *harness.Daemon { return forwarder }, others, func() {
			gomega.Expect(victim.Kill()).To(gomega.Succeed())
		})
		gomega.Expect(tc.restoreService(ctx)).To(gomega.Succeed())
	}
	report("recovery from the kill of a peer", "median %s, p99 %s, %d requests retried, %d failed",
		quantile(t.latencies, 50), quantile(t.latencies, 99), t.latencies.TotalCount(), failed)
	gomega.Expect(failed).To(gomega.BeZero())
	gomega.Expect(t.latencies.TotalCount()).To(gomega.BeNumerically(">=", daemonKills/3), "requests that the caller had to retry")
	gomega.Expect(quantile(t.latencies, 50)).To(gomega.BeNumerically("<=", maxMedianRecovery))
	gomega.Expect(quantile(t.latencies, 99)).To(gomega.BeNumerically("<=", maxP99Recovery))
	tc.expectNoViolations(ctx)
})

// maxPeerKills bounds the kills of peers when the caller has few requests to retry.
const maxPeerKills = 5 * daemonKills

// membershipSettleTime is how long awaitMembership waits after the last daemon knows all
// others: 20 times the interval of 25 ms at which daemons recompute which minions they
// own.
const membershipSettleTime = 500 * time.Millisecond

// forwarderAndOwners returns a daemon that owns no minion and the daemons that own one.
func (tc *testCluster) forwarderAndOwners(ctx context.Context) (forwarder *harness.Daemon, owners []*harness.Daemon) {
	ginkgo.GinkgoHelper()
	tc.awaitMembership(ctx)
	ownsMinion := map[*harness.Daemon]bool{}
	for i := range tc.minionCount {
		ownsMinion[tc.owner(ctx, tc.minionID(i))] = true
	}
	for _, d := range tc.Daemons {
		if ownsMinion[d] {
			owners = append(owners, d)
		} else {
			forwarder = d
		}
	}
	tc.Expect(forwarder).NotTo(gomega.BeNil(), "a daemon without a minion")
	tc.Expect(len(owners)).To(gomega.BeNumerically(">=", 2), "owners")
	return forwarder, owners
}

// awaitMembership waits until every daemon knows all others as live and has then
// recomputed which minions it owns. Before that, several daemons may consider
// themselves the owner of a minion.
func (tc *testCluster) awaitMembership(ctx context.Context) {
	ginkgo.GinkgoHelper()
	for _, d := range tc.Daemons {
		c := client.New(d.OperatorsURL(), harness.OperatorToken)
		gomega.Eventually(func() int {
			live := 0
			for _, p := range c.Status(ctx).Value.Peers {
				if p.State == "live" {
					live++
				}
			}
			return live
		}, "5s", "20ms").Should(gomega.Equal(len(tc.Daemons)-1), d.ID())
		c.Close()
	}
	time.Sleep(membershipSettleTime)
}
