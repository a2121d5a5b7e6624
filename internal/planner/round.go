package planner

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// round is the working state of one plan.
type round struct {
	s      *Snapshot
	plan   Plan
	fleet  *packing.Topology
	packer *packing.Packer
	index  map[string]int // worker positions by identifier
	live   []int          // positions of the workers that may get tasks

	// Rooms by worker. Only live workers have room.
	capacity []packing.Capacity // of the empty worker, whatever its state
	base     []packing.Capacity // without unknown tasks and what this round gave out
	free     []packing.Capacity // held by nobody
	ending   []packing.Capacity // free, and held by tasks that are being stopped
	outside  []packing.Capacity // free and not reserved
	scratch  []packing.Capacity
	hard     []packing.Capacity

	active   []active
	byJob    map[string]int // positions in active
	byWorker [][]int32      // positions in active of those that hold a place there
	loss     [][]int64      // lost work by worker and accelerator
	areas    map[string]*area
	// outsideKnown says that outside matches the reservations.
	outsideKnown bool
	promise      promise
	pending      map[string][]api.TaskPlacement // places being reclaimed, by waiting job
	usage        *usage
	entries      map[string]*api.Entry
	holds        []*backfillHold
	failed       map[failure]bool // needs that did not fit in this round
	fitted       map[needKey]bool // needs that the empty zone holds
	sentences    map[string]string
}

// failure says that a need did not fit in one kind of room.
type failure struct {
	need needKey
	kind string
}

// active is a job that holds places.
type active struct {
	job      *api.Job
	parts    []held
	lost     time.Duration
	covered  bool
	stopping bool // stops already, or this round preempts it
}

// held is what one task holds on a worker.
type held struct {
	worker int
	room   packing.Capacity
}

