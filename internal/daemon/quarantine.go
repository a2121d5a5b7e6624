package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/health"
)

// healthTracker adapts a health.Tracker to control.HealthTracker. A Tracker has no
// locks; only the goroutine of control uses it.
type healthTracker struct{ tracker *health.Tracker }

func newHealthTracker() *healthTracker { return &healthTracker{health.New(health.Config{})} }

// RecordFailure implements control.HealthTracker. It passes the time of the failure as
// the attempt, so that a failure that is recorded twice counts once.
func (h *healthTracker) RecordFailure(worker, job, _ string, at time.Time) {
	h.tracker.RecordFailure(health.Failure{Job: job, Attempt: int(at.UnixMilli()), Worker: worker, At: at})
}

// RecordSuccess implements control.HealthTracker.
func (h *healthTracker) RecordSuccess(worker, _ string, at time.Time) {
	h.tracker.RecordSuccess(worker, at)
}

// QuarantinedUntil implements control.HealthTracker.
func (h *healthTracker) QuarantinedUntil(worker string, now time.Time) (time.Time, string) {
	if active, ok := h.tracker.QuarantineOf(worker, now); ok {
		return active.Until, active.Reason
	}
	return time.Time{}, ""
}
