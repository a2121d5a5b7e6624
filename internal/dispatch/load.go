package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// loadInterval is the interval at which the load of jobs is counted. The lease is renewed
	// twice a second, and publishes it.
	loadInterval = 250 * time.Millisecond
	// finishedBytes is the memory of a job that has ended, beside its row in the store, which
	// the next dispatcher lists.
	finishedBytes = 256
	// loadLineDivisor is the divisor of the budget at whose multiples the load is logged.
	loadLineDivisor = 8
)

// Load returns the encoded load of jobs as last counted, nil if this daemon does not dispatch
// or has not listed the jobs.
func (d *Dispatcher) Load() []byte {
	if load := d.load.Load(); load != nil {
		return *load
	}
	return nil
}

func (f finishedJob) bytes() int64 { return finishedBytes + int64(f.rowBytes) }

// countLoad counts the memory of the jobs and publishes it. It includes the jobs that have
// ended and whose rows are still stored.
func (t *term) countLoad(now time.Time) {
	if !t.jobsListed || now.Sub(t.loadCountedAt) < loadInterval {
		return
	}
	t.loadCountedAt = now
	held := map[string]int64{}
	for _, j := range t.jobs {
		held[j.tracker.Job.Organisation] += j.weight
	}
	for _, f := range t.finished {
		held[f.organisation] += f.bytes()
	}
	load := admission.NewLoad(t.jobsVersion, t.cfg.JobBudget(), held)
	value, err := admission.EncodeLoad(load)
	if err != nil {
		t.log.Error("Failed to publish the load of jobs.", telemetry.ErrorField(err))
		return
	}
	t.load.Store(&value)
	t.scope.Gauge("job_bytes").Update(float64(load.HeldBytes))
	t.scope.Gauge("job_bytes_budget").Update(float64(load.BudgetBytes))
	if level := loadLineDivisor * load.HeldBytes / load.BudgetBytes; level != t.loadLevel {
		t.loadLevel = level
		t.log.Info("Load of jobs changed.", zap.Int64("held_bytes", load.HeldBytes), zap.Int64("budget_bytes", load.BudgetBytes),
			zap.Int("jobs", len(t.jobs)), zap.Int("ended_jobs", len(t.finished)), zap.Int("organisations", len(held)))
	}
}
