// Package placement decides which waiting tasks of batch jobs start on which
// workers, and which running work gives way. Plan is a pure function of a
// snapshot.
package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// offRackPatience is how many run times a task waits for room near its data, or
// a gang for room in one rack, before it takes slower places. Beyond twice the
// run time a start elsewhere at a third of the speed is done earlier.
const offRackPatience = 2

// In a fleet with less than quietShare of every kind of capacity in use, nothing
// waits longer than quietPatience for a better place: the operators count work
// that waits 3 s beside idle workers as lost.
const (
	quietShare    = 0.6
	quietPatience = 2 * time.Second
)

// maxReservations bounds the blocked gangs that workers are kept free for.
// Each one costs backfill, and gangs behind the first few move up soon.
const maxReservations = 4

// Worker is the state of a worker in the snapshot.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	Labels  []string
	// Schedulable is false for workers that must not get new tasks.
	Schedulable bool
	// Suspect workers have failed tasks lately and are taken last.
	Suspect bool
	// Free is what can be given out now, Leaving what runs that are being
	// stopped will give back.
	Free      batch.Need
	Releasing batch.Need
	// StepTasks counts the tasks of a step that run here.
	StepTasks map[StepKey]int
	// Releases are the expected ends of the work that runs here.
	Releases []Release
}

// Release is room that a running task is expected to give back.
type Release struct {
	At   time.Time
	Need batch.Need
}

// StepKey names one step of one occurrence.
type StepKey struct {
	Job        string
	Occurrence int64
	Step       int
}

// Demand is a group of equal tasks that wait. A gang is placed whole or not at all.
type Demand struct {
	Key       StepKey
	Step      *batch.Step
	Service   string
	Tasks     []int // indexes of the tasks
	Priority  int
	Objective time.Time
	// MinRemaining is how long the rest of the job takes at best.
	MinRemaining time.Duration
	// StartableSince is when the tasks became startable.
	StartableSince time.Time
	// EvictFrom is when a demand of priority 0 may have other work stopped for it;
	// before, it waits for room that becomes free by itself.
	EvictFrom time.Time
	// Avoid names workers on which a task of this group has failed.
	Avoid map[string]bool
}

// Group is running work that is stopped together: a task, or all of a gang.
type Group struct {
	ID       int
	Priority int
	// Loss is the work in core-milliseconds that stopping would throw away.
	Loss  float64
	Parts []Part
}

// Part is one run of a group.
type Part struct {
	Worker int // position in Snapshot.Workers
	Need   batch.Need
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Demands []Demand
	Groups  []Group
}

// Placement gives tasks of a demand to workers.
type Placement struct {
	Demand  int   // position in Snapshot.Demands
	Tasks   []int // indexes of the tasks
	Workers []int // position of the worker of each task
}

// Result is the output of Plan.
type Result struct {
	Placements []Placement
	// Evict names the groups to stop for demands of priority 0.
	Evict []int
}

type planner struct {
	Snapshot
	workers  []room
	evicted  map[int]bool
	byWorker [][]int          // positions of groups on each worker
	byRack   map[string][]int // positions of the workers of each rack; "" has all
	released [][]Release      // releases of each worker in the order of time, as far as needed
	reserved int
	quiet    bool // less than quietShare is in use
	result   Result
}

// room is what the planner still has of a worker.
type room struct {
	free    batch.Need
	leaving batch.Need
	// A reservation: until keepFor the worker may only take what ends before or
	// what fits into spare.
	keepFor time.Time
	spare   batch.Need // expected room at keepFor beyond the reservation
	steps   map[StepKey]int
}

// Plan places what fits, in the order of urgency.
func Plan(snapshot Snapshot) Result {
	p := planner{Snapshot: snapshot, evicted: map[int]bool{}, byRack: map[string][]int{}}
	p.workers = make([]room, len(snapshot.Workers))
	p.byWorker = make([][]int, len(snapshot.Workers))
	p.released = make([][]Release, len(snapshot.Workers))
	for i, w := range snapshot.Workers {
		p.workers[i] = room{free: w.Free, leaving: w.Releasing}
		p.byRack[""] = append(p.byRack[""], i)
		if w.Rack != "" {
			p.byRack[w.Rack] = append(p.byRack[w.Rack], i)
		}
	}
	p.quiet = isQuiet(snapshot.Workers)
	for g, group := range snapshot.Groups {
		for _, part := range group.Parts {
			if !slices.Contains(p.byWorker[part.Worker], g) {
				p.byWorker[part.Worker] = append(p.byWorker[part.Worker], g)
			}
		}
	}
	for _, d := range p.order() {
		p.place(d)
	}
	return p.result
}

