package standinfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RunKey identifies a run of a task.
type RunKey struct {
	Task string
	Run  int64
}

// RunRecord records the start and end of a run.
type RunRecord struct {
	RunKey
	Worker    string
	Started   time.Time
	Ended     time.Time // zero while it runs
	EndReason string
	// EndNumber numbers the ends of an incarnation of the worker from 1. It is 0 while the
	// run is active, if it crashed, and if the lease expired or the worker restarted
	// before the end was acknowledged.
	EndNumber int64
	// Acknowledged means that the end was acknowledged before the lease expired.
	Acknowledged bool
}

type activeRun struct {
	doneAt     time.Time // when the task completes
	endReason  string
	checkpoint string // reported with an end that is not done
	need       Capacity
	gang       bool
	record     *RunRecord
}

// Capacity is the capacity of a worker, or what a task takes of it.
type Capacity struct {
	MilliCPU     int64 `json:"cpu"`
	MemoryMB     int64 `json:"mem_mb"`
	Accelerators int64 `json:"gpu"`
}

// taskSpec is the behaviour of a task, in its spec: how long it runs and how it ends, as
// in {"ms":500,"ends":"failed"}, or that it crashes its worker, as in {"crash_ms":20}.
type taskSpec struct {
	DurationMs int64  `json:"ms"`
	EndReason  string `json:"ends"`
	// Checkpoint is reported with the end of a run that is not done.
	Checkpoint string `json:"saves"`
	// CrashMs is the time after the start at which the task crashes the worker; 0 crashes
	// it before it answers the start.
	CrashMs *int64 `json:"crash_ms"`
	// CrashIndex limits the crash to the task with this index in its step.
	CrashIndex *int `json:"crash_index"`
	// Gang is the number of members of the gang that the task belongs to; 0 if it belongs to
	// none.
	Gang int `json:"gang"`
	// Need is counted against the capacity of the worker.
	Need Capacity `json:"need"`
}

func (s taskSpec) crashes(task string) bool {
	return s.CrashMs != nil && (s.CrashIndex == nil || strings.HasSuffix(task, "."+strconv.Itoa(*s.CrashIndex)))
}

// Worker simulates a worker. The spec of a task sets its behaviour.
type Worker struct {
	ID string
	// ClockRate is the speed of the worker's clock relative to real time; 0 means 1.
	ClockRate float64
	// AfterCrash is called in a goroutine of its own when a task has crashed the worker,
	// which is then down until Restart or RestartAs.
	AfterCrash func()
	// ShrinkGrace is how long after a change of the capacity starts may still fill the
	// earlier one.
	ShrinkGrace time.Duration
	// Gangs are the gangs of the fleet. Without them each member runs by itself.
	Gangs *Gangs

	mu          sync.Mutex
	down        bool
	capacity    Capacity
	earlier     Capacity // capacity before the last change
	resizedAt   time.Time
	startedAt   time.Time
	fence       int64
	leaseEndMs  int64 // lease end on the worker's clock in ms
	running     map[RunKey]activeRun
	highestRuns map[string]int64 // highest run, by task, that was stopped or has ended
	unackedEnds [][]any
	endCount    int64
	changed     chan struct{}
	fault       func(*http.Request) Fault
	hungAt      time.Time // since when the runs make no progress; zero if they do

	startCounts map[RunKey]int // starts of each run
	records     []*RunRecord
	// Overlaps counts starts of a task while another run of it was active on the worker.
	Overlaps int
	// overcommitments counts starts that needed more capacity than the worker had left.
	overcommitments int
}

// NewWorker returns an idle worker.
func NewWorker(id string) *Worker {
	w := &Worker{ID: id, startCounts: map[RunKey]int{}, capacity: Capacity{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}}
	w.Restart()
	return w
}

// SetHung stops or continues the progress of all runs. Runs that are not members of a gang do
// not complete meanwhile.
func (w *Worker) SetHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hungAt = time.Time{}
	if hung {
		w.hungAt = time.Now()
	}
}

