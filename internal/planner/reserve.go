package planner

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// reserve computes the reservations of the zone and their unused parts.
func (r *round) reserve(waiting []*waitingJob) {
	covered := r.coveredPlacements()
	running := len(covered)
	covered = append(covered, r.pendingReclaims(waiting)...)
	r.reservations = reservationState{workers: r.reservableWorkers(), guarantees: r.guarantees(waiting), covered: covered}
	result := guarantee.Reserve(r.reservations.workers, r.reservations.guarantees, covered)
	r.reservations.result = result
	r.reservations.covered = slices.DeleteFunc(slices.Clone(covered), func(c guarantee.CoveredPlacement) bool {
		return slices.Contains(result.Demoted, c.JobID)
	})
	for i, c := range covered {
		demoted := slices.Contains(result.Demoted, c.JobID)
		switch {
		case i >= running && !demoted:
			r.pending[c.JobID] = c.Tasks
		case i < running && demoted:
			r.plan.Demoted = append(r.plan.Demoted, c.JobID)
		case i < running:
			r.active[r.byJob[c.JobID]].covered = true
		}
	}
	r.useReservations(result)
}

// pendingReclaims lists the placements for which the previous plan began to
// reclaim capacity, for the jobs that still wait.
func (r *round) pendingReclaims(waiting []*waitingJob) []guarantee.CoveredPlacement {
	var out []guarantee.CoveredPlacement
	for _, p := range r.snapshot.Pending {
		i := slices.IndexFunc(waiting, func(w *waitingJob) bool { return w.job.ID == p.JobID })
		if i < 0 || len(p.Tasks) != waiting[i].gang.Tasks || !r.allLive(p.Tasks) {
			continue
		}
		out = append(out, waiting[i].coveredPlacement(p.Tasks))
	}
	return out
}

func (r *round) allLive(tasks []api.TaskPlacement) bool {
	for _, t := range tasks {
		if worker, ok := r.index[t.Worker]; !ok || r.snapshot.Workers[worker].State != WorkerLive {
			return false
		}
	}
	return true
}

func (w *waitingJob) coveredPlacement(tasks []api.TaskPlacement) guarantee.CoveredPlacement {
	return guarantee.CoveredPlacement{
		JobID: w.job.ID, Organisation: w.job.Organisation, Resources: w.gang.Resources,
		Adjacency: w.gang.Adjacency, Tasks: tasks,
	}
}

// useReservations makes the reservations of a result those of the plan.
func (r *round) useReservations(result guarantee.Result) {
	r.setUnused(result.Reservations, r.reservations.covered)
	r.unreservedValid = false
	r.plan.Reservations, r.plan.Shortfalls = nil, nil
	r.addToPlan(result)
}

// reservationState holds the input and the result of the current reservations,
// to check further covered placements against them.
type reservationState struct {
	workers    []guarantee.Worker
	guarantees []guarantee.Guarantee
	covered    []guarantee.CoveredPlacement
	result     guarantee.Result
}

// tryCover reports whether the job can be covered on a placement inside a
// reservation without increasing a shortfall or demoting a covered job. If so, it
// adds the placement to the reservation state.
func (r *round) tryCover(w *waitingJob, unused *unusedReservation, assignments []packing.Assignment) bool {
	state := &r.reservations
	covered := append(slices.Clone(state.covered), w.coveredPlacement(r.taskPlacements(assignments)))
	allUnused := r.unused[w.job.Organisation]
	if unused == allUnused.candidates(w)[0] {
		// The job uses the shape that it prefers, so the reservations stay as they
		// are.
		for _, a := range assignments {
			r.unreservedValid = false
			allUnused.take(a.Worker, packing.CapacityOf(w.gang.Resources, 1, a.Accelerators))
		}
		state.covered = covered
		return true
	}
	result := guarantee.Reserve(state.workers, state.guarantees, covered)
	if result.WorseThan(state.result) || len(result.Demoted) > 0 {
		return false
	}
	state.covered, state.result = covered, result
	r.useReservations(result)
	return true
}

