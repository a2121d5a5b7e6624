// Package standinfleet simulates the platform of package platform in tests: its metadata
// store and its workers, with the HTTP interfaces that the platform documents. Tests can
// inject delays, lost requests and lost answers, and can compact the history of the
// store.
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

// rowKey identifies a row.
type rowKey struct{ table, partition, key string }

type storedRow struct {
	value   []byte
	version int64
	deleted bool
}

// wireRow is the JSON encoding of a row.
type wireRow struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Fault selects the fault that is injected into a call to the store or a worker.
type Fault int

const (
	// NoFault serves the call normally.
	NoFault Fault = iota
	// Busy answers 503 and does not apply the call.
	Busy
	// NoAnswer neither applies nor answers the call.
	NoAnswer
	// LoseAnswer applies the call and closes the connection without an answer.
	LoseAnswer
	// ApplyLate applies the call after a delay, by which its caller should have timed
	// out, and sends no answer.
	ApplyLate
)

// applyDelay is the delay of ApplyLate.
const applyDelay = 300 * time.Millisecond

// Limits of the platform's store: rows in an answer, entries and bytes of a transaction,
// and bytes of a value.
const (
	maxRowsPerAnswer = 500
	maxEntries       = 100
	maxCallBytes     = 1_000_000
	maxRowBytes      = 64 << 10
)

// Store simulates the metadata store in memory.
type Store struct {
	mu            sync.Mutex
	rows          map[rowKey]storedRow
	version       int64
	oldestVersion int64 // feeds that start at an older version get 410 Gone
	changed       chan struct{}
	fault         func(*http.Request) Fault
	Requests      int // number of calls so far
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), version: 1}
}

// SetFault sets a function that returns the fault for each call; nil injects none.
func (s *Store) SetFault(fault func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Compact discards the history, as the store of the platform does after a while.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestVersion = s.version
}

// Put writes a row, as the operator or a worker would.
func (s *Store) Put(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, partition, key}] = storedRow{value: value, version: s.version}
	s.notifyWatchers()
}

// Remove deletes a row.
func (s *Store) Remove(table, partition, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, partition, key}] = storedRow{version: s.version, deleted: true}
	s.notifyWatchers()
}

// Value returns the value of a row and whether the row exists.
func (s *Store) Value(table, partition, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table, partition, key}]
	return row.value, ok && !row.deleted
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the value of a row as a caller reads it.
type View func(table string, value []byte) []byte

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.ServeView(w, r, func(_ string, value []byte) []byte { return value })
}

// ServeView serves one call of a caller that reads the rows through a view.
func (s *Store) ServeView(w http.ResponseWriter, r *http.Request, view View) {
	s.mu.Lock()
	s.Requests++
	fault := NoFault
	if s.fault != nil {
		fault = s.fault(r)
	}
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case NoAnswer:
		// The server detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case ApplyLate:
		time.Sleep(applyDelay)
	case NoFault, LoseAnswer:
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.serveTransaction(w, r, fault != NoFault, view)
	case "GET /rows-get":
		s.serveGet(w, r, view)
	case "GET /rows-feed":
		s.serveFeed(w, r, view)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, loseAnswer bool, view View) {
	var tx struct {
		Conditions []wireRow `json:"expected_rev"`
		Writes     []wireRow `json:"puts"`
		Deletions  []wireRow `json:"remove"`
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil || len(body) > maxCallBytes || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.applyTransaction(tx.Conditions, tx.Writes, tx.Deletions, view)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, status, answer)
}

func (s *Store) applyTransaction(conditions, writes, deletions []wireRow, view View) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := map[string]bool{}
	for _, list := range [][]wireRow{conditions, writes, deletions} {
		for _, row := range list {
			partitions[row.Partition] = true
		}
	}
	if len(partitions) > 1 || len(conditions)+len(writes)+len(deletions) > maxEntries {
		return http.StatusBadRequest, map[string]any{"error": "too many parts or entries"}
	}
	for _, w := range writes {
		if len(w.Value) > maxRowBytes {
			return http.StatusBadRequest, map[string]any{"error": "the value of " + w.Table + "/" + w.Key + " is too large"}
		}
	}
	current := []wireRow{}
	conditionsHold := true
	for _, c := range conditions {
		row := s.rows[rowKey{c.Table, c.Partition, c.Key}]
		version := row.version
		if row.deleted {
			version = 0
		}
		if version != 0 {
			current = append(current, wireRow{Table: c.Table, Partition: c.Partition, Key: c.Key, Value: view(c.Table, row.value), Version: version})
		}
		conditionsHold = conditionsHold && version == c.Version
	}
	if !conditionsHold {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version}
	}
	s.version++
	for _, w := range writes {
		s.rows[rowKey{w.Table, w.Partition, w.Key}] = storedRow{value: w.Value, version: s.version}
	}
	for _, d := range deletions {
		if row, ok := s.rows[rowKey{d.Table, d.Partition, d.Key}]; !ok || row.deleted {
			continue
		}
		s.rows[rowKey{d.Table, d.Partition, d.Key}] = storedRow{version: s.version, deleted: true}
	}
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"ver": s.version}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, view View) {
	q := r.URL.Query()
	limit := maxRowsPerAnswer
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []wireRow
	for key, row := range s.rows {
		if key.table == q.Get("table") && key.partition == q.Get("part") && key.key >= q.Get("from") && !row.deleted &&
			(q.Get("target") == "" || key.key < q.Get("target")) {
			rows = append(rows, wireRow{Table: key.table, Partition: key.partition, Key: key.key, Value: view(key.table, row.value), Version: row.version})
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	writeAnswer(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has_more": more, "ver": version})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request, view View) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		historyLost, version, changed := after < s.oldestVersion, s.version, s.changed
		rows := s.changedRows(q.Get("table"), after, view)
		s.mu.Unlock()
		if historyLost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || timedOut {
			writeAnswer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changedRows(table string, after int64, view View) []wireRow {
	rows := []wireRow{}
	for key, row := range s.rows {
		if key.table == table && row.version > after {
			rows = append(rows, wireRow{Table: key.table, Partition: key.partition, Key: key.key, Value: view(key.table, row.value), Version: row.version, Deleted: row.deleted})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
