package peers

import (
	"bytes"
	"testing"

	"github.com/samphirepath/samphirepath/api"
)

// FuzzDecode guards against frames that make the decoder panic, and against frames
// that decode differently after they have been encoded again.
func FuzzDecode(f *testing.F) {
	for _, envelope := range []api.PeerEnvelope{
		{Hello: &api.PeerHello{VM: "a", Zone: "z", Incarnation: "i", Protocol: 1, Token: "t"}},
		{Revision: 3, Heartbeat: &api.PeerHeartbeat{Draining: true, FreeSlots: 2}},
		{ID: 1, Reply: true, Configuration: &api.PeerConfiguration{Configuration: &api.Configuration{
			Catalogue: api.Catalogue{Organisations: []api.Organisation{{Name: "o", Guarantees: []api.Shape{{Zone: "z"}}}}},
		}}},
		{ID: 2, RequestForward: &api.PeerRequestForward{Request: api.RequestSubmit{Body: []byte("b")}, BodyChecksum: 1 << 63}},
		{ID: 3, Reply: true},
	} {
		data, err := encode(&envelope)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 64))
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, kind, err := decode(data)
		if err != nil {
			return
		}
		reencoded, err := encode(envelope)
		if err != nil {
			t.Fatalf("decoded frame cannot be encoded: %v", err)
		}
		redecoded, redecodedKind, err := decode(reencoded)
		if err != nil || redecodedKind != kind {
			t.Fatalf("re-encoded frame reads as %q, not %q: %v", redecodedKind, kind, err)
		}
		encodedAgain, err := encode(redecoded)
		if err != nil || !bytes.Equal(reencoded, encodedAgain) {
			t.Fatalf("encoding is not deterministic: %x, %x", reencoded, encodedAgain)
		}
	})
}
