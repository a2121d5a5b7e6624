package workerhealth_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

const (
	fleetWorkers = 100
	fleetTick    = 100 * time.Millisecond
	faultsFrom   = 10 * time.Second
	faultsUntil  = 40 * time.Second
	fleetEnd     = 70 * time.Second
)

// fault is what is wrong with a worker between faultsFrom and faultsUntil.
type fault int

const (
	sound fault = iota
	hangs
	fails
	flaps
)

type fleetJob struct {
	id      string
	step    batch.Step
	since   time.Duration
	done    []bool
	running []bool
	run     int64
	moves   int
	avoid   map[string]bool
	endedAt time.Duration
	needed  time.Duration
}

// fleetRun is a running task, or all members of a gang.
type fleetRun struct {
	job      *fleetJob
	tasks    []int
	workers  []int
	worked   time.Duration
	fails    bool
	run      int64
	progress workerhealth.Progress
	started  time.Duration
}

// fleetPlay plays jobs on workers of which some are faulty.
type fleetPlay struct {
	*tracked
	health   bool // use the tracker
	takeOver bool // replace the tracker in the middle
	faults   []fault
	random   *rand.Rand
	at       time.Duration
	jobs     []*fleetJob
	runs     []*fleetRun
	// quarantined has the sound workers that were in quarantine, servedAt when a worker first
	// completed a task after its fault.
	quarantined map[int]bool
	servedAt    map[int]time.Duration
}

func newFleetPlay(faulty, health, takeOver bool, seed uint64) *fleetPlay {
	p := &fleetPlay{tracked: newTracked(), health: health, takeOver: takeOver, faults: make([]fault, fleetWorkers), random: rand.New(rand.NewPCG(seed, 1)),
		quarantined: map[int]bool{}, servedAt: map[int]time.Duration{}}
	p.workers = nil
	for i := range fleetWorkers {
		p.workers = append(p.workers, placement.Worker{ID: fmt.Sprint("w", i), Service: "s"})
		switch order := (i * 37) % 100; {
		case !faulty:
		case order < 12:
			p.faults[i] = hangs
		case order < 20:
			p.faults[i] = fails
		case order < 30:
			p.faults[i] = flaps
		}
	}
	return p
}

func (p *fleetPlay) has(w int, f fault) bool {
	return p.faults[w] == f && p.at >= faultsFrom && p.at < faultsUntil
}

// away reports whether a flapping worker has left: 2 s of 6 s.
func (p *fleetPlay) away(w int) bool {
	return p.has(w, flaps) && p.sinceFault()%(6*time.Second) < 2*time.Second
}

func (p *fleetPlay) sinceFault() time.Duration { return p.at - faultsFrom }

func (p *fleetPlay) play() {
	start := p.now
	for ; p.at < fleetEnd; p.at += fleetTick {
		p.now = start.Add(p.at)
		if p.takeOver && p.at == 25*time.Second {
			p.Tracker = workerhealth.New(workerhealth.Config{})
			for _, r := range p.runs {
				r.progress = workerhealth.Progress{}
			}
		}
		p.Advance(p.now)
		if p.at < fleetEnd-15*time.Second {
			p.submit()
		}
		p.restart()
		p.work()
		if p.health && p.at%(500*time.Millisecond) == 0 {
			p.findHung()
		}
		p.plan()
	}
}

// submit adds jobs for about 75 % of the fleet, and after the faults for 90 %, so that workers
// that have recovered are needed. Two of three jobs have single tasks, one is a gang.
func (p *fleetPlay) submit() {
	n := 2 + p.random.IntN(2)
	if p.at >= faultsUntil {
		n = 3
	}
	for range n {
		j := &fleetJob{id: fmt.Sprint("j", len(p.jobs)), since: p.at, avoid: map[string]bool{}}
		j.step = batch.Step{Tasks: 8, Need: batch.Need{Accelerators: 1}, EstimateMs: 2000 + p.random.Int64N(2000), Gang: p.random.IntN(3) == 0}
		j.needed = time.Duration(float64(j.step.EstimateMs)*(0.7+0.6*p.random.Float64())) * time.Millisecond
		j.done, j.running = make([]bool, j.step.Tasks), make([]bool, j.step.Tasks)
		p.jobs = append(p.jobs, j)
	}
}

