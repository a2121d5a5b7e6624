package planner_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

func (a *simulation) checkPreemptions(p planner.Plan) {
	for _, x := range p.Preemptions {
		j := a.job(x.JobID)
		a.g.Expect(j.State).To(BeElementOf(api.JobStatePlaced, api.JobStateRunning))
		if x.ForJob != "" {
			a.g.Expect(j.Covered && !slices.Contains(p.Demoted, j.ID)).To(BeFalse(), "a covered job is preempted")
		}
	}
}

// checkPlacements fails if an accelerator is allocated twice, a worker is
// overcommitted, or a gang is incomplete or violates its adjacency.
func (a *simulation) checkPlacements(p planner.Plan) {
	type place struct {
		worker string
		index  int
	}
	taken := map[place]string{}
	used := map[string]packing.Capacity{}
	for i := range a.Jobs {
		j := &a.Jobs[i]
		for _, t := range j.Placement {
			used[t.Worker] = used[t.Worker].Add(packing.CapacityOf(j.Spec.Resources, 1, 0))
			for _, n := range t.Accelerators {
				a.g.Expect(taken[place{t.Worker, n}]).To(BeEmpty(), "an accelerator is allocated twice")
				taken[place{t.Worker, n}] = j.ID
			}
		}
	}
	for _, w := range a.Workers {
		a.g.Expect(used[w.ID].Cores).To(BeNumerically("<=", w.Cores))
		for _, f := range w.Orphans {
			a.g.Expect(taken[place{w.ID, f.Accelerators[0]}]).To(BeEmpty(), "an accelerator of an orphaned task is allocated")
		}
	}
	for _, x := range p.Placements {
		j := a.job(x.JobID)
		a.g.Expect(x.Tasks).To(HaveLen(j.Spec.Tasks))
		a.checkAdjacency(x.Tasks, j.Spec.Resources, j.Adjacency)
	}
}

func (a *simulation) checkAdjacency(tasks []api.TaskPlacement, r api.Resources, adjacency api.Adjacency) {
	first := a.worker(tasks[0].Worker)
	for i, t := range tasks {
		w := a.worker(t.Worker)
		a.g.Expect(t.Index).To(Equal(i))
		a.g.Expect(w.State).To(Equal(planner.WorkerLive))
		a.g.Expect(t.Accelerators).To(HaveLen(r.Accelerators))
		if adjacency == api.AdjacencyWorker {
			a.g.Expect(w.ID).To(Equal(first.ID))
		}
		if adjacency == api.AdjacencyRack {
			a.g.Expect(w.Rack).To(Equal(first.Rack))
		}
	}
}

func (a *simulation) usage() map[string]int {
	held := map[string]int{}
	for _, j := range a.Jobs {
		if len(j.Placement) > 0 {
			n := j.Spec.Tasks * j.Spec.Resources.Accelerators
			held[j.Organisation] += n
			held["team "+j.Spec.Team] += n
		}
	}
	return held
}

// checkQuotas fails if a plan makes a team or an organisation hold more than its
// quota. A quota that was lowered below what is held may stay exceeded.
func (a *simulation) checkQuotas(before map[string]int) {
	after := a.usage()
	check := func(name string, quota int) {
		if after[name] > before[name] {
			a.g.Expect(after[name]).To(BeNumerically("<=", quota), name)
		}
	}
	for _, o := range a.Catalogue.Organisations {
		if o.QuotaAccelerators > 0 {
			check(o.Name, o.QuotaAccelerators)
		}
	}
	for _, t := range a.Catalogue.Teams {
		check("team "+t.Name, t.QuotaAccelerators)
	}
}

