package guarantee

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxOrders bounds how many orders of the shapes and covered placements are
// tried when some do not fit. Each try moves those to the front.
const maxOrders = 8

// Reserve computes a reservation for each guarantee. Reservations never
// overlap. Covered placements stay inside the reservation of their organisation
// where the whole shape still fits around them; where it does not, the shape
// moves to another place and the placement is demoted, and if there is no such
// place either, the shape stays around the placement and is short.
func Reserve(workers []Worker, guarantees []Guarantee, covered []CoveredPlacement) Result {
	r := newReserver(workers, guarantees, covered)
	pins := count(len(covered))
	last := r.attempt(r.firstOrder(true), pins)
	best := last
	// Later attempts start from an order that depends only on the covered
	// placements, and the second one ignores what borrowers hold, so that
	// guarantees which fit once fit again while nothing but borrowers has changed.
	shapes := r.firstOrder(false)
	for n := 1; n < maxOrders && len(last.short)+len(last.unpinned) > 0; n++ {
		r.ignoreCost = n == 1
		if n > 1 {
			shapes, pins = moveToFront(shapes, last.short), moveToFront(pins, last.unpinned)
			r.changePreference(last)
		}
		if last = r.attempt(shapes, pins); last.better(best) {
			best = last
		}
	}
	return r.result(best)
}

// changePreference lets the covered placements of the organisations concerned
// use other shapes in the next attempt.
func (r *reserver) changePreference(a *attempt) {
	changed := make(map[string]bool)
	for _, g := range a.short {
		changed[r.guarantees[g].Organisation] = true
	}
	for _, c := range a.unpinned {
		changed[r.covered[c].Organisation] = true
	}
	for organisation := range changed {
		r.rotation[organisation]++
	}
}

type reserver struct {
	workers    []Worker
	guarantees []Guarantee
	covered    []CoveredPlacement
	index      map[string]int
	packer     *packing.Packer
	fleet      *packing.Topology
	byOrg      map[string][]int
	open       []int          // workers that may get reservations
	rotation   map[string]int // offset in the order of preference of shapes
	ignoreCost bool
	free       []Capacity // scratch
}

// attempt is the state and outcome of one order of the shapes.
type attempt struct {
	rooms         []Capacity // usable and not yet reserved
	areas         []area     // one for each guarantee
	demoted       []bool     // one for each covered placement
	moved         []bool     // one for each guarantee
	short         []int      // shapes that are short or had to move
	unpinned      []int      // covered placements that fit into no shape
	missing       int        // tasks times their accelerators, at least one for each task
	missingWanted int        // of these, what jobs wait for
}

func (a *attempt) better(b *attempt) bool {
	return cmp.Or(cmp.Compare(a.missing, b.missing), cmp.Compare(a.missingWanted, b.missingWanted), cmp.Compare(demotions(a.demoted), demotions(b.demoted))) < 0
}

// count returns the numbers from 0 to n-1.
func count(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func demotions(flags []bool) (n int) {
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
	open := make([]int, 0, len(workers))
	for i := range workers {
		racks[i], models[i], index[workers[i].ID] = workers[i].Rack, workers[i].AcceleratorModel, i
		if !workers[i].Unschedulable {
			open = append(open, i)
		}
	}
	fleet := packing.NewTopology(racks, models)
	r := &reserver{
		workers: workers, guarantees: guarantees, covered: covered, index: index,
		fleet: fleet, packer: packing.NewPacker(fleet), byOrg: make(map[string][]int), open: open, free: make([]Capacity, len(workers)), rotation: make(map[string]int),
	}
	for i, g := range guarantees {
		r.byOrg[g.Organisation] = append(r.byOrg[g.Organisation], i)
	}
	return r
}

// firstOrder puts shapes that jobs wait for first if turns is set, then those of organisations
// with covered placements, which should stay where they are, then the hardest to
// place: close adjacency, large tasks, many tasks.
func (r *reserver) firstOrder(turns bool) []int {
	pinned := make(map[string]int)
	for _, c := range r.covered {
		pinned[c.Organisation] = 1
	}
	turn := func(g int) int {
		if t := r.guarantees[g].WaitOrder; turns && t > 0 {
			return t
		}
		return math.MaxInt
	}
	order := count(len(r.guarantees))
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.guarantees[a].Shape, r.guarantees[b].Shape
		return cmp.Or(
			cmp.Compare(turn(a), turn(b)),
			cmp.Compare(pinned[r.guarantees[b].Organisation], pinned[r.guarantees[a].Organisation]),
			cmp.Compare(closeness(x.Adjacency), closeness(y.Adjacency)),
			cmp.Compare(y.Resources.Accelerators, x.Resources.Accelerators),
			cmp.Compare(y.Tasks*y.Resources.Accelerators, x.Tasks*x.Resources.Accelerators),
			cmp.Compare(y.Resources.Cores, x.Resources.Cores),
			cmp.Compare(y.Tasks, x.Tasks))
	})
	return order
}