func newRound(s *Snapshot) *round {
	n := len(s.Workers)
	rooms := make([]packing.Capacity, 7*n)
	next := func() (out []packing.Capacity) {
		out, rooms = rooms[:n:n], rooms[n:]
		return out
	}
	r := &round{
		s: s, plan: Plan{Reasons: make(map[string]string)}, index: make(map[string]int, n),
		capacity: next(), base: next(), free: next(), ending: next(), outside: next(), scratch: next(), hard: next(),
		byWorker: make([][]int32, n), loss: make([][]int64, n), areas: make(map[string]*area),
		byJob: make(map[string]int), pending: make(map[string][]api.TaskPlacement), failed: make(map[failure]bool), fitted: make(map[needKey]bool), sentences: make(map[string]string),
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
	racks, models := make([]string, len(r.s.Workers)), make([]string, len(r.s.Workers))
	lossAll := make([]int64, len(r.s.Workers)*packing.MaxAccelerators)
	for i := range r.s.Workers {
		w := &r.s.Workers[i]
		r.index[w.ID], racks[i], models[i] = i, w.Rack, w.AcceleratorModel
		r.capacity[i] = packing.Capacity{
			Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: packing.FirstN(w.Accelerators),
		}
		size := min(w.Accelerators, packing.MaxAccelerators)
		r.loss[i], lossAll = lossAll[:size:size], lossAll[size:]
		if w.State != WorkerLive {
			continue
		}
		r.live = append(r.live, i)
		room := r.capacity[i]
		for _, f := range w.Orphans {
			room = room.Sub(packing.CapacityOf(f.Resources, 1, packing.SetOf(f.Accelerators)))
		}
		r.base[i], r.free[i], r.ending[i] = room, room, room
	}
	r.fleet = packing.NewTopology(racks, models)
	r.packer = packing.NewPacker(r.fleet)
}

// addActive takes the places of all jobs that hold some.
func (r *round) addActive() {
	jobs, tasks := 0, 0
	for i := range r.s.Jobs {
		if holdsPlaces(&r.s.Jobs[i]) {
			jobs++
			tasks += len(r.s.Jobs[i].Placement)
		}
	}
	r.active = make([]active, 0, jobs)
	parts := make([]held, 0, tasks)
	for i := range r.s.Jobs {
		job := &r.s.Jobs[i]
		if !holdsPlaces(job) {
			continue
		}
		first := len(parts)
		for _, t := range job.Placement {
			if w, ok := r.index[t.Worker]; ok {
				parts = append(parts, held{w, packing.CapacityOf(job.Spec.Resources, 1, packing.SetOf(t.Accelerators))})
			}
		}
		r.byJob[job.ID] = len(r.active)
		r.active = append(r.active, active{
			job: job, parts: parts[first:len(parts):len(parts)], lost: r.lostWork(job),
			stopping: job.State == api.JobStateStopping || job.CancelRequested,
		})
	}
	r.occupy(tasks)
}

func holdsPlaces(job *api.Job) bool {
	switch job.State {
	case api.JobStatePlaced, api.JobStateRunning, api.JobStateStopping:
		return true
	default:
		return false
	}
}

// occupy removes the places of active jobs from the rooms.
func (r *round) occupy(tasks int) {
	refs := make([]int32, 0, tasks)
	counts := make([]int, len(r.byWorker))
	for i := range r.active {
		for _, p := range r.active[i].parts {
			counts[p.worker]++
		}
	}
	for w, n := range counts {
		r.byWorker[w], refs = refs[:0:n], refs[n:n:cap(refs)]
	}
	for i := range r.active {
		a := &r.active[i]
		for _, p := range a.parts {
			r.byWorker[p.worker] = append(r.byWorker[p.worker], int32(i))
			r.free[p.worker] = r.free[p.worker].Sub(p.room)
			if !a.stopping {
				r.ending[p.worker] = r.ending[p.worker].Sub(p.room)
			}
			r.recordLoss(a, p)
		}
	}
}

// recordLoss spreads the lost work of a job over the accelerators of a task, so
// that taking the whole task costs what the stop of the job costs.
func (r *round) recordLoss(a *active, p held) {
	if p.room.Accelerators == 0 {
		return
	}
	each := int64(a.lost/time.Millisecond) / int64(p.room.Accelerators.Len())
	for set := p.room.Accelerators; set != 0; set &= set - 1 {
		if k := set.First(); k < len(r.loss[p.worker]) {
			r.loss[p.worker][k] = each
		}
	}
}

// lostWork is the accelerator time that a stop of the job would lose now.
func (r *round) lostWork(job *api.Job) time.Duration {
	placed := time.UnixMilli(job.PlacedMs)
	since := r.s.Now.Sub(placed)
	if t, ok := r.s.LastCheckpoint[job.ID]; ok && t.After(placed) {
		since = r.s.Now.Sub(t)
	} else if job.Attempt <= 1 {
		since -= time.Duration(job.ProgressMs) * time.Millisecond
	}
	return guarantee.LostWork(since, job.Spec.Tasks*job.Spec.Resources.Accelerators)
}

// preemptLeaving stops the jobs that have a task on a leaving worker.
func (r *round) preemptLeaving() {
	for i := range r.active {
		a := &r.active[i]
		for _, p := range a.parts {
			if w := &r.s.Workers[p.worker]; w.State == WorkerLeaving && !a.stopping {
				r.preempt(i, "", "Worker "+w.ID+" is leaving; the job continues elsewhere from its checkpoint.")
			}
		}
	}
}

// preempt stops an active job. Its places count as ending from now on.
func (r *round) preempt(i int, forJob, detail string) {
	a := &r.active[i]
	a.stopping = true
	for _, p := range a.parts {
		if r.s.Workers[p.worker].State == WorkerLive {
			r.ending[p.worker] = r.ending[p.worker].Add(p.room).Min(r.base[p.worker])
		}
	}
	r.plan.Preemptions = append(r.plan.Preemptions, Preemption{
		JobID: a.job.ID, ForJob: forJob, Reason: PreemptionPreempted, Detail: detail,
	})
}
