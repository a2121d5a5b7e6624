package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
)

// How the loss of a worker was noticed.
const (
	lossRestarted     = "restarted"      // a later incarnation has its identifier
	lossAddressReused = "address_reused" // another worker answers at its address
	lossLeaseExpired  = "lease_expired"  // it was unreachable until its lease had expired
)

// presumedLoss is the loss of an unreachable worker under a run. It is taken back if the
// same incarnation answers again.
type presumedLoss struct {
	run  batch.RunRef
	loss batch.Loss
	at   time.Time
}

// maxPresumedTime is how long a presumed loss can be taken back.
const maxPresumedTime = 5 * time.Minute

const (
	// widespreadWindow is how close to each other workers with a common cause fall silent.
	widespreadWindow = time.Second
	// widespreadWorkers is the number of other workers from which a loss is widespread.
	widespreadWorkers = 3
	// silenceRetention is how long the start of a silence is kept.
	silenceRetention = 30 * time.Second
)

// silence is the time at which a worker stopped answering or restarted.
type silence struct {
	since    time.Time
	isolated bool            // the worker had an isolated run
	jobs     map[string]bool // IDs of the jobs that had runs on the worker
}

// noteSilence records that a worker has stopped answering or has restarted.
func (t *term) noteSilence(w *workerState, now time.Time) {
	s := silence{since: now, jobs: map[string]bool{}}
	for ref, r := range w.runs {
		s.isolated = s.isolated || r.isolated
		s.jobs[ref.Job] = true
	}
	t.silences[w.info.ID] = s
}

// widespread reports whether several other workers fell silent when the worker of a run
// did, without a run of the same job or an isolated one that would explain it.
func (t *term) widespread(r *run) bool {
	since := time.Now()
	if s, known := t.silences[r.worker.info.ID]; known {
		since = s.since
	}
	others := 0
	for id, s := range t.silences {
		if id != r.worker.info.ID && s.since.Sub(since).Abs() <= widespreadWindow && !s.isolated && !s.jobs[r.ref.Job] {
			others++
		}
	}
	return others >= widespreadWorkers
}

// loseRuns records that all runs on a worker have ended with it.
func (t *term) loseRuns(w *workerState, evidence string) {
	t.reportLoss(w, evidence)
	for _, r := range w.runs {
		t.loseRun(r, evidence)
	}
}

// loseRun records that a run has ended with its worker. The loss counts for its task,
// unless the start was never sent or the worker had announced that it would leave.
func (t *term) loseRun(r *run, evidence string) {
	if r.phase == phaseCommitting || r.worker.info.Draining {
		t.dropRun(r, "worker lost: "+evidence)
		return
	}
	j := r.job
	loss := batch.Loss{Lifetime: r.lifetime(), Presumed: evidence == lossLeaseExpired, Widespread: t.widespread(r)}
	t.noteGivenUp(r, evidence)
	t.removeRun(r)
	changed := j.tracker.Lose(r.ref, loss, r.checkpoint, time.Now())
	fields := []zap.Field{zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.worker.info.ID), zap.String("evidence", evidence),
		zap.Int64("lifetime_ms", loss.Lifetime.Milliseconds()), zap.Bool("isolated", r.isolated), zap.Bool("widespread", loss.Widespread)}
	if task := j.tracker.Task(r.ref.TaskRef); task != nil {
		fields = append(fields, zap.Int("losses", task.Losses.All), zap.Int("early_losses", task.Losses.Early), zap.Int("isolated_losses", task.Losses.Isolated), zap.Int("widespread_losses", task.Losses.Widespread))
	}
	t.log.Info("Run lost with its worker.", append(fields, zap.String("state", string(j.tracker.State)))...)
	if loss.Presumed {
		incarnation := fleet.Incarnation{ID: r.worker.info.ID, StartedMs: r.incarnation}
		t.presumed[incarnation] = append(t.presumed[incarnation], presumedLoss{run: r.ref, loss: loss, at: time.Now()})
	}
	delete(j.suspectSince, unitKey{r.ref.Occurrence, r.ref.Step})
	if changed {
		t.updateJobState(j)
	}
	t.handleGangEnd(r, false)
	t.planNeeded = true
}

// retractLosses takes back the presumed losses of a worker that answers again.
func (t *term) retractLosses(w *workerState) {
	losses := t.presumed[w.info.Incarnation]
	if len(losses) == 0 {
		return
	}
	delete(t.presumed, w.info.Incarnation)
	t.log.Info("Worker was not lost.", zap.String("worker", w.info.ID), zap.Int64("born", w.info.StartedMs), zap.Int("runs", len(losses)))
	for _, l := range losses {
		if j := t.jobs[l.run.Job]; j != nil && j.tracker.Retract(l.run.TaskRef, l.loss) {
			t.markChanged(j)
		}
	}
}

// forgetLosses keeps the presumed losses of workers that never return, and the starts of
// silences, from piling up.
func (t *term) forgetLosses(now time.Time) {
	for id, s := range t.silences {
		if now.Sub(s.since) > silenceRetention {
			delete(t.silences, id)
		}
	}
	for incarnation, losses := range t.presumed {
		if now.Sub(losses[len(losses)-1].at) > maxPresumedTime {
			delete(t.presumed, incarnation)
		}
	}
}

// noteLifetime clears a task of early losses once a run of it has outlived their time.
func (t *term) noteLifetime(r *run) {
	lifetime := r.lifetime()
	if lifetime >= batch.EarlyLossTime {
		r.isolated = false
	}
	if r.job.tracker.Outlive(r.ref, lifetime) {
		t.markChanged(r.job)
	}
}

// reportLoss logs that a worker was lost with the runs on it. The run that was started
// last is named, because work that ends its worker mostly does so soon after its start.
func (t *term) reportLoss(w *workerState, evidence string) {
	var youngest *run
	sent := 0
	for _, r := range w.runs {
		if r.phase == phaseCommitting {
			continue
		}
		sent++
		if youngest == nil || r.startedAt.After(youngest.startedAt) {
			youngest = r
		}
	}
	if youngest == nil {
		return
	}
	t.scope.Tagged(map[string]string{"evidence": evidence}).Counter("workers_lost").Inc(1)
	t.scope.Counter("runs_lost").Inc(int64(sent))
	t.log.Warn("Worker lost with its runs.", zap.String("worker", w.info.ID), zap.Int64("born", w.info.StartedMs), zap.String("evidence", evidence),
		zap.Bool("draining", w.info.Draining), zap.Int("runs", sent), zap.Stringer("youngest_task", youngest.ref.TaskRef), zap.Int64("run", youngest.ref.Run),
		zap.Bool("confirmed", !youngest.confirmedAt.IsZero()), zap.Int64("lifetime_ms", youngest.lifetime().Milliseconds()))
}

// lifetime returns for how long a run is known to have existed: until its worker last
// confirmed it. It is 0 for a run that its worker has never confirmed.
func (r *run) lifetime() time.Duration { return max(0, r.seenAt.Sub(r.startedAt)) }