// order returns the demands by urgency: priority 0 first, then what can still
// meet its objective by priority and objective, then the rest.
func (p *planner) order() []int {
	order := make([]int, len(p.Demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.Demands[a], &p.Demands[b]
		if c := p.band(x) - p.band(y); c != 0 {
			return c
		}
		return cmp.Or(p.urgency(x).Compare(p.urgency(y)), strings.Compare(x.Key.Job, y.Key.Job))
	})
	return order
}

// urgentWait is how long a demand of priority 0 waits before it goes ahead of
// newer ones. Else smaller work with earlier objectives would take the room that
// is made for it, for longer than a guarantee may wait (2.7 s).
const urgentWait = 800 * time.Millisecond

// urgency orders the demands of a band: by objective, but those of priority 0
// that have waited long enough first and by age.
func (p *planner) urgency(d *Demand) time.Time {
	if d.Priority == 0 && p.Now.Sub(d.StartableSince) >= urgentWait {
		return d.StartableSince
	}
	return d.Objective
}

// lateBand follows all bands of demands that can still be in time.
const lateBand = 1 << 16

func (p *planner) band(d *Demand) int {
	if d.Priority > 0 && p.Now.Add(d.MinRemaining).After(d.Objective) {
		return lateBand + d.Priority
	}
	return d.Priority
}

func (p *planner) place(d int) {
	demand := &p.Demands[d]
	if demand.Step.Gang {
		p.placeGang(d)
		return
	}
	placement := Placement{Demand: d}
	for _, task := range demand.Tasks {
		w, ok := p.bestWorker(demand)
		if !ok {
			break
		}
		p.take(w, demand)
		placement.Tasks = append(placement.Tasks, task)
		placement.Workers = append(placement.Workers, w)
	}
	if len(placement.Tasks) > 0 {
		p.result.Placements = append(p.result.Placements, placement)
	}
	if missing := len(demand.Tasks) - len(placement.Tasks); missing > 0 && p.mayEvict(demand) {
		p.makeRoom(demand, missing)
	}
}

// mayEvict tells whether other work may be stopped for a demand.
func (p *planner) mayEvict(demand *Demand) bool {
	return demand.Priority == 0 && !p.Now.Before(demand.EvictFrom)
}

// overdue tells whether a demand has waited too long beside idle workers.
func (p *planner) overdue(demand *Demand) bool {
	return p.quiet && p.Now.Sub(demand.StartableSince) >= quietPatience
}

// isQuiet tells whether less than quietShare of each kind of capacity is in use.
func isQuiet(workers []Worker) bool {
	var used, whole batch.Need
	for i := range workers {
		busy := workers[i].Releasing
		for _, release := range workers[i].Releases {
			busy = Add(busy, release.Need)
		}
		used = Add(used, busy)
		whole = Add(whole, Add(workers[i].Free, busy))
	}
	below := func(used, whole int64) bool { return float64(used) <= quietShare*float64(whole) }
	return below(used.MilliCPU, whole.MilliCPU) && below(used.MemoryMb, whole.MemoryMb) && below(used.Accelerators, whole.Accelerators)
}

// patient tells whether a demand still waits for places of full speed.
func (p *planner) patient(demand *Demand) bool {
	if demand.Priority == 0 || p.overdue(demand) {
		return false
	}
	estimate := time.Duration(demand.Step.EstimateMs) * time.Millisecond
	return p.Now.Sub(demand.StartableSince) < offRackPatience*estimate
}

