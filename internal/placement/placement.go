// Package placement decides on which workers the waiting tasks of batch jobs
// start and which running work is evicted for them. Plan is a pure function of
// a snapshot.
package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// localityWaitFactor bounds how long a task waits for capacity in the rack of
// its data, or a gang for capacity in one rack, before it takes slower workers:
// this many times its estimated run time. A task that waits longer would have
// ended earlier elsewhere, even at a third of the speed.
const localityWaitFactor = 2

// In a fleet with at most underusedShare of every kind of capacity in use, no
// demand waits longer than maxBetterWorkerWait for a better worker, and a persistent
// task does not in any fleet. Work that waits for 3 s although idle workers could run
// it misses the service objective, so maxBetterWorkerWait stays below that.
const (
	underusedShare      = 0.6
	maxBetterWorkerWait = 2 * time.Second
)

// maxReservations bounds the blocked gangs for which workers are reserved. Each
// reservation delays smaller work, and the gangs behind the first few soon move
// up.
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
	// Suspect workers have recently failed tasks and are chosen last.
	Suspect bool
	// OnTrial workers get one task at a time until it shows whether they work.
	OnTrial bool
	// Occupied workers have runs, also such that are being stopped.
	Occupied bool
	// Isolated workers are for the time being left to the task that runs there.
	Isolated bool
	// Free is unused capacity, Releasing what runs that are being stopped still
	// hold.
	Free      batch.Need
	Releasing batch.Need
	// StepTasks counts the tasks that run here, for steps that limit them.
	StepTasks map[StepKey]int
	// Releases lists the expected ends of the running tasks.
	Releases []Release
}

// Release is the capacity that a running task is expected to free.
type Release struct {
	At time.Time // expected end
	// Late is the time by which the task has ended in nine of ten cases. Zero means At.
	Late time.Time
	Need batch.Need
}

// StepKey identifies a step of an occurrence.
type StepKey struct {
	Job        string
	Occurrence int64
	Step       int
}

// Demand is a group of equal waiting tasks. A gang is placed whole or not at
// all.
type Demand struct {
	Key     StepKey
	Step    *batch.Step
	Service string
	// Organisation owns the job. Its guarantee covers demands of priority 0.
	Organisation string
	Tasks        []int     // positions of the tasks in the step
	Priority     int       // 0 is the most urgent; only these demands may evict work
	Objective    time.Time // when the occurrence should be completed
	// CriticalPath is the estimated run time of the longest chain of steps of the
	// occurrence, including steps that are done.
	CriticalPath time.Duration
	// RunTime is the expected run time of a task. Zero means the estimate of the step.
	RunTime time.Duration
	// LatestStart is when the tasks have to start so that the occurrence meets its objective
	// and, for urgent work, its limit for reclaimed capacity. Zero means the objective less
	// the critical path.
	LatestStart time.Time
	// StartableSince is when the tasks became startable.
	StartableSince time.Time
	// EvictFrom is the time from which other work may be evicted for a demand of
	// priority 0. Before, it waits for capacity that becomes free by itself.
	EvictFrom time.Time
	// EvictBy is the time from which a demand that a guarantee covers no longer waits for
	// capacity that becomes free by itself. Zero means EvictFrom.
	EvictBy time.Time
	// Avoid holds the IDs of workers on which a task of this demand has failed;
	// they are chosen last.
	Avoid map[string]bool
	// Isolated demands take only workers without other work, and keep them to themselves.
	Isolated bool
}

// EvictionGroup is running work that is evicted together: one task, or all tasks
// of a gang.
type EvictionGroup struct {
	ID       int
	Priority int
	// Loss is the work in core-milliseconds that an eviction loses.
	Loss  float64
	Tasks []EvictionTask
	// Organisation owns the job, and StartedAt is when its tasks were started. Both are
	// needed for groups of priority 0, which are evicted if they are borrowers.
	Organisation string
	StartedAt    time.Time
	// EndsAt is the expected end of the last task. Zero means that it is not known.
	EndsAt time.Time
	// Evictions is how often a task of the group was stopped for urgent work before.
	Evictions int
	// MissesObjective means that the job would meet its objective, but not after an eviction.
	MissesObjective bool
}

