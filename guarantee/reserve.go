package guarantee

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxAttempts bounds the orders of shapes and covered placements that are
// tried. Attempts from the third on move the shapes and placements that did not
// fit in the last one to the front.
const maxAttempts = 8

// Reserve computes a reservation for each guarantee. Reservations never
// overlap. Covered placements stay inside the reservation of their organisation
// if the whole shape still fits around them. Otherwise the shape moves
// elsewhere and the placement is demoted; if the shape fits nowhere else, it
// stays around the placement and is short.
func Reserve(workers []Worker, guarantees []Guarantee, covered []CoveredPlacement) Result {
	r := newReserver(workers, guarantees, covered)
	pinOrder := indices(len(covered))
	last := r.attempt(r.initialOrder(true), pinOrder)
	best := last
	// Later attempts start from an order that depends only on the guarantees and
	// covered placements, and the second one ignores what borrowers hold.
	// Guarantees that fitted once therefore fit again while only borrowers have
	// changed.
	shapeOrder := r.initialOrder(false)
	for n := 1; n < maxAttempts && len(last.unsatisfied)+len(last.unpinned) > 0; n++ {
		r.ignoreCost = n == 1
		if n > 1 {
			shapeOrder, pinOrder = moveToFront(shapeOrder, last.unsatisfied), moveToFront(pinOrder, last.unpinned)
			r.rotatePreferences(last)
		}
		if last = r.attempt(shapeOrder, pinOrder); last.betterThan(best) {
			best = last
		}
	}
	return r.result(best)
}

// rotatePreferences makes the covered placements of organisations whose shapes
// or placements did not fit prefer other shapes in the next attempt.
func (r *reserver) rotatePreferences(a *attempt) {
	changed := make(map[string]bool)
	for _, g := range a.unsatisfied {
		changed[r.guarantees[g].Organisation] = true
	}
	for _, c := range a.unpinned {
		changed[r.covered[c].Organisation] = true
	}
	for organisation := range changed {
		r.rotation[organisation]++
	}
}

// reserver holds the input of Reserve and what is derived from it. Its methods
// take positions: g in guarantees, c in covered and w in workers.
type reserver struct {
	workers        []Worker
	guarantees     []Guarantee
	covered        []CoveredPlacement
	index          map[string]int // positions of the workers by ID
	packer         *packing.Packer
	topology       *packing.Topology
	byOrganisation map[string][]int // positions of the guarantees
	schedulable    []int            // positions of the workers that may get new reservations
	rotation       map[string]int   // offset in the order of preference of shapes
	ignoreCost     bool             // place without regard to what borrowers hold
	scratch        []Capacity       // the part of available that no task holds; buffer of place
}

// attempt is the state and result of one order of the shapes and covered
// placements.
type attempt struct {
	available         []Capacity         // usable and not yet reserved
	reservations      []shapeReservation // one for each guarantee
	demoted           []bool             // one for each covered placement
	relocated         []bool             // one for each guarantee
	unsatisfied       []int              // shapes that are short or were relocated
	unpinned          []int              // covered placements that fit into no shape
	missing           int                // accelerators of the missing tasks, at least one for each task
	missingForWaiting int                // the part of missing in shapes that waiting jobs could use
}

func (a *attempt) betterThan(b *attempt) bool {
	return cmp.Or(cmp.Compare(a.missing, b.missing), cmp.Compare(a.missingForWaiting, b.missingForWaiting), cmp.Compare(countTrue(a.demoted), countTrue(b.demoted))) < 0
}