// checkReservations fails unless each guaranteed shape is reserved on live
// workers, without overlap with other reservations, orphaned tasks or covered
// jobs of other organisations, or is reported as short.
func (a *simulation) checkReservations(p planner.Plan) {
	owner := map[string]string{} // organisation by reserved accelerator
	used := map[string]packing.Capacity{}
	next := 0
	for _, g := range guarantee.ForZone(a.Catalogue, a.Zone) {
		missing := 0
		for _, s := range p.Shortfalls {
			if s.Organisation == g.Organisation && s.Shape == g.Shape {
				missing += s.MissingTasks
			}
		}
		var tasks []api.TaskPlacement
		if next < len(p.Reservations) && p.Reservations[next].Organisation == g.Organisation && p.Reservations[next].Shape == g.Shape {
			tasks = p.Reservations[next].Tasks
		}
		if len(tasks) == 0 {
			a.g.Expect(missing).To(BeNumerically(">=", g.Shape.Tasks))
			continue
		}
		next++
		a.g.Expect(len(tasks) + missing).To(BeNumerically(">=", g.Shape.Tasks))
		a.checkReserved(g, tasks)
		for _, t := range tasks {
			used[t.Worker] = used[t.Worker].Add(packing.CapacityOf(g.Shape.Resources, 1, 0))
			for _, n := range t.Accelerators {
				key := fmt.Sprint(t.Worker, "/", n)
				a.g.Expect(owner[key]).To(BeEmpty(), "reservations overlap")
				owner[key] = g.Organisation
			}
		}
	}
	a.g.Expect(next).To(Equal(len(p.Reservations)))
	for _, w := range a.Workers {
		a.g.Expect(used[w.ID].Cores).To(BeNumerically("<=", w.Cores))
		for _, f := range w.Orphans {
			if w.State != planner.WorkerLive {
				continue
			}
			a.g.Expect(owner).NotTo(HaveKey(fmt.Sprint(w.ID, "/", f.Accelerators[0])))
		}
	}
	for _, j := range a.Jobs {
		if !j.Covered || slices.Contains(p.Demoted, j.ID) || a.hasLeavingWorker(j) {
			continue
		}
		for _, t := range j.Placement {
			for _, n := range t.Accelerators {
				a.g.Expect(owner[fmt.Sprint(t.Worker, "/", n)]).To(Equal(j.Organisation), "a covered job lies outside its reservation")
			}
		}
	}
	a.checkShortfall(p)
}

// checkReserved fails if a reserved task lies on a worker that may not get
// tasks, unless a covered job of the organisation runs there.
func (a *simulation) checkReserved(g guarantee.Guarantee, tasks []api.TaskPlacement) {
	first := a.worker(tasks[0].Worker)
	for _, t := range tasks {
		w := a.worker(t.Worker)
		runs := slices.ContainsFunc(a.Jobs, func(j api.Job) bool {
			return j.Covered && j.Organisation == g.Organisation &&
				slices.ContainsFunc(j.Placement, func(p api.TaskPlacement) bool { return p.Worker == w.ID })
		})
		a.g.Expect(w.State == planner.WorkerLive || w.State != planner.WorkerLeaving && runs).To(BeTrue())
		a.g.Expect(t.Accelerators).To(HaveLen(g.Shape.Resources.Accelerators))
		a.g.Expect(g.Shape.Adjacency != api.AdjacencyWorker || w.ID == first.ID).To(BeTrue())
		a.g.Expect(g.Shape.Adjacency != api.AdjacencyRack || w.Rack == first.Rack).To(BeTrue())
	}
}

func (a *simulation) hasLeavingWorker(j api.Job) bool {
	return slices.ContainsFunc(j.Placement, func(p api.TaskPlacement) bool { return a.worker(p.Worker).State == planner.WorkerLeaving })
}

// checkShortfall fails if the only guarantee of a zone is reported as short
// although the live workers hold it.
func (a *simulation) checkShortfall(p planner.Plan) {
	guarantees := guarantee.ForZone(a.Catalogue, a.Zone)
	if len(guarantees) != 1 || len(p.Shortfalls) == 0 {
		return
	}
	s := guarantees[0].Shape
	perWorker, perRack, total := 0, map[string]int{}, 0
	for _, w := range a.Workers {
		if w.State != planner.WorkerLive {
			continue
		}
		n := min((w.Accelerators-len(w.Orphans))/s.Resources.Accelerators, w.Cores/s.Resources.Cores)
		perWorker = max(perWorker, n)
		perRack[w.Rack] += n
		total += n
	}
	best := total
	switch s.Adjacency {
	case api.AdjacencyWorker:
		best = perWorker
	case api.AdjacencyRack:
		best = 0
		for _, n := range perRack {
			best = max(best, n)
		}
	}
	a.g.Expect(best).To(BeNumerically("<", s.Tasks), "the live workers hold the shape")
}
