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
	// overloadTake is long against the time that the test itself needs for a
	// request, so that the minions are the bottleneck.
	overloadTake = 80 * time.Millisecond
	// capacity is in requests per second.
	capacity         = int(overloadMinions * overloadSlots * time.Second / overloadTake)
	overloadDeadline = time.Second
	overloadTime     = 3 * time.Second
	// warmUp is left out of the measurement: queues fill in it.
	warmUp = 500 * time.Millisecond
	// urgentRate is the rate of urgent requests per second beside a burst.
	urgentRate = 40

	goodputGoal       = 0.95
	amplificationGoal = 1.1
	urgentGoal        = 2.0
)

// load is an open stream of requests with exponential gaps, spread over the daemons.
type load struct {
	entry string
	rate  int // requests per second
	lasts time.Duration
	seed  uint64
}

// measured counts the answers to a load.
type measured struct {
	mu      sync.Mutex
	sent    int
	ran     int // of those, answered within the measurement
	refused int
	times   *hdrhistogram.Histogram // of answers that say ran
}

func (m *measured) add(began time.Time, outcome api.Outcome, took time.Duration, from, to time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := began.Add(took)
	m.sent++
	switch outcome {
	case api.OutcomeRan:
		if ended.After(from) && ended.Before(to) {
			m.ran++
		}
		_ = m.times.RecordValue(took.Microseconds())
	case api.OutcomeNotRun:
		m.refused++
	}
}

// goodput returns the answers per second in the measured time.
func (m *measured) goodput() float64 { return float64(m.ran) / (overloadTime - warmUp).Seconds() }

func (r *rig) drive(l load) *measured {
	m := &measured{times: newTimes()}
	random := rand.New(rand.NewPCG(randomSeed, l.seed))
	began := time.Now()
	from, to := began.Add(warmUp), began.Add(l.lasts)
	var group sync.WaitGroup
	next := began
	for i := 0; ; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.rate)))
		if next.After(to) {
			break
		}
		time.Sleep(time.Until(next))
		d := r.Daemons[i%len(r.Daemons)]
		group.Go(func() {
			sent := time.Now()
			answer := r.submit(context.Background(), d, newKey("load"), call{entry: l.entry, takes: overloadTake, deadline: overloadDeadline})
			m.add(sent, answer.Outcome(), time.Since(sent), from, to)
		})
	}
	group.Wait()
	return m
}

func newOverloadRig() *rig {
	ginkgo.GinkgoHelper()
	return newRig(size{daemons: 3, minions: overloadMinions, slots: overloadSlots})
}

// Guards against the collapse of goodput when minions work for callers that no
// longer wait.
var _ = ginkgo.It("goodput at twice capacity is at least 95 % of goodput at capacity", func() {
	r := newOverloadRig()
	at := r.drive(load{entry: standardEntry, rate: capacity, lasts: overloadTime, seed: 1})
	twice := r.drive(load{entry: standardEntry, rate: 2 * capacity, lasts: overloadTime, seed: 2})
	ratio := twice.goodput() / at.goodput()
	report("overload", "capacity %d/s, goodput at capacity %.0f/s, at twice capacity %.0f/s, share %.3f, refused %d of %d, p99 %s",
		capacity, at.goodput(), twice.goodput(), ratio, twice.refused, twice.sent, quantile(twice.times, 99))
	gomega.Expect(ratio).To(gomega.BeNumerically(">=", goodputGoal))
	r.expectTruth(context.Background())
})

// Guards against retries that multiply the load when a quarter of the minions
// run requests and answer none.
var _ = ginkgo.It("retries amplify the load by at most 1.1 while a quarter of the minions fail", func() {
	r := newOverloadRig()
	for i := range overloadMinions / 4 {
		gomega.Expect(r.Standin.SetFaults(minionTarget(r.minionID(i)), standin.Faults{LoseEvery: 1})).To(gomega.Succeed())
	}
	before, err := r.executions()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m := r.drive(load{entry: standardEntry, rate: capacity / 2, lasts: overloadTime, seed: 3})
	after, err := r.executions()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	executions := total(after) - total(before)
	amplification := float64(executions) / float64(m.sent)
	report("retry amplification", "%d executions of %d requests: %.3f; %d ran in the measured time", executions, m.sent, amplification, m.ran)
	gomega.Expect(amplification).To(gomega.BeNumerically("<=", amplificationGoal))
	gomega.Expect(m.ran).To(gomega.BeNumerically(">", 0))
	r.expectTruth(context.Background())
})

func total(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Guards against urgent requests that wait behind a burst of others.
var _ = ginkgo.It("p99 of urgent requests under a burst is at most twice the unloaded p99", func() {
	r := newOverloadRig()
	unloaded := r.drive(load{entry: urgentEntry, rate: urgentRate, lasts: overloadTime, seed: 4})
	var urgent, burst *measured
	var group sync.WaitGroup
	group.Go(func() { burst = r.drive(load{entry: batchEntry, rate: 2 * capacity, lasts: overloadTime, seed: 5}) })
	group.Go(func() { urgent = r.drive(load{entry: urgentEntry, rate: urgentRate, lasts: overloadTime, seed: 6}) })
	group.Wait()
	ratio := float64(quantile(urgent.times, 99)) / float64(quantile(unloaded.times, 99))
	report("urgent under a burst", "p99 unloaded %s, under a burst %s, ratio %.2f; %d of %d urgent ran, burst goodput %.0f/s",
		quantile(unloaded.times, 99), quantile(urgent.times, 99), ratio, urgent.times.TotalCount(), urgent.sent, burst.goodput())
	gomega.Expect(urgent.times.TotalCount()).To(gomega.BeEquivalentTo(urgent.sent), "urgent requests that ran")
	gomega.Expect(ratio).To(gomega.BeNumerically("<=", urgentGoal))
	r.expectTruth(context.Background())
})
