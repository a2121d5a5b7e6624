package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

const (
	playStep     = 100 * time.Millisecond
	longestStop  = 900 * time.Millisecond
	reclaimLimit = 2700 * time.Millisecond
	startTime    = 150 * time.Millisecond
	longestGap   = 400 * time.Millisecond
	// usualEvictionWait is the eviction wait in a fleet of 350 workers.
	usualEvictionWait = 600 * time.Millisecond
)

// playedRun is running work: a task, or a whole gang.
type playedRun struct {
	job       string
	priority  int
	workers   []int
	need      batch.Need
	started   time.Time
	estimate  time.Duration
	ends      time.Time
	evictions int
}

// playedDemand is a waiting demand of the play, with the run time that its tasks really take.
type playedDemand struct {
	placement.Demand
	actual    time.Duration
	evictions int
}

// play is a loop of plans over a list of runs.
type play struct {
	waits        bool // with the rules for waiting; otherwise with those of ced22c4
	evictionWait time.Duration
	wrong        bool          // no run ends when it is expected to
	gap          time.Duration // from one plan to the next
	slowest      time.Duration // stops take a third to two thirds of this
	now          time.Time
	fleet        []placement.Worker
	runs         []*playedRun
	demands      []*playedDemand
	stopping     []*playedRun // ends is when the stop has freed the capacity
	evicted      map[string]int
	started      map[string]time.Time
	accepted     map[string]time.Time
	lost         float64 // core-seconds
	added        int
}

// forecast returns the expected end of a run, and when it has ended in nine of ten cases. The
// remaining time is known from the progress of the run, up to a quarter.
func (p *play) forecast(r *playedRun) (expected, late time.Time) {
	if p.wrong {
		return p.now.Add(r.estimate / 20), p.now.Add(r.estimate / 10)
	}
	remaining := float64(r.ends.Sub(p.now)) * (0.75 + 0.5*float64((r.workers[0]*7+len(r.job))%10)/10)
	return p.now.Add(time.Duration(remaining)), p.now.Add(time.Duration(remaining * 4 / 3))
}

func (p *play) snapshot() (placement.Snapshot, []*playedRun) {
	s := placement.Snapshot{Now: p.now, Workers: slices.Clone(p.fleet)}
	if p.waits {
		s.StopTime = longestStop
	}
	for i := range s.Workers {
		s.Workers[i].Releases = nil
	}
	var victims []*playedRun
	for _, r := range p.runs {
		expected, late := p.forecast(r)
		group := placement.EvictionGroup{ID: len(victims), Priority: r.priority, Loss: r.coreSeconds(p.now) * 1000, StartedAt: r.started, EndsAt: expected}
		if p.waits {
			group.Evictions = r.evictions
		}
		for _, w := range r.workers {
			s.Workers[w].Free = placement.Sub(s.Workers[w].Free, r.need)
			s.Workers[w].Releases = append(s.Workers[w].Releases, placement.Release{At: expected, Late: late, Need: r.need})
			group.Tasks = append(group.Tasks, placement.EvictionTask{Worker: w, Need: r.need})
		}
		if r.priority > 0 {
			s.Groups, victims = append(s.Groups, group), append(victims, r)
		}
	}
	for _, r := range p.stopping {
		for _, w := range r.workers {
			s.Workers[w].Free = placement.Sub(s.Workers[w].Free, r.need)
			s.Workers[w].Releasing = placement.Add(s.Workers[w].Releasing, r.need)
		}
	}
	for _, d := range p.demands {
		next := d.Demand
		if !p.waits {
			next.LatestStart, next.EvictBy = next.EvictFrom, time.Time{}
		}
		s.Demands = append(s.Demands, next)
	}
	return s, victims
}

// coreSeconds is the work that is lost if the run is stopped.
func (r *playedRun) coreSeconds(now time.Time) float64 {
	cores := float64(r.need.MilliCPU)/1000 + placement.AcceleratorWeight*float64(r.need.Accelerators)
	return float64(len(r.workers)) * cores * now.Sub(r.started).Seconds()
}

