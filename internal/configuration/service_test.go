package configuration

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/revision"
	"github.com/samphirepath/samphirepath/table"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

const waitTimeout = 3 * time.Second

// daemon is a service with its fake table and network.
type daemon struct {
	*Service
	store   *faultyTable
	network *fakeNetwork
}

// cluster is a set of daemons that share one table.
type cluster struct {
	sharedTable *memoryTable
	mesh        *fakeMesh
}

func newCluster() *cluster {
	return &cluster{
		sharedTable: &memoryTable{rows: map[string]table.Row{}},
		mesh:        &fakeMesh{networks: map[string]*fakeNetwork{}},
	}
}

func (c *cluster) add(vm string, configure func(*Config)) *daemon {
	store := &faultyTable{memoryTable: c.sharedTable}
	network := &fakeNetwork{mesh: c.mesh, vm: vm, highestRevision: &revision.HighWaterMark{}, handlers: map[peers.Kind]peers.Handler{}}
	config := Config{
		Store: store, Network: network, HighestRevision: network.highestRevision,
		PollEvery: 10 * time.Millisecond, RequestTimeout: 500 * time.Millisecond,
	}
	if configure != nil {
		configure(&config)
	}
	d := &daemon{Service: New(config), store: store, network: network}
	network.storeAge = d.StoreAge
	c.mesh.mu.Lock()
	c.mesh.networks[vm] = network
	c.mesh.mu.Unlock()
	return d
}

func (d *daemon) start() *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})
	return d
}

func (d *daemon) revision() int64 { return d.Current().Head.Revision }

func tokenHash(digit string) string { return strings.Repeat(digit, 64) }

func catalogue(names ...string) api.Catalogue {
	c := api.Catalogue{Classes: []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyRack}}}
	for i, name := range names {
		c.Organisations = append(c.Organisations, api.Organisation{
			Name: name, TokenSha256: tokenHash(string("0123456789abcdef"[i])),
			Guarantees: []api.Shape{{
				Zone: "a", Tasks: 2, Adjacency: api.AdjacencyRack, Resources: api.Resources{Accelerators: 8},
			}},
		})
		c.Entries = append(c.Entries, api.Entry{Name: name + "-train", Kind: api.EntryKindJob, Owner: name, Class: "standard"})
	}
	return c
}

func apply(expected int64, names ...string) api.CatalogueApply {
	return api.CatalogueApply{ExpectedRevision: expected, Catalogue: catalogue(names...), ChangedBy: "op"}
}

var background = context.Background()

