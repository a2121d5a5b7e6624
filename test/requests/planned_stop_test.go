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
	// probeEvery is the interval at which a balancer asks /readyz.
	probeEvery = 50 * time.Millisecond
	// longestTake keeps requests in flight across the stop of their daemon.
	longestTake = 1500 * time.Millisecond
	// balancerTries bounds the daemons that a balancer offers a request to.
	balancerTries = 6
	stopWait      = 15 * time.Second
)

// balancer chooses daemons as a load balancer does: one that is not ready gets
// no new requests, and a refused connection is retried elsewhere.
type balancer struct {
	rig   *rig
	mu    sync.Mutex
	ready []*harness.Daemon
	next  int
	// refused counts refused connections, redirected requests that a daemon refused unrun.
	refused, redirected atomic.Int64
}

func (b *balancer) probe(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Daemon
		for _, d := range b.rig.Daemons {
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

func (b *balancer) choose() *harness.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.rig.Daemons[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// submit offers a request to daemons until one takes it.
func (b *balancer) submit(ctx context.Context, key string, c call) (answer client.Answer[api.RequestResult]) {
	for range balancerTries {
		answer = b.rig.submit(ctx, b.choose(), key, c)
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

// loadUntil keeps clients submitting until the context ends and returns what was
// not answered as ran, and the number of requests.
func (b *balancer) loadUntil(ctx context.Context) func() (cut []string, sent int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	var sent atomic.Int64
	for i := range loadClients {
		random := rand.New(rand.NewPCG(randomSeed, uint64(i)))
		group.Go(func() {
			for ctx.Err() == nil {
				c := call{nonIdempotent: random.IntN(2) == 0, deadline: 8 * time.Second}
				if c.takes = time.Duration(random.IntN(60)) * time.Millisecond; random.IntN(10) == 0 {
					c.takes = time.Duration(random.Int64N(int64(longestTake)))
				}
				answer := b.submit(context.WithoutCancel(ctx), newKey("stop"), c)
				sent.Add(1)
				if answer.Outcome() != api.OutcomeRan {
					mu.Lock()
					cut = append(cut, fmt.Sprintf("%s %d %s %v", answer.Outcome(), answer.Status, answer.Problem.Detail, answer.Err))
					mu.Unlock()
				}
			}
		})
	}
	return func() ([]string, int) {
		group.Wait()
		return cut, int(sent.Load())
	}
}

// Guards against requests that are cut off by a planned stop, and against
// daemons that do not end by themselves.
var _ = ginkgo.It("rolling restarts cut off no request and every daemon exits with 0", func() {
	r := newRig(size{daemons: 3, minions: 4})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	b := &balancer{rig: r, ready: r.Daemons}
	var probing sync.WaitGroup
	probing.Go(func() { b.probe(ctx) })
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := b.loadUntil(loaded)
	var codes []int
	for range restartRounds {
		for _, d := range r.Daemons {
			time.Sleep(2 * probeEvery)
			gomega.Expect(d.Terminate()).To(gomega.Succeed())
			code, err := d.Wait(stopWait)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			codes = append(codes, code)
			gomega.Expect(r.ReplaceDaemon(d)).To(gomega.Succeed())
			gomega.Expect(d.WaitReady(ctx)).To(gomega.Succeed())
		}
	}
	stopLoad()
	cut, sent := wait()
	stop()
	probing.Wait()
	report("planned stop", "%d stops, %d requests, %d cut, %d connections refused, %d refused unrun and redirected",
		len(codes), sent, len(cut), b.refused.Load(), b.redirected.Load())
	gomega.Expect(codes).To(gomega.HaveEach(0))
	gomega.Expect(cut).To(gomega.BeEmpty())
	r.expectTruth(context.Background())
})
