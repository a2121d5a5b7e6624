package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxNamed is the number of jobs that a sentence names.
const maxNamed = 3

// cover places a job inside the reservation of its organisation, or reclaims
// the reservation for it. It leaves the job to borrow if it does not fit.
func (r *round) cover(w *waitingJob) {
	a := r.areas[w.job.Organisation]
	if a == nil {
		return
	}
	if reason := r.usage.blocked(w); reason != "" {
		w.blocked = reason
		return
	}
	kind := "reservation of " + w.job.Organisation
	if r.hasFailed(w, kind) {
		return
	}
	for _, i := range a.candidates {
		r.scratch[i] = a.rest[i].Min(r.free[i])
	}
	places, ok := r.packer.Place(packing.Query{Need: w.need, Rooms: r.scratch, Candidates: a.candidates})
	if ok {
		r.place(w, places, true)
		a.take(w, places)
		return
	}
	if !r.reclaim(w, a) {
		r.setFailed(w, kind)
	}
}

// reclaim preempts the borrowers in the reservation with the least lost work
// and keeps the places for the job.
func (r *round) reclaim(w *waitingJob, a *area) bool {
	places, ok := r.packer.Place(packing.Query{
		Need: w.need, Rooms: a.rest, Candidates: a.candidates,
		Cost: func(worker, n int) int64 { return r.preemptCost(a.rest[worker], worker, n, w) },
		Pick: r.pickCheapest,
	})
	if !ok {
		return false
	}
	mayPreempt := func(x *active) bool {
		// An earlier job of the same organisation keeps its place, or the two
		// would preempt each other by turns.
		return !x.covered && (x.job.Organisation != w.job.Organisation || r.before(w, x))
	}
	detail := fmt.Sprintf("Organisation %s needs its guaranteed capacity for job %s.", w.job.Organisation, w.job.Spec.Name)
	if !r.makeRoom(w, places, mayPreempt, detail) {
		return false
	}
	a.take(w, places)
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

func (a *area) take(w *waitingJob, places []packing.Assignment) {
	for _, p := range places {
		a.rest[p.Worker] = a.rest[p.Worker].Sub(packing.RoomOf(w.need.Resources, 1, p.Accelerators))
	}
}

// makeRoom preempts what occupies the places and holds them for the job. It
// changes nothing if the allowed victims do not suffice.
func (r *round) makeRoom(w *waitingJob, places []packing.Assignment, may func(*active) bool, detail string) bool {
	wanted := r.wanted(w, places)
	if len(wanted) > 0 {
		victims, ok := guarantee.Victims(r.borrowers(wanted, may), wanted)
		if !ok {
			return false
		}
		for _, id := range victims {
			r.preempt(r.byJob[id], w.job.ID, detail)
		}
	}
	r.hold(w, places)
	return true
}

// wanted lists what of the places neither is free nor becomes free by itself.
func (r *round) wanted(w *waitingJob, places []packing.Assignment) []guarantee.Wanted {
	var out []guarantee.Wanted
	for i := 0; i < len(places); {
		worker, room := places[i].Worker, packing.Room{}
		for ; i < len(places) && places[i].Worker == worker; i++ {
			room = room.Add(packing.RoomOf(w.need.Resources, 1, places[i].Accelerators))
		}
		if open := room.Sub(r.ending[worker]); !open.Empty() {
			out = append(out, guarantee.Wanted{Worker: r.s.Workers[worker].ID, Room: open})
		}
	}
	return out
}

// borrowers lists the active jobs on the wanted workers that may be preempted.
func (r *round) borrowers(wanted []guarantee.Wanted, may func(*active) bool) []guarantee.Borrower {
	var positions []int32
	for _, w := range wanted {
		positions = append(positions, r.byWorker[r.index[w.Worker]]...)
	}
	slices.Sort(positions)
	var out []guarantee.Borrower
	for _, i := range slices.Compact(positions) {
		if x := &r.active[i]; !x.stopping && may(x) {
			out = append(out, guarantee.Borrower{
				JobID: x.job.ID, Resources: x.job.Spec.Resources, Tasks: x.job.Placement, Lost: x.lost,
			})
		}
	}
	return out
}

// preemptCost prices n tasks on a worker: nothing where it is free, little
// where tasks are being stopped, and the lost work elsewhere.
func (r *round) preemptCost(room packing.Room, worker, n int, w *waitingJob) int64 {
	need := w.need.Resources
	if n <= r.free[worker].Min(room).Tasks(need, n) {
		return 0
	}
	if n <= r.ending[worker].Min(room).Tasks(need, n) {
		return 1
	}
	cost := int64(2)
	picked := r.pickCheapest(worker, room.Accelerators, n*need.Accelerators) &^ r.ending[worker].Accelerators
	for ; picked != 0; picked &= picked - 1 {
		if i := picked.First(); i < len(r.loss[worker]) {
			cost += r.loss[worker][i]
		}
	}
	return cost
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
