package planner_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// simulation applies plans and random events to a snapshot, in place of the
// control loop that commits plans.
type simulation struct {
	planner.Snapshot
	g    *WithT
	t    *rapid.T
	next int
}

const roundInterval = time.Second

// TestPlannerKeepsGuarantees guards against plans that break a guarantee, a
// quota or a gang after any sequence of events.
func TestPlannerKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{g: NewWithT(t), t: t}
		sim.Snapshot = snapshot(zoneWorkers(rapid.IntRange(3, 9).Draw(t, "workers"), rapid.IntRange(2, 4).Draw(t, "rack")), nil)
		sim.changeCatalogue()
		t.Repeat(map[string]func(*rapid.T){
			"submit":     func(*rapid.T) { sim.submit() },
			"submit two": func(*rapid.T) { sim.submit(); sim.submit() },
			"cancel":     func(*rapid.T) { sim.cancel() },
			"end":        func(*rapid.T) { sim.end() },
			"worker":     func(*rapid.T) { sim.changeWorker() },
			"catalogue":  func(*rapid.T) { sim.changeCatalogue() },
			"orphans":    func(*rapid.T) { sim.changeOrphans() },
			"stop":       func(*rapid.T) { sim.finishStops() },
			"wait":       func(*rapid.T) { sim.Now = sim.Now.Add(10 * time.Minute) },
			"":           func(*rapid.T) { sim.round() },
		})
		sim.reclaimAll()
	})
}

func (sim *simulation) pick(label string, values ...int) int {
	return rapid.SampledFrom(values).Draw(sim.t, label)
}

func (sim *simulation) adjacency() api.Adjacency {
	return rapid.SampledFrom([]api.Adjacency{api.AdjacencyZone, api.AdjacencyRack, api.AdjacencyWorker}).Draw(sim.t, "adjacency")
}

func (sim *simulation) submit() {
	sim.next++
	org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(sim.t, "organisation")
	j := job(fmt.Sprintf("j%03d", sim.next), org, sim.pick("tasks", 1, 1, 2, 3), sim.pick("accelerators", 0, 1, 2, 4, 8), adjacency(sim.adjacency()),
		urgency(rapid.SampledFrom([]api.Urgency{api.Batch, api.Standard, api.Urgent}).Draw(sim.t, "urgency")))
	j.SubmittedMs = sim.Now.UnixMilli()
	j.Spec.Resources.Cores = sim.pick("cores", 1, 8, 20)
	j.Spec.RunTimeS = int64(sim.pick("run time", 0, 60, 3600))
	if rapid.Bool().Draw(sim.t, "in team") {
		j.Spec.Team = "t" + org
	}
	sim.Jobs = append(sim.Jobs, j)
}

