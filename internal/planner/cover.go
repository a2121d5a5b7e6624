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

// maxNamed bounds the jobs that a sentence lists by name.
const maxNamed = 3

// placeCovered places a job inside the reservation of its organisation, or
// reclaims the reservation for it. The job stays in the queue for borrowing if
// it does not fit, or if it would fragment the reservation while it fits
// elsewhere.
func (r *round) placeCovered(w *waitingJob) {
	unused := r.unused[w.job.Organisation]
	if unused == nil {
		return
	}
	if r.usage.blockedReason(w) != "" {
		return
	}
	if tasks, ok := r.pending[w.job.ID]; ok && r.resumeReclaim(w, r.assignments(tasks)) {
		return
	}
	if unused.fragmentedBy(w) && r.fitsUnreserved(w) {
		w.borrowsFirst = true
		return
	}
	r.coverInReservation(w, unused)
}

// coverInReservation covers a job on free capacity of the reservations, or
// reclaims reserved capacity from borrowers.
func (r *round) coverInReservation(w *waitingJob, unused *unusedReservation) bool {
	kind := "reservation of " + w.job.Organisation
	if r.hasFailed(w, kind) {
		return false
	}
	// A preferred shape is reclaimed even if another shape of the organisation is
	// free, so that the others stay unfragmented for the jobs that need them.
	if slices.ContainsFunc(unused.candidates(w), func(candidate *unusedReservation) bool { return r.coverFree(w, candidate) || r.reclaim(w, candidate) }) {
		return true
	}
	r.markFailed(w, kind)
	return false
}

// fitsUnreserved reports whether a job fits on free capacity that is not
// reserved. A job with small tasks then borrows this capacity: nothing is
// preempted, and the reservation stays unfragmented for large jobs.
func (r *round) fitsUnreserved(w *waitingJob) bool {
	return r.packer.Fits(packing.Query{Gang: w.gang, Available: r.unreservedFree(), Candidates: r.live})
}

// unreservedFree returns the free capacity outside of the unused reservations.
// It is computed again after each change of the reservations.
func (r *round) unreservedFree() []packing.Capacity {
	if !r.unreservedValid {
		r.computeUnreserved()
		r.unreservedValid = true
	}
	return r.unreserved
}

// coverFree places a job on free capacity of a reservation.
func (r *round) coverFree(w *waitingJob, unused *unusedReservation) bool {
	for _, part := range unused.allocations {
		r.scratch[part.worker] = part.capacity.Min(r.free[part.worker])
	}
	assignments, ok := r.packer.Place(packing.Query{Gang: w.gang, Available: r.scratch, Candidates: unused.workers})
	if !ok || !r.tryCover(w, unused, assignments) {
		return false
	}
	r.place(w, assignments, true)
	return true
}

// reclaim preempts the borrowers in a reservation that lose the least work and
// holds their capacity for the job.
func (r *round) reclaim(w *waitingJob, unused *unusedReservation) bool {
	for _, part := range unused.allocations {
		r.scratch[part.worker] = part.capacity
	}
	assignments, ok := r.packer.Place(packing.Query{
		Gang: w.gang, Available: r.scratch, Candidates: unused.workers,
		Cost: func(worker, n int) int64 { return r.preemptionCost(r.scratch[worker], worker, n, w) },
		Pick: r.pickCheapest,
	})
	if !ok {
		return false
	}
	return r.reclaimPlacement(w, assignments, func() bool { return r.tryCover(w, unused, assignments) })
}

// resumeReclaim continues a reclaim that an earlier plan began. The placement
// is inside the reservation and is already held for the job.
func (r *round) resumeReclaim(w *waitingJob, assignments []packing.Assignment) bool {
	if !r.allFree(w, assignments) {
		return r.reclaimPlacement(w, assignments, always)
	}
	r.place(w, assignments, true)
	return true
}

func always() bool { return true }

