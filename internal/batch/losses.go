package batch

import (
	"slices"
	"time"
)

// A worker that is lost takes down all runs on it, and its loss does not tell which of
// them was the cause, or whether any was. Two kinds of evidence make a task the cause:
// workers were lost soon after its start while it had them to itself, or more workers
// were lost under it than happens to other tasks. A widespread loss is weaker evidence.
const (
	// EarlyLossTime is the lifetime of a run up to which the loss of its worker is early.
	// Most work that takes down its worker does so while it starts.
	EarlyLossTime = 2 * time.Second
	// maxBlameTime is the lifetime from which a run is not blamed for the loss of its
	// worker, and from which earlier losses are forgotten.
	maxBlameTime = 5 * time.Minute
	// maxIsolatedLosses, maxLosses and maxWithWidespread are the numbers of losses at
	// which a task is given up. The platform allows five starts of a task that crashes
	// its workers; maxLosses leaves one for a loss that nobody noticed.
	maxIsolatedLosses = 2
	maxLosses         = 4
	maxWithWidespread = 5
	// minLossesToCount is the number of losses from which runs that were stopped early count
	// too, and maxBegunStarts the number of both at which the task is given up: the platform
	// counts starts, whatever ends them.
	minLossesToCount = 3
	maxBegunStarts   = 5
	// minLossesToKeep is the number of losses from which a task with an early one is not
	// stopped for urgent work.
	minLossesToKeep = 2
)

// Losses counts the workers that were lost under runs of a task.
type Losses struct {
	All      int
	Early    int // within EarlyLossTime of the start of the run
	Isolated int // early, of a run that had the worker to itself, and not widespread
	// Widespread losses came with those of several other workers.
	Widespread int
	// Stopped counts the runs that ended otherwise before they had outlived EarlyLossTime,
	// at most maxBegunStarts.
	Stopped int
}

// Loss describes the loss of a worker under a run.
type Loss struct {
	// Lifetime is how long the run is known to have existed.
	Lifetime time.Duration
	// Presumed means that the worker may still live: it was unreachable until its lease
	// had expired.
	Presumed bool
	// StartedMs is the start time of the incarnation that was lost, if the loss is presumed.
	StartedMs int64
	// Widespread means that several other workers fell silent at the same time, which
	// points at a cause outside of the work.
	Widespread bool
}

// PresumedLoss is a loss of a task that is taken back if the same incarnation of the worker
// answers again.
type PresumedLoss struct {
	Index      int // of the task
	ID         string
	StartedMs  int64
	Early      bool
	Widespread bool
}

// counted returns what a loss adds to the account of a task.
func (l Loss) counted(isolated bool) Losses {
	if l.Lifetime >= maxBlameTime {
		return Losses{}
	}
	counted := Losses{All: 1}
	if l.Widespread {
		counted.Widespread = 1
	}
	if l.Lifetime < EarlyLossTime {
		counted.Early = 1
		if isolated && !l.Presumed && !l.Widespread {
			counted.Isolated = 1
		}
	}
	return counted
}

func (l Losses) add(other Losses) Losses {
	return Losses{All: l.All + other.All, Early: l.Early + other.Early, Isolated: l.Isolated + other.Isolated, Widespread: l.Widespread + other.Widespread, Stopped: l.Stopped + other.Stopped}
}

// giveUp reports whether the task is taken for the cause of the losses.
func (l Losses) giveUp() bool {
	return l.Isolated >= maxIsolatedLosses || l.All-l.Widespread >= maxLosses || l.All >= maxWithWidespread ||
		l.All >= minLossesToCount && l.All+l.Stopped >= maxBegunStarts
}

// Suspect reports whether the next run of the task gets a worker to itself, so that its
// early loss shows the cause and takes down no other work. A first widespread loss does
// not make it suspect.
func (t Task) Suspect() bool { return t.Losses.Early > min(1, t.Losses.Widespread) && !t.Done }

// AssignedAt returns when the newest run was assigned, and whether that is known.
func (t Task) AssignedAt() (at time.Time, known bool) {
	return time.UnixMilli(t.AssignedAtMs), t.AssignedAtMs != 0
}

// MayBeFresh reports whether the newest run is not known to have outlived EarlyLossTime by the
// account of the task, which it would have changed.
func (t Task) MayBeFresh() bool { return t.Isolated || t.Losses.Early > 0 || t.Losses.Stopped > 0 }

