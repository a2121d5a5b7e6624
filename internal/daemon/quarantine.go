package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/health"
)

// quarantine adapts a health.Tracker to control.HealthTracker. A Tracker has no locks;
// only the goroutine of control uses it.
type quarantine struct{ tracker *health.Tracker }

func newQuarantine() *quarantine { return &quarantine{health.New(health.Config{})} }

// RecordFailure implements control.HealthTracker. It passes the time of the failure as
// the attempt, so that a failure that is recorded twice counts once.
func (q *quarantine) RecordFailure(worker, job, _ string, at time.Time) {
	q.tracker.RecordFailure(health.Failure{Job: job, Attempt: int(at.UnixMilli()), Worker: worker, At: at})
}

// RecordSuccess implements control.HealthTracker.
func (q *quarantine) RecordSuccess(worker, _ string, at time.Time) {
	q.tracker.RecordSuccess(worker, at)
}

// QuarantinedUntil implements control.HealthTracker.
func (q *quarantine) QuarantinedUntil(worker string, now time.Time) (time.Time, string) {
	if active, ok := q.tracker.QuarantineOf(worker, now); ok {
		return active.Until, active.Reason
	}
	return time.Time{}, ""
}
