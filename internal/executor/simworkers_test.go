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
	worker    string
	job       string
	starts    int
	startedAt time.Time // time of the start; after the release, time of the release
	released  bool
	endedAt   time.Time
	runTime   time.Duration
}

// simWorkers simulates all workers of a zone. The address of a worker is its
// identifier.
type simWorkers struct {
	mu          sync.Mutex
	tasks       map[string]map[string]*simTask
	unreachable map[string]bool
	failing     map[string]bool // tasks end in failure after their release
	runTime     time.Duration   // run time of new tasks; 0 means unlimited
	beforeStart func(worker string)
	// beforeRelease is called before a release reaches the worker, and may delay it.
	beforeRelease func(worker string)
	refusedStarts int // starts refused because they arrived after StartBeforeMs
}

func newWorkers() *simWorkers {
	return &simWorkers{tasks: map[string]map[string]*simTask{}, unreachable: map[string]bool{}, failing: map[string]bool{}}
}

// withTasks ends the tasks that are due and runs f with the tasks of the worker. It
// returns an error if the worker is unreachable.
func (s *simWorkers) withTasks(worker string, f func(tasks map[string]*simTask)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks[worker] == nil {
		s.tasks[worker] = map[string]*simTask{}
	}
	s.endDueTasks(time.Now())
	if s.unreachable[worker] {
		return errNoAnswer
	}
	f(s.tasks[worker])
	return nil
}

// endDueTasks ends the tasks whose lease has expired or whose run time has passed.
func (s *simWorkers) endDueTasks(now time.Time) {
	for _, tasks := range s.tasks {
		for _, t := range tasks {
			if t.State == api.TaskStateEnded {
				continue
			}
			expiry := time.UnixMilli(t.LeaseExpiresMs)
			if t.State == api.TaskStateRunning && t.runTime > 0 && now.Sub(t.startedAt) >= t.runTime && t.startedAt.Add(t.runTime).Before(expiry) {
				t.end(api.TaskExitSucceeded, t.startedAt.Add(t.runTime))
			} else if now.After(expiry) {
				t.end(api.TaskExitLeaseLapsed, expiry)
			}
		}
	}
}

func (t *simTask) end(exit api.TaskExit, at time.Time) {
	t.State, t.Exit, t.endedAt = api.TaskStateEnded, exit, at
}

func (s *simWorkers) Report(_ context.Context, address string) (api.WorkerReport, error) {
	report := api.WorkerReport{WorkerID: address, Cores: 64, MemoryMb: 1 << 20, Accelerators: 8}
	err := s.withTasks(address, func(tasks map[string]*simTask) {
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
	err := s.withTasks(address, func(tasks map[string]*simTask) {
		t := tasks[task.TaskID]
		if t == nil {
			if time.Now().After(time.UnixMilli(task.StartBeforeMs)) {
				s.refusedStarts++
				reply.Reason = "the start came too late"
				return
			}
			t = &simTask{worker: address, job: task.JobID, runTime: s.runTime, startedAt: time.Now()}
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
	err := s.withTasks(address, func(tasks map[string]*simTask) {
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
	err := s.withTasks(address, func(tasks map[string]*simTask) {
		for _, id := range action.TaskIds {
			t := tasks[id]
			if t == nil {
				continue
			}
			if t.State != api.TaskStateEnded && !late {
				s.apply(t, action.Action)
			}
			out = append(out, t.TaskReport)
		}
	})
	return out, err
}

// apply applies an action to a task that has not ended.
func (s *simWorkers) apply(t *simTask, action api.TaskActionKind) {
	switch action {
	case api.Release:
		if t.State == api.TaskStateHeld {
			t.State, t.startedAt, t.released = api.TaskStateRunning, time.Now(), true
		}
		if s.failing[t.worker] {
			t.end(api.TaskExitFailed, time.Now())
			t.Reason = "exit status 1"
		}
	case api.Checkpoint:
		t.CheckpointObject, t.ProgressMs = "checkpoint-"+t.TaskID, t.ProgressMs+1+time.Since(t.startedAt).Milliseconds()
	case api.Stop:
		t.end(api.TaskExitStopped, time.Now())
	}
}

// tasksOf returns copies of the tasks of all attempts of a job, ordered by identifier.
func (s *simWorkers) tasksOf(job string) []simTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endDueTasks(time.Now())
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

// update runs f under the lock, to change the faults of the workers.
func (s *simWorkers) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
