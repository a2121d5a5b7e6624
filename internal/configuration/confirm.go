package configuration

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
)

// Confirmations through peers.
const (
	// peerHedgeAfter is how long the own read may take before peers are asked as
	// well: a slow store leaves no time to ask them one after the other.
	peerHedgeAfter = 300 * time.Millisecond
	// maxConfirmPeers bounds the peers that are asked at a time.
	maxConfirmPeers = 3
)

// ConfirmZone returns a confirmation of the state of the zone that was requested
// within maxAge. It reads the head, and asks peers when the read fails or is slow.
func (s *Service) ConfirmZone(ctx context.Context, zone string, maxAge time.Duration) (Confirmation, error) {
	ctx, span := s.config.Tracer.Start(ctx, "confirm zone")
	defer span.End()
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout+peerHedgeAfter)
	defer cancel()
	own := make(chan confirmed, 1)
	go func() { own <- s.confirmSelf(ctx, zone, asked.Add(-maxAge)) }()
	hedge := time.NewTimer(peerHedgeAfter)
	defer hedge.Stop()
	select {
	case c := <-own:
		if c.err == nil {
			return c.Confirmation, nil
		}
		return s.confirmPeers(ctx, zone, nil, c.err)
	case <-hedge.C:
		return s.confirmPeers(ctx, zone, own, nil)
	case <-ctx.Done():
		return Confirmation{}, eris.Wrap(ctx.Err(), errNoConfirmation.Error())
	}
}

// confirmed is a confirmation or why there is none.
type confirmed struct {
	Confirmation
	err error
}

func (s *Service) confirmSelf(ctx context.Context, zone string, notBefore time.Time) confirmed {
	r, err := s.reads.newer(ctx, notBefore)
	if err == nil && r.head.Revision < s.Current().Head.Revision {
		// A peer has given a newer revision since; the read no longer tells
		// whether the zone is in service.
		r, err = s.reads.newer(ctx, time.Now())
	}
	if err != nil {
		return confirmed{err: err}
	}
	if held := s.Current().Head.Revision; r.head.Revision < held {
		return confirmed{err: eris.Errorf("the table service holds revision %d, older than revision %d in force", r.head.Revision, held)}
	}
	return confirmed{Confirmation: Confirmation{
		Zone: zone, State: stateOf(r.head, zone), Revision: r.head.Revision, Requested: r.requested,
	}}
}

// stateOf returns the state of a zone. A zone that the head does not name has
// never been taken out.
func stateOf(head api.ConfigurationHead, zone string) api.ZoneState {
	for _, z := range head.Zones {
		if z.Name == zone {
			return z.State
		}
	}
	return api.In
}

// confirmPeers asks the peers that reached the store last and returns the first
// confirmation, also that of the own read if it is still under way.
func (s *Service) confirmPeers(ctx context.Context, zone string, own <-chan confirmed, cause error) (Confirmation, error) {
	candidates := s.confirmCandidates()
	answers := make(chan confirmed, len(candidates))
	for _, vm := range candidates {
		go func() { answers <- s.confirmAt(ctx, vm, zone) }()
	}
	open := len(candidates)
	for open > 0 || own != nil {
		var c confirmed
		select {
		case c = <-answers:
			open--
		case c = <-own:
			own = nil
		case <-ctx.Done():
			return Confirmation{}, eris.Wrap(ctx.Err(), errNoConfirmation.Error())
		}
		if c.err == nil {
			return c.Confirmation, nil
		}
		cause = c.err
	}
	if cause == nil {
		return Confirmation{}, eris.Wrap(errNoConfirmation, "no peer is linked")
	}
	return Confirmation{}, eris.Wrap(cause, errNoConfirmation.Error())
}

// confirmCandidates returns the peers most likely to reach the store.
func (s *Service) confirmCandidates() []string {
	if s.config.Network == nil {
		return nil
	}
	members := s.config.Network.Members()
	members = slices.DeleteFunc(members, func(m peers.Member) bool { return m.State == peers.Silent })
	slices.SortStableFunc(members, func(a, b peers.Member) int { return int(a.StoreAge/time.Millisecond - b.StoreAge/time.Millisecond) })
	var vms []string
	for _, member := range members[:min(len(members), maxConfirmPeers)] {
		vms = append(vms, member.VM)
	}
	return vms
}

func (s *Service) confirmAt(ctx context.Context, vm, zone string) confirmed {
	requested := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	answer, status := s.config.Network.Call(ctx, vm, api.PeerEnvelope{
		ZoneConfirmRequest: &api.PeerZoneConfirmRequest{Zone: zone},
	})
	switch {
	case status != peers.Answered || answer.ZoneConfirm == nil:
		return confirmed{err: eris.Errorf("peer %s did not answer", vm)}
	case !answer.ZoneConfirm.Ok:
		return confirmed{err: eris.Errorf("peer %s does not reach the table service", vm)}
	case answer.ZoneConfirm.Revision < s.Current().Head.Revision:
		return confirmed{err: eris.Errorf("peer %s read an older revision than the one in force", vm)}
	case !answer.ZoneConfirm.State.Valid():
		return confirmed{err: eris.Errorf("peer %s answered with an unknown state", vm)}
	}
	s.config.HighestRevision.Raise(answer.ZoneConfirm.Revision)
	return confirmed{Confirmation: Confirmation{
		Zone: zone, State: answer.ZoneConfirm.State, Revision: answer.ZoneConfirm.Revision, Requested: requested,
	}}
}

// serveConfirmation answers a peer with a read that begins after its request
// arrived. It never asks a third daemon.
func (s *Service) serveConfirmation(ctx context.Context, _ peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	c := s.confirmSelf(ctx, envelope.ZoneConfirmRequest.Zone, time.Now())
	answer := &api.PeerZoneConfirm{}
	if c.err == nil {
		answer = &api.PeerZoneConfirm{Ok: true, State: c.State, Revision: c.Revision}
	}
	return &api.PeerEnvelope{ZoneConfirm: answer}
}
