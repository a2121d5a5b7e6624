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

// presumedLoss is a job with a loss that is taken back if the same incarnation of the worker
// answers again.
type presumedLoss struct {
	job string
	at  time.Time
}

// maxPresumedTime is how long a presumed loss can be taken back.
const maxPresumedTime = 5 * time.Minute

const (
	// widespreadWindow is how close to each other workers with a common cause fall silent.
	// A loss is judged when it has passed, so that all of them are known.
	widespreadWindow = time.Second
	// outageTime is how long a worker that stays silent counts for the losses after its own,
	// and how long before the start of a term a worker may have fallen that the term finds lost.
	outageTime = 5 * time.Second
	// silenceRetention is how long the start of a silence is kept.
	silenceRetention = 30 * time.Second
)

// silence is a time during which a worker did not answer.
type silence struct {
	place
	since, until time.Time // until is zero while it lasts
	incarnation  int64     // of the worker before
	lived        bool      // this incarnation has answered again
	cause        cause
	judged       bool // widespread is the verdict on the loss of the worker
	widespread   bool
}

// noteSilence records that a worker has stopped answering or has restarted.
func (t *term) noteSilence(w *workerState, now time.Time) {
	s := &silence{place: t.placeOf(w), since: now, incarnation: w.info.StartedMs}
	if w.misses == 0 {
		s.until = now
	}
	for _, r := range w.runs {
		if r.phase != phaseCommitting && r.lifetime() < batch.EarlyLossTime {
			s.cause = max(s.cause, fresh)
			if r.unit.Tasks[r.ref.Index].Losses.Early > 0 {
				s.cause = suspected
			}
		}
	}
	t.silences[w.info.ID] = s
}

// endSilence records that a worker answers.
func (t *term) endSilence(w *workerState, now time.Time) {
	if s := t.silences[w.info.ID]; s != nil && s.until.IsZero() {
		s.until, s.lived = now, w.info.StartedMs == s.incarnation
	}
}

// placeOf returns where a worker runs. That of one without an entry is the place of the
// worker that has its address now.
func (t *term) placeOf(w *workerState) place {
	if w.info.Zone == "" {
		for _, other := range t.workers {
			if other.info.Address == w.info.Address && other.info.Zone != "" {
				return place{other.info.Zone, other.info.Rack}
			}
		}
	}
	return place{w.info.Zone, w.info.Rack}
}

// lossOf returns the silence of a worker that is lost.
func (t *term) lossOf(w *workerState, now time.Time) *silence {
	if s := t.silences[w.info.ID]; s == nil || s.lived {
		t.noteSilence(w, now)
	}
	return t.silences[w.info.ID]
}

// canJudge reports whether the workers that may have fallen silent with a lost one are known.
func (t *term) canJudge(w *workerState, now time.Time) bool {
	return now.Sub(t.lossOf(w, now).since) >= widespreadWindow
}

// judge returns whether the loss of a worker is part of an outage. The verdict is the same
// for all runs on it.
func (t *term) judge(w *workerState, now time.Time) bool {
	s := t.lossOf(w, now)
	if s.judged {
		return s.widespread
	}
	var others []neighbour
	for id, other := range t.silences {
		if id != w.info.ID && other.overlaps(s) {
			others = append(others, neighbour{place: other.place, fallen: true, cause: other.cause})
		}
	}
	for id, other := range t.workers {
		fell := t.silences[id]
		if id != w.info.ID && (fell == nil || !fell.overlaps(s)) && t.livedOn(other, s.since) {
			others = append(others, neighbour{place: t.placeOf(other)})
		}
	}
	lost := neighbour{place: s.place, fallen: true, cause: s.cause}
	s.judged, s.widespread = true, widespread(lost, others)
	zone, _, all := groupsOf(lost, others)
	t.log.Info("Loss of a worker judged.", zap.String("worker", w.info.ID), zap.Bool("widespread", s.widespread), zap.Int("cause", int(s.cause)),
		zap.Int("zone_unexplained", zone.unexplained), zap.Int("zone_fresh", zone.fresh), zap.Int("zone_live", zone.live),
		zap.Int("unexplained", all.unexplained), zap.Int("fresh", all.fresh), zap.Int("live", all.live))
	return s.widespread
}

// overlaps reports whether a worker was silent when another one fell silent.
func (s *silence) overlaps(other *silence) bool {
	earliest := other.since.Add(-widespreadWindow)
	switch {
	case s.since.After(other.since.Add(widespreadWindow)):
		return false
	case !s.since.Before(earliest):
		return true
	}
	return s.since.After(other.since.Add(-outageTime)) && (s.until.IsZero() || s.until.After(earliest))
}

// livedOn reports whether a worker was there before and after a time. A later incarnation
// may have replaced one that fell.
func (t *term) livedOn(w *workerState, since time.Time) bool {
	if !w.listed || w.misses > 0 {
		return false
	}
	if since.Sub(t.startedAt) < widespreadWindow {
		// The worker may have fallen before the term. The margin covers the difference
		// between the clocks.
		return w.info.StartedMs < t.startedAt.Add(-outageTime).UnixMilli()
	}
	return w.foundAt.Before(since)
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
	loss := batch.Loss{Lifetime: r.lifetime(), Presumed: evidence == lossLeaseExpired, StartedMs: r.incarnation, Widespread: t.judge(r.worker, time.Now())}
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
		t.notePresumed(r.ref.Job, r.worker.info.ID, r.incarnation)
	}
	delete(j.suspectSince, unitKey{r.ref.Occurrence, r.ref.Step})
	if changed {
		t.updateJobState(j)
	}
	t.handleGangEnd(r, false)
	t.planNeeded = true
}

// notePresumed records that a job has a loss that may be taken back.
func (t *term) notePresumed(job, worker string, startedMs int64) {
	incarnation := fleet.Incarnation{ID: worker, StartedMs: startedMs}
	t.presumed[incarnation] = append(t.presumed[incarnation], presumedLoss{job: job, at: time.Now()})
}

// restorePresumed records the losses of a job that an earlier term presumed.
func (t *term) restorePresumed(j *jobState) {
	for _, unit := range j.tracker.Units {
		for _, p := range unit.Presumed {
			t.notePresumed(j.tracker.Job.ID, p.ID, p.StartedMs)
		}
	}
}

// retractLosses takes back the presumed losses of a worker that answers again.
func (t *term) retractLosses(w *workerState) {
	t.endSilence(w, time.Now())
	losses := t.presumed[w.info.Incarnation]
	if len(losses) == 0 || !t.jobsListed {
		return
	}
	delete(t.presumed, w.info.Incarnation)
	t.log.Info("Worker was not lost.", zap.String("worker", w.info.ID), zap.Int64("born", w.info.StartedMs), zap.Int("runs", len(losses)))
	for _, l := range losses {
		if j := t.jobs[l.job]; j != nil && j.tracker.Retract(w.info.ID, w.info.StartedMs) > 0 {
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
