package router

import (
	"sync"
	"time"
)

// probeStoreEvery is the interval at which one request tries the table service
// while it is unreachable; the other claims are refused at once. Without this
// limit, requests that wait for a claim would hold the slots of the minions.
const probeStoreEvery = 250 * time.Millisecond

// storeGate refuses claims while the table service is unreachable.
type storeGate struct {
	mu      sync.Mutex
	closed  bool
	probeAt time.Time
}

// isOpen tells whether a claim may be tried, without using up the probe.
func (g *storeGate) isOpen(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed || !now.Before(g.probeAt)
}

// pass admits a claim; while the gate is closed it admits one per interval.
func (g *storeGate) pass(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
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
	g.closed = !reachable
	if !reachable {
		g.probeAt = now.Add(probeStoreEvery)
	}
}