// guarantees lists the shapes of the zone. Organisations whose jobs wait for
// their guarantee come in the order of these jobs, so that capacity which is
// reclaimed step by step is not reserved for another organisation meanwhile.
func (r *round) guarantees(waiting []*waitingJob) []guarantee.Guarantee {
	out := guarantee.ForZone(r.snapshot.Catalogue, r.snapshot.Zone)
	order := make(map[string]int)
	for _, w := range waiting {
		o := w.job.Organisation
		if order[o] == 0 && slices.ContainsFunc(out, func(g guarantee.Guarantee) bool { return couldCover(g, w) }) {
			order[o] = len(order) + 1
		}
	}
	for i := range out {
		out[i].WaitOrder = order[out[i].Organisation]
	}
	return out
}

// couldCover reports whether a guarantee belongs to the organisation of a job and
// has at least as many accelerators as one task of the job needs.
func couldCover(g guarantee.Guarantee, w *waitingJob) bool {
	return g.Organisation == w.job.Organisation &&
		w.gang.Resources.Accelerators <= g.Shape.Tasks*g.Shape.Resources.Accelerators
}

// coveredPlacements lists the covered placements, the oldest first. Jobs that
// lose a worker are left out: they end, and cannot be inside a reservation.
func (r *round) coveredPlacements() []guarantee.CoveredPlacement {
	var out []guarantee.CoveredPlacement
	for i := range r.active {
		a := &r.active[i]
		if !a.job.Covered {
			continue
		}
		losesWorker := len(a.allocations) < len(a.job.Placement)
		for _, held := range a.allocations {
			losesWorker = losesWorker || r.snapshot.Workers[held.worker].State == WorkerLeaving
		}
		if !losesWorker {
			out = append(out, guarantee.CoveredPlacement{
				JobID: a.job.ID, Organisation: a.job.Organisation,
				Resources: a.job.Spec.Resources, Adjacency: a.job.Adjacency, Tasks: a.job.Placement,
			})
		}
	}
	slices.SortStableFunc(out, func(x, y guarantee.CoveredPlacement) int {
		a, b := r.active[r.byJob[x.JobID]].job, r.active[r.byJob[y.JobID]].job
		return cmp.Or(cmp.Compare(a.PlacedMs, b.PlacedMs), compareAge(a, b))
	})
	return out
}

// reservableWorkers lists the workers on which reservations may lie.
func (r *round) reservableWorkers() []guarantee.Worker {
	out := make([]guarantee.Worker, 0, len(r.snapshot.Workers))
	for i := range r.snapshot.Workers {
		worker := &r.snapshot.Workers[i]
		if worker.State == WorkerLeaving {
			continue
		}
		g := guarantee.Worker{
			ID: worker.ID, Rack: worker.Rack, AcceleratorModel: worker.AcceleratorModel,
			Usable: r.usable[i], Free: r.free[i], FutureFree: r.futureFree[i], Loss: r.loss[i],
		}
		if worker.State != WorkerLive {
			g.Usable, g.Unschedulable = r.total[i], true
		}
		out = append(out, g)
	}
	return out
}

// addToPlan copies reservations and shortfalls to the plan.
func (r *round) addToPlan(result guarantee.Result) {
	for _, res := range result.Reservations {
		if len(res.Tasks) > 0 {
			r.plan.Reservations = append(r.plan.Reservations, Reservation{
				Organisation: res.Guarantee.Organisation, Tasks: res.Tasks, Shape: res.Guarantee.Shape,
			})
		}
	}
	for _, s := range result.Shortfalls {
		r.plan.Shortfalls = append(r.plan.Shortfalls, Shortfall{
			Organisation: s.Guarantee.Organisation, MissingTasks: s.MissingTasks,
			MissingAccelerators: s.MissingAccelerators, Reason: s.Reason, Shape: s.Guarantee.Shape,
		})
	}
}

// computeUnreserved subtracts the unused reservations from the free capacity.
func (r *round) computeUnreserved() {
	copy(r.unreserved, r.free)
	for _, o := range r.snapshot.Catalogue.Organisations {
		unused := r.unused[o.Name]
		if unused == nil {
			continue
		}
		for _, part := range unused.allocations {
			r.unreserved[part.worker] = r.unreserved[part.worker].Sub(part.capacity)
		}
	}
}

// guaranteedAccelerators returns the accelerators guaranteed to an organisation
// in the zone.
func guaranteedAccelerators(o *api.Organisation, zone string) (n int) {
	for _, s := range o.Guarantees {
		if s.Zone == zone {
			n += s.Tasks * s.Resources.Accelerators
		}
	}
	return n
}