// indices returns the numbers from 0 to n-1.
func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func countTrue(flags []bool) (n int) {
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

func newReserver(workers []Worker, guarantees []Guarantee, covered []CoveredPlacement) *reserver {
	racks, models := make([]string, len(workers)), make([]string, len(workers))
	index := make(map[string]int, len(workers))
	schedulable := make([]int, 0, len(workers))
	for i := range workers {
		racks[i], models[i], index[workers[i].ID] = workers[i].Rack, workers[i].AcceleratorModel, i
		if !workers[i].Unschedulable {
			schedulable = append(schedulable, i)
		}
	}
	topology := packing.NewTopology(racks, models)
	r := &reserver{
		workers: workers, guarantees: guarantees, covered: covered, index: index,
		topology: topology, packer: packing.NewPacker(topology), byOrganisation: make(map[string][]int), schedulable: schedulable, scratch: make([]Capacity, len(workers)), rotation: make(map[string]int),
	}
	for i, g := range guarantees {
		r.byOrganisation[g.Organisation] = append(r.byOrganisation[g.Organisation], i)
	}
	return r
}

// initialOrder sorts the shapes: those for which jobs wait first, if
// waitingFirst is set; then those of organisations with covered placements, so
// that these shapes need not move; then the hardest to place (close adjacency,
// large tasks, many tasks).
func (r *reserver) initialOrder(waitingFirst bool) []int {
	hasCovered := make(map[string]int)
	for _, c := range r.covered {
		hasCovered[c.Organisation] = 1
	}
	waitOrder := func(g int) int {
		if n := r.guarantees[g].WaitOrder; waitingFirst && n > 0 {
			return n
		}
		return math.MaxInt
	}
	order := indices(len(r.guarantees))
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.guarantees[a].Shape, r.guarantees[b].Shape
		return cmp.Or(
			cmp.Compare(waitOrder(a), waitOrder(b)),
			cmp.Compare(hasCovered[r.guarantees[b].Organisation], hasCovered[r.guarantees[a].Organisation]),
			cmp.Compare(adjacencyRank(x.Adjacency), adjacencyRank(y.Adjacency)),
			cmp.Compare(y.Resources.Accelerators, x.Resources.Accelerators),
			cmp.Compare(y.Tasks*y.Resources.Accelerators, x.Tasks*x.Resources.Accelerators),
			cmp.Compare(y.Resources.Cores, x.Resources.Cores),
			cmp.Compare(y.Tasks, x.Tasks))
	})
	return order
}

func adjacencyRank(a api.Adjacency) int {
	switch a {
	case api.AdjacencyWorker:
		return 0
	case api.AdjacencyRack:
		return 1
	default:
		return 2
	}
}

func moveToFront(order, first []int) []int {
	out := slices.Clone(first)
	for _, i := range order {
		if !slices.Contains(first, i) {
			out = append(out, i)
		}
	}
	return out
}

func (r *reserver) attempt(shapeOrder, pinOrder []int) *attempt {
	a := &attempt{
		available:    make([]Capacity, len(r.workers)),
		reservations: make([]shapeReservation, len(r.guarantees)),
		demoted:      make([]bool, len(r.covered)),
		relocated:    make([]bool, len(r.guarantees)),
	}
	for i := range r.workers {
		a.available[i] = r.workers[i].Usable
	}
	r.pinAll(a, pinOrder)
	r.close(a)
	for _, g := range shapeOrder {
		r.reserveRest(a, g)
	}
	for _, g := range shapeOrder {
		missing := r.guarantees[g].Shape.Tasks - a.reservations[g].tasks
		if a.relocated[g] {
			a.unsatisfied = append(a.unsatisfied, g)
		} else if missing > 0 {
			a.unsatisfied = append(a.unsatisfied, g)
			amount := missing * max(1, r.guarantees[g].Shape.Resources.Accelerators)
			a.missing += amount
			if r.guarantees[g].WaitOrder > 0 {
				a.missingForWaiting += amount
			}
		}
	}
	return a
}

// close makes the capacity of unschedulable workers unavailable, except what the
// pinned placements have reserved.
func (r *reserver) close(a *attempt) {
	for i := range r.workers {
		if r.workers[i].Unschedulable {
			a.available[i] = Capacity{}
		}
	}
}

// reserveRest reserves the tasks of a shape that pinning has not reserved.
func (r *reserver) reserveRest(a *attempt, g int) {
	shape := r.guarantees[g].Shape
	rest := shape.Tasks - a.reservations[g].tasks
	if rest <= 0 || r.addTasks(a, g, rest) {
		return
	}
	if a.reservations[g].tasks > 0 && r.relocate(a, g) {
		return
	}
	if n := r.packer.MaxTasks(r.query(a, g, rest)); n > 0 {
		r.addTasks(a, g, n)
	}
}

// relocate reserves a whole shape elsewhere and demotes the placements pinned
// to it. It changes nothing if the shape does not fit elsewhere.
func (r *reserver) relocate(a *attempt, g int) bool {
	old := a.reservations[g]
	for _, p := range old.parts {
		if !r.workers[p.worker].Unschedulable {
			a.available[p.worker] = a.available[p.worker].Add(p.capacity)
		}
	}
	a.reservations[g] = shapeReservation{}
	if r.addTasks(a, g, r.guarantees[g].Shape.Tasks) {
		for _, p := range old.parts {
			for _, pin := range p.pins {
				a.demoted[pin] = true
			}
		}
		a.relocated[g] = true
		return true
	}
	for _, p := range old.parts {
		a.available[p.worker] = a.available[p.worker].Sub(p.capacity)
	}
	a.reservations[g] = old
	return false
}

