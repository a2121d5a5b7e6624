package router

import (
	"math"
	"time"
)

const (
	// estimateWeight is the weight of the newest service time in the averages.
	estimateWeight = 0.1
	// deviationFactor is the number of mean deviations that are added to the mean
	// for the expected service time, as in the retransmission timer of TCP.
	deviationFactor = 4
	// maxServiceDivisor bounds the expected service time to 1/maxServiceDivisor of
	// the timeout of the request, so that requests with a short timeout are not
	// refused because of rare slow answers.
	maxServiceDivisor = 2
	// minRetryAfter is the smallest Retry-After given to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

// serviceTimes holds moving averages of service times, in nanoseconds.
type serviceTimes struct{ mean, deviation float64 }

func (t serviceTimes) withSample(sample float64) serviceTimes {
	if t.mean == 0 {
		return serviceTimes{mean: sample, deviation: sample / 2}
	}
	t.deviation += estimateWeight * (math.Abs(sample-t.mean) - t.deviation)
	t.mean += estimateWeight * (sample - t.mean)
	return t
}

// estimator estimates service and waiting times from the service times of each
// entry. It is guarded by the mutex of the pool.
type estimator struct {
	overall serviceTimes
	byEntry map[string]serviceTimes
}

func newEstimator() *estimator { return &estimator{byEntry: map[string]serviceTimes{}} }

func (e *estimator) observe(entry string, took time.Duration) {
	e.overall = e.overall.withSample(float64(took))
	e.byEntry[entry] = e.byEntry[entry].withSample(float64(took))
}

// observeTimeout records a request that was ended by its deadline after the given
// time, which is a lower bound of its service time. Leaving such requests out would
// make the averages too low.
func (e *estimator) observeTimeout(entry string, took time.Duration) {
	if took > e.mean(entry) {
		e.observe(entry, took)
	}
}

func (e *estimator) forEntry(entry string) serviceTimes {
	if t, ok := e.byEntry[entry]; ok {
		return t
	}
	return e.overall
}

func (e *estimator) mean(entry string) time.Duration { return time.Duration(e.forEntry(entry).mean) }

// expectedService returns the time that a request must have left before its deadline
// when it is sent. The timeout is the total time of the request, from arrival to
// deadline.
func (e *estimator) expectedService(entry string, timeout time.Duration) time.Duration {
	t := e.forEntry(entry)
	expected := time.Duration(t.mean + deviationFactor*t.deviation)
	return max(time.Duration(t.mean), min(expected, timeout/maxServiceDivisor))
}

// expectedWait returns how long a new request is expected to wait behind the
// requests ahead of it, which are served by the given number of slots.
func (e *estimator) expectedWait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(e.overall.mean * float64(ahead+1) / float64(slots))
}