// step makes a plan and carries it out. Stops are short enough that a gang which evicts at the
// end of the eviction wait starts in time.
func (p *play) step(g *gomega.WithT, random *rand.Rand) {
	ended := func(r *playedRun) bool { return !r.ends.After(p.now) }
	p.runs, p.stopping = slices.DeleteFunc(p.runs, ended), slices.DeleteFunc(p.stopping, ended)
	s, victims := p.snapshot()
	result := placement.Plan(s)
	p.check(g, s, result)
	for _, e := range result.Evict {
		r := victims[e]
		p.lost += r.coreSeconds(p.now)
		p.evicted[r.job]++
		p.runs = slices.DeleteFunc(p.runs, func(other *playedRun) bool { return other == r })
		again := &playedDemand{actual: r.ends.Sub(r.started), evictions: p.evicted[r.job]}
		again.Demand = demand(r.priority, len(r.workers), batch.Step{Gang: len(r.workers) > 1, Need: r.need, EstimateMs: r.estimate.Milliseconds()})
		again.Key.Job, again.StartableSince = r.job, p.now
		p.demands = append(p.demands, again)
		r.ends = p.now.Add(p.slowest*2/3 - time.Duration(random.Int64N(int64(p.slowest/3))))
		p.stopping = append(p.stopping, r)
	}
	p.start(result)
	p.now = p.now.Add(p.gap)
}

// start starts what a plan places.
func (p *play) start(result placement.Result) {
	for _, placed := range result.Placements {
		d := p.demands[placed.Demand]
		r := playedRun{job: d.Key.Job, priority: d.Priority, need: d.Step.Need, started: p.now, estimate: time.Duration(d.Step.EstimateMs) * time.Millisecond, ends: p.now.Add(d.actual), evictions: d.evictions}
		if d.Step.Gang {
			r.workers = placed.Workers
			p.runs = append(p.runs, &r)
		} else {
			for _, w := range placed.Workers {
				p.added++
				one := r
				one.workers, one.job = []int{w}, fmt.Sprint(d.Key.Job, "/", p.added)
				if d.evictions > 0 {
					one.job = d.Key.Job
				}
				p.runs = append(p.runs, &one)
			}
		}
		d.Tasks = d.Tasks[len(placed.Tasks):]
		if len(d.Tasks) == 0 {
			p.started[d.Key.Job] = p.now
		}
	}
	p.demands = slices.DeleteFunc(p.demands, func(d *playedDemand) bool { return len(d.Tasks) == 0 })
}

// check guards against starts beyond what is free.
func (p *play) check(g *gomega.WithT, s placement.Snapshot, result placement.Result) {
	for _, placed := range result.Placements {
		for _, w := range placed.Workers {
			s.Workers[w].Free = placement.Sub(s.Workers[w].Free, s.Demands[placed.Demand].Step.Need)
			g.Expect(placement.Covers(s.Workers[w].Free, batch.Need{})).To(gomega.BeTrue())
		}
	}
}

// urgentGang returns a gang like those of the quotes, with the limits of a covered demand or of
// another one.
func (p *play) urgentGang(id int, accelerators int64) *playedDemand {
	d := &playedDemand{Demand: demand(0, 5, batch.Step{Gang: true, Need: jobNeed(7.5, accelerators), EstimateMs: 2500}), actual: 2500 * time.Millisecond}
	d.Key.Job, d.StartableSince = fmt.Sprint("urgent", id), p.now
	d.CriticalPath = d.actual
	d.Objective = p.now.Add(d.actual*3/2 + 250*time.Millisecond)
	d.EvictFrom = p.now.Add(p.evictionWait)
	d.LatestStart = d.Objective.Add(-d.actual - startTime - playStep)
	d.EvictBy = p.now.Add(reclaimLimit - longestStop - startTime - longestGap)
	return d
}

// jobNeed returns the need of a task with some cores and accelerators.
func jobNeed(cores float64, accelerators int64) batch.Need {
	return batch.Need{MilliCPU: int64(cores * 1000), MemoryMb: 1000, Accelerators: accelerators}
}

