package guarantee

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// pinAll pins the covered placements to the shapes of their organisations, in
// the given order. Pinning a placement reserves part of a shape exactly where
// the placement runs, so that it lies inside the reservation. Placements that
// fit into no shape are demoted.
func (r *reserver) pinAll(a *attempt, order []int) {
	for _, c := range order {
		if !r.pinJob(a, c) {
			a.demoted[c] = true
			a.unpinned = append(a.unpinned, c)
		}
	}
}

// pinJob pins all tasks of a placement or none: to one shape if one holds them
// all, otherwise to several shapes of the organisation.
func (r *reserver) pinJob(a *attempt, c int) bool {
	placement := &r.covered[c]
	if len(placement.Tasks) == 0 {
		return false
	}
	shapes := slices.Clone(r.byOrganisation[placement.Organisation])
	if len(shapes) > 1 {
		slices.SortStableFunc(shapes, func(x, y int) int {
			return ComparePreference(r.guarantees[x].Shape, r.guarantees[y].Shape, len(placement.Tasks), placement.Resources, placement.Adjacency)
		})
		first := r.rotation[placement.Organisation] % len(shapes)
		shapes = append(shapes[first:len(shapes):len(shapes)], shapes[:first]...)
		for _, g := range shapes {
			if r.pinTasks(a, c, []int{g}) {
				return true
			}
		}
	}
	return len(shapes) > 0 && r.pinTasks(a, c, shapes)
}

func (r *reserver) pinTasks(a *attempt, c int, shapes []int) bool {
	before := r.snapshot(a, &r.covered[c], shapes)
	for _, t := range r.covered[c].Tasks {
		if !r.pinTask(a, c, t, shapes) {
			before.restore(a)
			return false
		}
	}
	return true
}

// pinSnapshot is the state to restore when a placement cannot be pinned.
type pinSnapshot struct {
	shapes       []int
	reservations []shapeReservation
	workers      []int
	available    []Capacity
}

func (r *reserver) snapshot(a *attempt, placement *CoveredPlacement, shapes []int) pinSnapshot {
	s := pinSnapshot{shapes: shapes}
	for _, g := range shapes {
		s.reservations = append(s.reservations, shapeReservation{parts: slices.Clone(a.reservations[g].parts), tasks: a.reservations[g].tasks})
	}
	for _, t := range placement.Tasks {
		if w, ok := r.index[t.Worker]; ok {
			s.workers = append(s.workers, w)
			s.available = append(s.available, a.available[w])
		}
	}
	return s
}

func (s pinSnapshot) restore(a *attempt) {
	for i, g := range s.shapes {
		a.reservations[g] = s.reservations[i]
	}
	for i, w := range s.workers {
		a.available[w] = s.available[i]
	}
}

// pinTask pins a task to the shape that needs the fewest additional tasks to
// hold it, or to the first of several such shapes. shapes is sorted by
// preference.
func (r *reserver) pinTask(a *attempt, c int, t api.TaskPlacement, shapes []int) bool {
	w, ok := r.index[t.Worker]
	if !ok {
		return false
	}
	task := packing.CapacityOf(r.covered[c].Resources, 1, packing.SetOf(t.Accelerators))
	type option struct{ shape, extra int }
	var options []option
	for _, g := range shapes {
		extra, ok := r.extraTasks(a, g, w, task)
		if !ok {
			continue
		}
		options = append(options, option{g, extra})
	}
	slices.SortStableFunc(options, func(x, y option) int { return cmp.Compare(x.extra, y.extra) })
	for _, o := range options {
		if r.pinToShape(a, o.shape, w, o.extra, c, task) {
			return true
		}
	}
	return false
}

// extraTasks returns how many more tasks of a shape must be reserved on the
// worker so that the task fits inside, or false if the shape does not allow it.
func (r *reserver) extraTasks(a *attempt, g, w int, task Capacity) (int, bool) {
	shape := r.guarantees[g].Shape
	if shape.AcceleratorModel != "" && task.Accelerators != 0 && shape.AcceleratorModel != r.topology.Models[w] {
		return 0, false
	}
	have := a.reservations[g].partOn(w)
	need, ok := tasksToCover(have.pinnedCapacity.Add(task), shape.Resources)
	if !ok {
		return 0, false
	}
	extra := max(0, need-have.tasks)
	if a.reservations[g].tasks+extra > shape.Tasks || !r.adjacent(a.reservations[g], shape.Adjacency, w) {
		return 0, false
	}
	return extra, true
}

