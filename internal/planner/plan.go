package planner

import (
	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Compute returns the plan for a snapshot. It is deterministic, does no I/O and
// does not change the snapshot.
//
// Jobs that fit inside the guarantee of their organisation are placed first and
// preempt borrowers in their reservation if necessary. All other jobs are
// borrowers: they take free capacity in the order of urgency, fair share and
// age, and prefer capacity outside unused reservations. A job whose tasks are
// smaller than those of its guaranteed shape also borrows while unreserved
// capacity is free, so that small tasks do not fragment the reservation.
func Compute(snapshot Snapshot) Plan {
	if snapshot.ZoneState == api.Out {
		return planZoneOut(&snapshot)
	}
	r := newRound(&snapshot)
	waiting := r.admit()
	r.reserve(waiting)
	r.preemptLeaving()
	for _, w := range waiting {
		r.placeCovered(w)
	}
	r.eachInOrder(waiting, r.borrow)
	return r.plan
}

// planZoneOut preempts all running jobs and places none.
func planZoneOut(s *Snapshot) Plan {
	plan := Plan{Reasons: make(map[string]string)}
	for i := range s.Jobs {
		job := &s.Jobs[i]
		switch job.State {
		case api.JobStatePlaced, api.JobStateRunning:
			plan.Preemptions = append(plan.Preemptions, Preemption{
				JobID: job.ID, Reason: PreemptionZoneOut,
				Detail: "Zone " + s.Zone + " has been taken out of service.",
			})
		case api.JobStateWaiting:
			plan.Reasons[job.ID] = "Zone " + s.Zone + " is out of service; the job starts when operators bring it back."
		}
	}
	return plan
}

// waitingJob is a job that the round tries to place.
type waitingJob struct {
	job          *api.Job
	gang         packing.Gang
	key          gangKey
	rank         int
	overdue      bool // has waited for holdAfter; goes first within its rank, may get a backfill hold
	done         bool // placed, or capacity is held for it
	borrowsFirst bool // could be covered, but borrows if unreserved capacity is free
}

// gangKey identifies equal gangs, so that a gang which did not fit once in a
// round is not tried again.
type gangKey struct {
	tasks     int
	resources api.Resources
	adjacency api.Adjacency
	model     string
}

func newWaitingJob(r *round, job *api.Job) *waitingJob {
	gang := packing.Gang{
		Tasks: job.Spec.Tasks, Resources: job.Spec.Resources,
		Adjacency: job.Adjacency, Model: job.AcceleratorModel,
	}
	return &waitingJob{
		job: job, gang: gang, rank: r.rank(job), overdue: r.waited(job) >= holdAfter,
		key: gangKey{gang.Tasks, gang.Resources, gang.Adjacency, gang.Model},
	}
}

// accelerators returns the number of accelerators of all tasks.
func (w *waitingJob) accelerators() int { return w.gang.Tasks * w.gang.Resources.Accelerators }

// place records the placement of a job and takes its capacity.
func (r *round) place(w *waitingJob, assignments []packing.Assignment, covered bool) {
	r.take(w, assignments)
	r.usage.add(w.job.Organisation, w.job.Spec.Team, w.accelerators())
	r.plan.Placements = append(r.plan.Placements, Placement{JobID: w.job.ID, Tasks: r.taskPlacements(assignments), Covered: covered})
	w.done = true
}

func (r *round) taskPlacements(assignments []packing.Assignment) []api.TaskPlacement {
	out := make([]api.TaskPlacement, len(assignments))
	for i, a := range assignments {
		out[i] = api.TaskPlacement{Index: i, Worker: r.snapshot.Workers[a.Worker].ID, Accelerators: a.Accelerators.Indices()}
	}
	return out
}

// take subtracts a placement from all capacity that later jobs may use.
func (r *round) take(w *waitingJob, assignments []packing.Assignment) {
	for _, a := range assignments {
		taken := packing.CapacityOf(w.gang.Resources, 1, a.Accelerators)
		r.free[a.Worker] = r.free[a.Worker].Sub(taken)
		r.futureFree[a.Worker] = r.futureFree[a.Worker].Sub(taken)
		r.unreserved[a.Worker] = r.unreserved[a.Worker].Sub(taken)
		r.usable[a.Worker] = r.usable[a.Worker].Sub(taken)
	}
}

// holdFor takes capacity for a job that starts in a later round, when the
// jobs that hold this capacity have stopped.
func (r *round) holdFor(w *waitingJob, assignments []packing.Assignment) {
	r.take(w, assignments)
	r.usage.add(w.job.Organisation, w.job.Spec.Team, w.accelerators())
	w.done = true
}

func (r *round) setReason(w *waitingJob, reason string) { r.plan.Reasons[w.job.ID] = reason }
