package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Kinds of room in which a need may fail.
const (
	kindOutside = "outside"
	kindFree    = "free"
	kindUrgent  = "urgent"
)

// borrow places a job on free places, preferring those that are not reserved.
func (r *round) borrow(w *waitingJob) {
	if r.usage.organisations[w.job.Organisation] == nil {
		r.wait(w, "Organisation "+w.job.Organisation+" is not in the catalogue; the job waits until it is.")
		return
	}
	if w.job.Spec.Team != "" && r.usage.teams[w.job.Spec.Team] == nil {
		r.wait(w, "Team "+w.job.Spec.Team+" is not in the catalogue; the job waits until it is.")
		return
	}
	if reason := r.usage.blocked(w); reason != "" {
		r.wait(w, reason)
		return
	}
	if r.borrowFree(w, kindOutside, r.freeOutside()) ||
		w.deferred && r.coverInside(w, r.areas[w.job.Organisation]) ||
		r.borrowFree(w, kindFree, r.free) || r.backfill(w) || r.borrowUrgent(w) {
		return
	}
	r.wait(w, r.whyNoRoom(w))
	if w.overdue {
		r.holdForLarge(w)
	}
}

func (r *round) borrowFree(w *waitingJob, kind string, rooms []packing.Capacity) bool {
	if r.hasFailed(w, kind) {
		return false
	}
	places, ok := r.packer.Place(packing.Query{Gang: w.need, Available: rooms, Candidates: r.live})
	if !ok {
		r.setFailed(w, kind)
		return false
	}
	r.place(w, places, false)
	return true
}

// borrowUrgent preempts batch borrowers for an urgent job.
func (r *round) borrowUrgent(w *waitingJob) bool {
	if w.job.Urgency != api.Urgent || r.hasFailed(w, kindUrgent) {
		return false
	}
	mayPreempt := func(x *active) bool { return !x.covered && x.job.Urgency == api.Batch }
	copy(r.hard, r.ending)
	for i := range r.active {
		if x := &r.active[i]; !x.stopping && mayPreempt(x) {
			for _, p := range x.parts {
				if r.s.Workers[p.worker].State == WorkerLive {
					r.hard[p.worker] = r.hard[p.worker].Add(p.room).Min(r.base[p.worker])
				}
			}
		}
	}
	places, ok := r.packer.Place(packing.Query{
		Gang: w.need, Available: r.hard, Candidates: r.live,
		Cost: func(worker, n int) int64 { return r.preemptCost(r.hard[worker], worker, n, w) },
		Pick: r.pickCheapest,
	})
	detail := fmt.Sprintf("Urgent job %s of %s needs the place.", w.job.Spec.Name, w.job.Organisation)
	if !ok || !r.makeRoom(w, places, mayPreempt, detail, func() bool { return true }) {
		r.setFailed(w, kindUrgent)
		return false
	}
	r.wait(w, fmt.Sprintf("Needs %s at once. %s", r.describe(w), r.whoStops(places, w)))
	return true
}

// whyNoRoom says what a job needs, who holds it and what would free it.
func (r *round) whyNoRoom(w *waitingJob) string {
	free := 0
	for i := range r.free {
		if w.need.Model == "" || r.s.Workers[i].AcceleratorModel == w.need.Model {
			free += r.free[i].Accelerators.Len()
		}
	}
	n := w.accelerators()
	have := fmt.Sprintf("only %d of them are free in zone %s", free, r.s.Zone)
	switch {
	case n == 0:
		have = fmt.Sprintf("no worker of zone %s has so many cores and so much memory free", r.s.Zone)
	case free >= n:
		have = fmt.Sprintf("zone %s has %s free, but not where the whole job would fit", r.s.Zone, packing.Count(free, "accelerator"))
	}
	return fmt.Sprintf("Needs %s; %s. %s", r.describe(w), have, r.whoHolds(w.need.Model, n == 0))
}

// whoHolds names the largest holders of what a job needs.
func (r *round) whoHolds(model string, cores bool) string {
	key := fmt.Sprint(model, cores)
	if text, ok := r.sentences[key]; ok {
		return text
	}
	type holder struct{ position, amount int }
	var holders []holder
	for i := range r.active {
		h := holder{position: i}
		for _, p := range r.active[i].parts {
			switch {
			case model != "" && r.s.Workers[p.worker].AcceleratorModel != model:
			case cores:
				h.amount += p.room.Cores
			default:
				h.amount += p.room.Accelerators.Len()
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
	r.sentences[key] = text
	return text
}