// tasksToCover returns how many tasks of a shape cover a capacity, or false if
// no number does.
func tasksToCover(capacity Capacity, perTask api.Resources) (int, bool) {
	n := 0
	for _, dimension := range [][2]int64{
		{int64(capacity.Cores), int64(perTask.Cores)},
		{capacity.MemoryMB, perTask.MemoryMb},
		{int64(capacity.Accelerators.Len()), int64(perTask.Accelerators)},
	} {
		used, size := dimension[0], dimension[1]
		if used == 0 {
			continue
		}
		if size <= 0 {
			return 0, false
		}
		n = max(n, int((used+size-1)/size))
	}
	return max(n, 1), true
}

// adjacent reports whether a task on worker w satisfies the adjacency together
// with the tasks that are already reserved.
func (r *reserver) adjacent(reservation shapeReservation, adjacency api.Adjacency, w int) bool {
	if len(reservation.parts) == 0 {
		return true
	}
	first := reservation.parts[0].worker
	switch adjacency {
	case api.AdjacencyWorker:
		return first == w
	case api.AdjacencyRack:
		return r.topology.Racks[first] == r.topology.Racks[w]
	default:
		return true
	}
}

// pinToShape extends the reservation of a shape on a worker so that it holds
// the task. It changes nothing if that is not possible.
func (r *reserver) pinToShape(a *attempt, g, w, extra, c int, task Capacity) bool {
	shape := r.guarantees[g].Shape
	free := a.available[w]
	own := a.reservations[g].partOn(w)
	if task.Accelerators&^(free.Accelerators|own.capacity.Accelerators) != 0 ||
		task.Accelerators&own.pinnedCapacity.Accelerators != 0 {
		return false
	}
	// Accelerators of the reservation that no covered task holds can be exchanged
	// for those that the task holds.
	exchangeable := own.capacity.Accelerators &^ own.pinnedCapacity.Accelerators &^ task.Accelerators
	size := (own.tasks + extra) * shape.Resources.Accelerators
	required := own.pinnedCapacity.Accelerators | task.Accelerators
	candidates := (free.Accelerators | exchangeable) &^ required
	if size < required.Len() || candidates.Len() < size-required.Len() {
		return false
	}
	added := packing.CapacityOf(shape.Resources, extra, 0)
	if !free.Covers(added) {
		return false
	}
	set := required | r.pick(w, candidates, size-required.Len())
	all := free.Accelerators | own.capacity.Accelerators
	free = free.Sub(added)
	free.Accelerators = all &^ set
	a.available[w] = free
	own.worker = w
	own.capacity = own.capacity.Add(added)
	own.capacity.Accelerators = set
	own.pinnedCapacity = own.pinnedCapacity.Add(task)
	own.pins = append(slices.Clone(own.pins), c)
	own.tasks += extra
	*a.reservations[g].ensurePart(w) = own
	a.reservations[g].tasks += extra
	return true
}

// cost returns the cost of n tasks on a worker: 0 if free capacity suffices, 1 if
// free capacity and capacity being released suffice, and otherwise 2 plus the
// lost work of the borrowers.
func (r *reserver) cost(a *attempt, w, n int, perTask api.Resources) int64 {
	available, worker := a.available[w], &r.workers[w]
	if n <= worker.Free.Min(available).MaxTasks(perTask, n) {
		return 0
	}
	if n <= worker.FutureFree.Min(available).MaxTasks(perTask, n) {
		return 1
	}
	cost := int64(2)
	if perTask.Accelerators == 0 {
		for _, l := range worker.Loss {
			cost += l
		}
		return cost
	}
	picked := r.pick(w, available.Accelerators, n*perTask.Accelerators) &^ worker.FutureFree.Accelerators
	for _, i := range picked.Indices() {
		if i < len(worker.Loss) {
			cost += worker.Loss[i]
		}
	}
	return cost
}

// pick takes free accelerators first, then those being released, then those
// whose borrowers lose the least work.
func (r *reserver) pick(w int, available Set, n int) Set {
	worker := &r.workers[w]
	return PickCheapest(available, n, worker.Free.Accelerators, worker.FutureFree.Accelerators, worker.Loss)
}

// PickCheapest takes n available accelerators: free ones first, then other ones
// in futureFree, then those with the least loss. Among equal ones, those with the
// lowest indices are taken.
func PickCheapest(available Set, n int, free, futureFree Set, loss []int64) Set {
	out := (available & free).Lowest(n)
	out |= (available & futureFree &^ out).Lowest(n - out.Len())
	rest := (available &^ out).Indices()
	if n -= out.Len(); n <= 0 {
		return out
	}
	lossOf := func(i int) int64 {
		if i < len(loss) {
			return loss[i]
		}
		return 0
	}
	slices.SortStableFunc(rest, func(x, y int) int { return cmp.Compare(lossOf(x), lossOf(y)) })
	return out | packing.SetOf(rest[:min(n, len(rest))])
}
