package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxNamed is the number of jobs that a sentence names.
const maxNamed = 3

// cover places a job inside the reservation of its organisation, or reclaims
// the reservation for it. It leaves the job to borrow if it does not fit, or if
// it would break places of the reservation while other free ones hold it.
func (r *round) cover(w *waitingJob) {
	a := r.areas[w.job.Organisation]
	if a == nil {
		return
	}
	if r.usage.blocked(w) != "" {
		return
	}
	if tasks, ok := r.pending[w.job.ID]; ok && r.coverPending(w, r.assignments(tasks)) {
		return
	}
	if a.breaksPlaces(w) && r.fitsOutside(w) {
		w.deferred = true
		return
	}
	r.coverInside(w, a)
}

// coverInside covers a job on free places of the reservations, or reclaims them.
func (r *round) coverInside(w *waitingJob, a *area) bool {
	kind := "reservation of " + w.job.Organisation
	if r.hasFailed(w, kind) {
		return false
	}
	// A preferred shape is reclaimed even if another one of the organisation is
	// free, so that the others stay whole for the jobs that need them.
	if slices.ContainsFunc(a.options(w), func(o *area) bool { return r.coverFree(w, o) || r.reclaim(w, o) }) {
		return true
	}
	r.setFailed(w, kind)
	return false
}

// fitsOutside tells whether a job fits on free places that nobody has reserved.
// A job with small tasks then borrows them: it costs nobody any work, and the
// reservation stays whole for large jobs.
func (r *round) fitsOutside(w *waitingJob) bool {
	return r.packer.Fits(packing.Query{Gang: w.need, Available: r.freeOutside(), Candidates: r.live})
}

// freeOutside is what is free outside of the unused reservations. It is derived
// again after each change of the reservations.
func (r *round) freeOutside() []packing.Capacity {
	if !r.outsideKnown {
		r.computeOutside()
		r.outsideKnown = true
	}
	return r.outside
}

// coverFree places a job on free places of an area.
func (r *round) coverFree(w *waitingJob, a *area) bool {
	for _, p := range a.parts {
		r.scratch[p.worker] = p.room.Min(r.free[p.worker])
	}
	places, ok := r.packer.Place(packing.Query{Gang: w.need, Available: r.scratch, Candidates: a.workers})
	if !ok || !r.keeps(w, a, places) {
		return false
	}
	r.place(w, places, true)
	return true
}

// reclaim preempts the borrowers in an area with the least lost work and keeps
// the places for the job.
func (r *round) reclaim(w *waitingJob, a *area) bool {
	for _, p := range a.parts {
		r.scratch[p.worker] = p.room
	}
	places, ok := r.packer.Place(packing.Query{
		Gang: w.need, Available: r.scratch, Candidates: a.workers,
		Cost: func(worker, n int) int64 { return r.preemptCost(r.scratch[worker], worker, n, w) },
		Pick: r.pickCheapest,
	})
	if !ok {
		return false
	}
	return r.reclaimPlaces(w, places, func() bool { return r.keeps(w, a, places) })
}

// coverPending goes on with a reclaim that an earlier plan began. The places are
// inside the reservation and are kept for the job already.
func (r *round) coverPending(w *waitingJob, places []packing.Assignment) bool {
	if !r.freeTogether(w, places) {
		return r.reclaimPlaces(w, places, always)
	}
	r.place(w, places, true)
	return true
}

func always() bool { return true }

// freeTogether tells whether the places are free even if several are on one worker.
func (r *round) freeTogether(w *waitingJob, places []packing.Assignment) bool {
	sum := make(map[int]packing.Capacity)
	for _, p := range places {
		sum[p.Worker] = sum[p.Worker].Add(packing.CapacityOf(w.need.Resources, 1, p.Accelerators))
		if !r.free[p.Worker].Covers(sum[p.Worker]) {
			return false
		}
	}
	return true
}

func (r *round) assignments(tasks []api.TaskPlacement) []packing.Assignment {
	out := make([]packing.Assignment, len(tasks))
	for i, t := range tasks {
		out[i] = packing.Assignment{Worker: r.index[t.Worker], Accelerators: packing.SetOf(t.Accelerators)}
	}
	return out
}

// reclaimPlaces preempts what occupies places in the guarantee of the job.
func (r *round) reclaimPlaces(w *waitingJob, places []packing.Assignment, confirm func() bool) bool {
	mayPreempt := func(x *active) bool {
		// An earlier job of the same organisation keeps its place, or the two
		// would preempt each other by turns.
		return !x.covered && (x.job.Organisation != w.job.Organisation || r.before(w, x))
	}
	detail := fmt.Sprintf("Organisation %s needs its guaranteed capacity for job %s.", w.job.Organisation, w.job.Spec.Name)
	if !r.makeRoom(w, places, mayPreempt, detail, confirm) {
		return false
	}
	r.plan.Pending = append(r.plan.Pending, Placement{JobID: w.job.ID, Tasks: r.tasks(places), Covered: true})
	r.wait(w, fmt.Sprintf("Needs %s; this is inside the guarantee of %s. %s", r.describe(w), w.job.Organisation, r.whoStops(places, w)))
	return true
}

// before tells whether a waiting job goes before an active one.
func (r *round) before(w *waitingJob, x *active) bool {
	if rank := r.rank(x.job); rank != w.rank {
		return w.rank < rank
	}
	return compareAge(w.job, x.job) < 0
}

