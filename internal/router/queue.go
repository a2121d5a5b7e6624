package router

import (
	"container/list"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

const (
	urgencies = 3
	// starvationGuard is the number of requests that may pass a waiting request of
	// a lower urgency before that one is served.
	starvationGuard = 16
	// scanLimit bounds the search for a request that can use a free slot, so that
	// requests that exclude the free minions do not make each release slow.
	scanLimit = 16
)

// rank orders urgencies: 0 is served first.
func rank(u api.Urgency) int {
	switch u {
	case api.Urgent:
		return 0
	case api.Batch:
		return 2
	default:
		return 1
	}
}

// waiter is a request that waits for a place.
type waiter struct {
	entry      string
	rank       int
	deadline   time.Time
	given      time.Duration // from the arrival of the request to its deadline
	mayForward bool
	maxQueued  int
	job        *job
	granted    chan grant // capacity 1; receives exactly one grant once queued
	element    *list.Element
}

// queue holds waiters by urgency and counts them by entry. It is guarded by the pool.
type queue struct {
	ranks   [urgencies]*list.List
	passed  [urgencies]int
	entries map[string]int
	total   int
}

func newQueue() *queue {
	q := &queue{entries: map[string]int{}}
	for i := range q.ranks {
		q.ranks[i] = list.New()
	}
	return q
}

func (q *queue) push(w *waiter) {
	w.element = q.ranks[w.rank].PushBack(w)
	q.entries[w.entry]++
	q.total++
}

// remove takes a waiter out; it returns false when it no longer waits.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	q.ranks[w.rank].Remove(w.element)
	w.element = nil
	q.total--
	if q.entries[w.entry]--; q.entries[w.entry] == 0 {
		delete(q.entries, w.entry)
	}
	return true
}

// ahead counts the waiters that are served before a new one of the rank.
func (q *queue) ahead(rank int) int {
	n := 0
	for i := 0; i <= rank; i++ {
		n += q.ranks[i].Len()
	}
	return n
}

// next returns the first waiter in order of service that fits, or nil.
func (q *queue) next(fits func(*waiter) bool) *waiter {
	for _, rank := range q.order() {
		scanned := 0
		for e := q.ranks[rank].Front(); e != nil && scanned < scanLimit; e = e.Next() {
			if w := e.Value.(*waiter); fits(w) {
				return w
			}
			scanned++
		}
	}
	return nil
}

// order returns the ranks in order of service. A rank that has been passed too
// often goes first.
func (q *queue) order() [urgencies]int {
	order := [urgencies]int{0, 1, 2}
	for rank := urgencies - 1; rank > 0; rank-- {
		if q.passed[rank] >= starvationGuard && q.ranks[rank].Len() > 0 {
			copy(order[1:rank+1], order[:rank])
			order[0] = rank
			return order
		}
	}
	return order
}

// served records that a waiter of the rank got a place.
func (q *queue) served(rank int) {
	q.passed[rank] = 0
	for lower := rank + 1; lower < urgencies; lower++ {
		if q.ranks[lower].Len() > 0 {
			q.passed[lower]++
		}
	}
}

// newestBelow returns the newest waiter of the lowest rank below the given one.
func (q *queue) newestBelow(rank int) *waiter {
	for lower := urgencies - 1; lower > rank; lower-- {
		if e := q.ranks[lower].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// all returns the waiters in order of urgency.
func (q *queue) all() []*waiter {
	out := make([]*waiter, 0, q.total)
	for _, l := range q.ranks {
		for e := l.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*waiter))
		}
	}
	return out
}
