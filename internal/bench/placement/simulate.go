package placement

import (
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

const (
	// maxPlanInterval is the time until the next plan if no event comes first.
	maxPlanInterval = time.Minute
	// gracefulStopTime is the time that a preempted job needs to write a checkpoint and
	// stop.
	gracefulStopTime = 3 * time.Second
	// checkpointInterval is the time between periodic checkpoints of a running job.
	checkpointInterval = 10 * time.Minute
	// maxDrainTime bounds the simulated time after the last day of arrivals, so that a
	// simulation ends even if some jobs never finish.
	maxDrainTime = 7 * 24 * time.Hour
)

// epoch is the time of the fake clock at the start of a simulation.
var epoch = time.UnixMilli(1_700_000_000_000)

// Planner computes a plan from a snapshot.
type Planner func(planner.Snapshot) planner.Plan

// simulatedJob is the state of a submitted job that has not ended.
type simulatedJob struct {
	arrival
	index     int           // in snapshot.Jobs
	placedAt  time.Duration // start of the current attempt
	endsAt    time.Duration // end of the current attempt, or of its graceful stop
	savedWork time.Duration // run time preserved by checkpoints of earlier attempts
}

// simulation advances a fake clock from event to event.
type simulation struct {
	plan     Planner
	now      time.Duration
	pending  []arrival
	jobs     map[string]*simulatedJob
	snapshot planner.Snapshot
	result   *Result
}

// simulate runs until all jobs have ended or maxDrainTime is reached. Utilisation and
// fragmentation are recorded only during the days of arrivals.
func simulate(o Options, plan Planner) *Result {
	s := &simulation{
		plan: plan, pending: generateArrivals(o), jobs: make(map[string]*simulatedJob), result: newResult(),
		snapshot: planner.Snapshot{Zone: zoneName, ZoneState: api.In, Catalogue: catalogue(), Workers: newWorkers(o)},
	}
	s.result.Arrivals = len(s.pending)
	limit := time.Duration(o.Days)*24*time.Hour + maxDrainTime
	samplingEnd := time.Duration(o.Days) * 24 * time.Hour
	for (len(s.pending) > 0 || len(s.jobs) > 0) && s.now < limit {
		s.submitArrivals()
		s.endAttempts()
		s.planAndApply()
		next := s.nextEvent()
		if s.now < samplingEnd {
			s.result.recordUtilisation(&s.snapshot, next-s.now)
		}
		s.now = next
	}
	s.result.Unfinished = len(s.jobs) + len(s.pending)
	s.result.End = s.now
	return s.result
}

// submitArrivals adds to the snapshot the jobs whose submission time has come.
func (s *simulation) submitArrivals() {
	for len(s.pending) > 0 && s.pending[0].submittedAt <= s.now {
		a := s.pending[0]
		s.pending = s.pending[1:]
		a.job.SubmittedMs = epoch.Add(a.submittedAt).UnixMilli()
		s.jobs[a.job.ID] = &simulatedJob{arrival: a, index: len(s.snapshot.Jobs)}
		s.snapshot.Jobs = append(s.snapshot.Jobs, a.job)
	}
}

// endAttempts removes cancelled and completed jobs, and returns preempted jobs to the
// state waiting when their graceful stop has ended.
func (s *simulation) endAttempts() {
	var ended []string
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		simulated := s.jobs[j.ID]
		switch {
		case simulated.cancelAt > 0 && simulated.cancelAt <= s.now:
			s.result.Cancelled++
			ended = append(ended, j.ID)
		case j.State == api.JobStateRunning && simulated.endsAt <= s.now:
			s.result.recordCompletion(j, s.now-simulated.submittedAt)
			ended = append(ended, j.ID)
		case j.State == api.JobStateStopping && simulated.endsAt <= s.now:
			j.State, j.Placement, j.Covered = api.JobStateWaiting, nil, false
		}
	}
	if len(ended) == 0 {
		return
	}
	for _, id := range ended {
		delete(s.jobs, id)
	}
	s.snapshot.Jobs = slices.DeleteFunc(s.snapshot.Jobs, func(j api.Job) bool { return s.jobs[j.ID] == nil })
	for i := range s.snapshot.Jobs {
		s.jobs[s.snapshot.Jobs[i].ID].index = i
	}
}

// planAndApply computes a plan, records the time that it took and applies it.
func (s *simulation) planAndApply() {
	s.snapshot.Now = epoch.Add(s.now)
	s.snapshot.LastCheckpoint = s.lastCheckpoints()
	start := time.Now()
	p := s.plan(s.snapshot)
	s.result.recordPlanTime(time.Since(start))
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
		delete(s.jobs, x.JobID)
	}
	s.snapshot.Jobs = slices.DeleteFunc(s.snapshot.Jobs, func(j api.Job) bool { return j.State == api.JobStateRefused })
}

func (s *simulation) job(id string) *api.Job { return &s.snapshot.Jobs[s.jobs[id].index] }

func (s *simulation) start(x planner.Placement) {
	j, simulated := s.job(x.JobID), s.jobs[x.JobID]
	j.State, j.Placement, j.Covered, j.PlacedMs = api.JobStateRunning, x.Tasks, x.Covered, epoch.Add(s.now).UnixMilli()
	j.Attempt++
	simulated.placedAt, simulated.endsAt = s.now, s.now+simulated.runTime-simulated.savedWork
	s.result.recordStart(j, s.now-simulated.submittedAt)
}

// preempt starts the graceful stop of a job. A job without checkpoints loses the work
// of this attempt.
func (s *simulation) preempt(id string) {
	j, simulated := s.job(id), s.jobs[id]
	j.State = api.JobStateStopping
	j.Preemptions++
	elapsed := s.now - simulated.placedAt
	s.result.Preemptions++
	if j.Spec.Checkpoint {
		simulated.savedWork += elapsed
		j.ProgressMs = simulated.savedWork.Milliseconds()
	} else {
		s.result.LostWork += (elapsed) * time.Duration(totalAccelerators(j))
	}
	simulated.endsAt = s.now + gracefulStopTime
}

// totalAccelerators returns the number of accelerators of all tasks of the job.
func totalAccelerators(j *api.Job) int { return j.Spec.Tasks * j.Spec.Resources.Accelerators }

// lastCheckpoints returns the time of the newest periodic checkpoint, or of the start,
// of each running job that writes checkpoints.
func (s *simulation) lastCheckpoints() map[string]time.Time {
	out := make(map[string]time.Time)
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		if simulated := s.jobs[j.ID]; j.State == api.JobStateRunning && j.Spec.Checkpoint {
			out[j.ID] = epoch.Add(s.now - (s.now-simulated.placedAt)%checkpointInterval)
		}
	}
	return out
}

// nextEvent returns the time of the next arrival, end or cancellation, at most
// maxPlanInterval and at least 1 ms from now.
func (s *simulation) nextEvent() time.Duration {
	next := s.now + maxPlanInterval
	if len(s.pending) > 0 {
		next = min(next, s.pending[0].submittedAt)
	}
	for i := range s.snapshot.Jobs {
		j := &s.snapshot.Jobs[i]
		simulated := s.jobs[j.ID]
		if j.State == api.JobStateRunning || j.State == api.JobStateStopping {
			next = min(next, simulated.endsAt)
		}
		if simulated.cancelAt > s.now {
			next = min(next, simulated.cancelAt)
		}
	}
	return max(next, s.now+time.Millisecond)
}
