package executor

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// checkpointJitterDivisor limits the jitter that is added to the checkpoint interval
// of a job to a quarter of the interval. The jitter keeps gangs that started together
// when a zone returned to service from writing their checkpoints at the same time.
const checkpointJitterDivisor = 4

// launchCheckpoints takes a checkpoint of each running job for which one is due.
// Without periodic checkpoints a job that loses a worker or its zone would start
// again from the beginning, however long it has run.
func (e *Executor) launchCheckpoints(ctx context.Context, now time.Time) {
	for _, row := range e.cfg.Follower.Rows() {
		job := row.Job
		if job.State == api.JobStateRunning && job.Zone == e.cfg.Zone && job.Spec.Checkpoint && e.checkpointDue(job, now) {
			e.launch(ctx, row, e.takePeriodicCheckpoint)
		}
	}
}

// checkpointDue reports whether the interval since the last checkpoint of the job,
// or since the last try of one, has passed. The jitter is derived from the job ID, so
// that it stays the same.
func (e *Executor) checkpointDue(job api.Job, now time.Time) bool {
	interval := e.cfg.CheckpointEvery
	interval += time.Duration(xxhash.Sum64String(job.ID) % uint64(max(interval/checkpointJitterDivisor, 1)))
	e.mu.Lock()
	defer e.mu.Unlock()
	last := time.UnixMilli(max(job.CheckpointMs, job.PlacedMs))
	if tried := e.lastCheckpointTry[job.ID]; tried.After(last) {
		last = tried
	}
	return now.Sub(last) >= interval
}

// takePeriodicCheckpoint requests checkpoints and commits them to the job row if
// every member writes one in time. Otherwise the next try is made after the full
// interval, which bounds the number of calls.
func (e *Executor) takePeriodicCheckpoint(ctx context.Context, row *jobs.Row) {
	job := row.Job
	collected := newCheckpoints(job)
	e.requestCheckpoints(ctx, job, collected)
	e.recordCheckpointTry(job.ID)
	if !collected.allNewer() {
		e.cfg.Log.Warn("Periodic checkpoint not recorded: not all tasks of the job wrote one in time.", zap.String("job", job.ID))
		return
	}
	if e.transition(ctx, job, func(j api.Job) (api.Job, error) {
		return jobs.RecordCheckpoint(j, collected.gangCheckpoint(), time.Now())
	}) {
		e.cfg.Scope.Counter("checkpoints").Inc(1)
	}
}

// recordCheckpointTry records the time of a try of a checkpoint, and removes the
// records of jobs that no longer run.
func (e *Executor) recordCheckpointTry(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastCheckpointTry[id] = time.Now()
	for other := range e.lastCheckpointTry {
		if row := e.cfg.Follower.Get(other); row == nil || row.Job.State != api.JobStateRunning {
			delete(e.lastCheckpointTry, other)
		}
	}
}
