package executor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// memberStatus is the kind of the result of starting one member of a gang.
type memberStatus int

const (
	memberUnsent     memberStatus = iota // no start was sent
	memberUnanswered                     // a start was sent and not answered
	memberStarted                        // the task is held or running, or has succeeded
	memberRefused                        // the worker refused the start, is not in the VM list, or has stopped the task
	memberFailed                         // the task ended in failure
)

// member is the result of starting one member of a gang, with the reason if it has not
// started.
type member struct {
	status memberStatus
	reason string
}

// confirm returns a confirmation that the zone is in service. It is recent enough
// for a start that is sent now.
func (e *Executor) confirm(ctx context.Context) (configuration.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A confirmation may be at most half the permitted age; the other half is left
	// for the start to reach the worker.
	c, err := e.cfg.View.ConfirmZone(ctx, e.cfg.Zone, e.cfg.ZoneConfirmation/2)
	if err != nil {
		return c, eris.Wrap(err, "the state of the zone cannot be confirmed")
	}
	return c, e.checkConfirmation(c)
}

// checkConfirmation returns an error if the confirmation does not permit a start
// or release now. It is called right before each one is sent.
func (e *Executor) checkConfirmation(c configuration.Confirmation) error {
	if c.State != api.In {
		return eris.New("the zone is out of service")
	}
	if c.Zone != "" && c.Zone != e.cfg.Zone {
		return eris.Errorf("the confirmation is for zone %s", c.Zone)
	}
	if age := time.Since(c.RequestedAt); age >= e.cfg.ZoneConfirmation {
		return eris.Errorf("the confirmation of the zone is %s old", age)
	}
	if !e.cfg.Leading() {
		return eris.New("this daemon does not plan for the zone")
	}
	return nil
}

// start starts all members in the held state, releases them, and commits the
// running state.
func (e *Executor) start(ctx context.Context, row *jobs.Row) {
	job := row.Job
	ctx, span := e.cfg.Tracer.Start(ctx, "job start", trace.WithAttributes(attribute.String("job", job.ID), attribute.Int("attempt", job.Attempt)))
	defer span.End()
	members := e.startMembers(ctx, job)
	if ctx.Err() != nil {
		return // the row is at another step, or another daemon resumes the start
	}
	if allUnsent(members) {
		return // the zone was not confirmed and nothing was sent; retried later
	}
	if i, ok := blamedMember(members); ok {
		e.failStart(ctx, job, job.Placement[i], members[i])
		return
	}
	if i, status := e.release(ctx, job); status != releaseDone {
		// If no release was sent, the members stay held until the next attempt and
		// none of them runs.
		if status == releaseUnacknowledged && ctx.Err() == nil {
			e.failStart(ctx, job, job.Placement[i], member{memberUnanswered, "did not acknowledge the release"})
		}
		return
	}
	if e.transition(ctx, job, func(j api.Job) (api.Job, error) { return jobs.MarkRunning(j, time.Now()) }) {
		e.cfg.Scope.Counter("started").Inc(1)
		e.cfg.Log.Info("Job started.", zap.String("job", job.ID), zap.Int("attempt", job.Attempt))
	}
}

func (e *Executor) startMembers(ctx context.Context, job api.Job) []member {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.StartWait)
	defer cancel()
	members := make([]member, len(job.Placement))
	// All members get the same lease expiry, so that none runs longer than the others.
	expires := time.Now().Add(e.cfg.TaskLease)
	var group sync.WaitGroup
	for i, placement := range job.Placement {
		group.Go(func() { members[i] = e.startMember(ctx, job, placement, expires) })
	}
	group.Wait()
	return members
}

// startMember retries the start of one member until the worker answers or ctx ends.
func (e *Executor) startMember(ctx context.Context, job api.Job, placement api.TaskPlacement, expires time.Time) member {
	m := member{memberUnsent, "the state of the zone could not be confirmed"}
	for ctx.Err() == nil && e.isCurrent(job) {
		address, known := e.cfg.Directory.Address(placement.Worker)
		if !known {
			return member{memberRefused, "the worker is not in the VM list"}
		}
		confirmation, err := e.confirm(ctx)
		if err == nil {
			m = e.sendStart(ctx, address, startTask(job, placement, confirmation.RequestedAt.Add(e.cfg.ZoneConfirmation), expires), confirmation, m)
			if m.status != memberUnanswered && m.status != memberUnsent {
				return m
			}
		}
		wait(ctx, nil, retryInterval)
	}
	return m
}

