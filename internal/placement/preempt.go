package placement

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

const (
	// maxEvictionsPerTask bounds how often a task is evicted for demands that no guarantee
	// covers, so that long work ends in a fleet with many urgent jobs.
	maxEvictionsPerTask = 3
	// missedObjectiveFactor is the cost of an eviction that makes a job miss its objective, as
	// a multiple of the work that is lost: the caller also loses a part of the value.
	missedObjectiveFactor = 2
	// maxHold is the longest wait for which capacity is held. Few tasks are shorter. Urgent work
	// that has missed its objective may wait longer, and would leave free capacity idle.
	maxHold = 2 * time.Second
	// endingLevels is the number of parts in which the ends within the time of a stop are told
	// apart, the first of which has begun before.
	// Each part may cost a plan another search.
	endingLevels = 7
)

// EvictionCause is why a demand does not wait for capacity that becomes free by itself.
type EvictionCause string

// Causes of evictions.
const (
	CauseReclaimLimit EvictionCause = "reclaim_limit" // a guarantee covers it, and EvictBy has passed
	CauseLatestStart  EvictionCause = "latest_start"  // its latest start has passed
	CauseTooLate      EvictionCause = "too_late"      // not enough becomes free by its latest start
)

// Eviction tells for which demand and why a group is evicted.
type Eviction struct {
	Demand int // position in Snapshot.Demands
	Cause  EvictionCause
}

// cost is what the callers lose by an eviction of the group. It rises with each earlier
// eviction, so that the same work is not stopped again and again.
func (g *EvictionGroup) cost() float64 {
	cost := g.Loss * float64(1+g.Evictions)
	if g.MissesObjective {
		cost *= missedObjectiveFactor
	}
	return cost
}

func (g *EvictionGroup) evictedOften() bool { return g.Evictions >= maxEvictionsPerTask }

// late returns the time by which the run has ended in nine of ten cases.
func (r *Release) late() time.Time {
	if r.Late.IsZero() {
		return r.At
	}
	return r.Late
}

// endingLevel returns in which part of the time of a stop an end comes, from 1 to endingLevels,
// or a larger number if it comes later: a run that ends before a stop would free its capacity
// is not worth an eviction.
func (p *planner) endingLevel(end time.Time) int {
	if p.StopTime <= 0 || end.IsZero() || end.After(p.Now.Add(p.StopTime)) {
		return endingLevels + 1
	}
	return min(endingLevels, max(1, p.endingPart(end)+1))
}

// awaitedLevel returns up to which level a demand waits for ends: those that come by its latest
// start.
func (p *planner) awaitedLevel(demand *Demand) int {
	return min(endingLevels, max(0, p.endingPart(p.latestStart(demand))))
}

// endingPart returns how many parts of the time of a stop begin from now to a time. The parts
// are the same in each plan, so that the end for which a plan waits counts in the next one too.
func (p *planner) endingPart(at time.Time) int {
	part := int64(max(1, p.StopTime/(endingLevels-1)))
	return int(min(endingLevels, at.UnixNano()/part-p.Now.UnixNano()/part))
}

// setEnding sums up what becomes free on each worker within the time of a stop.
func (p *planner) setEnding() {
	for level := range p.ending {
		p.ending[level] = make([]batch.Need, len(p.Workers))
	}
	for w := range p.Workers {
		for i := range p.Workers[w].Releases {
			release := &p.Workers[w].Releases[i]
			for level := p.endingLevel(release.late()); level <= endingLevels; level++ {
				p.ending[level][w] = Add(p.ending[level][w], release.Need)
				p.anyEnding = true
			}
		}
	}
}

// latestStart returns until when an urgent demand may wait for capacity that becomes free by
// itself.
func (p *planner) latestStart(demand *Demand) time.Time {
	latest := demand.latestStart()
	if by := p.evictBy(demand); p.covered(demand) && by.Before(latest) {
		return by
	}
	return latest
}

func (p *planner) evictBy(demand *Demand) time.Time {
	if demand.EvictBy.IsZero() {
		return demand.EvictFrom
	}
	return demand.EvictBy
}

// setAwaited sums up what becomes free by the latest start of any urgent demand.
func (p *planner) setAwaited() {
	for i := range p.Demands {
		if d := &p.Demands[i]; d.Priority == 0 {
			p.longestWait = max(p.longestWait, p.latestStart(d).Sub(p.Now))
		}
	}
	p.awaited = make([]batch.Need, len(p.Workers))
	for w := range p.Workers {
		for i := range p.Workers[w].Releases {
			if release := &p.Workers[w].Releases[i]; release.late().Sub(p.Now) <= p.longestWait {
				p.awaited[w] = Add(p.awaited[w], release.Need)
			}
		}
	}
}

// mustEvict reports whether a demand no longer waits. Forecasts that were wrong so far may
// stay wrong, so from then on no running work counts as about to end.
func (p *planner) mustEvict(demand *Demand) bool { return !p.Now.Before(p.latestStart(demand)) }