// makeRoom preempts what occupies the places and holds them for the job. It
// changes nothing if the allowed victims do not suffice or confirm says no.
func (r *round) makeRoom(w *waitingJob, places []packing.Assignment, may func(*active) bool, detail string, confirm func() bool) bool {
	var victims []string
	if wanted := r.wanted(w, places); len(wanted) > 0 {
		ok := false
		if victims, ok = guarantee.SelectVictims(r.borrowers(wanted, may), wanted); !ok {
			return false
		}
	}
	if !confirm() {
		return false
	}
	for _, id := range victims {
		r.preempt(r.byJob[id], w.job.ID, detail)
	}
	r.hold(w, places)
	return true
}

// wanted lists what of the places neither is free nor becomes free by itself.
func (r *round) wanted(w *waitingJob, places []packing.Assignment) []guarantee.ReclaimTarget {
	var out []guarantee.ReclaimTarget
	for i := 0; i < len(places); {
		worker, room := places[i].Worker, packing.Capacity{}
		for ; i < len(places) && places[i].Worker == worker; i++ {
			room = room.Add(packing.CapacityOf(w.need.Resources, 1, places[i].Accelerators))
		}
		if open := room.Sub(r.ending[worker]); !open.Empty() {
			out = append(out, guarantee.ReclaimTarget{Worker: r.s.Workers[worker].ID, Capacity: open})
		}
	}
	return out
}

// borrowers lists the active jobs on the wanted workers that may be preempted.
func (r *round) borrowers(wanted []guarantee.ReclaimTarget, may func(*active) bool) []guarantee.Borrower {
	var positions []int32
	for _, w := range wanted {
		positions = append(positions, r.byWorker[r.index[w.Worker]]...)
	}
	slices.Sort(positions)
	var out []guarantee.Borrower
	for _, i := range slices.Compact(positions) {
		if x := &r.active[i]; !x.stopping && may(x) {
			out = append(out, guarantee.Borrower{
				JobID: x.job.ID, Resources: x.job.Spec.Resources, Tasks: x.job.Placement, LostWork: x.lost,
			})
		}
	}
	return out
}

// preemptCost prices n tasks on a worker: nothing where it is free, little
// where tasks are being stopped, and the lost work elsewhere.
func (r *round) preemptCost(room packing.Capacity, worker, n int, w *waitingJob) int64 {
	need := w.need.Resources
	if n <= r.free[worker].Min(room).MaxTasks(need, n) {
		return 0
	}
	if n <= r.ending[worker].Min(room).MaxTasks(need, n) {
		return 1
	}
	cost := int64(2)
	picked := r.pickCheapest(worker, room.Accelerators, n*need.Accelerators) &^ r.ending[worker].Accelerators
	for ; picked != 0; picked &= picked - 1 {
		if i := picked.First(); i < len(r.loss[worker]) {
			cost += r.loss[worker][i]
		}
	}
	if all := packing.CapacityOf(need, n, 0); !r.ending[worker].Covers(all) {
		cost += r.leastLoss(worker)
	}
	return cost
}

// leastLoss is what the cheapest borrower on a worker loses, as a price of its
// cores and memory.
func (r *round) leastLoss(worker int) int64 {
	least := int64(-1)
	for _, i := range r.byWorker[worker] {
		x := &r.active[i]
		if lost := int64(x.lost / time.Millisecond); !x.stopping && !x.covered && (least < 0 || lost < least) {
			least = lost
		}
	}
	return max(0, least)
}

func (r *round) pickCheapest(worker int, available packing.Set, n int) packing.Set {
	return guarantee.PickCheapest(available, n, r.free[worker].Accelerators, r.ending[worker].Accelerators, r.loss[worker])
}

// whoStops names the jobs that must stop before the places are free.
func (r *round) whoStops(places []packing.Assignment, w *waitingJob) string {
	var names []string
	seen := make(map[int32]bool)
	for _, p := range places {
		for _, i := range r.byWorker[p.Worker] {
			x := &r.active[i]
			if seen[i] || !x.stopping || !x.overlaps(p, w) {
				continue
			}
			seen[i] = true
			names = append(names, x.name())
		}
	}
	if len(names) == 0 {
		return "It starts as soon as its places are free."
	}
	return "It starts when " + joinNames(names) + " " + isAre(len(names)) + " stopped."
}

func (x *active) overlaps(p packing.Assignment, w *waitingJob) bool {
	for _, h := range x.parts {
		if h.worker == p.Worker && (p.Accelerators == 0 || h.room.Accelerators&p.Accelerators != 0 ||
			h.room.Accelerators == 0 && w.need.Resources.Cores > 0) {
			return true
		}
	}
	return false
}

func (x *active) name() string {
	return fmt.Sprintf("%s of %s", x.job.Spec.Name, x.job.Organisation)
}

func joinNames(names []string) string {
	if len(names) > maxNamed {
		names = append(slices.Clone(names[:maxNamed]), packing.Count(len(names)-maxNamed, "other job"))
	}
	if len(names) == 1 {
		return names[0]
	}
	return strings.Join(names[:len(names)-1], ", ") + " and " + names[len(names)-1]
}

func isAre(n int) string {
	if n == 1 {
		return "has"
	}
	return "have"
}

func (r *round) describe(w *waitingJob) string {
	return packing.Describe(w.need.Tasks, w.need.Resources, w.need.Adjacency, w.need.Model)
}

func (r *round) hasFailed(w *waitingJob, kind string) bool {
	return r.failed[failure{w.key, kind}]
}

// setFailed remembers that a need does not fit. Rooms only shrink in a round.
func (r *round) setFailed(w *waitingJob, kind string) {
	if len(w.need.Avoid) == 0 {
		r.failed[failure{w.key, kind}] = true
	}
}
