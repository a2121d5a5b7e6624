package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultBase is the longest first delay.
	DefaultBase = 10 * time.Millisecond
	// DefaultMax is the longest delay of all.
	DefaultMax = time.Second
)

// Backoff gives delays that double with each attempt and are spread by jitter
// over the upper half of their range. Jitter keeps callers that failed together
// from trying again together; the lower half is left out so that a delay is
// never close to zero.
type Backoff struct {
	Base time.Duration // delay bound before the first retry; 0 takes DefaultBase
	Max  time.Duration // bound of all delays; 0 takes DefaultMax
}

// Delay returns the delay before retry number attempt, which starts at 1.
func (b Backoff) Delay(attempt int) time.Duration {
	bound := b.bound(attempt)
	half := bound / 2
	return half + rand.N(bound-half+1)
}

func (b Backoff) bound(attempt int) time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultMax
	}
	for range max(0, attempt-1) {
		if base >= limit {
			break
		}
		base *= 2
	}
	return min(base, limit)
}

// Wait sleeps for the delay before retry number attempt. It fails when the
// context ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	timer := time.NewTimer(b.Delay(attempt))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait before retry")
	}
}
