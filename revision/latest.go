// Package revision replicates a value with increasing revisions to many processes.
// Writer stores new revisions by conditional writes to a table service, and Latest
// holds the newest one in a process.
package revision

import "sync"

// Latest holds the newest revision of a value. Its revision never decreases. The
// zero Latest is at revision 0. It is safe for concurrent use.
type Latest[T any] struct {
	mu       sync.RWMutex
	revision int64
	value    T
	changed  chan struct{}
}

// Update stores the value if its revision is higher than the current one, and reports
// whether it did.
func (l *Latest[T]) Update(revision int64, value T) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision <= l.revision {
		return false
	}
	l.revision, l.value = revision, value
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return true
}

// Get returns the value and its revision, which is 0 before the first update.
func (l *Latest[T]) Get() (T, int64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.value, l.revision
}

// Changed returns a channel that is closed at the next update. Call it before Get,
// so that no update in between is missed.
func (l *Latest[T]) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// HighWaterMark is the highest revision that is known to exist, even if its value is
// not known yet. The zero HighWaterMark is at revision 0.
type HighWaterMark struct{ latest Latest[struct{}] }

// Raise raises the mark to the revision if that is higher, and reports whether it
// did.
func (m *HighWaterMark) Raise(revision int64) bool { return m.latest.Update(revision, struct{}{}) }

// Value returns the highest known revision.
func (m *HighWaterMark) Value() int64 {
	_, revision := m.latest.Get()
	return revision
}

// Changed returns a channel that is closed when the mark is raised next.
func (m *HighWaterMark) Changed() <-chan struct{} { return m.latest.Changed() }
