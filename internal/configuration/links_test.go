package configuration

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/revision"
	"github.com/samphirepath/samphirepath/table"
)

// linked is a service on a real mesh.
type linked struct {
	*Service
	mesh  *peers.Mesh
	store *access
}

// startLinked runs n daemons that know each other's addresses as seeds.
func startLinked(n int) []*linked {
	rows := &memory{rows: map[string]table.Row{}}
	var listeners []net.Listener
	var seeds []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		seeds = append(seeds, listener.Addr().String())
	}
	var daemons []*linked
	for i, listener := range listeners {
		seen := &revision.HighWaterMark{}
		mesh := peers.New(peers.Config{
			VM: fmt.Sprintf("entry-%d", i), Zone: "a", Listen: seeds[i], Listener: listener,
			Token: "secret", Seeds: seeds, HighestRevision: seen,
		})
		store := &access{memory: rows}
		service := New(Config{Store: store, Network: mesh, HighestRevision: seen})
		daemons = append(daemons, &linked{Service: service, mesh: mesh, store: store})
		runLinked(mesh.Run)
		runLinked(service.Run)
	}
	for _, d := range daemons {
		Eventually(func() int { return len(d.mesh.LiveVMs("a")) }).WithTimeout(5 * time.Second).Should(Equal(n))
	}
	return daemons
}

func runLinked(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
}

var _ = Describe("daemons over real links", func() {
	It("puts a change in force at once on daemons that do not reach the store", func() {
		daemons := startLinked(4)
		for _, d := range daemons[1:] {
			d.store.down.Store(true)
		}
		Expect(daemons[0].Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		for _, d := range daemons[1:] {
			Eventually(func() int64 { return d.Current().Head.Revision }).WithTimeout(time.Second).Should(Equal(int64(1)))
			Expect(d.Current().Catalogue).To(Equal(daemons[0].Current().Catalogue))
		}
		Expect(daemons[0].ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		confirmation, err := daemons[3].ConfirmZone(background, "a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmation).To(And(HaveField("State", api.Out), HaveField("Revision", int64(2))))
	})
})
