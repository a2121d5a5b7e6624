package control

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// taskEnd is the end of a task as reported by its worker or its keeper.
type taskEnd struct {
	attempt int
	worker  string
	report  api.TaskReport
}

// transition computes the changed row of a job.
type transition = func(api.Job) (api.Job, error)

// recordEnds records the ends of tasks that belong to the current attempt of a
// job of this zone.
func (c *Control) recordEnds(worker string, tasks []api.TaskReport) {
	if c.epoch == 0 {
		return // not the planner; the keeper repeats the update to the planner
	}
	for _, t := range tasks {
		id, attempt, index, ok := jobs.ParseTaskID(t.TaskID)
		if !ok || t.State != api.TaskStateEnded {
			continue
		}
		row := c.cfg.Follower.Get(id)
		if row == nil || row.Job.Zone != c.cfg.Zone || row.Job.Attempt != attempt || !placedOrRunning(row.Job) {
			continue
		}
		if c.taskEnds[id] == nil {
			c.taskEnds[id] = map[int]taskEnd{}
		}
		if _, known := c.taskEnds[id][index]; !known {
			c.taskEnds[id][index] = taskEnd{attempt, worker, t}
			c.dirty = true
		}
	}
}

func placedOrRunning(job api.Job) bool {
	return job.State == api.JobStatePlaced || job.State == api.JobStateRunning
}

// transitions returns the job transitions that follow from the ended tasks. It drops
// the recorded ends of jobs that are no longer placed or running, or have begun
// another attempt.
func (c *Control) transitions(now time.Time) map[string]transition {
	out := map[string]transition{}
	for id, tasks := range c.taskEnds {
		row := c.cfg.Follower.Get(id)
		if row == nil || !placedOrRunning(row.Job) || fromOtherAttempt(row.Job, tasks) {
			delete(c.taskEnds, id)
			continue
		}
		if f := transitionFor(row.Job, tasks, now); f != nil {
			out[id] = f
		}
	}
	return out
}

func fromOtherAttempt(job api.Job, tasks map[int]taskEnd) bool {
	for _, t := range tasks {
		if t.attempt != job.Attempt {
			return true
		}
	}
	return false
}

// transitionFor returns the transition of a job whose tasks have ended: success
// when all have succeeded, a stop of the whole gang when one has not succeeded,
// else nil.
func transitionFor(job api.Job, tasks map[int]taskEnd, now time.Time) transition {
	cause, succeeded := taskEnd{}, 0
	for index := range job.Spec.Tasks {
		t, known := tasks[index]
		if !known {
			continue
		}
		if t.report.Exit == api.TaskExitSucceeded {
			succeeded++
			continue
		}
		if cause.worker == "" || causeRank(t.report) > causeRank(cause.report) {
			cause = t
		}
	}
	switch {
	case cause.worker != "":
		return stopTransition(job, cause, now)
	case succeeded == job.Spec.Tasks && job.State == api.JobStateRunning:
		return func(j api.Job) (api.Job, error) { return jobs.Succeed(j, now) }
	}
	return nil
}

// causeRank ranks how likely the end of a task is the cause of the end of its
// gang. The lease of a member also expires because another member has failed or
// stopped answering.
func causeRank(t api.TaskReport) int {
	switch {
	case t.Exit == api.TaskExitFailed:
		return 2
	case t.Reason == jobs.ReasonNoAnswer || t.Reason == jobs.ReasonTaskUnknown:
		return 1
	}
	return 0
}

func stopTransition(job api.Job, t taskEnd, now time.Time) transition {
	reason := t.report.Reason
	if reason == "" {
		reason = string(t.report.Exit)
	}
	stopReason, failure := jobs.StopLost, jobs.TaskLost(job, t.worker, reason, now)
	if t.report.Exit == api.TaskExitFailed {
		stopReason, failure = jobs.StopTaskFailed, jobs.TaskFailed(job, t.worker, reason, now)
	}
	return func(j api.Job) (api.Job, error) {
		return jobs.BeginStop(j, stopReason, "worker "+t.worker+": "+reason, &failure)
	}
}

// recordFailures passes the failures in the job rows that are new since its last call
// to the health tracker. The rows outlive the planner, so the first call after a
// takeover restores the quarantines.
func (c *Control) recordFailures() {
	for _, row := range c.cfg.Follower.Rows() {
		job := row.Job
		if job.Zone != c.cfg.Zone {
			continue
		}
		for _, f := range job.Failures {
			if f.Worker == "" || f.TimeMs <= c.recordedFailures[job.ID] || !jobs.IsTaskFailure(f) && !jobs.IsNotStarted(f) {
				continue
			}
			c.cfg.Health.RecordFailure(f.Worker, job.ID, f.Reason, time.UnixMilli(f.TimeMs))
		}
		if n := len(job.Failures); n > 0 {
			c.recordedFailures[job.ID] = job.Failures[n-1].TimeMs
		}
	}
}

// recordSuccess passes the tasks of a job that has succeeded to the health tracker.
func (c *Control) recordSuccess(id string, now time.Time) {
	for _, t := range c.taskEnds[id] {
		if t.report.Exit == api.TaskExitSucceeded {
			c.cfg.Health.RecordSuccess(t.worker, id, now)
		}
	}
	delete(c.taskEnds, id)
}
