package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

const (
	// maxReportedEnded bounds the ended attempts in a report. Renewals and actions still
	// report older ones.
	maxReportedEnded = 256
	// usageLag is the age from which a reported usage is measured again.
	usageLag = 2 * time.Second
)

// worker simulates a worker. It does not check the capacity: it starts every task that
// it receives, even if the task does not fit.
type worker struct {
	service
	config  WorkerConfig
	objects refplatform.Objects // nil means that the worker has no object store
	now     func() time.Time

	mu                 sync.Mutex
	instance           string
	live               map[string]*task // attempts that have not ended, by task identifier
	ended              map[string]*task // by task identifier
	endedOrder         []*task          // ended attempts in the order in which the worker detected their end
	initialProgress    map[string]int64 // progress with which an attempt started
	stoppedBeforeStart map[string]bool  // attempts stopped before their start arrived
	pastTasks          []TaskHistory    // attempts of earlier instances
	usage              usage
	checkpointCount    int
	sets               map[string]taskSet // by holder
	lastChange         int64              // number of the newest task change that a renewal of a set detected
}

// usage is the resource usage of all tasks at a time.
type usage struct {
	at       time.Time
	cores    float64
	memoryMB int64
}

func newWorker(s service, c WorkerConfig, objects refplatform.Objects) *worker {
	w := &worker{service: s, config: c, objects: objects, now: time.Now}
	w.reset()
	return w
}

// reset discards all tasks and sets a new instance.
func (w *worker) reset() {
	w.instance = uuid.NewString()
	w.live, w.ended, w.endedOrder = map[string]*task{}, map[string]*task{}, nil
	w.initialProgress, w.stoppedBeforeStart = map[string]int64{}, map[string]bool{}
	w.sets = map[string]taskSet{}
}

// advance ends the tasks whose end is due and returns the current time. The caller must
// hold the lock.
func (w *worker) advance() int64 {
	now := w.now().UnixMilli()
	for id, t := range w.live {
		t.advance(now)
		if t.state == api.TaskStateEnded {
			delete(w.live, id)
			w.ended[id] = t
			w.endedOrder = append(w.endedOrder, t)
		}
	}
	return now
}

func (w *worker) find(id string) *task {
	if t := w.live[id]; t != nil {
		return t
	}
	return w.ended[id]
}

// reports returns the reports of the known tasks among ids. The caller must hold the
// lock.
func (w *worker) reports(ids []string) []api.TaskReport {
	reports := make([]api.TaskReport, 0, len(ids))
	for _, id := range ids {
		if t := w.find(id); t != nil {
			reports = append(reports, t.report())
		}
	}
	return reports
}

func (w *worker) report() api.WorkerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.refreshUsage()
	ids := slices.Sorted(maps.Keys(w.live))
	for _, t := range w.endedOrder[max(0, len(w.endedOrder)-maxReportedEnded):] {
		ids = append(ids, t.spec.TaskID)
	}
	return api.WorkerReport{
		WorkerID: w.config.ID, Instance: w.instance, Zone: w.config.Zone, Rack: w.config.Rack,
		Cores: w.config.Cores, MemoryMb: w.config.MemoryMB,
		Accelerators: w.config.Accelerators, AcceleratorModel: w.config.Model,
		Tasks: w.reports(ids), CoresUsed: w.usage.cores, MemoryUsedMb: w.usage.memoryMB,
	}
}

// refreshUsage measures the usage again if it is older than usageLag. The caller must
// hold the lock.
func (w *worker) refreshUsage() {
	if w.now().Sub(w.usage.at) < usageLag {
		return
	}
	w.usage = usage{at: w.now()}
	for _, t := range w.live {
		w.usage.memoryMB += t.spec.Resources.MemoryMb
		if t.state == api.TaskStateRunning {
			w.usage.cores += float64(t.spec.Resources.Cores)
		}
	}
}