// allFree reports whether all tasks fit on free capacity at once, also if
// several are on one worker.
func (r *round) allFree(w *waitingJob, assignments []packing.Assignment) bool {
	sum := make(map[int]packing.Capacity)
	for _, a := range assignments {
		sum[a.Worker] = sum[a.Worker].Add(packing.CapacityOf(w.gang.Resources, 1, a.Accelerators))
		if !r.free[a.Worker].Covers(sum[a.Worker]) {
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

// reclaimPlacement preempts the jobs that occupy the capacity of a placement
// inside the guarantee of the waiting job.
func (r *round) reclaimPlacement(w *waitingJob, assignments []packing.Assignment, confirm func() bool) bool {
	mayPreempt := func(a *activeJob) bool {
		// An earlier job of the same organisation is not preempted: the two would
		// preempt each other in turn.
		return !a.covered && (a.job.Organisation != w.job.Organisation || r.precedes(w, a))
	}
	detail := fmt.Sprintf("Organisation %s needs its guaranteed capacity for job %s.", w.job.Organisation, w.job.Spec.Name)
	if !r.preemptFor(w, assignments, mayPreempt, detail, confirm) {
		return false
	}
	r.plan.Pending = append(r.plan.Pending, Placement{JobID: w.job.ID, Tasks: r.taskPlacements(assignments), Covered: true})
	r.setReason(w, fmt.Sprintf("Needs %s; this is inside the guarantee of %s. %s", r.describe(w), w.job.Organisation, r.explainStops(assignments, w)))
	return true
}

// precedes reports whether a waiting job comes before an active one in planning
// order.
func (r *round) precedes(w *waitingJob, a *activeJob) bool {
	if rank := r.rank(a.job); rank != w.rank {
		return w.rank < rank
	}
	return compareAge(w.job, a.job) < 0
}

// preemptFor preempts jobs that occupy the capacity of a placement and holds this
// capacity for the waiting job. It changes nothing if the allowed victims do not
// suffice or confirm returns false.
func (r *round) preemptFor(w *waitingJob, assignments []packing.Assignment, mayPreempt func(*activeJob) bool, detail string, confirm func() bool) bool {
	var victims []string
	if targets := r.reclaimTargets(w, assignments); len(targets) > 0 {
		ok := false
		if victims, ok = guarantee.SelectVictims(r.borrowers(targets, mayPreempt), targets); !ok {
			return false
		}
	}
	if !confirm() {
		return false
	}
	for _, id := range victims {
		r.preempt(r.byJob[id], w.job.ID, detail)
	}
	r.holdFor(w, assignments)
	return true
}

// reclaimTargets lists the parts of a placement that are not free and will not
// become free without a preemption.
func (r *round) reclaimTargets(w *waitingJob, assignments []packing.Assignment) []guarantee.ReclaimTarget {
	var out []guarantee.ReclaimTarget
	for i := 0; i < len(assignments); {
		worker, needed := assignments[i].Worker, packing.Capacity{}
		for ; i < len(assignments) && assignments[i].Worker == worker; i++ {
			needed = needed.Add(packing.CapacityOf(w.gang.Resources, 1, assignments[i].Accelerators))
		}
		if missing := needed.Sub(r.futureFree[worker]); !missing.Empty() {
			out = append(out, guarantee.ReclaimTarget{Worker: r.snapshot.Workers[worker].ID, Capacity: missing})
		}
	}
	return out
}

// borrowers lists the active jobs on the target workers that may be preempted.
func (r *round) borrowers(targets []guarantee.ReclaimTarget, mayPreempt func(*activeJob) bool) []guarantee.Borrower {
	var positions []int32
	for _, t := range targets {
		positions = append(positions, r.byWorker[r.index[t.Worker]]...)
	}
	slices.Sort(positions)
	var out []guarantee.Borrower
	for _, i := range slices.Compact(positions) {
		if a := &r.active[i]; !a.stopping && mayPreempt(a) {
			out = append(out, guarantee.Borrower{
				JobID: a.job.ID, Resources: a.job.Spec.Resources, Tasks: a.job.Placement, LostWork: a.lostWork,
			})
		}
	}
	return out
}

// preemptionCost returns the cost of n tasks on a worker: 0 if free capacity
// suffices, 1 if free capacity and capacity being released suffice, and otherwise
// 2 plus the lost work in ms.
func (r *round) preemptionCost(available packing.Capacity, worker, n int, w *waitingJob) int64 {
	need := w.gang.Resources
	if n <= r.free[worker].Min(available).MaxTasks(need, n) {
		return 0
	}
	if n <= r.futureFree[worker].Min(available).MaxTasks(need, n) {
		return 1
	}
	cost := int64(2)
	picked := r.pickCheapest(worker, available.Accelerators, n*need.Accelerators) &^ r.futureFree[worker].Accelerators
	for ; picked != 0; picked &= picked - 1 {
		if i := picked.First(); i < len(r.loss[worker]) {
			cost += r.loss[worker][i]
		}
	}
	if all := packing.CapacityOf(need, n, 0); !r.futureFree[worker].Covers(all) {
		cost += r.leastLoss(worker)
	}
	return cost
}

// leastLoss returns the smallest lost work of a borrower on a worker, as the
// cost of its cores and memory.
func (r *round) leastLoss(worker int) int64 {
	least := int64(-1)
	for _, i := range r.byWorker[worker] {
		a := &r.active[i]
		if lost := int64(a.lostWork / time.Millisecond); !a.stopping && !a.covered && (least < 0 || lost < least) {
			least = lost
		}
	}
	return max(0, least)
}

func (r *round) pickCheapest(worker int, available packing.Set, n int) packing.Set {
	return guarantee.PickCheapest(available, n, r.free[worker].Accelerators, r.futureFree[worker].Accelerators, r.loss[worker])
}

// explainStops returns a sentence that names the jobs that must stop before the
// capacity of the placement is free.
func (r *round) explainStops(assignments []packing.Assignment, w *waitingJob) string {
	var names []string
	seen := make(map[int32]bool)
	for _, assignment := range assignments {
		for _, i := range r.byWorker[assignment.Worker] {
			a := &r.active[i]
			if seen[i] || !a.stopping || !a.overlaps(assignment, w) {
				continue
			}
			seen[i] = true
			names = append(names, a.name())
		}
	}
	if len(names) == 0 {
		return "It starts as soon as its places are free."
	}
	return "It starts when " + joinNames(names) + " " + hasOrHave(len(names)) + " stopped."
}

// overlaps reports whether a job holds capacity that a task of the waiting job
// needs on the worker of the assignment.
func (a *activeJob) overlaps(assignment packing.Assignment, w *waitingJob) bool {
	for _, held := range a.allocations {
		if held.worker == assignment.Worker && (assignment.Accelerators == 0 || held.capacity.Accelerators&assignment.Accelerators != 0 ||
			held.capacity.Accelerators == 0 && w.gang.Resources.Cores > 0) {
			return true
		}
	}
	return false
}

func (a *activeJob) name() string {
	return fmt.Sprintf("%s of %s", a.job.Spec.Name, a.job.Organisation)
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

func hasOrHave(n int) string {
	if n == 1 {
		return "has"
	}
	return "have"
}

func (r *round) describe(w *waitingJob) string {
	return packing.Describe(w.gang.Tasks, w.gang.Resources, w.gang.Adjacency, w.gang.Model)
}

func (r *round) hasFailed(w *waitingJob, kind string) bool {
	return r.failedGangs[failedGang{w.key, kind}]
}

// markFailed records that a gang does not fit, so that equal gangs are not tried
// again in this round: capacity mostly shrinks during it. If a preemption or a
// change of the reservations makes room after all, the gang is tried in the next
// round. Gangs with workers to avoid are not recorded, since gangKey leaves
// these workers out.
func (r *round) markFailed(w *waitingJob, kind string) {
	if len(w.gang.Avoid) == 0 {
		r.failedGangs[failedGang{w.key, kind}] = true
	}
}
