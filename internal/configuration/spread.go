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

// askAgainAfter is the pause before peers are asked again for a revision that
// is known to exist and that none of them could give yet.
const askAgainAfter = 100 * time.Millisecond

// followPeers asks a peer as soon as a revision above the one held is heard of.
func (s *Service) followPeers(ctx context.Context) {
	for {
		seen, taken := s.config.HighestRevision.Changed(), s.held.Changed()
		behind := s.behind()
		if behind {
			s.askPeers(ctx)
		}
		if !s.waitForNews(ctx, seen, taken, behind && s.behind()) {
			return
		}
	}
}

func (s *Service) behind() bool { return s.config.HighestRevision.Value() > s.Current().Head.Revision }

// waitForNews returns false when ctx has ended.
func (s *Service) waitForNews(ctx context.Context, seen, taken <-chan struct{}, retry bool) bool {
	var again <-chan time.Time
	if retry {
		timer := time.NewTimer(askAgainAfter)
		defer timer.Stop()
		again = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-seen:
	case <-taken:
	case <-again:
	}
	return true
}

// askPeers asks the peers that announce a higher revision, until one gives it.
func (s *Service) askPeers(ctx context.Context) {
	self := s.config.Network.Self()
	members := s.config.Network.Members()
	held := s.Current().Head.Revision
	members = slices.DeleteFunc(members, func(m peers.Member) bool { return m.State == peers.Silent || m.Revision <= held })
	// Without the shuffle all daemons would ask the same peer first.
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b peers.Member) int { return distance(self, a) - distance(self, b) })
	for _, member := range members {
		if !s.behind() || ctx.Err() != nil {
			return
		}
		s.askPeer(ctx, member.VM)
	}
}

// distance prefers peers in the own zone.
func distance(self, member peers.Member) int {
	if self.Zone == member.Zone {
		return 0
	}
	return 1
}

func (s *Service) askPeer(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	answer, status := s.config.Network.Call(ctx, vm, api.PeerEnvelope{
		ConfigurationRequest: &api.PeerConfigurationRequest{Above: s.Current().Head.Revision},
	})
	if status != peers.Answered || answer.Configuration == nil || answer.Configuration.Configuration == nil {
		s.logger.Debug("Peer gave no newer configuration.", zap.String("peer", vm))
		return
	}
	given := *answer.Configuration.Configuration
	if held := s.Current(); held.Head.Revision > 0 && held.Head.CatalogueRevision == given.Head.CatalogueRevision {
		given.Catalogue = held.Catalogue // left out by the peer
	}
	s.take(given, vm)
}

// serveConfiguration answers a peer with the configuration if it is newer than
// the peer's. The catalogue is left out when it has not changed since the peer's
// revision: changes of zones are frequent and a catalogue is large.
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
