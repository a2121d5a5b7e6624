package jobs

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Values of Job.StopReason.
const (
	StopCancelled   = "cancelled"
	StopPreempted   = "preempted"
	StopZoneOut     = "zone_out"
	StopStartFailed = "start_failed"
	StopLost        = "lost" // the worker or the lease of a task was lost
	// StopTaskFailed means that a task ended in failure.
	StopTaskFailed = "task_failed"
)

const (
	// MaxFailingWorkers is the number of different workers on which the tasks of a
	// job must fail before it is no longer retried. Two would not suffice: they may
	// share the fault of one rack.
	MaxFailingWorkers = 3
	// maxFailures bounds the failures stored in a job row, and thereby its size.
	maxFailures = 16
)

// Prefixes of JobFailure.Reason. Only failures with taskFailedPrefix count
// against the job.
const (
	taskFailedPrefix = "task failed: "
	notStartedPrefix = "not started: "
	taskLostPrefix   = "task lost: "
)

// Reasons that a keeper gives for a gang member that it declares lost.
const (
	ReasonNoAnswer    = "the worker has not answered the renewals of the lease"
	ReasonTaskUnknown = "the worker does not know the task"
)

// TaskFailed returns the failure of a task that ran and ended in failure.
func TaskFailed(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: taskFailedPrefix + reason, TimeMs: now.UnixMilli()}
}

// NotStarted returns the failure of a task that did not start.
func NotStarted(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: notStartedPrefix + reason, TimeMs: now.UnixMilli()}
}

// TaskLost returns the failure of a task whose worker or lease was lost.
func TaskLost(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: taskLostPrefix + reason, TimeMs: now.UnixMilli()}
}

// IsTaskFailure reports whether a failure counts against the job or its worker,
// because the task ran and ended in failure.
func IsTaskFailure(f api.JobFailure) bool { return strings.HasPrefix(f.Reason, taskFailedPrefix) }

// IsNotStarted reports whether a failure is a start that a worker refused or did
// not acknowledge.
func IsNotStarted(f api.JobFailure) bool { return strings.HasPrefix(f.Reason, notStartedPrefix) }

func stateError(job api.Job, change string) error {
	return eris.Errorf("job %s is %s and cannot be %s", job.ID, job.State, change)
}

// Place gives a waiting job a placement and begins its next attempt.
func Place(job api.Job, zone string, p planner.Placement, now time.Time) (api.Job, error) {
	if job.State != api.JobStateWaiting || job.CancelRequested {
		return job, stateError(job, "placed")
	}
	if !AllowsZone(job.Spec, zone) || len(p.Tasks) != job.Spec.Tasks {
		return job, eris.Errorf("job %s may not run in zone %s or its placement has the wrong number of tasks", job.ID, zone)
	}
	job.State, job.Zone, job.Placement, job.Covered = api.JobStatePlaced, zone, p.Tasks, p.Covered
	job.Attempt++
	job.PlacedMs, job.Reason, job.StopReason = now.UnixMilli(), "", ""
	return job, nil
}

// MarkRunning marks a placed job as running. The members of a gang are started in a
// held state and released to run together; the job is running once all of them have
// acknowledged their release.
func MarkRunning(job api.Job, now time.Time) (api.Job, error) {
	if job.State != api.JobStatePlaced {
		return job, stateError(job, "running")
	}
	job.State = api.JobStateRunning
	if job.StartedMs == 0 {
		job.StartedMs = now.UnixMilli()
	}
	return job, nil
}

// BeginStop moves a placed or running job to the stopping state. failure may be nil.
func BeginStop(job api.Job, stopReason, reason string, failure *api.JobFailure) (api.Job, error) {
	if job.State != api.JobStatePlaced && job.State != api.JobStateRunning {
		return job, stateError(job, "stopped")
	}
	job.State, job.StopReason, job.Reason = api.JobStateStopping, stopReason, reason
	if stopReason == StopPreempted {
		job.Preemptions++
	}
	if failure != nil {
		job.Failures = appendFailure(job.Failures, *failure)
	}
	return job, nil
}

