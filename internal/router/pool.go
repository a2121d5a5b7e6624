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
	// leastServing is the share of the own minions, as a divisor, below which the
	// back-off of ejected minions does not grow. When most minions fail, the cause
	// is rarely in the minions, and they must be tried again soon after it ends.
	leastServing = 2
	// hangFactor is the multiple of the expected service time after which a
	// request that met its deadline is held against its minion. Under overload
	// requests are sent with little time left, and their expiry is no fault of it.
	hangFactor = 3
	// retryAfterUnavailable is the wait advised when no minion can be had.
	retryAfterUnavailable = time.Second
)

// grant is the answer to a waiter: a minion, a peer, or a refusal.
type grant struct {
	minion  *minion
	peer    string
	refusal *refusal
}

// refusal tells why a request gets no place.
type refusal struct {
	kind       Refusal
	reason     string
	retryAfter time.Duration
}

// pool owns the minions of this daemon, the queue for them and the credits at
// peers.
type pool struct {
	log     *zap.Logger
	scope   tally.Scope
	network peers.Network
	view    configuration.View
	slots   int // of each minion
	total   int // requests that may wait
	pauses  retry.Backoff
	// free is kept outside the mutex: the network asks for it while it sends
	// heartbeats, and the pool asks the network for members under the mutex.
	free atomic.Int64
	// leaving is what heartbeats announce; it is kept outside the mutex as well.
	leaving atomic.Pointer[[]api.MinionInstance]

	mu       sync.Mutex
	minions  map[string]*minion
	owned    []*minion // in service of a zone that is in
	queue    *queue
	estimate *estimator
	credits  credits
	reserve  reserve
}

func newPool(config Config, log *zap.Logger, scope tally.Scope) *pool {
	slots := config.Limits.MinionSlots
	if config.Limits.MinionConnections > 0 {
		slots = min(slots, config.Limits.MinionConnections)
	}
	return &pool{
		log: log, scope: scope, network: config.Network, view: config.View,
		slots: slots, total: config.Limits.MaxQueuedRequests,
		pauses:  retry.Backoff{Base: config.Ejection, Max: max(longestEjection, config.Ejection)},
		minions: map[string]*minion{}, queue: newQueue(), estimate: newEstimator(),
		credits: credits{},
	}
}

// acquire waits for a place. The waiter must get no other place before it has
// given this one back.
func (p *pool) acquire(ctx context.Context, w *waiter) grant {
	w.granted = make(chan grant, 1)
	p.mu.Lock()
	now := time.Now()
	if g, ok := p.place(w, now); ok {
		p.mu.Unlock()
		return g
	}
	if r := p.admit(w, now); r != nil {
		p.mu.Unlock()
		return grant{refusal: r}
	}
	p.queue.push(w)
	last := w.deadline.Add(-p.estimate.service(w.entry, w.given))
	p.mu.Unlock()
	return p.await(ctx, w, last)
}

// await waits for the grant of a queued waiter until the last useful time.
func (p *pool) await(ctx context.Context, w *waiter, last time.Time) grant {
	timer := time.NewTimer(max(time.Until(last), 0))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	waiting := p.queue.remove(w)
	wait := p.estimate.wait(p.queue.ahead(w.rank), p.capacity())
	p.mu.Unlock()
	if !waiting {
		return <-w.granted
	}
	return grant{refusal: &refusal{Overloaded, "the deadline came while the request waited for a minion", max(wait, leastRetryAfter)}}
}

// place returns a free minion of this daemon, or else a peer with free slots.
// A daemon that has no minion in service relies on the queues of its peers.
func (p *pool) place(w *waiter, now time.Time) (grant, bool) {
	m := p.freeMinion(w, now)
	if m == nil || w.job.excludesMinion(m.vm.ID) {
		if vm := p.peerFor(w, now, p.capacity() == 0); vm != "" {
			p.credits.spend(vm)
			return grant{peer: vm}, true
		}
	}
	if m == nil {
		return grant{}, false
	}
	return p.take(m, w), true
}

// take gives a slot of the minion to the waiter.
func (p *pool) take(m *minion, w *waiter) grant {
	m.busy++
	if w.rank == 0 {
		p.reserve.add()
	}
	return grant{minion: m}
}

