package packing

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
)

// Topology is the layout of the workers that placements refer to by position.
type Topology struct {
	Racks     []int    // rack number of each worker
	Models    []string // accelerator model of each worker
	RackCount int
	// AllWorkers lists all positions, as candidates for a placement anywhere.
	AllWorkers []int
}

// NewTopology builds the layout from the rack name and model of each worker.
func NewTopology(racks, models []string) *Topology {
	f := &Topology{Racks: make([]int, len(racks)), Models: models, AllWorkers: make([]int, len(racks))}
	numbers := make(map[string]int)
	for i, name := range racks {
		n, ok := numbers[name]
		if !ok {
			n = len(numbers)
			numbers[name] = n
		}
		f.Racks[i], f.AllWorkers[i] = n, i
	}
	f.RackCount = len(numbers)
	return f
}

// Gang is a gang of equal tasks.
type Gang struct {
	Tasks     int
	Resources api.Resources
	Adjacency api.Adjacency
	Model     string // empty allows any
	// Avoid lists workers that must not be used.
	Avoid []int
}

// Query asks for places for a gang.
type Query struct {
	Gang      Gang
	Available []Capacity // room of each worker
	// Candidates are the workers that may be used.
	Candidates []int
	// Cost is the price of n tasks on a worker; nil makes all places free of
	// charge. The cheapest placement wins, then the closest, then the tightest.
	Cost func(worker, n int) int64
	// Pick chooses n accelerators among the available ones; nil takes the lowest.
	Pick func(worker int, available Set, n int) Set
}

// Assignment is the place of one task.
type Assignment struct {
	Worker       int
	Accelerators Set
}

// Packer answers queries for one fleet and reuses its buffers between them.
type Packer struct {
	fleet    *Topology
	capacity []int // tasks that fit, parallel to usable
	usable   []int
	rackSize []int // tasks that fit in each rack
	rackFree []int // free accelerators of each rack
	order    []choice
	share    []share
	best     []share
}

type choice struct {
	worker   int
	capacity int
	leftover int
	rackFree int
	cores    int
	cost     int64
}

type share struct{ worker, tasks int }

// NewPacker returns a packer for the fleet.
func NewPacker(f *Topology) *Packer {
	return &Packer{fleet: f, rackSize: make([]int, f.RackCount), rackFree: make([]int, f.RackCount)}
}

// Place returns places for the whole gang, or false if the rooms do not hold it.
func (p *Packer) Place(q Query) ([]Assignment, bool) {
	if q.Gang.Tasks <= 0 {
		return nil, false
	}
	if p.scan(q) < q.Gang.Tasks {
		return nil, false
	}
	shares, cost, ok := p.oneWorker(q)
	if ok && cost == 0 || q.Gang.Adjacency == api.AdjacencyWorker {
		return p.assign(q, shares, ok)
	}
	p.best = append(p.best[:0], shares...)
	found := ok
	if shares, rackCost, rackOK := p.oneRack(q); rackOK && (!found || rackCost < cost) {
		p.best, cost, found = append(p.best[:0], shares...), rackCost, true
	}
	if q.Gang.Adjacency == api.AdjacencyRack || found && cost == 0 {
		return p.assign(q, p.best, found)
	}
	if shares, zoneCost, zoneOK := p.spread(q, -1); zoneOK && (!found || zoneCost < cost) {
		p.best, found = append(p.best[:0], shares...), true
	}
	return p.assign(q, p.best, found)
}

// Fits tells whether the rooms hold the gang, without looking for the best places.
func (p *Packer) Fits(q Query) bool { return p.MaxTasks(q) >= q.Gang.Tasks }

// MaxTasks returns how many tasks of the gang the rooms hold as close together as it
// demands, at most all.
func (p *Packer) MaxTasks(q Query) int {
	n := p.scan(q)
	switch q.Gang.Adjacency {
	case api.AdjacencyWorker:
		n = largest(p.capacity)
	case api.AdjacencyRack:
		n = largest(p.rackSize)
	}
	return min(n, q.Gang.Tasks)
}

