package placement

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// rack is a set of workers. The last rack of a planner has the whole fleet, also workers
// without a rack.
type rack struct {
	name    string
	workers []int
}

// shapeKey identifies demands to which all workers look alike.
type shapeKey struct {
	service, label     string
	need               batch.Need
	isolated           bool
	reclaims           bool // may evict borrowers
	suspects           bool // may evict on suspect workers
	ending             int  // level up to which runs end soon enough that they are not evicted, see endingLevel
	sparesEvictedOften bool // leaves groups alone that were evicted too often
	// limited is set for steps that limit their tasks on a worker.
	limited StepKey
}

// shape holds what the plan knows of the workers for one kind of demands. Many demands that
// wait differ only in the number of their tasks, so that what was found out for one of them
// serves the others until a worker changes.
type shape struct {
	key    shapeKey
	demand *Demand // one of the demands
	need   batch.Need
	// By rack:
	workers   [][]int // those that may take the tasks when they are free
	holds     []int   // tasks that fit once all that runs has ended
	free      []rackFree
	searches  []*evictionSearch
	slots     []*rackSlots
	lateSlots []*rackSlots // by the late ends of runs
	// By worker:
	costs         []knownCost
	fleetPosition []int // position in the workers of the fleet, or -1
}

// rackFree is the free capacity of a rack, as a shape sees it.
type rackFree struct {
	known   bool
	version uint32
	left    float64 // capacity that one task on each worker leaves, see leftover
	tasks   int     // tasks that fit, without limits and reservations
}

type knownCost struct {
	known   bool
	version uint32
	cost    evictionCost
}

// rackSlots are the times from which the workers of a rack can take tasks, earliest first.
type rackSlots struct {
	version uint32
	slots   []slot
}

// slot is when a worker can take one task of a blocked gang, as the time from the plan.
type slot struct {
	after  time.Duration
	worker int
}

// shapeOf returns the shape of a demand.
func (p *planner) shapeOf(demand *Demand, reclaims bool) *shape {
	key := shapeKey{service: demand.Service, label: demand.Step.Label, need: ChargedNeed(demand.Step), isolated: demand.Isolated, reclaims: reclaims}
	if demand.Step.MaxPerWorker > 0 {
		key.limited = demand.Key
	}
	if known := p.shapes[key]; known != nil {
		return known
	}
	s := &shape{key: key, demand: demand, need: key.need, workers: make([][]int, len(p.racks)), holds: make([]int, len(p.racks)), free: make([]rackFree, len(p.racks)),
		searches: make([]*evictionSearch, len(p.racks)), slots: make([]*rackSlots, len(p.racks)), lateSlots: make([]*rackSlots, len(p.racks)),
		costs: make([]knownCost, len(p.Workers)), fleetPosition: make([]int, len(p.Workers))}
	for w := range p.Workers {
		s.fleetPosition[w] = -1
		if !eligible(&p.Workers[w], demand) {
			continue
		}
		s.fleetPosition[w] = len(s.workers[p.fleet])
		most := batch.MaxTasks
		if limit := demand.Step.MaxPerWorker; limit > 0 {
			most = min(most, limit)
		}
		if p.workers[w].onTrial {
			most = 1
		}
		n := tasksThatFit(p.totalOf(w), s.need, most)
		for _, r := range [...]int{p.rackOf[w], p.fleet} {
			s.workers[r] = append(s.workers[r], w)
			s.holds[r] += n
		}
	}
	p.shapes[key] = s
	return s
}

// evictionShape returns the shape of a demand for the search of evictions. All but the searches
// and their costs is that of shapeOf.
func (p *planner) evictionShape(demand *Demand, round evictionRound) *shape {
	base := p.shapeOf(demand, round.reclaims)
	key := base.key
	key.suspects = round.suspects
	if p.anyEnding {
		key.ending = p.awaitedLevel(demand)
	}
	key.sparesEvictedOften = p.anyEvictedOften && !p.guaranteed(demand)
	if key == base.key {
		return base
	}
	known := p.shapes[key]
	if known == nil {
		known = &shape{}
		*known = *base
		known.key, known.searches, known.costs = key, make([]*evictionSearch, len(p.racks)), make([]knownCost, len(p.Workers))
		p.shapes[key] = known
	}
	return known
}

// totalOf returns the capacity of a worker once all that runs there has ended.
func (p *planner) totalOf(w int) batch.Need {
	if p.totals == nil {
		p.totals = make([]batch.Need, len(p.Workers))
		for i := range p.Workers {
			worker := &p.Workers[i]
			p.totals[i] = Add(worker.Free, worker.Releasing)
			for _, release := range worker.Releases {
				p.totals[i] = Add(p.totals[i], release.Need)
			}
		}
	}
	return p.totals[w]
}

// freeOf returns the free capacity of a rack.
func (p *planner) freeOf(s *shape, rack int) *rackFree {
	known := &s.free[rack]
	if known.known && known.version == p.changes[rack] {
		return known
	}
	*known = rackFree{known: true, version: p.changes[rack]}
	for _, w := range s.workers[rack] {
		state := &p.workers[w]
		known.left += leftover(state.free, s.demand.Step.Need)
		switch {
		case !state.onTrial:
			known.tasks += tasksThatFit(state.free, s.need, batch.MaxTasks)
		case state.open():
			known.tasks += tasksThatFit(state.free, s.need, 1)
		}
	}
	return known
}

// touch records that the remaining capacity of a worker has changed.
func (p *planner) touch(w int) {
	p.workerChanges[w]++
	p.changes[p.rackOf[w]]++
	p.changes[p.fleet]++
}

// setRacks groups the workers by rack.
func (p *planner) setRacks() {
	p.rackIndex = map[string]int{}
	p.rackOf = make([]int, len(p.Workers))
	for w := range p.Workers {
		name := p.Workers[w].Rack
		r, known := p.rackIndex[name]
		if !known {
			r = len(p.racks)
			p.rackIndex[name] = r
			p.racks = append(p.racks, rack{name: name})
		}
		p.rackOf[w] = r
		p.racks[r].workers = append(p.racks[r].workers, w)
	}
	p.fleet = len(p.racks)
	all := rack{workers: make([]int, len(p.Workers))}
	for w := range all.workers {
		all.workers[w] = w
	}
	p.racks = append(p.racks, all)
	p.changes, p.reserved = make([]uint32, len(p.racks)), make([]uint32, len(p.racks))
	p.workerChanges = make([]uint32, len(p.Workers))
}