// EvictionTask is a running task of an eviction group.
type EvictionTask struct {
	Worker int // position in Snapshot.Workers
	Need   batch.Need
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Demands []Demand
	Groups  []EvictionGroup
	// Guarantees holds the guarantee of each organisation. Organisations without an entry have
	// none. If it is nil, all work of priority 0 is equal.
	Guarantees map[string]Guarantee
	// StopTime is the longest time until an eviction has freed the capacity.
	StopTime time.Duration
	// Usage is what the running work of each organisation holds.
	Usage map[string]Usage
	// Observe is called with each demand before it is placed. It may be nil.
	Observe func(StepKey)
}

// Usage is the capacity that the running work of an organisation holds.
type Usage struct {
	Urgent batch.Need // work of priority 0
	Other  batch.Need
}

// runTime returns the expected run time of a task of the demand.
func (d *Demand) runTime() time.Duration {
	if d.RunTime > 0 {
		return d.RunTime
	}
	return time.Duration(d.Step.EstimateMs) * time.Millisecond
}

// latestStart returns the latest start with which the occurrence meets its objective.
func (d *Demand) latestStart() time.Time {
	if !d.LatestStart.IsZero() {
		return d.LatestStart
	}
	return d.Objective.Add(-d.CriticalPath)
}

// Placement assigns tasks of a demand to workers.
type Placement struct {
	Demand  int   // position in Snapshot.Demands
	Tasks   []int // positions of the tasks in the step
	Workers []int // position of the worker of each task
}

// Result is the result of Plan.
type Result struct {
	Placements []Placement
	// Evict holds the IDs of the groups to evict for demands of priority 0.
	Evict []int
	// Evictions tells for each entry of Evict why it is evicted.
	Evictions []Eviction
	// Waits holds the positions of the demands that wait for capacity which becomes free in
	// time, although work might be evicted for them.
	Waits []int
}

// planner is the working state of Plan. Workers, demands and groups are given by
// their positions in the snapshot.
type planner struct {
	Snapshot
	workers         []workerState
	evicted         []bool       // by group
	victims         [][]victim   // by worker, in the order of their loss
	borrowers       []bool       // by group: urgent work beyond the guarantee of its organisation
	preemptible     []batch.Need // by worker: held by work that is not urgent
	borrowed        []batch.Need // by worker: held by borrowers
	uncovered       map[*Demand]bool
	racks           []rack // the last one is the fleet
	fleet           int    // position of the fleet in racks
	rackIndex       map[string]int
	rackOf          []int    // by worker
	changes         []uint32 // by rack: changes of its workers
	reserved        []uint32 // by rack: reservations of its workers
	workerChanges   []uint32 // by worker
	shapes          map[shapeKey]*shape
	ending          [endingLevels + 1][]batch.Need // by level and worker: becomes free soon, see endingLevel
	anyEnding       bool
	anyEvictedOften bool         // a group was evicted maxEvictionsPerTask times
	totals          []batch.Need // by worker, see totalOf
	candidates      []victim     // buffer of costOf
	slotBuffer      []slot       // buffer of slotsOfRack
	largestGang     int          // tasks of the largest demand that reserves workers
	sortedReleases  [][]Release  // releases of each worker by time, sorted on first use
	lateReleases    [][]Release  // the same with their late times
	reservations    int
	underused       bool          // at most underusedShare is in use
	placing         int           // demand that is being placed
	longestWait     time.Duration // until the latest start of any urgent demand
	awaited         []batch.Need  // by worker: what becomes free within longestWait
	fleetCapacity   amounts
	holdings        map[string]*holding // by organisation
	result          Result
}

