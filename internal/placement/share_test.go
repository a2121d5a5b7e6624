package placement_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// load is the arrivals of an organisation: demands of four tasks of 1 s with an accelerator.
type load struct {
	organisation string
	share        float64 // of the capacity of the fleet
	priority     int
	// The organisation submits nothing from pauseFrom until pauseTo.
	pauseFrom, pauseTo time.Duration
}

// startedTask is a run in a fairFleet.
type startedTask struct {
	organisation string
	worker       int
	at, end      time.Time
	inTime       bool // ends by its objective
}

// fairFleet is a fleet of 16 workers with eight accelerators each that is planned every 100 ms.
type fairFleet struct {
	runs   []startedTask // all that were started
	active []startedTask
}

const (
	planEvery     = 100 * time.Millisecond
	fleetTasks    = 128 // that run at the same time
	tasksOfDemand = 4
)

// run plays the loads for a time.
func (f *fairFleet) run(loads []load, d time.Duration) *fairFleet {
	var waiting []placement.Demand
	due := make([]float64, len(loads))
	for at := time.Duration(0); at < d; at += planEvery {
		clock := now.Add(at)
		f.active = slices.DeleteFunc(f.active, func(r startedTask) bool { return !r.end.After(clock) })
		for i, l := range loads {
			if at >= l.pauseFrom && at < l.pauseTo {
				continue
			}
			for due[i] += l.share * fleetTasks * planEvery.Seconds() / tasksOfDemand; due[i] >= 1; due[i]-- {
				next := demand(l.priority, tasksOfDemand, batch.Step{Need: needing(1), EstimateMs: 1000})
				next.Key = placement.StepKey{Job: fmt.Sprintf("%05d %s %d", at.Milliseconds(), l.organisation, int(due[i]))}
				next.Organisation, next.StartableSince, next.CriticalPath = l.organisation, clock, time.Second
				next.Objective = clock.Add(4 * time.Second)
				waiting = append(waiting, next)
			}
		}
		waiting = f.plan(clock, waiting)
	}
	return f
}

// plan applies one plan and returns what still waits.
func (f *fairFleet) plan(clock time.Time, waiting []placement.Demand) []placement.Demand {
	workers := workersInRacks(1, fleetTasks/8)
	usage := map[string]placement.Usage{}
	for _, r := range f.active {
		workers[r.worker].Free = placement.Sub(workers[r.worker].Free, needing(1))
		workers[r.worker].Releases = append(workers[r.worker].Releases, placement.Release{At: r.end, Need: needing(1)})
		held := usage[r.organisation]
		held.Other = placement.Add(held.Other, needing(1))
		usage[r.organisation] = held
	}
	result := placement.Plan(placement.Snapshot{Now: clock, Workers: workers, Demands: waiting, Usage: usage})
	for _, placed := range result.Placements {
		d := &waiting[placed.Demand]
		for _, w := range placed.Workers {
			end := clock.Add(time.Second)
			run := startedTask{organisation: d.Organisation, worker: w, at: clock, end: end, inTime: !end.After(d.Objective)}
			f.runs, f.active = append(f.runs, run), append(f.active, run)
		}
		d.Tasks = d.Tasks[len(placed.Tasks):]
	}
	Expect(len(f.active)).To(BeNumerically("<=", fleetTasks))
	return slices.DeleteFunc(waiting, func(d placement.Demand) bool { return len(d.Tasks) == 0 })
}

// started returns the share of the capacity that an organisation got from one time to another.
func (f *fairFleet) started(organisation string, from, to time.Duration, inTime bool) float64 {
	n := 0
	for _, r := range f.runs {
		if r.organisation == organisation && !r.at.Before(now.Add(from)) && r.at.Before(now.Add(to)) && (r.inTime || !inTime) {
			n++
		}
	}
	return float64(n) / fleetTasks / (to - from).Seconds()
}

