package guarantee

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxOrders bounds how many orders of the shapes are tried when some do not
// fit. Each try moves the shapes that were short to the front.
const maxOrders = 8

// Reserve computes a reservation for each guarantee. Reservations never
// overlap. Covered placements stay inside the reservation of their organisation
// where the whole shape still fits around them; where it does not, the shape
// moves to another place and the placement is demoted, and if there is no such
// place either, the shape stays around the placement and is short.
func Reserve(workers []Worker, guarantees []Guarantee, covered []Covered) Result {
	r := newReserver(workers, guarantees, covered)
	order := r.hardestFirst()
	last := r.attempt(order)
	best := last
	for n := 1; n < maxOrders && best.missing > 0; n++ {
		order = shortFirst(order, last.short)
		if last = r.attempt(order); last.better(best) {
			best = last
		}
	}
	return r.result(best)
}

type reserver struct {
	workers    []Worker
	guarantees []Guarantee
	covered    []Covered
	index      map[string]int
	packer     *packing.Packer
	fleet      *packing.Fleet
	byOrg      map[string][]int
}

// attempt is the state and outcome of one order of the shapes.
type attempt struct {
	rooms   []Room // usable and not yet reserved
	areas   []area // one for each guarantee
	demoted []bool // one for each covered placement
	short   []int
	missing int // tasks times their accelerators, at least one for each task
}

// area is the reservation of one shape while it is built.
type area struct {
	parts []part
	tasks int
}

// part is what an area takes on one worker.
type part struct {
	worker int
	tasks  int
	pinned Room // held by covered placements
	pins   []int
	room   Room
}

func (a *attempt) better(b *attempt) bool {
	return cmp.Or(cmp.Compare(a.missing, b.missing), cmp.Compare(count(a.demoted), count(b.demoted))) < 0
}

func count(flags []bool) (n int) {
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

func newReserver(workers []Worker, guarantees []Guarantee, covered []Covered) *reserver {
	racks, models := make([]string, len(workers)), make([]string, len(workers))
	index := make(map[string]int, len(workers))
	for i := range workers {
		racks[i], models[i], index[workers[i].ID] = workers[i].Rack, workers[i].AcceleratorModel, i
	}
	fleet := packing.NewFleet(racks, models)
	r := &reserver{
		workers: workers, guarantees: guarantees, covered: covered, index: index,
		fleet: fleet, packer: packing.NewPacker(fleet), byOrg: make(map[string][]int),
	}
	for i, g := range guarantees {
		r.byOrg[g.Organisation] = append(r.byOrg[g.Organisation], i)
	}
	return r
}

// hardestFirst orders the shapes by how hard they are to place: those of
// organisations with covered placements, which must stay where they are, then
// close adjacency, then large tasks, then many tasks.
func (r *reserver) hardestFirst() []int {
	pinned := make(map[string]int)
	for _, c := range r.covered {
		pinned[c.Organisation] = 1
	}
	order := make([]int, len(r.guarantees))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := r.guarantees[a].Shape, r.guarantees[b].Shape
		return cmp.Or(
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

func shortFirst(order, short []int) []int {
	out := slices.Clone(short)
	for _, i := range order {
		if !slices.Contains(short, i) {
			out = append(out, i)
		}
	}
	return out
}

func (r *reserver) attempt(order []int) *attempt {
	a := &attempt{
		rooms:   make([]Room, len(r.workers)),
		areas:   make([]area, len(r.guarantees)),
		demoted: make([]bool, len(r.covered)),
	}
	for i := range r.workers {
		a.rooms[i] = r.workers[i].Usable
	}
	r.pinAll(a)
	for _, g := range order {
		r.complete(a, g)
	}
	for _, g := range order {
		if missing := r.guarantees[g].Shape.Tasks - a.areas[g].tasks; missing > 0 {
			a.short = append(a.short, g)
			a.missing += missing * max(1, r.guarantees[g].Shape.Resources.Accelerators)
		}
	}
	return a
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
	for n := rest - 1; n > 0; n-- {
		if r.extend(a, g, n) {
			return
		}
	}
}

// move reserves a whole shape elsewhere and demotes the placements around
// which it does not fit; it changes nothing if there is no such place.
func (r *reserver) move(a *attempt, g int) bool {
	old := a.areas[g]
	for _, p := range old.parts {
		a.rooms[p.worker] = a.rooms[p.worker].Add(p.room)
	}
	a.areas[g] = area{}
	if r.extend(a, g, r.guarantees[g].Shape.Tasks) {
		for _, p := range old.parts {
			for _, pin := range p.pins {
				a.demoted[pin] = true
			}
		}
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
	places, ok := r.packer.Place(packing.Query{
		Need: packing.Need{Tasks: n, Resources: shape.Resources, Adjacency: shape.Adjacency,
			Model: shape.AcceleratorModel},
		Rooms:      a.rooms,
		Candidates: r.candidates(a.areas[g], shape.Adjacency),
		Cost:       func(w, n int) int64 { return r.cost(a, w, n, shape.Resources) },
		Pick:       r.pick,
	})
	if !ok {
		return false
	}
	for _, p := range places {
		taken := packing.RoomOf(shape.Resources, 1, p.Accelerators)
		a.rooms[p.Worker] = a.rooms[p.Worker].Sub(taken)
		part := a.areas[g].part(p.Worker)
		part.tasks++
		part.room = part.room.Add(taken)
	}
	a.areas[g].tasks += n
	return true
}

// candidates are the workers that a shape may use, given where its pins lie.
func (r *reserver) candidates(a area, adjacency api.Adjacency) []int {
	if len(a.parts) == 0 || adjacency == api.AdjacencyZone {
		return r.fleet.All
	}
	first := a.parts[0].worker
	if adjacency == api.AdjacencyWorker {
		return []int{first}
	}
	var out []int
	for w, rack := range r.fleet.Racks {
		if rack == r.fleet.Racks[first] {
			out = append(out, w)
		}
	}
	return out
}

func (a *area) part(worker int) *part {
	for i := range a.parts {
		if a.parts[i].worker == worker {
			return &a.parts[i]
		}
	}
	a.parts = append(a.parts, part{worker: worker})
	return &a.parts[len(a.parts)-1]
}

// peek returns a copy of the part on a worker, empty if there is none.
func (a *area) peek(worker int) part {
	for _, p := range a.parts {
		if p.worker == worker {
			return p
		}
	}
	return part{worker: worker}
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
