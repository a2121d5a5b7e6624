package planner

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/packing"
)

const (
	// maxHolds bounds the jobs of a zone that get a backfill hold at a time, so
	// that holds do not keep much of the zone idle. In samphirepath-bench placement
	// (mean of seeds 1 to 6) small jobs took 49.6 min on average with 1 hold and
	// 52.8 min with 4, and large ones 240 and 243 min.
	maxHolds = 1
	// leastRemaining is the shortest time that a job which is past its declared
	// run time is expected to go on.
	leastRemaining = time.Minute
)

// backfillHold keeps free places for a job that has waited too long.
type backfillHold struct {
	rooms   map[int]packing.Capacity
	workers []int
	until   time.Time // when the job is expected to start
	strict  bool      // nothing is backfilled
}

// holdForLarge keeps the places that the job needs the fewest more of. As
// nothing else starts there, they grow until the job fits. While the job is not
// starving, jobs that should end before it can start may run there.
func (r *round) holdForLarge(w *waitingJob) {
	if len(r.holds) >= maxHolds {
		return
	}
	places, ok := r.packer.Place(packing.Query{
		Gang: w.need, Available: r.base, Candidates: r.live,
		Cost: func(worker, n int) int64 {
			return int64(n - r.free[worker].Min(r.base[worker]).MaxTasks(w.need.Resources, n))
		},
		Pick: r.pickCheapest,
	})
	if !ok {
		return
	}
	h := &backfillHold{rooms: make(map[int]packing.Capacity), until: r.s.Now, strict: r.waited(w.job) >= starveAfter}
	for _, p := range places {
		room := packing.CapacityOf(w.need.Resources, 1, p.Accelerators)
		if _, ok := h.rooms[p.Worker]; !ok {
			h.workers = append(h.workers, p.Worker)
		}
		h.rooms[p.Worker] = h.rooms[p.Worker].Add(room)
		r.delayUntilFree(h, p)
	}
	for _, i := range h.workers {
		h.rooms[i] = h.rooms[i].Min(r.free[i])
	}
	r.take(w, places)
	r.holds = append(r.holds, h)
}

// delayUntilFree moves the expected start past the end of what runs there.
func (r *round) delayUntilFree(h *backfillHold, p packing.Assignment) {
	for _, i := range r.byWorker[p.Worker] {
		x := &r.active[i]
		for _, part := range x.parts {
			if part.worker == p.Worker && part.room.Accelerators&p.Accelerators != 0 {
				if end := r.expectedEnd(x); end.After(h.until) {
					h.until = end
				}
			}
		}
	}
}

// expectedEnd takes the declared run time, and for a job that is past it as
// much time again as it has run.
func (r *round) expectedEnd(x *active) time.Time {
	if x.stopping {
		return r.s.Now
	}
	placed := time.UnixMilli(x.job.PlacedMs)
	if end := placed.Add(runTime(x.job.Spec.RunTimeS)); end.After(r.s.Now) {
		return end
	}
	return r.s.Now.Add(max(leastRemaining, r.s.Now.Sub(placed)))
}

func runTime(seconds int64) time.Duration { return time.Duration(seconds) * time.Second }

// backfill places a job on held places if it declares to end before they are
// needed.
func (r *round) backfill(w *waitingJob) bool {
	if w.job.Spec.RunTimeS <= 0 {
		return false
	}
	end := r.s.Now.Add(runTime(w.job.Spec.RunTimeS))
	for _, h := range r.holds {
		if h.strict || end.After(h.until) {
			continue
		}
		for _, i := range h.workers {
			r.scratch[i] = h.rooms[i]
		}
		places, ok := r.packer.Place(packing.Query{Gang: w.need, Available: r.scratch, Candidates: h.workers})
		if !ok {
			continue
		}
		for _, p := range places {
			room := packing.CapacityOf(w.need.Resources, 1, p.Accelerators)
			h.rooms[p.Worker] = h.rooms[p.Worker].Sub(room)
			r.giveBack(p.Worker, room)
		}
		r.place(w, places, false)
		return true
	}
	return false
}

// giveBack undoes what the hold took, because the placement takes it again.
func (r *round) giveBack(worker int, room packing.Capacity) {
	r.free[worker] = r.free[worker].Add(room)
	r.ending[worker] = r.ending[worker].Add(room)
	r.outside[worker] = r.outside[worker].Add(room)
	r.base[worker] = r.base[worker].Add(room)
}
