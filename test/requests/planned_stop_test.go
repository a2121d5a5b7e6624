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
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	restartRounds = 2
	loadClients   = 16
	// probeEvery is the interval at which a balancer requests /readyz.
	probeEvery = 50 * time.Millisecond
	// maxServiceTime is long enough that requests are in flight while their daemon
	// stops.
	maxServiceTime = 1500 * time.Millisecond
	// balancerAttempts bounds how often a balancer submits a request.
	balancerAttempts = 6
	stopTimeout      = 15 * time.Second
)

// balancer picks daemons as a load balancer does: a daemon that is not ready gets no
// new requests, and a request that certainly did not run is sent to the next daemon.
type balancer struct {
	cluster *testCluster
	mu      sync.Mutex
	ready   []*harness.Daemon
	next    int
	// refused counts refused connections; redirected counts requests that a daemon
	// answered with not_run.
	refused, redirected atomic.Int64
}

func (b *balancer) probe(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Daemon
		for _, d := range b.cluster.Daemons {
			if d.Ready(ctx) {
				ready = append(ready, d)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(probeEvery)
	}
}

func (b *balancer) pick() *harness.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.cluster.Daemons[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// submit sends a request to one daemon after another until one accepts it.
func (b *balancer) submit(ctx context.Context, key string, spec requestSpec) (answer client.Answer[api.RequestResult]) {
	for range balancerAttempts {
		answer = b.cluster.submit(ctx, b.pick(), key, spec)
		switch {
		case answer.Refused:
			b.refused.Add(1)
		case answer.Outcome() == api.OutcomeNotRun:
			b.redirected.Add(1)
		default:
			return answer
		}
		time.Sleep(pollEvery)
	}
	return answer
}

// loadUntil starts clients that submit requests until the context ends. The returned
// function waits for the clients. It returns a description of each answer with an
// outcome other than ran, and the number of requests.
func (b *balancer) loadUntil(ctx context.Context) func() (failed []string, sent int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	var sent atomic.Int64
	for i := range loadClients {
		random := rand.New(rand.NewPCG(randomSeed, uint64(i)))
		group.Go(func() {
			for ctx.Err() == nil {
				spec := requestSpec{nonIdempotent: random.IntN(2) == 0, deadline: 8 * time.Second}
				if spec.serviceTime = time.Duration(random.IntN(60)) * time.Millisecond; random.IntN(10) == 0 {
					spec.serviceTime = time.Duration(random.Int64N(int64(maxServiceTime)))
				}
				answer := b.submit(context.WithoutCancel(ctx), newKey("stop"), spec)
				sent.Add(1)
				if answer.Outcome() != api.OutcomeRan {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("%s %d %s %v", answer.Outcome(), answer.Status, answer.Problem.Detail, answer.Err))
					mu.Unlock()
				}
			}
		})
	}
	return func() ([]string, int) {
		group.Wait()
		return failed, int(sent.Load())
	}
}

// Guards against requests that a planned stop interrupts, and against daemons that
// do not exit by themselves after SIGTERM.
var _ = ginkgo.It("rolling restarts interrupt no request and every daemon exits with 0", func() {
	tc := newCluster(clusterConfig{daemons: 3, minions: 4})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b := &balancer{cluster: tc, ready: tc.Daemons}
	var probing sync.WaitGroup
	probing.Go(func() { b.probe(ctx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := b.loadUntil(loadCtx)
	var codes []int
	for range restartRounds {
		for _, d := range tc.Daemons {
			time.Sleep(2 * probeEvery)
			gomega.Expect(d.Terminate()).To(gomega.Succeed())
			code, err := d.Wait(stopTimeout)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			codes = append(codes, code)
			gomega.Expect(tc.ReplaceDaemon(d)).To(gomega.Succeed())
			gomega.Expect(d.WaitReady(ctx)).To(gomega.Succeed())
		}
	}
	stopLoad()
	failed, sent := wait()
	stop()
	probing.Wait()
	report("planned stop", "%d stops, %d requests, %d cut, %d connections refused, %d refused unrun and redirected",
		len(codes), sent, len(failed), b.refused.Load(), b.redirected.Load())
	gomega.Expect(codes).To(gomega.HaveEach(0))
	gomega.Expect(failed).To(gomega.BeEmpty())
	tc.expectNoViolations(context.Background())
})
