package placement

import (
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

const (
	// planEvery is the time between plans if nothing happens.
	planEvery = time.Minute
	// stopTime is what a preempted job takes to write a checkpoint and stop.
	stopTime = 3 * time.Second
	// checkpointEvery is the time between regular checkpoints.
	checkpointEvery = 10 * time.Minute
	// drainLimit ends a run in which jobs never finish.
	drainLimit = 7 * 24 * time.Hour
)

var epoch = time.UnixMilli(1_700_000_000_000)

// Planner computes a plan.
type Planner func(planner.Snapshot) planner.Plan

// task is a job in the run.
type task struct {
	arrival
	index  int           // in the snapshot
	placed time.Duration // start of the current attempt
	ends   time.Duration // end of the current attempt or of its stop
	kept   time.Duration // work that is not lost
}

// simulation moves the fake clock from event to event.
type simulation struct {
	plan     Planner
	now      time.Duration
	pending  []arrival
	tasks    map[string]*task
	snapshot planner.Snapshot
	result   *Result
}

// simulate runs all arrivals to their end.
func simulate(o Options, plan Planner) *Result {
	s := &simulation{
		plan: plan, pending: generate(o), tasks: make(map[string]*task), result: newResult(),
		snapshot: planner.Snapshot{Zone: zoneName, ZoneState: api.In, Catalogue: catalogue(), Workers: newWorkers(o)},
	}
	s.result.Arrivals = len(s.pending)
	limit := time.Duration(o.Days)*24*time.Hour + drainLimit
	sampled := time.Duration(o.Days) * 24 * time.Hour
	for (len(s.pending) > 0 || len(s.tasks) > 0) && s.now < limit {
		s.arrive()
		s.finish()
		s.step()
		next := s.next()
		if s.now < sampled {
			s.result.sample(&s.snapshot, next-s.now)
		}
		s.now = next
	}
	s.result.Unfinished = len(s.tasks) + len(s.pending)
	s.result.End = s.now
	return s.result
}

// arrive adds the jobs that have been submitted by now.
func (s *simulation) arrive() {
	for len(s.pending) > 0 && s.pending[0].at <= s.now {
		a := s.pending[0]
		s.pending = s.pending[1:]
		a.job.SubmittedMs = epoch.Add(a.at).UnixMilli()
		s.tasks[a.job.ID] = &task{arrival: a, index: len(s.snapshot.Jobs)}
		s.snapshot.Jobs = append(s.snapshot.Jobs, a.job)
	}
}

// finish ends what has run to its end, has stopped or is cancelled.
func (s *simulation) finish() {
	var gone []string
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		t := s.tasks[j.ID]
		switch {
		case t.cancel > 0 && t.cancel <= s.now:
			s.result.Cancelled++
			gone = append(gone, j.ID)
		case j.State == api.JobStateRunning && t.ends <= s.now:
			s.result.record(j, s.now-t.at)
			gone = append(gone, j.ID)
		case j.State == api.JobStateStopping && t.ends <= s.now:
			j.State, j.Placement, j.Covered = api.JobStateWaiting, nil, false
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, id := range gone {
		delete(s.tasks, id)
	}
	s.snapshot.Jobs = slices.DeleteFunc(s.snapshot.Jobs, func(j api.Job) bool { return s.tasks[j.ID] == nil })
	for i := range s.snapshot.Jobs {
		s.tasks[s.snapshot.Jobs[i].ID].index = i
	}
}

// step computes a plan and applies it.
func (s *simulation) step() {
	s.snapshot.Now = epoch.Add(s.now)
	s.snapshot.LastCheckpoint = s.checkpoints()
	started := time.Now()
	p := s.plan(s.snapshot)
	s.result.planned(time.Since(started))
	s.snapshot.Pending = p.Pending
	for _, id := range p.Demoted {
		s.job(id).Covered = false
	}
	for _, x := range p.Preemptions {
		s.preempt(x.JobID)
	}
	for _, x := range p.Placements {
		s.start(x)
	}
	for _, x := range p.Refusals {
		s.job(x.JobID).State = api.JobStateRefused
		s.result.Refused++
		delete(s.tasks, x.JobID)
	}
	s.snapshot.Jobs = slices.DeleteFunc(s.snapshot.Jobs, func(j api.Job) bool { return j.State == api.JobStateRefused })
}

func (s *simulation) job(id string) *api.Job { return &s.snapshot.Jobs[s.tasks[id].index] }

func (s *simulation) start(x planner.Placement) {
	j, t := s.job(x.JobID), s.tasks[x.JobID]
	j.State, j.Placement, j.Covered, j.PlacedMs = api.JobStateRunning, x.Tasks, x.Covered, epoch.Add(s.now).UnixMilli()
	j.Attempt++
	t.placed, t.ends = s.now, s.now+t.real-t.kept
	s.result.started(j, s.now-t.at)
}

// preempt stops a job; one that cannot write checkpoints loses its work.
func (s *simulation) preempt(id string) {
	j, t := s.job(id), s.tasks[id]
	j.State = api.JobStateStopping
	j.Preemptions++
	ran := s.now - t.placed
	s.result.Preemptions++
	if j.Spec.Checkpoint {
		t.kept += ran
		j.ProgressMs = t.kept.Milliseconds()
	} else {
		s.result.Lost += (ran) * time.Duration(size(j))
	}
	t.ends = s.now + stopTime
}

func size(j *api.Job) int { return j.Spec.Tasks * j.Spec.Resources.Accelerators }

func (s *simulation) checkpoints() map[string]time.Time {
	out := make(map[string]time.Time)
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		if t := s.tasks[j.ID]; j.State == api.JobStateRunning && j.Spec.Checkpoint {
			out[j.ID] = epoch.Add(s.now - (s.now-t.placed)%checkpointEvery)
		}
	}
	return out
}

// next is the time of the next event.
func (s *simulation) next() time.Duration {
	next := s.now + planEvery
	if len(s.pending) > 0 {
		next = min(next, s.pending[0].at)
	}
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		t := s.tasks[j.ID]
		if j.State == api.JobStateRunning || j.State == api.JobStateStopping {
			next = min(next, t.ends)
		}
		if t.cancel > s.now {
			next = min(next, t.cancel)
		}
	}
	return max(next, s.now+time.Millisecond)
}
