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
func (h *Latest[T]) Update(revision int64, value T) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision {
		return false
	}
	h.revision, h.value = revision, value
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Get returns the value and its revision, which is 0 before the first update.
func (h *Latest[T]) Get() (T, int64) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.value, h.revision
}

// Changed returns a channel that is closed at the next update. Call it before Get,
// so that no update in between is missed.
func (h *Latest[T]) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// HighWaterMark is the highest revision that is known to exist, even if its value is
// not known yet. The zero HighWaterMark is at revision 0.
type HighWaterMark struct{ holder Latest[struct{}] }

// Raise raises the mark to the revision if that is higher, and reports whether it
// did.
func (m *HighWaterMark) Raise(revision int64) bool { return m.holder.Update(revision, struct{}{}) }

// Value returns the highest known revision.
func (m *HighWaterMark) Value() int64 {
	_, revision := m.holder.Get()
	return revision
}

// Changed returns a channel that is closed when the mark is raised next.
func (m *HighWaterMark) Changed() <-chan struct{} { return m.holder.Changed() }