// percent returns the progress of a run. That of a gang is 0 until all its members run.
func (w *Worker) percent(key RunKey, run activeRun) int64 {
	now := time.Now()
	if !w.hungAt.IsZero() {
		now = w.hungAt
	}
	if run.gang {
		return w.Gangs.percent(key, now)
	}
	return percentOf(run.record.Started, run.doneAt, now)
}

func percentOf(startedAt, doneAt, now time.Time) int64 {
	whole := max(time.Millisecond, doneAt.Sub(startedAt))
	return max(0, min(100, int64(100*now.Sub(startedAt)/whole)))
}

// Restart simulates a crash: all runs end and a new incarnation starts.
func (w *Worker) Restart() { w.RestartAs(w.ID) }

// RestartAs is Restart with another identifier for the new incarnation.
func (w *Worker) RestartAs(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endAllRuns()
	if w.ID != id { // callers read it without the lock
		w.ID = id
	}
	w.down = false
	w.startedAt, w.fence, w.leaseEndMs, w.endCount, w.unackedEnds = time.Now(), 0, 0, 0, nil
	w.running, w.highestRuns = map[RunKey]activeRun{}, map[string]int64{}
	w.changed = make(chan struct{})
}

// endAllRuns ends all runs by a crash. Ends that were not acknowledged are lost.
func (w *Worker) endAllRuns() {
	for key, run := range w.running {
		if run.gang {
			w.Gangs.leave(key, "crashed", time.Now())
		}
		w.endRunIfDue(key, run, time.Now())
		if run.record.Ended.IsZero() {
			run.record.Ended, run.record.EndReason = time.Now(), "crashed"
		}
	}
	w.dropUnackedEnds()
}

// crash ends all runs and takes the worker down, unless it has crashed since the run
// started.
func (w *Worker) crash(record *RunRecord) {
	if !record.Ended.IsZero() {
		return
	}
	w.endAllRuns()
	w.down, w.running = true, map[RunKey]activeRun{}
	close(w.changed)
	w.changed = make(chan struct{})
	if w.AfterCrash != nil {
		go w.AfterCrash()
	}
}

// SetCapacity changes the capacity of the worker while it runs.
func (w *Worker) SetCapacity(capacity Capacity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.earlier, w.capacity, w.resizedAt = w.capacity, capacity, time.Now()
}

// SetFault sets a function that returns the fault for each call; nil injects none.
func (w *Worker) SetFault(fault func(*http.Request) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Entry returns the discovery entry that the worker writes into the store.
func (w *Worker) Entry(service, zone, rack, address, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"backend": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": w.capacity, "labels": []string{"a", rack},
		"clock_ms": w.clockMs(), "born": w.startedAt.UnixMilli(), "seq": 1,
	})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return entry
}

// Overcommitments returns the number of starts that needed more capacity than the worker
// had left.
func (w *Worker) Overcommitments() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommitments
}

// StartCounts returns the number of starts of each run.
func (w *Worker) StartCounts() map[RunKey]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[RunKey]int, len(w.startCounts))
	for key, n := range w.startCounts {
		counts[key] = n
	}
	return counts
}

// Running returns the active runs.
func (w *Worker) Running() []RunKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	var keys []RunKey
	for key := range w.running {
		keys = append(keys, key)
	}
	return keys
}

// Records returns the records of all runs so far.
func (w *Worker) Records() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	records := make([]RunRecord, len(w.records))
	for i, r := range w.records {
		records[i] = *r
	}
	return records
}

func (w *Worker) clockRate() float64 {
	if w.ClockRate > 0 {
		return w.ClockRate
	}
	return 1
}

func (w *Worker) clockMs() int64 {
	return int64(float64(time.Since(w.startedAt).Milliseconds())*w.clockRate()) + 1
}

