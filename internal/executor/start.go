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

// memberStatus tells what became of the start of one member.
type memberStatus int

const (
	memberUnsent  memberStatus = iota // no start was sent
	memberOpen                        // sent without an answer
	memberStarted                     // held, running or ended in success
	memberRefused                     // the worker refused the start
	memberFailed                      // the task ended in failure
)

type member struct {
	status memberStatus
	reason string
}

// confirm returns a confirmation that the zone is in service and that may be
// used for a start now.
func (e *Executor) confirm(ctx context.Context) (configuration.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Half the age leaves the rest for the start to reach the worker.
	c, err := e.cfg.View.ConfirmZone(ctx, e.cfg.Zone, e.cfg.ZoneConfirmation/2)
	if err != nil {
		return c, eris.Wrap(err, "the state of the zone cannot be confirmed")
	}
	return c, e.usable(c)
}

// usable is checked right before a start is sent.
func (e *Executor) usable(c configuration.Confirmation) error {
	if c.State != api.In {
		return eris.New("the zone is out of service")
	}
	if c.Zone != "" && c.Zone != e.cfg.Zone {
		return eris.Errorf("the confirmation is for zone %s", c.Zone)
	}
	if age := time.Since(c.Requested); age >= e.cfg.ZoneConfirmation {
		return eris.Errorf("the confirmation of the zone is %s old", age)
	}
	if !e.cfg.Leading() {
		return eris.New("this daemon does not plan for the zone")
	}
	return nil
}

