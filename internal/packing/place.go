package packing

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
)

// Topology holds the rack and the accelerator model of each worker. Placements
// refer to workers by their position in it.
type Topology struct {
	Racks     []int    // rack number of each worker
	Models    []string // accelerator model of each worker
	RackCount int
	// AllWorkers lists all positions, as the candidates of a placement anywhere.
	AllWorkers []int
}

// NewTopology returns the topology for the rack name and model of each worker.
func NewTopology(racks, models []string) *Topology {
	t := &Topology{Racks: make([]int, len(racks)), Models: models, AllWorkers: make([]int, len(racks))}
	numbers := make(map[string]int)
	for i, name := range racks {
		n, ok := numbers[name]
		if !ok {
			n = len(numbers)
			numbers[name] = n
		}
		t.Racks[i], t.AllWorkers[i] = n, i
	}
	t.RackCount = len(numbers)
	return t
}

// Gang is a number of equal tasks that are placed together or not at all.
type Gang struct {
	Tasks     int
	Resources api.Resources
	Adjacency api.Adjacency
	Model     string // empty allows any
	// Avoid lists the positions of workers that must not be used.
	Avoid []int
}

// Query asks for an assignment of a gang to workers.
type Query struct {
	Gang      Gang
	Available []Capacity // by worker
	// Candidates lists the positions of the workers that may be used.
	Candidates []int
	// Cost returns the cost of n tasks on a worker; nil means that all cost
	// nothing. The cheapest assignment wins, then the one with the closest adjacency
	// (worker, rack, zone), then the best fit.
	Cost func(worker, n int) int64
	// Pick chooses n accelerators among the available ones; nil takes the lowest.
	Pick func(worker int, available Set, n int) Set
}

// Assignment is the worker and the accelerators of one task.
type Assignment struct {
	Worker       int
	Accelerators Set
}

// Packer answers queries for one topology and reuses its buffers between them.
type Packer struct {
	topology   *Topology
	slots      []int // tasks that fit, parallel to usable
	usable     []int // positions of the candidates on which at least one task fits
	rackSlots  []int // tasks that fit in each rack
	rackFree   []int // free accelerators of each rack
	candidates []candidate
	shares     []share
	best       []share
}

// candidate is a worker on which tasks of a gang fit, with the criteria for the
// choice between workers.
type candidate struct {
	worker   int
	slots    int // tasks that fit
	unused   int // accelerators that stay free on the worker
	rackFree int // free accelerators of its rack
	cores    int // free cores
	cost     int64
}

// share is the number of tasks of a gang that one worker gets.
type share struct{ worker, tasks int }

// NewPacker returns a packer for the topology.
func NewPacker(t *Topology) *Packer {
	return &Packer{topology: t, rackSlots: make([]int, t.RackCount), rackFree: make([]int, t.RackCount)}
}

// Place returns an assignment for the whole gang, or false if the gang does not
// fit.
func (p *Packer) Place(q Query) ([]Assignment, bool) {
	if q.Gang.Tasks <= 0 {
		return nil, false
	}
	if p.scan(q) < q.Gang.Tasks {
		return nil, false
	}
	shares, cost, ok := p.fitOnWorker(q)
	if ok && cost == 0 || q.Gang.Adjacency == api.AdjacencyWorker {
		return p.assign(q, shares, ok)
	}
	p.best = append(p.best[:0], shares...)
	found := ok
	if shares, rackCost, rackOK := p.fitInRack(q); rackOK && (!found || rackCost < cost) {
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

// Fits reports whether the gang fits, without searching for the best
// assignment.
func (p *Packer) Fits(q Query) bool { return p.MaxTasks(q) >= q.Gang.Tasks }

// MaxTasks returns how many tasks of the gang fit within the adjacency that it
// demands, at most q.Gang.Tasks.
func (p *Packer) MaxTasks(q Query) int {
	n := p.scan(q)
	switch q.Gang.Adjacency {
	case api.AdjacencyWorker:
		n = maxOf(p.slots)
	case api.AdjacencyRack:
		n = maxOf(p.rackSlots)
	}
	return min(n, q.Gang.Tasks)
}

func maxOf(counts []int) (n int) {
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// scan computes how many tasks fit on each candidate and in each rack, and the
// free accelerators of each rack.
func (p *Packer) scan(q Query) (total int) {
	p.usable, p.slots = p.usable[:0], p.slots[:0]
	clear(p.rackSlots)
	clear(p.rackFree)
	for _, w := range q.Candidates {
		available := &q.Available[w]
		p.rackFree[p.topology.Racks[w]] += available.Accelerators.Len()
		if q.Gang.Model != "" && q.Gang.Resources.Accelerators > 0 && p.topology.Models[w] != q.Gang.Model {
			continue
		}
		n := available.MaxTasks(q.Gang.Resources, q.Gang.Tasks)
		if n == 0 || slices.Contains(q.Gang.Avoid, w) {
			continue
		}
		p.usable = append(p.usable, w)
		p.slots = append(p.slots, n)
		p.rackSlots[p.topology.Racks[w]] += n
		total += n
	}
	return total
}

func (p *Packer) candidate(q Query, i, tasks int) candidate {
	w := p.usable[i]
	c := candidate{
		worker:   w,
		slots:    p.slots[i],
		unused:   q.Available[w].Accelerators.Len() - tasks*q.Gang.Resources.Accelerators,
		rackFree: p.rackFree[p.topology.Racks[w]],
		cores:    q.Available[w].Cores,
	}
	if q.Cost != nil {
		c.cost = q.Cost(w, tasks)
	}
	return c
}

// compareBestFit orders by cost, then by how little stays free on the worker
// and in its rack, so that empty workers and racks stay free for large gangs.
func compareBestFit(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.unused, b.unused),
		cmp.Compare(a.rackFree, b.rackFree), cmp.Compare(a.cores, b.cores), cmp.Compare(a.worker, b.worker))
}

// compareSpread orders by cost per task, then by how many tasks fit on a
// worker, so that a gang uses few workers.
func compareSpread(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost*int64(b.slots), b.cost*int64(a.slots)),
		cmp.Compare(b.slots, a.slots), compareBestFit(a, b))
}

