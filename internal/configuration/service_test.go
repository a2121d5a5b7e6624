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

const within = 3 * time.Second

// daemon is a service with its fakes.
type daemon struct {
	*Service
	store   *access
	network *fakeNetwork
}

// cluster is a set of daemons over one table.
type cluster struct {
	rows  *memory
	board *switchboard
}

func newCluster() *cluster {
	return &cluster{
		rows:  &memory{rows: map[string]table.Row{}},
		board: &switchboard{nodes: map[string]*fakeNetwork{}},
	}
}

func (c *cluster) add(vm string, change func(*Config)) *daemon {
	store := &access{memory: c.rows}
	network := &fakeNetwork{board: c.board, vm: vm, seen: &revision.HighWaterMark{}, handlers: map[peers.Kind]peers.Handler{}}
	config := Config{
		Store: store, Network: network, HighestRevision: network.seen,
		PollEvery: 10 * time.Millisecond, RequestTimeout: 500 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	d := &daemon{Service: New(config), store: store, network: network}
	network.ages = d.StoreAge
	c.board.mu.Lock()
	c.board.nodes[vm] = network
	c.board.mu.Unlock()
	return d
}

func (d *daemon) run() *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).WithTimeout(within).Should(Receive(BeNil()))
	})
	return d
}

func (d *daemon) revision() int64 { return d.Current().Head.Revision }

func hash(digit string) string { return strings.Repeat(digit, 64) }

