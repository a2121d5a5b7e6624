package planner

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// round is the working state of one plan.
type round struct {
	snapshot *Snapshot
	plan     Plan
	topology *packing.Topology
	packer   *packing.Packer
	index    map[string]int // worker positions by ID
	live     []int          // positions of the live workers

	// Capacities by worker. All but total are zero for workers that are not live.
	total       []packing.Capacity // of the empty worker, in any state
	usable      []packing.Capacity // total without orphaned tasks and what this round has taken
	free        []packing.Capacity // held by no task
	futureFree  []packing.Capacity // free, or held by tasks that are being stopped
	unreserved  []packing.Capacity // free and not reserved
	scratch     []packing.Capacity // buffer for one query
	preemptible []packing.Capacity // futureFree, or held by batch borrowers

	active   []activeJob
	byJob    map[string]int                // positions in active
	byWorker [][]int32                     // positions in active of the jobs with a task on the worker
	loss     [][]int64                     // lost work in ms by worker and accelerator
	unused   map[string]*unusedReservation // by organisation
	// unreservedValid is false when unreserved must be computed again.
	unreservedValid bool
	reservations    reservationState
	pending         map[string][]api.TaskPlacement // placements being reclaimed, by waiting job
	usage           *usage
	entries         map[string]*api.Entry
	holds           []*backfillHold
	failedGangs     map[failedGang]bool // gangs that did not fit in this round
	feasibleGangs   map[gangKey]bool    // gangs that fit in the empty zone
	holderSentences map[string]string   // results of explainHolders by its arguments
}

// failedGang records that a gang did not fit in one kind of capacity.
type failedGang struct {
	gang gangKey
	kind string
}

// activeJob is a job that holds capacity.
type activeJob struct {
	job         *api.Job
	allocations []allocation
	lostWork    time.Duration
	covered     bool
	stopping    bool // already stopping, or preempted by this round
}

// allocation is the capacity that one task holds on a worker.
type allocation struct {
	worker   int
	capacity packing.Capacity
}

func newRound(s *Snapshot) *round {
	n := len(s.Workers)
	buffer := make([]packing.Capacity, 7*n)
	next := func() (out []packing.Capacity) {
		out, buffer = buffer[:n:n], buffer[n:]
		return out
	}
	r := &round{
		snapshot: s, plan: Plan{Reasons: make(map[string]string)}, index: make(map[string]int, n),
		total: next(), usable: next(), free: next(), futureFree: next(), unreserved: next(), scratch: next(), preemptible: next(),
		byWorker: make([][]int32, n), loss: make([][]int64, n), unused: make(map[string]*unusedReservation),
		byJob: make(map[string]int), pending: make(map[string][]api.TaskPlacement), failedGangs: make(map[failedGang]bool), feasibleGangs: make(map[gangKey]bool), holderSentences: make(map[string]string),
	}
	r.addWorkers()
	r.addActive()
	r.usage = newUsage(s)
	r.entries = make(map[string]*api.Entry, len(s.Catalogue.Entries))
	for i := range s.Catalogue.Entries {
		r.entries[s.Catalogue.Entries[i].Name] = &s.Catalogue.Entries[i]
	}
	return r
}

func (r *round) addWorkers() {
	racks, models := make([]string, len(r.snapshot.Workers)), make([]string, len(r.snapshot.Workers))
	lossAll := make([]int64, len(r.snapshot.Workers)*packing.MaxAccelerators)
	for i := range r.snapshot.Workers {
		worker := &r.snapshot.Workers[i]
		r.index[worker.ID], racks[i], models[i] = i, worker.Rack, worker.AcceleratorModel
		r.total[i] = packing.Capacity{
			Cores: worker.Cores, MemoryMB: worker.MemoryMB, Accelerators: packing.FirstN(worker.Accelerators),
		}
		size := min(worker.Accelerators, packing.MaxAccelerators)
		r.loss[i], lossAll = lossAll[:size:size], lossAll[size:]
		if worker.State != WorkerLive {
			continue
		}
		r.live = append(r.live, i)
		usable := r.total[i]
		for _, o := range worker.Orphans {
			usable = usable.Sub(packing.CapacityOf(o.Resources, 1, packing.SetOf(o.Accelerators)))
		}
		r.usable[i], r.free[i], r.futureFree[i] = usable, usable, usable
	}
	r.topology = packing.NewTopology(racks, models)
	r.packer = packing.NewPacker(r.topology)
}

