package runtimes

import (
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

// lateQuantile is the quantile of the late forecast.
const lateQuantile = 0.9

// quantiles are the values of a distribution at evenly spaced quantiles. They are read from
// a sketch once, because a plan needs the quantiles of the kind of each run.
type quantiles [64]float64

// read takes the quantiles of a sketch.
func (q *quantiles) read(sketch *ddsketch.DDSketch) {
	total, sum, next := sketch.GetCount(), 0.0, 0
	last := 0.0
	sketch.ForEach(func(value, count float64) bool {
		sum, last = sum+count, value
		for next < len(q) && sum >= total*(float64(next)+0.5)/float64(len(q)) {
			q[next] = value
			next++
		}
		return next == len(q)
	})
	for ; next < len(q); next++ { // sums of weights are rounded
		q[next] = last
	}
}

func (q *quantiles) at(quantile float64) float64 {
	return q[min(len(q)-1, int(quantile*float64(len(q))))]
}

// overdueMedian and overdueLate are the expected and the late end of a run that has taken
// longer than nearly all others, as multiples of the time that it has taken.
const (
	overdueMedian = 1.25
	overdueLate   = 2
)

// after returns the median and the late quantile of those values that are above a value.
func (q *quantiles) after(value float64) (median, late float64) {
	first, _ := slices.BinarySearch(q[:], value)
	for first < len(q) && q[first] <= value {
		first++
	}
	left := len(q) - first
	if left <= 1 {
		return overdueMedian * value, overdueLate * value
	}
	return q[first+left/2], q[first+int(lateQuantile*float64(left))]
}

// priorQuantiles returns the ratios of run time and estimate that are assumed of a kind that
// is not known: callers' estimates are off by up to a half, and 3 % of the tasks are
// stragglers that take up to 7 times as long.
func priorQuantiles() quantiles {
	const stragglers, maxStraggler = 0.03, 7
	var q quantiles
	for i := range q {
		p := float64(i) / float64(len(q))
		q[i] = 0.5 + p
		if rest := p - (1 - stragglers); rest > 0 {
			q[i] = 2 + (maxStraggler-2)*rest/stragglers
		}
	}
	return q
}
