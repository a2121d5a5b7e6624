package standin

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/samphirepath/samphirepath/api"
)

// Parameters of a job that the stand-in obeys.
const (
	// ParamRunMs is the run time in milliseconds; without it run_time_s counts,
	// and without both the task runs until it is stopped.
	ParamRunMs = "run_ms"
	// ParamFail is "true" (fails at the end), "now" (fails as soon as it runs) or
	// "worker=ID" (fails as soon as it runs on this worker).
	ParamFail = "fail"
	// ParamStopMs is how long the task stays in the state stopping.
	ParamStopMs = "stop_ms"
	// ParamCheckpointMs is how long a checkpoint takes.
	ParamCheckpointMs = "checkpoint_ms"
)

// throttleFactor divides the speed of a throttled task.
const throttleFactor = 2

// never is a time that does not come.
const never = math.MaxInt64

// task is one attempt on a worker. All times are Unix times in milliseconds. Its
// state follows from the time alone, so that a paused process, once it
// continues, ends each task at the moment at which it was due.
type task struct {
	spec         api.StartTask
	state        api.TaskState
	exit         api.TaskExit
	reason       string
	lease        int64
	total        int64 // run time at full speed
	progress     int64 // at the time since
	since        int64 // last time at which the progress was settled
	throttled    bool
	failsNow     bool
	stopAt       int64
	object       string // last checkpoint
	checkpointed int64  // progress that the last checkpoint holds

	started, released, ended int64

	change int64          // number of the last change, 0 before the first renewal of a set
	noted  api.TaskReport // report at that change, without the lease
}

// newTask accepts a start. progress is the progress from a checkpoint.
func newTask(spec api.StartTask, workerID string, progress, now int64) *task {
	t := &task{
		spec: spec, state: api.TaskStateHeld, lease: spec.LeaseExpiresMs, total: runTime(spec),
		progress: progress, object: spec.CheckpointObject, checkpointed: progress, stopAt: never, started: now,
	}
	fail := spec.Parameters[ParamFail]
	t.failsNow = fail == "now" || fail == "worker="+workerID
	if !spec.Held {
		t.release(now)
	}
	return t
}

func runTime(spec api.StartTask) int64 {
	if ms, ok := milliseconds(spec, ParamRunMs); ok {
		return ms
	}
	if spec.RunTimeS > 0 && spec.RunTimeS < never/1000 {
		return spec.RunTimeS * 1000
	}
	return never
}

// milliseconds reads a parameter that is a number of milliseconds.
func milliseconds(spec api.StartTask, name string) (int64, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(spec.Parameters[name]), 10, 64)
	return ms, err == nil && ms >= 0
}

// release lets a held task run and a throttled one run at full speed.
func (t *task) release(now int64) {
	switch t.state {
	case api.TaskStateHeld:
		t.state, t.since, t.released = api.TaskStateRunning, now, now
	case api.TaskStateRunning:
		t.settle(now)
		t.throttled = false
	}
	t.advance(now)
}

func (t *task) throttle(now int64) {
	if t.state == api.TaskStateRunning {
		t.settle(now)
		t.throttled = true
	}
}

// stop ends the task, at once or after its stop time.
func (t *task) stop(now int64) {
	if t.state != api.TaskStateHeld && t.state != api.TaskStateRunning {
		return
	}
	t.settle(now)
	t.state, t.stopAt = api.TaskStateStopping, now
	if ms, ok := milliseconds(t.spec, ParamStopMs); ok {
		t.stopAt = now + ms
	}
	t.advance(now)
}

// settle brings the progress up to a time.
func (t *task) settle(now int64) {
	t.progress, t.since = t.progressAt(now), now
}

func (t *task) progressAt(now int64) int64 {
	if t.state != api.TaskStateRunning || now <= t.since {
		return t.progress
	}
	done := now - t.since
	if t.throttled {
		done /= throttleFactor
	}
	return min(t.progress+done, t.total)
}

// finishTime is the time at which a running task completes.
func (t *task) finishTime() int64 {
	if t.state != api.TaskStateRunning {
		return never
	}
	if t.failsNow {
		return t.since
	}
	left := max(t.total-t.progress, 0)
	if t.throttled && left < never/throttleFactor {
		left *= throttleFactor
	}
	if left > never-t.since {
		return never
	}
	return t.since + left
}

// advance ends the task if its end, its lease or its stop is due.
func (t *task) advance(now int64) {
	if t.state == api.TaskStateEnded {
		return
	}
	finish := t.finishTime()
	due := min(finish, t.lease, t.stopAt)
	if due > now {
		return
	}
	switch due {
	case finish:
		t.finish(due)
	case t.stopAt:
		t.end(due, api.TaskExitStopped, "stopped by request")
	default:
		t.end(due, api.TaskExitLeaseLapsed, "lease was not renewed")
	}
}

func (t *task) finish(now int64) {
	switch {
	case t.failsNow:
		t.end(now, api.TaskExitFailed, "failed as soon as it ran")
	case t.spec.Parameters[ParamFail] == "true":
		t.end(now, api.TaskExitFailed, "failed at the end of its run")
	default:
		t.end(now, api.TaskExitSucceeded, "")
	}
}

func (t *task) end(now int64, exit api.TaskExit, reason string) {
	t.settle(now)
	t.state, t.exit, t.reason, t.ended = api.TaskStateEnded, exit, reason, now
}

// report gives the task as its worker tells it. As in the rows of jobs, the
// progress is the work that the checkpoint holds, not the work done.
func (t *task) report() api.TaskReport {
	return api.TaskReport{
		TaskID: t.spec.TaskID, State: t.state, Exit: t.exit, Reason: t.reason,
		Accelerators: slices.Clone(t.spec.Accelerators), LeaseExpiresMs: t.lease,
		CheckpointObject: t.object, ProgressMs: t.checkpointed,
	}
}

// TaskHistory is what became of one attempt on a worker. Times are Unix times in
// milliseconds, 0 when the event has not happened.
type TaskHistory struct {
	Worker        string        `json:"worker"`
	Instance      string        `json:"instance"`
	TaskID        string        `json:"task_id"`
	JobID         string        `json:"job_id"`
	Attempt       int           `json:"attempt"`
	Index         int           `json:"index"`
	Accelerators  []int         `json:"accelerators"`
	Resources     api.Resources `json:"resources"`
	Held          bool          `json:"held"`
	StartBeforeMs int64         `json:"start_before_ms"`
	StartedMs     int64         `json:"started_ms"`
	ReleasedMs    int64         `json:"released_ms"`
	EndedMs       int64         `json:"ended_ms"`
	State         api.TaskState `json:"state"`
	Exit          api.TaskExit  `json:"exit,omitempty"`
	Reason        string        `json:"reason,omitempty"`
	// ResumedMs is the progress with which the attempt began.
	ResumedMs  int64 `json:"resumed_ms"`
	ProgressMs int64 `json:"progress_ms"`
}