// workerState is the remaining capacity of a worker during planning.
type workerState struct {
	free      batch.Need
	releasing batch.Need
	// heldInUse is capacity that is still in use and that the plan keeps for urgent demands once
	// it is released.
	heldInUse batch.Need
	// If a gang has reserved the worker, reservedFrom is when the gang is expected
	// to start. Other work must end before, or fit into spare.
	reservedFrom time.Time
	// reservedForCovered means that the gang is within the guarantee of its organisation.
	reservedForCovered bool
	spare              batch.Need // expected free capacity at reservedFrom beyond the reservation
	stepTasks          map[StepKey]int
	taken              int     // tasks that this plan has placed here
	onTrial, occupied  bool    // as in Worker
	isolatedFor        *Demand // isolated demand that has taken the worker in this plan
}

// Plan places the demands that fit, the most urgent first.
func Plan(snapshot Snapshot) Result {
	p := newPlanner(snapshot)
	p.setHoldings()
	p.placeInOrder(p.order())
	return p.result
}

func newPlanner(snapshot Snapshot) *planner {
	snapshot = boundAmounts(snapshot)
	p := &planner{Snapshot: snapshot, evicted: make([]bool, len(snapshot.Groups)), shapes: map[shapeKey]*shape{}}
	p.workers = make([]workerState, len(snapshot.Workers))
	p.victims = make([][]victim, len(snapshot.Workers))
	p.sortedReleases, p.lateReleases = make([][]Release, len(snapshot.Workers)), make([][]Release, len(snapshot.Workers))
	for i := range snapshot.Workers {
		p.workers[i] = workerState{free: snapshot.Workers[i].Free, releasing: snapshot.Workers[i].Releasing,
			onTrial: snapshot.Workers[i].OnTrial, occupied: snapshot.Workers[i].Occupied}
	}
	p.setRacks()
	p.underused = isUnderused(snapshot.Workers)
	for i := range p.Demands {
		if p.Demands[i].Step.Gang || p.Demands[i].Priority == 0 {
			p.largestGang = max(p.largestGang, len(p.Demands[i].Tasks))
		}
	}
	p.applyGuarantees()
	p.setEnding()
	p.setAwaited()
	p.setVictims()
	return p
}

// setVictims lists the eviction groups of each worker, in the order of their cost.
func (p *planner) setVictims() {
	type groupCost struct {
		group int
		cost  float64
	}
	byCost := make([]groupCost, len(p.Groups))
	for g := range byCost {
		byCost[g] = groupCost{g, p.Groups[g].cost()}
	}
	slices.SortFunc(byCost, func(a, b groupCost) int {
		if a.cost != b.cost {
			return cmp.Compare(a.cost, b.cost)
		}
		return a.group - b.group
	})
	p.preemptible, p.borrowed = make([]batch.Need, len(p.Workers)), make([]batch.Need, len(p.Workers))
	for _, next := range byCost {
		g := next.group
		if p.Groups[g].Priority == 0 && !p.borrowers[g] {
			continue // never evicted
		}
		held := p.heldBy(g)
		worn, ending := p.Groups[g].evictedOften(), p.endingLevel(p.Groups[g].EndsAt)
		p.anyEvictedOften, p.anyEnding = p.anyEvictedOften || worn, p.anyEnding || ending <= endingLevels
		for _, task := range p.Groups[g].Tasks {
			held[task.Worker] = Add(held[task.Worker], task.Need)
			victims := p.victims[task.Worker]
			if n := len(victims); n > 0 && victims[n-1].group == g {
				victims[n-1].held = Add(victims[n-1].held, task.Need)
				continue
			}
			p.victims[task.Worker] = append(victims, victim{group: g, held: task.Need, cost: next.cost, urgent: p.Groups[g].Priority == 0, worn: worn, ending: ending})
		}
	}
}

// heldBy returns the sums by worker that the capacity of a group counts to.
func (p *planner) heldBy(g int) []batch.Need {
	if p.Groups[g].Priority == 0 {
		return p.borrowed
	}
	return p.preemptible
}

// order returns the positions of the demands by urgency: priority 0 first, of these the
// covered ones, then those that can still meet their objective, by priority and objective,
// then the rest. Where several organisations wait, placeInOrder changes it by their shares.
func (p *planner) order() []int {
	order := make([]int, len(p.Demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.Demands[a], &p.Demands[b]
		return cmp.Or(p.band(x)-p.band(y), p.coverRank(x)-p.coverRank(y), p.sortTime(x).Compare(p.sortTime(y)), strings.Compare(x.Key.Job, y.Key.Job))
	})
	return order
}

