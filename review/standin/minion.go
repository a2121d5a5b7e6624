package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease = 6 * time.Second
	stopTime = 50 * time.Millisecond
	// maxEndsPerAnswer is the number of ends in one answer: "500 at a time".
	maxEndsPerAnswer = 500
)

// taskRun is one run of a task on a minion, as the minion has seen it.
type taskRun struct {
	task    string
	run     int64
	minion  string
	started time.Time
	resumed time.Duration // work that was done before this run
	saves   bool          // saves its work when it is stopped
	due     time.Time     // when its work is done
	ended   time.Time     // zero while it runs
	how     string
	number  int64  // number of the end
	saved   string // what a stop has saved
	// noted means that last_seen has reached the end, and the lease has not expired between.
	noted bool
	// expired means that the lease expired before last_seen reached the end.
	expired bool
}

// minion is a stand-in for a minion that starts whatever it is told to start. The spec of
// a task is its run time in ms, followed by " saves" if it saves its work when it is
// stopped.
type minion struct {
	id, service, zone, rack string
	address                 string
	born                    time.Time
	record                  *record

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Time
	running  map[string]*taskRun
	highest  map[string]int64 // highest run of a task that was stopped or has ended
	ends     []*taskRun       // ends that are not forgotten yet
	ended    int64
	history  []*taskRun
	seq      int64
}

func newMinion(id, service, zone, rack string, rec *record) *minion {
	return &minion{id: id, service: service, zone: zone, rack: rack, born: time.Now(), record: rec, running: map[string]*taskRun{}, highest: map[string]int64{}}
}

// entry returns what the minion writes into the store about itself.
func (m *minion) entry() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	value, err := json.Marshal(map[string]any{
		"backend": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
		"capacity": map[string]int64{"cpu": 64000, "mem_mb": 131072, "gpu": 8}, "labels": []string{"a", m.rack},
		"clock_ms": m.clockMs(time.Now()), "born": m.born.UnixMilli(), "seq": m.seq,
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return value
}

func (m *minion) clockMs(now time.Time) int64 { return now.Sub(m.born).Milliseconds() + 1 }

// update ends the runs whose work is done, or all when the lease has expired.
func (m *minion) update(now time.Time) {
	for _, r := range slices.SortedFunc(maps.Values(m.running), func(a, b *taskRun) int { return a.due.Compare(b.due) }) {
		switch {
		case !now.Before(r.due) && r.due.Before(m.leaseEnd):
			m.end(r, "done", r.due)
		case now.After(m.leaseEnd):
			m.end(r, "lapsed", m.leaseEnd)
		}
	}
	if now.After(m.leaseEnd) {
		for _, e := range m.ends {
			e.expired = true
		}
	}
}

func (m *minion) end(r *taskRun, how string, at time.Time) {
	m.ended++
	r.ended, r.how, r.number = at, how, m.ended
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.ends = append(m.ends, r)
	m.record.printf("%s: %s %s run %d, end %d", m.id, how, r.task, r.run, r.number)
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Saved    string `json:"saved"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP carries out one order.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Samphirepath-Expected-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.update(now)
	if o.Fence < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		m.start(w, o, now)
	case "/run-stop":
		m.stop(w, o)
	case "/hold":
		m.hold(w, r, o, now)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMs(time.Now()), "reason": reason, "born": m.born.UnixMilli()})
}

func (m *minion) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(time.Now()), "born": m.born.UnixMilli()})
}

// extendLease sets the end of the lease to a time on the minion's clock, at most maxLease
// from now. It never shortens the lease.
func (m *minion) extendLease(deadline int64, now time.Time) {
	end := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := now.Add(maxLease); end.After(limit) {
		end = limit
	}
	if end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
}

func (m *minion) start(w http.ResponseWriter, o order, now time.Time) {
	if r := m.running[o.Task]; r != nil && r.run == o.Run {
		m.accept(w)
		return
	}
	if o.Deadline <= m.clockMs(now) {
		m.refuse(w, "late")
		return
	}
	m.extendLease(o.Deadline, now)
	if o.Run <= m.highest[o.Task] || m.running[o.Task] != nil && o.Run <= m.running[o.Task].run {
		m.refuse(w, "old")
		return
	}
	text, saves := strings.CutSuffix(o.Spec, " saves")
	work, err := strconv.Atoi(text)
	done := int64(0)
	if err == nil && o.Saved != "" {
		done, err = strconv.ParseInt(o.Saved, 16, 64)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r := &taskRun{task: o.Task, run: o.Run, minion: m.id, started: now, saves: saves, resumed: time.Duration(done) * time.Millisecond}
	r.due = now.Add(time.Duration(work)*time.Millisecond - r.resumed)
	m.running[o.Task] = r
	m.history = append(m.history, r)
	m.record.printf("%s: start %s run %d", m.id, o.Task, o.Run)
	m.accept(w)
}

func (m *minion) stop(w http.ResponseWriter, o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.run <= o.Run {
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !r.ended.IsZero() {
				return
			}
			now := time.Now()
			if r.saves {
				r.saved = fmt.Sprintf("%016x", (r.resumed + now.Sub(r.started)).Milliseconds())
			}
			m.end(r, "stopped", now)
		})
	}
	m.accept(w)
}

// hold renews the lease and lists the runs and the ends. It waits for an end if the order
// says so and there is none.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order, now time.Time) {
	if o.Deadline > 0 {
		m.extendLease(o.Deadline, now)
	}
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		e.noted = !e.expired
	}
	m.ends = kept
	for deadline := now.Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); len(m.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil; {
		m.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		m.update(time.Now())
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range m.running {
		running = append(running, []any{t.task, t.run, "", 50, 100})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEndsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(time.Now()), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

// runs returns copies of all runs so far.
func (m *minion) runs() []taskRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(time.Now())
	out := make([]taskRun, len(m.history))
	for i, r := range m.history {
		out[i] = *r
	}
	return out
}

// active returns the number of running tasks.
func (m *minion) active() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(time.Now())
	return len(m.running)
}
