package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

const (
	// maxStartAttempts bounds how often the start of a run is sent before the run is
	// dropped.
	maxStartAttempts = 4
	// stopRetryDelay is the delay before a stop is repeated for a run that its worker
	// still reports.
	stopRetryDelay = 400 * time.Millisecond
	// maxClockDifference is the largest difference between the clocks of two daemons.
	maxClockDifference = 5 * time.Second
	// maxUnstoredTime is how long before a term an earlier one may have lost a worker and not
	// stored it: until it noticed, judged and committed the loss, and its lease expired.
	maxUnstoredTime = 5 * time.Second
)

// phase is the last known state of a run.
type phase int

const (
	phaseCommitting phase = iota + 1 // the assignment is not stored yet
	phaseStarting                    // the start was sent and is not answered yet
	phaseRunning
	phaseStopping
	phaseUnknown // whether the run exists is unknown, for example after a lost answer
)

// run is one execution of a task. It occupies its worker until it has provably ended.
type run struct {
	ref           batch.RunRef
	job           *jobState
	unit          *batch.Unit
	step          *batch.Step
	need          batch.Need
	worker        *workerState
	phase         phase
	fence         int64     // fence of the start order
	startAttempts int       // number of start orders sent; 0 for adopted runs
	confirmedAt   time.Time // when the worker confirmed the start
	seenAt        time.Time // when the worker last confirmed that the run exists
	startedAt     time.Time
	// incarnation is the start time of the worker to which the start was sent.
	incarnation int64
	// isolated means that the run has its worker to itself and is not known to have
	// outlived batch.EarlyLossTime.
	isolated   bool
	stopReason string // why the run is to be stopped; empty while it is not
	stopSentAt time.Time
	// stopRequestedAt is when the run was first to be stopped.
	stopRequestedAt time.Time
	checkpoint      string
	timing          *timing
	progress        workerhealth.Progress
}

// assign records a run of a task on a worker and sends the start once the record is
// stored. isolated means that the run has the worker to itself.
func (t *term) assign(j *jobState, unit *batch.Unit, index int, w *workerState, isolated bool) {
	incarnation := batch.WorkerIncarnation{ID: w.info.ID, StartedMs: w.info.StartedMs, Address: w.info.Address}
	ref := j.tracker.Assign(unit, index, incarnation)
	unit.Tasks[index].Isolated, unit.Tasks[index].AssignedAtMs = isolated, time.Now().UnixMilli()
	r := t.newRun(j, unit, ref, w, phaseCommitting)
	r.isolated = isolated
	j.assignedAt[unitKey{unit.Occurrence, unit.Step}] = r.startedAt
	t.markChanged(j)
	t.whenDurable(j, func() { t.sendStart(r) })
}

func (t *term) newRun(j *jobState, unit *batch.Unit, ref batch.RunRef, w *workerState, p phase) *run {
	step := &j.tracker.Job.Steps[unit.Step]
	now := time.Now()
	r := &run{ref: ref, job: j, unit: unit, step: step, need: taskNeed(step), worker: w, phase: p, startedAt: now}
	w.runs[ref] = r
	j.runs[ref] = r
	t.addTiming(r)
	return r
}