// restart ends the runs of flapping workers that leave.
func (p *fleetPlay) restart() {
	for w := range p.workers {
		if p.has(w, flaps) && p.sinceFault()%(6*time.Second) == 0 {
			p.Note(p.workers[w].ID, 1, workerhealth.Evidence{Kind: workerhealth.Restarted}, p.now)
			for _, r := range slices.Clone(p.runs) {
				if slices.Contains(r.workers, w) {
					p.end(r)
				}
			}
		}
	}
}

func (p *fleetPlay) end(r *fleetRun) {
	p.runs = slices.DeleteFunc(p.runs, func(other *fleetRun) bool { return other == r })
	for _, task := range r.tasks {
		r.job.running[task] = false
	}
}

// work advances the runs. The workers report progress each second.
func (p *fleetPlay) work() {
	for _, r := range slices.Clone(p.runs) {
		if !slices.ContainsFunc(r.workers, func(w int) bool { return p.has(w, hangs) }) {
			r.worked += fleetTick
		}
		bad := slices.IndexFunc(r.workers, func(w int) bool { return p.has(w, fails) })
		evidence := workerhealth.Evidence{Task: r.task(), Run: r.run}
		switch {
		case (bad >= 0 || r.fails) && r.worked >= r.job.needed/5:
			evidence.Kind = workerhealth.Failure
			worker := p.workers[r.workers[max(0, bad)]].ID
			r.job.avoid[worker] = true
			p.Note(worker, 1, evidence, p.now)
			p.end(r)
		case r.worked >= r.job.needed:
			p.end(r)
			for i, task := range r.tasks {
				w := r.workers[i]
				r.job.done[task] = true
				p.Note(p.workers[w].ID, 1, evidence, p.now)
				if _, known := p.servedAt[w]; p.at >= faultsUntil && r.started >= faultsUntil && !known {
					p.servedAt[w] = p.at - faultsUntil
				}
			}
			if !slices.Contains(r.job.done, false) {
				r.job.endedAt = p.at
			}
		case (p.at-r.started)%time.Second == 0:
			r.progress.Report(int64(100*r.worked/r.job.needed), p.now)
		}
	}
}

func (r *fleetRun) task() string {
	if r.job.step.Gang {
		return r.job.id
	}
	return fmt.Sprint(r.job.id, "/", r.tasks[0])
}

// findHung stops runs without progress; a stop takes no time here.
func (p *fleetPlay) findHung() {
	var work []workerhealth.Work
	for _, r := range p.runs {
		w := workerhealth.Work{Kind: fmt.Sprint(r.job.step.Gang), Service: "s", Eligible: !r.progress.FirstAt.IsZero(), CompleteAt: p.now.Add(r.started - p.at), Progress: r.progress,
			Expected: time.Duration(r.job.step.EstimateMs) * time.Millisecond, Moves: r.job.moves}
		for _, worker := range r.workers {
			w.Workers = append(w.Workers, p.workers[worker].ID)
		}
		work = append(work, w)
	}
	runs := slices.Clone(p.runs)
	for _, h := range workerhealth.FindHung(work, fleetWorkers/20) {
		r := runs[h.Work]
		if r.job.step.Gang {
			r.job.moves++
		}
		for _, id := range h.Suspects {
			r.job.avoid[id] = true
			p.Note(id, 1, workerhealth.Evidence{Kind: workerhealth.Hung, Task: r.task(), Run: r.run, Share: h.Share}, p.now)
		}
		p.end(r)
	}
}

