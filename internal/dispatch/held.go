package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// heldRetryDelay is the delay between two attempts to store the progress of a job that the
// store does not accept.
const heldRetryDelay = 5 * time.Second

// handleRejected finds the job whose progress the store does not accept, by storing that of
// each job of the commit alone, and holds it: it gets no new runs, and is tried again from
// time to time, while all others go on.
func (t *term) handleRejected(jobs map[string]*jobCommit, cause error) {
	now := time.Now()
	t.scope.Counter("commits_rejected").Inc(1)
	t.commitRetryAt = now.Add(commitRetryDelay)
	for id := range jobs {
		j := t.jobs[id]
		if j == nil {
			continue
		}
		if j.storeAlone || len(jobs) == 1 {
			t.holdJob(j, now, cause)
		}
		j.storeAlone = true
	}
	if len(jobs) > 1 {
		t.log.Warn("Store rejected the progress of jobs; each will be stored alone.", zap.Int("jobs", len(jobs)), telemetry.ErrorField(cause))
	}
}

// holdJob holds a job whose progress the store does not accept. Runs whose record is not
// stored are dropped, so that they occupy no worker.
func (t *term) holdJob(j *jobState, now time.Time, cause error) {
	if j.heldUntil.IsZero() {
		t.scope.Counter("jobs_held").Inc(1)
		t.log.Error("Job held because the store does not accept its progress.", zap.String("job", j.tracker.Job.ID), zap.Int("runs", len(j.runs)), telemetry.ErrorField(cause))
	}
	j.heldUntil = now.Add(heldRetryDelay)
	for _, r := range j.runs {
		if r.phase == phaseCommitting {
			t.dropRun(r, "progress not stored")
		}
	}
}