// start starts all members held, releases them, and commits the running state.
func (e *Executor) start(ctx context.Context, row *jobs.Row) {
	job := row.Job
	ctx, span := e.cfg.Tracer.Start(ctx, "job start", trace.WithAttributes(attribute.String("job", job.ID), attribute.Int("attempt", job.Attempt)))
	defer span.End()
	members := e.startMembers(ctx, job)
	if ctx.Err() != nil {
		return // the row has moved on, or another daemon resumes it
	}
	if allUnsent(members) {
		return // nothing was sent for lack of a confirmation; tried again later
	}
	if i, ok := firstNotStarted(members); ok {
		e.startFailed(ctx, job, job.Placement[i], members[i])
		return
	}
	if i, status := e.release(ctx, job); status != releaseDone {
		// Held members wait for the next try; nothing of the gang runs.
		if status == releaseOpen && ctx.Err() == nil {
			e.startFailed(ctx, job, job.Placement[i], member{memberOpen, "did not acknowledge the release"})
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
	// One expiry for all members: none is to outlive the others.
	expires := time.Now().Add(e.cfg.TaskLease)
	var group sync.WaitGroup
	for i, place := range job.Placement {
		group.Go(func() { members[i] = e.startMember(ctx, job, place, expires) })
	}
	group.Wait()
	return members
}

// startMember repeats the start of one member until it is answered or ctx ends.
func (e *Executor) startMember(ctx context.Context, job api.Job, place api.TaskPlacement, expires time.Time) member {
	m := member{memberUnsent, "the state of the zone could not be confirmed"}
	for ctx.Err() == nil && e.still(job) {
		address, known := e.cfg.Directory.Address(place.Worker)
		if !known {
			return member{memberRefused, "the worker is not in the VM list"}
		}
		confirmation, err := e.confirm(ctx)
		if err == nil {
			m = e.sendStart(ctx, address, startTask(job, place, confirmation.Requested.Add(e.cfg.ZoneConfirmation), expires), confirmation, m)
			if m.status != memberOpen && m.status != memberUnsent {
				return m
			}
		}
		wait(ctx, nil, retryPause)
	}
	return m
}

func startTask(job api.Job, place api.TaskPlacement, before, expires time.Time) api.StartTask {
	accelerators := place.Accelerators
	if accelerators == nil {
		accelerators = []int{}
	}
	var from api.TaskCheckpoint
	for _, c := range job.Checkpoints {
		if c.Index == place.Index {
			from = c
		}
	}
	return api.StartTask{
		TaskID: jobs.TaskID(job.ID, job.Attempt, place.Index), JobID: job.ID, Attempt: job.Attempt, Index: place.Index,
		Resources: job.Spec.Resources, Accelerators: accelerators, Held: true,
		StartBeforeMs: before.UnixMilli(), LeaseExpiresMs: expires.UnixMilli(),
		CheckpointObject: from.Object, ProgressMs: from.ProgressMs,
		RunTimeS: job.Spec.RunTimeS, Parameters: job.Spec.Parameters,
	}
}

func (e *Executor) sendStart(ctx context.Context, address string, task api.StartTask, c configuration.Confirmation, before member) member {
	if e.usable(c) != nil {
		return before
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.cfg.Workers.Start(call, address, task)
	e.cfg.Scope.Counter("start_calls").Inc(1)
	switch {
	case err != nil:
		return member{memberOpen, "no answer to the start: " + err.Error()}
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

// firstNotStarted returns the member to blame: one that answered before one that
// did not, because the latter may only have waited for the former.
func firstNotStarted(members []member) (int, bool) {
	for _, status := range []memberStatus{memberFailed, memberRefused, memberOpen, memberUnsent} {
		for i, m := range members {
			if m.status == status {
				return i, true
			}
		}
	}
	return 0, false
}

// startFailed ends the attempt; the stop operation ends the members.
func (e *Executor) startFailed(ctx context.Context, job api.Job, place api.TaskPlacement, m member) {
	worker := place.Worker
	if m.status == memberUnsent {
		worker = "" // the zone could not be confirmed, which is no worker's fault
	} else {
		e.cfg.Directory.RequestReport(worker)
	}
	e.cfg.Scope.Counter("start_failures").Inc(1)
	e.cfg.Log.Warn("Job did not start.", zap.String("job", job.ID), zap.String("worker", worker), zap.String("reason", m.reason))
	stopReason, failure := jobs.StopStartFailed, jobs.NotStarted(job, worker, m.reason, time.Now())
	if m.status == memberFailed {
		stopReason, failure = jobs.StopTaskFailed, jobs.TaskFailed(job, worker, m.reason, time.Now())
	}
	e.transition(ctx, job, func(j api.Job) (api.Job, error) {
		return jobs.BeginStop(j, stopReason, describe(worker, m.reason), &failure)
	})
}

func describe(worker, reason string) string {
	if worker == "" {
		return reason
	}
	return "worker " + worker + ": " + reason
}

// releaseStatus tells what became of the release of a gang.
type releaseStatus int

const (
	releaseUnsent releaseStatus = iota // no release was sent for lack of a confirmation
	releaseOpen                        // a member did not acknowledge in time
	releaseDone                        // all members run or have ended
)

// release lets all members run. It returns the placement index of a member that
// did not acknowledge within the wait for a start. Members of which a part has
// been released and the rest cannot be are left to the stop of the gang.
func (e *Executor) release(ctx context.Context, job api.Job) (int, releaseStatus) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.StartWait)
	defer cancel()
	released, status := make([]bool, len(job.Placement)), releaseUnsent
	if e.releases.Wait(ctx) != nil {
		return 0, releaseUnsent
	}
	chargeRest(e.releases, job)
	for {
		if confirmation, err := e.confirm(ctx); err == nil {
			reports, sent := e.releaseAll(ctx, job, confirmation)
			if sent {
				status = releaseOpen
			}
			for i, place := range job.Placement {
				r, ok := reports[place.Index]
				released[i] = released[i] || ok && (r.State == api.TaskStateRunning || r.State == api.TaskStateEnded)
			}
		}
		missing := slices.Index(released, false)
		if missing < 0 {
			return 0, releaseDone
		}
		if ctx.Err() != nil || !e.still(job) {
			return missing, status
		}
		wait(ctx, nil, retryPause)
	}
}
