package router_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/router"
)

// load is an open-loop load with exponentially distributed intervals between
// requests, spread evenly over the daemons as the load balancer does.
type load struct {
	rate     int // requests per second
	duration time.Duration
	deadline time.Duration
	urgency  api.Urgency
}

// loadResult holds the number of replies of a load by outcome, and their latencies.
// Answers after the end of the load are not counted as ran, because by then no new
// requests compete with them.
type loadResult struct {
	mu          sync.Mutex
	endTime     time.Time
	sent        int
	ran         int
	refused     int
	failed      int
	ranAfterEnd int
	latencies   *hdrhistogram.Histogram
}

func (r *loadResult) add(reply router.Reply, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch reply.Result.Outcome {
	case api.OutcomeRan:
		if time.Now().Before(r.endTime) {
			r.ran++
		} else {
			r.ranAfterEnd++
		}
		_ = r.latencies.RecordValue(took.Microseconds())
	case api.OutcomeNotRun:
		r.refused++
	default:
		r.failed++
	}
}

func (r *loadResult) p99() time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
}

func (c *cluster) runLoad(l load) *loadResult {
	out := &loadResult{latencies: hdrhistogram.New(1, 60_000_000, 3)}
	var group sync.WaitGroup
	started := time.Now()
	out.endTime = started.Add(l.duration)
	next := started
	for i := 0; time.Since(started) < l.duration; i++ {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(l.rate)))
		time.Sleep(time.Until(next))
		group.Go(func() {
			sent := time.Now()
			reply := c.daemons[i%len(c.daemons)].submitAs(l.urgency, fmt.Sprint(l.urgency, i), "body", false, l.deadline)
			out.add(reply, time.Since(sent))
		})
	}
	group.Wait()
	return out
}

const (
	loadServiceTime = 40 * time.Millisecond
	loadMinions     = 12
	// loadCapacity is the number of requests per second that the minions can serve.
	loadCapacity = loadMinions * 8 * int(time.Second/loadServiceTime)
)

// newLoadCluster starts three daemons and loadMinions minions of eight slots.
func newLoadCluster() *cluster {
	zones := make([]string, loadMinions)
	for i := range zones {
		zones[i] = "a"
	}
	c := newCluster([]string{"a", "a", "a"}, zones)
	c.eachMinion(func(m *fakeMinion) { m.serviceTime = loadServiceTime })
	return c
}

// Guards against a collapse of goodput at twice the capacity.
func TestMeasureGoodputAtTwiceCapacity(t *testing.T) { measureGoodput(t, false) }

// Guards against a loss of goodput through requests with varying service times that
// are sent too late to finish by their deadline.
func TestMeasureGoodputWithSpreadServiceTimes(t *testing.T) { measureGoodput(t, true) }

func measureGoodput(t *testing.T, randomServiceTime bool) {
	g := NewWithT(t)
	run := func(rate int) *loadResult {
		c := newLoadCluster()
		defer c.close()
		c.eachMinion(func(m *fakeMinion) { m.randomServiceTime = randomServiceTime })
		c.runLoad(load{rate: loadCapacity / 2, duration: 300 * time.Millisecond, deadline: 400 * time.Millisecond})
		result := c.runLoad(load{rate: rate, duration: 3 * time.Second, deadline: 400 * time.Millisecond})
		t.Logf("offered %d/s: sent %d, ran %d, after the end %d, refused %d, failed %d, p99 %s", rate, result.sent, result.ran, result.ranAfterEnd, result.refused, result.failed, result.p99())
		return result
	}
	atCapacity, atTwice := run(loadCapacity), run(2*loadCapacity)
	percent := 100 * float64(atTwice.ran) / float64(atCapacity.ran)
	t.Logf("goodput at twice capacity: %.1f %% of goodput at capacity", percent)
	g.Expect(percent).To(BeNumerically(">=", 95))
}

// Guards against retry storms when many minions fail at once, fail slowly or
// cannot be reached.
func TestMeasureRetryAmplification(t *testing.T) {
	for mode, serviceTime := range map[string]time.Duration{"fails": time.Millisecond, "broken": loadServiceTime, "unreachable": 0} {
		t.Run(mode, func(t *testing.T) { measureAmplification(t, mode, serviceTime) })
	}
}