// Evictable reports whether a run of the task may be stopped for urgent work. The last starts
// of a task that may crash its workers are not spent without showing the cause. One loss is
// not enough: after the outage of a zone, urgent work would have to stop more of the rest.
func (t Task) Evictable() bool { return t.Losses.Early == 0 || t.Losses.All < minLossesToKeep }

// Lose records that a run has ended with its worker, and fails the job if the task is
// taken for the cause. If checkpoint is not empty, it becomes the checkpoint of the task.
// Lose returns false if the run is not the current one.
func (t *Tracker) Lose(run RunRef, loss Loss, checkpoint string, now time.Time) bool {
	unit, task := t.current(run)
	if task == nil || !task.Assigned() {
		return false
	}
	counted, worker := loss.counted(task.Isolated), task.Worker.ID
	task.Worker, task.Isolated = WorkerIncarnation{}, false
	if checkpoint != "" {
		task.Checkpoint = checkpoint
	}
	if task.Done {
		return true
	}
	task.Losses = task.Losses.add(counted)
	if loss.Presumed && counted.All > 0 {
		unit.Presumed = append(unit.Presumed, PresumedLoss{Index: run.Index, ID: worker, StartedMs: loss.StartedMs,
			Early: counted.Early > 0, Widespread: counted.Widespread > 0})
	}
	if task.Losses.giveUp() && !t.State.Final() {
		t.end(Failed, now)
	}
	return true
}

// Stop records that a run has ended before it showed whether its task crashes workers: it
// was stopped, or its lease expired. It fails the job if the task has lost several workers
// and may not be started again. If checkpoint is not empty, it becomes the checkpoint of
// the task. Stop returns false if the run is not the current one.
//
// The members of a gang are stopped whenever the worker of another one is lost. Their stops
// count only for a member that has lost several workers early itself, and after these losses.
func (t *Tracker) Stop(run RunRef, lifetime time.Duration, checkpoint string, now time.Time) bool {
	_, task := t.current(run)
	if !t.Drop(run, checkpoint) {
		return false
	}
	if task.Done || lifetime >= EarlyLossTime || t.Job.Steps[run.Step].Gang && task.Losses.Early < minLossesToCount {
		return true
	}
	task.Losses.Stopped = min(task.Losses.Stopped+1, maxBegunStarts)
	if task.Losses.giveUp() && !t.State.Final() {
		t.end(Failed, now)
	}
	return true
}

// Retract takes back the presumed losses of an incarnation of a worker, which was not lost. It
// returns their number.
func (t *Tracker) Retract(id string, startedMs int64) int {
	retracted := 0
	for _, unit := range t.Units {
		unit.Presumed = slices.DeleteFunc(unit.Presumed, func(p PresumedLoss) bool {
			if p.ID != id || p.StartedMs != startedMs {
				return false
			}
			unit.Tasks[p.Index].Losses.retract(p)
			retracted++
			return true
		})
	}
	return retracted
}

func (l *Losses) retract(p PresumedLoss) {
	l.All = max(0, l.All-1)
	if p.Early {
		l.Early = max(0, l.Early-1)
	}
	if p.Widespread {
		l.Widespread = max(0, l.Widespread-1)
	}
}

// forgetPresumed makes the presumed losses of a task permanent.
func (u *Unit) forgetPresumed(index int) {
	u.Presumed = slices.DeleteFunc(u.Presumed, func(p PresumedLoss) bool { return p.Index == index })
}

// forgetEarly makes the presumed losses of a task late ones.
func (u *Unit) forgetEarly(index int) {
	for i := range u.Presumed {
		if u.Presumed[i].Index == index {
			u.Presumed[i].Early = false
		}
	}
}

// Outlive records how long a run is known to have existed. A run that has outlived
// EarlyLossTime clears its task of the early losses and stops, one that has outlived maxBlameTime
// of all. Outlive reports whether it changed the task.
func (t *Tracker) Outlive(run RunRef, lifetime time.Duration) bool {
	unit, task := t.current(run)
	if task == nil || lifetime < EarlyLossTime {
		return false
	}
	before := *task
	task.Isolated, task.Losses.Early, task.Losses.Isolated, task.Losses.Stopped = false, 0, 0, 0
	unit.forgetEarly(run.Index)
	if lifetime >= maxBlameTime {
		task.Losses = Losses{}
		unit.forgetPresumed(run.Index)
	}
	return *task != before
}
