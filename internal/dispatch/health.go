package dispatch

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

const (
	// minPersistentDelay and maxPersistentDelay bound the time after which a persistent task
	// that has failed starts again; the time doubles with each failure. A persistent task has
	// to start again within 6 s of its last run; the rest is for the report of its end, the
	// plan and the commit.
	minPersistentDelay = 250 * time.Millisecond
	maxPersistentDelay = 3 * time.Second
	// steadyRunTime is how long a run of a persistent task lasts that is not taken for a
	// repeated failure.
	steadyRunTime = 10 * time.Second
	// lateAnswerTime is the time of an answer to a start that counts against a worker. An
	// answer usually takes a few ms.
	lateAnswerTime = 200 * time.Millisecond
	// slowRunTimeFactor is how many times as long as expected at its start a run takes that
	// counts against its worker. The expectation has the distance to the data and the known
	// speed of the worker, but may rest on an estimate that is too low by half. Of the tasks,
	// 3 % take up to 7 times as long anywhere, so that several have to on one worker.
	slowRunTimeFactor = 6
	// minUnansweredCalls is the number of unanswered calls in a row that count against a worker.
	minUnansweredCalls = 3
	// healthReportInterval is the time between two log lines that list the workers that get
	// no or few tasks.
	healthReportInterval = 30 * time.Second
)

// retry is when a persistent task that has failed may start again.
type retry struct {
	delay time.Duration
	at    time.Time
}

// retryKey identifies a task, or with index 0 a gang, of a job.
type retryKey struct {
	unitKey
	index int
}

func retryKeyOf(step *batch.Step, ref batch.RunRef) retryKey {
	key := retryKey{unitKey: unitKey{ref.Occurrence, ref.Step}, index: ref.Index}
	if step.Gang {
		key.index = 0
	}
	return key
}

func (t *term) newHealth() *workerhealth.Tracker {
	return workerhealth.New(workerhealth.Config{Changed: t.logHealthChange})
}

// logHealthChange logs a change of the state of a worker.
func (t *term) logHealthChange(c workerhealth.Change) {
	t.scope.Tagged(map[string]string{"to": c.To.String()}).Counter("worker_health_changes").Inc(1)
	fields := []zap.Field{zap.String("worker", c.Worker), zap.Stringer("from", c.From), zap.Stringer("to", c.To)}
	if c.To == workerhealth.Quarantined {
		fields = append(fields, zap.Time("until", c.Until))
	}
	evidence := make([]string, 0, len(c.Evidence))
	for _, item := range c.Evidence {
		evidence = append(evidence, strings.TrimSpace(item.Kind.String()+" "+item.Task))
	}
	t.log.Info("Health of a worker has changed.", append(fields, zap.Strings("evidence", evidence))...)
}

// healthTask names the task, or the gang, whose failures on several workers explain
// themselves.
func healthTask(step *batch.Step, ref batch.RunRef) string {
	if step.Gang {
		return fmt.Sprintf("%s/%d/%d", ref.Job, ref.Occurrence, ref.Step)
	}
	return ref.String()
}

// noteHealth records evidence of a kind that no task explains.
func (t *term) noteHealth(w *workerState, kind workerhealth.Kind, now time.Time) {
	t.health.Note(w.info.ID, w.info.StartedMs, workerhealth.Evidence{Kind: kind}, now)
}

// noteStartHealth records what the answer to a start says of a worker.
func (t *term) noteStartHealth(w *workerState, outcome fleet.Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case fleet.Unanswered:
		t.noteHealth(w, workerhealth.Unanswered, now)
	case fleet.Unhealthy, fleet.NoCapacity: // the departure of another incarnation has counted
		t.noteHealth(w, workerhealth.Refused, now)
	case fleet.Accepted:
		if took >= lateAnswerTime {
			t.noteHealth(w, workerhealth.Late, now)
		}
	}
}

