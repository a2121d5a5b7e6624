package batch

import (
	"time"
)

// State is the state of a job as reported to its caller.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// WorkerIncarnation identifies the incarnation of a worker that a run was
// assigned to, with its address.
type WorkerIncarnation struct {
	ID        string
	StartedMs int64
	Address   string
}

// Task is the state of one task. Worker is set while a run of it may exist.
type Task struct {
	Run        int64 // number of the newest run, from 1; 0 before the first
	Failures   int   // failed runs; those of a gang are counted at its first task
	FailedRun  int64 // newest run whose failure was counted, except in a gang
	Done       bool
	Worker     WorkerIncarnation
	Checkpoint string
	Losses     Losses
	// Isolated means that the newest run has its worker to itself and is not known to
	// have outlived EarlyLossTime.
	Isolated bool
	// AssignedAtMs is when the newest run was assigned, in Unix milliseconds by the clock of
	// the dispatcher that did so; 0 if it is not known.
	AssignedAtMs int64
}

// Assigned reports whether a run of the task may exist.
func (t Task) Assigned() bool { return t.Worker.ID != "" }

// Unit is one step of one occurrence. The tasks of a gang start together and
// share the run number.
type Unit struct {
	Occurrence int64
	Step       int
	Tasks      []Task
	// FailedRun is the newest run of a gang whose failure has been counted, so
	// that each failure of a gang counts once.
	FailedRun int64
	// Presumed are the losses of the tasks that may be taken back.
	Presumed []PresumedLoss
}

// Done reports whether all tasks are done.
func (u *Unit) Done() bool {
	for i := range u.Tasks {
		if !u.Tasks[i].Done {
			return false
		}
	}
	return true
}

// Assigned reports whether a run of any task may exist.
func (u *Unit) Assigned() bool {
	for i := range u.Tasks {
		if u.Tasks[i].Assigned() {
			return true
		}
	}
	return false
}

// Tracker holds the progress of one job.
type Tracker struct {
	Job   Job
	State State
	Units []*Unit
	// Started means that a worker has confirmed a run of the job. In progress that was stored
	// before confirmations were, it means that a run was assigned.
	Started bool
	EndedAt time.Time
	// nextOccurrence is the first occurrence that has not been opened.
	nextOccurrence int64
}

// NewTracker returns the tracker of a job without any progress.
func NewTracker(job Job) *Tracker { return &Tracker{Job: job, State: Queued} }

// occurrences returns how often the job runs in total.
func (t *Tracker) occurrences() int64 { return max(t.Job.Repeats, 1) }

// OpenDue adds the units of all occurrences that are due. It returns when the
// next one is due and whether it added any. The time is zero if none is to come,
// the job has ended or MaxOpenOccurrences are open.
func (t *Tracker) OpenDue(now time.Time) (next time.Time, opened bool) {
	for !t.State.Final() && t.nextOccurrence < t.occurrences() && t.openOccurrences() < MaxOpenOccurrences {
		due := Due(t.Job, t.nextOccurrence)
		if now.Before(due) {
			return due, opened
		}
		t.addUnits(t.nextOccurrence)
		t.nextOccurrence++
		opened = true
	}
	return time.Time{}, opened
}

// addUnits adds the units of an occurrence without any progress.
func (t *Tracker) addUnits(occurrence int64) {
	for step := range t.Job.Steps {
		t.Units = append(t.Units, &Unit{Occurrence: occurrence, Step: step, Tasks: make([]Task, t.Job.Steps[step].Tasks)})
	}
}

func (t *Tracker) openOccurrences() int {
	if len(t.Job.Steps) == 0 {
		return 0
	}
	return len(t.Units) / len(t.Job.Steps)
}

// Unit returns the unit for a step of an occurrence, or nil.
func (t *Tracker) Unit(occurrence int64, step int) *Unit {
	for _, unit := range t.Units {
		if unit.Occurrence == occurrence && unit.Step == step {
			return unit
		}
	}
	return nil
}

// Task returns the state of a task, or nil.
func (t *Tracker) Task(ref TaskRef) *Task {
	unit := t.Unit(ref.Occurrence, ref.Step)
	if unit == nil || ref.Index < 0 || ref.Index >= len(unit.Tasks) {
		return nil
	}
	return &unit.Tasks[ref.Index]
}

// Startable reports whether the tasks of a unit may be started: the job has not
// ended, the unit is not done and all steps before it are done.
func (t *Tracker) Startable(unit *Unit) bool {
	if t.State.Final() || unit.Done() {
		return false
	}
	for _, after := range t.Job.Steps[unit.Step].After {
		before := t.Unit(unit.Occurrence, int(after))
		if before != nil && !before.Done() {
			return false
		}
	}
	return true
}

// Assign records that a task is about to be started on a worker. After
// AlignGang, all members of a gang get the same run number.
func (t *Tracker) Assign(unit *Unit, index int, worker WorkerIncarnation) RunRef {
	task := &unit.Tasks[index]
	task.Run++
	task.Worker, task.Isolated = worker, false
	if t.State == Queued {
		t.State = Running
	}
	return RunRef{TaskRef: TaskRef{Job: t.Job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index}, Run: task.Run}
}

