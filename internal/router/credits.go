package router

import (
	"math/rand/v2"
	"time"

	"github.com/samphirepath/samphirepath/internal/peers"
)

// creditWindow is the time after which an announced number of free slots is
// trusted again: the interval of heartbeats.
const creditWindow = 250 * time.Millisecond

// credit counts the forwards to a peer since its announcement was taken.
type credit struct {
	announced int
	taken     time.Time
	spent     int
	refused   bool
}

// credits holds the free slots of peers, less the forwards sent to them. It is
// guarded by the pool.
type credits map[string]*credit

func (c credits) left(m peers.Member, now time.Time) int {
	k, ok := c[m.VM]
	if !ok || k.announced != m.FreeSlots || now.Sub(k.taken) > creditWindow {
		k = &credit{announced: m.FreeSlots, taken: now}
		c[m.VM] = k
	}
	if k.refused {
		return 0
	}
	return max(0, k.announced-k.spent)
}

func (c credits) spend(vm string) {
	if k, ok := c[vm]; ok {
		k.spent++
	}
}

// giveBack records the end of a forward; a peer that refused has no free slot.
func (c credits) giveBack(vm string, refused bool) {
	k, ok := c[vm]
	if !ok {
		return
	}
	k.spent = max(0, k.spent-1)
	k.refused = k.refused || refused
}

// peerFor returns the live peer with the most free slots, of the own zone first.
// With anyway set, a peer without free slots is returned rather than none, and
// the request waits in its queue.
func (p *pool) peerFor(w *waiter, now time.Time, anyway bool) string {
	if !w.mayForward {
		return ""
	}
	configuration, zone := p.view.Current(), p.network.Self().Zone
	best, bestLeft, bestOwn, ties := "", 0, false, 0
	for _, m := range p.network.Members() {
		if m.State != peers.Live || w.job.excludesPeer(m.VM) || zoneIsOut(configuration, m.Zone) {
			continue
		}
		left, own := p.credits.left(m, now), m.Zone == zone
		if left == 0 && !anyway {
			continue
		}
		switch {
		case best == "" || better(left, own, bestLeft, bestOwn):
			best, bestLeft, bestOwn, ties = m.VM, left, own, 1
		case left == bestLeft && own == bestOwn:
			if ties++; rand.IntN(ties) == 0 {
				best = m.VM
			}
		}
	}
	return best
}

// better prefers peers with free slots, then the own zone, then more free slots.
func better(left int, own bool, bestLeft int, bestOwn bool) bool {
	if (left > 0) != (bestLeft > 0) {
		return left > 0
	}
	if own != bestOwn {
		return own
	}
	return left > bestLeft
}

// forwarded records the end of a forward to a peer.
func (p *pool) forwarded(vm string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credits.giveBack(vm, refused)
}
