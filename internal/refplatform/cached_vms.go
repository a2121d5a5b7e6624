package refplatform

import (
	"context"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// CachedVMs lets the parts of a daemon share the reads of the VM list.
type CachedVMs struct {
	source VMs
	maxAge time.Duration

	mu   sync.Mutex
	read time.Time // zero before the first read
	list api.VMList
	err  error
}

var _ VMs = (*CachedVMs)(nil)

// NewCachedVMs returns a list whose readings, failed ones included, serve all
// callers for maxAge.
func NewCachedVMs(source VMs, maxAge time.Duration) *CachedVMs {
	return &CachedVMs{source: source, maxAge: maxAge}
}

// List returns the last reading, or a new one when the last is too old.
func (s *CachedVMs) List(ctx context.Context) (api.VMList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read.IsZero() || time.Since(s.read) >= s.maxAge {
		s.list, s.err = s.source.List(ctx)
		s.read = time.Now()
	}
	return s.list, s.err
}
