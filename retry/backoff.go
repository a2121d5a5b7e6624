package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultBase is the default upper bound of the first delay.
	DefaultBase = 10 * time.Millisecond
	// DefaultMax is the default upper bound of all delays.
	DefaultMax = time.Second
)

// Backoff is an exponential back-off with jitter. The upper bound of the delay
// doubles with each retry, and the delay is chosen at random from its upper half.
// The jitter keeps callers that failed at the same time from retrying at the same
// time, and the lower half is left out so that a delay is never close to zero.
type Backoff struct {
	Base time.Duration // upper bound of the first delay; 0 means DefaultBase
	Max  time.Duration // upper bound of all delays; 0 means DefaultMax
}

// Delay returns the delay before the given retry. Retries count from 1.
func (b Backoff) Delay(retry int) time.Duration {
	limit := b.maxDelay(retry)
	half := limit / 2
	return half + rand.N(limit-half+1)
}

func (b Backoff) maxDelay(retry int) time.Duration {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultMax
	}
	for range max(0, retry-1) {
		if base >= limit {
			break
		}
		base *= 2
	}
	return min(base, limit)
}

// Wait sleeps for the delay before the given retry. It returns an error if ctx ends
// first.
func (b Backoff) Wait(ctx context.Context, retry int) error {
	timer := time.NewTimer(b.Delay(retry))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait before retry")
	}
}