// leaseEnd returns the end of the lease in real time.
func (w *Worker) leaseEnd() time.Time {
	return w.startedAt.Add(time.Duration(float64(w.leaseEndMs)/w.clockRate()) * time.Millisecond)
}

// endDueRuns ends the runs that have completed or whose lease has expired.
func (w *Worker) endDueRuns() {
	now := time.Now()
	for key, run := range w.running {
		w.endRunIfDue(key, run, now)
	}
	if w.leaseEndMs > 0 && now.After(w.leaseEnd()) {
		w.dropUnackedEnds()
	}
}

func (w *Worker) endRunIfDue(key RunKey, run activeRun, now time.Time) {
	leaseEnd := w.leaseEnd()
	if run.gang {
		if reason, at := w.Gangs.outcome(key, now); reason != "" {
			w.endRun(key, reason, at)
		}
		return
	}
	switch {
	case !now.Before(run.doneAt) && run.doneAt.Before(leaseEnd) && w.hungAt.IsZero():
		w.endRun(key, run.endReason, run.doneAt)
	case now.After(leaseEnd):
		w.endRun(key, "lapsed", leaseEnd)
	}
}

// dropUnackedEnds makes later acknowledgements of the current ends ineffective, because
// their tasks may be started again on other workers.
func (w *Worker) dropUnackedEnds() {
	for _, r := range w.records {
		if r.EndNumber > 0 && !r.Acknowledged {
			r.EndNumber = 0
		}
	}
}

func (w *Worker) endRun(key RunKey, reason string, at time.Time) {
	run := w.running[key]
	record, checkpoint := run.record, ""
	if reason != "done" {
		checkpoint = run.checkpoint
	}
	record.Ended, record.EndReason, record.EndNumber = at, reason, w.endCount+1
	delete(w.running, key)
	w.highestRuns[key.Task] = max(w.highestRuns[key.Task], key.Run)
	w.endCount++
	w.unackedEnds = append(w.unackedEnds, []any{w.endCount, key.Task, key.Run, reason, checkpoint})
	close(w.changed)
	w.changed = make(chan struct{})
}

// workerOrder is the body of any order; fields that an order lacks are 0.
type workerOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	AckedEnds  int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// maxLeaseMs limits how far ahead of the worker's clock an order can set the lease end.
const maxLeaseMs = 6000

// maxEndsPerAnswer limits the ends in one answer, as the platform does.
const maxEndsPerAnswer = 500

// ServeHTTP handles one order.
func (w *Worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	fault, down, id := NoFault, w.down, w.ID
	if w.fault != nil {
		fault = w.fault(r)
	}
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	var order workerOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	switch fault {
	case Busy:
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	case NoAnswer:
		<-r.Context().Done()
		return
	case ApplyLate:
		time.Sleep(applyDelay)
	case NoFault, LoseAnswer:
	}
	if r.Header.Get("Samphirepath-Expected-Instance") != id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := w.execute(r, order)
	if fault == LoseAnswer || fault == ApplyLate || status == noAnswer {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(response, status, answer)
}

// noAnswer is the status of a call during which the worker has crashed.
const noAnswer = 0

func (w *Worker) execute(r *http.Request, order workerOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if order.Fence < w.fence {
		return w.refuse("fence")
	}
	w.fence = order.Fence
	switch r.URL.Path {
	case "/run-start":
		return w.start(order)
	case "/run-stop":
		return w.stop(order)
	case "/hold":
		return w.renewLease(r, order)
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *Worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason}
}

func (w *Worker) extendLease(deadline int64) {
	w.leaseEndMs = max(w.leaseEndMs, min(deadline, w.clockMs()+maxLeaseMs))
	for key, run := range w.running {
		if run.gang {
			w.Gangs.extend(key, w.leaseEnd())
		}
	}
}

func (w *Worker) start(order workerOrder) (int, map[string]any) {
	key := RunKey{order.Task, order.Run}
	if _, running := w.running[key]; running {
		return http.StatusOK, map[string]any{"clock_ms": w.clockMs()}
	}
	if order.DeadlineMs < w.clockMs() {
		return w.refuse("late")
	}
	w.extendLease(order.DeadlineMs)
	if order.Run <= w.highestRuns[order.Task] {
		return w.refuse("old")
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(order.Spec), &spec); err != nil {
		return http.StatusBadRequest, map[string]any{"clock_ms": w.clockMs()}
	}
	if spec.EndReason == "" {
		spec.EndReason = "done"
	}
	for other := range w.running {
		if other.Task == order.Task {
			w.Overlaps++
		}
	}
	w.startCounts[key]++
	record := &RunRecord{RunKey: key, Worker: w.ID, Started: time.Now()}
	w.records = append(w.records, record)
	w.running[key] = activeRun{doneAt: record.Started.Add(time.Duration(spec.DurationMs) * time.Millisecond), endReason: spec.EndReason, checkpoint: spec.Checkpoint, need: spec.Need, gang: spec.Gang > 0 && w.Gangs != nil, record: record}
	if w.running[key].gang {
		w.Gangs.join(key, spec, w.leaseEnd(), record.Started)
	}
	if w.overcommitted() {
		w.overcommitments++
	}
	if spec.crashes(order.Task) {
		if *spec.CrashMs == 0 {
			w.crash(record)
			return noAnswer, nil
		}
		time.AfterFunc(time.Duration(*spec.CrashMs)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.crash(record)
		})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clockMs()}
}

