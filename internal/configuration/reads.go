package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// headRead is one read of the head, shared by all who wait for it.
type headRead struct {
	requested time.Time // before the read began
	done      chan struct{}
	head      api.ConfigurationHead
	err       error
}

// sharedRead lets concurrent callers share reads of the head. At most one read
// is under way; callers that it is too old for share the next one.
type sharedRead struct {
	read func(ctx context.Context) (api.ConfigurationHead, error)

	mu      sync.Mutex
	last    *headRead // newest read that succeeded
	current *headRead // under way
	next    *headRead // begins when current has ended
}

// newer returns a read that was requested at notBefore or later.
func (s *sharedRead) newer(ctx context.Context, notBefore time.Time) (*headRead, error) {
	r := s.join(ctx, notBefore)
	select {
	case <-r.done:
		return r, r.err
	case <-ctx.Done():
		return r, ctx.Err()
	}
}

// join returns a read that is new enough, beginning one when needed.
func (s *sharedRead) join(ctx context.Context, notBefore time.Time) *headRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && !s.last.requested.Before(notBefore) {
		return s.last
	}
	if s.current == nil {
		s.current = &headRead{done: make(chan struct{})}
		s.begin(ctx, s.current)
		return s.current
	}
	if !s.current.requested.Before(notBefore) {
		return s.current
	}
	if s.next == nil {
		s.next = &headRead{done: make(chan struct{})}
	}
	return s.next
}

// begin runs a read. Others wait for it too, so the end of the caller that
// began it does not end the read, which has a timeout of its own.
func (s *sharedRead) begin(ctx context.Context, r *headRead) {
	r.requested = time.Now()
	ctx = context.WithoutCancel(ctx)
	go func() {
		r.head, r.err = s.read(ctx)
		s.end(ctx, r)
	}()
}

func (s *sharedRead) end(ctx context.Context, r *headRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.err == nil {
		s.last = r
	}
	s.current, s.next = s.next, nil
	if s.current != nil {
		s.begin(ctx, s.current)
	}
	close(r.done)
}