func catalogue(names ...string) api.Catalogue {
	c := api.Catalogue{Classes: []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyRack}}}
	for i, name := range names {
		c.Organisations = append(c.Organisations, api.Organisation{
			Name: name, TokenSha256: hash(string("0123456789abcdef"[i])),
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

	It("lets one of two racing operators win and tells the other the current revision", func() {
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

	It("lets racing zone changes without an expected revision all take effect", func() {
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
			Expect(stateOf(head, zone)).To(Equal(api.Out))
		}
	})

	It("reads back a change whose answer was lost", func() {
		d := newCluster().add("x", nil)
		d.store.lose.Store(1)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		d.store.lose.Store(1)
		Expect(d.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		Expect(d.Current().Head).To(And(HaveField("Revision", int64(2)), HaveField("CatalogueRevision", int64(1))))
		Expect(d.Current().Catalogue.Organisations).To(HaveLen(1))
	})

	It("reports a change as not run while the store is down", func() {
		d := newCluster().add("x", nil)
		d.store.down.Store(true)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(NotApplied))
		Expect(d.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(NotApplied))
	})

	It("refuses guarantees that cannot be met, with the reason of each zone", func() {
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

	DescribeTable("refuses a faulty catalogue", func(change func(*api.Catalogue), reasons ...string) {
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
		Entry("one token for two", func(c *api.Catalogue) { c.Organisations[1].TokenSha256 = hash("0") }, "same token"),
		Entry("three faults", func(c *api.Catalogue) {
			c.Entries[0].Owner, c.Entries[0].Class, c.Entries[0].Limits.MaxTasks = "nobody", "none", 33
		}, "no organisation", "no class", "max_tasks is 33"),
		Entry("guarantee of nothing", func(c *api.Catalogue) { c.Organisations[0].Guarantees[0].Resources.Accelerators = 0 }, "no resources"),
		Entry("team of nobody", func(c *api.Catalogue) { c.Teams = []api.Team{{Name: "t", Organisation: "x"}} }, "no organisation"),
		Entry("unknown caller", func(c *api.Catalogue) { c.Entries[0].Callers = []string{"*", "x"} }, "to call it"),
	)
})

var _ = Describe("following", func() {
	It("polls the head and loads the body only when the catalogue has changed", func() {
		c := newCluster()
		writer, reader := c.add("x", nil), c.add("y", nil).run()
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Eventually(reader.revision).WithTimeout(within).Should(Equal(int64(1)))
		changed := reader.Changed()
		Expect(writer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		Eventually(changed).WithTimeout(within).Should(BeClosed())
		Expect(reader.Current().Catalogue.Organisations).To(HaveLen(1))
		Expect(stateOf(reader.Current().Head, "a")).To(Equal(api.Out))
	})

	It("starts without the store and takes the configuration from a peer", func() {
		c := newCluster()
		writer := c.add("x", nil)
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		cutOff := c.add("y", nil)
		cutOff.store.down.Store(true)
		cutOff.run()
		Expect(cutOff.revision()).To(BeZero())
		c.board.gossip()
		Eventually(cutOff.revision).WithTimeout(within).Should(Equal(int64(1)))
		Expect(cutOff.StoreAge()).To(BeNumerically(">", 0))
	})

	It("gets a zone change from a peer without the catalogue, and keeps its own", func() {
		c := newCluster()
		writer, cutOff := c.add("x", nil), c.add("y", nil)
		Expect(writer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		cutOff.store.down.Store(true)
		cutOff.run()
		c.board.gossip()
		Eventually(cutOff.revision).WithTimeout(within).Should(Equal(int64(1)))
		Expect(writer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		request := &api.PeerEnvelope{ConfigurationRequest: &api.PeerConfigurationRequest{Above: 1}}
		answer := writer.serveConfiguration(background, peers.Member{}, request)
		Expect(answer.Configuration.Configuration.Catalogue.Organisations).To(BeEmpty())
		c.board.gossip()
		Eventually(cutOff.revision).WithTimeout(within).Should(Equal(int64(2)))
		Expect(cutOff.Current().Catalogue).To(Equal(writer.Current().Catalogue))
	})

	It("asks again when the peer that announced a revision does not hold it yet", func() {
		c := newCluster()
		announcer := c.add("x", nil)
		follower := c.add("y", nil)
		follower.store.down.Store(true)
		follower.run()
		announcer.network.seen.Raise(1)
		c.board.gossip()
		Consistently(follower.revision).WithTimeout(150 * time.Millisecond).Should(BeZero())
		Expect(announcer.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Eventually(follower.revision).WithTimeout(within).Should(Equal(int64(1)))
	})

	It("keeps its revision when a peer offers an older one", func() {
		d := newCluster().add("x", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		Expect(d.Apply(background, apply(1, "north", "south")).Status).To(Equal(Accepted))
		d.take(api.Configuration{Head: api.ConfigurationHead{Revision: 1}}, "peer")
		Expect(d.Current().Catalogue.Organisations).To(HaveLen(2))
	})
})

var _ = Describe("ConfirmZone", func() {
	const now = time.Duration(0)

	It("shares reads, none of which began before its callers asked", func() {
		d := newCluster().add("x", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		d.store.delay.Store(int64(30 * time.Millisecond))
		before := d.store.reads.Load()
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				defer GinkgoRecover()
				asked := time.Now()
				confirmation, err := d.ConfirmZone(background, "a", now)
				Expect(err).NotTo(HaveOccurred())
				Expect(confirmation.Requested).NotTo(BeTemporally("<", asked))
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

	It("does not use a read that is older than the revision in force", func() {
		c := newCluster()
		d, other := c.add("x", nil), c.add("y", nil)
		Expect(d.Apply(background, apply(0, "north")).Status).To(Equal(Accepted))
		_, err := d.ConfirmZone(background, "a", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		d.take(other.Current(), "y")
		confirmation, err := d.ConfirmZone(background, "a", time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmation.State).To(Equal(api.Out))
	})

	DescribeTable("asks peers when the own read fails", func(fault func(own, peer *daemon), confirmed bool) {
		c := newCluster()
		own, peer := c.add("x", nil), c.add("y", nil)
		Expect(peer.ChangeZone(background, "a", api.ZoneChange{State: api.Out}).Status).To(Equal(Accepted))
		fault(own, peer)
		asked := time.Now()
		confirmation, err := own.ConfirmZone(background, "a", now)
		if !confirmed {
			Expect(err).To(HaveOccurred())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmation.State).To(Equal(api.Out))
		Expect(confirmation.Requested).NotTo(BeTemporally("<", asked))
	},
		Entry("store down for this daemon", func(own, _ *daemon) { own.store.down.Store(true) }, true),
		Entry("store too slow for this daemon", func(own, _ *daemon) { own.store.delay.Store(int64(2 * time.Second)) }, true),
		Entry("store down for both", func(own, peer *daemon) { own.store.down.Store(true); peer.store.down.Store(true) }, false),
		Entry("cut off from store and peers", func(own, _ *daemon) { own.store.down.Store(true); own.network.cut.Store(true) }, false),
		Entry("the peer reads an older revision", func(own, _ *daemon) {
			own.store.down.Store(true)
			own.take(api.Configuration{Head: api.ConfigurationHead{Revision: 9}}, "peer")
		}, false),
	)
})
