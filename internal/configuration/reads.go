package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// headRead is one read of the head, shared by all callers that wait for it.
type headRead struct {
	requested time.Time // taken before the read begins
	done      chan struct{}
	head      api.ConfigurationHead
	err       error
}

// readCoalescer lets concurrent callers share reads of the head. At most one read
// runs at a time; callers that need a newer one share the next read.
type readCoalescer struct {
	read func(ctx context.Context) (api.ConfigurationHead, error)

	mu      sync.Mutex
	last    *headRead // newest read that succeeded
	running *headRead
	queued  *headRead // starts when running has ended
}

// readSince waits for a read that was requested at notBefore or later.
func (s *readCoalescer) readSince(ctx context.Context, notBefore time.Time) (*headRead, error) {
	r := s.join(ctx, notBefore)
	select {
	case <-r.done:
		return r, r.err
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// join returns a read that was requested at notBefore or later. It reuses a
// completed or running read if possible, else starts or queues one.
func (s *readCoalescer) join(ctx context.Context, notBefore time.Time) *headRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && !s.last.requested.Before(notBefore) {
		return s.last
	}
	if s.running == nil {
		s.running = &headRead{done: make(chan struct{})}
		s.start(ctx, s.running)
		return s.running
	}
	if !s.running.requested.Before(notBefore) {
		return s.running
	}
	if s.queued == nil {
		s.queued = &headRead{done: make(chan struct{})}
	}
	return s.queued
}

// start runs a read in the background. Several callers may wait for it, so it is
// not cancelled with the context of the caller that started it; the read function
// sets its own timeout.
func (s *readCoalescer) start(ctx context.Context, r *headRead) {
	r.requested = time.Now()
	ctx = context.WithoutCancel(ctx)
	go func() {
		r.head, r.err = s.read(ctx)
		s.finish(ctx, r)
	}()
}

func (s *readCoalescer) finish(ctx context.Context, r *headRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.err == nil {
		s.last = r
	}
	s.running, s.queued = s.queued, nil
	if s.running != nil {
		s.start(ctx, s.running)
	}
	close(r.done)
}
