package router

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// flights counts requests in flight and refuses new ones while draining.
type flights struct {
	mu       sync.Mutex
	count    int
	draining bool
}

// enter counts a new request; it returns false while draining.
func (f *flights) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.count++
	return true
}

// extend counts work that goes on after its request has been answered.
func (f *flights) extend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *flights) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

func (f *flights) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
}

func (f *flights) inFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Drain refuses new requests and waits until those in flight have ended and
// their claims are stored. It fails when ctx ends first.
func (r *Router) Drain(ctx context.Context) error {
	r.flights.drain()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		left, unsettled := r.flights.inFlight(), r.config.Claims.Unsettled()
		if left == 0 && unsettled == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			r.log.Warn("Stopping with requests in flight.", zap.Int("requests", left), zap.Int("unsettled_claims", unsettled))
			return eris.Wrapf(ctx.Err(), "%d requests in flight, %d claims not stored", left, unsettled)
		case <-ticker.C:
		}
	}
}
