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
// demand waits longer than underusedMaxWait for a better worker. Work that waits
// for 3 s although idle workers could run it misses the service objective, so
// underusedMaxWait stays below that.
const (
	underusedShare   = 0.6
	underusedMaxWait = 2 * time.Second
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
	// Speed is how fast tasks run here compared with the typical worker. Zero means that it is
	// not known, and counts as 1.
	Speed float64
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
}

// planner is the working state of Plan. Workers, demands and groups are given by
// their positions in the snapshot.
type planner struct {
	Snapshot
	workers        []workerState
	evicted        []bool       // by group
	victims        [][]victim   // by worker, in the order of their loss
	borrowers      []bool       // by group: urgent work beyond the guarantee of its organisation
	preemptible    []batch.Need // by worker: held by work that is not urgent
	borrowed       []batch.Need // by worker: held by borrowers
	uncovered      map[*Demand]bool
	racks          []rack // the last one is the fleet
	fleet          int    // position of the fleet in racks
	rackIndex      map[string]int
	rackOf         []int    // by worker
	changes        []uint32 // by rack: changes of its workers
	reserved       []uint32 // by rack: reservations of its workers
	workerChanges  []uint32 // by worker
	shapes         map[shapeKey]*shape
	totals         []batch.Need // by worker, see totalOf
	candidates     []victim     // buffer of costOf
	slotBuffer     []slot       // buffer of slotsOfRack
	largestGang    int          // tasks
	sortedReleases [][]Release  // releases of each worker by time, sorted on first use
	reservations   int
	underused      bool // at most underusedShare is in use
	result         Result
}

// workerState is the remaining capacity of a worker during planning.
type workerState struct {
	free      batch.Need
	releasing batch.Need
	// If a gang has reserved the worker, reservedFrom is when the gang is expected
	// to start. Other work must end before, or fit into spare.
	reservedFrom time.Time
	// reservedForCovered means that the gang is within the guarantee of its organisation.
	reservedForCovered bool
	spare              batch.Need // expected free capacity at reservedFrom beyond the reservation
	stepTasks          map[StepKey]int
	taken              int     // tasks that this plan has placed here
	isolatedFor        *Demand // isolated demand that has taken the worker in this plan
}

// Plan places the demands that fit, the most urgent first.
func Plan(snapshot Snapshot) Result {
	p := newPlanner(snapshot)
	for _, d := range p.order() {
		if p.Observe != nil {
			p.Observe(p.Demands[d].Key)
		}
		p.place(d)
	}
	return p.result
}

func newPlanner(snapshot Snapshot) *planner {
	snapshot = boundAmounts(snapshot)
	p := &planner{Snapshot: snapshot, evicted: make([]bool, len(snapshot.Groups)), shapes: map[shapeKey]*shape{}}
	p.workers = make([]workerState, len(snapshot.Workers))
	p.victims = make([][]victim, len(snapshot.Workers))
	p.sortedReleases = make([][]Release, len(snapshot.Workers))
	for i := range snapshot.Workers {
		p.workers[i] = workerState{free: snapshot.Workers[i].Free, releasing: snapshot.Workers[i].Releasing}
	}
	p.setRacks()
	p.underused = isUnderused(snapshot.Workers)
	for i := range p.Demands {
		if p.Demands[i].Step.Gang {
			p.largestGang = max(p.largestGang, len(p.Demands[i].Tasks))
		}
	}
	p.applyGuarantees()
	p.setVictims()
	return p
}

// setVictims lists the eviction groups of each worker, in the order of their loss.
func (p *planner) setVictims() {
	type loss struct {
		group int
		work  float64
	}
	byLoss := make([]loss, len(p.Groups))
	for g := range byLoss {
		byLoss[g] = loss{g, p.Groups[g].Loss}
	}
	slices.SortFunc(byLoss, func(a, b loss) int {
		if a.work != b.work {
			return cmp.Compare(a.work, b.work)
		}
		return a.group - b.group
	})
	p.preemptible, p.borrowed = make([]batch.Need, len(p.Workers)), make([]batch.Need, len(p.Workers))
	for _, next := range byLoss {
		g := next.group
		if p.Groups[g].Priority == 0 && !p.borrowers[g] {
			continue // never evicted
		}
		held := p.heldBy(g)
		for _, task := range p.Groups[g].Tasks {
			held[task.Worker] = Add(held[task.Worker], task.Need)
			victims := p.victims[task.Worker]
			if n := len(victims); n > 0 && victims[n-1].group == g {
				victims[n-1].held = Add(victims[n-1].held, task.Need)
				continue
			}
			p.victims[task.Worker] = append(victims, victim{group: g, held: task.Need, loss: next.work, urgent: p.Groups[g].Priority == 0})
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
// then the rest.
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
	if d.Priority == 0 && p.Now.Sub(d.StartableSince) >= agingWait {
		return d.StartableSince
	}
	return d.Objective
}

// missedBand is added to the priority of demands that can no longer meet their
// objective. It is larger than any priority, so they come last.
const missedBand = 1 << 16

// band returns the rank of a demand: its priority, plus missedBand if it can no
// longer meet its objective. Demands of priority 0 always keep their rank.
func (p *planner) band(d *Demand) int {
	if d.Priority > 0 && p.Now.Add(d.CriticalPath).After(d.Objective) {
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
	if missing := len(demand.Tasks) - len(placement.Tasks); missing > 0 && p.mayEvict(demand) {
		p.evictForTasks(demand, missing)
	}
}

// maxEvictions bounds the groups that a plan evicts. Each costs the dispatcher some calls, and
// hundreds at once would delay the starts of the most urgent work behind them. The next plan
// goes on, soon after.
const maxEvictions = 256

// mayEvict reports whether other work may be evicted for a demand in this plan.
func (p *planner) mayEvict(demand *Demand) bool {
	return demand.Priority == 0 && !demand.Isolated && !p.Now.Before(demand.EvictFrom) && len(p.result.Evict) < maxEvictions
}

// exceedsUnderusedWait reports whether a demand has waited longer than it may
// in an underused fleet.
func (p *planner) exceedsUnderusedWait(demand *Demand) bool {
	return p.underused && p.Now.Sub(demand.StartableSince) >= underusedMaxWait
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
// data, or for one rack.
func (p *planner) waitsForLocality(demand *Demand) bool {
	if demand.Priority == 0 || p.exceedsUnderusedWait(demand) {
		return false
	}
	return p.Now.Sub(demand.StartableSince) < localityWaitFactor*demand.runTime()
}
