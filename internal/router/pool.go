package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/retry"
)

const (
	// minInServiceDivisor sets the share of owned minions, 1/minInServiceDivisor,
	// that must be in service for the back-off of ejected minions to grow. When most
	// minions fail, the cause is rarely in the minions, and they must be tried again
	// soon after the cause ends.
	minInServiceDivisor = 2
	// hangFactor is the multiple of the mean service time from which a request that
	// reached its deadline counts as a failure of its minion. Under overload,
	// requests are sent with little time left, and the minion is not at fault when
	// they time out.
	hangFactor = 3
	// retryAfterUnavailable is the Retry-After given when no minion is available.
	retryAfterUnavailable = time.Second
)

// grant is the result of acquire: a slot of a minion, a peer to forward to, or a
// refusal.
type grant struct {
	minion  *minion
	peer    string
	refusal *refusal
}

// refusal is the reason why a request gets neither a minion nor a peer.
type refusal struct {
	kind       RefusalKind
	reason     string
	retryAfter time.Duration
}

// pool holds the minions, the queue for the minions that this daemon owns and the
// credits at peers.
type pool struct {
	log             *zap.Logger
	scope           tally.Scope
	network         peers.Network
	view            configuration.View
	slotsPerMinion  int
	maxWaiting      int // requests that may wait in the queue; 0 means no limit
	ejectionBackoff retry.Backoff
	// freeSlots is not guarded by the mutex, to avoid a deadlock: the network reads
	// it while it sends heartbeats, and the pool calls the network under the mutex.
	freeSlots atomic.Int64
	// leavingMinions is announced in heartbeats. It is not guarded by the mutex, for
	// the same reason.
	leavingMinions atomic.Pointer[[]api.MinionInstance]

	mu         sync.Mutex
	minions    map[string]*minion
	ownMinions []*minion // minions that this daemon may send requests to
	queue      *queue
	estimator  *estimator
	credits    credits
	reserve    reserve
}

func newPool(config Config, log *zap.Logger, scope tally.Scope) *pool {
	slots := config.Limits.MinionSlots
	if config.Limits.MinionConnections > 0 {
		slots = min(slots, config.Limits.MinionConnections)
	}
	return &pool{
		log: log, scope: scope, network: config.Network, view: config.View,
		slotsPerMinion: slots, maxWaiting: config.Limits.MaxQueuedRequests,
		ejectionBackoff: retry.Backoff{Base: config.BaseEjectionTime, Max: max(maxEjectionTime, config.BaseEjectionTime)},
		minions:         map[string]*minion{}, queue: newQueue(), estimator: newEstimator(),
		credits: credits{},
	}
}

// acquire waits for a minion or a peer for the request. A minion slot must be
// released before the same request acquires again.
func (p *pool) acquire(ctx context.Context, w *waiter) grant {
	w.grants = make(chan grant, 1)
	p.mu.Lock()
	now := time.Now()
	if g, ok := p.tryAssign(w, now); ok {
		p.mu.Unlock()
		return g
	}
	if r := p.admit(w, now); r != nil {
		p.mu.Unlock()
		return grant{refusal: r}
	}
	p.queue.push(w)
	latestStart := w.deadline.Add(-p.estimator.expectedService(w.entry, w.timeout))
	p.mu.Unlock()
	return p.await(ctx, w, latestStart)
}