func measureAmplification(t *testing.T, mode string, serviceTime time.Duration) {
	g := NewWithT(t)
	c := newLoadCluster()
	defer c.close()
	for i := range loadMinions / 4 {
		m := c.minions[fmt.Sprint("m", i)]
		m.mu.Lock()
		m.mode, m.serviceTime = mode, serviceTime
		m.mu.Unlock()
	}
	result := c.runLoad(load{rate: loadCapacity / 2, duration: 3 * time.Second, deadline: 400 * time.Millisecond})
	calls := 0
	c.eachMinion(func(m *fakeMinion) { calls += m.calls })
	amplification := float64(calls) / float64(result.sent-result.refused)
	t.Logf("sent %d, ran %d, refused %d, failed %d, dispatches %d: amplification %.3f", result.sent, result.ran, result.refused, result.failed, calls, amplification)
	g.Expect(amplification).To(BeNumerically("<=", 1.1))
	g.Expect(result.ran).To(BeNumerically(">=", (result.sent-result.ranAfterEnd)*95/100))
}

// Guards against urgent requests that wait behind a burst of batch requests.
func TestMeasureUrgentUnderBurst(t *testing.T) {
	g := NewWithT(t)
	c := newLoadCluster()
	defer c.close()
	urgent := load{rate: loadCapacity / 20, duration: 3 * time.Second, deadline: 400 * time.Millisecond, urgency: api.Urgent}
	unloaded := c.runLoad(urgent)
	var group sync.WaitGroup
	group.Go(func() {
		c.runLoad(load{rate: 2 * loadCapacity, duration: 3200 * time.Millisecond, deadline: 400 * time.Millisecond, urgency: api.Batch})
	})
	time.Sleep(100 * time.Millisecond)
	burst := c.runLoad(urgent)
	group.Wait()
	ratio := float64(burst.p99()) / float64(unloaded.p99())
	t.Logf("urgent p99 unloaded %s, under burst %s: ratio %.2f; refused %d of %d", unloaded.p99(), burst.p99(), ratio, burst.refused, burst.sent)
	g.Expect(ratio).To(BeNumerically("<=", 2))
	g.Expect(burst.refused).To(BeNumerically("<=", burst.sent/100))
}

// Guards against slow retries after the death of a daemon. The fake links report the
// death at once, so the measured delay is that of the router alone.
func TestMeasureRetryAfterDeath(t *testing.T) {
	g := NewWithT(t)
	const serviceTime, killAfter = 100 * time.Millisecond, 50 * time.Millisecond
	c := newCluster([]string{"a", "b", "b"}, []string{"b", "b", "b", "b", "b", "b", "b", "b"})
	defer c.close()
	for i := range 600 { // fill the retry budget
		c.daemons[0].submit(fmt.Sprint("warm", i), "warm", false, submitTimeout)
	}
	c.eachMinion(func(m *fakeMinion) { m.serviceTime = serviceTime })
	time.Sleep(300 * time.Millisecond) // longer than creditTTL, so that the advertised free slots are current
	delays := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	ran, started := 0, time.Now()
	for i := range 40 {
		group.Go(func() {
			reply := c.daemons[0].submit(fmt.Sprint(i), fmt.Sprint("body", i), false, 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if reply.Result.Outcome == api.OutcomeRan {
				ran++
			} else {
				t.Logf("%+v", reply)
			}
			if delay := time.Since(started) - serviceTime - killAfter; delay > 0 {
				_ = delays.RecordValue(delay.Microseconds())
			}
		})
	}
	time.Sleep(killAfter)
	c.daemons[1].kill()
	group.Wait()
	median := time.Duration(delays.ValueAtQuantile(50)) * time.Microsecond
	t.Logf("ran %d of 40, retried %d, median delay of a retry %s", ran, delays.TotalCount(), median)
	g.Expect(ran).To(Equal(40))
	g.Expect(delays.TotalCount()).To(BeNumerically(">", 0))
	g.Expect(median).To(BeNumerically("<=", 100*time.Millisecond))
}

// BenchmarkSubmit measures the overhead of the router per request.
func BenchmarkSubmit(b *testing.B) {
	zones := make([]string, 50)
	c := newCluster([]string{""}, zones)
	defer c.close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			c.daemons[0].submit("k", "body", false, time.Second)
		}
	})
}