func startTask(job api.Job, placement api.TaskPlacement, startBefore, expires time.Time) api.StartTask {
	accelerators := placement.Accelerators
	if accelerators == nil {
		accelerators = []int{}
	}
	var checkpoint api.TaskCheckpoint
	for _, c := range job.Checkpoints {
		if c.Index == placement.Index {
			checkpoint = c
		}
	}
	return api.StartTask{
		TaskID: jobs.TaskID(job.ID, job.Attempt, placement.Index), JobID: job.ID, Attempt: job.Attempt, Index: placement.Index,
		Resources: job.Spec.Resources, Accelerators: accelerators, Held: true,
		StartBeforeMs: startBefore.UnixMilli(), LeaseExpiresMs: expires.UnixMilli(),
		CheckpointObject: checkpoint.Object, ProgressMs: checkpoint.ProgressMs,
		RunTimeS: job.Spec.RunTimeS, Parameters: job.Spec.Parameters,
	}
}

func (e *Executor) sendStart(ctx context.Context, address string, task api.StartTask, c configuration.Confirmation, previous member) member {
	if e.checkConfirmation(c) != nil {
		return previous
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.cfg.Workers.Start(callCtx, address, task)
	e.cfg.Scope.Counter("start_calls").Inc(1)
	switch {
	case err != nil:
		return member{memberUnanswered, "no answer to the start: " + err.Error()}
	case reply.Task != nil && reply.Task.State == api.TaskStateEnded:
		return endedMember(*reply.Task)
	case reply.Accepted || reply.Task != nil:
		return member{memberStarted, ""}
	}
	return member{memberRefused, reply.Reason}
}

func endedMember(t api.TaskReport) member {
	switch t.Exit {
	case api.TaskExitSucceeded:
		return member{memberStarted, ""}
	case api.TaskExitFailed:
		return member{memberFailed, t.Reason}
	}
	return member{memberRefused, "the task has ended: " + string(t.Exit) + " " + t.Reason}
}

func allUnsent(members []member) bool {
	for _, m := range members {
		if m.status != memberUnsent {
			return false
		}
	}
	return true
}

// blamedMember returns the index of the member to which the failed start is
// attributed, and false if all have started. A member whose worker answered takes
// precedence over one without an answer, which may only have waited for the member
// that failed.
func blamedMember(members []member) (int, bool) {
	for _, status := range []memberStatus{memberFailed, memberRefused, memberUnanswered, memberUnsent} {
		for i, m := range members {
			if m.status == status {
				return i, true
			}
		}
	}
	return 0, false
}

// failStart commits the end of the attempt. The stop operation then stops the
// members.
func (e *Executor) failStart(ctx context.Context, job api.Job, placement api.TaskPlacement, m member) {
	worker := placement.Worker
	if m.status == memberUnsent {
		worker = "" // the zone could not be confirmed; no worker is at fault
	} else {
		e.cfg.Directory.RequestReport(worker)
	}
	e.cfg.Scope.Counter("start_failures").Inc(1)
	e.cfg.Log.Warn("Start of the job failed.", zap.String("job", job.ID), zap.String("worker", worker), zap.String("reason", m.reason))
	stopReason, failure := jobs.StopStartFailed, jobs.NotStarted(job, worker, m.reason, time.Now())
	if m.status == memberFailed {
		stopReason, failure = jobs.StopTaskFailed, jobs.TaskFailed(job, worker, m.reason, time.Now())
	}
	e.transition(ctx, job, func(j api.Job) (api.Job, error) {
		return jobs.BeginStop(j, stopReason, withWorker(worker, m.reason), &failure)
	})
}

// withWorker prefixes the reason with the name of the worker, if there is one.
func withWorker(worker, reason string) string {
	if worker == "" {
		return reason
	}
	return "worker " + worker + ": " + reason
}

// releaseStatus is the result of releasing a gang.
type releaseStatus int

const (
	releaseUnsent         releaseStatus = iota // no release was sent, because the zone could not be confirmed
	releaseUnacknowledged                      // a member did not acknowledge in time
	releaseDone                                // all members run or have ended
)

// release releases all held members. If a member does not acknowledge the release
// within StartWait, release returns the index of that member in the placement. The
// caller stops a gang of which only a part could be released.
func (e *Executor) release(ctx context.Context, job api.Job) (int, releaseStatus) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.StartWait)
	defer cancel()
	released, status := make([]bool, len(job.Placement)), releaseUnsent
	if e.releaseLimiter.Wait(ctx) != nil {
		return 0, releaseUnsent
	}
	reserveRemaining(e.releaseLimiter, job)
	for {
		if confirmation, err := e.confirm(ctx); err == nil {
			reports, sent := e.releaseAll(ctx, job, confirmation)
			if sent {
				status = releaseUnacknowledged
			}
			for i, placement := range job.Placement {
				r, ok := reports[placement.Index]
				released[i] = released[i] || ok && (r.State == api.TaskStateRunning || r.State == api.TaskStateEnded)
			}
		}
		unreleased := slices.Index(released, false)
		if unreleased < 0 {
			return 0, releaseDone
		}
		if ctx.Err() != nil || !e.isCurrent(job) {
			return unreleased, status
		}
		wait(ctx, nil, retryInterval)
	}
}
