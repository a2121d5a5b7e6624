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
		a := &simulation{g: NewWithT(t), t: t}
		a.Snapshot = snapshot(zoneWorkers(rapid.IntRange(3, 9).Draw(t, "workers"), rapid.IntRange(2, 4).Draw(t, "rack")), nil)
		a.changeCatalogue()
		t.Repeat(map[string]func(*rapid.T){
			"submit":     func(*rapid.T) { a.submit() },
			"submit two": func(*rapid.T) { a.submit(); a.submit() },
			"cancel":     func(*rapid.T) { a.cancel() },
			"end":        func(*rapid.T) { a.end() },
			"worker":     func(*rapid.T) { a.changeWorker() },
			"catalogue":  func(*rapid.T) { a.changeCatalogue() },
			"foreign":    func(*rapid.T) { a.changeOrphans() },
			"stop":       func(*rapid.T) { a.finishStops() },
			"wait":       func(*rapid.T) { a.Now = a.Now.Add(10 * time.Minute) },
			"":           func(*rapid.T) { a.round() },
		})
		a.reclaimAll()
	})
}

func (a *simulation) pick(label string, values ...int) int {
	return rapid.SampledFrom(values).Draw(a.t, label)
}

func (a *simulation) adjacency() api.Adjacency {
	return rapid.SampledFrom([]api.Adjacency{api.AdjacencyZone, api.AdjacencyRack, api.AdjacencyWorker}).Draw(a.t, "adjacency")
}

func (a *simulation) submit() {
	a.next++
	org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(a.t, "organisation")
	j := job(fmt.Sprintf("j%03d", a.next), org, a.pick("tasks", 1, 1, 2, 3), a.pick("accelerators", 0, 1, 2, 4, 8), adjacency(a.adjacency()),
		urgency(rapid.SampledFrom([]api.Urgency{api.Batch, api.Standard, api.Urgent}).Draw(a.t, "urgency")))
	j.SubmittedMs = a.Now.UnixMilli()
	j.Spec.Resources.Cores = a.pick("cores", 1, 8, 20)
	j.Spec.RunTimeS = int64(a.pick("run time", 0, 60, 3600))
	if rapid.Bool().Draw(a.t, "in team") {
		j.Spec.Team = "t" + org
	}
	a.Jobs = append(a.Jobs, j)
}

