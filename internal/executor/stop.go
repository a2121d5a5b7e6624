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

// stop checkpoints and stops all members, waits until none can still run, and
// commits the next state of the job.
func (e *Executor) stop(ctx context.Context, row *jobs.Row) {
	job := row.Job
	ctx, span := e.cfg.Tracer.Start(ctx, "job stop", trace.WithAttributes(attribute.String("job", job.ID), attribute.String("reason", job.StopReason)))
	defer span.End()
	collected := newCheckpoints(job)
	if wantsCheckpoint(job) {
		e.requestCheckpoints(ctx, job, collected)
	}
	succeeded, ended := e.stopMembers(ctx, row, collected)
	if !ended {
		return
	}
	checkpoint := collected.gangCheckpoint()
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

// wantsCheckpoint reports whether a job is checkpointed before it is stopped.
// Excluded are attempts that never ran, gangs that have lost a member, because
// their checkpoints would not be from one point in time, and cancelled jobs, which
// do not need one.
func wantsCheckpoint(job api.Job) bool {
	return job.Spec.Checkpoint && (job.StopReason == jobs.StopPreempted || job.StopReason == jobs.StopZoneOut)
}

// requestCheckpoints requests a checkpoint from all members and waits until each
// has written one, at most for CheckpointWait.
func (e *Executor) requestCheckpoints(ctx context.Context, job api.Job, collected *checkpoints) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.CheckpointWait)
	defer cancel()
	collected.add(e.sendAction(ctx, job, api.Checkpoint))
	for !collected.allNewer() && ctx.Err() == nil {
		wait(ctx, nil, retryInterval)
		collected.add(e.fetchReports(ctx, job))
	}
}

// stopMembers sends stops to the members until each has ended or its lease has
// certainly expired. It reports whether all had succeeded, and whether all have
// ended.
func (e *Executor) stopMembers(ctx context.Context, row *jobs.Row, collected *checkpoints) (succeeded, allEnded bool) {
	job := row.Job
	beganAt := time.Now()
	expiry := leaseExpiry{version: row.Version, wait: e.cfg.TaskLease + e.cfg.MaxClockSkew}
	neverRan := e.neverReleased(job)
	ended, success := map[int]bool{}, map[int]bool{}
	for interval := retryInterval; ctx.Err() == nil; interval = min(2*interval, maxStopRetryInterval) {
		reports, answered := e.sendActionWithAnswered(ctx, job, api.Stop)
		collected.add(reports)
		now := time.Now()
		expired := expiry.passed(now, e.allCaughtUp(row.Version))
		// A worker that does not know a task may still receive its start, sent before
		// the stop began. The worker refuses the start once ZoneConfirmation has passed.
		startsExpired := now.Sub(beganAt) >= e.cfg.ZoneConfirmation+e.cfg.MaxClockSkew
		for _, placement := range job.Placement {
			report, known := reports[placement.Index]
			switch {
			case known:
				ended[placement.Index] = report.State == api.TaskStateEnded
				success[placement.Index] = ended[placement.Index] && report.Exit == api.TaskExitSucceeded
			case answered[placement.Worker]:
				ended[placement.Index] = ended[placement.Index] || startsExpired
			default:
				ended[placement.Index] = ended[placement.Index] || expired || neverRan
			}
		}
		if allTrue(ended) {
			return len(success) == len(ended) && allTrue(success), true
		}
		wait(ctx, nil, interval)
	}
	return false, false
}

// recordRelease records that a release of the attempt may have been sent, and
// removes the records of jobs that have ended.
func (e *Executor) recordRelease(job api.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releasedAttempt[job.ID] = job.Attempt
	for id := range e.releasedAttempt {
		if row := e.cfg.Follower.Get(id); row == nil || jobs.Terminal(row.Job.State) {
			delete(e.releasedAttempt, id)
		}
	}
}

// neverReleased reports whether no member of the attempt can have run: this daemon
// placed the job in its current term as planner and has sent no release. The stop
// of such an attempt need not wait until the lease of a member on an unresponsive
// worker expires, because that task is at most held and will never run. Otherwise
// an urgent job whose worker stops responding during the start would wait for a
// whole task lease.
func (e *Executor) neverReleased(job api.Job) bool {
	if e.cfg.Epoch == nil || job.PlannerEpoch == 0 || job.PlannerEpoch != e.cfg.Epoch() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releasedAttempt[job.ID] != job.Attempt
}

func allTrue(values map[int]bool) bool {
	for _, v := range values {
		if !v {
			return false
		}
	}
	return true
}

// allCaughtUp reports whether every daemon of the zone in the VM list has read the
// job rows up to the version, so that none renews the leases of the job any more.
func (e *Executor) allCaughtUp(version int64) bool {
	daemons, known := e.cfg.Directory.Daemons()
	if !known {
		return false
	}
	self := e.cfg.Network.Self().VM
	versions := map[string]int64{self: e.cfg.Follower.Version()}
	for _, m := range e.cfg.Network.Members() {
		versions[m.VM] = m.TableVersion
	}
	return allAtVersion(daemons, versions, version)
}

func allAtVersion(daemons []api.VM, versions map[string]int64, version int64) bool {
	for _, vm := range daemons {
		if versions[vm.ID] < version {
			return false
		}
	}
	return true
}

// leaseExpiry determines when a lease that no daemon renews any more has certainly
// expired.
type leaseExpiry struct {
	version         int64
	wait            time.Duration // task lease plus maximum clock skew
	notRenewedSince time.Time     // when all daemons were first known to have stopped renewing; zero before that
}