// bestWorker returns the worker with the tightest fit for one task.
func (p *planner) bestWorker(demand *Demand) (int, bool) {
	if demand.Step.DataRack != "" {
		near, usable := p.tightest(demand, demand.Step.DataRack)
		if near >= 0 {
			return near, true
		}
		if usable && p.patient(demand) {
			return -1, false
		}
	}
	w, _ := p.tightest(demand, "")
	return w, w >= 0
}

// tightest searches a rack, or all workers, and also tells whether any worker
// there could ever take the task.
func (p *planner) tightest(demand *Demand, rack string) (best int, usable bool) {
	best = -1
	var bestScore float64
	for _, i := range p.byRack[rack] {
		worker := &p.Workers[i]
		if !eligible(worker, demand) {
			continue
		}
		usable = true
		if !p.fits(i, demand) {
			continue
		}
		score := slack(p.workers[i].free, demand.Step.Need)
		if worker.Suspect {
			score += suspectPenalty
		}
		if demand.Avoid[worker.ID] {
			score += 2 * suspectPenalty
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, usable
}

// suspectPenalty exceeds every score of a fit, so that suspect workers come last.
const suspectPenalty = 1e9

// AcceleratorWeight is how many cores an accelerator counts for in a fit; the
// operators price lost work at the same ratio.
const AcceleratorWeight = 8

// slack is what a task would leave free on a worker, in cores.
func slack(free, need batch.Need) float64 {
	cores := float64(free.MilliCPU-need.MilliCPU) / 1000
	return AcceleratorWeight*float64(free.Accelerators-need.Accelerators) + cores
}

func eligible(worker *Worker, demand *Demand) bool {
	return worker.Schedulable && worker.Service == demand.Service &&
		(demand.Step.Label == "" || slices.Contains(worker.Labels, demand.Step.Label))
}

// fits tells whether one more task of the demand may start on a worker now.
func (p *planner) fits(w int, demand *Demand) bool {
	room := &p.workers[w]
	need := ChargedNeed(demand.Step)
	if !Covers(room.free, need) || !p.withinStepLimit(w, demand) {
		return false
	}
	if room.keepFor.IsZero() || demand.Priority == 0 || p.overdue(demand) {
		return true
	}
	end := p.Now.Add(time.Duration(demand.Step.EstimateMs) * time.Millisecond)
	return !end.After(room.keepFor) || Covers(room.spare, need)
}

func (p *planner) withinStepLimit(w int, demand *Demand) bool {
	limit := demand.Step.MaxPerWorker
	return limit <= 0 || p.Workers[w].StepTasks[demand.Key]+p.workers[w].steps[demand.Key] < limit
}

// take gives room of a worker to one task.
func (p *planner) take(w int, demand *Demand) {
	room := &p.workers[w]
	need := ChargedNeed(demand.Step)
	room.free = Sub(room.free, need)
	if !room.keepFor.IsZero() && p.Now.Add(time.Duration(demand.Step.EstimateMs)*time.Millisecond).After(room.keepFor) {
		room.spare = Sub(room.spare, need)
	}
	p.count(w, demand, 1)
}

func (p *planner) giveBack(w int, demand *Demand) {
	p.workers[w].free = Add(p.workers[w].free, ChargedNeed(demand.Step))
	p.count(w, demand, -1)
}

func (p *planner) count(w int, demand *Demand, by int) {
	if demand.Step.MaxPerWorker <= 0 {
		return
	}
	if p.workers[w].steps == nil {
		p.workers[w].steps = map[StepKey]int{}
	}
	p.workers[w].steps[demand.Key] += by
}

// ChargedNeed returns what a task counts for on a worker: best-effort tasks use idle
// processors and occupy only memory and accelerators.
func ChargedNeed(step *batch.Step) batch.Need {
	need := step.Need
	if step.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Covers tells whether have is enough for need.
func Covers(have, need batch.Need) bool {
	return have.MilliCPU >= need.MilliCPU && have.MemoryMb >= need.MemoryMb && have.Accelerators >= need.Accelerators
}

// Sub subtracts b from a.
func Sub(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMb: a.MemoryMb - b.MemoryMb, Accelerators: a.Accelerators - b.Accelerators}
}

// Add adds two amounts.
func Add(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMb: a.MemoryMb + b.MemoryMb, Accelerators: a.Accelerators + b.Accelerators}
}
