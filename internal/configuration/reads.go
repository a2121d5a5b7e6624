package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// headRead is one read of the head, shared by all callers that wait for it.
type headRead struct {
	requestedAt time.Time // taken before the read begins
	done        chan struct{}
	head        api.ConfigurationHead
	err         error
}

// readCoalescer lets concurrent callers share reads of the head. At most one read
// runs at a time; callers that need a newer one share the next read.
type readCoalescer struct {
	read func(ctx context.Context) (api.ConfigurationHead, error)

	mu      sync.Mutex
	last    *headRead // newest read that succeeded
	running *headRead
	queued  *headRead // starts when the running read has ended
}

// readSince waits for a read that was requested at notBefore or later.
func (c *readCoalescer) readSince(ctx context.Context, notBefore time.Time) (*headRead, error) {
	r := c.join(ctx, notBefore)
	select {
	case <-r.done:
		return r, r.err
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// join returns a read that was requested at notBefore or later. It reuses a
// completed or running read if possible, else starts or queues one.
func (c *readCoalescer) join(ctx context.Context, notBefore time.Time) *headRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != nil && !c.last.requestedAt.Before(notBefore) {
		return c.last
	}
	if c.running == nil {
		c.running = &headRead{done: make(chan struct{})}
		c.start(ctx, c.running)
		return c.running
	}
	if !c.running.requestedAt.Before(notBefore) {
		return c.running
	}
	if c.queued == nil {
		c.queued = &headRead{done: make(chan struct{})}
	}
	return c.queued
}

// start runs a read in the background. Several callers may wait for it, so it is
// not cancelled with the context of the caller that started it; the read function
// sets its own timeout.
func (c *readCoalescer) start(ctx context.Context, r *headRead) {
	r.requestedAt = time.Now()
	ctx = context.WithoutCancel(ctx)
	go func() {
		r.head, r.err = c.read(ctx)
		c.finish(ctx, r)
	}()
}

func (c *readCoalescer) finish(ctx context.Context, r *headRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err == nil {
		c.last = r
	}
	c.running, c.queued = c.queued, nil
	if c.running != nil {
		c.start(ctx, c.running)
	}
	close(r.done)
}
