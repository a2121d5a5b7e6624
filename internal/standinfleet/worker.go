package standinfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// RunKey names one start of a task.
type RunKey struct {
	Task string
	Run  int64
}

// RunRecord is what became of one start.
type RunRecord struct {
	RunKey
	Worker    string
	Started   time.Time
	Ended     time.Time // zero while it runs
	EndReason string
	EndNumber int64 // of the end, 0 when the worker crashed
	// Acknowledged means that the end was acknowledged while the lease had not lapsed since.
	Acknowledged bool
}

type activeRun struct {
	until  time.Time // when the work is done
	ends   string
	record *RunRecord
}

// Worker is a worker in memory. The description of a task tells how long it
// takes and how it ends, as in {"ms":500,"ends":"failed"}.
type Worker struct {
	ID string
	// ClockRate is how fast the worker's clock runs; 0 is true time.
	ClockRate float64

	mu      sync.Mutex
	born    time.Time
	fence   int64
	lease   int64 // end on the worker's clock in ms
	running map[RunKey]activeRun
	highest map[string]int64 // highest run of a task that was stopped or has ended
	ended   [][]any
	ends    int64
	changed chan struct{}
	fault   func(*http.Request) Fault

	started map[RunKey]int // starts so far
	records []*RunRecord
	// Overlaps counts starts of a task while another run of it was active here.
	Overlaps int
}

// NewWorker returns a worker without work.
func NewWorker(id string) *Worker {
	w := &Worker{ID: id, started: map[RunKey]int{}}
	w.Restart()
	return w
}

// Restart ends everything and begins a new life.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, run := range w.running {
		w.advanceRun(key, run, time.Now())
		if run.record.Ended.IsZero() {
			run.record.Ended, run.record.EndReason = time.Now(), "crashed"
		}
	}
	w.forgetEnds()
	w.born, w.fence, w.lease, w.ends, w.ended = time.Now(), 0, 0, 0, nil
	w.running, w.highest = map[RunKey]activeRun{}, map[string]int64{}
	w.changed = make(chan struct{})
}

// SetFault chooses the fault of each call; nil heals the worker.
func (w *Worker) SetFault(fault func(*http.Request) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// Entry returns what the worker writes into the store.
func (w *Worker) Entry(service, zone, rack, address, state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"backend": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 8}, "labels": []string{"a", rack},
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "seq": 1,
	})
	if err != nil {
		panic(err) // the map holds only numbers and texts
	}
	return entry
}

// StartCounts returns how often each run was started.
func (w *Worker) StartCounts() map[RunKey]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[RunKey]int, len(w.started))
	for key, n := range w.started {
		out[key] = n
	}
	return out
}

// Running returns what runs now.
func (w *Worker) Running() []RunKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var keys []RunKey
	for key := range w.running {
		keys = append(keys, key)
	}
	return keys
}

// Records returns what became of each start so far.
func (w *Worker) Records() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	out := make([]RunRecord, len(w.records))
	for i, r := range w.records {
		out[i] = *r
	}
	return out
}

func (w *Worker) rate() float64 {
	if w.ClockRate > 0 {
		return w.ClockRate
	}
	return 1
}

func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.born).Milliseconds())*w.rate()) + 1
}

// lapse is when the lease ends, in true time.
func (w *Worker) lapse() time.Time {
	return w.born.Add(time.Duration(float64(w.lease)/w.rate()) * time.Millisecond)
}

// advance ends what is done or has lost its lease.
func (w *Worker) advance() {
	now := time.Now()
	for key, run := range w.running {
		w.advanceRun(key, run, now)
	}
	if w.lease > 0 && now.After(w.lapse()) {
		w.forgetEnds()
	}
}

func (w *Worker) advanceRun(key RunKey, run activeRun, now time.Time) {
	lapse := w.lapse()
	switch {
	case !now.Before(run.until) && run.until.Before(lapse):
		w.end(key, run.ends, run.until)
	case now.After(lapse):
		w.end(key, "lapsed", lapse)
	}
}

