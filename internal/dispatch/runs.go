package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// startTimeout bounds the wait for the answer to an order, which takes a few ms.
	// An unanswered start is settled by a raised fence and sent again, before the
	// other members of a gang give up.
	startTimeout = 350 * time.Millisecond
	// maxSends bounds how often the start of one run is sent.
	maxSends = 4
	// stopAgain is the delay before a stop is repeated for a run still listed.
	stopAgain = 400 * time.Millisecond
)

// phase is what is known of a run.
type phase int

const (
	committing phase = iota + 1 // the assignment is not stored yet
	starting                    // the start was sent
	running
	stopping
	unknown // the start was not answered, or another term gave the order
)

// run is one start of a task that occupies a worker until it has provably ended.
type run struct {
	ref      batch.RunRef
	entry    *entry
	unit     *batch.Unit
	step     *batch.Step
	need     batch.Need
	host     *host
	phase    phase
	fence    int64     // fence of the start
	sends    int       // how often the start was sent; 0 for adopted runs
	answered time.Time // when the start was answered
	began    time.Time
	stop     string // why it is to be stopped; empty while it is wanted
	stopSent time.Time
	saved    string
	savedAt  time.Time
	percent  int64
}

// assign records a run and starts it once the record is stored.
func (t *term) assign(e *entry, unit *batch.Unit, index int, h *host) {
	place := batch.WorkerIncarnation{ID: h.worker.ID, StartedMs: h.worker.StartedMs, Address: h.worker.Address}
	ref := e.tracker.Assign(unit, index, place)
	r := t.newRun(e, unit, ref, h, committing)
	t.edited(e)
	t.whenDurable(e, func() { t.start(r) })
}

func (t *term) newRun(e *entry, unit *batch.Unit, ref batch.RunRef, h *host, p phase) *run {
	step := &e.tracker.Job.Steps[unit.Step]
	now := time.Now()
	r := &run{ref: ref, entry: e, unit: unit, step: step, need: occupies(step), host: h, phase: p, began: now, savedAt: now}
	h.runs[ref] = r
	e.runs[ref] = r
	return r
}

// start sends the order for a stored run, unless something has changed since.
func (t *term) start(r *run) {
	if r.phase != committing {
		return
	}
	if reason := t.unwanted(r); reason != "" {
		t.lost(r, reason)
		return
	}
	now := time.Now()
	deadline := t.lease(r.host, now)
	if deadline == 0 {
		t.lost(r, "clock of the worker is not known")
		return
	}
	r.phase, r.fence, r.began, r.savedAt = starting, r.host.fence, now, now
	r.sends++
	task := &r.unit.Tasks[r.ref.Index]
	order := fleet.Start{Run: r.ref, Spec: r.entry.tracker.Job.Spec, Fence: r.fence, Deadline: deadline, Checkpoint: task.Checkpoint}
	h, worker := r.host, r.host.worker
	h.orders <- func() {
		ctx, cancel := context.WithTimeout(t.ctx, startTimeout)
		defer cancel()
		reply := t.cfg.Client.Start(ctx, worker, order)
		t.post(func() { t.startAnswered(r, reply, now) })
	}
}

