package router

import (
	"sync"
	"time"
)

// probeInterval is the interval at which one claim probes the table service while
// the breaker is open. The other claims are refused at once, because requests that
// wait for a claim would occupy the slots of the minions.
const probeInterval = 250 * time.Millisecond

// tripThreshold is the number of consecutive failed claims that open the breaker.
// With 1, a store that fails one claim in a hundred would get most of the others
// refused.
const tripThreshold = 3

// storeBreaker is a circuit breaker that refuses claims while the table service is
// unreachable.
type storeBreaker struct {
	mu                  sync.Mutex
	consecutiveFailures int
	nextProbe           time.Time
}

// wouldAllow reports whether allow would admit a claim now. It does not use up the
// probe.
func (b *storeBreaker) wouldAllow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consecutiveFailures < tripThreshold || !now.Before(b.nextProbe)
}

// allow reports whether a claim may be made. While the breaker is open it admits
// one per probeInterval.
func (b *storeBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consecutiveFailures < tripThreshold {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// record records whether the table service answered.
func (b *storeBreaker) record(reachable bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reachable {
		b.consecutiveFailures = 0
		return
	}
	b.consecutiveFailures++
	b.nextProbe = now.Add(probeInterval)
}
