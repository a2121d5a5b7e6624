package executor

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// checkpointSpread lengthens the interval of a job by up to a quarter, so that
// gangs that started together when a zone returned do not all write at once.
const checkpointSpread = 4

// launchCheckpoints takes a checkpoint of each running job whose last one is old.
// Without it a job that loses a worker or its zone starts again from the
// beginning, however long it has run.
func (e *Executor) launchCheckpoints(ctx context.Context, now time.Time) {
	for _, row := range e.cfg.Follower.Rows() {
		job := row.Job
		if job.State == api.JobStateRunning && job.Zone == e.cfg.Zone && job.Spec.Checkpoint && e.checkpointDue(job, now) {
			e.launch(ctx, row, e.keepCheckpoint)
		}
	}
}

func (e *Executor) checkpointDue(job api.Job, now time.Time) bool {
	every := e.cfg.CheckpointEvery
	every += time.Duration(xxhash.Sum64String(job.ID) % uint64(max(every/checkpointSpread, 1)))
	e.mu.Lock()
	defer e.mu.Unlock()
	last := time.UnixMilli(max(job.CheckpointMs, job.PlacedMs))
	if tried := e.tried[job.ID]; tried.After(last) {
		last = tried
	}
	return now.Sub(last) >= every
}

// keepCheckpoint records a checkpoint if every member writes one in time. A
// gang that did not is asked again after the interval, to bound the calls.
func (e *Executor) keepCheckpoint(ctx context.Context, row *jobs.Row) {
	job := row.Job
	kept := newCheckpoints(job)
	e.checkpoint(ctx, job, kept)
	e.noteTry(job.ID)
	if !kept.newer() {
		e.cfg.Log.Warn("No checkpoint of the whole gang.", zap.String("job", job.ID))
		return
	}
	if e.transition(ctx, job, func(j api.Job) (api.Job, error) {
		return jobs.RecordCheckpoint(j, kept.common(), time.Now())
	}) {
		e.cfg.Scope.Counter("checkpoints").Inc(1)
	}
}

// noteTry notes the time of a try and forgets jobs that are gone.
func (e *Executor) noteTry(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tried[id] = time.Now()
	for other := range e.tried {
		if row := e.cfg.Follower.Get(other); row == nil || row.Job.State != api.JobStateRunning {
			delete(e.tried, other)
		}
	}
}
