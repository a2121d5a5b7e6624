package executor

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// stop checkpoints and stops all members, waits until none can run, and commits
// the next state of the job.
func (e *Executor) stop(ctx context.Context, row *jobs.Row) {
	job := row.Job
	ctx, span := e.cfg.Tracer.Start(ctx, "job stop", trace.WithAttributes(attribute.String("job", job.ID), attribute.String("reason", job.StopReason)))
	defer span.End()
	kept := newCheckpoints(job)
	if wantsCheckpoint(job) {
		e.checkpoint(ctx, job, kept)
	}
	succeeded, ended := e.endMembers(ctx, row, kept)
	if !ended {
		return
	}
	checkpoint := kept.common()
	if e.transition(ctx, job, func(j api.Job) (api.Job, error) {
		if succeeded {
			return jobs.Succeed(j, time.Now())
		}
		return jobs.EndStop(j, checkpoint, time.Now())
	}) {
		e.cfg.Scope.Counter("stopped").Inc(1)
		e.cfg.Log.Info("Job stopped.", zap.String("job", job.ID), zap.String("reason", job.StopReason), zap.Int64("progress_ms", checkpoint.ProgressMs))
	}
}

// wantsCheckpoint leaves out attempts that never ran and gangs that have lost a
// member, whose checkpoints would not be of one point in time. A cancelled job
// has no use for one.
func wantsCheckpoint(job api.Job) bool {
	return job.Spec.Checkpoint && (job.StopReason == jobs.StopPreempted || job.StopReason == jobs.StopZoneOut)
}

// checkpoint asks all members for a checkpoint and waits for them, at most for
// the checkpoint wait.
func (e *Executor) checkpoint(ctx context.Context, job api.Job, kept *checkpoints) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.CheckpointWait)
	defer cancel()
	kept.take(e.actAll(ctx, job, api.Checkpoint))
	for !kept.newer() && ctx.Err() == nil {
		wait(ctx, nil, retryPause)
		kept.take(e.reportAll(ctx, job))
	}
}

// endMembers stops the members until each has ended or certainly lapsed. It
// returns whether all had succeeded, and whether all have ended.
func (e *Executor) endMembers(ctx context.Context, row *jobs.Row, kept *checkpoints) (succeeded, all bool) {
	job := row.Job
	began := time.Now()
	lapse := lapse{version: row.Version, wait: e.cfg.TaskLease + e.cfg.MaxClockSkew}
	heldOnly := e.neverReleased(job)
	ended, success := map[int]bool{}, map[int]bool{}
	for pauseFor := retryPause; ctx.Err() == nil; pauseFor = min(2*pauseFor, maxStopPause) {
		reports, answered := e.actWorkers(ctx, job, api.Stop)
		kept.take(reports)
		now := time.Now()
		lapsed := lapse.certain(now, e.announced(row.Version))
		// A start that was under way when the stop began arrives within the
		// confirmation age, and the worker refuses it after that.
		unknownEnded := now.Sub(began) >= e.cfg.ZoneConfirmation+e.cfg.MaxClockSkew
		for _, place := range job.Placement {
			report, known := reports[place.Index]
			switch {
			case known:
				ended[place.Index] = report.State == api.TaskStateEnded
				success[place.Index] = ended[place.Index] && report.Exit == api.TaskExitSucceeded
			case answered[place.Worker]:
				ended[place.Index] = ended[place.Index] || unknownEnded
			default:
				ended[place.Index] = ended[place.Index] || lapsed || heldOnly
			}
		}
		if allTrue(ended) {
			return len(success) == len(ended) && allTrue(success), true
		}
		wait(ctx, nil, pauseFor)
	}
	return false, false
}

// noteRelease notes that a release of the attempt may have been sent.
func (e *Executor) noteRelease(job api.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released[job.ID] = job.Attempt
	for id := range e.released {
		if row := e.cfg.Follower.Get(id); row == nil || jobs.Terminal(row.Job.State) {
			delete(e.released, id)
		}
	}
}

// neverReleased tells whether no member of the attempt can have run: this daemon
// placed it in its present term as planner, and has sent no release. Such an
// attempt need not wait for the lease of a member on a silent worker, which holds
// at most a task that will never run. Without this, an urgent job whose worker
// falls silent during the start waits for a whole task lease.
func (e *Executor) neverReleased(job api.Job) bool {
	if e.cfg.Epoch == nil || job.PlannerEpoch == 0 || job.PlannerEpoch != e.cfg.Epoch() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released[job.ID] != job.Attempt
}

func allTrue(values map[int]bool) bool {
	for _, v := range values {
		if !v {
			return false
		}
	}
	return true
}

// announced tells whether every daemon of the zone in the VM list has followed
// the job rows up to the version, so that none renews the job any more.
func (e *Executor) announced(version int64) bool {
	daemons, known := e.cfg.Directory.Daemons()
	if !known {
		return false
	}
	self := e.cfg.Network.Self().VM
	versions := map[string]int64{self: e.cfg.Follower.Version()}
	for _, m := range e.cfg.Network.Members() {
		versions[m.VM] = m.TableVersion
	}
	return allAnnounced(daemons, versions, version)
}

