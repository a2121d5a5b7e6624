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
	StopLost        = "lost"
	// StopTaskFailed means that a task ended in failure.
	StopTaskFailed = "task_failed"
)

const (
	// MaxFailingWorkers is the number of different workers on which the tasks of a
	// job fail before it is no longer retried. Two may share a fault of a rack.
	MaxFailingWorkers = 3
	// keptFailures bounds the failures kept in a row, and thereby its size.
	keptFailures = 16
)

// Prefixes of JobFailure.Reason. Only failures of tasks count against the job.
const (
	taskFailedPrefix = "task failed: "
	notStartedPrefix = "not started: "
	taskLostPrefix   = "task lost: "
)

// Reasons given by a keeper for a member that it declares lost.
const (
	ReasonNoAnswer    = "the worker has not answered the renewals of the lease"
	ReasonTaskUnknown = "the worker does not know the task"
)

// TaskFailed builds the failure of a task that ran and ended in failure.
func TaskFailed(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: taskFailedPrefix + reason, TimeMs: now.UnixMilli()}
}

// NotStarted builds the failure of a task that did not start.
func NotStarted(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: notStartedPrefix + reason, TimeMs: now.UnixMilli()}
}

// TaskLost builds the failure of a task whose worker or lease was lost.
func TaskLost(job api.Job, worker, reason string, now time.Time) api.JobFailure {
	return api.JobFailure{Attempt: job.Attempt, Worker: worker, Reason: taskLostPrefix + reason, TimeMs: now.UnixMilli()}
}

// IsTaskFailure tells whether a failure counts against the job or its worker:
// the task ran and ended in failure.
func IsTaskFailure(f api.JobFailure) bool { return strings.HasPrefix(f.Reason, taskFailedPrefix) }

// IsNotStarted tells whether a failure is a start that a worker refused or did
// not acknowledge.
func IsNotStarted(f api.JobFailure) bool { return strings.HasPrefix(f.Reason, notStartedPrefix) }

func wrongState(job api.Job, change string) error {
	return eris.Errorf("job %s is %s and cannot be %s", job.ID, job.State, change)
}

// Place reserves places for a waiting job and begins its next attempt.
func Place(job api.Job, zone string, p planner.Placement, now time.Time) (api.Job, error) {
	if job.State != api.JobStateWaiting || job.CancelRequested {
		return job, wrongState(job, "placed")
	}
	if !AllowsZone(job.Spec, zone) || len(p.Tasks) != job.Spec.Tasks {
		return job, eris.Errorf("job %s does not fit the placement in zone %s", job.ID, zone)
	}
	job.State, job.Zone, job.Placement, job.Covered = api.JobStatePlaced, zone, p.Tasks, p.Covered
	job.Attempt++
	job.PlacedMs, job.Reason, job.StopReason = now.UnixMilli(), "", ""
	return job, nil
}

// MarkRunning records that all members of a placed job have been released.
func MarkRunning(job api.Job, now time.Time) (api.Job, error) {
	if job.State != api.JobStatePlaced {
		return job, wrongState(job, "running")
	}
	job.State = api.JobStateRunning
	if job.StartedMs == 0 {
		job.StartedMs = now.UnixMilli()
	}
	return job, nil
}

// BeginStop starts the end of an attempt. failure may be nil.
func BeginStop(job api.Job, stopReason, reason string, failure *api.JobFailure) (api.Job, error) {
	if job.State != api.JobStatePlaced && job.State != api.JobStateRunning {
		return job, wrongState(job, "stopped")
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

// Demote makes a covered job a borrower.
func Demote(job api.Job) (api.Job, error) {
	if !HoldsPlacement(job.State) || !job.Covered {
		return job, wrongState(job, "demoted")
	}
	job.Covered = false
	return job, nil
}

func appendFailure(failures []api.JobFailure, f api.JobFailure) []api.JobFailure {
	out := append(append([]api.JobFailure(nil), failures...), f)
	if len(out) > keptFailures {
		out = out[len(out)-keptFailures:]
	}
	return out
}

// Checkpoint is the newest checkpoint of an attempt.
type Checkpoint struct {
	Tasks []api.TaskCheckpoint // one for each task, by index; empty for none
	// ProgressMs is the work kept by the task that has kept least.
	ProgressMs int64
}

// RecordCheckpoint records the newest checkpoint of a running job. It never goes
// back to an older one.
func RecordCheckpoint(job api.Job, c Checkpoint, now time.Time) (api.Job, error) {
	if job.State != api.JobStateRunning {
		return job, wrongState(job, "given a checkpoint")
	}
	return keep(job, c, now), nil
}

func keep(job api.Job, c Checkpoint, now time.Time) api.Job {
	if len(c.Tasks) > 0 && c.ProgressMs >= job.ProgressMs {
		job.Checkpoints, job.ProgressMs, job.CheckpointMs = c.Tasks, c.ProgressMs, now.UnixMilli()
	}
	return job
}

// EndStop ends a stop when no task of the attempt runs any more: the job is
// cancelled, fails for good, or waits again.
func EndStop(job api.Job, c Checkpoint, now time.Time) (api.Job, error) {
	if job.State != api.JobStateStopping {
		return job, wrongState(job, "ended")
	}
	job.Placement, job.Covered = nil, false
	job = keep(job, c, now)
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

// FailingWorkers counts the different workers on which tasks of the job failed.
func FailingWorkers(job api.Job) int {
	seen := map[string]bool{}
	for _, f := range job.Failures {
		if IsTaskFailure(f) {
			seen[f.Worker] = true
		}
	}
	return len(seen)
}

// Succeed ends a job of which all tasks have ended in success. A stop that began
// too late does not undo the success.
func Succeed(job api.Job, now time.Time) (api.Job, error) {
	if job.State != api.JobStateRunning && job.State != api.JobStateStopping {
		return job, wrongState(job, "succeeded")
	}
	job.State, job.EndedMs, job.Reason = api.JobStateSucceeded, now.UnixMilli(), ""
	job.Placement, job.Covered = nil, false
	return job, nil
}

// Refuse ends a waiting job that can never run.
func Refuse(job api.Job, reason string, now time.Time) (api.Job, error) {
	if job.State != api.JobStateWaiting {
		return job, wrongState(job, "refused")
	}
	job.State, job.EndedMs, job.Reason = api.JobStateRefused, now.UnixMilli(), reason
	return job, nil
}

// RequestCancel sets the cancel flag. A waiting job holds no place and is
// cancelled at once; a job that has ended stays as it is.
func RequestCancel(job api.Job, now time.Time) (api.Job, error) {
	if Terminal(job.State) {
		return job, wrongState(job, "cancelled")
	}
	job.CancelRequested = true
	if job.State == api.JobStateWaiting {
		job.State, job.EndedMs, job.Reason = api.JobStateCancelled, now.UnixMilli(), "cancelled on request"
	}
	return job, nil
}

// SetReason changes the reason why a job waits.
func SetReason(job api.Job, reason string) (api.Job, error) {
	if job.State != api.JobStateWaiting {
		return job, wrongState(job, "explained")
	}
	job.Reason = reason
	return job, nil
}