// startAgain sends the start of a run that a raised fence has shown not to have
// been carried out. The run keeps its number, so a gang need not start over.
func (t *term) startAgain(r *run, reason string) {
	if r.sends == 0 || r.sends >= maxSends || r.stop != "" {
		t.lost(r, reason)
		return
	}
	t.log.Info("Start is sent again.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.host.worker.ID), zap.String("reason", reason))
	r.phase = committing
	t.start(r)
}

// unwanted tells why a run that was planned may no longer be started.
func (t *term) unwanted(r *run) string {
	switch {
	case !t.cfg.Lease.Status().Held:
		return "lease lost before the start"
	case r.stop != "":
		return r.stop
	case !t.usable(r.host, time.Now()):
		return "worker may no longer get work"
	}
	return ""
}

func (t *term) startAnswered(r *run, reply fleet.Reply, sent time.Time) {
	if r.host.runs[r.ref] != r || r.phase != starting {
		return
	}
	now := time.Now()
	t.log.Info("Start answered.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.host.worker.ID),
		zap.Stringer("outcome", reply.Outcome), zap.Duration("took", now.Sub(sent)), telemetry.Cause(reply.Err))
	t.scope.Tagged(map[string]string{"outcome": reply.Outcome.String()}).Counter("starts").Inc(1)
	t.clockSeen(r.host, reply.Clock, now)
	switch reply.Outcome {
	case fleet.Accepted:
		r.phase, r.answered = running, now
		if r.stop != "" {
			t.sendStopOf(r)
		}
		t.pump(r.host, now)
	case fleet.Unanswered:
		r.phase = unknown
		r.host.failed(now)
		t.raiseFence(r.host)
		t.pump(r.host, now)
	case fleet.Fenced:
		if r.fence == r.host.fence {
			t.over = "fenced by worker " + r.host.worker.ID
			return
		}
		t.startAgain(r, "start was overtaken by a raised fence")
	case fleet.Unhealthy, fleet.NoCapacity, fleet.OtherIncarnation:
		r.host.failed(now)
		t.lost(r, "start refused: "+reply.Outcome.String())
	default:
		t.lost(r, "start refused: "+reply.Outcome.String())
	}
}

// seenRunning takes a line of a worker's list.
func (t *term) seenRunning(r *run, line fleet.RunStatus) {
	now := time.Now()
	if r.phase == unknown || r.phase == starting && line.Run == r.ref {
		if r.phase == unknown {
			r.answered = now
			r.phase = running
		}
	}
	r.percent = line.Percent
	if line.Checkpoint != "" && line.Checkpoint != r.saved {
		r.saved, r.savedAt = line.Checkpoint, now
	}
	if r.stop != "" && now.Sub(r.stopSent) > stopAgain {
		t.sendStopOf(r)
	}
}

// applyEnd records how a run has ended.
func (t *term) applyEnd(h *host, e *entry, end fleet.End) {
	now := time.Now()
	tracker := e.tracker
	t.log.Info("Run ended.", zap.Stringer("task", end.Run.TaskRef), zap.Int64("run", end.Run.Run), zap.String("worker", h.worker.ID),
		zap.String("how", string(end.Reason)), zap.Int64("end", end.Number))
	t.scope.Tagged(map[string]string{"how": string(end.Reason)}).Counter("ends").Inc(1)
	r := e.runs[end.Run]
	var changed bool
	switch end.Reason {
	case fleet.Done:
		h.succeeded()
		changed = tracker.Finish(end.Run)
	case fleet.Failed:
		h.failed(now)
		changed = tracker.Fail(end.Run, now)
		t.avoid(e, end.Run, h)
	default:
		changed = tracker.Drop(end.Run, end.Checkpoint)
	}
	if r != nil {
		t.remove(r)
		if end.Reason != fleet.Done && end.Checkpoint != "" {
			r.saved = end.Checkpoint
		}
		t.gangEnded(r, end.Reason == fleet.Done)
	}
	if task := tracker.Task(end.Run.TaskRef); task != nil && task.Done && task.Assigned() {
		t.stopTask(e, end.Run.TaskRef)
	}
	if changed {
		t.settle(e)
	}
	t.dirty = true
}

// avoid remembers a worker on which a task of a unit has failed.
func (t *term) avoid(e *entry, ref batch.RunRef, h *host) {
	key := unitKey{ref.Occurrence, ref.Step}
	if e.avoid[key] == nil {
		e.avoid[key] = map[string]bool{}
	}
	e.avoid[key][h.worker.ID] = true
}

// lost records that a run does not exist or no longer does.
func (t *term) lost(r *run, reason string) {
	t.log.Info("Run given up.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.host.worker.ID), zap.String("reason", reason))
	t.scope.Counter("runs_given_up").Inc(1)
	t.remove(r)
	if r.entry.tracker.Drop(r.ref, r.saved) {
		t.settle(r.entry)
	}
	t.gangEnded(r, false)
	t.dirty = true
}

func (t *term) remove(r *run) {
	delete(r.host.runs, r.ref)
	delete(r.entry.runs, r.ref)
}

// gangEnded stops the members that a gang has left when one of them has ended
// other than done. When the last one is gone, all get the same run number and
// checkpoint for the next start.
func (t *term) gangEnded(r *run, done bool) {
	if !r.step.Gang || done {
		return
	}
	left := false
	for _, other := range r.entry.runs {
		if other.unit == r.unit {
			left = true
			t.stopRun(other, "another member of the gang has ended")
		}
	}
	if r.saved != "" {
		r.unit.Tasks[0].Checkpoint = r.saved
	}
	if !left && !r.unit.Assigned() {
		r.entry.tracker.AlignGang(r.unit, r.unit.Tasks[0].Checkpoint)
	}
}

func (t *term) stopAll(e *entry, reason string) {
	for _, r := range e.runs {
		t.stopRun(r, reason)
	}
}

func (t *term) stopTask(e *entry, ref batch.TaskRef) {
	for _, r := range e.runs {
		if r.ref.TaskRef == ref {
			t.stopRun(r, "task is done")
		}
	}
}

// stopRun ends a run. One that was not sent yet is dropped when its turn comes,
// one whose start is open is stopped once that is settled.
func (t *term) stopRun(r *run, reason string) {
	if r.stop != "" {
		return
	}
	r.stop = reason
	if r.phase == running {
		t.sendStopOf(r)
	}
}

func (t *term) sendStopOf(r *run) {
	r.phase, r.stopSent = stopping, time.Now()
	t.log.Info("Run is stopped.", zap.Stringer("task", r.ref.TaskRef), zap.Int64("run", r.ref.Run), zap.String("worker", r.host.worker.ID), zap.String("reason", r.stop))
	t.sendStop(r.host, r.ref)
}

func (t *term) sendStop(h *host, ref batch.RunRef) {
	worker, order := h.worker, fleet.Stop{Run: ref, Fence: h.fence}
	h.orders <- func() {
		ctx, cancel := context.WithTimeout(t.ctx, startTimeout)
		defer cancel()
		reply := t.cfg.Client.Stop(ctx, worker, order)
		if reply.Outcome != fleet.Accepted {
			t.log.Warn("Stop not confirmed.", zap.Stringer("task", ref.TaskRef), zap.Int64("run", ref.Run), zap.String("worker", worker.ID),
				zap.Stringer("outcome", reply.Outcome), telemetry.Cause(reply.Err))
		}
	}
}

// adoptAll takes over the runs that an earlier term has recorded, once both the
// jobs and the workers are known.
func (t *term) adoptAll() {
	if !t.loaded || !t.located {
		return
	}
	for _, e := range t.jobs {
		if len(e.runs) > 0 {
			continue
		}
		for _, unit := range e.tracker.Units {
			for i := range unit.Tasks {
				if unit.Tasks[i].Assigned() {
					t.adopt(e, unit, i)
				}
			}
		}
	}
}

func (t *term) adopt(e *entry, unit *batch.Unit, index int) {
	place := unit.Tasks[index].Worker
	h := t.hosts[place.ID]
	if h == nil {
		h = t.newHost(fleet.Worker{Incarnation: fleet.Incarnation{ID: place.ID, StartedMs: place.StartedMs}, Address: place.Address, Service: e.tracker.Job.Service})
		t.hosts[place.ID] = h
	}
	ref := batch.RunRef{TaskRef: batch.TaskRef{Job: e.tracker.Job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index}, Run: unit.Tasks[index].Run}
	r := t.newRun(e, unit, ref, h, unknown)
	r.saved = unit.Tasks[index].Checkpoint
	// Any call of this term raises the fence above the one of the order.
	r.fence = h.fence - 1
	if place.StartedMs != 0 && h.worker.StartedMs > place.StartedMs {
		t.raiseFence(h)
	}
	if e.tracker.State.Final() {
		r.stop = string(e.tracker.State)
	}
	t.pump(h, time.Now())
}
