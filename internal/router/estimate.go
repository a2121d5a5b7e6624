package router

import "time"

const (
	// estimateWeight is the weight of the newest service time in the average.
	estimateWeight = 0.1
	// serviceMargin is the factor on the service time that must be left before
	// the deadline; service times above the average would miss it otherwise.
	serviceMargin = 1.25
	// leastRetryAfter is the shortest wait advised to a refused caller.
	leastRetryAfter = 100 * time.Millisecond
)

// estimator averages the service times of entries. It is guarded by the pool.
type estimator struct {
	overall float64 // nanoseconds
	entries map[string]float64
}

func newEstimator() *estimator { return &estimator{entries: map[string]float64{}} }

func (e *estimator) observe(entry string, d time.Duration) {
	e.overall = average(e.overall, float64(d))
	e.entries[entry] = average(e.entries[entry], float64(d))
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + estimateWeight*(sample-old)
}

// service returns the time that a request to the entry is expected to take.
func (e *estimator) service(entry string) time.Duration {
	if mean, ok := e.entries[entry]; ok {
		return time.Duration(mean * serviceMargin)
	}
	return time.Duration(e.overall * serviceMargin)
}

// wait returns the expected wait behind a number of requests that are served by
// a number of slots.
func (e *estimator) wait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(e.overall * float64(ahead+1) / float64(slots))
}
