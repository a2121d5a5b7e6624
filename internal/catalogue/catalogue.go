// Package catalogue holds the queues, services and organisations that operators
// have configured, one immutable value per version.
package catalogue

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Queue takes batch jobs of one kind.
type Queue struct {
	Name        string
	Host        string
	Prefix      string // of the path; the rest names a job
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Timeout     time.Duration
	Public      bool // needs no token
}

// Limits bound what a caller may send.
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
	queues  map[string][]Queue // by host, longest prefix first
	tokens  map[string]string  // token to organisation
}

// New returns a catalogue. Queues of one host may have nested prefixes.
func New(version int64, limits Limits, queues []Queue, tokens map[string]string) *Catalogue {
	c := &Catalogue{Version: version, Limits: limits, queues: map[string][]Queue{}, tokens: tokens}
	for _, q := range queues {
		c.queues[q.Host] = append(c.queues[q.Host], q)
	}
	for _, list := range c.queues {
		slices.SortStableFunc(list, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the queue with the longest prefix of a path, and the rest of the
// path.
func (c *Catalogue) Match(host, path string) (Queue, string, bool) {
	for _, q := range c.queues[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Organisation returns who a token belongs to.
func (c *Catalogue) Organisation(token string) (string, bool) {
	organisation, ok := c.tokens[token]
	return organisation, ok
}

// Current holds the newest catalogue and the zones that are out of service. The
// version never goes back.
type Current struct {
	catalogue atomic.Pointer[Catalogue]
	out       atomic.Pointer[map[string]bool]
}

// Catalogue returns the newest version, nil before the first.
func (c *Current) Catalogue() *Catalogue { return c.catalogue.Load() }

// Offer takes a version that is newer than the current one and tells whether it did.
func (c *Current) Offer(next *Catalogue) bool {
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
func (c *Current) SetOutOfService(zones map[string]bool) { c.out.Store(&zones) }

// OutOfService tells whether a zone gets no new work.
func (c *Current) OutOfService(zone string) bool {
	zones := c.out.Load()
	return zones != nil && (*zones)[zone]
}