// newPlay returns a fleet that reports and checks have filled, with more of both that wait.
func newPlay(g *gomega.WithT, workers int, random *rand.Rand) *play {
	p := &play{waits: true, evictionWait: usualEvictionWait, gap: playStep, slowest: longestStop, now: now, fleet: workersInRacks(workers/8, 8), evicted: map[string]int{}, started: map[string]time.Time{}, accepted: map[string]time.Time{}}
	for range 120 {
		p.addOthers(random)
		p.step(g, random)
	}
	return p
}

// addOthers keeps reports and checks waiting.
func (p *play) addOthers(random *rand.Rand) {
	add := func(priority, tasks int, step batch.Step, estimate time.Duration) {
		step.EstimateMs = estimate.Milliseconds()
		p.added++
		d := &playedDemand{Demand: demand(priority, tasks, step), actual: time.Duration(float64(estimate) * (0.5 + random.Float64()))}
		d.Key.Job, d.StartableSince, d.Objective = fmt.Sprint("other", p.added), p.now, p.now.Add(3*estimate)
		p.demands = append(p.demands, d)
	}
	for len(p.demands) < 30 {
		add(1, 13, batch.Step{Gang: true, Need: jobNeed(26, []int64{1, 2, 4, 8}[random.IntN(4)])}, 11*time.Second)
		add(2, 39, batch.Step{Need: jobNeed(5.6, 1)}, 9500*time.Millisecond)
	}
}

const playedWorkers = 352

// playBurst plays six seconds of urgent gangs, and three more.
func playBurst(g *gomega.WithT, seed uint64, waits bool, evictionWait time.Duration) (p *play, latest map[string]time.Time) {
	random := rand.New(rand.NewPCG(seed, 3))
	p = newPlay(g, playedWorkers, random)
	p.waits, p.lost, p.evictionWait = waits, 0, evictionWait
	latest = map[string]time.Time{}
	arrivals := rand.New(rand.NewPCG(seed, 4))
	for i := range 90 {
		for range arrivals.IntN(4) * min(1, max(0, 60-i)) {
			d := p.urgentGang(len(latest), []int64{1, 2, 4, 8}[arrivals.IntN(4)])
			latest[d.Key.Job] = d.LatestStart.Add(playStep)
			p.demands = append(p.demands, d)
		}
		p.addOthers(random)
		p.step(g, random)
	}
	return p, latest
}

// lateness returns how long after its latest start each gang has started.
func (p *play) lateness(latest map[string]time.Time) map[string]time.Duration {
	late := map[string]time.Duration{}
	for job, limit := range latest {
		started, ok := p.started[job]
		if !ok {
			started = p.now
		}
		late[job] = max(0, started.Sub(limit))
	}
	return late
}

