package claim

import (
	"context"
	"sync"
)

// Run finishes the writes of Claim, Complete and Release whose outcome was still
// unknown when their context ended. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		for _, write := range c.dequeueAll() {
			group.Go(func() {
				// An error means that ctx ended or that another claim holds the row.
				_ = c.retryWrite(ctx, write)
				c.markFinished()
			})
		}
	}
}

// PendingWrites returns the number of writes that Run has not finished.
func (c *Claims) PendingWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unfinished
}

// enqueue queues a write for Run and does not block.
func (c *Claims) enqueue(write finalWrite) {
	c.mu.Lock()
	c.unfinished++
	c.queued = append(c.queued, write)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Claims) dequeueAll() []finalWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	writes := c.queued
	c.queued = nil
	return writes
}

func (c *Claims) markFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished--
}
