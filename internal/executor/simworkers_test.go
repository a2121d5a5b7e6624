package executor_test

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// simTask is a task on a simulated worker.
type simTask struct {
	api.TaskReport
	worker   string
	job      string
	starts   int
	started  time.Time // release
	released bool
	ended    time.Time
	runFor   time.Duration
}

// simWorkers simulates all workers of a zone. Addresses equal identifiers.
type simWorkers struct {
	mu          sync.Mutex
	tasks       map[string]map[string]*simTask
	unreachable map[string]bool
	failing     map[string]bool // tasks end in failure after their release
	runFor      time.Duration   // 0 runs for ever
	beforeStart func(worker string)
	// beforeRelease delays a release on its way to the worker.
	beforeRelease func(worker string)
	refused       int // starts refused for their deadline
}

func newWorkers() *simWorkers {
	return &simWorkers{tasks: map[string]map[string]*simTask{}, unreachable: map[string]bool{}, failing: map[string]bool{}}
}

// with runs f with the worker's tasks brought up to date.
func (s *simWorkers) with(worker string, f func(tasks map[string]*simTask)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[worker] == nil {
		s.tasks[worker] = map[string]*simTask{}
	}
	s.advance(time.Now())
	if s.unreachable[worker] {
		return errDown
	}
	f(s.tasks[worker])
	return nil
}

// advance ends the tasks whose lease or run time is over.
func (s *simWorkers) advance(now time.Time) {
	for _, tasks := range s.tasks {
		for _, t := range tasks {
			if t.State == api.TaskStateEnded {
				continue
			}
			lapse := time.UnixMilli(t.LeaseExpiresMs)
			if t.State == api.TaskStateRunning && t.runFor > 0 && now.Sub(t.started) >= t.runFor && t.started.Add(t.runFor).Before(lapse) {
				t.end(api.TaskExitSucceeded, t.started.Add(t.runFor))
			} else if now.After(lapse) {
				t.end(api.TaskExitLeaseLapsed, lapse)
			}
		}
	}
}

func (t *simTask) end(exit api.TaskExit, at time.Time) {
	t.State, t.Exit, t.ended = api.TaskStateEnded, exit, at
}

func (s *simWorkers) Report(_ context.Context, address string) (api.WorkerReport, error) {
	report := api.WorkerReport{WorkerID: address, Cores: 64, MemoryMb: 1 << 20, Accelerators: 8}
	err := s.with(address, func(tasks map[string]*simTask) {
		for _, t := range tasks {
			report.Tasks = append(report.Tasks, t.TaskReport)
		}
	})
	return report, err
}

func (s *simWorkers) Start(_ context.Context, address string, task api.StartTask) (api.StartReply, error) {
	s.mu.Lock()
	before := s.beforeStart
	s.mu.Unlock()
	if before != nil {
		before(address)
	}
	var reply api.StartReply
	err := s.with(address, func(tasks map[string]*simTask) {
		t := tasks[task.TaskID]
		if t == nil {
			if time.Now().After(time.UnixMilli(task.StartBeforeMs)) {
				s.refused++
				reply.Reason = "the start came too late"
				return
			}
			t = &simTask{worker: address, job: task.JobID, runFor: s.runFor, started: time.Now()}
			t.TaskReport = api.TaskReport{TaskID: task.TaskID, State: api.TaskStateHeld, Accelerators: task.Accelerators, LeaseExpiresMs: task.LeaseExpiresMs,
				CheckpointObject: task.CheckpointObject, ProgressMs: task.ProgressMs}
			tasks[task.TaskID] = t
		}
		t.starts++
		report := t.TaskReport
		reply = api.StartReply{Accepted: t.State != api.TaskStateEnded, Task: &report}
	})
	return reply, err
}

func (s *simWorkers) Renew(_ context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	var out []api.TaskReport
	err := s.with(address, func(tasks map[string]*simTask) {
		for _, l := range leases {
			if t := tasks[l.TaskID]; t != nil {
				if t.State != api.TaskStateEnded {
					t.LeaseExpiresMs = max(t.LeaseExpiresMs, l.LeaseExpiresMs)
				}
				out = append(out, t.TaskReport)
			}
		}
	})
	return out, err
}

func (s *simWorkers) Act(_ context.Context, address string, action api.TaskAction) ([]api.TaskReport, error) {
	s.mu.Lock()
	before := s.beforeRelease
	s.mu.Unlock()
	if before != nil && action.Action == api.Release {
		before(address)
	}
	late := action.BeforeMs > 0 && time.Now().After(time.UnixMilli(action.BeforeMs))
	var out []api.TaskReport
	err := s.with(address, func(tasks map[string]*simTask) {
		for _, id := range action.TaskIds {
			t := tasks[id]
			if t == nil {
				continue
			}
			if t.State != api.TaskStateEnded && !late {
				s.act(t, action.Action)
			}
			out = append(out, t.TaskReport)
		}
	})
	return out, err
}

func (s *simWorkers) act(t *simTask, action api.TaskActionKind) {
	switch action {
	case api.Release:
		if t.State == api.TaskStateHeld {
			t.State, t.started, t.released = api.TaskStateRunning, time.Now(), true
		}
		if s.failing[t.worker] {
			t.end(api.TaskExitFailed, time.Now())
			t.Reason = "exit status 1"
		}
	case api.Checkpoint:
		t.CheckpointObject, t.ProgressMs = "checkpoint-"+t.TaskID, t.ProgressMs+1+time.Since(t.started).Milliseconds()
	case api.Stop:
		t.end(api.TaskExitStopped, time.Now())
	}
}

// all returns copies of all tasks of a job, every attempt, ordered by identifier.
func (s *simWorkers) all(job string) []simTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	var out []simTask
	for _, tasks := range s.tasks {
		for _, t := range tasks {
			if t.job == job {
				out = append(out, *t)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].TaskID < out[j].TaskID })
	return out
}

func (s *simWorkers) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
