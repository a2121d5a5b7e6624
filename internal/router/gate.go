package router

import (
	"sync"
	"time"
)

// probeStoreEvery is the interval at which one request tries the table service
// while it is unreachable; the other claims are refused at once. Without this
// limit, requests that wait for a claim would hold the slots of the minions.
const probeStoreEvery = 250 * time.Millisecond

// closeAfter is the number of failed claims in a row that close the gate. With
// one, a store that fails a hundredth of the claims would get most others refused.
const closeAfter = 3

// storeGate refuses claims while the table service is unreachable.
type storeGate struct {
	mu       sync.Mutex
	failures int // claims in a row that failed
	probeAt  time.Time
}

// isOpen tells whether a claim may be tried, without using up the probe.
func (g *storeGate) isOpen(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failures < closeAfter || !now.Before(g.probeAt)
}

// pass admits a claim; while the gate is closed it admits one per interval.
func (g *storeGate) pass(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < closeAfter {
		return true
	}
	if now.Before(g.probeAt) {
		return false
	}
	g.probeAt = now.Add(probeStoreEvery)
	return true
}

// report records whether the table service answered.
func (g *storeGate) report(reachable bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reachable {
		g.failures = 0
		return
	}
	g.failures++
	g.probeAt = now.Add(probeStoreEvery)
}