func (sim *simulation) any(states ...api.JobState) *api.Job {
	var found []int
	for i := range sim.Jobs {
		if slices.Contains(states, sim.Jobs[i].State) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return &sim.Jobs[rapid.SampledFrom(found).Draw(sim.t, "job")]
}

func (sim *simulation) cancel() {
	if j := sim.any(api.JobStateWaiting, api.JobStatePlaced, api.JobStateRunning); j != nil {
		j.CancelRequested = true
		sim.release(j, api.JobStateCancelled)
	}
}

func (sim *simulation) end() {
	if j := sim.any(api.JobStateRunning, api.JobStatePlaced); j != nil {
		sim.release(j, api.JobStateSucceeded)
	}
}

func (sim *simulation) release(j *api.Job, state api.JobState) {
	j.State, j.Placement, j.Covered = state, nil, false
}

func (sim *simulation) changeWorker() {
	w := &sim.Workers[rapid.IntRange(0, len(sim.Workers)-1).Draw(sim.t, "worker")]
	w.State = rapid.SampledFrom([]planner.WorkerState{planner.WorkerLive, planner.WorkerLive, planner.WorkerLeaving,
		planner.WorkerSilent, planner.WorkerQuarantined}).Draw(sim.t, "state")
	if w.State != planner.WorkerSilent {
		return
	}
	for i := range sim.Jobs { // the leases of its gangs may expire
		onWorker := func(p api.TaskPlacement) bool { return p.Worker == w.ID }
		if slices.ContainsFunc(sim.Jobs[i].Placement, onWorker) && rapid.Bool().Draw(sim.t, "lease expired") {
			sim.release(&sim.Jobs[i], api.JobStateWaiting)
		}
	}
}

// changeOrphans adds an orphaned task on a free accelerator of a worker, or ends
// those that are there.
func (sim *simulation) changeOrphans() {
	w := &sim.Workers[rapid.IntRange(0, len(sim.Workers)-1).Draw(sim.t, "worker")]
	if w.Orphans != nil {
		w.Orphans = nil
		return
	}
	var taken packing.Set
	for i := range sim.Jobs {
		for _, p := range sim.Jobs[i].Placement {
			if p.Worker == w.ID {
				taken |= packing.SetOf(p.Accelerators)
			}
		}
	}
	if free := packing.FirstN(8) &^ taken; free != 0 {
		w.Orphans = []planner.TaskAllocation{{Resources: api.Resources{Accelerators: 1}, Accelerators: free.Lowest(1).Indices()}}
	}
}

// changeCatalogue proposes random guarantees and applies them if the check
// accepts them.
func (sim *simulation) changeCatalogue() {
	var c api.Catalogue
	for _, name := range []string{"a", "b", "c"} {
		o := organisation(name)
		for range sim.pick("shapes", 0, 1, 1, 2) {
			s := shape(sim.pick("shape tasks", 1, 2, 3), sim.pick("shape accelerators", 1, 4, 8), sim.adjacency())
			o.Guarantees = append(o.Guarantees, s)
		}
		o.QuotaAccelerators = sim.pick("quota", 0, 0, 16, 40)
		c.Organisations = append(c.Organisations, o)
		c.Teams = append(c.Teams, api.Team{Name: "t" + name, Organisation: name, QuotaAccelerators: sim.pick("team quota", 8, 24)})
	}
	var workers []guarantee.Worker
	for _, w := range sim.Workers {
		workers = append(workers, guarantee.NewWorker(w.ID, w.Rack, w.AcceleratorModel, w.Cores, w.MemoryMB, w.Accelerators))
	}
	if guarantee.Check("kiruna", sim.Catalogue, c, workers).Accepted {
		sim.Catalogue = c
	}
}

func (sim *simulation) finishStops() {
	for i := range sim.Jobs {
		if sim.Jobs[i].State == api.JobStateStopping {
			sim.release(&sim.Jobs[i], api.JobStateWaiting)
		}
	}
}

// round computes a plan, checks it and applies it.
func (sim *simulation) round() planner.Plan {
	sim.Now = sim.Now.Add(roundInterval)
	before, err := json.Marshal(sim.Snapshot)
	sim.g.Expect(err).NotTo(HaveOccurred())
	p := planner.Compute(sim.Snapshot)
	after, _ := json.Marshal(sim.Snapshot)
	sim.g.Expect(after).To(Equal(before), "the plan changed the snapshot")
	sim.g.Expect(planner.Compute(sim.Snapshot)).To(Equal(p), "the plan is not deterministic")
	sim.checkReservations(p)
	sim.checkPreemptions(p)
	held := sim.usage()
	sim.apply(p)
	sim.checkPlacements(p)
	sim.checkQuotas(held)
	return p
}

func (sim *simulation) job(id string) *api.Job {
	return &sim.Jobs[slices.IndexFunc(sim.Jobs, func(j api.Job) bool { return j.ID == id })]
}

func (sim *simulation) apply(p planner.Plan) {
	sim.Pending = p.Pending
	for _, x := range p.Placements {
		j := sim.job(x.JobID)
		sim.g.Expect(j.State).To(Equal(api.JobStateWaiting))
		j.State, j.Placement, j.Covered = api.JobStateRunning, x.Tasks, x.Covered
		j.PlacedMs = sim.Now.UnixMilli()
		j.Attempt++
	}
	for _, x := range p.Preemptions {
		sim.job(x.JobID).State = api.JobStateStopping
	}
	for _, id := range p.Demoted {
		sim.job(id).Covered = false
	}
	for _, x := range p.Refusals {
		sim.job(x.JobID).State = api.JobStateRefused
	}
	for i := range sim.Jobs {
		if j := &sim.Jobs[i]; j.State == api.JobStateWaiting {
			sim.g.Expect(p.Reasons).To(HaveKey(j.ID), "a job waits without a reason")
		}
	}
}

func (sim *simulation) worker(id string) planner.Worker {
	return sim.Workers[slices.IndexFunc(sim.Workers, func(w planner.Worker) bool { return w.ID == id })]
}

// reclaimAll fails unless each organisation without a covered job gets its whole
// guarantee by preemption of borrowers. If the workers cannot hold all
// guarantees, one that is not met must be reported as short.
func (sim *simulation) reclaimAll() {
	for i := range sim.Jobs { // waiting jobs would compete for the guarantees
		if sim.Jobs[i].State == api.JobStateWaiting {
			sim.Jobs[i].State = api.JobStateCancelled
		}
	}
	sim.finishStops()
	for i := range sim.Jobs {
		if sim.Jobs[i].State == api.JobStateWaiting {
			sim.Jobs[i].State = api.JobStateCancelled
		}
	}
	p := sim.round()
	complete := len(p.Shortfalls) == 0
	want := map[string]string{}
	for _, o := range sim.Catalogue.Organisations {
		o.QuotaAccelerators = 0
		short := slices.ContainsFunc(p.Shortfalls, func(s planner.Shortfall) bool { return s.Organisation == o.Name })
		hasCovered := slices.ContainsFunc(sim.Jobs, func(j api.Job) bool { return j.Covered && j.Organisation == o.Name })
		if short || hasCovered {
			continue
		}
		for k, s := range o.Guarantees {
			j := job(fmt.Sprint("reclaim-", o.Name, k), o.Name, s.Tasks, s.Resources.Accelerators, adjacency(s.Adjacency), urgency(api.Urgent))
			j.SubmittedMs, j.Spec.Resources = 0, s.Resources
			sim.Jobs = append(sim.Jobs, j)
			want[j.ID] = o.Name
		}
	}
	for i := range sim.Catalogue.Organisations {
		sim.Catalogue.Organisations[i].QuotaAccelerators = 0
	}
	reported := map[string]bool{}
	for range 4 {
		p = sim.round()
		sim.finishStops()
		for _, s := range p.Shortfalls {
			reported[s.Organisation] = true
		}
	}
	for id, org := range want {
		if !complete && reported[org] {
			continue
		}
		sim.g.Expect(sim.job(id).State).To(Equal(api.JobStateRunning), "%s: %s", id, p.Reasons[id])
		sim.g.Expect(sim.job(id).Covered).To(BeTrue(), id)
	}
}
