package planner

import (
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

const (
	// A job that has failed on maxFailingWorkers different workers is refused.
	maxFailingWorkers = 3
	// defaultMaxTasks is the largest gang if the entry sets no limit.
	defaultMaxTasks = 32
)

// admit returns the waiting jobs in planning order. Jobs that can never run are
// left out: they are refused, or get a reason if another zone may run them.
func (r *round) admit() []*waitingJob {
	var waiting []*waitingJob
	for i := range r.snapshot.Jobs {
		job := &r.snapshot.Jobs[i]
		if job.State != api.JobStateWaiting || !r.allowedHere(job) {
			continue
		}
		if job.CancelRequested {
			r.plan.Reasons[job.ID] = "The job has been cancelled and is about to end."
			continue
		}
		if reason := r.infeasibleAnywhere(job); reason != "" {
			r.refuse(job, reason)
			continue
		}
		w := newWaitingJob(r, job)
		if reason := r.infeasibleHere(w); reason != "" {
			if r.allowedOnlyHere(job) {
				r.refuse(job, reason)
			} else {
				r.plan.Reasons[job.ID] = reason + " It can start in another zone only."
			}
			continue
		}
		w.gang.Avoid = r.workersToAvoid(w)
		waiting = append(waiting, w)
	}
	slices.SortFunc(waiting, compareWaiting)
	return waiting
}

func (r *round) refuse(job *api.Job, reason string) {
	r.plan.Refusals = append(r.plan.Refusals, Refusal{JobID: job.ID, Reason: reason})
}

func (r *round) allowedHere(job *api.Job) bool {
	return len(job.Spec.Zones) == 0 || slices.Contains(job.Spec.Zones, r.snapshot.Zone)
}

// allowedOnlyHere reports whether no other zone may run the job.
func (r *round) allowedOnlyHere(job *api.Job) bool {
	return len(job.Spec.Zones) == 1 && job.Spec.Zones[0] == r.snapshot.Zone
}

// infeasibleAnywhere returns why the job can run in no zone, because of its
// failures, the limits of its entry or its quotas, or an empty string.
func (r *round) infeasibleAnywhere(job *api.Job) string {
	if failed := r.failedWorkers(job); len(failed) >= maxFailingWorkers {
		last := job.Failures[len(job.Failures)-1]
		return fmt.Sprintf("The job failed on %d different workers and is not tried again; the last failure was on %s: %s.",
			len(failed), last.Worker, last.Reason)
	}
	if reason := r.overLimits(job); reason != "" {
		return reason
	}
	return r.usage.infeasibleReason(job)
}

// overLimits returns which limit of its catalogue entry the job exceeds, or an
// empty string. An entry that has been removed sets no limits, since the job
// was accepted under it.
func (r *round) overLimits(job *api.Job) string {
	if job.Spec.Tasks <= 0 {
		return "The job has no tasks."
	}
	e := r.entries[job.Spec.Entry]
	if e == nil {
		return ""
	}
	limit := e.Limits.MaxTasks
	if limit == 0 {
		limit = defaultMaxTasks
	}
	if job.Spec.Tasks > limit {
		return fmt.Sprintf("The job has %d tasks; entry %s allows %d.", job.Spec.Tasks, e.Name, limit)
	}
	n := job.Spec.Tasks * job.Spec.Resources.Accelerators
	if e.Limits.MaxAccelerators > 0 && n > e.Limits.MaxAccelerators {
		return fmt.Sprintf("The job needs %s; entry %s allows %d.",
			packing.Count(n, "accelerator"), e.Name, e.Limits.MaxAccelerators)
	}
	if e.Limits.MaxRunS > 0 && job.Spec.RunTimeS > e.Limits.MaxRunS {
		return fmt.Sprintf("The job declares %d s of run time; entry %s allows %d s.",
			job.Spec.RunTimeS, e.Name, e.Limits.MaxRunS)
	}
	return ""
}

// failedWorkers lists the different workers on which the job failed.
// Quarantined workers are left out: they fail every task, so the job is not the
// cause.
func (r *round) failedWorkers(job *api.Job) []string {
	var out []string
	for _, f := range job.Failures {
		if f.Worker == "" || slices.Contains(out, f.Worker) {
			continue
		}
		if i, ok := r.index[f.Worker]; ok && r.snapshot.Workers[i].State == WorkerQuarantined {
			continue
		}
		out = append(out, f.Worker)
	}
	return out
}

// infeasibleHere returns why the zone could not hold the job even if it were
// empty and all its workers were live, or an empty string.
func (r *round) infeasibleHere(w *waitingJob) string {
	if r.snapshot.Incomplete || len(r.snapshot.Workers) == 0 {
		return ""
	}
	for i := range r.snapshot.Workers {
		if r.total[i] == (packing.Capacity{}) {
			return "" // a worker that has not reported yet might hold it
		}
	}
	if r.fitsEmpty(w, nil) {
		return ""
	}
	text := packing.Describe(w.gang.Tasks, w.gang.Resources, w.gang.Adjacency, w.gang.Model)
	single := *w
	single.gang.Tasks, single.key.tasks = 1, 1
	if !r.fitsEmpty(&single, nil) {
		return fmt.Sprintf("The job needs %s, and no worker of zone %s could hold one such task (%d cores, %d MiB).",
			text, r.snapshot.Zone, w.gang.Resources.Cores, w.gang.Resources.MemoryMb)
	}
	return fmt.Sprintf("The job needs %s; that is more than zone %s has even when it is empty.", text, r.snapshot.Zone)
}

func (r *round) fitsEmpty(w *waitingJob, avoid []int) bool {
	if avoid == nil && r.feasibleGangs[w.key] {
		return true
	}
	gang := w.gang
	gang.Avoid = avoid
	ok := r.packer.Fits(packing.Query{Gang: gang, Available: r.total, Candidates: r.topology.AllWorkers})
	if avoid == nil && ok {
		r.feasibleGangs[w.key] = true
	}
	return ok
}

// workersToAvoid lists the workers on which the job has failed, or none if the
// zone could not hold the job without them.
func (r *round) workersToAvoid(w *waitingJob) []int {
	if len(w.job.Failures) == 0 {
		return nil
	}
	var out []int
	for _, f := range w.job.Failures {
		if i, ok := r.index[f.Worker]; ok && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	if len(out) == 0 || !r.fitsEmpty(w, out) {
		return nil
	}
	return out
}