// resendStart repeats the start of a run whose previous start was provably not
// carried out. The run keeps its number, so the rest of its gang keeps running.
func (t *term) resendStart(r *run, reason string) {
	if r.startAttempts == 0 || r.startAttempts >= maxStartAttempts || r.stopReason != "" {
		t.dropRun(r, reason)
		return
	}
	t.log.Info("Repeating the start of a run.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.worker.info.ID), zap.String("reason", reason))
	r.phase = phaseCommitting
	t.sendStart(r)
}

// startObstacle returns why a planned run may no longer be started, or "".
func (t *term) startObstacle(r *run) string {
	reason := t.ineligibility(r.worker)
	switch {
	case !t.holdsLease():
		return "lease lost before the start"
	case r.stopReason != "":
		return r.stopReason
	case reason != "":
		return "worker may no longer get tasks: " + string(reason)
	case !r.fitsNow():
		return "worker no longer has the capacity"
	}
	return ""
}

// fitsNow reports whether the worker has room for a run beside all whose starts were sent.
func (r *run) fitsNow() bool {
	free := r.worker.info.Capacity
	for _, other := range r.worker.runs {
		if other != r && other.phase != phaseCommitting {
			free = placement.Sub(free, other.need)
		}
	}
	return placement.Covers(free, r.need)
}

// handleStartReply applies the answer to a start. took is how long the worker has needed,
// without the wait behind other events.
func (t *term) handleStartReply(r *run, reply fleet.Reply, took time.Duration) {
	if r.worker.runs[r.ref] != r || r.phase != phaseStarting {
		return
	}
	now := time.Now()
	t.log.Info("Worker answered the start of a run.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.worker.info.ID),
		zap.Stringer("outcome", reply.Outcome), zap.Duration("took", took), telemetry.ErrorField(reply.Err))
	t.scope.Tagged(map[string]string{"outcome": reply.Outcome.String()}).Counter("starts").Inc(1)
	t.updateClock(r.worker, reply.Clock, now)
	t.noteStartHealth(r.worker, reply.Outcome, took, now)
	switch reply.Outcome {
	case fleet.Accepted:
		t.noteConfirmed(r, now, false)
		r.phase, r.confirmedAt, r.seenAt = phaseRunning, now, now
		t.confirmStart(r.ref)
		t.noteFenced(r.worker, now)
		t.noteBegun(r)
		if r.stopReason != "" {
			t.stopRunning(r)
		}
		t.pollWorker(r.worker, now)
	case fleet.Unanswered:
		r.phase = phaseUnknown
		t.raiseFence(r.worker)
		t.pollWorker(r.worker, now)
	case fleet.Fenced:
		if r.fence == r.worker.fence {
			t.endReason = "fenced by worker " + r.worker.info.ID
			return
		}
		t.resendStart(r, "start was rejected because the fence had been raised")
	default:
		t.dropRun(r, "start refused: "+reply.Outcome.String())
	}
}

// updateRun applies the status of a run that its worker reports.
func (t *term) updateRun(r *run, status fleet.RunStatus) {
	now := time.Now()
	if r.phase == phaseUnknown {
		t.noteConfirmed(r, now, true)
		r.phase, r.confirmedAt = phaseRunning, now
	}
	r.seenAt = now
	t.noteProgress(r, status.Percent, now)
	if status.Checkpoint != "" {
		r.checkpoint = status.Checkpoint
	}
	t.noteReported(r, status.Percent, now)
	t.noteLifetime(r)
	if r.stopReason != "" && now.Sub(r.stopSentAt) > stopRetryDelay {
		t.stopRunning(r)
	}
}

// applyEnd records the end of a run in its job.
func (t *term) applyEnd(w *workerState, j *jobState, end fleet.End) {
	now := time.Now()
	tracker := j.tracker
	t.log.Info("Run ended.", zap.Stringer("task", end.Run.TaskRef), zap.Int64("run", end.Run.Run), zap.String("worker", w.info.ID),
		zap.String("how", string(end.Reason)), zap.Int64("end", end.Number))
	t.scope.Tagged(map[string]string{"how": string(end.Reason)}).Counter("ends").Inc(1)
	t.confirmStart(end.Run)
	r := j.runs[end.Run]
	t.noteEndHealth(w, j, end, now)
	var changed bool
	switch end.Reason {
	case fleet.Done:
		w.drain.ended++
		changed = tracker.Finish(end.Run)
		if r != nil {
			t.noteDone(r, now)
		}
	case fleet.Failed:
		changed = tracker.Fail(end.Run, now)
		t.avoidWorker(j, end.Run, w)
	default:
		lifetime := time.Duration(0)
		if r != nil {
			lifetime = r.lifetime()
		}
		changed = tracker.Stop(end.Run, lifetime, end.Checkpoint, now)
	}
	if r != nil {
		t.removeRun(r)
		if end.Reason != fleet.Done && end.Checkpoint != "" {
			r.checkpoint = end.Checkpoint
		}
		t.handleGangEnd(r, end.Reason == fleet.Done)
	}
	if end.Reason == fleet.Done {
		t.stopReplacements(j, end.Run)
	}
	if changed {
		t.updateJobState(j)
	}
	t.planNeeded = true
}

// avoidWorker records that a task of a unit has failed on a worker.
func (t *term) avoidWorker(j *jobState, ref batch.RunRef, w *workerState) {
	key := unitKey{ref.Occurrence, ref.Step}
	if j.failedWorkers[key] == nil {
		j.failedWorkers[key] = map[string]bool{}
	}
	j.failedWorkers[key][w.info.ID] = true
}

// dropRun removes a run that was never started or no longer exists.
func (t *term) dropRun(r *run, reason string) {
	t.log.Info("Run dropped.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.worker.info.ID), zap.String("reason", reason),
		zap.Int64("lifetime_ms", r.lifetime().Milliseconds()))
	t.scope.Counter("runs_given_up").Inc(1)
	t.noteGivenUp(r, reason)
	t.removeRun(r)
	changed := false
	if r.confirmedAt.IsZero() {
		changed = r.job.tracker.Drop(r.ref, r.checkpoint)
	} else {
		changed = r.job.tracker.Stop(r.ref, r.lifetime(), r.checkpoint, time.Now())
	}
	if changed {
		t.updateJobState(r.job)
	}
	t.handleGangEnd(r, false)
	t.planNeeded = true
}

func (t *term) removeRun(r *run) {
	delete(r.worker.runs, r.ref)
	delete(r.job.runs, r.ref)
	t.removeTiming(r)
}

// handleGangEnd stops the remaining members of a gang when one of them has ended
// without being done. When the last one has ended, all get the same run number and
// checkpoint for the next start.
func (t *term) handleGangEnd(r *run, done bool) {
	if !r.step.Gang || done {
		return
	}
	remaining := false
	for _, other := range r.job.runs {
		if other.unit == r.unit {
			remaining = true
			t.requestStop(other, "another member of the gang has ended")
		}
	}
	if r.checkpoint != "" {
		r.unit.Tasks[0].Checkpoint = r.checkpoint
	}
	if !remaining && !r.unit.Assigned() {
		r.job.tracker.AlignGang(r.unit, r.unit.Tasks[0].Checkpoint)
	}
}

func (t *term) stopJobRuns(j *jobState, reason string) {
	for _, r := range j.runs {
		t.requestStop(r, reason)
	}
}

// stopReplacements stops the other runs of a task that is done, and of its gang.
func (t *term) stopReplacements(j *jobState, done batch.RunRef) {
	for ref, r := range j.runs {
		sameUnit := ref.Occurrence == done.Occurrence && ref.Step == done.Step
		if sameUnit && ref.Run != done.Run && (r.step.Gang || ref.Index == done.Index) && !r.step.Persistent {
			t.requestStop(r, "task is done")
		}
	}
}

// requestStop marks a run to be stopped and sends the stop if it is running. A run
// whose start has not been sent is dropped instead of started; one whose start has
// not been answered is stopped once the outcome is known.
func (t *term) requestStop(r *run, reason string) {
	if r.stopReason != "" {
		return
	}
	r.stopReason, r.stopRequestedAt = reason, time.Now()
	if r.phase == phaseRunning {
		t.stopRunning(r)
	}
}

func (t *term) stopRunning(r *run) {
	r.phase, r.stopSentAt = phaseStopping, time.Now()
	t.log.Info("Stopping a run.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.worker.info.ID), zap.String("reason", r.stopReason))
	t.sendStop(r.worker, r.ref)
}

// runsAdopted reports whether the term knows the runs that earlier terms have recorded.
func (t *term) runsAdopted() bool { return t.jobsListed && t.workersListed }

// adoptRuns takes over the runs recorded by earlier terms, once both the jobs and
// the workers have been listed.
func (t *term) adoptRuns() {
	if !t.runsAdopted() {
		return
	}
	for _, j := range t.jobs {
		if len(j.runs) > 0 {
			continue
		}
		for _, unit := range j.tracker.Units {
			for i := range unit.Tasks {
				if unit.Tasks[i].Assigned() {
					t.adoptRun(j, unit, i)
				}
			}
		}
	}
}

// setAge sets since when an adopted run has existed and until when an earlier term saw it. That
// term would have stored a loss of longer ago, and what the run has outlived.
func (r *run) setAge(task batch.Task, termStart time.Time) {
	assignedAt, known := task.AssignedAt()
	if !known {
		return
	}
	if startedAt := assignedAt.Add(maxClockDifference); startedAt.Before(r.startedAt) {
		r.startedAt = startedAt
	}
	if !task.MayBeFresh() {
		r.seenAt = termStart.Add(-maxUnstoredTime)
	}
}

func (t *term) adoptRun(j *jobState, unit *batch.Unit, index int) {
	incarnation := unit.Tasks[index].Worker
	w := t.workers[incarnation.ID]
	if w == nil {
		w = t.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: incarnation.ID, StartedMs: incarnation.StartedMs}, Address: incarnation.Address, Service: j.tracker.Job.Service})
		t.addWorker(w)
	}
	ref := batch.RunRef{TaskRef: batch.TaskRef{Job: j.tracker.Job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index}, Run: unit.Tasks[index].Run}
	r := t.newRun(j, unit, ref, w, phaseUnknown)
	r.checkpoint, r.isolated, r.incarnation = unit.Tasks[index].Checkpoint, unit.Tasks[index].Isolated, incarnation.StartedMs
	r.setAge(unit.Tasks[index], t.startedAt)
	t.noteAdopted(r, unit.Tasks[index])
	// The start was sent with a lower fence than any call of this term.
	r.fence = w.fence - 1
	if incarnation.StartedMs != 0 && w.info.StartedMs > incarnation.StartedMs {
		t.raiseFence(w)
	}
	if j.tracker.State.Final() {
		r.stopReason, r.stopRequestedAt = string(j.tracker.State), time.Now()
	}
	t.pollWorker(w, time.Now())
}
