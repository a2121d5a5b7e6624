package router

import (
	"math"
	"time"
)

const (
	// estimateWeight is the weight of the newest service time in the averages.
	estimateWeight = 0.1
	// deviations is the number of mean deviations above the mean that a service
	// time is expected to stay below, as in the retransmission timer of TCP.
	deviations = 4
	// serviceShare bounds the expected service time to a share, as a divisor, of
	// the time that the caller gave, so that callers in a hurry are not refused
	// for rare slow answers.
	serviceShare = 2
	// leastRetryAfter is the shortest wait advised to a refused caller.
	leastRetryAfter = 100 * time.Millisecond
)

// times averages service times, in nanoseconds.
type times struct{ mean, deviation float64 }

func (t times) with(sample float64) times {
	if t.mean == 0 {
		return times{mean: sample, deviation: sample / 2}
	}
	t.deviation += estimateWeight * (math.Abs(sample-t.mean) - t.deviation)
	t.mean += estimateWeight * (sample - t.mean)
	return t
}

// estimator averages the service times of entries. It is guarded by the pool.
type estimator struct {
	overall times
	entries map[string]times
}

func newEstimator() *estimator { return &estimator{entries: map[string]times{}} }

func (e *estimator) observe(entry string, took time.Duration) {
	e.overall = e.overall.with(float64(took))
	e.entries[entry] = e.entries[entry].with(float64(took))
}

// observeCut takes in a request that was cut off: its service time is at least
// the time it took. Leaving it out would make the averages too low.
func (e *estimator) observeCut(entry string, took time.Duration) {
	if took > e.mean(entry) {
		e.observe(entry, took)
	}
}

func (e *estimator) of(entry string) times {
	if t, ok := e.entries[entry]; ok {
		return t
	}
	return e.overall
}

func (e *estimator) mean(entry string) time.Duration { return time.Duration(e.of(entry).mean) }

// service returns the time that must be left for a request of a caller who gave
// it a total time.
func (e *estimator) service(entry string, given time.Duration) time.Duration {
	t := e.of(entry)
	expected := time.Duration(t.mean + deviations*t.deviation)
	return max(time.Duration(t.mean), min(expected, given/serviceShare))
}

// wait returns the expected wait behind a number of requests that are served by
// a number of slots.
func (e *estimator) wait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(e.overall.mean * float64(ahead+1) / float64(slots))
}
