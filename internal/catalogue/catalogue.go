// Package catalogue holds the queues and organisations that operators have
// configured, as one immutable value per version.
package catalogue

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Queue accepts batch jobs under a host and path prefix and sets their service,
// priority, attempts and completion objective. The objective is the time by which a job
// should be completed; batch.Objective computes it.
type Queue struct {
	Name        string
	Host        string
	PathPrefix  string // the rest of the path is the job ID
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64       // factor of the critical path in the completion objective
	Target      time.Duration // fixed part of the completion objective
	Timeout     time.Duration
	Public      bool // accepts calls without a token
}

// Limits are the limits and timeouts on requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version int64
	Limits  Limits
	// Guarantees holds the accelerators that belong to each organisation for its jobs of
	// priority 0. It is nil if the configuration has no guarantees.
	Guarantees    map[string]int64
	queuesByHost  map[string][]Queue // longest prefix first
	organisations map[string]string  // token to organisation
}

// New returns a catalogue. tokens maps tokens to organisations. The path prefixes of
// queues on the same host may overlap.
func New(version int64, limits Limits, queues []Queue, tokens map[string]string) *Catalogue {
	c := &Catalogue{Version: version, Limits: limits, queuesByHost: map[string][]Queue{}, organisations: tokens}
	for _, q := range queues {
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
	for _, list := range c.queuesByHost {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return c
}

// Match returns the queue with the longest matching prefix of a path, and the rest of
// the path.
func (c *Catalogue) Match(host, path string) (Queue, string, bool) {
	for _, q := range c.queuesByHost[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Organisation returns the organisation that a token belongs to.
func (c *Catalogue) Organisation(token string) (string, bool) {
	organisation, ok := c.organisations[token]
	return organisation, ok
}

// Current holds the newest catalogue and the zones that are out of service. The
// version never decreases.
type Current struct {
	catalogue    atomic.Pointer[Catalogue]
	outOfService atomic.Pointer[map[string]bool]
}

// Catalogue returns the newest catalogue, or nil if there is none yet.
func (c *Current) Catalogue() *Catalogue { return c.catalogue.Load() }

// Guarantees returns the guarantees of the newest catalogue, see Catalogue.
func (c *Current) Guarantees() map[string]int64 {
	if newest := c.Catalogue(); newest != nil {
		return newest.Guarantees
	}
	return nil
}

// Update replaces the catalogue if next has a higher version. It reports whether it
// did.
func (c *Current) Update(next *Catalogue) bool {
	for {
		old := c.catalogue.Load()
		if old != nil && next.Version <= old.Version {
			return false
		}
		if c.catalogue.CompareAndSwap(old, next) {
			return true
		}
	}
}

// SetOutOfService replaces the zones that are out of service.
func (c *Current) SetOutOfService(zones map[string]bool) { c.outOfService.Store(&zones) }

// OutOfService reports whether a zone is out of service and gets no new work.
func (c *Current) OutOfService(zone string) bool {
	zones := c.outOfService.Load()
	return zones != nil && (*zones)[zone]
}
