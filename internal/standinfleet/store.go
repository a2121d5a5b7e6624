// Package standinfleet stands in for the users' platform in tests: its metadata
// store and its workers, spoken to over HTTP as the platform's pages describe.
// It can be made slow, deaf and forgetful.
package standinfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row.
type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
	deleted bool
}

// wireRow is a row as it is sent.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault changes how the store treats a call.
type Fault int

const (
	// Healthy serves the call.
	Healthy Fault = iota
	// Busy refuses the call and does nothing.
	Busy
	// NoAnswer never answers and does nothing.
	NoAnswer
	// LoseAnswer carries the call out and ends the connection.
	LoseAnswer
	// ApplyLate carries the call out after its caller has given up.
	ApplyLate
)

// lateBy is the delay of a Late call.
const lateBy = 300 * time.Millisecond

// pageRows is the number of rows in one answer.
const pageRows = 500

// Store is a metadata store in memory.
type Store struct {
	mu       sync.Mutex
	rows     map[rowKey]storedRow
	version  int64
	oldest   int64 // feeds after an older version are refused
	changed  chan struct{}
	fault    func(*http.Request) Fault
	Requests int // number of calls so far
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), version: 1}
}

// SetFault chooses the fault of each call; nil heals the store.
func (s *Store) SetFault(fault func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, part, key}] = storedRow{value: value, version: s.version}
	s.wake()
}

// Remove deletes a row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, part, key}] = storedRow{version: s.version, deleted: true}
	s.wake()
}

// Value returns a row.
func (s *Store) Value(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table, part, key}]
	return row.value, ok && !row.deleted
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.Requests++
	fault := Healthy
	if s.fault != nil {
		fault = s.fault(r)
	}
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case NoAnswer:
		// The end of the connection is noticed only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case ApplyLate:
		time.Sleep(lateBy)
	case Healthy, LoseAnswer:
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.transact(w, r, fault != Healthy)
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, lose bool) {
	var tx struct {
		ExpectedRev []wireRow `json:"expected_rev"`
		Puts        []wireRow `json:"puts"`
		Remove      []wireRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.apply(tx.ExpectedRev, tx.Puts, tx.Remove)
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (s *Store) apply(conditions, puts, removes []wireRow) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for _, list := range [][]wireRow{conditions, puts, removes} {
		for _, row := range list {
			parts[row.Part] = true
		}
	}
	if len(parts) > 1 || len(conditions)+len(puts)+len(removes) > 100 {
		return http.StatusBadRequest, map[string]any{"error": "too many parts or entries"}
	}
	current := []wireRow{}
	holds := true
	for _, c := range conditions {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		version := row.version
		if row.deleted {
			version = 0
		}
		if version != 0 {
			current = append(current, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: row.value, Ver: version})
		}
		holds = holds && version == c.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version}
	}
	s.version++
	for _, p := range puts {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = storedRow{value: p.Value, version: s.version}
	}
	for _, p := range removes {
		if row, ok := s.rows[rowKey{p.Table, p.Part, p.Key}]; !ok || row.deleted {
			continue
		}
		s.rows[rowKey{p.Table, p.Part, p.Key}] = storedRow{version: s.version, deleted: true}
	}
	s.wake()
	return http.StatusOK, map[string]any{"ver": s.version}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []wireRow
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && !row.deleted &&
			(q.Get("target") == "" || key.key < q.Get("target")) {
			rows = append(rows, wireRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Ver: row.version})
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	reply(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has_more": more, "ver": version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for last := false; ; {
		s.mu.Lock()
		lost, version, changed := after < s.oldest, s.version, s.changed
		rows := s.changes(q.Get("table"), after)
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changes(table string, after int64) []wireRow {
	rows := []wireRow{}
	for key, row := range s.rows {
		if key.table == table && row.version > after {
			rows = append(rows, wireRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Ver: row.version, Deleted: row.deleted})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	return rows
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; the stand-in has nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