// passed reports whether the lease has expired for certain. Once caughtUp has been
// true, later values are ignored: a daemon that joins the VM list afterwards reads
// the current rows and does not renew the job.
func (l *leaseExpiry) passed(now time.Time, caughtUp bool) bool {
	if l.notRenewedSince.IsZero() && caughtUp {
		l.notRenewedSince = now
	}
	return !l.notRenewedSince.IsZero() && now.Sub(l.notRenewedSince) >= l.wait
}

// sendAction sends an action to all workers of a job and returns the reports by task
// index. Workers that did not answer are left out.
func (e *Executor) sendAction(ctx context.Context, job api.Job, action api.TaskActionKind) map[int]api.TaskReport {
	reports, _ := e.sendActionWithAnswered(ctx, job, action)
	return reports
}

// sendActionWithAnswered is like sendAction and also returns which workers answered.
func (e *Executor) sendActionWithAnswered(ctx context.Context, job api.Job, action api.TaskActionKind) (map[int]api.TaskReport, map[string]bool) {
	return e.callWorkers(ctx, job, func(ctx context.Context, address string, ids []string) ([]api.TaskReport, error) {
		return e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: action, TaskIds: ids})
	})
}

// releaseAll sends the release to all workers of the job, and reports whether any
// call was sent. The confirmation is checked again before each call. Workers
// ignore a release that arrives after the confirmation has become too old: a
// release begins to run a task, so it is subject to the same deadline as a start.
func (e *Executor) releaseAll(ctx context.Context, job api.Job, c configuration.Confirmation) (reports map[int]api.TaskReport, sent bool) {
	var calls atomic.Int64
	releaseBefore := c.RequestedAt.Add(e.cfg.ZoneConfirmation).UnixMilli()
	reports, _ = e.callWorkers(ctx, job, func(ctx context.Context, address string, ids []string) ([]api.TaskReport, error) {
		if err := e.checkConfirmation(c); err != nil {
			return nil, err
		}
		e.recordRelease(job)
		calls.Add(1)
		return e.cfg.Workers.Act(ctx, address, api.TaskAction{Action: api.Release, TaskIds: ids, BeforeMs: releaseBefore})
	})
	return reports, calls.Load() > 0
}

// fetchReports returns the current reports of the job's tasks by task index.
func (e *Executor) fetchReports(ctx context.Context, job api.Job) map[int]api.TaskReport {
	reports, _ := e.callWorkers(ctx, job, func(ctx context.Context, address string, _ []string) ([]api.TaskReport, error) {
		report, err := e.cfg.Workers.Report(ctx, address)
		return report.Tasks, err
	})
	return reports
}

// callWorkers calls all workers of a job concurrently, with their addresses and
// task identifiers. It returns the reports of the job's tasks by task index, and
// which workers answered.
func (e *Executor) callWorkers(ctx context.Context, job api.Job, call func(context.Context, string, []string) ([]api.TaskReport, error)) (map[int]api.TaskReport, map[string]bool) {
	tasks := map[string][]string{}
	for _, placement := range job.Placement {
		tasks[placement.Worker] = append(tasks[placement.Worker], jobs.TaskID(job.ID, job.Attempt, placement.Index))
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
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			taskReports, err := call(callCtx, address, ids)
			if err != nil {
				// If the job is stopped to reclaim guaranteed capacity, the planner uses
				// other workers once it knows that this worker is lost. Regular reports
				// are too infrequent for that, so request one now.
				if ctx.Err() == nil {
					e.cfg.Directory.RequestReport(worker)
				}
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered[worker] = true
			for _, r := range taskReports {
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
	recordedMs  int64 // progress already recorded in the job row, in milliseconds
	members     map[int]api.TaskCheckpoint
	memberCount int
}

func newCheckpoints(job api.Job) *checkpoints {
	return &checkpoints{recordedMs: job.ProgressMs, members: map[int]api.TaskCheckpoint{}, memberCount: len(job.Placement)}
}

// add keeps each reported checkpoint, unless a known one of the same member has more
// progress.
func (c *checkpoints) add(reports map[int]api.TaskReport) {
	for index, r := range reports {
		if r.CheckpointObject != "" && r.ProgressMs >= c.members[index].ProgressMs {
			c.members[index] = api.TaskCheckpoint{Index: index, Object: r.CheckpointObject, ProgressMs: r.ProgressMs}
		}
	}
}

// allNewer reports whether every member has a checkpoint with more progress than
// the job row records.
func (c *checkpoints) allNewer() bool {
	for _, m := range c.members {
		if m.ProgressMs <= c.recordedMs {
			return false
		}
	}
	return len(c.members) == c.memberCount
}

// gangCheckpoint returns the checkpoints from which the whole gang can resume. It is
// empty unless every member has one. Each member resumes from its own checkpoint;
// the progress of the gang is that of the member with the least.
func (c *checkpoints) gangCheckpoint() jobs.Checkpoint {
	if len(c.members) < c.memberCount || c.memberCount == 0 {
		return jobs.Checkpoint{}
	}
	tasks := slices.SortedFunc(maps.Values(c.members), func(a, b api.TaskCheckpoint) int { return cmp.Compare(a.Index, b.Index) })
	minProgress := tasks[0].ProgressMs
	for _, t := range tasks {
		minProgress = min(minProgress, t.ProgressMs)
	}
	return jobs.Checkpoint{Tasks: tasks, ProgressMs: minProgress}
}
