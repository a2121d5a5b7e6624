package claim

import (
	"context"
	"sync"
)

// Run finishes in the background what Claim, Complete and Release could not
// settle before their context ended. It returns when ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		for _, work := range c.takePending() {
			group.Go(func() {
				// An error means that ctx ended or that another claim holds the row.
				_ = c.settle(ctx, work)
				c.closed()
			})
		}
	}
}

// Unsettled returns the number of claims that Run has yet to finish.
func (c *Claims) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// hand gives a write to Run without waiting.
func (c *Claims) hand(work job) {
	c.mu.Lock()
	c.open++
	c.pending = append(c.pending, work)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Claims) takePending() []job {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := c.pending
	c.pending = nil
	return work
}

func (c *Claims) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}
