package configuration

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
)

// Bounds of the confirmation through peers.
const (
	// hedgeDelay is how long the direct read may take before the peers are asked
	// in parallel. Asking the peers only after the read has failed would take too
	// long when the store is slow.
	hedgeDelay = 300 * time.Millisecond
	// maxConfirmPeers bounds the number of peers that are asked in parallel.
	maxConfirmPeers = 3
)

// ConfirmZone returns a confirmation of the zone's state. The confirmation was
// requested at most maxAge ago. It comes from the last read of the head if that is
// recent enough, else from a new one. If the new read fails or is slow, ConfirmZone
// asks peers.
func (s *Service) ConfirmZone(ctx context.Context, zone string, maxAge time.Duration) (Confirmation, error) {
	ctx, span := s.config.Tracer.Start(ctx, "confirm zone")
	defer span.End()
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout+hedgeDelay)
	defer cancel()
	direct := make(chan confirmResult, 1)
	go func() { direct <- s.confirmFromStore(ctx, zone, requestedAt.Add(-maxAge)) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case c := <-direct:
		if c.err == nil {
			return c.Confirmation, nil
		}
		return s.confirmThroughPeers(ctx, zone, nil, c.err)
	case <-hedge.C:
		return s.confirmThroughPeers(ctx, zone, direct, nil)
	case <-ctx.Done():
		return Confirmation{}, eris.Wrap(ctx.Err(), errNoConfirmation.Error())
	}
}

// confirmResult is a confirmation or the error that prevented it.
type confirmResult struct {
	Confirmation
	err error
}

func (s *Service) confirmFromStore(ctx context.Context, zone string, notBefore time.Time) confirmResult {
	r, err := s.reads.readSince(ctx, notBefore)
	if err == nil && r.head.Revision < s.Current().Head.Revision {
		// A peer has delivered a newer revision since the read, which may have
		// changed the state of the zone.
		r, err = s.reads.readSince(ctx, time.Now())
	}
	if err != nil {
		return confirmResult{err: err}
	}
	if current := s.Current().Head.Revision; r.head.Revision < current {
		return confirmResult{err: eris.Errorf("the table service holds revision %d, older than revision %d in force", r.head.Revision, current)}
	}
	return confirmResult{Confirmation: Confirmation{
		Zone: zone, State: zoneState(r.head, zone), Revision: r.head.Revision, RequestedAt: r.requestedAt,
	}}
}

// zoneState returns the state of a zone in the head. A zone that the head does not
// name has never been taken out of service.
func zoneState(head api.ConfigurationHead, zone string) api.ZoneState {
	for _, z := range head.Zones {
		if z.Name == zone {
			return z.State
		}
	}
	return api.In
}

// confirmThroughPeers asks peers and returns the first confirmation. If the direct read
// is still running, direct receives its result, else direct is nil. If the direct read
// has failed, lastErr is its error.
func (s *Service) confirmThroughPeers(ctx context.Context, zone string, direct <-chan confirmResult, lastErr error) (Confirmation, error) {
	candidates := s.confirmCandidates()
	answers := make(chan confirmResult, len(candidates))
	for _, vm := range candidates {
		go func() { answers <- s.confirmFromPeer(ctx, vm, zone) }()
	}
	pending := len(candidates)
	for pending > 0 || direct != nil {
		var c confirmResult
		select {
		case c = <-answers:
			pending--
		case c = <-direct:
			direct = nil
		case <-ctx.Done():
			return Confirmation{}, eris.Wrap(ctx.Err(), errNoConfirmation.Error())
		}
		if c.err == nil {
			return c.Confirmation, nil
		}
		lastErr = c.err
	}
	if lastErr == nil {
		return Confirmation{}, eris.Wrap(errNoConfirmation, "no peer is linked")
	}
	return Confirmation{}, eris.Wrap(lastErr, errNoConfirmation.Error())
}

// confirmCandidates returns the peers that are most likely to reach the store:
// those with the most recent answer from it.
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

func (s *Service) confirmFromPeer(ctx context.Context, vm, zone string) confirmResult {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	answer, status := s.config.Network.Call(ctx, vm, api.PeerEnvelope{
		ZoneConfirmRequest: &api.PeerZoneConfirmRequest{Zone: zone},
	})
	switch {
	case status != peers.Answered || answer.ZoneConfirm == nil:
		return confirmResult{err: eris.Errorf("peer %s did not answer", vm)}
	case !answer.ZoneConfirm.Ok:
		return confirmResult{err: eris.Errorf("peer %s could not confirm the zone from the table service", vm)}
	case answer.ZoneConfirm.Revision < s.Current().Head.Revision:
		return confirmResult{err: eris.Errorf("peer %s read an older revision than the one in force", vm)}
	case !answer.ZoneConfirm.State.Valid():
		return confirmResult{err: eris.Errorf("peer %s answered with an unknown state", vm)}
	}
	s.config.HighestRevision.Raise(answer.ZoneConfirm.Revision)
	return confirmResult{Confirmation: Confirmation{
		Zone: zone, State: answer.ZoneConfirm.State, Revision: answer.ZoneConfirm.Revision, RequestedAt: requestedAt,
	}}
}

// serveConfirmation answers a peer from a read that begins after the request of
// the peer arrived. It never forwards the request to another daemon.
func (s *Service) serveConfirmation(ctx context.Context, _ peers.Member, envelope *api.PeerEnvelope) *api.PeerEnvelope {
	c := s.confirmFromStore(ctx, envelope.ZoneConfirmRequest.Zone, time.Now())
	answer := &api.PeerZoneConfirm{}
	if c.err == nil {
		answer = &api.PeerZoneConfirm{Ok: true, State: c.State, Revision: c.Revision}
	}
	return &api.PeerEnvelope{ZoneConfirm: answer}
}
