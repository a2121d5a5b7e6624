package planner

import (
	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Compute returns the plan for a snapshot. It is deterministic, does no I/O and
// does not change the snapshot.
//
// The jobs that fit inside the guarantee of their organisation are placed
// first, and preempt borrowers in their reservation if they must. The others
// are borrowers: they take free places in the order of urgency, fairness and
// age, and prefer places outside unused reservations. A job whose
// tasks are smaller than those of its guaranteed shape borrows as well while
// unreserved places are free, so that small tasks do not break the places of
// large ones.
func Compute(snapshot Snapshot) Plan {
	if snapshot.ZoneState == api.Out {
		return planZoneOut(&snapshot)
	}
	r := newRound(&snapshot)
	waiting := r.admit()
	r.reserve(waiting)
	r.preemptLeaving()
	for _, w := range waiting {
		r.cover(w)
	}
	r.eachFair(waiting, r.borrow)
	return r.plan
}

// planZoneOut stops all that runs and places nothing.
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
	job      *api.Job
	need     packing.Gang
	key      needKey
	rank     int
	overdue  bool // has waited so long that it gets a backfill hold
	done     bool // placed, or places are held for it
	deferred bool // may be covered, but borrows if it can
}

// needKey identifies equal needs, so that a need which failed once in a round
// is not tried again.
type needKey struct {
	tasks     int
	resources api.Resources
	adjacency api.Adjacency
	model     string
}

func newWaitingJob(r *round, job *api.Job) *waitingJob {
	need := packing.Gang{
		Tasks: job.Spec.Tasks, Resources: job.Spec.Resources,
		Adjacency: job.Adjacency, Model: job.AcceleratorModel,
	}
	return &waitingJob{
		job: job, need: need, rank: r.rank(job), overdue: r.waited(job) >= holdAfter,
		key: needKey{need.Tasks, need.Resources, need.Adjacency, need.Model},
	}
}

// accelerators is what the whole gang takes.
func (w *waitingJob) accelerators() int { return w.need.Tasks * w.need.Resources.Accelerators }

// place records the placement of a job and takes its places.
func (r *round) place(w *waitingJob, places []packing.Assignment, covered bool) {
	r.take(w, places)
	r.usage.add(w.job.Organisation, w.job.Spec.Team, w.accelerators())
	r.plan.Placements = append(r.plan.Placements, Placement{JobID: w.job.ID, Tasks: r.tasks(places), Covered: covered})
	w.done = true
}

func (r *round) tasks(places []packing.Assignment) []api.TaskPlacement {
	out := make([]api.TaskPlacement, len(places))
	for i, a := range places {
		out[i] = api.TaskPlacement{Index: i, Worker: r.s.Workers[a.Worker].ID, Accelerators: a.Accelerators.Indices()}
	}
	return out
}

// take removes places from everything that later jobs may use.
func (r *round) take(w *waitingJob, places []packing.Assignment) {
	for _, a := range places {
		room := packing.CapacityOf(w.need.Resources, 1, a.Accelerators)
		r.free[a.Worker] = r.free[a.Worker].Sub(room)
		r.ending[a.Worker] = r.ending[a.Worker].Sub(room)
		r.outside[a.Worker] = r.outside[a.Worker].Sub(room)
		r.base[a.Worker] = r.base[a.Worker].Sub(room)
	}
}

// hold keeps places for a job that starts in a later round, when those that
// occupy them have stopped.
func (r *round) hold(w *waitingJob, places []packing.Assignment) {
	r.take(w, places)
	r.usage.add(w.job.Organisation, w.job.Spec.Team, w.accelerators())
	w.done = true
}

func (r *round) wait(w *waitingJob, reason string) { r.plan.Reasons[w.job.ID] = reason }
