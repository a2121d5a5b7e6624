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

func (sim *simulation) checkPreemptions(p planner.Plan) {
	for _, x := range p.Preemptions {
		j := sim.job(x.JobID)
		sim.g.Expect(j.State).To(BeElementOf(api.JobStatePlaced, api.JobStateRunning))
		if x.ForJob != "" {
			sim.g.Expect(j.Covered && !slices.Contains(p.Demoted, j.ID)).To(BeFalse(), "a covered job is preempted")
		}
	}
}

// checkPlacements fails if an accelerator is allocated twice, a worker is
// overcommitted, or a gang is incomplete or violates its adjacency.
func (sim *simulation) checkPlacements(p planner.Plan) {
	type accelerator struct {
		worker string
		index  int
	}
	taken := map[accelerator]string{}
	used := map[string]packing.Capacity{}
	for i := range sim.Jobs {
		j := &sim.Jobs[i]
		for _, t := range j.Placement {
			used[t.Worker] = used[t.Worker].Add(packing.CapacityOf(j.Spec.Resources, 1, 0))
			for _, n := range t.Accelerators {
				sim.g.Expect(taken[accelerator{t.Worker, n}]).To(BeEmpty(), "an accelerator is allocated twice")
				taken[accelerator{t.Worker, n}] = j.ID
			}
		}
	}
	for _, w := range sim.Workers {
		sim.g.Expect(used[w.ID].Cores).To(BeNumerically("<=", w.Cores))
		for _, orphan := range w.Orphans {
			sim.g.Expect(taken[accelerator{w.ID, orphan.Accelerators[0]}]).To(BeEmpty(), "an accelerator of an orphaned task is allocated")
		}
	}
	for _, x := range p.Placements {
		j := sim.job(x.JobID)
		sim.g.Expect(x.Tasks).To(HaveLen(j.Spec.Tasks))
		sim.checkAdjacency(x.Tasks, j.Spec.Resources, j.Adjacency)
	}
}

func (sim *simulation) checkAdjacency(tasks []api.TaskPlacement, r api.Resources, adjacency api.Adjacency) {
	first := sim.worker(tasks[0].Worker)
	for i, t := range tasks {
		w := sim.worker(t.Worker)
		sim.g.Expect(t.Index).To(Equal(i))
		sim.g.Expect(w.State).To(Equal(planner.WorkerLive))
		sim.g.Expect(t.Accelerators).To(HaveLen(r.Accelerators))
		if adjacency == api.AdjacencyWorker {
			sim.g.Expect(w.ID).To(Equal(first.ID))
		}
		if adjacency == api.AdjacencyRack {
			sim.g.Expect(w.Rack).To(Equal(first.Rack))
		}
	}
}

func (sim *simulation) usage() map[string]int {
	held := map[string]int{}
	for _, j := range sim.Jobs {
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
func (sim *simulation) checkQuotas(before map[string]int) {
	after := sim.usage()
	check := func(name string, quota int) {
		if after[name] > before[name] {
			sim.g.Expect(after[name]).To(BeNumerically("<=", quota), name)
		}
	}
	for _, o := range sim.Catalogue.Organisations {
		if o.QuotaAccelerators > 0 {
			check(o.Name, o.QuotaAccelerators)
		}
	}
	for _, t := range sim.Catalogue.Teams {
		check("team "+t.Name, t.QuotaAccelerators)
	}
}

// checkReservations fails unless each guaranteed shape is reserved on live
// workers, without overlap with other reservations, orphaned tasks or covered
// jobs of other organisations, or is reported as short.
func (sim *simulation) checkReservations(p planner.Plan) {
	owner := map[string]string{} // organisation by reserved accelerator
	used := map[string]packing.Capacity{}
	next := 0
	for _, g := range guarantee.ForZone(sim.Catalogue, sim.Zone) {
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
			sim.g.Expect(missing).To(BeNumerically(">=", g.Shape.Tasks))
			continue
		}
		next++
		sim.g.Expect(len(tasks) + missing).To(BeNumerically(">=", g.Shape.Tasks))
		sim.checkReserved(g, tasks)
		for _, t := range tasks {
			used[t.Worker] = used[t.Worker].Add(packing.CapacityOf(g.Shape.Resources, 1, 0))
			for _, n := range t.Accelerators {
				key := fmt.Sprint(t.Worker, "/", n)
				sim.g.Expect(owner[key]).To(BeEmpty(), "reservations overlap")
				owner[key] = g.Organisation
			}
		}
	}
	sim.g.Expect(next).To(Equal(len(p.Reservations)))
	for _, w := range sim.Workers {
		sim.g.Expect(used[w.ID].Cores).To(BeNumerically("<=", w.Cores))
		for _, orphan := range w.Orphans {
			if w.State != planner.WorkerLive {
				continue
			}
			sim.g.Expect(owner).NotTo(HaveKey(fmt.Sprint(w.ID, "/", orphan.Accelerators[0])))
		}
	}
	for _, j := range sim.Jobs {
		if !j.Covered || slices.Contains(p.Demoted, j.ID) || sim.hasLeavingWorker(j) {
			continue
		}
		for _, t := range j.Placement {
			for _, n := range t.Accelerators {
				sim.g.Expect(owner[fmt.Sprint(t.Worker, "/", n)]).To(Equal(j.Organisation), "a covered job lies outside its reservation")
			}
		}
	}
	sim.checkShortfall(p)
}

// checkReserved fails if a reserved task lies on a worker that may not get
// tasks, unless a covered job of the organisation runs there.
func (sim *simulation) checkReserved(g guarantee.Guarantee, tasks []api.TaskPlacement) {
	first := sim.worker(tasks[0].Worker)
	for _, t := range tasks {
		w := sim.worker(t.Worker)
		hasCoveredJob := slices.ContainsFunc(sim.Jobs, func(j api.Job) bool {
			return j.Covered && j.Organisation == g.Organisation &&
				slices.ContainsFunc(j.Placement, func(p api.TaskPlacement) bool { return p.Worker == w.ID })
		})
		sim.g.Expect(w.State == planner.WorkerLive || w.State != planner.WorkerLeaving && hasCoveredJob).To(BeTrue())
		sim.g.Expect(t.Accelerators).To(HaveLen(g.Shape.Resources.Accelerators))
		sim.g.Expect(g.Shape.Adjacency != api.AdjacencyWorker || w.ID == first.ID).To(BeTrue())
		sim.g.Expect(g.Shape.Adjacency != api.AdjacencyRack || w.Rack == first.Rack).To(BeTrue())
	}
}

func (sim *simulation) hasLeavingWorker(j api.Job) bool {
	return slices.ContainsFunc(j.Placement, func(p api.TaskPlacement) bool { return sim.worker(p.Worker).State == planner.WorkerLeaving })
}

// checkShortfall fails if the only guarantee of a zone is reported as short
// although the live workers could hold it.
func (sim *simulation) checkShortfall(p planner.Plan) {
	guarantees := guarantee.ForZone(sim.Catalogue, sim.Zone)
	if len(guarantees) != 1 || len(p.Shortfalls) == 0 {
		return
	}
	s := guarantees[0].Shape
	perWorker, perRack, total := 0, map[string]int{}, 0
	for _, w := range sim.Workers {
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
	sim.g.Expect(best).To(BeNumerically("<", s.Tasks), "the live workers could hold the shape")
}