// Guards against work that is thrown away for urgent gangs which would have started in time
// without it, and against gangs that start late because they waited. Load: some 90 urgent gangs
// of 5 tasks in 6 s on 352 workers full of gangs of 13 tasks and of single tasks.
func TestBurstOfUrgentGangsWastesHalfAtMost(t *testing.T) {
	lostBefore, lostAfter := 0.0, 0.0
	for seed := range uint64(4) {
		g := gomega.NewWithT(t)
		before, latest := playBurst(g, seed, false, usualEvictionWait)
		after, _ := playBurst(g, seed, true, usualEvictionWait)
		t.Logf("seed %d, %d gangs: lost core-seconds %.0f before, %.0f after", seed, len(latest), before.lost, after.lost)
		lostBefore, lostAfter = lostBefore+before.lost, lostAfter+after.lost
		lateBefore := before.lateness(latest)
		for job, late := range after.lateness(latest) {
			g.Expect(late).To(gomega.BeNumerically("<=", lateBefore[job]), job)
		}
		for job, n := range after.evicted {
			g.Expect(n).To(gomega.BeNumerically("<=", 3), job)
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(lostBefore).To(gomega.BeNumerically(">", 0))
	g.Expect(lostAfter).To(gomega.BeNumerically("<=", lostBefore/2))
}

// Guards against an eviction wait that is shortened by the time of a stop without need: in the
// same burst as above, more work is then lost and no gang starts in time that otherwise does not.
func TestEvictionWaitLeavesOutTheTimeOfAStop(t *testing.T) {
	g := gomega.NewWithT(t)
	const shortened = 270 * time.Millisecond // 0.6 of 1,350 ms of slack less 900 ms
	lostUsual, lostShortened := 0.0, 0.0
	for seed := range uint64(2) {
		usual, latest := playBurst(g, seed, true, usualEvictionWait)
		early, _ := playBurst(g, seed, true, shortened)
		lostUsual, lostShortened = lostUsual+usual.lost, lostShortened+early.lost
		lateEarly := early.lateness(latest)
		for job, late := range usual.lateness(latest) {
			g.Expect(late).To(gomega.BeNumerically("<=", lateEarly[job]), job)
		}
	}
	t.Logf("lost core-seconds: %.0f, with a shortened wait %.0f", lostUsual, lostShortened)
	g.Expect(lostUsual).To(gomega.BeNumerically("<", lostShortened))
}

// Guards against covered gangs that wait beyond the reclaim limit for runs which are always
// about to end. Load: 8 gangs of 5 tasks on 48 full workers, forecasts that never come true,
// plans 400 ms apart, and stops that take the longest time.
func TestCoveredGangsStartWithinTheReclaimLimitWithWrongForecasts(t *testing.T) {
	for seed := range uint64(20) {
		g := gomega.NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 5))
		p := newPlay(g, 48, random)
		p.wrong, p.gap, p.slowest = true, longestGap, longestStop*3/2
		for i := range 30 {
			p.addOthers(random)
			if i < 8 {
				d := p.urgentGang(i, []int64{1, 2, 4, 8}[random.IntN(4)])
				// It became startable just after a plan.
				d.StartableSince, d.EvictFrom, d.EvictBy = d.StartableSince.Add(-longestGap), d.EvictFrom.Add(-longestGap), d.EvictBy.Add(-longestGap)
				d.LatestStart = d.LatestStart.Add(time.Minute)
				p.demands = append(p.demands, d)
				p.accepted[d.Key.Job] = d.StartableSince
			}
			p.step(g, random)
		}
		for job, accepted := range p.accepted {
			g.Expect(p.started).To(gomega.HaveKey(job))
			g.Expect(p.started[job].Add(startTime).Sub(accepted)).To(gomega.BeNumerically("<=", reclaimLimit), job)
		}
	}
}

// waitingPair returns two workers of which other work holds all accelerators, the first one
// until soon, and a demand for one of them.
func waitingPair(gang bool, soon time.Duration) placement.Snapshot {
	s := placement.Snapshot{Now: now, StopTime: longestStop, Workers: workersInRacks(1, 2)}
	for w := range s.Workers {
		end := now.Add(soon + time.Duration(w)*time.Minute)
		s.Workers[w].Free = placement.Sub(s.Workers[w].Free, needing(8))
		s.Workers[w].Releases = []placement.Release{{At: end, Late: end, Need: needing(8)}}
		s.Groups = append(s.Groups, placement.EvictionGroup{ID: w, Priority: 2, Loss: 1, EndsAt: end, Tasks: []placement.EvictionTask{{Worker: w, Need: needing(8)}}})
	}
	d := demand(0, 1, batch.Step{Gang: gang, Need: needing(8)})
	d.EvictFrom, d.LatestStart, d.EvictBy = now, now.Add(2*time.Second), now.Add(1500*time.Millisecond)
	s.Demands = []placement.Demand{d}
	return s
}

// Guards against an eviction although the demand would start in time without one, and against
// other work that takes the room for which it waits.
func TestUrgentDemandWaitsAndItsRoomIsHeld(t *testing.T) {
	for _, gang := range []bool{false, true} {
		g := gomega.NewWithT(t)
		s := waitingPair(gang, 1200*time.Millisecond)
		result := placement.Plan(s)
		g.Expect(result.Evict).To(gomega.BeEmpty())
		g.Expect(result.Waits).To(gomega.Equal([]int{0}))
		second := s.Demands[0]
		second.Key.Job, second.StartableSince, second.Objective = "second", now.Add(time.Millisecond), now.Add(time.Hour)
		s.Demands = append(s.Demands, second)
		g.Expect(placement.Plan(s).Evict).To(gomega.Equal([]int{1}), "the second demand evicts the other work")
		s = waitingPair(gang, 1200*time.Millisecond)
		s.Workers[0].Free, s.Workers[0].Releases[0].Need = needing(4), needing(4)
		s.Groups[0].Tasks[0].Need = needing(4)
		s.Demands = append(s.Demands, demand(1, 1, batch.Step{Need: needing(4), EstimateMs: 9000}))
		g.Expect(placement.Plan(s).Placements).To(gomega.BeEmpty(), "the free part is held too")
	}
}

