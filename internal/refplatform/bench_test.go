package refplatform_test

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// BenchmarkMinionSend measures one request over loopback, including the work of the
// stand-in.
func BenchmarkMinionSend(b *testing.B) {
	s, err := standin.New(standin.Config{Minions: []standin.MinionConfig{{ID: "m1", Zone: "z1"}}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	scope := tally.NewTestScope("", nil)
	client := refplatform.NewMinions(refplatform.Config{Scope: scope})
	address := s.Addresses().Minions["m1"]
	b.ReportAllocs()
	for b.Loop() {
		if reply := client.Send(ctx, address, request("r1", `{}`)); reply.Status != refplatform.MinionRan {
			b.Fatal(reply.Status, reply.Err)
		}
	}
	client.Close()
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