// Confirm records that a worker has confirmed a run, also one that has ended or was given up
// since. It returns whether the job has started with it.
func (t *Tracker) Confirm(run RunRef) bool {
	task := t.Task(run.TaskRef)
	if t.Started || task == nil || run.Run < 1 || run.Run > task.Run {
		return false
	}
	t.Started = true
	return true
}

// AlignGang gives all members of a gang the highest run number of any member and
// the given checkpoint, so that the next runs of all members have the same number
// and continue from the same checkpoint.
func (t *Tracker) AlignGang(unit *Unit, checkpoint string) {
	highest := int64(0)
	for i := range unit.Tasks {
		highest = max(highest, unit.Tasks[i].Run)
	}
	for i := range unit.Tasks {
		unit.Tasks[i].Run = highest
		unit.Tasks[i].Checkpoint = checkpoint
	}
}

// current returns the task and its unit if the run is the newest one of the
// task, and nil otherwise.
func (t *Tracker) current(run RunRef) (*Unit, *Task) {
	unit := t.Unit(run.Occurrence, run.Step)
	task := t.Task(run.TaskRef)
	if task == nil || task.Run != run.Run {
		return nil, nil
	}
	return unit, task
}

// Finish records that a run has completed its task, also if a later run has
// replaced it: a worker that was given up may have completed it. It returns
// false if the task is not known. When one member of a gang is done, all are:
// the members of a run end together. Persistent tasks are started again.
func (t *Tracker) Finish(run RunRef) bool {
	unit := t.Unit(run.Occurrence, run.Step)
	task := t.Task(run.TaskRef)
	if task == nil {
		return false
	}
	if task.Run == run.Run {
		task.Worker = WorkerIncarnation{}
	}
	if t.Job.Steps[run.Step].Persistent {
		return true
	}
	task.Done = true
	unit.forgetPresumed(run.Index)
	if t.Job.Steps[run.Step].Gang {
		unit.finish()
	}
	return true
}

// finish marks all tasks as done.
func (u *Unit) finish() {
	for i := range u.Tasks {
		u.Tasks[i].Done = true
	}
	u.Presumed = nil
}

// Fail records that a run has failed, and fails the job when the task has no attempts left.
// The run counts as an attempt also if it was given up before: a worker that was unreachable
// may have carried it out. A gang has as many attempts as one task. Fail returns false if
// nothing has changed.
func (t *Tracker) Fail(run RunRef, now time.Time) bool {
	unit, task := t.Unit(run.Occurrence, run.Step), t.Task(run.TaskRef)
	if task == nil || run.Run > task.Run {
		return false
	}
	ended := task.Run == run.Run && task.Assigned()
	if ended {
		task.Worker = WorkerIncarnation{}
	}
	if task.Done {
		return ended
	}
	step := t.Job.Steps[run.Step]
	failing, counted := task, &task.FailedRun
	if step.Gang {
		failing, counted = &unit.Tasks[0], &unit.FailedRun
	}
	if *counted >= run.Run {
		return ended
	}
	*counted = run.Run
	failing.Failures++
	if !step.Persistent && failing.Failures >= max(t.Job.MaxAttempts, 1) && !t.State.Final() {
		t.end(Failed, now)
	}
	return true
}

// Drop records that a run no longer exists, but has neither finished nor
// failed. If checkpoint is not empty, it becomes the checkpoint of the task. Drop
// returns false if the run is not the current one.
func (t *Tracker) Drop(run RunRef, checkpoint string) bool {
	_, task := t.current(run)
	if task == nil || !task.Assigned() {
		return false
	}
	task.Worker = WorkerIncarnation{}
	if checkpoint != "" {
		task.Checkpoint = checkpoint
	}
	return true
}

// Cancel cancels the job unless it has ended. Runs that may still exist stay
// recorded until they end.
func (t *Tracker) Cancel(now time.Time) bool {
	if t.State.Final() {
		return false
	}
	t.end(Cancelled, now)
	return true
}

// CompleteOccurrences removes the units of finished occurrences and completes
// the job when no occurrence is left.
func (t *Tracker) CompleteOccurrences(now time.Time) {
	if t.State.Final() {
		return
	}
	open := map[int64]bool{}
	for _, unit := range t.Units {
		if !unit.Done() {
			open[unit.Occurrence] = true
		}
	}
	if len(open) == 0 && t.nextOccurrence >= t.occurrences() {
		t.end(Completed, now)
		return
	}
	kept := t.Units[:0]
	for _, unit := range t.Units {
		if open[unit.Occurrence] {
			kept = append(kept, unit)
		}
	}
	t.Units = kept
}

func (t *Tracker) end(state State, now time.Time) {
	t.State = state
	t.EndedAt = now
}

// Idle reports whether no run of the job can exist.
func (t *Tracker) Idle() bool {
	for _, unit := range t.Units {
		if unit.Assigned() {
			return false
		}
	}
	return true
}
