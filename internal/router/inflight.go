package router

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// inFlightCounter counts requests in flight and refuses new ones while draining.
type inFlightCounter struct {
	mu       sync.Mutex
	count    int
	draining bool
}

// begin counts a new request. It returns false, and counts nothing, while draining.
func (c *inFlightCounter) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.count++
	return true
}

// beginBackground counts work that may go on after its request has been answered.
// It is allowed while draining.
func (c *inFlightCounter) beginBackground() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

func (c *inFlightCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
}

func (c *inFlightCounter) startDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

func (c *inFlightCounter) current() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Drain refuses new requests and waits until those in flight have ended and the
// final states of their claims are stored. It returns an error if ctx ends first.
func (r *Router) Drain(ctx context.Context) error {
	r.inFlight.startDraining()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		requests, claims := r.inFlight.current(), r.config.Claims.PendingWrites()
		if requests == 0 && claims == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			r.log.Warn("Drain ended before all requests and claims were finished.", zap.Int("requests", requests), zap.Int("unsettled_claims", claims))
			return eris.Wrapf(ctx.Err(), "drain ended with %d requests in flight and %d claims without a stored final state", requests, claims)
		case <-ticker.C:
		}
	}
}