// overcommitted reports whether the active runs need more than the capacity.
func (w *Worker) overcommitted() bool {
	var used Capacity
	for _, run := range w.running {
		used.MilliCPU += run.need.MilliCPU
		used.MemoryMB += run.need.MemoryMB
		used.Accelerators += run.need.Accelerators
	}
	return !used.within(w.capacity) && (time.Since(w.resizedAt) > w.ShrinkGrace || !used.within(w.earlier))
}

func (c Capacity) within(limit Capacity) bool {
	return c.MilliCPU <= limit.MilliCPU && c.MemoryMB <= limit.MemoryMB && c.Accelerators <= limit.Accelerators
}

func (w *Worker) stop(order workerOrder) (int, map[string]any) {
	key := RunKey{order.Task, order.Run}
	w.highestRuns[order.Task] = max(w.highestRuns[order.Task], order.Run)
	if run, running := w.running[key]; running {
		if run.gang {
			w.Gangs.leave(key, "stopped", time.Now())
			w.endRunIfDue(key, run, time.Now())
		} else {
			w.endRun(key, "stopped", time.Now())
		}
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clockMs()}
}

// renewLease extends the lease and reports all runs. If the order has a wait time, it
// waits for a run to end and releases the lock meanwhile.
func (w *Worker) renewLease(r *http.Request, order workerOrder) (int, map[string]any) {
	for _, r := range w.records {
		if r.EndNumber > 0 && r.EndNumber <= order.AckedEnds {
			r.Acknowledged = true
		}
	}
	w.extendLease(order.DeadlineMs)
	unacked := w.unackedEnds[:0:0]
	for _, end := range w.unackedEnds {
		if end[0].(int64) > order.AckedEnds {
			unacked = append(unacked, end)
		}
	}
	w.unackedEnds = unacked
	for deadline := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond); len(w.unackedEnds) == 0 && !w.down && time.Now().Before(deadline); w.endDueRuns() {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(5*time.Millisecond, time.Until(deadline))):
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	if w.down {
		return noAnswer, nil
	}
	running := [][]any{}
	for key, run := range w.running {
		running = append(running, []any{key.Task, key.Run, "", w.percent(key, run)})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[j]) })
	ended := append([][]any{}, w.unackedEnds[:min(len(w.unackedEnds), maxEndsPerAnswer)]...)
	return http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.startedAt.UnixMilli(), "running": running, "ended": ended}
}
