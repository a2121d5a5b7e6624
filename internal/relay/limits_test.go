package relay

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// closeNever is for frames and connections that a test expects not to be closed.
func closeNever(t *testing.T) func() {
	return func() { t.Error("closed") }
}

// Guards against large frames that do not end and keep small ones from peers out.
func TestFrameBudgetClosesTheLargestFrameThatArrives(t *testing.T) {
	b := newFrameBudget(10_000)
	closed := make(chan struct{})
	large, small := &inboundFrame{budget: b, close: func() { close(closed) }}, &inboundFrame{budget: b, close: closeNever(t)}
	b.arriving[large], b.arriving[small] = struct{}{}, struct{}{}
	if err := large.charge(8_000); err != nil {
		t.Fatal(err)
	}
	if err := small.charge(3_000); err != nil {
		t.Fatalf("a small frame is refused beside a large one: %v", err)
	}
	<-closed
	if err := large.charge(1); !eris.Is(err, errFrames) {
		t.Errorf("the large frame goes on: %v", err)
	}
	if b.used != 3_000 {
		t.Errorf("%d bytes are charged, want 3000", b.used)
	}
}

// Guards against an operation that loses its frame while it is executed.
func TestFrameBudgetKeepsCompleteFrames(t *testing.T) {
	const limit = 200_000
	b := newFrameBudget(limit)
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, firstBufferBytes + pieceBytes, 70_000} {
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(i % 251)
		}
		complete := &inboundFrame{budget: b, close: closeNever(t)}
		data, err := complete.readAll(bytes.NewReader(sent))
		if err != nil || !bytes.Equal(data, sent) || !complete.complete() {
			t.Fatalf("%d bytes: read %d bytes: %v", size, len(data), err)
		}
		if complete.held > int64(firstBufferBytes+size) {
			t.Errorf("%d bytes: the frame stays charged with %d", size, complete.held)
		}
		late := &inboundFrame{budget: b, close: func() {}}
		if err := late.charge(limit); !eris.Is(err, errFrames) {
			t.Errorf("a frame beyond the budget is accepted: %v", err)
		}
		complete.releaseAll()
		if b.used != 0 {
			t.Errorf("%d bytes: %d are charged after the end", size, b.used)
		}
	}
}

// Guards against senders that are no daemons and use up the connections of the peers.
func TestConnectionsOfKnownAddressesAreTheirOwn(t *testing.T) {
	cs := &connections{all: map[*served]struct{}{}, limits: Limits{Connections: 8, Verify: func(_ context.Context, ip string) Verification {
		switch ip {
		case "10.0.0.1":
			return Announced
		case "10.9.9.9":
			return Stranger
		}
		return Unverified
	}}.withDefaults()}
	now := time.Now()
	admit := func(ip string, after time.Duration) *served {
		r := httptest.NewRequest("GET", relayPath, nil)
		r.RemoteAddr = ip + ":1"
		return cs.admit(r, func() time.Time { return now.Add(after) })
	}
	if admit("10.9.9.9", 0) != nil {
		t.Error("an address that no daemon has announced is served")
	}
	var busy []*served
	for range 4 {
		s := admit("127.0.0.1", 0)
		if s == nil {
			t.Fatal("an address that is not verified is refused below the limit")
		}
		cs.use(s)
		busy = append(busy, s)
	}
	if admit("127.0.0.1", time.Second) != nil {
		t.Error("addresses that are not verified get more than half of the connections")
	}
	for range maxPerAddress {
		if admit("10.0.0.1", 0) == nil {
			t.Error("a daemon is refused because of other addresses")
		}
	}
	if admit("10.0.0.1", minIdleTime/2) != nil {
		t.Error("an address gets more than its connections")
	}
	if admit("10.0.0.1", minIdleTime) == nil {
		t.Error("an unused connection is kept for a new one of the same daemon")
	}
	cs.unuse(busy[0], now)
	if admit("127.0.0.1", minIdleTime) == nil {
		t.Error("an unused connection is kept for a new one")
	}
}

// Guards against a daemon that is refused because it has joined since the last listing.
func TestVerifyWaitsForAListing(t *testing.T) {
	s := NewStore(nil, "a", nil, nil)
	s.peers.update("a", "z", nil)
	go func() {
		for !s.listWanted.Load() {
			time.Sleep(time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.peers.update("a", "z", map[string]api.RelayPeer{"b": {Address: "10.0.0.1:7001"}})
		close(s.listed)
		s.listed = make(chan struct{})
	}()
	if got := s.Verify(t.Context(), "10.0.0.1"); got != Announced {
		t.Errorf("a daemon that has just joined: %v", got)
	}
}

// Guards against senders that are taken for daemons, and daemons for strangers: when the
// announcements are not known, on loopback, and after a daemon has left.
func TestVerifyByAnnouncements(t *testing.T) {
	s := NewStore(nil, "a", nil, nil)
	if got := s.Verify(t.Context(), "10.0.0.1"); got != Unverified {
		t.Errorf("before the first listing: %v", got)
	}
	s.peers.update("a", "z", map[string]api.RelayPeer{"b": {Address: "10.0.0.1:7001"}})
	for ip, want := range map[string]Verification{"10.0.0.1": Announced, "10.0.0.2": Stranger, "127.0.0.1": Unverified} {
		if got := s.Verify(t.Context(), ip); got != want {
			t.Errorf("%s: %v, want %v", ip, got, want)
		}
	}
	if !s.listWanted.Load() {
		t.Error("the peers are not listed again because of an unknown address")
	}
	s.directFailed.Store(true)
	if got := s.Verify(t.Context(), "10.0.0.2"); got != Unverified {
		t.Errorf("while the announcements cannot be read: %v", got)
	}
	s.directFailed.Store(false)
	s.peers.update("a", "z", nil)
	if got := s.Verify(t.Context(), "10.0.0.1"); got != Stranger {
		t.Errorf("after the daemon has left: %v", got)
	}
}