// freeMinion returns the usable minion with the fewest requests; ties are broken
// at random, so that daemons that start together spread their requests. Minions
// that failed the request are used again only when no other is in service: a
// request that excludes all minions would wait until its deadline.
func (p *pool) freeMinion(w *waiter, now time.Time) *minion {
	if kept := p.reserve.kept(p.capacity()); w.rank > 0 && kept > 0 && p.unused(now) <= kept {
		return nil
	}
	var best *minion
	ties := 0
	all := w.job.excludesNothing() || !p.othersServe(w.job)
	for _, m := range p.owned {
		switch {
		case !m.usable(now, p.slots) || !all && w.job.excludesMinion(m.vm.ID):
		case best == nil || m.busy < best.busy:
			best, ties = m, 1
		case m.busy == best.busy:
			if ties++; rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

// othersServe tells whether a minion that the request does not exclude is in service.
func (p *pool) othersServe(j *job) bool {
	return slices.ContainsFunc(p.owned, func(m *minion) bool { return m.serving() && !j.excludesMinion(m.vm.ID) })
}

// admit decides whether a request that found no place may wait.
func (p *pool) admit(w *waiter, now time.Time) *refusal {
	if len(p.owned) == 0 || p.capacity() == 0 && !w.mayForward {
		return &refusal{Unavailable, "no minion can be reached now", retryAfterUnavailable}
	}
	wait := p.estimate.wait(p.queue.ahead(w.rank), p.capacity())
	need := wait + p.estimate.service(w.entry, w.given)
	if left := w.deadline.Sub(now); need > left {
		return &refusal{Overloaded, "the deadline cannot be met", max(need-left, leastRetryAfter)}
	}
	if w.maxQueued > 0 && p.queue.entries[w.entry] >= w.maxQueued {
		return &refusal{Overloaded, "too many requests to this entry are waiting", max(wait, leastRetryAfter)}
	}
	if p.total > 0 && p.queue.total >= p.total {
		return p.makeRoom(w, wait)
	}
	return nil
}

// makeRoom refuses the newest waiter of a lower urgency, or else the new one.
func (p *pool) makeRoom(w *waiter, wait time.Duration) *refusal {
	r := &refusal{Overloaded, "too many requests are waiting", max(wait, leastRetryAfter)}
	victim := p.queue.newestBelow(w.rank)
	if victim == nil {
		return r
	}
	p.answer(victim, grant{refusal: r})
	return nil
}

// capacity returns the slots that can serve the queue.
func (p *pool) capacity() int {
	n := 0
	for _, m := range p.owned {
		if m.serving() {
			n += p.slots - m.late
		}
	}
	return n
}

// release gives a place on a minion back with what was learnt about it.
func (p *pool) release(m *minion, j *job, o observation, reason string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.busy--
	if rank(j.Urgency) == 0 {
		p.reserve.busy--
	}
	switch o {
	case answered:
		p.estimate.observe(j.Submit.Entry, took)
	case cutOff:
		p.estimate.observeCut(j.Submit.Entry, took)
	}
	before := m.status()
	m.observe(o, reason, time.Now(), p.fewServe(), p.pauses)
	if after := m.status(); after != before {
		p.log.Info("Minion changed state.", zap.String("minion", m.vm.ID), zap.String("from", before),
			zap.String("to", after), zap.String("reason", reason))
	}
	p.pump(time.Now())
}

// hangs tells whether a request to the entry took so long that its minion must be at fault.
func (p *pool) hangs(entry string, took time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return took >= hangFactor*p.estimate.mean(entry)
}

// fewServe tells whether most of the own minions are out of service.
func (p *pool) fewServe() bool {
	serving := 0
	for _, m := range p.owned {
		if m.serving() {
			serving++
		}
	}
	return serving < len(p.owned)/leastServing
}

// markLate records that a claimed request has passed its deadline and keeps its
// slot, or, with a negative change, that its answer has come. Waiting requests
// cannot count on that slot.
func (p *pool) markLate(m *minion, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.late += change
}

// markHanging counts a request that took much too long as a failure, without
// waiting for the end of its connection.
func (p *pool) markHanging(m *minion, entry string, took time.Duration) {
	if !p.hangs(entry, took) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.observe(failing, "no answer by the deadline", time.Now(), p.fewServe(), p.pauses)
}

// markLeaving takes a minion out for good because it said that it leaves.
func (p *pool) markLeaving(m *minion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.leaving = true
}

// pump gives free slots to waiters. Waiters that can no longer meet their
// deadline are refused instead of taking a slot from those that can.
func (p *pool) pump(now time.Time) {
	for p.queue.total > 0 {
		var m *minion
		w := p.queue.next(func(w *waiter) bool {
			m = p.freeMinion(w, now)
			return m != nil
		})
		if w == nil {
			return
		}
		if w.deadline.Sub(now) < p.estimate.service(w.entry, w.given) {
			p.answer(w, grant{refusal: &refusal{Overloaded, "the deadline came while the request waited for a minion",
				max(p.estimate.wait(p.queue.ahead(w.rank), p.capacity()), leastRetryAfter)}})
			continue
		}
		p.queue.served(w.rank)
		p.answer(w, p.take(m, w))
	}
}

func (p *pool) answer(w *waiter, g grant) {
	if p.queue.remove(w) {
		w.granted <- g
	}
}

// refresh computes ownership anew and offers waiting requests to peers.
func (p *pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.learnLeaving()
	p.own()
	p.reserve.decay()
	p.pump(now)
	p.offerToPeers(now)
	p.free.Store(int64(p.countFree(now)))
	p.scope.Gauge("queued").Update(float64(p.queue.total))
}

// offerToPeers forwards waiting requests to peers with free slots. It ends at
// the first request that no peer takes, which keeps it cheap for long queues.
func (p *pool) offerToPeers(now time.Time) {
	for _, w := range p.queue.all() {
		if !w.mayForward {
			if len(p.owned) == 0 {
				p.answer(w, grant{refusal: &refusal{Unavailable, "this daemon owns no minion now", leastRetryAfter}})
			}
			continue
		}
		g, ok := p.place(w, now)
		if ok {
			p.answer(w, g)
		} else if w.job.excludesNothing() {
			return
		}
	}
}

func (p *pool) countFree(now time.Time) int {
	return max(0, p.unused(now)-p.reserve.kept(p.capacity())-p.queue.total)
}

// unused returns the slots of the own minions in service that hold no request.
func (p *pool) unused(now time.Time) int {
	free := 0
	for _, m := range p.owned {
		if m.serving() && m.usable(now, p.slots) {
			free += p.slots - m.busy
		}
	}
	return free
}

func zoneIsOut(c api.Configuration, zone string) bool {
	for _, z := range c.Head.Zones {
		if z.Name == zone {
			return z.State == api.Out
		}
	}
	return false
}