func closeness(a api.Adjacency) int {
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

func (r *reserver) attempt(order, pins []int) *attempt {
	a := &attempt{
		rooms:   make([]Capacity, len(r.workers)),
		areas:   make([]area, len(r.guarantees)),
		demoted: make([]bool, len(r.covered)),
		moved:   make([]bool, len(r.guarantees)),
	}
	for i := range r.workers {
		a.rooms[i] = r.workers[i].Usable
	}
	r.pinAll(a, pins)
	r.close(a)
	for _, g := range order {
		r.complete(a, g)
	}
	for _, g := range order {
		missing := r.guarantees[g].Shape.Tasks - a.areas[g].tasks
		if a.moved[g] {
			a.short = append(a.short, g)
		} else if missing > 0 {
			a.short = append(a.short, g)
			amount := missing * max(1, r.guarantees[g].Shape.Resources.Accelerators)
			a.missing += amount
			if r.guarantees[g].WaitOrder > 0 {
				a.missingWanted += amount
			}
		}
	}
	return a
}

// close leaves nothing on workers that get no new tasks beyond what is pinned.
func (r *reserver) close(a *attempt) {
	for i := range r.workers {
		if r.workers[i].Unschedulable {
			a.rooms[i] = Capacity{}
		}
	}
}

// complete reserves what the pins of a shape leave of it.
func (r *reserver) complete(a *attempt, g int) {
	shape := r.guarantees[g].Shape
	rest := shape.Tasks - a.areas[g].tasks
	if rest <= 0 || r.extend(a, g, rest) {
		return
	}
	if a.areas[g].tasks > 0 && r.move(a, g) {
		return
	}
	if n := r.packer.MaxTasks(r.query(a, g, rest)); n > 0 {
		r.extend(a, g, n)
	}
}

// move reserves a whole shape elsewhere and demotes the placements around
// which it does not fit; it changes nothing if there is no such place.
func (r *reserver) move(a *attempt, g int) bool {
	old := a.areas[g]
	for _, p := range old.parts {
		if !r.workers[p.worker].Unschedulable {
			a.rooms[p.worker] = a.rooms[p.worker].Add(p.room)
		}
	}
	a.areas[g] = area{}
	if r.extend(a, g, r.guarantees[g].Shape.Tasks) {
		for _, p := range old.parts {
			for _, pin := range p.pins {
				a.demoted[pin] = true
			}
		}
		a.moved[g] = true
		return true
	}
	for _, p := range old.parts {
		a.rooms[p.worker] = a.rooms[p.worker].Sub(p.room)
	}
	a.areas[g] = old
	return false
}

// extend reserves n more tasks of a shape next to those that it has.
func (r *reserver) extend(a *attempt, g, n int) bool {
	shape := r.guarantees[g].Shape
	places, ok := r.place(a, r.query(a, g, n))
	if !ok {
		return false
	}
	for _, p := range places {
		taken := packing.CapacityOf(shape.Resources, 1, p.Accelerators)
		a.rooms[p.Worker] = a.rooms[p.Worker].Sub(taken)
		part := a.areas[g].part(p.Worker)
		part.tasks++
		part.room = part.room.Add(taken)
	}
	a.areas[g].tasks += n
	return true
}

// query asks for n more tasks of a shape next to those that it has.
func (r *reserver) query(a *attempt, g, n int) packing.Query {
	shape := r.guarantees[g].Shape
	return packing.Query{
		Gang: packing.Gang{Tasks: n, Resources: shape.Resources, Adjacency: shape.Adjacency,
			Model: shape.AcceleratorModel},
		Available: a.rooms, Candidates: r.candidates(a.areas[g], shape.Adjacency), Pick: r.pick,
	}
}

// place finds the cheapest places; free ones cost nothing, so that they are
// tried first without the effort to price the others.
func (r *reserver) place(a *attempt, q packing.Query) ([]packing.Assignment, bool) {
	if r.ignoreCost {
		return r.packer.Place(q)
	}
	for _, w := range q.Candidates {
		r.free[w] = a.rooms[w].Min(r.workers[w].Free)
	}
	free := q
	free.Available = r.free
	if places, ok := r.packer.Place(free); ok {
		return places, true
	}
	q.Cost = func(w, n int) int64 { return r.cost(a, w, n, q.Gang.Resources) }
	return r.packer.Place(q)
}

// candidates are the workers that a shape may use, given where its pins lie.
func (r *reserver) candidates(a area, adjacency api.Adjacency) []int {
	if len(a.parts) == 0 || adjacency == api.AdjacencyZone {
		return r.open
	}
	first := a.parts[0].worker
	if adjacency == api.AdjacencyWorker {
		if r.workers[first].Unschedulable {
			return nil
		}
		return []int{first}
	}
	var out []int
	for _, w := range r.open {
		if r.fleet.Racks[w] == r.fleet.Racks[first] {
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
	parts := slices.Clone(a.areas[g].parts)
	slices.SortFunc(parts, func(x, y part) int { return cmp.Compare(x.worker, y.worker) })
	for _, p := range parts {
		rest := p.room.Accelerators
		for range p.tasks {
			mine := rest.Lowest(out.Guarantee.Shape.Resources.Accelerators)
			rest &^= mine
			out.Tasks = append(out.Tasks, api.TaskPlacement{
				Index: len(out.Tasks), Worker: r.workers[p.worker].ID, Accelerators: mine.Indices(),
			})
		}
	}
	return out
}

func (r *reserver) shortfall(a *attempt, g int) (Shortfall, bool) {
	guarantee := r.guarantees[g]
	shape := guarantee.Shape
	missing := shape.Tasks - a.areas[g].tasks
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

// Describe names a shape in words.
func Describe(s api.Shape) string {
	return packing.Describe(s.Tasks, s.Resources, s.Adjacency, s.AcceleratorModel)
}