var _ = Describe("shares of organisations", func() {
	const played = 40 * time.Second

	// Guards against an organisation that is crowded out by one that submits ten times as
	// much: of equal priority, all work was started by objective.
	It("serve a small organisation beside a large one as if it were alone", func() {
		small, large := load{organisation: "small", share: 0.25, priority: 1}, load{organisation: "large", share: 2.5, priority: 1}
		alone := new(fairFleet).run([]load{small}, played).started("small", 0, played, true)
		shared := new(fairFleet).run([]load{large, small}, played)
		Expect(shared.started("small", 0, played, true)).To(BeNumerically("~", alone, 0.05*alone))
		Expect(shared.started("large", 0, played, false)).To(BeNumerically(">", 0.7), "idle capacity is lent")
	})

	// Guards against organisations with little work that pay for those with much, and against
	// unequal shares among the latter.
	It("divide the capacity among ten organisations with skewed demand", func() {
		var loads []load
		for i, share := range []float64{1.5, 1, 1, 0.08, 0.06, 0.06, 0.04, 0.04, 0.02, 0.02} {
			loads = append(loads, load{organisation: fmt.Sprint("o", i), share: share, priority: 1})
		}
		fleet := new(fairFleet).run(loads, played)
		for i, l := range loads {
			served, fair := fleet.started(l.organisation, 0, played, false), l.share
			if i < 3 {
				fair = (1 - 0.32) / 3
			}
			Expect(served).To(BeNumerically("~", fair, 0.1*fair), l.organisation)
		}
	})

	// Guards against capacity that lies idle for an absent organisation, against one that
	// returns and waits for the backlog of the others, and against credit for the pause.
	It("lend the capacity of an organisation that pauses and return it at once", func() {
		fleet := new(fairFleet).run([]load{{organisation: "steady", share: 1.2, priority: 1}, {organisation: "returns", share: 1.2, priority: 1, pauseFrom: 10 * time.Second, pauseTo: 20 * time.Second}}, 30*time.Second)
		Expect(fleet.started("steady", 14*time.Second, 20*time.Second, false)).To(BeNumerically(">", 0.9))
		Expect(fleet.started("returns", 20*time.Second, 21*time.Second, false)).To(BeNumerically(">", 0.45), "as soon as runs of the other one end")
		Expect(fleet.started("returns", 21*time.Second, 30*time.Second, false)).To(BeNumerically("~", 0.5, 0.05))
	})

	// Guards against shares that go ahead of priority.
	It("give no work precedence over more urgent work", func() {
		busy, idle := demand(1, 32, batch.Step{Need: needing(1)}), demand(2, 32, batch.Step{Need: needing(1)})
		busy.Organisation, idle.Organisation = "busy", "idle"
		snapshot := placement.Snapshot{Now: now, Workers: workersInRacks(1, 4), Demands: []placement.Demand{idle, busy}, Usage: map[string]placement.Usage{"busy": {Other: needing(30)}}}
		result := placement.Plan(snapshot)
		Expect(tasksByWorker(result, 0)).To(BeEmpty())
		Expect(tasksByWorker(result, 1)).NotTo(BeEmpty())
		By("with the same priority it is the turn of the idle one")
		snapshot.Demands[1].Priority = 2
		Expect(tasksByWorker(placement.Plan(snapshot), 1)).To(BeEmpty())
	})

	// Guards against an organisation that is put last for urgent work that is guaranteed to it.
	It("leave out what the guarantee covers of urgent work", func() {
		snapshot := placement.Snapshot{Workers: workersInRacks(1, 4), Guarantees: map[string]placement.Guarantee{"a": {Accelerators: 16}},
			Usage: map[string]placement.Usage{"a": {Urgent: needing(12), Other: needing(4)}, "b": {Urgent: needing(8)}, "c": {Urgent: needing(20)}}}
		Expect(placement.DominantShares(snapshot)).To(Equal(map[string]float64{"a": 0.125, "b": 0.25, "c": 0.625}))
		snapshot.Usage["a"] = placement.Usage{Urgent: needing(24), Other: needing(4)}
		Expect(placement.DominantShares(snapshot)).To(HaveKeyWithValue("a", 0.375))
		By("the scarcest kind of capacity counts")
		snapshot.Usage["d"] = placement.Usage{Other: batch.Need{MilliCPU: 128000, Accelerators: 1}}
		Expect(placement.DominantShares(snapshot)).To(HaveKeyWithValue("d", 0.5))
	})

	// Guards against an organisation that is served first, or a plan that fails, because the
	// usage is not known yet or wrong after a take-over.
	It("take usage that is missing or negative for none", func() {
		first, second := demand(1, 32, batch.Step{Need: needing(1)}), demand(1, 32, batch.Step{Need: needing(1)})
		first.Organisation, second.Organisation, second.Objective = "first", "second", first.Objective.Add(time.Second)
		for _, usage := range []map[string]placement.Usage{nil, {}, {"second": {Other: batch.Need{MilliCPU: -1 << 62, MemoryMb: -5, Accelerators: -9}, Urgent: needing(-3)}}} {
			snapshot := placement.Snapshot{Now: now, Workers: workersInRacks(1, 4), Demands: []placement.Demand{second, first}, Usage: usage}
			Expect(tasksByWorker(placement.Plan(snapshot), 0)).To(BeEmpty())
			Expect(tasksByWorker(placement.Plan(snapshot), 1)).To(HaveLen(4))
			snapshot.Workers = nil
			Expect(placement.Plan(snapshot).Placements).To(BeEmpty())
		}
	})

	// Guards against an organisation whose blocked gangs take all reservations of a plan: the
	// gang of another one was passed by longer work.
	It("pass the turn on after a reservation", func() {
		workers := workersInRacks(1, 6)
		for i := range workers {
			workers[i].Free.Accelerators = 0
			workers[i].Releases = []placement.Release{{At: now.Add(time.Second), Need: needing(8)}}
		}
		workers[5].Labels, workers[5].Free.Accelerators, workers[5].Releases[0].Need = []string{"b"}, 4, needing(4)
		var demands []placement.Demand
		for i := range 6 {
			gang := demand(1, 1, batch.Step{Gang: true, Need: needing(8), Label: "a"})
			gang.Key.Job, gang.Organisation, gang.Objective = fmt.Sprint(i), "gangs", gang.Objective.Add(time.Duration(i)*time.Second)
			if i == 5 {
				gang.Organisation, gang.Step.Label = "other", "b"
			}
			demands = append(demands, gang)
		}
		longer := demand(2, 1, batch.Step{Need: needing(1), Label: "b", EstimateMs: 60000})
		longer.Organisation = "gangs"
		result := placement.Plan(placement.Snapshot{Now: now, Workers: workers, Demands: append(demands, longer)})
		Expect(result.Placements).To(BeEmpty())
	})
})