func largest(counts []int) (n int) {
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// scan computes how many tasks each candidate holds and what racks have free.
func (p *Packer) scan(q Query) (total int) {
	p.usable, p.capacity = p.usable[:0], p.capacity[:0]
	clear(p.rackSize)
	clear(p.rackFree)
	for _, w := range q.Candidates {
		room := &q.Available[w]
		p.rackFree[p.fleet.Racks[w]] += room.Accelerators.Len()
		if q.Gang.Model != "" && q.Gang.Resources.Accelerators > 0 && p.fleet.Models[w] != q.Gang.Model {
			continue
		}
		n := room.MaxTasks(q.Gang.Resources, q.Gang.Tasks)
		if n == 0 || slices.Contains(q.Gang.Avoid, w) {
			continue
		}
		p.usable = append(p.usable, w)
		p.capacity = append(p.capacity, n)
		p.rackSize[p.fleet.Racks[w]] += n
		total += n
	}
	return total
}

func (p *Packer) choice(q Query, i, tasks int) choice {
	w := p.usable[i]
	c := choice{
		worker:   w,
		capacity: p.capacity[i],
		leftover: q.Available[w].Accelerators.Len() - tasks*q.Gang.Resources.Accelerators,
		rackFree: p.rackFree[p.fleet.Racks[w]],
		cores:    q.Available[w].Cores,
	}
	if q.Cost != nil {
		c.cost = q.Cost(w, tasks)
	}
	return c
}

// compareTight orders by cost, then by how little stays free on the worker and
// in its rack, so that whole workers and racks stay free for large gangs.
func compareTight(a, b choice) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.leftover, b.leftover),
		cmp.Compare(a.rackFree, b.rackFree), cmp.Compare(a.cores, b.cores), cmp.Compare(a.worker, b.worker))
}

// compareFill orders by cost per task, then by how many tasks a worker takes,
// so that a gang uses few workers.
func compareFill(a, b choice) int {
	return cmp.Or(cmp.Compare(a.cost*int64(b.capacity), b.cost*int64(a.capacity)),
		cmp.Compare(b.capacity, a.capacity), compareTight(a, b))
}

func (p *Packer) oneWorker(q Query) ([]share, int64, bool) {
	var best choice
	found := false
	for i, n := range p.capacity {
		if n < q.Gang.Tasks {
			continue
		}
		if c := p.choice(q, i, q.Gang.Tasks); !found || compareTight(c, best) < 0 {
			best, found = c, true
		}
	}
	if !found {
		return nil, 0, false
	}
	p.share = append(p.share[:0], share{best.worker, q.Gang.Tasks})
	return p.share, best.cost, true
}

// oneRack finds the cheapest rack, then the one with the least room left.
func (p *Packer) oneRack(q Query) ([]share, int64, bool) {
	best, bestCost := -1, int64(0)
	for r, size := range p.rackSize {
		if size < q.Gang.Tasks {
			continue
		}
		cost := int64(0)
		if q.Cost != nil {
			_, cost, _ = p.spread(q, r)
		}
		if best < 0 || cost < bestCost || cost == bestCost && p.rackFree[r] < p.rackFree[best] {
			best, bestCost = r, cost
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	return p.spread(q, best)
}

// spread fills the gang over the workers of one rack, or of all racks if rack
// is negative: full workers first, the last tasks where they fit tightest.
func (p *Packer) spread(q Query, rack int) ([]share, int64, bool) {
	p.order = p.order[:0]
	for i, w := range p.usable {
		if rack < 0 || p.fleet.Racks[w] == rack {
			p.order = append(p.order, p.choice(q, i, p.capacity[i]))
		}
	}
	slices.SortFunc(p.order, compareFill)
	p.share = p.share[:0]
	rest, cost := q.Gang.Tasks, int64(0)
	for k := 0; k < len(p.order) && rest > 0; k++ {
		c := p.order[k]
		if c.capacity >= rest {
			c = p.tightest(q, p.order[k:], rest)
			cost += c.cost
			p.share = append(p.share, share{c.worker, rest})
			rest = 0
			break
		}
		cost += c.cost
		p.share = append(p.share, share{c.worker, c.capacity})
		rest -= c.capacity
	}
	return p.share, cost, rest == 0
}

// tightest returns the choice that takes the last tasks at the least cost and
// with the least room left over.
func (p *Packer) tightest(q Query, order []choice, tasks int) choice {
	var best choice
	found := false
	for _, c := range order {
		if c.capacity < tasks {
			continue
		}
		c.leftover += (c.capacity - tasks) * q.Gang.Resources.Accelerators
		if q.Cost != nil && c.capacity != tasks {
			c.cost = q.Cost(c.worker, tasks)
		}
		if !found || compareTight(c, best) < 0 {
			best, found = c, true
		}
	}
	return best
}

func (p *Packer) assign(q Query, shares []share, ok bool) ([]Assignment, bool) {
	if !ok {
		return nil, false
	}
	out := make([]Assignment, 0, q.Gang.Tasks)
	per := q.Gang.Resources.Accelerators
	for _, s := range shares {
		picked := p.pick(q, s.worker, s.tasks*per)
		for range s.tasks {
			mine := picked.Lowest(per)
			picked &^= mine
			out = append(out, Assignment{Worker: s.worker, Accelerators: mine})
		}
	}
	return out, true
}

func (p *Packer) pick(q Query, worker, n int) Set {
	available := q.Available[worker].Accelerators
	if q.Pick == nil {
		return available.Lowest(n)
	}
	return q.Pick(worker, available, n)
}