func (a *simulation) any(states ...api.JobState) *api.Job {
	var found []int
	for i := range a.Jobs {
		if slices.Contains(states, a.Jobs[i].State) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return &a.Jobs[rapid.SampledFrom(found).Draw(a.t, "job")]
}

func (a *simulation) cancel() {
	if j := a.any(api.JobStateWaiting, api.JobStatePlaced, api.JobStateRunning); j != nil {
		j.CancelRequested = true
		a.release(j, api.JobStateCancelled)
	}
}

func (a *simulation) end() {
	if j := a.any(api.JobStateRunning, api.JobStatePlaced); j != nil {
		a.release(j, api.JobStateSucceeded)
	}
}

func (a *simulation) release(j *api.Job, state api.JobState) {
	j.State, j.Placement, j.Covered = state, nil, false
}

func (a *simulation) changeWorker() {
	w := &a.Workers[rapid.IntRange(0, len(a.Workers)-1).Draw(a.t, "worker")]
	w.State = rapid.SampledFrom([]planner.WorkerState{planner.WorkerLive, planner.WorkerLive, planner.WorkerLeaving,
		planner.WorkerSilent, planner.WorkerQuarantined}).Draw(a.t, "state")
	if w.State != planner.WorkerSilent {
		return
	}
	for i := range a.Jobs { // the leases of its gangs may expire
		on := func(p api.TaskPlacement) bool { return p.Worker == w.ID }
		if slices.ContainsFunc(a.Jobs[i].Placement, on) && rapid.Bool().Draw(a.t, "lapsed") {
			a.release(&a.Jobs[i], api.JobStateWaiting)
		}
	}
}

// changeOrphans adds an orphaned task on a free accelerator of a worker, or ends
// those that are there.
func (a *simulation) changeOrphans() {
	w := &a.Workers[rapid.IntRange(0, len(a.Workers)-1).Draw(a.t, "worker")]
	if w.Orphans != nil {
		w.Orphans = nil
		return
	}
	var taken packing.Set
	for i := range a.Jobs {
		for _, p := range a.Jobs[i].Placement {
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
func (a *simulation) changeCatalogue() {
	var c api.Catalogue
	for _, name := range []string{"a", "b", "c"} {
		o := organisation(name)
		for range a.pick("shapes", 0, 1, 1, 2) {
			s := shape(a.pick("shape tasks", 1, 2, 3), a.pick("shape accelerators", 1, 4, 8), a.adjacency())
			o.Guarantees = append(o.Guarantees, s)
		}
		o.QuotaAccelerators = a.pick("quota", 0, 0, 16, 40)
		c.Organisations = append(c.Organisations, o)
		c.Teams = append(c.Teams, api.Team{Name: "t" + name, Organisation: name, QuotaAccelerators: a.pick("team quota", 8, 24)})
	}
	var workers []guarantee.Worker
	for _, w := range a.Workers {
		workers = append(workers, guarantee.NewWorker(w.ID, w.Rack, w.AcceleratorModel, w.Cores, w.MemoryMB, w.Accelerators))
	}
	if guarantee.Check("kiruna", a.Catalogue, c, workers).Accepted {
		a.Catalogue = c
	}
}

func (a *simulation) finishStops() {
	for i := range a.Jobs {
		if a.Jobs[i].State == api.JobStateStopping {
			a.release(&a.Jobs[i], api.JobStateWaiting)
		}
	}
}

// round computes a plan, checks it and applies it.
func (a *simulation) round() planner.Plan {
	a.Now = a.Now.Add(roundInterval)
	before, err := json.Marshal(a.Snapshot)
	a.g.Expect(err).NotTo(HaveOccurred())
	p := planner.Compute(a.Snapshot)
	after, _ := json.Marshal(a.Snapshot)
	a.g.Expect(after).To(Equal(before), "the plan changed the snapshot")
	a.g.Expect(planner.Compute(a.Snapshot)).To(Equal(p), "the plan is not deterministic")
	a.checkReservations(p)
	a.checkPreemptions(p)
	held := a.usage()
	a.apply(p)
	a.checkPlacements(p)
	a.checkQuotas(held)
	return p
}

func (a *simulation) job(id string) *api.Job {
	return &a.Jobs[slices.IndexFunc(a.Jobs, func(j api.Job) bool { return j.ID == id })]
}

func (a *simulation) apply(p planner.Plan) {
	a.Pending = p.Pending
	for _, x := range p.Placements {
		j := a.job(x.JobID)
		a.g.Expect(j.State).To(Equal(api.JobStateWaiting))
		j.State, j.Placement, j.Covered = api.JobStateRunning, x.Tasks, x.Covered
		j.PlacedMs = a.Now.UnixMilli()
		j.Attempt++
	}
	for _, x := range p.Preemptions {
		a.job(x.JobID).State = api.JobStateStopping
	}
	for _, id := range p.Demoted {
		a.job(id).Covered = false
	}
	for _, x := range p.Refusals {
		a.job(x.JobID).State = api.JobStateRefused
	}
	for i := range a.Jobs {
		if j := &a.Jobs[i]; j.State == api.JobStateWaiting {
			a.g.Expect(p.Reasons).To(HaveKey(j.ID), "a job waits without a reason")
		}
	}
}

func (a *simulation) worker(id string) planner.Worker {
	return a.Workers[slices.IndexFunc(a.Workers, func(w planner.Worker) bool { return w.ID == id })]
}

// reclaimAll fails unless each organisation without a covered job gets its whole
// guarantee by preemption of borrowers. If the workers cannot hold all
// guarantees, one that is not met must be reported as short.
func (a *simulation) reclaimAll() {
	for i := range a.Jobs { // waiting jobs would compete for the guarantees
		if a.Jobs[i].State == api.JobStateWaiting {
			a.Jobs[i].State = api.JobStateCancelled
		}
	}
	a.finishStops()
	for i := range a.Jobs {
		if a.Jobs[i].State == api.JobStateWaiting {
			a.Jobs[i].State = api.JobStateCancelled
		}
	}
	p := a.round()
	complete := len(p.Shortfalls) == 0
	want := map[string]string{}
	for _, o := range a.Catalogue.Organisations {
		o.QuotaAccelerators = 0
		short := slices.ContainsFunc(p.Shortfalls, func(s planner.Shortfall) bool { return s.Organisation == o.Name })
		hasCovered := slices.ContainsFunc(a.Jobs, func(j api.Job) bool { return j.Covered && j.Organisation == o.Name })
		if short || hasCovered {
			continue
		}
		for k, s := range o.Guarantees {
			j := job(fmt.Sprint("reclaim-", o.Name, k), o.Name, s.Tasks, s.Resources.Accelerators, adjacency(s.Adjacency), urgency(api.Urgent))
			j.SubmittedMs, j.Spec.Resources = 0, s.Resources
			a.Jobs = append(a.Jobs, j)
			want[j.ID] = o.Name
		}
	}
	for i := range a.Catalogue.Organisations {
		a.Catalogue.Organisations[i].QuotaAccelerators = 0
	}
	reported := map[string]bool{}
	for range 4 {
		p = a.round()
		a.finishStops()
		for _, s := range p.Shortfalls {
			reported[s.Organisation] = true
		}
	}
	for id, org := range want {
		if !complete && reported[org] {
			continue
		}
		a.g.Expect(a.job(id).State).To(Equal(api.JobStateRunning), "%s: %s", id, p.Reasons[id])
		a.g.Expect(a.job(id).Covered).To(BeTrue(), id)
	}
}