func (p *Packer) fitOnWorker(q Query) ([]share, int64, bool) {
	var best candidate
	found := false
	for i, n := range p.slots {
		if n < q.Gang.Tasks {
			continue
		}
		if c := p.candidate(q, i, q.Gang.Tasks); !found || compareBestFit(c, best) < 0 {
			best, found = c, true
		}
	}
	if !found {
		return nil, 0, false
	}
	p.shares = append(p.shares[:0], share{best.worker, q.Gang.Tasks})
	return p.shares, best.cost, true
}

// fitInRack assigns the gang to the cheapest rack that can hold it. Among equally
// cheap racks it takes the one with the fewest free accelerators.
func (p *Packer) fitInRack(q Query) ([]share, int64, bool) {
	best, bestCost := -1, int64(0)
	for r, size := range p.rackSlots {
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

// spread assigns the gang to the workers of one rack, or of all racks if rack
// is negative. It fills whole workers first and places the last tasks on the
// worker with the best fit.
func (p *Packer) spread(q Query, rack int) ([]share, int64, bool) {
	p.candidates = p.candidates[:0]
	for i, w := range p.usable {
		if rack < 0 || p.topology.Racks[w] == rack {
			p.candidates = append(p.candidates, p.candidate(q, i, p.slots[i]))
		}
	}
	slices.SortFunc(p.candidates, compareSpread)
	p.shares = p.shares[:0]
	remaining, cost := q.Gang.Tasks, int64(0)
	for k := 0; k < len(p.candidates) && remaining > 0; k++ {
		c := p.candidates[k]
		if c.slots >= remaining {
			c = p.bestFit(q, p.candidates[k:], remaining)
			cost += c.cost
			p.shares = append(p.shares, share{c.worker, remaining})
			remaining = 0
			break
		}
		cost += c.cost
		p.shares = append(p.shares, share{c.worker, c.slots})
		remaining -= c.slots
	}
	return p.shares, cost, remaining == 0
}

// bestFit returns the candidate that takes the last tasks at the least cost and
// with the fewest accelerators left free.
func (p *Packer) bestFit(q Query, candidates []candidate, tasks int) candidate {
	var best candidate
	found := false
	for _, c := range candidates {
		if c.slots < tasks {
			continue
		}
		c.unused += (c.slots - tasks) * q.Gang.Resources.Accelerators
		if q.Cost != nil && c.slots != tasks {
			c.cost = q.Cost(c.worker, tasks)
		}
		if !found || compareBestFit(c, best) < 0 {
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
	perTask := q.Gang.Resources.Accelerators
	for _, s := range shares {
		picked := p.pick(q, s.worker, s.tasks*perTask)
		for range s.tasks {
			taskSet := picked.Lowest(perTask)
			picked &^= taskSet
			out = append(out, Assignment{Worker: s.worker, Accelerators: taskSet})
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
