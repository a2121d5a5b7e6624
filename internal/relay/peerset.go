package relay

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirepath/samphirepath/api"
)

const (
	// maxPeers bounds the peers that are tried for one operation.
	maxPeers = 3
	// peerBackoff is how long a peer is not tried after a failure.
	peerBackoff = 2 * time.Second
	// maxFailedPeers is the number of peers that have failed within peerBackoff at which
	// no further one is tried: the store is then away for all, not for a few. It bounds
	// the connections that a daemon opens during an outage. A third of all daemons can be
	// cut off from the store before one daemon in a thousand meets only such peers.
	maxFailedPeers = 8
)

// peerSet holds the peers of a daemon in the order in which they are tried, and which
// of them have failed.
type peerSet struct {
	peers map[string]*peer // by name
	// ranked holds the names of the peers by preference. Each daemon has an order of its
	// own that does not change while the peers are the same, so operations go to a few
	// stable peers and the load on them is even.
	ranked   []string
	failedAt map[string]time.Time
	// succeededAt is when each peer last reached the store for this daemon.
	succeededAt map[string]time.Time
	preferred   string // peer of the last successful operation
	// ips holds the IP addresses of the peers; nil until they have been listed.
	ips map[string]bool
	// memory holds the memory of the machines of the peers, in bytes.
	memory []int64
}

func newPeerSet() peerSet {
	return peerSet{peers: map[string]*peer{}, failedAt: map[string]time.Time{}, succeededAt: map[string]time.Time{}}
}

// update replaces the announced peers. It keeps those that are announced with the same
// address and returns the others.
func (s *peerSet) update(self, zone string, announced map[string]api.RelayPeer) (removed []*peer) {
	for name, p := range s.peers {
		if announced[name].Address != p.address {
			removed = append(removed, p)
			delete(s.peers, name)
			delete(s.failedAt, name)
			delete(s.succeededAt, name)
		}
	}
	for name, announcement := range announced {
		if s.peers[name] == nil {
			s.peers[name] = newPeer(announcement.Address)
		}
	}
	s.ips, s.memory = map[string]bool{}, nil
	for _, announcement := range announced {
		s.memory = append(s.memory, announcement.MemoryBytes)
		if ip, _, err := net.SplitHostPort(announcement.Address); err == nil {
			s.ips[ip] = true
		}
	}
	s.ranked = rankPeers(self, zone, announced)
	return removed
}

// rankPeers orders peers by a hash of both names (rendezvous hashing). Peers in the
// same zone and in other zones alternate: the first are closest, the others still have
// a path when the whole zone has none.
func rankPeers(self, zone string, announced map[string]api.RelayPeer) []string {
	var near, far []string
	for name, announcement := range announced {
		if announcement.Zone == zone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	byHash := func(a, b string) int {
		x, y := xxhash.Sum64String(self+"\x00"+a), xxhash.Sum64String(self+"\x00"+b)
		if x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	}
	slices.SortFunc(near, byHash)
	slices.SortFunc(far, byHash)
	var ranked []string
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			ranked = append(ranked, near[i])
		}
		if i < len(far) {
			ranked = append(ranked, far[i])
		}
	}
	return ranked
}

// candidates returns the peers to try, the one of the last success first, without those
// that have failed recently. It returns no new ones once maxFailedPeers have.
func (s *peerSet) candidates(now time.Time) []string {
	var names []string
	if s.peers[s.preferred] != nil && !s.failedRecently(s.preferred, now) {
		names = append(names, s.preferred)
	}
	failed := 0
	for name := range s.failedAt {
		if s.failedRecently(name, now) {
			failed++
		}
	}
	limit := min(maxPeers, maxFailedPeers-failed)
	for _, name := range s.ranked {
		if len(names) >= limit {
			break
		}
		if name != s.preferred && !s.failedRecently(name, now) {
			names = append(names, name)
		}
	}
	return names
}

func (s *peerSet) failedRecently(name string, now time.Time) bool {
	at, failed := s.failedAt[name]
	return failed && now.Sub(at) <= peerBackoff
}

func (s *peerSet) recordSuccess(name string, now time.Time) {
	s.preferred = name
	s.succeededAt[name] = now
	delete(s.failedAt, name)
}

func (s *peerSet) recordFailure(name string, now time.Time) {
	s.failedAt[name] = now
	delete(s.succeededAt, name)
}
