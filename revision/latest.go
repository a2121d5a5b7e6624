// Package revision keeps the newest revision of a value that many processes
// follow, and moves it forward by conditional writes to a table service.
package revision

import "sync"

// Latest holds the newest revision of a value. It never steps back. The zero
// Latest holds revision 0.
type Latest[T any] struct {
	mu       sync.RWMutex
	revision int64
	value    T
	changed  chan struct{}
}

// Update takes the value if its revision is higher than the one held.
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

// Get returns the value and its revision, 0 before the first one.
func (h *Latest[T]) Get() (T, int64) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.value, h.revision
}

// Changed returns a channel that is closed when the next revision is taken. Ask
// for it before Get, so that no change is missed in between.
func (h *Latest[T]) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// HighWaterMark is the highest revision that has been heard of, whether or not its value
// is held. The zero HighWaterMark is at revision 0.
type HighWaterMark struct{ holder Latest[struct{}] }

// Raise moves the mark up; a lower revision changes nothing.
func (m *HighWaterMark) Raise(revision int64) bool { return m.holder.Update(revision, struct{}{}) }

// Value returns the highest revision heard of.
func (m *HighWaterMark) Value() int64 {
	_, revision := m.holder.Get()
	return revision
}

// Changed returns a channel that is closed when the mark moves next.
func (m *HighWaterMark) Changed() <-chan struct{} { return m.holder.Changed() }
