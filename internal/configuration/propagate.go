package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
)

// peerRetryDelay is the delay before the peers are asked again for a revision that
// is known to exist and that none of them has delivered yet.
const peerRetryDelay = 100 * time.Millisecond

// followPeers fetches a revision from the peers as soon as one above the current
// revision has been announced.
func (s *Service) followPeers(ctx context.Context) {
	for {
		raised, adopted := s.config.HighestRevision.Changed(), s.current.Changed()
		behind := s.isBehind()
		if behind {
			s.fetchFromPeers(ctx)
		}
		if !s.waitForRevision(ctx, raised, adopted, behind && s.isBehind()) {
			return
		}
	}
}

func (s *Service) isBehind() bool {
	return s.config.HighestRevision.Value() > s.Current().Head.Revision
}

// waitForRevision waits until a revision is announced or adopted or, if retry is set,
// until peerRetryDelay has passed. It returns false when ctx has ended.
func (s *Service) waitForRevision(ctx context.Context, raised, adopted <-chan struct{}, retry bool) bool {
	var retryTick <-chan time.Time
	if retry {
		timer := time.NewTimer(peerRetryDelay)
		defer timer.Stop()
		retryTick = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-raised:
	case <-adopted:
	case <-retryTick:
	}
	return true
}

// fetchFromPeers asks the peers that announce a higher revision, one after the
// other, until this daemon is up to date.
func (s *Service) fetchFromPeers(ctx context.Context) {
	self := s.config.Network.Self()
	members := s.config.Network.Members()
	current := s.Current().Head.Revision
	members = slices.DeleteFunc(members, func(m peers.Member) bool { return m.State == peers.Silent || m.Revision <= current })
	// Without the shuffle all daemons would ask the same peer first.
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b peers.Member) int { return distance(self, a) - distance(self, b) })
	for _, member := range members {
		if !s.isBehind() || ctx.Err() != nil {
			return
		}
		s.fetchFromPeer(ctx, member.VM)
	}
}

// distance returns 0 for a peer in the zone of this daemon and 1 for any other.
func distance(self, member peers.Member) int {
	if self.Zone == member.Zone {
		return 0
	}
	return 1
}

func (s *Service) fetchFromPeer(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	answer, status := s.config.Network.Call(ctx, vm, api.PeerEnvelope{
		ConfigurationRequest: &api.PeerConfigurationRequest{Above: s.Current().Head.Revision},
	})
	if status != peers.Answered || answer.Configuration == nil || answer.Configuration.Configuration == nil {
		s.logger.Debug("Peer did not return a newer configuration.", zap.String("peer", vm))
		return
	}
	received := *answer.Configuration.Configuration
	if current := s.Current(); current.Head.Revision > 0 && current.Head.CatalogueRevision == received.Head.CatalogueRevision {
		received.Catalogue = current.Catalogue // omitted by the peer because it is unchanged
	}
	s.adopt(received, vm)
}

// serveConfiguration answers a peer with the configuration if it is newer than
// that of the peer. It omits a catalogue that has not changed since the revision of
// the peer: zones change often and a catalogue is large.
func (s *Service) serveConfiguration(_ context.Context, _ peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	answer := &api.PeerConfiguration{}
	if current := s.Current(); current.Head.Revision > envelope.ConfigurationRequest.Above {
		if above := envelope.ConfigurationRequest.Above; above > 0 && current.Head.CatalogueRevision <= above {
			current.Catalogue = api.Catalogue{}
		}
		answer.Configuration = &current
	}
	return &api.PeerEnvelope{Configuration: answer}
}
