package guarantee

import (
	"cmp"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// pinAll puts the covered placements into the shapes of their organisations.
// Those that fit into none are demoted.
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
	job := &r.covered[c]
	if len(job.Tasks) == 0 {
		return false
	}
	shapes := slices.Clone(r.byOrg[job.Organisation])
	if len(shapes) > 1 {
		slices.SortStableFunc(shapes, func(x, y int) int {
			return ComparePreference(r.guarantees[x].Shape, r.guarantees[y].Shape, len(job.Tasks), job.Resources, job.Adjacency)
		})
		first := r.rotation[job.Organisation] % len(shapes)
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
	saved := r.save(a, &r.covered[c], shapes)
	for _, t := range r.covered[c].Tasks {
		if !r.pinTask(a, c, t, shapes) {
			saved.restore(a)
			return false
		}
	}
	return true
}

// savedState undoes the pins of a placement.
type savedState struct {
	shapes  []int
	areas   []area
	workers []int
	rooms   []Capacity
}

func (r *reserver) save(a *attempt, job *CoveredPlacement, shapes []int) savedState {
	s := savedState{shapes: shapes}
	for _, g := range shapes {
		s.areas = append(s.areas, area{parts: slices.Clone(a.areas[g].parts), tasks: a.areas[g].tasks})
	}
	for _, t := range job.Tasks {
		if w, ok := r.index[t.Worker]; ok {
			s.workers = append(s.workers, w)
			s.rooms = append(s.rooms, a.rooms[w])
		}
	}
	return s
}

func (s savedState) restore(a *attempt) {
	for i, g := range s.shapes {
		a.areas[g] = s.areas[i]
	}
	for i, w := range s.workers {
		a.rooms[w] = s.rooms[i]
	}
}

// pinTask pins a task to the shape that needs the fewest additional tasks for
// it, and among those to the preferred one, which comes first.
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
		if r.pinTo(a, o.shape, w, o.extra, c, task) {
			return true
		}
	}
	return false
}

// extraTasks returns how many more tasks of a shape must lie on the worker so
// that the task fits inside, or false if the shape does not allow it.
func (r *reserver) extraTasks(a *attempt, g, w int, task Capacity) (int, bool) {
	shape := r.guarantees[g].Shape
	if shape.AcceleratorModel != "" && task.Accelerators != 0 && shape.AcceleratorModel != r.fleet.Models[w] {
		return 0, false
	}
	have := a.areas[g].peek(w)
	need, ok := tasksToHold(have.pinned.Add(task), shape.Resources)
	if !ok {
		return 0, false
	}
	extra := max(0, need-have.tasks)
	if a.areas[g].tasks+extra > shape.Tasks || !r.adjacent(a.areas[g], shape.Adjacency, w) {
		return 0, false
	}
	return extra, true
}

// tasksToHold returns how many tasks of a shape cover a room.
func tasksToHold(room Capacity, per api.Resources) (int, bool) {
	n := 0
	for _, dimension := range [][2]int64{
		{int64(room.Cores), int64(per.Cores)},
		{room.MemoryMB, per.MemoryMb},
		{int64(room.Accelerators.Len()), int64(per.Accelerators)},
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

func (r *reserver) adjacent(a area, adjacency api.Adjacency, w int) bool {
	if len(a.parts) == 0 {
		return true
	}
	first := a.parts[0].worker
	switch adjacency {
	case api.AdjacencyWorker:
		return first == w
	case api.AdjacencyRack:
		return r.fleet.Racks[first] == r.fleet.Racks[w]
	default:
		return true
	}
}

// pinTo grows the area of a shape on a worker so that it holds the task.
func (r *reserver) pinTo(a *attempt, g, w, extra, c int, task Capacity) bool {
	shape := r.guarantees[g].Shape
	room := a.rooms[w]
	own := a.areas[g].peek(w)
	if task.Accelerators&^(room.Accelerators|own.room.Accelerators) != 0 ||
		task.Accelerators&own.pinned.Accelerators != 0 {
		return false
	}
	// Accelerators of the area that no task holds can be exchanged for those
	// that the task holds.
	spare := own.room.Accelerators &^ own.pinned.Accelerators &^ task.Accelerators
	size := (own.tasks + extra) * shape.Resources.Accelerators
	must := own.pinned.Accelerators | task.Accelerators
	available := (room.Accelerators | spare) &^ must
	if size < must.Len() || available.Len() < size-must.Len() {
		return false
	}
	added := packing.CapacityOf(shape.Resources, extra, 0)
	if !room.Covers(added) {
		return false
	}
	set := must | r.pick(w, available, size-must.Len())
	all := room.Accelerators | own.room.Accelerators
	room = room.Sub(added)
	room.Accelerators = all &^ set
	a.rooms[w] = room
	own.worker = w
	own.room = own.room.Add(added)
	own.room.Accelerators = set
	own.pinned = own.pinned.Add(task)
	own.pins = append(slices.Clone(own.pins), c)
	own.tasks += extra
	*a.areas[g].part(w) = own
	a.areas[g].tasks += extra
	return true
}

// cost prices n tasks on a worker: nothing where it is free, little where tasks
// are being stopped, and the lost work of the borrowers elsewhere.
func (r *reserver) cost(a *attempt, w, n int, per api.Resources) int64 {
	room, worker := a.rooms[w], &r.workers[w]
	if n <= worker.Free.Min(room).MaxTasks(per, n) {
		return 0
	}
	if n <= worker.FutureFree.Min(room).MaxTasks(per, n) {
		return 1
	}
	cost := int64(2)
	if per.Accelerators == 0 {
		for _, l := range worker.Loss {
			cost += l
		}
		return cost
	}
	picked := r.pick(w, room.Accelerators, n*per.Accelerators) &^ worker.FutureFree.Accelerators
	for _, i := range picked.Indices() {
		if i < len(worker.Loss) {
			cost += worker.Loss[i]
		}
	}
	return cost
}

// pick takes free accelerators first, then those of tasks that are being
// stopped, then those whose borrowers lose the least work.
func (r *reserver) pick(w int, available Set, n int) Set {
	worker := &r.workers[w]
	return PickCheapest(available, n, worker.Free.Accelerators, worker.FutureFree.Accelerators, worker.Loss)
}

// PickCheapest takes n available accelerators: free ones first, then ending
// ones, then those with the least loss; equal ones by index.
func PickCheapest(available Set, n int, free, ending Set, loss []int64) Set {
	out := (available & free).Lowest(n)
	out |= (available & ending &^ out).Lowest(n - out.Len())
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