var _ = Describe("changes", func() {
	It("creates revision 1 with the zones of guarantees and of the VM list", func() {
		d := newCluster().add("x", func(c *Config) { c.Zones = func() []string { return []string{"b"} } })
		outcome := d.Apply(background, apply(0, "north"))
		Expect(outcome.Status).To(Equal(Accepted))
		Expect(outcome.Head).To(And(HaveField("Revision", int64(1)), HaveField("CatalogueRevision", int64(1))))
		Expect(outcome.Head.Zones).To(Equal([]api.Zone{{Name: "a", State: api.In}, {Name: "b", State: api.In}}))
		Expect(d.Current().Catalogue.Organisations).To(HaveLen(1))
	})

	It("accepts one of two concurrent changes and returns the current revision to the other", func() {
		c := newCluster()
		daemons := []*daemon{c.add("x", nil), c.add("y", nil)}
		outcomes := make([]Outcome, len(daemons))
		var group sync.WaitGroup
		for i, d := range daemons {
			group.Go(func() { outcomes[i] = d.Apply(background, apply(0, "north")) })
		}
		group.Wait()
		Expect([]ChangeStatus{outcomes[0].Status, outcomes[1].Status}).To(ConsistOf(Accepted, Conflict))
		for _, outcome := range outcomes {
			Expect(outcome.Head.Revision).To(Equal(int64(1)))
		}
	})

	It("applies all concurrent zone changes without an expected revision", func() {
		c := newCluster()
		first := c.add("x", nil)
		Expect(first.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		var group sync.WaitGroup
		zones := []string{"a", "b", "c", "d"}
		for _, zone := range zones {
			d := c.add("daemon-"+zone, nil)
			group.Go(func() {
				defer GinkgoRecover()
				Expect(d.ChangeZone(background, zone, api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
			})
		}
		group.Wait()
		head, err := first.readHead(background)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Revision).To(Equal(int64(5)))
		for _, zone := range zones {
			Expect(zoneState(head, zone)).To(Equal(api.Out))
		}
	})

	It("resolves the outcome of a change whose answer was lost", func() {
		d := newCluster().add("x", nil)
		d.store.lostAnswers.Store(1)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		d.store.lostAnswers.Store(1)
		Expect(d.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		Expect(d.Current().Head).To(And(HaveField("Revision", int64(2)), HaveField("CatalogueRevision", int64(1))))
		Expect(d.Current().Catalogue.Organisations).To(HaveLen(1))
	})

	It("reports a change as not applied while the store is down", func() {
		d := newCluster().add("x", nil)
		d.store.down.Store(true)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(NotApplied))
		Expect(d.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(NotApplied))
	})

	It("refuses guarantees that cannot be met, with one reason for each zone", func() {
		d := newCluster().add("x", func(c *Config) {
			c.CheckGuarantees = func(string, api.Catalogue) error { return errors.New("8 accelerators are missing") }
		})
		outcome := d.Apply(background, apply(0, "north"))
		Expect(outcome.Status).To(Equal(Refused))
		Expect(outcome.Reasons).To(Equal([]string{"zone a: 8 accelerators are missing"}))
	})

	It("refuses a zone that neither the head nor the VM list names", func() {
		d := newCluster().add("x", func(c *Config) { c.Zones = func() []string { return []string{"kiruna"} } })
		Expect(d.ChangeZone(background, "kiruuna", api.ZoneChange{State: api.Out}).Reasons).
			To(ConsistOf(ContainSubstring("the zones are kiruna")))
		Expect(d.ChangeZone(background, "kiruna", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		again := d.ChangeZone(background, "kiruna", api.ZoneChange{State: api.Out})
		Expect(again).To(And(HaveField("Status", Accepted), HaveField("Head.Revision", int64(1))))
	})

	It("lists accepted heads, newest first", func() {
		d := newCluster().add("x", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Expect(d.ChangeZone(background, "a", api.ZoneChange{State: api.Out, Reason: "power"}).Status).To(Equal(Accepted))
		heads, err := d.History(background, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(heads).To(HaveExactElements(HaveField("Comment", "power"), HaveField("Revision", int64(1))))
	})

	DescribeTable("refuses an invalid catalogue", func(change func(*api.Catalogue), reasons ...string) {
		c := catalogue("north", "south")
		change(&c)
		matchers := []any{}
		for _, reason := range reasons {
			matchers = append(matchers, ContainSubstring(reason))
		}
		Expect(Validate(c)).To(ConsistOf(matchers...))
	},
		Entry("valid", func(*api.Catalogue) {}),
		Entry("name twice", func(c *api.Catalogue) { c.Entries[1].Name = c.Entries[0].Name }, "given twice"),
		Entry("malformed name", func(c *api.Catalogue) { c.Entries[0].Name = "a/b" }, "the name must have"),
		Entry("one token for two organisations", func(c *api.Catalogue) { c.Organisations[1].TokenSha256 = tokenHash("0") }, "same token"),
		Entry("three errors at once", func(c *api.Catalogue) {
			c.Entries[0].Owner, c.Entries[0].Class, c.Entries[0].Limits.MaxTasks = "nobody", "none", 33
		}, "no organisation", "no class", "max_tasks is 33"),
		Entry("guarantee without resources", func(c *api.Catalogue) { c.Organisations[0].Guarantees[0].Resources.Accelerators = 0 }, "no resources"),
		Entry("team of an unknown organisation", func(c *api.Catalogue) { c.Teams = []api.Team{{Name: "t", Organisation: "x"}} }, "no organisation"),
		Entry("unknown caller", func(c *api.Catalogue) { c.Entries[0].Callers = []string{"*", "x"} }, "to call it"),
	)
})

var _ = Describe("propagation", func() {
	It("polls the head and loads the body only when the catalogue has changed", func() {
		c := newCluster()
		writer, reader := c.add("x", nil), c.add("y", nil).start()
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Eventually(reader.revision).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		changed := reader.Changed()
		Expect(writer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		Eventually(changed).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(reader.Current().Catalogue.Organisations).To(HaveLen(1))
		Expect(zoneState(reader.Current().Head, "a")).To(Equal(api.Out))
	})

	It("starts without the store and fetches the configuration from a peer", func() {
		c := newCluster()
		writer := c.add("x", nil)
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		follower := c.add("y", nil)
		follower.store.down.Store(true)
		follower.start()
		Expect(follower.revision()).To(BeZero())
		c.mesh.spreadRevisions()
		Eventually(follower.revision).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		Expect(follower.StoreAge()).To(BeNumerically(">", 0))
	})

	It("receives a zone change from a peer without the catalogue and keeps its current one", func() {
		c := newCluster()
		writer, follower := c.add("x", nil), c.add("y", nil)
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		follower.store.down.Store(true)
		follower.start()
		c.mesh.spreadRevisions()
		Eventually(follower.revision).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		Expect(writer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		request := &api.PeerEnvelope{ConfigurationRequest: &api.PeerConfigurationRequest{Above: 1}}
		answer := writer.serveConfiguration(background, peers.Member{}, request)
		Expect(answer.Configuration.Configuration.Catalogue.Organisations).To(BeEmpty())
		c.mesh.spreadRevisions()
		Eventually(follower.revision).WithTimeout(waitTimeout).Should(Equal(int64(2)))
		Expect(follower.Current().Catalogue).To(Equal(writer.Current().Catalogue))
	})

	It("asks a peer again that announced a revision but cannot deliver it yet", func() {
		c := newCluster()
		announcer := c.add("x", nil)
		follower := c.add("y", nil)
		follower.store.down.Store(true)
		follower.start()
		announcer.network.highestRevision.Raise(1)
		c.mesh.spreadRevisions()
		Consistently(follower.revision).WithTimeout(150 * time.Millisecond).Should(BeZero())
		Expect(announcer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Eventually(follower.revision).WithTimeout(waitTimeout).Should(Equal(int64(1)))
	})

	It("keeps its revision when a peer offers an older one", func() {
		d := newCluster().add("x", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Expect(d.Apply(background, apply(1, "north", "south")).Status).To(Equal(Accepted))
		d.adopt(api.Configuration{Head: api.ConfigurationHead{Revision: 1}}, "peer")
		Expect(d.Current().Catalogue.Organisations).To(HaveLen(2))
	})
})

var _ = Describe("ConfirmZone", func() {
	const zeroAge = time.Duration(0)

	It("shares reads between callers, and gives no caller a read that began before its call", func() {
		d := newCluster().add("x", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		d.store.readDelay.Store(int64(30 * time.Millisecond))
		before := d.store.reads.Load()
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				defer GinkgoRecover()
				requestedAt := time.Now()
				confirmation, err := d.ConfirmZone(background, "a", zeroAge)
				Expect(err).NotTo(HaveOccurred())
				Expect(confirmation.RequestedAt).NotTo(BeTemporally("<", requestedAt))
				Expect(confirmation.State).To(Equal(api.In))
			})
		}
		group.Wait()
		Expect(d.store.reads.Load() - before).To(BeNumerically("<=", 4))
		reads := d.store.reads.Load()
		_, err := d.ConfirmZone(background, "a", time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.store.reads.Load()).To(Equal(reads))
	})

	It("does not use a read of an older revision than the one in force", func() {
		c := newCluster()
		d, other := c.add("x", nil), c.add("y", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		_, err := d.ConfirmZone(background, "a", zeroAge)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		d.adopt(other.Current(), "y")
		confirmation, err := d.ConfirmZone(background, "a", time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmation.State).To(Equal(api.Out))
	})

	DescribeTable("asks peers when the direct read fails", func(fault func(local, peer *daemon), confirmed bool) {
		c := newCluster()
		local, peer := c.add("x", nil), c.add("y", nil)
		Expect(peer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		fault(local, peer)
		requestedAt := time.Now()
		confirmation, err := local.ConfirmZone(background, "a", zeroAge)
		if !confirmed {
			Expect(err).To(HaveOccurred())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmation.State).To(Equal(api.Out))
		Expect(confirmation.RequestedAt).NotTo(BeTemporally("<", requestedAt))
	},
		Entry("store down for this daemon", func(local, _ *daemon) { local.store.down.Store(true) }, true),
		Entry("store too slow for this daemon", func(local, _ *daemon) { local.store.readDelay.Store(int64(2 * time.Second)) }, true),
		Entry("store down for both", func(local, peer *daemon) { local.store.down.Store(true); peer.store.down.Store(true) }, false),
		Entry("cut off from store and peers", func(local, _ *daemon) { local.store.down.Store(true); local.network.isolated.Store(true) }, false),
		Entry("the peer reads an older revision", func(local, _ *daemon) {
			local.store.down.Store(true)
			local.adopt(api.Configuration{Head: api.ConfigurationHead{Revision: 9}}, "peer")
		}, false),
	)
})