// Guards against a demand that goes on waiting when the capacity for which it waits is lost: the
// worker of the expected release goes while the demand waits.
func TestWaitingDemandEvictsWhenItsReleaseIsLost(t *testing.T) {
	for _, gang := range []bool{false, true} {
		g := gomega.NewWithT(t)
		s := waitingPair(gang, 1200*time.Millisecond)
		g.Expect(placement.Plan(s).Evict).To(gomega.BeEmpty())
		s.Now = now.Add(playStep)
		s.Workers[0].Schedulable = false
		result := placement.Plan(s)
		g.Expect(result.Evict).To(gomega.Equal([]int{1}))
		g.Expect(result.Evictions).To(gomega.Equal([]placement.Eviction{{Demand: 0, Cause: placement.CauseTooLate}}))
		g.Expect(s.Now.Add(longestStop + startTime)).To(gomega.BeTemporally("<=", s.Demands[0].LatestStart))
	}
}

// Guards against an eviction beside a run that ends before the stop would, and against waits
// for such a run that go on when the latest start has passed.
func TestRunThatIsAboutToEndIsNoVictim(t *testing.T) {
	g := gomega.NewWithT(t)
	s := waitingPair(true, 300*time.Millisecond)
	g.Expect(placement.Plan(s).Evict).To(gomega.BeEmpty())
	s.Groups = s.Groups[:1]
	s.Demands[0].EvictBy = now
	g.Expect(placement.Plan(s).Evict).To(gomega.Equal([]int{0}))
}

// Guards against work that never ends because it is evicted again and again: after three times
// only a demand that a guarantee covers may evict it.
func TestTaskIsEvictedAtMostThreeTimesUnlessForAGuarantee(t *testing.T) {
	g := gomega.NewWithT(t)
	s := waitingPair(true, time.Minute)
	for i := range s.Groups {
		s.Groups[i].Evictions = 3
	}
	s.Demands[0].EvictBy = now
	g.Expect(placement.Plan(s).Evict).To(gomega.BeEmpty())
	s.Guarantees = map[string]placement.Guarantee{"owner": {Accelerators: 8}}
	g.Expect(placement.Plan(s).Evict).To(gomega.BeEmpty())
	s.Demands[0].Organisation = "owner"
	g.Expect(placement.Plan(s).Evict).To(gomega.HaveLen(1))
	s.Groups[0].Evictions = 1
	s.Groups[1].Evictions = 2
	g.Expect(placement.Plan(s).Evict).To(gomega.Equal([]int{0}), "the less often evicted one")
}

// Guards against free capacity that stays idle for seconds because an urgent demand which has
// missed its objective waits for the rest of a worker.
func TestLongWaitLeavesRoomForShortWork(t *testing.T) {
	for _, gang := range []bool{false, true} {
		g := gomega.NewWithT(t)
		s := waitingPair(gang, 8*time.Second)
		s.Workers[0].Free, s.Workers[0].Releases[0].Need = needing(4), needing(4)
		s.Groups[0].Tasks[0].Need = needing(4)
		s.Guarantees = map[string]placement.Guarantee{}
		s.Demands[0].LatestStart = now.Add(10 * time.Second)
		short, long := demand(1, 1, batch.Step{Need: needing(4), EstimateMs: 7000}), demand(1, 1, batch.Step{Need: needing(4), EstimateMs: 9000})
		s.Demands = append(s.Demands, long, short)
		result := placement.Plan(s)
		g.Expect(result.Evict).To(gomega.BeEmpty())
		g.Expect(result.Waits).To(gomega.Equal([]int{0}))
		g.Expect(tasksByWorker(result, 1)).To(gomega.BeEmpty())
		g.Expect(tasksByWorker(result, 2)).To(gomega.Equal(map[int]int{0: 1}))
	}
}