// agingWait is the wait after which a demand of priority 0 goes ahead of newer
// ones. Otherwise smaller work with earlier objectives could take the capacity
// that is being freed for it, again and again, until it misses the service
// objective: work of priority 0 starts within 2.7 s.
const agingWait = 800 * time.Millisecond

// sortTime orders the demands of a band by objective. Demands of priority 0
// that have waited for agingWait are ordered by age instead, which puts them
// first.
func (p *planner) sortTime(d *Demand) time.Time {
	if p.aged(d) {
		return d.StartableSince
	}
	return d.Objective
}

// aged reports whether a demand goes ahead of newer ones of its band.
func (p *planner) aged(d *Demand) bool {
	return d.Priority == 0 && p.Now.Sub(d.StartableSince) >= agingWait
}

// missedBand is added to the priority of demands that can no longer meet their
// objective. It is larger than any priority, so they come last.
const missedBand = 1 << 16

// band returns the rank of a demand: its priority, plus missedBand if it can no
// longer meet its objective. Demands of priority 0 and persistent tasks
// always keep their rank: the objective of a persistent job is soon past.
func (p *planner) band(d *Demand) int {
	if d.Priority > 0 && !d.Step.Persistent && p.Now.Add(d.CriticalPath).After(d.Objective) {
		return missedBand + d.Priority
	}
	return d.Priority
}

func (p *planner) place(d int) {
	demand := &p.Demands[d]
	if demand.Step.Gang {
		p.placeGang(d)
		return
	}
	workers := p.placeTasks(demand)
	placement := Placement{Demand: d, Tasks: demand.Tasks[:len(workers)], Workers: workers}
	if len(placement.Tasks) > 0 {
		p.result.Placements = append(p.result.Placements, placement)
	}
	if missing := len(demand.Tasks) - len(placement.Tasks); missing > 0 && demand.Priority == 0 && !demand.Isolated {
		p.preemptForTasks(d, missing)
	}
}

// maxEvictions bounds the groups that a plan evicts. Each costs the dispatcher some calls, and
// hundreds at once would delay the starts of the most urgent work behind them. The next plan
// goes on, soon after.
const maxEvictions = 256

// mayEvict reports whether other work may be evicted for a demand in this plan.
func (p *planner) mayEvict(demand *Demand) bool {
	due := !p.Now.Before(demand.EvictFrom) || p.covered(demand) && !p.Now.Before(p.evictBy(demand))
	return demand.Priority == 0 && !demand.Isolated && due && len(p.result.Evict) < maxEvictions
}

// exceedsBetterWorkerWait reports whether a demand has waited longer for a better
// worker than it may, whatever its run time.
func (p *planner) exceedsBetterWorkerWait(demand *Demand) bool {
	return (p.underused || demand.Step.Persistent) && p.Now.Sub(demand.StartableSince) >= maxBetterWorkerWait
}

// isUnderused reports whether at most underusedShare of each kind of capacity
// is in use.
func isUnderused(workers []Worker) bool {
	var used, total batch.Need
	for i := range workers {
		busy := workers[i].Releasing
		for _, release := range workers[i].Releases {
			busy = Add(busy, release.Need)
		}
		used = Add(used, busy)
		total = Add(total, Add(workers[i].Free, busy))
	}
	below := func(used, total int64) bool { return float64(used) <= underusedShare*float64(total) }
	return below(used.MilliCPU, total.MilliCPU) && below(used.MemoryMb, total.MemoryMb) && below(used.Accelerators, total.Accelerators)
}

// waitsForLocality reports whether a demand still waits for a worker near its
// data, or for one rack. A longer wait could make it miss its objective.
func (p *planner) waitsForLocality(demand *Demand) bool {
	if demand.Priority == 0 || p.exceedsBetterWorkerWait(demand) || !p.Now.Before(demand.latestStart()) {
		return false
	}
	return p.Now.Sub(demand.StartableSince) < localityWaitFactor*demand.runTime()
}
