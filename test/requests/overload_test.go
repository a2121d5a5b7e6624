package requests_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

const (
	overloadMinions = 8
	overloadSlots   = 4
	// overloadServiceTime is long compared to the time that the test itself needs for
	// a request, so that the minions are the bottleneck.
	overloadServiceTime = 80 * time.Millisecond
	// capacity is in requests per second.
	capacity         = int(overloadMinions * overloadSlots * time.Second / overloadServiceTime)
	overloadDeadline = time.Second
	overloadTime     = 3 * time.Second
	// warmUp is excluded from the measurement, since the queues are still filling.
	warmUp = 500 * time.Millisecond
	// urgentRate is the rate of urgent requests, in requests per second.
	urgentRate = 40

	minGoodputRatio  = 0.95
	maxAmplification = 1.1
	maxUrgentRatio   = 2.0
)

// load is an open-loop stream of requests with exponential interarrival times,
// distributed over the daemons.
type load struct {
	entry    string
	rate     int // requests per second
	duration time.Duration
	seed     uint64
}

// loadResult holds the counts and latencies of the answers to a load.
type loadResult struct {
	mu        sync.Mutex
	sent      int
	ran       int                     // answers with outcome ran within the measured time
	notRun    int                     // answers with outcome not_run
	latencies *hdrhistogram.Histogram // of answers with outcome ran
}

func (r *loadResult) record(start time.Time, outcome api.Outcome, latency time.Duration, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := start.Add(latency)
	r.sent++
	switch outcome {
	case api.OutcomeRan:
		if end.After(from) && end.Before(to) {
			r.ran++
		}
		_ = r.latencies.RecordValue(latency.Microseconds())
	case api.OutcomeNotRun:
		r.notRun++
	}
}

// goodput returns the answers with outcome ran per second of the measured time.
func (r *loadResult) goodput() float64 { return float64(r.ran) / (overloadTime - warmUp).Seconds() }

func (tc *testCluster) runLoad(l load) *loadResult {
	result := &loadResult{latencies: newLatencies()}
	random := rand.New(rand.NewPCG(randomSeed, l.seed))
	start := time.Now()
	from, to := start.Add(warmUp), start.Add(l.duration)
	var group sync.WaitGroup
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.rate)))
		if next.After(to) {
			break
		}
		time.Sleep(time.Until(next))
		d := tc.Daemons[i%len(tc.Daemons)]
		group.Go(func() {
			sentAt := time.Now()
			answer := tc.submit(context.Background(), d, newKey("load"), requestSpec{entry: l.entry, serviceTime: overloadServiceTime, deadline: overloadDeadline})
			result.record(sentAt, answer.Outcome(), time.Since(sentAt), from, to)
		})
	}
	group.Wait()
	return result
}

func newOverloadCluster() *testCluster {
	ginkgo.GinkgoHelper()
	return newCluster(clusterConfig{daemons: 3, minions: overloadMinions, slots: overloadSlots})
}

// Guards against a collapse of goodput under overload, when minions run requests
// whose callers no longer wait.
var _ = ginkgo.It("goodput at twice capacity is at least 95 % of goodput at capacity", func() {
	tc := newOverloadCluster()
	atCapacity := tc.runLoad(load{entry: standardEntry, rate: capacity, duration: overloadTime, seed: 1})
	atTwice := tc.runLoad(load{entry: standardEntry, rate: 2 * capacity, duration: overloadTime, seed: 2})
	ratio := atTwice.goodput() / atCapacity.goodput()
	report("overload", "capacity %d/s, goodput at capacity %.0f/s, at twice capacity %.0f/s, share %.3f, refused %d of %d, p99 %s",
		capacity, atCapacity.goodput(), atTwice.goodput(), ratio, atTwice.notRun, atTwice.sent, quantile(atTwice.latencies, 99))
	gomega.Expect(ratio).To(gomega.BeNumerically(">=", minGoodputRatio))
	tc.expectNoViolations(context.Background())
})

// Guards against retries that multiply the load while a quarter of the minions run
// requests but lose all answers.
var _ = ginkgo.It("retries amplify the load by at most 1.1 while a quarter of the minions fail", func() {
	tc := newOverloadCluster()
	for i := range overloadMinions / 4 {
		gomega.Expect(tc.Standin.SetFaults(minionTarget(tc.minionID(i)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	}
	before, err := tc.executions()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	result := tc.runLoad(load{entry: standardEntry, rate: capacity / 2, duration: overloadTime, seed: 3})
	after, err := tc.executions()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	executions := total(after) - total(before)
	amplification := float64(executions) / float64(result.sent)
	report("retry amplification", "%d executions of %d requests: %.3f; %d ran in the measured time", executions, result.sent, amplification, result.ran)
	gomega.Expect(amplification).To(gomega.BeNumerically("<=", maxAmplification))
	gomega.Expect(result.ran).To(gomega.BeNumerically(">", 0))
	tc.expectNoViolations(context.Background())
})

func total(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against urgent requests that wait behind a burst of batch requests.
var _ = ginkgo.It("p99 of urgent requests under a burst is at most twice the unloaded p99", func() {
	tc := newOverloadCluster()
	unloaded := tc.runLoad(load{entry: urgentEntry, rate: urgentRate, duration: overloadTime, seed: 4})
	var urgent, burst *loadResult
	var group sync.WaitGroup
	group.Go(func() {
		burst = tc.runLoad(load{entry: batchEntry, rate: 2 * capacity, duration: overloadTime, seed: 5})
	})
	group.Go(func() {
		urgent = tc.runLoad(load{entry: urgentEntry, rate: urgentRate, duration: overloadTime, seed: 6})
	})
	group.Wait()
	ratio := float64(quantile(urgent.latencies, 99)) / float64(quantile(unloaded.latencies, 99))
	report("urgent under a burst", "p99 unloaded %s, under a burst %s, ratio %.2f; %d of %d urgent ran, burst goodput %.0f/s",
		quantile(unloaded.latencies, 99), quantile(urgent.latencies, 99), ratio, urgent.latencies.TotalCount(), urgent.sent, burst.goodput())
	gomega.Expect(urgent.latencies.TotalCount()).To(gomega.BeEquivalentTo(urgent.sent), "urgent requests that ran")
	gomega.Expect(ratio).To(gomega.BeNumerically("<=", maxUrgentRatio))
	tc.expectNoViolations(context.Background())
})