// start starts a task unless the worker knows the attempt, the start deadline has passed
// or the checkpoint cannot be read.
func (w *worker) start(ctx context.Context, spec api.StartTask) api.StartReply {
	if reply := w.knownReply(spec.TaskID); reply != nil {
		return *reply
	}
	progress, err := w.readCheckpoint(ctx, spec.CheckpointObject)
	if err != nil {
		return refuseStart(spec, err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if reply := w.knownReplyLocked(spec.TaskID); reply != nil {
		return *reply
	}
	if now > spec.StartBeforeMs {
		return refuseStart(spec, fmt.Sprintf("start arrived %d ms after its deadline", now-spec.StartBeforeMs))
	}
	t := newTask(spec, w.config.ID, progress, now)
	if w.faults.get().FailStarts {
		t.end(now, api.TaskExitFailed, "worker fails all tasks")
	}
	w.live[spec.TaskID], w.initialProgress[spec.TaskID] = t, progress
	w.advance()
	report := t.report()
	return api.StartReply{Accepted: true, Task: &report}
}

func refuseStart(spec api.StartTask, reason string) api.StartReply {
	report := api.TaskReport{TaskID: spec.TaskID, State: api.TaskStateEnded, Exit: api.TaskExitRefused, Reason: reason}
	return api.StartReply{Reason: reason, Task: &report}
}

// knownReply returns the answer to the start of an attempt that the worker already
// knows, or nil for a new attempt.
func (w *worker) knownReply(id string) *api.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.knownReplyLocked(id)
}

func (w *worker) knownReplyLocked(id string) *api.StartReply {
	if w.stoppedBeforeStart[id] {
		reply := refuseStart(api.StartTask{TaskID: id}, "attempt was stopped before its start arrived")
		return &reply
	}
	t := w.find(id)
	if t == nil {
		return nil
	}
	report := t.report()
	if t.state == api.TaskStateEnded {
		return &api.StartReply{Reason: "attempt has ended on this worker", Task: &report}
	}
	return &api.StartReply{Accepted: true, Task: &report}
}

// checkpoint is the content of a checkpoint object.
type checkpoint struct {
	key        string
	TaskID     string `json:"task_id"`
	ProgressMs int64  `json:"progress_ms"`
}

// readCheckpoint returns the progress stored in a checkpoint. If the object is missing,
// the task starts from the beginning. If the store cannot be read, the start is refused.
func (w *worker) readCheckpoint(ctx context.Context, object string) (int64, error) {
	if object == "" {
		return 0, nil
	}
	if w.objects == nil {
		return 0, eris.New("worker has no object store")
	}
	data, ok, err := w.objects.Get(ctx, object)
	if err != nil {
		return 0, eris.Wrapf(err, "read checkpoint %s", object)
	}
	if !ok {
		return 0, nil
	}
	var c checkpoint
	if err := json.Unmarshal(data, &c); err != nil {
		return 0, eris.Wrapf(err, "decode checkpoint %s", object)
	}
	return max(c.ProgressMs, 0), nil
}

// renew extends the leases of live tasks. It never shortens a lease.
func (w *worker) renew(leases []api.TaskLease) []api.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.reports(w.extendLeases(leases))
}

// extendLeases extends the leases of live tasks and returns the identifiers of all listed
// tasks. The caller must hold the lock.
func (w *worker) extendLeases(leases []api.TaskLease) []string {
	ids := make([]string, 0, len(leases))
	for _, lease := range leases {
		ids = append(ids, lease.TaskID)
		if t := w.live[lease.TaskID]; t != nil {
			t.leaseExpires = max(t.leaseExpires, lease.LeaseExpiresMs)
		}
	}
	return ids
}

// applyAction carries out an action on several tasks.
func (w *worker) applyAction(ctx context.Context, action api.TaskAction) []api.TaskReport {
	if action.Action == api.Checkpoint {
		w.checkpoint(ctx, action.TaskIds)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if action.BeforeMs > 0 && now > action.BeforeMs {
		return w.reports(action.TaskIds)
	}
	for _, id := range action.TaskIds {
		w.applyToTask(action.Action, id, now)
	}
	w.advance()
	return w.reports(action.TaskIds)
}

// applyToTask carries out an action on one task. Stopping an unknown attempt makes the
// worker refuse its later start. The caller must hold the lock.
func (w *worker) applyToTask(action api.TaskActionKind, id string, now int64) {
	t := w.live[id]
	if t == nil {
		if action == api.Stop && w.ended[id] == nil {
			w.stoppedBeforeStart[id] = true
		}
		return
	}
	switch action {
	case api.Release:
		t.release(now)
	case api.Throttle:
		t.throttle(now)
	case api.Stop:
		t.stop(now)
	}
}

// history returns all attempts, those of earlier instances first.
func (w *worker) history() []TaskHistory {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.historyLocked(w.advance())
}

func (w *worker) historyLocked(now int64) []TaskHistory {
	all := slices.Clone(w.pastTasks)
	for _, t := range w.endedOrder {
		all = append(all, w.historyOf(t, now))
	}
	for _, id := range slices.Sorted(maps.Keys(w.live)) {
		all = append(all, w.historyOf(w.live[id], now))
	}
	return all
}

func (w *worker) historyOf(t *task, now int64) TaskHistory {
	return TaskHistory{
		Worker: w.config.ID, Instance: w.instance, TaskID: t.spec.TaskID, JobID: t.spec.JobID,
		Attempt: t.spec.Attempt, Index: t.spec.Index, Accelerators: t.spec.Accelerators,
		Resources: t.spec.Resources, Held: t.spec.Held, StartBeforeMs: t.spec.StartBeforeMs,
		StartedMs: t.started, ReleasedMs: t.released, EndedMs: t.ended,
		State: t.state, Exit: t.exit, Reason: t.reason,
		ResumedMs: w.initialProgress[t.spec.TaskID], ProgressMs: t.progressAt(now),
	}
}

// restart ends all tasks, as a crash does, and returns the new instance.
func (w *worker) restart() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	for _, t := range w.live {
		t.end(now, api.TaskExitStopped, "worker was restarted")
	}
	w.pastTasks = w.historyLocked(w.advance())
	w.reset()
	return w.instance
}
