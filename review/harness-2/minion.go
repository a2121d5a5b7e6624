package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHoldMs     = 6000
	maxEndsListed = 500
	minionTick    = 10 * time.Millisecond
)

// amounts are the capacity of a minion or the need of a task.
type amounts struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// taskSpec is the behaviour of the tasks of a job, in its spec.
type taskSpec struct {
	DurationMs int64 `json:"ms"`
	// FailsAfterMs is the time after which every run fails; 0 if none does.
	FailsAfterMs int64 `json:"fails_after_ms,omitempty"`
}

// outcome returns how long a run takes and how it ends.
func (s taskSpec) outcome() (time.Duration, string) {
	if s.FailsAfterMs > 0 {
		return time.Duration(s.FailsAfterMs) * time.Millisecond, "failed"
	}
	return time.Duration(s.DurationMs) * time.Millisecond, "done"
}

type runKey struct {
	Task string
	Run  int64
}

// start is a task that a minion has begun on an order.
type start struct {
	runKey
	Minion  string
	Born    int64
	Labels  []string
	At      time.Time
	EndedAt time.Time // zero while it runs
	How     string
	dueAt   time.Time // when it ends by itself, and how
	due     string
}

// minion is a stand-in for a minion: one life after the other at one address.
type minion struct {
	id      string
	zone    string
	rack    string
	service string
	address string
	record  *record

	mu       sync.Mutex
	kind     string
	capacity amounts
	server   *http.Server
	born     time.Time
	fence    int64
	leaseEnd int64 // on the clock of the minion, in ms
	running  map[runKey]*start
	highest  map[string]int64 // highest run of a task that was stopped or has ended
	ended    [][]any
	ends     int64
	changed  chan struct{}
	starts   []*start
	life     chan struct{} // closed at the end of this life
	dark     bool          // connections to it hang
	called   bool          // this life has answered a call for its runs
}

// boot starts a life of a kind.
func (m *minion) boot(kind string) error {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	m.mu.Lock()
	if m.server != nil {
		_ = m.server.Close()
	}
	m.dark = false
	m.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.address, m.kind, m.born = listener.Addr().String(), kind, time.Now()
	m.fence, m.leaseEnd, m.ends, m.ended = 0, 0, 0, nil
	m.running, m.highest = map[runKey]*start{}, map[string]int64{}
	m.changed, m.life, m.called = make(chan struct{}), make(chan struct{}), false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.order(m.serveStart))
	mux.HandleFunc("POST /run-stop", m.order(m.serveStop))
	mux.HandleFunc("POST /hold", m.order(m.serveHold))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(m.server)
	go m.tick(m.life)
	m.record.add("minion %s begins a life at %s, labels %v, born %d", m.id, m.address, m.labels(), m.born.UnixMilli())
	return nil
}

// crash ends the life: all that runs ends, and nothing of it is known afterwards. If the
// machine has no power, connections to it hang until the next life, otherwise they are
// refused.
func (m *minion) crash(dark bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.add("minion %s crashes with %d running, without power %t", m.id, len(m.running), dark)
	if m.dark = dark; !dark {
		_ = m.server.Close()
	}
	for key, s := range m.running {
		s.EndedAt, s.How = time.Now(), "crashed"
		delete(m.running, key)
	}
	close(m.life)
}

func (m *minion) tick(life chan struct{}) {
	ticker := time.NewTicker(minionTick)
	defer ticker.Stop()
	for {
		select {
		case <-life:
			return
		case <-ticker.C:
			m.mu.Lock()
			m.endDue()
			m.mu.Unlock()
		}
	}
}

func (m *minion) labels() []string { return []string{m.kind, m.rack} }

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// endDue ends the runs that are done or whose lease has expired.
func (m *minion) endDue() {
	now := time.Now()
	for key, s := range m.running {
		switch {
		case m.clock() > m.leaseEnd:
			m.end(key, "lapsed")
		case !now.Before(s.dueAt):
			m.end(key, s.due)
		}
	}
}

