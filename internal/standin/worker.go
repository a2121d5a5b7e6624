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
	// reportedEnded is the number of ended attempts in a report. Older ones are
	// still known to renewals and actions.
	reportedEnded = 256
	// usageLag is how far the usage in reports lags behind.
	usageLag = 2 * time.Second
)

// worker runs tasks: it starts whatever it is given, whether it fits or not.
type worker struct {
	service
	config  WorkerConfig
	objects refplatform.Objects
	now     func() time.Time

	mu           sync.Mutex
	instance     string
	live         map[string]*task
	ended        map[string]*task
	order        []*task          // ended attempts by the time at which they were seen to end
	resumed      map[string]int64 // progress with which an attempt began
	stoppedEarly map[string]bool  // attempts stopped before their start arrived
	past         []TaskHistory    // attempts of earlier instances
	usage        usage
	objectNo     int
	sets         map[string]taskSet // by holder
	changes      int64              // number of the newest change of a task seen by a renewal of a set
}

// usage is what tasks used at a time.
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

// reset forgets all tasks and takes a new instance.
func (w *worker) reset() {
	w.instance = uuid.NewString()
	w.live, w.ended, w.order = map[string]*task{}, map[string]*task{}, nil
	w.resumed, w.stoppedEarly = map[string]int64{}, map[string]bool{}
	w.sets = map[string]taskSet{}
}

// advance ends what is due and returns the time. It needs the lock.
func (w *worker) advance() int64 {
	now := w.now().UnixMilli()
	for id, t := range w.live {
		t.advance(now)
		if t.state == api.TaskStateEnded {
			delete(w.live, id)
			w.ended[id] = t
			w.order = append(w.order, t)
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

// reports returns the reports of the known tasks among ids. It needs the lock.
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
	w.measure()
	ids := slices.Sorted(maps.Keys(w.live))
	for _, t := range w.order[max(0, len(w.order)-reportedEnded):] {
		ids = append(ids, t.spec.TaskID)
	}
	return api.WorkerReport{
		WorkerID: w.config.ID, Instance: w.instance, Zone: w.config.Zone, Rack: w.config.Rack,
		Cores: w.config.Cores, MemoryMb: w.config.MemoryMB,
		Accelerators: w.config.Accelerators, AcceleratorModel: w.config.Model,
		Tasks: w.reports(ids), CoresUsed: w.usage.cores, MemoryUsedMb: w.usage.memoryMB,
	}
}

// measure renews the usage once it is older than the lag. It needs the lock.
func (w *worker) measure() {
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

// start starts a task unless it is known or too late.
func (w *worker) start(ctx context.Context, spec api.StartTask) api.StartReply {
	if known := w.known(spec.TaskID); known != nil {
		return *known
	}
	progress, err := w.resume(ctx, spec.CheckpointObject)
	if err != nil {
		return refuseStart(spec, err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if reply := w.knownLocked(spec.TaskID); reply != nil {
		return *reply
	}
	if now > spec.StartBeforeMs {
		return refuseStart(spec, fmt.Sprintf("start arrived %d ms after its deadline", now-spec.StartBeforeMs))
	}
	t := newTask(spec, w.config.ID, progress, now)
	if w.faults.get().FailStarts {
		t.end(now, api.TaskExitFailed, "worker fails all tasks")
	}
	w.live[spec.TaskID], w.resumed[spec.TaskID] = t, progress
	w.advance()
	report := t.report()
	return api.StartReply{Accepted: true, Task: &report}
}

func refuseStart(spec api.StartTask, reason string) api.StartReply {
	report := api.TaskReport{TaskID: spec.TaskID, State: api.TaskStateEnded, Exit: api.TaskExitRefused, Reason: reason}
	return api.StartReply{Reason: reason, Task: &report}
}

// known answers a start of an attempt that the worker has seen before.
func (w *worker) known(id string) *api.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.knownLocked(id)
}

func (w *worker) knownLocked(id string) *api.StartReply {
	if w.stoppedEarly[id] {
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

// resume reads the progress from a checkpoint. A missing object means a start
// from the beginning; a store that can't be read refuses the start.
func (w *worker) resume(ctx context.Context, object string) (int64, error) {
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

// renew moves the lease expiry of live tasks. An expiry never moves backwards.
func (w *worker) renew(leases []api.TaskLease) []api.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.reports(w.extend(leases))
}

// extend needs the lock. It returns the identifiers of the tasks.
func (w *worker) extend(leases []api.TaskLease) []string {
	ids := make([]string, 0, len(leases))
	for _, lease := range leases {
		ids = append(ids, lease.TaskID)
		if t := w.live[lease.TaskID]; t != nil {
			t.lease = max(t.lease, lease.LeaseExpiresMs)
		}
	}
	return ids
}

// act carries out an action on several tasks.
func (w *worker) act(ctx context.Context, action api.TaskAction) []api.TaskReport {
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
		w.actOn(action.Action, id, now)
	}
	w.advance()
	return w.reports(action.TaskIds)
}

// actOn needs the lock. A stop of an unknown attempt bars its later start.
func (w *worker) actOn(action api.TaskActionKind, id string, now int64) {
	t := w.live[id]
	if t == nil {
		if action == api.Stop && w.ended[id] == nil {
			w.stoppedEarly[id] = true
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
	all := slices.Clone(w.past)
	for _, t := range w.order {
		all = append(all, w.record(t, now))
	}
	for _, id := range slices.Sorted(maps.Keys(w.live)) {
		all = append(all, w.record(w.live[id], now))
	}
	return all
}

func (w *worker) record(t *task, now int64) TaskHistory {
	return TaskHistory{
		Worker: w.config.ID, Instance: w.instance, TaskID: t.spec.TaskID, JobID: t.spec.JobID,
		Attempt: t.spec.Attempt, Index: t.spec.Index, Accelerators: t.spec.Accelerators,
		Resources: t.spec.Resources, Held: t.spec.Held, StartBeforeMs: t.spec.StartBeforeMs,
		StartedMs: t.started, ReleasedMs: t.released, EndedMs: t.ended,
		State: t.state, Exit: t.exit, Reason: t.reason,
		ResumedMs: w.resumed[t.spec.TaskID], ProgressMs: t.progressAt(now),
	}
}

// restart ends all tasks as a crash does and returns the new instance.
func (w *worker) restart() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	for _, t := range w.live {
		t.end(now, api.TaskExitStopped, "worker was restarted")
	}
	w.past = w.historyLocked(w.advance())
	w.reset()
	return w.instance
}