// forgetEnds gives up the ends that nobody has acknowledged: their tasks may be
// started again elsewhere.
func (w *Worker) forgetEnds() {
	for _, r := range w.records {
		if r.EndNumber > 0 && !r.Acknowledged {
			r.EndNumber = 0
		}
	}
}

func (w *Worker) end(key RunKey, how string, at time.Time) {
	record := w.running[key].record
	record.Ended, record.EndReason, record.EndNumber = at, how, w.ends+1
	delete(w.running, key)
	w.highest[key.Task] = max(w.highest[key.Task], key.Run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, key.Task, key.Run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// longestLease is the longest lease in ms.
const longestLease = 6000

// ServeHTTP serves one order.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	fault := Healthy
	if w.fault != nil {
		fault = w.fault(r)
	}
	w.mu.Unlock()
	var order workerOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	switch fault {
	case Busy:
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case NoAnswer:
		<-r.Context().Done()
		return
	case ApplyLate:
		time.Sleep(lateBy)
	case Healthy, LoseAnswer:
	}
	if r.Header.Get("Samphirepath-Expected-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := w.carryOut(r, order)
	if fault == LoseAnswer || fault == ApplyLate {
		panic(http.ErrAbortHandler)
	}
	reply(out, status, answer)
}

func (w *Worker) carryOut(r *http.Request, order workerOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
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
		return w.hold(r, order)
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *Worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason}
}

func (w *Worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+longestLease))
}

func (w *Worker) start(order workerOrder) (int, map[string]any) {
	key := RunKey{order.Task, order.Run}
	if _, there := w.running[key]; there {
		return http.StatusOK, map[string]any{"clock_ms": w.clock()}
	}
	if order.DeadlineMs < w.clock() {
		return w.refuse("late")
	}
	w.extend(order.DeadlineMs)
	if order.Run <= w.highest[order.Task] {
		return w.refuse("old")
	}
	var spec struct {
		Ms   int64  `json:"ms"`
		Ends string `json:"ends"`
	}
	if err := json.Unmarshal([]byte(order.Spec), &spec); err != nil {
		return http.StatusBadRequest, map[string]any{"clock_ms": w.clock()}
	}
	if spec.Ends == "" {
		spec.Ends = "done"
	}
	for other := range w.running {
		if other.Task == order.Task {
			w.Overlaps++
		}
	}
	w.started[key]++
	record := &RunRecord{RunKey: key, Worker: w.ID, Started: time.Now()}
	w.records = append(w.records, record)
	w.running[key] = activeRun{until: record.Started.Add(time.Duration(spec.Ms) * time.Millisecond), ends: spec.Ends, record: record}
	return http.StatusOK, map[string]any{"clock_ms": w.clock()}
}

func (w *Worker) stop(order workerOrder) (int, map[string]any) {
	key := RunKey{order.Task, order.Run}
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	if _, there := w.running[key]; there {
		w.end(key, "stopped", time.Now())
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock()}
}

// hold waits for an end when it is asked to. It gives up the lock meanwhile.
func (w *Worker) hold(r *http.Request, order workerOrder) (int, map[string]any) {
	for _, r := range w.records {
		if r.EndNumber > 0 && r.EndNumber <= order.LastSeen {
			r.Acknowledged = true
		}
	}
	w.extend(order.DeadlineMs)
	kept := w.ended[:0:0]
	for _, end := range w.ended {
		if end[0].(int64) > order.LastSeen {
			kept = append(kept, end)
		}
	}
	w.ended = kept
	for deadline := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(deadline); w.advance() {
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
	running := [][]any{}
	for key := range w.running {
		running = append(running, []any{key.Task, key.Run, "", 50})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[j]) })
	ended := w.ended
	if ended == nil {
		ended = [][]any{}
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}
