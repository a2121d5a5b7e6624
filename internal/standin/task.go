package standin

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/samphirepath/samphirepath/api"
)

// Parameters of a job that control what the stand-in does with its tasks.
const (
	// ParamRunMs is the run time in milliseconds. Without it run_time_s applies, and
	// without both the task runs until it is stopped.
	ParamRunMs = "run_ms"
	// ParamFail is "true" (the task fails at the end of its run), "now" (it fails as soon
	// as it runs) or "worker=ID" (it fails as soon as it runs on this worker).
	ParamFail = "fail"
	// ParamStopMs is the time in milliseconds that a task spends in the state stopping.
	ParamStopMs = "stop_ms"
	// ParamCheckpointMs is the time in milliseconds that a checkpoint takes.
	ParamCheckpointMs = "checkpoint_ms"
)

// throttleFactor is the factor by which a throttled task is slower.
const throttleFactor = 2

// never is the time of an event that does not happen.
const never = math.MaxInt64

// task is one attempt on a worker. All times are Unix times in milliseconds. Between two
// calls its state depends only on the time, not on when it is read. A process that was
// paused therefore records the end of each task at the time at which the end was due.
type task struct {
	spec               api.StartTask
	state              api.TaskState
	exit               api.TaskExit
	reason             string
	leaseExpires       int64
	duration           int64 // run time at full speed
	progress           int64 // work done up to progressTime
	progressTime       int64 // time of the last update of progress
	throttled          bool
	failsImmediately   bool
	stopAt             int64
	checkpointObject   string // key of the last checkpoint
	checkpointProgress int64  // progress stored in the last checkpoint

	started, released, ended int64

	changeNumber int64          // number of the last change, 0 before the first renewal of a set that contains the task
	lastReport   api.TaskReport // report at that change, without the lease expiry
}

// newTask creates the task of a start message. progress is the progress stored in the
// checkpoint that the task resumes from.
func newTask(spec api.StartTask, workerID string, progress, now int64) *task {
	t := &task{
		spec: spec, state: api.TaskStateHeld, leaseExpires: spec.LeaseExpiresMs, duration: runTime(spec),
		progress: progress, checkpointObject: spec.CheckpointObject, checkpointProgress: progress, stopAt: never, started: now,
	}
	fail := spec.Parameters[ParamFail]
	t.failsImmediately = fail == "now" || fail == "worker="+workerID
	if !spec.Held {
		t.release(now)
	}
	return t
}

// runTime returns the run time of a task in milliseconds.
func runTime(spec api.StartTask) int64 {
	if ms, ok := milliseconds(spec, ParamRunMs); ok {
		return ms
	}
	if spec.RunTimeS > 0 && spec.RunTimeS < never/1000 {
		return spec.RunTimeS * 1000
	}
	return never
}

// milliseconds returns a parameter that is a number of milliseconds, and whether it is
// set and valid.
func milliseconds(spec api.StartTask, name string) (int64, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(spec.Parameters[name]), 10, 64)
	return ms, err == nil && ms >= 0
}

// release runs a held task, and lets a throttled task run at full speed again.
func (t *task) release(now int64) {
	switch t.state {
	case api.TaskStateHeld:
		t.state, t.progressTime, t.released = api.TaskStateRunning, now, now
	case api.TaskStateRunning:
		t.updateProgress(now)
		t.throttled = false
	}
	t.advance(now)
}

func (t *task) throttle(now int64) {
	if t.state == api.TaskStateRunning {
		t.updateProgress(now)
		t.throttled = true
	}
}

// stop stops the task, immediately or after the time in ParamStopMs.
func (t *task) stop(now int64) {
	if t.state != api.TaskStateHeld && t.state != api.TaskStateRunning {
		return
	}
	t.updateProgress(now)
	t.state, t.stopAt = api.TaskStateStopping, now
	if ms, ok := milliseconds(t.spec, ParamStopMs); ok {
		t.stopAt = now + ms
	}
	t.advance(now)
}

// updateProgress adds the work done since the last update to the progress.
func (t *task) updateProgress(now int64) {
	t.progress, t.progressTime = t.progressAt(now), now
}

func (t *task) progressAt(now int64) int64 {
	if t.state != api.TaskStateRunning || now <= t.progressTime {
		return t.progress
	}
	done := now - t.progressTime
	if t.throttled {
		done /= throttleFactor
	}
	return min(t.progress+done, t.duration)
}

// finishTime returns the time at which a running task succeeds or fails.
func (t *task) finishTime() int64 {
	if t.state != api.TaskStateRunning {
		return never
	}
	if t.failsImmediately {
		return t.progressTime
	}
	remaining := max(t.duration-t.progress, 0)
	if t.throttled && remaining < never/throttleFactor {
		remaining *= throttleFactor
	}
	if remaining > never-t.progressTime {
		return never
	}
	return t.progressTime + remaining
}

// advance ends the task if it has finished, its lease has expired or its stop is due.
func (t *task) advance(now int64) {
	if t.state == api.TaskStateEnded {
		return
	}
	finish := t.finishTime()
	due := min(finish, t.leaseExpires, t.stopAt)
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

// finish ends the task at the end of its run, as its parameters request.
func (t *task) finish(now int64) {
	switch {
	case t.failsImmediately:
		t.end(now, api.TaskExitFailed, "failed as soon as it ran")
	case t.spec.Parameters[ParamFail] == "true":
		t.end(now, api.TaskExitFailed, "failed at the end of its run")
	default:
		t.end(now, api.TaskExitSucceeded, "")
	}
}

func (t *task) end(now int64, exit api.TaskExit, reason string) {
	t.updateProgress(now)
	t.state, t.exit, t.reason, t.ended = api.TaskStateEnded, exit, reason, now
}

// report returns the report of the worker on the task. As in the rows of jobs, the
// progress is that of the last checkpoint, not the work done.
func (t *task) report() api.TaskReport {
	return api.TaskReport{
		TaskID: t.spec.TaskID, State: t.state, Exit: t.exit, Reason: t.reason,
		Accelerators: slices.Clone(t.spec.Accelerators), LeaseExpiresMs: t.leaseExpires,
		CheckpointObject: t.checkpointObject, ProgressMs: t.checkpointProgress,
	}
}

// TaskHistory is the record of one task attempt on a worker. Times are Unix times in
// milliseconds, or 0 if the event has not happened.
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
	// ResumedMs is the progress with which the attempt started.
	ResumedMs  int64 `json:"resumed_ms"`
	ProgressMs int64 `json:"progress_ms"`
}
