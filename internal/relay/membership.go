package relay

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

// listInterval returns the time between two listings of the peers.
func (s *Store) listInterval(announced bool) time.Duration {
	if !announced {
		return listEvery
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return listEvery * time.Duration(max(peersAtListEvery, len(s.peers.peers))) / peersAtListEvery
}

// Withdraw removes the announcement of this daemon before it stops.
func (s *Store) Withdraw(ctx context.Context) {
	result := s.direct.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Delete: true}})
	if result.Status != table.Committed {
		s.log.Warn("Failed to withdraw the announcement of this daemon.", telemetry.ErrorField(result.Err))
	}
}

func (s *Store) announce(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	result := s.direct.Commit(ctx, nil, []table.Write{{Key: PeersPrefix + s.self, Value: value}})
	if result.Status != table.Committed {
		s.log.Warn("Failed to announce this daemon to its peers.", telemetry.ErrorField(result.Err))
	}
	return result.Status == table.Committed
}

// listPeers reads the announcements and updates the peers. It returns the announcements
// of all daemons by name.
func (s *Store) listPeers(ctx context.Context, zone string) (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	listing, err := s.direct.List(ctx, PeersPrefix, 0)
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	announced := map[string]api.RelayPeer{}
	for _, row := range listing.Rows {
		name := row.Key[len(PeersPrefix):]
		values[name] = row.Value
		var announcement api.RelayPeer
		if err := cbor.Unmarshal(row.Value, &announcement); err != nil {
			s.log.Warn("Invalid announcement of a peer ignored.", zap.String("peer", name), telemetry.ErrorField(err))
			continue
		}
		if name != s.self {
			announced[name] = announcement
		}
	}
	s.mu.Lock()
	removed := s.peers.update(s.self, zone, announced)
	close(s.listed)
	s.listed = make(chan struct{})
	s.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
	return values, nil
}

// PeerMemory returns the memory of the machine of each announced peer in bytes, 0 if it is not
// known.
func (s *Store) PeerMemory() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers.memory // replaced, never changed
}

// Verify returns what the announcements show about the address of a sender. An unknown one may
// belong to a daemon that has just joined, so it waits a little for another listing.
func (s *Store) Verify(ctx context.Context, ip string) Verification {
	verdict, listed := s.verify(ip)
	if verdict != Stranger {
		return verdict
	}
	s.strangers.Do(func() {
		s.listWanted.Store(true)
		s.wantPath()
	})
	select {
	case <-listed:
	case <-time.After(strangerWait):
	case <-ctx.Done():
	}
	verdict, _ = s.verify(ip)
	return verdict
}

// verify is Verify without another listing. The channel is closed after the next one.
func (s *Store) verify(ip string) (verdict Verification, listed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parsed := net.ParseIP(ip)
	switch {
	case s.peers.ips[ip]:
		return Announced, nil
	case parsed != nil && parsed.IsLoopback():
		return Unverified, nil
	case s.directFailed.Load() || s.peers.ips == nil:
		// The announcements cannot be read now. Operations on the store fail as well.
		return Unverified, nil
	}
	return Stranger, s.listed
}

// closeIdlePeers closes the unused connections to peers.
func (s *Store) closeIdlePeers(now time.Time) {
	s.mu.Lock()
	peers := slices.Collect(maps.Values(s.peers.peers))
	s.mu.Unlock()
	for _, p := range peers {
		p.closeIdle(now)
	}
}