// await waits for the grant of a queued waiter until latestStart. A request that is
// sent later is expected to miss its deadline.
func (p *pool) await(ctx context.Context, w *waiter, latestStart time.Time) grant {
	timer := time.NewTimer(max(time.Until(latestStart), 0))
	defer timer.Stop()
	select {
	case g := <-w.grants:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	waiting := p.queue.remove(w)
	wait := p.estimator.expectedWait(p.queue.ahead(w.rank), p.capacity())
	p.mu.Unlock()
	if !waiting {
		return <-w.grants
	}
	return grant{refusal: &refusal{Overloaded, "the deadline came while the request waited for a minion", max(wait, minRetryAfter)}}
}

// tryAssign returns an owned minion with a free slot, or else a peer with free
// slots. If no owned minion is in service, a peer without free slots is used as well,
// and the request waits in the queue of that peer.
func (p *pool) tryAssign(w *waiter, now time.Time) (grant, bool) {
	m := p.leastBusyMinion(w, now)
	if m == nil || w.request.excludesMinion(m.vm.ID) {
		if vm := p.selectPeer(w, now, p.capacity() == 0); vm != "" {
			p.credits.spend(vm)
			return grant{peer: vm}, true
		}
	}
	if m == nil {
		return grant{}, false
	}
	return p.assign(m, w), true
}

// assign takes a slot of the minion for the waiter.
func (p *pool) assign(m *minion, w *waiter) grant {
	m.busySlots++
	if w.rank == 0 {
		p.reserve.acquire()
	}
	return grant{minion: m}
}

// leastBusyMinion returns the usable minion with the fewest requests. Ties are
// broken at random, so that daemons that start together spread their requests.
// Minions that failed the request are used again only if no other is in service,
// because a request that excludes all minions would wait until its deadline. If only
// slots reserved for urgent requests are free, other requests get nil.
func (p *pool) leastBusyMinion(w *waiter, now time.Time) *minion {
	if reserved := p.reserve.reservedSlots(p.capacity()); w.rank > 0 && reserved > 0 && p.idleSlots(now) <= reserved {
		return nil
	}
	var best *minion
	ties := 0
	ignoreExclusions := w.request.excludesNothing() || !p.hasAlternative(w.request)
	for _, m := range p.ownMinions {
		switch {
		case !m.usable(now, p.slotsPerMinion) || !ignoreExclusions && w.request.excludesMinion(m.vm.ID):
		case best == nil || m.busySlots < best.busySlots:
			best, ties = m, 1
		case m.busySlots == best.busySlots:
			if ties++; rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

// hasAlternative reports whether a minion that the request does not exclude is in
// service.
func (p *pool) hasAlternative(req *activeRequest) bool {
	return slices.ContainsFunc(p.ownMinions, func(m *minion) bool { return m.inService() && !req.excludesMinion(m.vm.ID) })
}

// admit returns nil if a request without a minion or a peer may be queued, and
// otherwise the refusal.
func (p *pool) admit(w *waiter, now time.Time) *refusal {
	if len(p.ownMinions) == 0 || p.capacity() == 0 && !w.mayForward {
		return &refusal{Unavailable, "no minion can be reached now", retryAfterUnavailable}
	}
	wait := p.estimator.expectedWait(p.queue.ahead(w.rank), p.capacity())
	needed := wait + p.estimator.expectedService(w.entry, w.timeout)
	if remaining := w.deadline.Sub(now); needed > remaining {
		return &refusal{Overloaded, "the deadline cannot be met", max(needed-remaining, minRetryAfter)}
	}
	if w.maxQueuedByEntry > 0 && p.queue.countByEntry[w.entry] >= w.maxQueuedByEntry {
		return &refusal{Overloaded, "too many requests to this entry are waiting", max(wait, minRetryAfter)}
	}
	if p.maxWaiting > 0 && p.queue.length >= p.maxWaiting {
		return p.evictForUrgency(w, wait)
	}
	return nil
}

// evictForUrgency makes room in a full queue by refusing the newest waiter of a
// lower urgency. Without one it returns a refusal of the new request.
func (p *pool) evictForUrgency(w *waiter, wait time.Duration) *refusal {
	r := &refusal{Overloaded, "too many requests are waiting", max(wait, minRetryAfter)}
	victim := p.queue.newestBelow(w.rank)
	if victim == nil {
		return r
	}
	p.deliver(victim, grant{refusal: r})
	return nil
}

// capacity returns the number of slots that can serve the queue.
func (p *pool) capacity() int {
	n := 0
	for _, m := range p.ownMinions {
		if m.inService() {
			n += p.slotsPerMinion - m.overdueSlots
		}
	}
	return n
}

// release frees a slot of the minion and records what the end of the request shows
// about the health of the minion.
func (p *pool) release(m *minion, req *activeRequest, o observation, reason string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.busySlots--
	if rank(req.Urgency) == 0 {
		p.reserve.inUse--
	}
	switch o {
	case answered:
		p.estimator.observe(req.Submission.Entry, took)
	case deadlineExceeded:
		p.estimator.observeTimeout(req.Submission.Entry, took)
	}
	before := m.status()
	m.observe(o, reason, time.Now(), p.fewInService(), p.ejectionBackoff)
	if after := m.status(); after != before {
		p.log.Info("Minion changed state.", zap.String("minion", m.vm.ID), zap.String("from", before),
			zap.String("to", after), zap.String("reason", reason))
	}
	p.assignQueued(time.Now())
}

// exceedsHangTime reports whether a request took at least hangFactor times the mean
// service time of its entry, and so counts as a failure of its minion.
func (p *pool) exceedsHangTime(entry string, took time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return took >= hangFactor*p.estimator.mean(entry)
}

// fewInService reports whether fewer than 1/minInServiceDivisor of the owned minions,
// rounded down, are in service.
func (p *pool) fewInService() bool {
	serving := 0
	for _, m := range p.ownMinions {
		if m.inService() {
			serving++
		}
	}
	return serving < len(p.ownMinions)/minInServiceDivisor
}

// addOverdue records that a claimed request has passed its deadline and still
// occupies its slot or, with a negative change, that it has ended. Such a slot does
// not count as capacity for waiting requests.
func (p *pool) addOverdue(m *minion, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.overdueSlots += change
}

// recordHang counts a request that reached its deadline as a failure of its minion if
// the request took at least hangFactor times the mean service time. It does not wait
// until the connection ends.
func (p *pool) recordHang(m *minion, entry string, took time.Duration) {
	if !p.exceedsHangTime(entry, took) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.observe(failed, "no answer by the deadline", time.Now(), p.fewInService(), p.ejectionBackoff)
}

// markLeaving stops sending requests to a minion that reported that it is leaving.
// This is final for the instance.
func (p *pool) markLeaving(m *minion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.leaving = true
}

// assignQueued assigns free slots to waiters. Waiters that can no longer meet their
// deadline are refused instead of taking a slot from those that can.
func (p *pool) assignQueued(now time.Time) {
	for p.queue.length > 0 {
		var m *minion
		w := p.queue.next(func(w *waiter) bool {
			m = p.leastBusyMinion(w, now)
			return m != nil
		})
		if w == nil {
			return
		}
		if w.deadline.Sub(now) < p.estimator.expectedService(w.entry, w.timeout) {
			p.deliver(w, grant{refusal: &refusal{Overloaded, "the deadline came while the request waited for a minion",
				max(p.estimator.expectedWait(p.queue.ahead(w.rank), p.capacity()), minRetryAfter)}})
			continue
		}
		p.queue.recordServed(w.rank)
		p.deliver(w, p.assign(m, w))
	}
}

func (p *pool) deliver(w *waiter, g grant) {
	if p.queue.remove(w) {
		w.grants <- g
	}
}

// refresh recomputes the ownership of minions and forwards waiting requests to
// peers with free slots.
func (p *pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.syncLeaving()
	p.updateOwnMinions()
	p.reserve.decay()
	p.assignQueued(now)
	p.forwardQueued(now)
	p.freeSlots.Store(int64(p.countFreeSlots(now)))
	p.scope.Gauge("queued").Update(float64(p.queue.length))
}

// forwardQueued assigns waiting requests to free minions and to peers with free
// slots. It stops at the first request that neither can take, unless the request
// excludes some of them, so that a long queue is not scanned in vain.
func (p *pool) forwardQueued(now time.Time) {
	for _, w := range p.queue.all() {
		if !w.mayForward {
			if len(p.ownMinions) == 0 {
				p.deliver(w, grant{refusal: &refusal{Unavailable, "this daemon owns no minion now", minRetryAfter}})
			}
			continue
		}
		g, ok := p.tryAssign(w, now)
		if ok {
			p.deliver(w, g)
		} else if w.request.excludesNothing() {
			return
		}
	}
}

func (p *pool) countFreeSlots(now time.Time) int {
	return max(0, p.idleSlots(now)-p.reserve.reservedSlots(p.capacity())-p.queue.length)
}

// idleSlots returns the number of slots of the owned minions in service that hold
// no request.
func (p *pool) idleSlots(now time.Time) int {
	free := 0
	for _, m := range p.ownMinions {
		if m.inService() && m.usable(now, p.slotsPerMinion) {
			free += p.slotsPerMinion - m.busySlots
		}
	}
	return free
}

func isZoneOutOfService(c api.Configuration, zone string) bool {
	for _, z := range c.Head.Zones {
		if z.Name == zone {
			return z.State == api.Out
		}
	}
	return false
}
