package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/health"
)

// quarantine lets the control goroutine use the record of failing workers.
type quarantine struct{ tracker *health.Tracker }

func newQuarantine() *quarantine { return &quarantine{health.New(health.Config{})} }

// RecordFailure implements control.Quarantine. The time of the failure stands for the
// attempt, so that the same failure counts once.
func (q *quarantine) RecordFailure(worker, job, _ string, at time.Time) {
	q.tracker.RecordFailure(health.Failure{Job: job, Attempt: int(at.UnixMilli()), Worker: worker, At: at})
}

// RecordSuccess implements control.Quarantine.
func (q *quarantine) RecordSuccess(worker, _ string, at time.Time) {
	q.tracker.RecordSuccess(worker, at)
}

// Until implements control.Quarantine.
func (q *quarantine) Until(worker string, now time.Time) (time.Time, string) {
	if held, ok := q.tracker.QuarantineOf(worker, now); ok {
		return held.Until, held.Reason
	}
	return time.Time{}, ""
}
