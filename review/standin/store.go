package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the settings file of the daemons gives them.
const (
	transactionTime   = 8 * time.Millisecond
	readTime          = 4 * time.Millisecond
	maxRowBytes       = 65536
	maxTransactionLen = 100
	maxBodyBytes      = 1 << 20
	maxRowsPerAnswer  = 500
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
	deleted bool
}

// wireRow is a row, a condition, a write or a removal on the wire.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r wireRow) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	Conditions []wireRow `json:"expected_rev"`
	Writes     []wireRow `json:"puts"`
	Removals   []wireRow `json:"remove"`
}

// lateBy returns for how long a transaction is held back before it is performed, without
// an answer; 0 performs and answers it at once.
type lateBy func(transaction) time.Duration

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]storedRow
	version int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	late    lateBy
	record  *record
	// rejectedRows counts the transactions with a row of more than maxRowBytes.
	rejectedRows int
	largestRow   int // size of the largest row so far, in bytes
}

func newStore(rec *record) *store {
	return &store{started: time.Now(), rows: map[rowKey]storedRow{}, version: 1, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, record: rec}
}

// put writes a row, as the operator or a minion does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = storedRow{value: value, version: s.version}
	s.notify()
}

// value returns the value of the row with a key in any part of a table.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, row := range s.rows {
		if k.table == table && k.key == key && !row.deleted {
			return row.value
		}
	}
	return nil
}

func (s *store) setLate(late lateBy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.serveTransaction(w, r)
	case "GET /rows-get":
		time.Sleep(readTime)
		s.serveGet(w, r)
	case "GET /rows-feed":
		time.Sleep(readTime)
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var tx transaction
	if len(body) > maxBodyBytes || json.Unmarshal(body, &tx) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{"error": "the call cannot be read or is larger than 1 MB"})
		return
	}
	part, status, problem := tx.check()
	if problem != "" {
		if status == http.StatusBadRequest {
			s.noteRejected(problem)
		}
		s.answer(w, status, map[string]any{"error": problem})
		return
	}
	if delay := s.delayOf(tx); delay > 0 {
		go func() {
			time.Sleep(delay)
			code, _ := s.perform(part, tx)
			s.record.printf("store: performed the held transaction, status %d", code)
		}()
		<-r.Context().Done()
		return
	}
	code, answer := s.perform(part, tx)
	s.answer(w, code, answer)
}

func (s *store) delayOf(tx transaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == nil {
		return 0
	}
	return s.late(tx)
}

// check returns the part of a transaction, or why the store does not take it.
func (tx transaction) check() (part string, status int, problem string) {
	entries := slices.Concat(tx.Conditions, tx.Writes, tx.Removals)
	if len(entries) == 0 || len(entries) > maxTransactionLen {
		return "", http.StatusBadRequest, "a call holds 1 to 100 entries"
	}
	for _, row := range entries {
		if row.Part != entries[0].Part {
			return "", http.StatusBadRequest, "all entries share a part"
		}
	}
	for _, row := range slices.Concat(tx.Writes, tx.Removals) {
		if row.Table == "op" || row.Table == "servers" {
			return "", http.StatusForbidden, "the table is not the system's"
		}
		if len(row.Value) > maxRowBytes {
			return "", http.StatusBadRequest, "the value of row " + row.Table + "/" + row.Key + " has " + strconv.Itoa(len(row.Value)) + " bytes, row_bytes is " + strconv.Itoa(maxRowBytes)
		}
	}
	return entries[0].Part, http.StatusOK, ""
}

func (s *store) noteRejected(problem string) {
	s.mu.Lock()
	s.rejectedRows++
	n := s.rejectedRows
	s.mu.Unlock()
	if n == 1 || n%100 == 0 {
		s.record.printf("store: rejected transaction number %d: %s", n, problem)
	}
}

// perform applies a transaction if its conditions hold. The transactions of a part follow
// one another.
func (s *store) perform(part string, tx transaction) (int, map[string]any) {
	turn := s.part(part)
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, hold := []wireRow{}, true
	for _, c := range tx.Conditions {
		row := s.rows[c.rowKey()]
		version := row.version
		if row.deleted {
			version = 0
		}
		if version != 0 {
			current = append(current, wireRow{Table: c.Table, Part: c.Part, Key: c.Key, Value: row.value, Version: version})
		}
		hold = hold && version == c.Version
	}
	if !hold {
		return http.StatusPreconditionFailed, s.stamped(map[string]any{"rows": current})
	}
	s.version++
	for _, w := range tx.Writes {
		if n := len(w.Value); n > s.largestRow {
			if n/4096 > s.largestRow/4096 {
				s.record.printf("store: row %s/%s has %d bytes", w.Table, w.Key, n)
			}
			s.largestRow = n
		}
		s.rows[w.rowKey()] = storedRow{value: w.Value, version: s.version}
	}
	for _, w := range tx.Removals {
		if row, found := s.rows[w.rowKey()]; found && !row.deleted {
			s.rows[w.rowKey()] = storedRow{version: s.version, deleted: true}
		}
	}
	s.notify()
	return http.StatusOK, s.stamped(map[string]any{})
}

// stamped adds the newest version and the clock to an answer. The caller holds the lock.
func (s *store) stamped(answer map[string]any) map[string]any {
	answer["ver"], answer["now_ms"] = s.version, time.Since(s.started).Milliseconds()
	return answer
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRowsPerAnswer
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	rows := []wireRow{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && !row.deleted && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Version: row.version})
		}
	}
	answer := s.stamped(map[string]any{})
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	page, size := 0, 0
	for page < len(rows) && page < limit && (page == 0 || size+len(rows[page].Value) <= maxBodyBytes) {
		size += len(rows[page].Value)
		page++
	}
	answer["rows"], answer["has_more"] = rows[:page], page < len(rows)
	s.answer(w, http.StatusOK, answer)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		rows, changed := s.changesAfter(q.Get("table"), after), s.changed
		answer := s.stamped(map[string]any{"rows": rows})
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) []wireRow {
	rows := []wireRow{}
	for k, row := range s.rows {
		if k.table == table && row.version > after {
			rows = append(rows, wireRow{Table: k.table, Part: k.part, Key: k.key, Value: row.value, Version: row.version, Deleted: row.deleted})
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return int(a.Version - b.Version) })
	return rows
}

func (s *store) answer(w http.ResponseWriter, status int, body any) { writeJSON(w, status, body) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
