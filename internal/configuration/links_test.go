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

// meshDaemon is a service that talks to its peers over a real mesh.
type meshDaemon struct {
	*Service
	mesh  *peers.Mesh
	store *faultyTable
}

// startMeshDaemons runs n daemons that have each other's addresses as seeds, and
// waits until all links are up.
func startMeshDaemons(n int) []*meshDaemon {
	sharedTable := &memoryTable{rows: map[string]table.Row{}}
	var listeners []net.Listener
	var seeds []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		seeds = append(seeds, listener.Addr().String())
	}
	var daemons []*meshDaemon
	for i, listener := range listeners {
		highestRevision := &revision.HighWaterMark{}
		mesh := peers.New(peers.Config{
			VM: fmt.Sprintf("entry-%d", i), Zone: "a", Listen: seeds[i], Listener: listener,
			Token: "secret", Seeds: seeds, HighestRevision: highestRevision,
		})
		store := &faultyTable{memoryTable: sharedTable}
		service := New(Config{Store: store, Network: mesh, HighestRevision: highestRevision})
		daemons = append(daemons, &meshDaemon{Service: service, mesh: mesh, store: store})
		runInBackground(mesh.Run)
		runInBackground(service.Run)
	}
	for _, d := range daemons {
		Eventually(func() int { return len(d.mesh.LiveVMs("a")) }).WithTimeout(5 * time.Second).Should(Equal(n))
	}
	return daemons
}

func runInBackground(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
}

var _ = Describe("daemons linked over TCP", func() {
	It("propagates a change within a second to daemons that cannot reach the store", func() {
		daemons := startMeshDaemons(4)
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
