package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
)

const (
	// givenUpRetention is how long runs that were given up are kept to recognise one that
	// shows up again: longer than a worker may stay unreachable and keep its runs.
	givenUpRetention = time.Minute
	// maxGivenUpRuns bounds their number. Beyond it, further ones are not recognised.
	maxGivenUpRuns = 20_000
)

// givenUpRun is a run that the term has taken for gone.
type givenUpRun struct {
	at     time.Time
	reason string
}

// noteGivenUp remembers a run that the term takes for gone although its start was sent.
func (t *term) noteGivenUp(r *run, reason string) {
	if r.phase != phaseCommitting && len(t.givenUp) < maxGivenUpRuns {
		t.givenUp[r.ref] = givenUpRun{at: time.Now(), reason: reason}
	}
}

// reportAlive logs that a worker reports a run, or its end, that the term has given up. An
// end without a listing before may be older than the loss of its worker's lease.
func (t *term) reportAlive(w *workerState, ref batch.RunRef, end fleet.EndReason) {
	given, known := t.givenUp[ref]
	if !known {
		return
	}
	delete(t.givenUp, ref)
	found := "running"
	if end != "" {
		found = string(end)
	}
	t.scope.Tagged(map[string]string{"found": found}).Counter("given_up_runs_found").Inc(1)
	t.log.Warn("Worker reports a run that was given up.", zap.Stringer("task", ref.TaskRef), zap.Int64("run", ref.Run), zap.String("worker", w.info.ID),
		zap.String("found", found), zap.String("reason", given.reason), zap.Duration("given_up_before", time.Since(given.at)), zap.Bool("replaced", t.replaced(ref)))
}

// replaced reports whether a newer run of the task was recorded.
func (t *term) replaced(ref batch.RunRef) bool {
	j := t.jobs[ref.Job]
	if j == nil {
		return false
	}
	task := j.tracker.Task(ref.TaskRef)
	return task != nil && task.Run > ref.Run
}

func (t *term) forgetGivenUp(now time.Time) {
	for ref, given := range t.givenUp {
		if now.Sub(given.at) > givenUpRetention {
			delete(t.givenUp, ref)
		}
	}
}
