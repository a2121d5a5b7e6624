package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Kinds of capacity in which a gang is tried, as recorded in failedGang. The
// reservations of each organisation are a further kind.
const (
	kindUnreserved  = "unreserved"
	kindFree        = "free"
	kindPreemptible = "urgent"
)

// borrow places a job on free capacity, preferably on capacity that is not
// reserved.
func (r *round) borrow(w *waitingJob) {
	if r.usage.organisations[w.job.Organisation] == nil {
		r.setReason(w, "Organisation "+w.job.Organisation+" is not in the catalogue; the job waits until it is.")
		return
	}
	if w.job.Spec.Team != "" && r.usage.teams[w.job.Spec.Team] == nil {
		r.setReason(w, "Team "+w.job.Spec.Team+" is not in the catalogue; the job waits until it is.")
		return
	}
	if reason := r.usage.blockedReason(w); reason != "" {
		r.setReason(w, reason)
		return
	}
	if r.borrowFree(w, kindUnreserved, r.unreservedFree()) ||
		w.borrowsFirst && r.coverInReservation(w, r.unused[w.job.Organisation]) ||
		r.borrowFree(w, kindFree, r.free) || r.backfill(w) || r.borrowUrgent(w) {
		return
	}
	r.setReason(w, r.explainWaiting(w))
	if w.overdue {
		r.addBackfillHold(w)
	}
}

func (r *round) borrowFree(w *waitingJob, kind string, available []packing.Capacity) bool {
	if r.hasFailed(w, kind) {
		return false
	}
	assignments, ok := r.packer.Place(packing.Query{Gang: w.gang, Available: available, Candidates: r.live})
	if !ok {
		r.markFailed(w, kind)
		return false
	}
	r.place(w, assignments, false)
	return true
}

// borrowUrgent preempts batch borrowers for an urgent job.
func (r *round) borrowUrgent(w *waitingJob) bool {
	if w.job.Urgency != api.Urgent || r.hasFailed(w, kindPreemptible) {
		return false
	}
	mayPreempt := func(a *activeJob) bool { return !a.covered && a.job.Urgency == api.Batch }
	copy(r.preemptible, r.futureFree)
	for i := range r.active {
		if a := &r.active[i]; !a.stopping && mayPreempt(a) {
			for _, held := range a.allocations {
				if r.snapshot.Workers[held.worker].State == WorkerLive {
					r.preemptible[held.worker] = r.preemptible[held.worker].Add(held.capacity).Min(r.usable[held.worker])
				}
			}
		}
	}
	assignments, ok := r.packer.Place(packing.Query{
		Gang: w.gang, Available: r.preemptible, Candidates: r.live,
		Cost: func(worker, n int) int64 { return r.preemptionCost(r.preemptible[worker], worker, n, w) },
		Pick: r.pickCheapest,
	})
	detail := fmt.Sprintf("Urgent job %s of %s needs the place.", w.job.Spec.Name, w.job.Organisation)
	if !ok || !r.preemptFor(w, assignments, mayPreempt, detail, func() bool { return true }) {
		r.markFailed(w, kindPreemptible)
		return false
	}
	r.setReason(w, fmt.Sprintf("Needs %s at once. %s", r.describe(w), r.explainStops(assignments, w)))
	return true
}

// explainWaiting returns what a job needs, which jobs hold it and what would
// free it.
func (r *round) explainWaiting(w *waitingJob) string {
	free := 0
	for i := range r.free {
		if w.gang.Model == "" || r.snapshot.Workers[i].AcceleratorModel == w.gang.Model {
			free += r.free[i].Accelerators.Len()
		}
	}
	n := w.accelerators()
	have := fmt.Sprintf("only %d of them are free in zone %s", free, r.snapshot.Zone)
	switch {
	case n == 0:
		have = fmt.Sprintf("no worker of zone %s has so many cores and so much memory free", r.snapshot.Zone)
	case free >= n:
		have = fmt.Sprintf("zone %s has %s free, but not where the whole job would fit", r.snapshot.Zone, packing.Count(free, "accelerator"))
	}
	return fmt.Sprintf("Needs %s; %s. %s", r.describe(w), have, r.explainHolders(w.gang.Model, n == 0))
}

// explainHolders returns a sentence with the largest holders of what a job
// needs: of cores if cores is set, otherwise of accelerators of the model, where
// an empty model means any.
func (r *round) explainHolders(model string, cores bool) string {
	key := fmt.Sprint(model, cores)
	if text, ok := r.holderSentences[key]; ok {
		return text
	}
	type holder struct{ position, amount int }
	var holders []holder
	for i := range r.active {
		h := holder{position: i}
		for _, held := range r.active[i].allocations {
			switch {
			case model != "" && r.snapshot.Workers[held.worker].AcceleratorModel != model:
			case cores:
				h.amount += held.capacity.Cores
			default:
				h.amount += held.capacity.Accelerators.Len()
			}
		}
		if h.amount > 0 {
			holders = append(holders, h)
		}
	}
	slices.SortStableFunc(holders, func(a, b holder) int { return cmp.Compare(b.amount, a.amount) })
	unit := "accelerator"
	if cores {
		unit = "core"
	}
	var names []string
	for i, h := range holders {
		name := ""
		if i < maxNamed {
			name = fmt.Sprintf("%s (%s)", r.active[h.position].name(), packing.Count(h.amount, unit))
		}
		names = append(names, name)
	}
	text := "No job holds them; it starts when more workers are in service or places held for earlier jobs are released."
	if len(names) > 0 {
		text = "Most is held by " + joinNames(names) + "; it starts when enough of them end."
	}
	r.holderSentences[key] = text
	return text
}
