package relay

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

// daemons is the size of the fleet in these specs, that of a large deployment.
const daemons = 150

// largeFleet returns the announcements of all daemons of a fleet in six zones.
func largeFleet() map[string]api.RelayPeer {
	fleet := map[string]api.RelayPeer{}
	for i := range daemons {
		fleet[fmt.Sprintf("daemon-%d", i)] = api.RelayPeer{Address: fmt.Sprintf("10.0.0.%d:7000", i), Zone: fmt.Sprintf("z%d", i%6)}
	}
	return fleet
}

// peerSetOf returns the peer set of one daemon of a fleet.
func peerSetOf(self string, fleet map[string]api.RelayPeer) *peerSet {
	peers := map[string]api.RelayPeer{}
	for name, announcement := range fleet {
		if name != self {
			peers[name] = announcement
		}
	}
	s := newPeerSet()
	s.update(self, fleet[self].Zone, peers)
	return &s
}

var _ = Describe("the peers of a daemon", func() {
	start := time.Now()

	// Guards against a full mesh of connections: while the store is away for all, each
	// operation of each daemon used to move on to peers that it had not tried.
	It("are a bounded few while the store is away for all 150 daemons", func() {
		fleet := largeFleet()
		contacted := map[string]int{}
		for self := range fleet {
			set := peerSetOf(self, fleet)
			tried := map[string]bool{}
			for at := time.Duration(0); at < 10*time.Second; at += 25 * time.Millisecond {
				for _, name := range set.candidates(start.Add(at)) {
					tried[name] = true
					set.recordFailure(name, start.Add(at))
				}
			}
			Expect(len(tried)).To(BeNumerically("<=", maxFailedPeers))
			for name := range tried {
				contacted[name]++
			}
		}
		for name, n := range contacted {
			Expect(n).To(BeNumerically("<", 4*maxFailedPeers), name)
		}
	})

	// Guards against daemons without a path although two thirds of their peers have one.
	It("include one with a path while the store turns a third of 150 daemons away", func() {
		fleet := largeFleet()
		hasPath := func(name string) bool { return len(name)%3 != 0 || name[len(name)-1]%2 == 0 }
		refused := 0
		for self := range fleet {
			if hasPath(self) {
				continue
			}
			refused++
			set := peerSetOf(self, fleet)
			found := false
			for range maxFailedPeers {
				for _, name := range set.candidates(start) {
					if hasPath(name) {
						set.recordSuccess(name, start)
						found = true
						break
					}
					set.recordFailure(name, start)
				}
			}
			Expect(found).To(BeTrue(), self)
			Expect(set.candidates(start)).NotTo(BeEmpty())
		}
		Expect(refused).To(BeNumerically(">", 0))
	})

	// Guards against daemons of a zone that ask only each other while the zone is cut off.
	It("are in the same zone and in others by turns", func() {
		fleet := largeFleet()
		set := peerSetOf("daemon-7", fleet)
		zones := map[bool]int{}
		for _, name := range set.candidates(start) {
			zones[fleet[name].Zone == fleet["daemon-7"].Zone]++
		}
		Expect(zones).To(Equal(map[bool]int{true: 2, false: 1}))
	})

	It("keep their order when another one joins", func() {
		fleet := largeFleet()
		before := peerSetOf("daemon-7", fleet).ranked
		fleet["another"] = api.RelayPeer{Address: "10.0.1.1:7000", Zone: "z0"}
		var after []string
		for _, name := range peerSetOf("daemon-7", fleet).ranked {
			if name != "another" {
				after = append(after, name)
			}
		}
		Expect(after[:8]).To(ContainElements(before[:6]))
	})
})