// noteEndHealth records what the end of a run says of its worker, and delays the next start of
// a persistent task that has failed.
func (t *term) noteEndHealth(w *workerState, j *jobState, end fleet.End, now time.Time) {
	if end.Run.Step < 0 || end.Run.Step >= len(j.tracker.Job.Steps) {
		return
	}
	step := &j.tracker.Job.Steps[end.Run.Step]
	e := workerhealth.Evidence{Task: healthTask(step, end.Run), Run: end.Run.Run, Persistent: step.Persistent}
	switch end.Reason {
	case fleet.Done:
		e.Kind = workerhealth.Success
		if j.runs[end.Run].slow(step, now) {
			e.Kind = workerhealth.Slow
		}
	case fleet.Failed:
		e.Kind = workerhealth.Failure
	default:
		return
	}
	t.health.Note(w.info.ID, w.info.StartedMs, e, now)
	if !step.Persistent {
		return
	}
	key := retryKeyOf(step, end.Run)
	r := j.runs[end.Run]
	if end.Reason == fleet.Done || r != nil && now.Sub(r.startedAt) >= steadyRunTime {
		delete(j.retries, key)
		return
	}
	if j.retries == nil {
		j.retries = map[retryKey]retry{}
	}
	delay := min(maxPersistentDelay, max(minPersistentDelay, 2*j.retries[key].delay))
	j.retries[key] = retry{delay: delay, at: now.Add(delay)}
}

// slow reports whether a run that has completed its task took far longer than expected. A gang
// may have waited for its members, or for one that is slow.
func (r *run) slow(step *batch.Step, now time.Time) bool {
	if r == nil || step.Gang || step.Persistent || r.startAttempts == 0 || r.timing.median <= 0 {
		return false
	}
	return now.Sub(r.startedAt) >= slowRunTimeFactor*max(r.timing.median, time.Second)
}

// noteDeparture records that a worker has left that had not announced it.
func (t *term) noteDeparture(w *workerState, now time.Time) {
	if !w.info.Draining {
		t.noteHealth(w, workerhealth.Restarted, now)
	}
}

// noteAnswer records that a worker answers again after several calls without an answer.
func (t *term) noteAnswer(w *workerState, now time.Time) {
	if w.misses >= minUnansweredCalls && len(w.runs) > 0 {
		t.noteHealth(w, workerhealth.Unanswered, now)
	}
}

// delayed reports whether a task waits after a failure.
func (j *jobState) delayed(unit *batch.Unit, index int, now time.Time) bool {
	if len(j.retries) == 0 {
		return false
	}
	ref := batch.RunRef{TaskRef: batch.TaskRef{Occurrence: unit.Occurrence, Step: unit.Step, Index: index}}
	return now.Before(j.retries[retryKeyOf(&j.tracker.Job.Steps[unit.Step], ref)].at)
}

// applyHealth sets the states of the workers in a snapshot.
func (t *term) applyHealth(p *planInput, now time.Time) {
	states := t.health.Apply(p.Workers, p.Demands, now)
	for i, w := range p.workers {
		w.health = states[w.info.ID]
		out := &p.Workers[i]
		out.Suspect, out.OnTrial = w.health == workerhealth.Suspect, w.health == workerhealth.OnTrial
		out.Schedulable = out.Schedulable && w.health != workerhealth.Quarantined
	}
}

// checkHealth applies the passage of time to the health of the workers, and reports it.
func (t *term) checkHealth(now time.Time) {
	t.health.Advance(now)
	listed := t.health.List()
	counts := map[workerhealth.State]int{workerhealth.Healthy: max(0, len(t.workers)-len(listed))}
	var restricted []string
	for _, l := range listed {
		counts[l.State]++
		if l.State >= workerhealth.OnTrial {
			restricted = append(restricted, fmt.Sprintf("%s %s since %s", l.Worker, l.State, l.Since.UTC().Format(time.RFC3339)))
		}
	}
	for state := workerhealth.Healthy; state <= workerhealth.Quarantined; state++ {
		t.scope.Tagged(map[string]string{"health": state.String()}).Gauge("workers").Update(float64(counts[state]))
	}
	if len(restricted) > 0 && now.Sub(t.healthReportedAt) >= healthReportInterval {
		t.healthReportedAt = now
		t.log.Info("Workers that get no or few tasks because of their health.", zap.Strings("workers", restricted))
	}
}
