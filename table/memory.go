package table

import (
	"bytes"
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// minCompactChanges is the minimum length of the change log for a compaction.
const minCompactChanges = 1024

// change records that a commit wrote or deleted a key.
type change struct {
	version int64
	key     string
}

// Memory is a Store in the memory of a process. It never forgets the version of a
// deletion, so List is exact for any since.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]Row
	deleted map[string]int64 // key to the version of its deletion
	changes []change         // ordered by version; outdated entries are skipped
	version int64
	changed chan struct{} // closed by the next commit that writes
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[string]Row{}, deleted: map[string]int64{}, changed: make(chan struct{})}
}

// Get returns a row and whether it exists.
func (m *Memory) Get(ctx context.Context, key string) (Row, bool, error) {
	if err := ctx.Err(); err != nil {
		return Row{}, false, eris.Wrap(err, "get row")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	row.Value = bytes.Clone(row.Value)
	return row, ok, nil
}

// List returns the changes below the prefix after version since, in key order; 0
// returns all rows and no deletions.
func (m *Memory) List(ctx context.Context, prefix string, since int64) (Listing, error) {
	if err := ctx.Err(); err != nil {
		return Listing{}, eris.Wrap(err, "list rows")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := Listing{Version: m.version}
	if since <= 0 {
		m.addAll(&listing, prefix)
	} else {
		m.addChanged(&listing, prefix, since)
	}
	sort.Slice(listing.Rows, func(i, j int) bool { return listing.Rows[i].Key < listing.Rows[j].Key })
	sort.Strings(listing.Deleted)
	return listing, nil
}

// Watch returns the changes below the prefix after version since. If there are none, it
// waits up to wait for the first one and returns an empty listing if none comes.
func (m *Memory) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Listing, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		listing, err := m.List(ctx, prefix, since)
		if err != nil || len(listing.Rows)+len(listing.Deleted) > 0 {
			return listing, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return listing, nil
		case <-ctx.Done():
			return Listing{}, eris.Wrap(ctx.Err(), "watch rows")
		}
	}
}

func (m *Memory) addAll(listing *Listing, prefix string) {
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			row.Value = bytes.Clone(row.Value)
			listing.Rows = append(listing.Rows, row)
		}
	}
}

func (m *Memory) addChanged(listing *Listing, prefix string, since int64) {
	first := sort.Search(len(m.changes), func(i int) bool { return m.changes[i].version > since })
	for _, c := range m.changes[first:] {
		if !strings.HasPrefix(c.key, prefix) || !m.current(c) {
			continue
		}
		row, ok := m.rows[c.key]
		if !ok {
			listing.Deleted = append(listing.Deleted, c.key)
			continue
		}
		row.Value = bytes.Clone(row.Value)
		listing.Rows = append(listing.Rows, row)
	}
}

// current reports whether the change is the last one of its key.
func (m *Memory) current(c change) bool {
	if row, ok := m.rows[c.key]; ok {
		return row.Version == c.version
	}
	return m.deleted[c.key] == c.version
}

// Commit applies all writes if all conditions hold, otherwise none. Of several writes
// to one key only the last takes effect. A commit without writes only checks the
// conditions and returns the current version.
func (m *Memory) Commit(ctx context.Context, conditions []Condition, writes []Write) CommitResult {
	if err := ctx.Err(); err != nil {
		return CommitResult{Status: Unavailable, Err: eris.Wrap(err, "commit")}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed := m.failedConditions(conditions); len(failed) > 0 {
		return CommitResult{Status: Conflict, Conflicts: failed}
	}
	if len(writes) > 0 {
		m.version++
		m.apply(lastWrites(writes))
		m.compact()
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return CommitResult{Status: Committed, Version: m.version}
}

func (m *Memory) failedConditions(conditions []Condition) []string {
	var failed []string
	for _, c := range conditions {
		if m.rows[c.Key].Version != c.Version && !slices.Contains(failed, c.Key) {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// lastWrites returns the last write of each key.
func lastWrites(writes []Write) map[string]Write {
	last := make(map[string]Write, len(writes))
	for _, w := range writes {
		last[w.Key] = w
	}
	return last
}

func (m *Memory) apply(writes map[string]Write) {
	for key, w := range writes {
		if w.Delete {
			m.remove(key)
			continue
		}
		delete(m.deleted, key)
		m.rows[key] = Row{Key: key, Value: bytes.Clone(w.Value), Version: m.version}
		m.changes = append(m.changes, change{m.version, key})
	}
}

// remove deletes a row. The deletion of a missing row changes nothing.
func (m *Memory) remove(key string) {
	if _, ok := m.rows[key]; !ok {
		return
	}
	delete(m.rows, key)
	m.deleted[key] = m.version
	m.changes = append(m.changes, change{m.version, key})
}

// compact removes outdated changes once they outnumber the current ones, so that the
// length of the log remains proportional to the number of keys.
func (m *Memory) compact() {
	if len(m.changes) < minCompactChanges || len(m.changes) < 2*(len(m.rows)+len(m.deleted)) {
		return
	}
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return !m.current(c) })
}
