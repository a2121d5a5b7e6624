package router

import (
	"container/list"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

const (
	urgencyCount = 3 // number of ranks
	// starvationLimit is the number of requests that may be served ahead of waiting
	// requests of a lower urgency before one of those is served.
	starvationLimit = 16
	// scanLimit bounds the search, in each rank, for a request that can use a free
	// slot. Without it, requests that exclude the free minions would make each
	// release slow.
	scanLimit = 16
)

// rank returns the position of an urgency in the order of service; 0 is first.
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

// waiter is a request that waits for a minion or a peer.
type waiter struct {
	entry            string
	rank             int
	deadline         time.Time
	timeout          time.Duration // total time of the request, from arrival to deadline
	mayForward       bool
	maxQueuedByEntry int
	request          *activeRequest
	grants           chan grant    // capacity 1; receives exactly one grant once queued
	element          *list.Element // position in the queue; nil once removed
}

// queue is a priority queue of waiters, with one FIFO list for each rank. It is
// guarded by the mutex of the pool.
type queue struct {
	byRank       [urgencyCount]*list.List
	bypassed     [urgencyCount]int // by rank: requests of higher urgency served while the rank had waiters, since it was last served
	countByEntry map[string]int
	length       int
}

func newQueue() *queue {
	q := &queue{countByEntry: map[string]int{}}
	for i := range q.byRank {
		q.byRank[i] = list.New()
	}
	return q
}

func (q *queue) push(w *waiter) {
	w.element = q.byRank[w.rank].PushBack(w)
	q.countByEntry[w.entry]++
	q.length++
}

// remove removes a waiter. It returns false if the waiter is not in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	q.byRank[w.rank].Remove(w.element)
	w.element = nil
	q.length--
	if q.countByEntry[w.entry]--; q.countByEntry[w.entry] == 0 {
		delete(q.countByEntry, w.entry)
	}
	return true
}

// ahead returns the number of waiters that are served before a new one of the rank.
func (q *queue) ahead(rank int) int {
	n := 0
	for i := 0; i <= rank; i++ {
		n += q.byRank[i].Len()
	}
	return n
}

// next returns the first waiter in order of service for which fits returns true, or
// nil.
func (q *queue) next(fits func(*waiter) bool) *waiter {
	for _, rank := range q.order() {
		scanned := 0
		for e := q.byRank[rank].Front(); e != nil && scanned < scanLimit; e = e.Next() {
			if w := e.Value.(*waiter); fits(w) {
				return w
			}
			scanned++
		}
	}
	return nil
}

// order returns the ranks in order of service. A rank that has been bypassed
// starvationLimit times comes first.
func (q *queue) order() [urgencyCount]int {
	order := [urgencyCount]int{0, 1, 2}
	for rank := urgencyCount - 1; rank > 0; rank-- {
		if q.bypassed[rank] >= starvationLimit && q.byRank[rank].Len() > 0 {
			copy(order[1:rank+1], order[:rank])
			order[0] = rank
			return order
		}
	}
	return order
}

// recordServed records that a waiter of the rank was served ahead of those of lower
// urgency.
func (q *queue) recordServed(rank int) {
	q.bypassed[rank] = 0
	for lower := rank + 1; lower < urgencyCount; lower++ {
		if q.byRank[lower].Len() > 0 {
			q.bypassed[lower]++
		}
	}
}

// newestBelow returns the newest waiter of the least urgent rank that is less urgent
// than the given one, or nil.
func (q *queue) newestBelow(rank int) *waiter {
	for lower := urgencyCount - 1; lower > rank; lower-- {
		if e := q.byRank[lower].Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// all returns the waiters, the most urgent first.
func (q *queue) all() []*waiter {
	out := make([]*waiter, 0, q.length)
	for _, l := range q.byRank {
		for e := l.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*waiter))
		}
	}
	return out
}
