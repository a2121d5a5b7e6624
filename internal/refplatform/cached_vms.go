package refplatform

import (
	"context"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// CachedVMs caches the VM list, so that the components of a daemon share one read of it.
type CachedVMs struct {
	source VMs
	maxAge time.Duration

	mu      sync.Mutex
	fetched time.Time // time of the last read, zero before the first one
	list    api.VMList
	err     error
}

var _ VMs = (*CachedVMs)(nil)

// NewCachedVMs returns a cache that keeps the result of a read, also of a failed one,
// for maxAge.
func NewCachedVMs(source VMs, maxAge time.Duration) *CachedVMs {
	return &CachedVMs{source: source, maxAge: maxAge}
}

// List returns the cached result, or reads the list again if the result is too old.
func (c *CachedVMs) List(ctx context.Context) (api.VMList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetched.IsZero() || time.Since(c.fetched) >= c.maxAge {
		c.list, c.err = c.source.List(ctx)
		c.fetched = time.Now()
	}
	return c.list, c.err
}
