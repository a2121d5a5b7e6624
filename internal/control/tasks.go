package control

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// ended is the end of a task as its worker or its keeper told it.
type ended struct {
	attempt int
	worker  string
	report  api.TaskReport
}

// transition is a prepared change of a job row.
type transition = func(api.Job) (api.Job, error)

// takeTasks keeps the ends of tasks of this zone's current attempts.
func (c *Control) takeTasks(worker string, tasks []api.TaskReport) {
	if c.epoch == 0 {
		return // the keeper repeats it to the planner
	}
	for _, t := range tasks {
		id, attempt, index, ok := jobs.ParseTaskID(t.TaskID)
		if !ok || t.State != api.TaskStateEnded {
			continue
		}
		row := c.cfg.Follower.Get(id)
		if row == nil || row.Job.Zone != c.cfg.Zone || row.Job.Attempt != attempt || !active(row.Job) {
			continue
		}
		if c.tasks[id] == nil {
			c.tasks[id] = map[int]ended{}
		}
		if _, known := c.tasks[id][index]; !known {
			c.tasks[id][index] = ended{attempt, worker, t}
			c.dirty = true
		}
	}
}

func active(job api.Job) bool {
	return job.State == api.JobStatePlaced || job.State == api.JobStateRunning
}

// transitions returns the changes that the ended tasks call for, and forgets
// tasks whose job has moved on.
func (c *Control) transitions(now time.Time) map[string]transition {
	out := map[string]transition{}
	for id, tasks := range c.tasks {
		row := c.cfg.Follower.Get(id)
		if row == nil || !active(row.Job) || stale(row.Job, tasks) {
			delete(c.tasks, id)
			continue
		}
		if f := decide(row.Job, tasks, now); f != nil {
			out[id] = f
		}
	}
	return out
}

func stale(job api.Job, tasks map[int]ended) bool {
	for _, t := range tasks {
		if t.attempt != job.Attempt {
			return true
		}
	}
	return false
}

// decide returns the change of a job whose tasks have ended: success when all
// have succeeded, a stop of the whole gang when one has not, else nil.
func decide(job api.Job, tasks map[int]ended, now time.Time) transition {
	worst, succeeded := ended{}, 0
	for index := range job.Spec.Tasks {
		t, known := tasks[index]
		if !known {
			continue
		}
		if t.report.Exit == api.TaskExitSucceeded {
			succeeded++
			continue
		}
		if worst.worker == "" || blame(t.report) > blame(worst.report) {
			worst = t
		}
	}
	switch {
	case worst.worker != "":
		return stopFor(job, worst, now)
	case succeeded == job.Spec.Tasks && job.State == api.JobStateRunning:
		return func(j api.Job) (api.Job, error) { return jobs.Succeed(j, now) }
	}
	return nil
}

// blame ranks how well the end of a task explains the end of its gang. The lease
// of a member lapses because another member failed or fell silent.
func blame(t api.TaskReport) int {
	switch {
	case t.Exit == api.TaskExitFailed:
		return 2
	case t.Reason == jobs.ReasonNoAnswer || t.Reason == jobs.ReasonTaskUnknown:
		return 1
	}
	return 0
}

func stopFor(job api.Job, t ended, now time.Time) transition {
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

// learnFailures tells the quarantine about failures in the job rows that it has
// not been told about since the takeover. The rows outlive the planner, so that
// the quarantine is rebuilt after a takeover.
func (c *Control) learnFailures() {
	for _, row := range c.cfg.Follower.Rows() {
		job := row.Job
		if job.Zone != c.cfg.Zone {
			continue
		}
		for _, f := range job.Failures {
			if f.Worker == "" || f.TimeMs <= c.told[job.ID] || !jobs.IsTaskFailure(f) && !jobs.IsNotStarted(f) {
				continue
			}
			c.cfg.Quarantine.RecordFailure(f.Worker, job.ID, f.Reason, time.UnixMilli(f.TimeMs))
		}
		if n := len(job.Failures); n > 0 {
			c.told[job.ID] = job.Failures[n-1].TimeMs
		}
	}
}

// learnSuccess tells the quarantine about the tasks of a job that has succeeded.
func (c *Control) learnSuccess(id string, now time.Time) {
	for _, t := range c.tasks[id] {
		if t.report.Exit == api.TaskExitSucceeded {
			c.cfg.Quarantine.RecordSuccess(t.worker, id, now)
		}
	}
	delete(c.tasks, id)
}