// addActive adds all jobs that hold capacity.
func (r *round) addActive() {
	jobs, tasks := 0, 0
	for i := range r.snapshot.Jobs {
		if holdsPlacement(&r.snapshot.Jobs[i]) {
			jobs++
			tasks += len(r.snapshot.Jobs[i].Placement)
		}
	}
	r.active = make([]activeJob, 0, jobs)
	allocations := make([]allocation, 0, tasks)
	for i := range r.snapshot.Jobs {
		job := &r.snapshot.Jobs[i]
		if !holdsPlacement(job) {
			continue
		}
		first := len(allocations)
		for _, t := range job.Placement {
			if worker, ok := r.index[t.Worker]; ok {
				allocations = append(allocations, allocation{worker, packing.CapacityOf(job.Spec.Resources, 1, packing.SetOf(t.Accelerators))})
			}
		}
		r.byJob[job.ID] = len(r.active)
		r.active = append(r.active, activeJob{
			job: job, allocations: allocations[first:len(allocations):len(allocations)], lostWork: r.lostWork(job),
			stopping: job.State == api.JobStateStopping || job.CancelRequested,
		})
	}
	r.occupy(tasks)
}

func holdsPlacement(job *api.Job) bool {
	switch job.State {
	case api.JobStatePlaced, api.JobStateRunning, api.JobStateStopping:
		return true
	default:
		return false
	}
}

// occupy subtracts what active jobs hold from the capacities. tasks is the number
// of their tasks.
func (r *round) occupy(tasks int) {
	refs := make([]int32, 0, tasks)
	counts := make([]int, len(r.byWorker))
	for i := range r.active {
		for _, held := range r.active[i].allocations {
			counts[held.worker]++
		}
	}
	for w, n := range counts {
		r.byWorker[w], refs = refs[:0:n], refs[n:n:cap(refs)]
	}
	for i := range r.active {
		a := &r.active[i]
		for _, held := range a.allocations {
			r.byWorker[held.worker] = append(r.byWorker[held.worker], int32(i))
			r.free[held.worker] = r.free[held.worker].Sub(held.capacity)
			if !a.stopping {
				r.futureFree[held.worker] = r.futureFree[held.worker].Sub(held.capacity)
			}
			r.recordLoss(a, held)
		}
	}
}

// recordLoss divides the lost work of a job among the accelerators of a task,
// so that taking the whole task costs as much as stopping the job.
func (r *round) recordLoss(a *activeJob, held allocation) {
	if held.capacity.Accelerators == 0 {
		return
	}
	each := int64(a.lostWork/time.Millisecond) / int64(held.capacity.Accelerators.Len())
	for set := held.capacity.Accelerators; set != 0; set &= set - 1 {
		if k := set.First(); k < len(r.loss[held.worker]) {
			r.loss[held.worker][k] = each
		}
	}
}

// lostWork returns the accelerator time that stopping the job now would lose.
func (r *round) lostWork(job *api.Job) time.Duration {
	placed := time.UnixMilli(job.PlacedMs)
	since := r.snapshot.Now.Sub(placed)
	if t, ok := r.snapshot.LastCheckpoint[job.ID]; ok && t.After(placed) {
		since = r.snapshot.Now.Sub(t)
	} else if job.Attempt <= 1 {
		since -= time.Duration(job.ProgressMs) * time.Millisecond
	}
	return guarantee.LostWork(since, job.Spec.Tasks*job.Spec.Resources.Accelerators)
}

// preemptLeaving preempts the jobs that have a task on a leaving worker.
func (r *round) preemptLeaving() {
	for i := range r.active {
		a := &r.active[i]
		for _, held := range a.allocations {
			if worker := &r.snapshot.Workers[held.worker]; worker.State == WorkerLeaving && !a.stopping {
				r.preempt(i, "", "Worker "+worker.ID+" is leaving; the job continues elsewhere from its checkpoint.")
			}
		}
	}
}

// preempt stops an active job. Its capacity counts as futureFree from now on.
func (r *round) preempt(i int, forJob, detail string) {
	a := &r.active[i]
	a.stopping = true
	for _, held := range a.allocations {
		if r.snapshot.Workers[held.worker].State == WorkerLive {
			r.futureFree[held.worker] = r.futureFree[held.worker].Add(held.capacity).Min(r.usable[held.worker])
		}
	}
	r.plan.Preemptions = append(r.plan.Preemptions, Preemption{
		JobID: a.job.ID, ForJob: forJob, Reason: PreemptionPreempted, Detail: detail,
	})
}
