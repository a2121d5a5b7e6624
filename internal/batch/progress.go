package batch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
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
	Done       bool
	Worker     WorkerIncarnation
	Checkpoint string
	Losses     Losses
	// Isolated means that the newest run has its worker to itself and is not known to
	// have outlived EarlyLossTime.
	Isolated bool
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
	Job     Job
	State   State
	Units   []*Unit
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
		for step := range t.Job.Steps {
			t.Units = append(t.Units, &Unit{Occurrence: t.nextOccurrence, Step: step, Tasks: make([]Task, t.Job.Steps[step].Tasks)})
		}
		t.nextOccurrence++
		opened = true
	}
	return time.Time{}, opened
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
	t.Started = true
	if t.State == Queued {
		t.State = Running
	}
	return RunRef{TaskRef: TaskRef{Job: t.Job.ID, Occurrence: unit.Occurrence, Step: unit.Step, Index: index}, Run: task.Run}
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
	if t.Job.Steps[run.Step].Gang {
		for i := range unit.Tasks {
			unit.Tasks[i].Done = true
		}
	}
	return true
}

// Fail records that a run has failed, and fails the job when the task has no
// attempts left. A gang has as many attempts as one task. It returns false if
// the run is not the current one.
func (t *Tracker) Fail(run RunRef, now time.Time) bool {
	unit, task := t.current(run)
	if task == nil || !task.Assigned() {
		return false
	}
	task.Worker = WorkerIncarnation{}
	if task.Done {
		return true
	}
	step := t.Job.Steps[run.Step]
	failing := task
	if step.Gang {
		if unit.FailedRun >= run.Run {
			return true
		}
		unit.FailedRun = run.Run
		failing = &unit.Tasks[0]
	}
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

// Encode returns the row value of the progress.
func (t *Tracker) Encode() ([]byte, error) {
	row := api.BatchProgress{State: string(t.State), NextOccurrence: t.nextOccurrence, Started: t.Started}
	if !t.EndedAt.IsZero() {
		row.EndedAtMs = t.EndedAt.UnixMilli()
	}
	workers := map[WorkerIncarnation]int{}
	if !t.State.Final() || !t.Idle() {
		for _, unit := range t.Units {
			row.Units = append(row.Units, encodeUnit(unit, workers, &row))
		}
	}
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode the progress of a job")
}

func encodeUnit(unit *Unit, workers map[WorkerIncarnation]int, row *api.BatchProgress) api.BatchUnit {
	encoded := api.BatchUnit{Occurrence: unit.Occurrence, Step: unit.Step, FailedRun: unit.FailedRun, Tasks: make([]api.BatchTask, len(unit.Tasks))}
	for i, task := range unit.Tasks {
		encoded.Tasks[i] = api.BatchTask{Run: task.Run, Failures: task.Failures, Done: task.Done, Saved: task.Checkpoint,
			Losses: task.Losses.All, EarlyLosses: task.Losses.Early, IsolatedLosses: task.Losses.Isolated,
			WidespreadLosses: task.Losses.Widespread, Isolated: task.Isolated}
		if !task.Assigned() {
			continue
		}
		position, known := workers[task.Worker]
		if !known {
			row.Workers = append(row.Workers, api.BatchWorker{ID: task.Worker.ID, Born: task.Worker.StartedMs, Address: task.Worker.Address})
			position = len(row.Workers)
			workers[task.Worker] = position
		}
		encoded.Tasks[i].Worker = position
	}
	return encoded
}

// DecodeState returns the state of the job from its progress row.
func DecodeState(value []byte) (State, error) {
	var row api.BatchProgress
	if err := cbor.Unmarshal(value, &row); err != nil {
		return "", eris.Wrap(err, "decode the state of a job")
	}
	return State(row.State), nil
}

// Restore sets the tracker to the progress of a row value.
func (t *Tracker) Restore(value []byte) error {
	var row api.BatchProgress
	if err := cbor.Unmarshal(value, &row); err != nil {
		return eris.Wrap(err, "decode the progress of a job")
	}
	t.State, t.nextOccurrence, t.Started, t.Units = State(row.State), row.NextOccurrence, row.Started, nil
	if row.EndedAtMs != 0 {
		t.EndedAt = time.UnixMilli(row.EndedAtMs)
	}
	for _, encoded := range row.Units {
		if encoded.Step < 0 || encoded.Step >= len(t.Job.Steps) {
			return eris.Errorf("progress of job %s refers to step index %d, but the job has %d steps", t.Job.ID, encoded.Step, len(t.Job.Steps))
		}
		unit := &Unit{Occurrence: encoded.Occurrence, Step: encoded.Step, FailedRun: encoded.FailedRun, Tasks: make([]Task, t.Job.Steps[encoded.Step].Tasks)}
		for i := range min(len(encoded.Tasks), len(unit.Tasks)) {
			stored := encoded.Tasks[i]
			unit.Tasks[i] = Task{Run: stored.Run, Failures: stored.Failures, Done: stored.Done, Checkpoint: stored.Saved,
				Losses: Losses{All: stored.Losses, Early: stored.EarlyLosses, Isolated: stored.IsolatedLosses, Widespread: stored.WidespreadLosses}, Isolated: stored.Isolated}
			if stored.Worker > 0 && stored.Worker <= len(row.Workers) {
				worker := row.Workers[stored.Worker-1]
				unit.Tasks[i].Worker = WorkerIncarnation{ID: worker.ID, StartedMs: worker.Born, Address: worker.Address}
			}
		}
		t.Units = append(t.Units, unit)
	}
	return nil
}