func allAnnounced(daemons []api.VM, versions map[string]int64, version int64) bool {
	for _, vm := range daemons {
		if versions[vm.ID] < version {
			return false
		}
	}
	return true
}

// lapse decides when a lease that no daemon renews any more has certainly run out.
type lapse struct {
	version int64
	wait    time.Duration // lease time plus clock skew
	since   time.Time     // when all daemons were first known to have stopped renewing
}

func (l *lapse) certain(now time.Time, announced bool) bool {
	if l.since.IsZero() && announced {
		l.since = now
	}
	return !l.since.IsZero() && now.Sub(l.since) >= l.wait
}

// actAll sends an action to all workers of a job and returns the reports by task
// index. Workers that did not answer are left out.
func (e *Executor) actAll(ctx context.Context, job api.Job, action api.TaskActionKind) map[int]api.TaskReport {
	reports, _ := e.actWorkers(ctx, job, action)
	return reports
}

func (e *Executor) actWorkers(ctx context.Context, job api.Job, action api.TaskActionKind) (map[int]api.TaskReport, map[string]bool) {
	return e.eachWorker(ctx, job, func(ctx context.Context, address string, ids []string) ([]api.TaskReport, error) {
		return e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: action, TaskIds: ids})
	})
}

// releaseAll releases the members if the confirmation may be used when each call
// is sent. The workers leave out a release that arrives after the confirmation
// has become too old: a held task begins to run with it, as with a start.
func (e *Executor) releaseAll(ctx context.Context, job api.Job, c configuration.Confirmation) (reports map[int]api.TaskReport, sent bool) {
	var calls atomic.Int64
	before := c.Requested.Add(e.cfg.ZoneConfirmation).UnixMilli()
	reports, _ = e.eachWorker(ctx, job, func(ctx context.Context, address string, ids []string) ([]api.TaskReport, error) {
		if err := e.usable(c); err != nil {
			return nil, err
		}
		e.noteRelease(job)
		calls.Add(1)
		return e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: api.Release, TaskIds: ids, BeforeMs: before})
	})
	return reports, calls.Load() > 0
}

func (e *Executor) reportAll(ctx context.Context, job api.Job) map[int]api.TaskReport {
	reports, _ := e.eachWorker(ctx, job, func(ctx context.Context, address string, _ []string) ([]api.TaskReport, error) {
		report, err := e.cfg.Workers.Report(ctx, address)
		return report.Tasks, err
	})
	return reports
}

// eachWorker calls all workers of a job at the same time. It returns the reports
// of the job's tasks by index, and which workers answered.
func (e *Executor) eachWorker(ctx context.Context, job api.Job, call func(context.Context, string, []string) ([]api.TaskReport, error)) (map[int]api.TaskReport, map[string]bool) {
	tasks := map[string][]string{}
	for _, place := range job.Placement {
		tasks[place.Worker] = append(tasks[place.Worker], jobs.TaskID(job.ID, job.Attempt, place.Index))
	}
	reports, answered := map[int]api.TaskReport{}, map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker, ids := range tasks {
		address, known := e.cfg.Directory.Address(worker)
		if !known {
			continue
		}
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			got, err := call(limited, address, ids)
			if err != nil {
				// A reclaim that waits for a lost worker goes on elsewhere once the
				// planner knows; full reports are too rare for that.
				if ctx.Err() == nil {
					e.cfg.Directory.RequestReport(worker)
				}
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered[worker] = true
			for _, r := range got {
				if id, attempt, index, ok := jobs.ParseTaskID(r.TaskID); ok && id == job.ID && attempt == job.Attempt {
					reports[index] = r
				}
			}
		})
	}
	group.Wait()
	return reports, answered
}

// checkpoints collects the newest checkpoint of each member.
type checkpoints struct {
	known   int64 // progress that the row already keeps, in milliseconds
	members map[int]api.TaskCheckpoint
	want    int
}

func newCheckpoints(job api.Job) *checkpoints {
	return &checkpoints{known: job.ProgressMs, members: map[int]api.TaskCheckpoint{}, want: len(job.Placement)}
}

func (c *checkpoints) take(reports map[int]api.TaskReport) {
	for index, r := range reports {
		if r.CheckpointObject != "" && r.ProgressMs >= c.members[index].ProgressMs {
			c.members[index] = api.TaskCheckpoint{Index: index, Object: r.CheckpointObject, ProgressMs: r.ProgressMs}
		}
	}
}

// newer tells whether every member has a checkpoint beyond the known one.
func (c *checkpoints) newer() bool {
	for _, m := range c.members {
		if m.ProgressMs <= c.known {
			return false
		}
	}
	return len(c.members) == c.want
}

// common returns the checkpoints from which the whole gang can go on: they exist
// only when every member has one. Each member goes on from its own.
func (c *checkpoints) common() jobs.Checkpoint {
	if len(c.members) < c.want || c.want == 0 {
		return jobs.Checkpoint{}
	}
	tasks := slices.SortedFunc(maps.Values(c.members), func(a, b api.TaskCheckpoint) int { return cmp.Compare(a.Index, b.Index) })
	least := tasks[0].ProgressMs
	for _, t := range tasks {
		least = min(least, t.ProgressMs)
	}
	return jobs.Checkpoint{Tasks: tasks, ProgressMs: least}
}