func (m *minion) end(key runKey, how string) {
	s := m.running[key]
	s.EndedAt, s.How = time.Now(), how
	delete(m.running, key)
	m.highest[key.Task] = max(m.highest[key.Task], key.Run)
	m.ends++
	m.ended = append(m.ended, []any{m.ends, key.Task, key.Run, how, ""})
	m.record.add("minion %s: run %d of %s has ended %s", m.id, key.Run, key.Task, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// minionOrder is the body of any order.
type minionOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

type answer map[string]any

// order wraps a call with what all orders have in common. The handler runs under the lock.
func (m *minion) order(handle func(*http.Request, minionOrder) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o minionOrder
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Samphirepath-Expected-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		if m.dark {
			m.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusConflict, answer{"reason": "fence"}
		if o.Fence >= m.fence {
			m.fence = o.Fence
			status, body = handle(r, o)
		}
		if m.dark {
			m.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		body["clock_ms"] = m.clock()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (m *minion) extend(deadline int64) {
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+maxHoldMs))
}

func (m *minion) serveStart(_ *http.Request, o minionOrder) (int, answer) {
	m.endDue()
	key := runKey{o.Task, o.Run}
	if m.running[key] != nil {
		return http.StatusOK, answer{}
	}
	if o.DeadlineMs < m.clock() {
		return http.StatusConflict, answer{"reason": "late"}
	}
	m.extend(o.DeadlineMs)
	if o.Run <= m.highest[o.Task] {
		return http.StatusConflict, answer{"reason": "old"}
	}
	var spec taskSpec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return http.StatusBadRequest, answer{}
	}
	s := &start{runKey: key, Minion: m.id, Born: m.born.UnixMilli(), Labels: m.labels(), At: time.Now()}
	takes, how := spec.outcome()
	s.dueAt, s.due = s.At.Add(takes), how
	m.starts = append(m.starts, s)
	m.running[key] = s
	m.record.add("minion %s (labels %v, born %d) starts run %d of %s", m.id, m.labels(), s.Born, o.Run, o.Task)
	return http.StatusOK, answer{}
}

func (m *minion) serveStop(_ *http.Request, o minionOrder) (int, answer) {
	m.endDue()
	key := runKey{o.Task, o.Run}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if m.running[key] != nil {
		m.end(key, "stopped")
	}
	return http.StatusOK, answer{}
}

func (m *minion) serveHold(r *http.Request, o minionOrder) (int, answer) {
	m.endDue()
	m.extend(o.DeadlineMs)
	kept := m.ended[:0:0]
	for _, e := range m.ended {
		if e[0].(int64) > o.LastSeen {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		changed, life := m.changed, m.life
		m.mu.Unlock()
		select {
		case <-changed:
		case <-life:
		case <-r.Context().Done():
		case <-time.After(time.Until(deadline)):
		}
		m.mu.Lock()
		if life != m.life || m.dark {
			return http.StatusServiceUnavailable, answer{}
		}
	}
	if !m.called {
		m.called = true
		m.record.add("minion %s (born %d) answers the first call for its runs, fence %d", m.id, m.born.UnixMilli(), o.Fence)
	}
	running := [][]any{}
	for key := range m.running {
		running = append(running, []any{key.Task, key.Run, "", 50, 0})
	}
	return http.StatusOK, answer{"born": m.born.UnixMilli(), "running": running, "ended": append([][]any{}, m.ended[:min(len(m.ended), maxEndsListed)]...)}
}

// begun returns the starts of all lives.
func (m *minion) begun() []start {
	m.mu.Lock()
	defer m.mu.Unlock()
	starts := make([]start, 0, len(m.starts))
	for _, s := range m.starts {
		starts = append(starts, *s)
	}
	return starts
}

// entry returns what the minion writes into the store.
func (m *minion) entry(state string, sequence int64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"backend": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "cold_ms": 0,
		"capacity": m.capacity, "labels": m.labels(), "clock_ms": m.clock(), "born": m.born.UnixMilli(), "seq": sequence,
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return value
}

// down reports whether no life runs. The caller holds the lock.
func (m *minion) down() bool {
	select {
	case <-m.life:
		return true
	default:
		return false
	}
}