// Demote clears the covered flag of a job: its placement is no longer within the
// guarantee of its organisation and may be preempted.
func Demote(job api.Job) (api.Job, error) {
	if !HoldsPlacement(job.State) || !job.Covered {
		return job, stateError(job, "demoted")
	}
	job.Covered = false
	return job, nil
}

func appendFailure(failures []api.JobFailure, f api.JobFailure) []api.JobFailure {
	out := append(append([]api.JobFailure(nil), failures...), f)
	if len(out) > maxFailures {
		out = out[len(out)-maxFailures:]
	}
	return out
}

// Checkpoint is the newest checkpoint of an attempt.
type Checkpoint struct {
	Tasks []api.TaskCheckpoint // one for each task, by index; empty when there is no checkpoint
	// ProgressMs is the lowest progress that any task of the job has saved.
	ProgressMs int64
}

// RecordCheckpoint records the newest checkpoint of a running job. It ignores a
// checkpoint with less progress than the recorded one.
func RecordCheckpoint(job api.Job, c Checkpoint, now time.Time) (api.Job, error) {
	if job.State != api.JobStateRunning {
		return job, stateError(job, "given a checkpoint")
	}
	return takeNewerCheckpoint(job, c, now), nil
}

func takeNewerCheckpoint(job api.Job, c Checkpoint, now time.Time) api.Job {
	if len(c.Tasks) > 0 && c.ProgressMs >= job.ProgressMs {
		job.Checkpoints, job.ProgressMs, job.CheckpointMs = c.Tasks, c.ProgressMs, now.UnixMilli()
	}
	return job
}

// EndStop ends a stopping job of which no task runs any more: the job is
// cancelled, fails for good, or waits for its next attempt.
func EndStop(job api.Job, c Checkpoint, now time.Time) (api.Job, error) {
	if job.State != api.JobStateStopping {
		return job, stateError(job, "ended")
	}
	job.Placement, job.Covered = nil, false
	job = takeNewerCheckpoint(job, c, now)
	switch {
	case job.CancelRequested:
		job.State, job.EndedMs, job.Reason = api.JobStateCancelled, now.UnixMilli(), "cancelled on request"
	case FailingWorkers(job) >= MaxFailingWorkers:
		job.State, job.EndedMs = api.JobStateFailed, now.UnixMilli()
		job.Reason = "failed on several different workers: " + job.Failures[len(job.Failures)-1].Reason
	default:
		job.State = api.JobStateWaiting
	}
	return job, nil
}

// FailingWorkers returns the number of different workers on which tasks of the
// job have failed.
func FailingWorkers(job api.Job) int {
	workers := map[string]bool{}
	for _, f := range job.Failures {
		if IsTaskFailure(f) {
			workers[f.Worker] = true
		}
	}
	return len(workers)
}

// Succeed ends a job of which all tasks have succeeded, even if a stop was requested
// before all of them had ended.
func Succeed(job api.Job, now time.Time) (api.Job, error) {
	if job.State != api.JobStateRunning && job.State != api.JobStateStopping {
		return job, stateError(job, "succeeded")
	}
	job.State, job.EndedMs, job.Reason = api.JobStateSucceeded, now.UnixMilli(), ""
	job.Placement, job.Covered = nil, false
	return job, nil
}

// Refuse ends a waiting job that can never run.
func Refuse(job api.Job, reason string, now time.Time) (api.Job, error) {
	if job.State != api.JobStateWaiting {
		return job, stateError(job, "refused")
	}
	job.State, job.EndedMs, job.Reason = api.JobStateRefused, now.UnixMilli(), reason
	return job, nil
}

// RequestCancel sets the cancel flag. A waiting job has no placement and is
// cancelled at once. A job that has ended cannot be cancelled.
func RequestCancel(job api.Job, now time.Time) (api.Job, error) {
	if Terminal(job.State) {
		return job, stateError(job, "cancelled")
	}
	job.CancelRequested = true
	if job.State == api.JobStateWaiting {
		job.State, job.EndedMs, job.Reason = api.JobStateCancelled, now.UnixMilli(), "cancelled on request"
	}
	return job, nil
}

// SetReason sets the reason why a job waits.
func SetReason(job api.Job, reason string) (api.Job, error) {
	if job.State != api.JobStateWaiting {
		return job, stateError(job, "explained")
	}
	job.Reason = reason
	return job, nil
}