// guaranteed reports whether an organisation has a guarantee that covers a demand.
func (p *planner) guaranteed(demand *Demand) bool { return p.Guarantees != nil && p.covered(demand) }

// evictionFor describes the evictions for the demand that is being placed.
func (p *planner) evictionFor(demand *Demand) Eviction {
	switch {
	case !p.mustEvict(demand):
		return Eviction{p.placing, CauseTooLate}
	case p.covered(demand) && !p.Now.Before(p.evictBy(demand)):
		return Eviction{p.placing, CauseReclaimLimit}
	}
	return Eviction{p.placing, CauseLatestStart}
}

// preemptForGang lets a gang that does not fit wait for capacity that becomes free in time, or
// else evicts other work for it. It reports whether one of them is enough.
func (p *planner) preemptForGang(d int, racks []int) bool {
	demand := &p.Demands[d]
	if !p.mayEvict(demand) {
		return false
	}
	if slots := p.timelySlots(demand, racks, len(demand.Tasks)); len(slots) == len(demand.Tasks) {
		p.wait(d, slots)
		return true
	}
	return p.evictForGang(demand, racks)
}

// preemptForTasks does the same for each of the missing tasks of a demand that is no gang.
// Tasks that have to wait for an eviction reserve workers, as gangs do.
func (p *planner) preemptForTasks(d, missing int) {
	demand := &p.Demands[d]
	if !p.mayEvict(demand) {
		if p.reservations >= maxReservations {
			return
		}
		p.reservations++
		for _, reserved := range p.slots(p.shapeOf(demand, false), p.fleet, missing, false) {
			p.reserveWorker(demand, reserved.worker, p.Now.Add(reserved.after))
		}
		return
	}
	if slots := p.timelySlots(demand, []int{p.fleet}, missing); len(slots) > 0 {
		p.wait(d, slots)
		missing -= len(slots)
	}
	if missing > 0 {
		p.evictForTasks(demand, missing)
	}
}

// timelySlots returns up to n slots of the rack of which the most tasks can start by the latest
// start of an urgent demand without an eviction. Of racks with as many slots it takes the one
// where they come first.
func (p *planner) timelySlots(demand *Demand, racks []int, n int) []slot {
	if p.mustEvict(demand) {
		return nil
	}
	s, limit := p.shapeOf(demand, false), p.latestStart(demand).Sub(p.Now)
	var best []slot
	for _, rack := range racks {
		if demand.Step.Gang && !p.mayHoldInTime(s, rack, n) {
			continue
		}
		slots := p.slots(s, rack, n, true)
		timely := slots[:0:0]
		for _, next := range slots {
			if next.after > limit {
				break
			}
			if !p.Workers[next.worker].Suspect && !p.workers[next.worker].onTrial && p.sharable(next.worker, demand) {
				timely = append(timely, next)
			}
		}
		if len(timely) > len(best) || len(best) > 0 && len(timely) == len(best) && timely[len(timely)-1].after < best[len(best)-1].after {
			best = timely
		}
	}
	return best
}

// mayHoldInTime reports whether n tasks may fit into a rack without an eviction by the latest
// start of any urgent demand. It is much cheaper than the slots.
func (p *planner) mayHoldInTime(s *shape, rack, n int) bool {
	for _, w := range s.workers[rack] {
		state := &p.workers[w]
		if n -= tasksThatFit(Add(Sub(Add(state.free, state.releasing), state.heldInUse), p.awaited[w]), s.need, n); n <= 0 {
			return true
		}
	}
	return false
}

// wait keeps the capacity of slots for a demand: nothing else in this plan may use it, now or
// when it becomes free. Before a long wait, work that ends earlier may. The next plan decides
// anew.
func (p *planner) wait(d int, slots []slot) {
	demand, need := &p.Demands[d], ChargedNeed(p.Demands[d].Step)
	for _, next := range slots {
		after := next.after
		if demand.Step.Gang {
			after = slots[len(slots)-1].after
		}
		if after > maxHold {
			p.reserveWorker(demand, next.worker, p.Now.Add(after))
			continue
		}
		p.hold(next.worker, need)
	}
	p.result.Waits = append(p.result.Waits, d)
}

// hold keeps capacity of a worker for a task that starts later. It takes what is not usable now
// anyway first, and what running work still holds last.
func (p *planner) hold(w int, need batch.Need) {
	state := &p.workers[w]
	state.releasing, need = draw(state.releasing, need)
	state.free, need = draw(state.free, need)
	state.heldInUse = Add(state.heldInUse, need)
	p.touch(w)
}

// draw takes as much of a need from a capacity as that has, and returns what is left of both.
func draw(have, need batch.Need) (left, missing batch.Need) {
	taken := minNeed(have, need)
	taken = batch.Need{MilliCPU: max(0, taken.MilliCPU), MemoryMb: max(0, taken.MemoryMb), Accelerators: max(0, taken.Accelerators)}
	return Sub(have, taken), Sub(need, taken)
}
