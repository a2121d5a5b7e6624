package planner

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// reserve computes the reservations of the zone and what is left of them.
func (r *round) reserve(waiting []*waitingJob) {
	covered := r.covered()
	running := len(covered)
	covered = append(covered, r.reclaimed(waiting)...)
	r.promise = promise{workers: r.reservable(), guarantees: r.guarantees(waiting), covered: covered}
	result := guarantee.Reserve(r.promise.workers, r.promise.guarantees, covered)
	r.promise.result = result
	r.promise.covered = slices.DeleteFunc(slices.Clone(covered), func(c guarantee.CoveredPlacement) bool {
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
	r.adopt(result)
}

// reclaimed lists the places that the previous plan began to reclaim for jobs
// that still wait.
func (r *round) reclaimed(waiting []*waitingJob) []guarantee.CoveredPlacement {
	var out []guarantee.CoveredPlacement
	for _, p := range r.s.Pending {
		i := slices.IndexFunc(waiting, func(w *waitingJob) bool { return w.job.ID == p.JobID })
		if i < 0 || len(p.Tasks) != waiting[i].need.Tasks || !r.allOpen(p.Tasks) {
			continue
		}
		out = append(out, waiting[i].covered(p.Tasks))
	}
	return out
}

func (r *round) allOpen(tasks []api.TaskPlacement) bool {
	for _, t := range tasks {
		if w, ok := r.index[t.Worker]; !ok || r.s.Workers[w].State != WorkerLive {
			return false
		}
	}
	return true
}

func (w *waitingJob) covered(tasks []api.TaskPlacement) guarantee.CoveredPlacement {
	return guarantee.CoveredPlacement{
		JobID: w.job.ID, Organisation: w.job.Organisation, Resources: w.need.Resources,
		Adjacency: w.need.Adjacency, Tasks: tasks,
	}
}

// adopt makes reservations those of the plan.
func (r *round) adopt(result guarantee.Result) {
	r.setAreas(result.Reservations, r.promise.covered)
	r.outsideKnown = false
	r.plan.Reservations, r.plan.Shortfalls = nil, nil
	r.publish(result)
}

// promise is the input of the reservations, to check further covered placements.
type promise struct {
	workers    []guarantee.Worker
	guarantees []guarantee.Guarantee
	covered    []guarantee.CoveredPlacement
	result     guarantee.Result
}

// keeps tells whether all guarantees can be kept as before if the job is
// covered on the places of an area, and if so takes the job into account.
func (r *round) keeps(w *waitingJob, a *area, places []packing.Assignment) bool {
	p := &r.promise
	covered := append(slices.Clone(p.covered), w.covered(r.tasks(places)))
	organisation := r.areas[w.job.Organisation]
	if a == organisation.options(w)[0] {
		// The job lies inside the shape that it should use, so that the
		// reservations stay as they are.
		for _, t := range places {
			r.outsideKnown = false
			organisation.take(t.Worker, packing.CapacityOf(w.need.Resources, 1, t.Accelerators))
		}
		p.covered = covered
		return true
	}
	result := guarantee.Reserve(p.workers, p.guarantees, covered)
	if result.WorseThan(p.result) || len(result.Demoted) > 0 {
		return false
	}
	p.covered, p.result = covered, result
	r.adopt(result)
	return true
}

// guarantees lists the shapes of the zone. Organisations whose jobs wait for
// their guarantee take turns in the order of these jobs, so that places which
// are reclaimed one after the other are not reserved for somebody else meanwhile.
func (r *round) guarantees(waiting []*waitingJob) []guarantee.Guarantee {
	out := guarantee.ForZone(r.s.Catalogue, r.s.Zone)
	turns := make(map[string]int)
	for _, w := range waiting {
		o := w.job.Organisation
		if turns[o] == 0 && slices.ContainsFunc(out, func(g guarantee.Guarantee) bool { return mayCover(g, w) }) {
			turns[o] = len(turns) + 1
		}
	}
	for i := range out {
		out[i].WaitOrder = turns[out[i].Organisation]
	}
	return out
}

// mayCover tells whether a job could be covered by a shape.
func mayCover(g guarantee.Guarantee, w *waitingJob) bool {
	return g.Organisation == w.job.Organisation &&
		w.need.Resources.Accelerators <= g.Shape.Tasks*g.Shape.Resources.Accelerators
}

// covered lists the covered placements, the oldest first, without those that
// lose a worker: they end, and cannot be inside a reservation.
func (r *round) covered() []guarantee.CoveredPlacement {
	var out []guarantee.CoveredPlacement
	for i := range r.active {
		a := &r.active[i]
		if !a.job.Covered {
			continue
		}
		lost := len(a.parts) < len(a.job.Placement)
		for _, p := range a.parts {
			lost = lost || r.s.Workers[p.worker].State == WorkerLeaving
		}
		if !lost {
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

// reservable lists the workers on which reservations may lie.
func (r *round) reservable() []guarantee.Worker {
	out := make([]guarantee.Worker, 0, len(r.s.Workers))
	for i := range r.s.Workers {
		w := &r.s.Workers[i]
		if w.State == WorkerLeaving {
			continue
		}
		g := guarantee.Worker{
			ID: w.ID, Rack: w.Rack, AcceleratorModel: w.AcceleratorModel,
			Usable: r.base[i], Free: r.free[i], FutureFree: r.ending[i], Loss: r.loss[i],
		}
		if w.State != WorkerLive {
			g.Usable, g.Unschedulable = r.capacity[i], true
		}
		out = append(out, g)
	}
	return out
}

// publish copies reservations and shortfalls to the plan.
func (r *round) publish(result guarantee.Result) {
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

// computeOutside derives what is free outside of the unused reservations.
func (r *round) computeOutside() {
	copy(r.outside, r.free)
	for _, o := range r.s.Catalogue.Organisations {
		a := r.areas[o.Name]
		if a == nil {
			continue
		}
		for _, p := range a.parts {
			r.outside[p.worker] = r.outside[p.worker].Sub(p.room)
		}
	}
}

// guaranteedAccelerators sums the guarantees of an organisation in the zone.
func guaranteedAccelerators(o *api.Organisation, zone string) (n int) {
	for _, s := range o.Guarantees {
		if s.Zone == zone {
			n += s.Tasks * s.Resources.Accelerators
		}
	}
	return n
}
