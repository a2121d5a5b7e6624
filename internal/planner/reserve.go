package planner

import (
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// reserve computes the reservations of the zone and what is left of them.
func (r *round) reserve() {
	guarantees := guarantee.Of(r.s.Catalogue, r.s.Zone)
	if len(guarantees) == 0 {
		return
	}
	covered := r.covered()
	result := guarantee.Reserve(r.liveWorkers(), guarantees, covered)
	for _, c := range covered {
		r.active[r.byJob[c.JobID]].covered = !slices.Contains(result.Demoted, c.JobID)
	}
	r.publish(result)
	for _, res := range result.Reservations {
		a := r.areaOf(res.Guarantee.Organisation)
		for _, t := range res.Tasks {
			w := r.index[t.Worker]
			a.rest[w] = a.rest[w].Add(packing.RoomOf(res.Guarantee.Shape.Resources, 1, packing.SetOf(t.Accelerators)))
			if !slices.Contains(a.candidates, w) {
				a.candidates = append(a.candidates, w)
			}
		}
	}
	for i := range r.active {
		if act := &r.active[i]; act.covered {
			a := r.areaOf(act.job.Organisation)
			for _, p := range act.parts {
				a.rest[p.worker] = a.rest[p.worker].Sub(p.room)
			}
		}
	}
}

func (r *round) areaOf(organisation string) *area {
	a := r.areas[organisation]
	if a == nil {
		a = &area{rest: make([]packing.Room, len(r.s.Workers))}
		r.areas[organisation] = a
	}
	return a
}

// covered lists the covered placements that lie on live workers only, the
// oldest first. Others cannot be inside a reservation.
func (r *round) covered() []guarantee.Covered {
	var out []guarantee.Covered
	for i := range r.active {
		a := &r.active[i]
		if !a.job.Covered {
			continue
		}
		live := len(a.parts) == len(a.job.Placement)
		for _, p := range a.parts {
			live = live && r.s.Workers[p.worker].State == WorkerLive
		}
		if !live {
			r.plan.Demoted = append(r.plan.Demoted, a.job.ID)
			continue
		}
		out = append(out, guarantee.Covered{
			JobID: a.job.ID, Organisation: a.job.Organisation,
			Resources: a.job.Spec.Resources, Tasks: a.job.Placement,
		})
	}
	slices.SortStableFunc(out, func(x, y guarantee.Covered) int {
		return compareAge(r.active[r.byJob[x.JobID]].job, r.active[r.byJob[y.JobID]].job)
	})
	return out
}

// liveWorkers lists the workers on which reservations may lie.
func (r *round) liveWorkers() []guarantee.Worker {
	out := make([]guarantee.Worker, 0, len(r.live))
	for _, i := range r.live {
		w := &r.s.Workers[i]
		out = append(out, guarantee.Worker{
			ID: w.ID, Rack: w.Rack, AcceleratorModel: w.AcceleratorModel,
			Usable: r.base[i], Free: r.free[i], Ending: r.ending[i], Loss: r.loss[i],
		})
	}
	return out
}

// publish copies reservations and shortfalls to the plan.
func (r *round) publish(result guarantee.Result) {
	for _, res := range result.Reservations {
		if len(res.Tasks) > 0 {
			r.plan.Reservations = append(r.plan.Reservations, Reservation{
				Organisation: res.Guarantee.Organisation, Tasks: res.Tasks,
			})
		}
	}
	for _, s := range result.Shortfalls {
		r.plan.Shortfalls = append(r.plan.Shortfalls, Shortfall{
			Organisation: s.Guarantee.Organisation, MissingTasks: s.MissingTasks,
			MissingAccelerators: s.MissingAccelerators, Reason: s.Reason,
		})
	}
	r.plan.Demoted = append(r.plan.Demoted, result.Demoted...)
}

// computeOutside derives what is free outside of the unused reservations.
func (r *round) computeOutside() {
	copy(r.outside, r.free)
	for _, o := range r.s.Catalogue.Organisations {
		a := r.areas[o.Name]
		if a == nil {
			continue
		}
		for _, w := range a.candidates {
			r.outside[w] = r.outside[w].Sub(a.rest[w])
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
