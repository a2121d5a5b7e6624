package router

import (
	"math/rand/v2"
	"time"

	"github.com/samphirepath/samphirepath/internal/peers"
)

// creditTTL is the time for which forwards are counted against an advertised number
// of free slots. After it, the number in the newest heartbeat already takes them into
// account. It equals the default interval of heartbeats.
const creditTTL = 250 * time.Millisecond

// peerCredit counts the forwards to a peer since the peer advertised its free slots.
type peerCredit struct {
	advertised int
	receivedAt time.Time
	inUse      int
	refused    bool // a forward was refused, so the peer has no free slot
}

// credits tracks by VM how many requests each peer can still take: its advertised
// free slots less the forwards in flight to it. It is guarded by the mutex of the
// pool.
type credits map[string]*peerCredit

func (c credits) remaining(m peers.Member, now time.Time) int {
	credit, ok := c[m.VM]
	if !ok || credit.advertised != m.FreeSlots || now.Sub(credit.receivedAt) > creditTTL {
		credit = &peerCredit{advertised: m.FreeSlots, receivedAt: now}
		c[m.VM] = credit
	}
	if credit.refused {
		return 0
	}
	return max(0, credit.advertised-credit.inUse)
}

func (c credits) spend(vm string) {
	if credit, ok := c[vm]; ok {
		credit.inUse++
	}
}

// release returns the credit of a forward that has ended. A peer that refused the
// forward counts as having no free slots until its credit is renewed.
func (c credits) release(vm string, refused bool) {
	credit, ok := c[vm]
	if !ok {
		return
	}
	credit.inUse = max(0, credit.inUse-1)
	credit.refused = credit.refused || refused
}

// selectPeer returns the live peer with the most free slots and prefers peers of
// its own zone. With allowFull it also returns a peer without free slots, in whose
// queue the request then waits.
func (p *pool) selectPeer(w *waiter, now time.Time, allowFull bool) string {
	if !w.mayForward {
		return ""
	}
	configuration, zone := p.view.Current(), p.network.Self().Zone
	best, bestFree, bestIsLocal, ties := "", 0, false, 0
	for _, m := range p.network.Members() {
		if m.State != peers.Live || w.request.excludesPeer(m.VM) || isZoneOutOfService(configuration, m.Zone) {
			continue
		}
		free, isLocal := p.credits.remaining(m, now), m.Zone == zone
		if free == 0 && !allowFull {
			continue
		}
		switch {
		case best == "" || preferPeer(free, isLocal, bestFree, bestIsLocal):
			best, bestFree, bestIsLocal, ties = m.VM, free, isLocal, 1
		case free == bestFree && isLocal == bestIsLocal:
			if ties++; rand.IntN(ties) == 0 {
				best = m.VM
			}
		}
	}
	return best
}

// preferPeer reports whether a peer is better than the best one so far. Peers with
// free slots come first, then peers of the same zone, then those with more free
// slots.
func preferPeer(free int, isLocal bool, bestFree int, bestIsLocal bool) bool {
	if (free > 0) != (bestFree > 0) {
		return free > 0
	}
	if isLocal != bestIsLocal {
		return isLocal
	}
	return free > bestFree
}

// endForward records the end of a forward to a peer.
func (p *pool) endForward(vm string, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credits.release(vm, refused)
}