// addTasks reserves n more tasks of a shape, adjacent to those that it has.
func (r *reserver) addTasks(a *attempt, g, n int) bool {
	shape := r.guarantees[g].Shape
	assignments, ok := r.place(a, r.query(a, g, n))
	if !ok {
		return false
	}
	for _, p := range assignments {
		taken := packing.CapacityOf(shape.Resources, 1, p.Accelerators)
		a.available[p.Worker] = a.available[p.Worker].Sub(taken)
		part := a.reservations[g].ensurePart(p.Worker)
		part.tasks++
		part.capacity = part.capacity.Add(taken)
	}
	a.reservations[g].tasks += n
	return true
}

// query returns the packing query for n more tasks of a shape, adjacent to
// those that it has.
func (r *reserver) query(a *attempt, g, n int) packing.Query {
	shape := r.guarantees[g].Shape
	return packing.Query{
		Gang: packing.Gang{Tasks: n, Resources: shape.Resources, Adjacency: shape.Adjacency,
			Model: shape.AcceleratorModel},
		Available: a.available, Candidates: r.candidates(a.reservations[g], shape.Adjacency), Pick: r.pick,
	}
}

// place returns the cheapest assignment. Free capacity costs nothing and is tried
// first, which saves computing the costs of the other capacity.
func (r *reserver) place(a *attempt, q packing.Query) ([]packing.Assignment, bool) {
	if r.ignoreCost {
		return r.packer.Place(q)
	}
	for _, w := range q.Candidates {
		r.scratch[w] = a.available[w].Min(r.workers[w].Free)
	}
	free := q
	free.Available = r.scratch
	if assignments, ok := r.packer.Place(free); ok {
		return assignments, true
	}
	q.Cost = func(w, n int) int64 { return r.cost(a, w, n, q.Gang.Resources) }
	return r.packer.Place(q)
}

// candidates returns the workers that a shape may use, given the workers on which
// tasks of the shape are already reserved.
func (r *reserver) candidates(reservation shapeReservation, adjacency api.Adjacency) []int {
	if len(reservation.parts) == 0 || adjacency == api.AdjacencyZone {
		return r.schedulable
	}
	first := reservation.parts[0].worker
	if adjacency == api.AdjacencyWorker {
		if r.workers[first].Unschedulable {
			return nil
		}
		return []int{first}
	}
	var out []int
	for _, w := range r.schedulable {
		if r.topology.Racks[w] == r.topology.Racks[first] {
			out = append(out, w)
		}
	}
	return out
}

func (r *reserver) result(a *attempt) Result {
	var out Result
	for g := range r.guarantees {
		out.Reservations = append(out.Reservations, r.reservation(a, g))
		if s, ok := r.shortfall(a, g); ok {
			out.Shortfalls = append(out.Shortfalls, s)
		}
	}
	for c, demoted := range a.demoted {
		if demoted {
			out.Demoted = append(out.Demoted, r.covered[c].JobID)
		}
	}
	return out
}

func (r *reserver) reservation(a *attempt, g int) Reservation {
	out := Reservation{Guarantee: r.guarantees[g]}
	parts := slices.Clone(a.reservations[g].parts)
	slices.SortFunc(parts, func(x, y workerPart) int { return cmp.Compare(x.worker, y.worker) })
	for _, p := range parts {
		rest := p.capacity.Accelerators
		for range p.tasks {
			taskSet := rest.Lowest(out.Guarantee.Shape.Resources.Accelerators)
			rest &^= taskSet
			out.Tasks = append(out.Tasks, api.TaskPlacement{
				Index: len(out.Tasks), Worker: r.workers[p.worker].ID, Accelerators: taskSet.Indices(),
			})
		}
	}
	return out
}

func (r *reserver) shortfall(a *attempt, g int) (Shortfall, bool) {
	guarantee := r.guarantees[g]
	shape := guarantee.Shape
	missing := shape.Tasks - a.reservations[g].tasks
	if missing <= 0 {
		return Shortfall{}, false
	}
	return Shortfall{
		Guarantee: guarantee, MissingTasks: missing,
		MissingAccelerators: missing * shape.Resources.Accelerators,
		Reason: fmt.Sprintf("the guarantee of %s in zone %s is short by %d of %d tasks (%s): the live workers hold no more",
			guarantee.Organisation, shape.Zone, missing, shape.Tasks, Describe(shape)),
	}, true
}

// Describe returns a shape as words, such as "4 tasks with 8 accelerators each
// on one rack".
func Describe(s api.Shape) string {
	return packing.Describe(s.Tasks, s.Resources, s.Adjacency, s.AcceleratorModel)
}
