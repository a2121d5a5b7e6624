package dispatch

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// overdueShare is the remaining run time expected of a task that has exceeded its
// estimate, as a share of the estimate.
const overdueShare = 0.2

// runTime returns the expected run time of a task of a step.
func (t *term) runTime(_ *batch.Job, step *batch.Step) time.Duration {
	return time.Duration(step.EstimateMs) * time.Millisecond
}

// forecast returns the expected end of a run, and the time by which it has ended in nine of
// ten cases.
func (t *term) forecast(r *run, now time.Time) (expected, late time.Time) {
	estimate := t.runTime(&r.job.tracker.Job, r.step)
	expected = r.startedAt.Add(estimate)
	if !expected.After(now) {
		expected = now.Add(time.Duration(overdueShare * float64(estimate)))
	}
	return expected, expected
}