func (p *fleetPlay) plan() {
	s := placement.Snapshot{Now: p.now, Workers: slices.Clone(p.workers)}
	for w := range s.Workers {
		s.Workers[w].Schedulable, s.Workers[w].Free = !p.away(w), batch.Need{Accelerators: 8}
	}
	for _, r := range p.runs {
		for _, w := range r.workers {
			out := &s.Workers[w]
			out.Free.Accelerators--
			out.Occupied = true
			out.Releases = append(slices.Clip(out.Releases), placement.Release{At: p.now.Add(time.Second), Need: r.job.step.Need})
		}
	}
	var jobs []*fleetJob
	for _, j := range p.jobs {
		d := placement.Demand{Key: placement.StepKey{Job: j.id}, Step: &j.step, Service: "s", Priority: 1, Objective: p.now.Add(j.since + 20*time.Second - p.at), StartableSince: p.now.Add(j.since - p.at), Avoid: j.avoid}
		for i := range j.done {
			if !j.done[i] && !j.running[i] {
				d.Tasks = append(d.Tasks, i)
			}
		}
		if len(d.Tasks) > 0 && (!j.step.Gang || len(d.Tasks) == j.step.Tasks) {
			s.Demands, jobs = append(s.Demands, d), append(jobs, j)
		}
	}
	if p.health {
		for id, state := range p.Apply(s.Workers, s.Demands, p.now) {
			w := slices.IndexFunc(s.Workers, func(w placement.Worker) bool { return w.ID == id })
			s.Workers[w].Suspect, s.Workers[w].OnTrial = state == workerhealth.Suspect, state == workerhealth.OnTrial
			if state == workerhealth.Quarantined {
				s.Workers[w].Schedulable = false
				p.quarantined[w] = p.quarantined[w] || p.faults[w] == sound
			}
		}
	}
	for _, placed := range placement.Plan(s).Placements {
		j := jobs[placed.Demand]
		j.run++
		for i, task := range placed.Tasks {
			j.running[task] = true
			if i == 0 || !j.step.Gang {
				p.runs = append(p.runs, &fleetRun{job: j, run: j.run, started: p.at, fails: p.random.IntN(30) == 0})
			}
			r := p.runs[len(p.runs)-1]
			r.tasks, r.workers = append(r.tasks, task), append(r.workers, placed.Workers[i])
		}
	}
}

// result returns the share of the jobs that were late: not complete after three times the run
// time and 1 s. It also returns the sound workers that were quarantined, and when nine of ten
// of the faulty ones had completed a task again.
func (p *fleetPlay) result() (late float64, quarantined int, served time.Duration) {
	n := 0
	for _, j := range p.jobs {
		if j.endedAt == 0 || j.endedAt-j.since > 3*time.Duration(j.step.EstimateMs)*time.Millisecond+time.Second {
			n++
		}
	}
	for _, was := range p.quarantined {
		if was {
			quarantined++
		}
	}
	var times []time.Duration
	for w, f := range p.faults {
		if f != sound {
			at, known := p.servedAt[w]
			if !known {
				at = fleetEnd - faultsUntil
			}
			times = append(times, at)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		served = times[len(times)*9/10]
	}
	return float64(n) / float64(len(p.jobs)), quarantined, served
}

// Guards against jobs that are late because of hung, failing and flapping workers, against
// sound workers that are quarantined, and against workers that have recovered and get no
// work; also after a take-over in the middle.
func TestFaultyWorkersAtOnce(t *testing.T) {
	for seed := range uint64(2) {
		unjudged := 0.0
		for _, c := range []struct {
			name                     string
			faulty, health, takeOver bool
		}{{"without faults", false, true, false}, {"not judged", true, false, false}, {"judged", true, true, false}, {"after a take-over", true, true, true}} {
			t.Run(fmt.Sprint(c.name, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				p := newFleetPlay(c.faulty, c.health, c.takeOver, seed)
				p.play()
				late, quarantined, served := p.result()
				t.Logf("late %.3f of %d jobs, sound workers quarantined %d, nine of ten serve again after %v", late, len(p.jobs), quarantined, served)
				switch {
				case !c.faulty:
					g.Expect(late).To(gomega.BeNumerically("<", 0.005))
				case !c.health:
					unjudged = late
				case c.takeOver:
					g.Expect(late).To(gomega.BeNumerically("<", 0.8*unjudged))
				default:
					g.Expect(late).To(gomega.BeNumerically("<", 0.6*unjudged))
				}
				g.Expect(quarantined).To(gomega.BeNumerically("<=", 5))
				g.Expect(served).To(gomega.BeNumerically("<=", 20*time.Second))
			})
		}
	}
}
