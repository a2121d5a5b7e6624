package peers

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

func entry(vm, address, instance string) api.VM {
	return api.VM{ID: vm, Kind: api.VMKindEntry, Zone: "a", Address: address, State: api.Live, Instance: instance}
}

func leaving(vm api.VM) api.VM {
	vm.State = api.Leaving
	return vm
}

var _ = Describe("membership", func() {
	now := time.Now()
	hello := func(incarnation string) *api.PeerHello {
		return &api.PeerHello{VM: "b", Zone: "a", Incarnation: incarnation}
	}
	listing := func(asOf int64, vms ...api.VM) api.VMList { return api.VMList{Vms: vms, AsOfMs: asOf} }
	one, two := entry("b", "10.0.0.2:1", "1"), entry("b", "10.0.0.2:1", "2")

	DescribeTable("takes a lagging VM list", func(lists []api.VMList, want State) {
		s := newMembership("a", "a", time.Second)
		Expect(s.meet(hello("p"), 0, "", now)).To(BeTrue())
		for _, list := range lists {
			s.takeList(list, now)
		}
		Expect(s.get("b", now).State).To(Equal(want))
	},
		Entry("direct contact alone is enough", nil, Live),
		Entry("leaving", []api.VMList{listing(1, leaving(one))}, Leaving),
		Entry("leaving, then live again", []api.VMList{listing(1, leaving(one)), listing(2, one)}, Leaving),
		Entry("leaving, then gone while its process still runs", []api.VMList{listing(1, leaving(one)), listing(2)}, Leaving),
		Entry("leaving, then replaced", []api.VMList{listing(1, leaving(one)), listing(2, two)}, Live),
		Entry("replaced, then an older reading", []api.VMList{listing(1, leaving(one)), listing(3, two), listing(2, leaving(one))}, Live),
		Entry("replaced, then the old instance again", []api.VMList{listing(1, leaving(one)), listing(2, two), listing(3, one)}, Live),
	)

	It("keeps draining final for a process, also after silence", func() {
		s := newMembership("a", "a", time.Second)
		Expect(s.meet(hello("p"), 0, "", now)).To(BeTrue())
		s.beat("b", &api.PeerHeartbeat{Draining: true, TableVersion: 9})
		s.beat("b", &api.PeerHeartbeat{TableVersion: 8})
		Expect(s.get("b", now).State).To(Equal(Draining))
		Expect(s.get("b", now).TableVersion).To(Equal(int64(9)))
		Expect(s.get("b", now.Add(2*time.Second)).State).To(Equal(Silent))
		Expect(s.meet(hello("q"), 0, "", now)).To(BeTrue())
		Expect(s.get("b", now)).To(And(HaveField("State", Live), HaveField("TableVersion", BeZero())))
		Expect(s.meet(hello("p"), 0, "", now)).To(BeFalse())
	})

	It("lets the later process of a VM win, whichever it meets first", func() {
		older, newer := NewIncarnation(), NewIncarnation()
		s := newMembership("a", "a", time.Second)
		Expect(s.meet(hello(newer), 0, "", now)).To(BeTrue())
		Expect(s.meet(hello(older), 0, "", now)).To(BeFalse(), "woken while the later one is live")
		silent := now.Add(2 * time.Second)
		Expect(s.meet(hello(older), 0, "", silent)).To(BeTrue(), "restarted with a clock set back")
		Expect(s.meet(hello(newer), 0, "", silent)).To(BeTrue())
	})

	It("waits four times as long for a daemon in another zone", func() {
		s := newMembership("a", "z", time.Second)
		Expect(s.meet(hello("p"), 0, "", now)).To(BeTrue())
		Expect(s.get("b", now.Add(3*time.Second)).State).To(Equal(Live))
		Expect(s.get("b", now.Add(5*time.Second)).State).To(Equal(Silent))
	})

	It("does not count the others as silent for the time in which this process was frozen", func() {
		s := newMembership("a", "a", time.Second)
		Expect(s.meet(hello("p"), 0, "", now)).To(BeTrue())
		s.tick(now)
		woken := now.Add(time.Minute)
		Expect(s.live("a", true, woken)).To(Equal([]string{"a", "b"}))
		for since := time.Duration(0); since <= 1200*time.Millisecond; since += dialTick {
			s.tick(woken.Add(since))
			want := []string{"a", "b"}
			if since > time.Second {
				want = []string{"a"}
			}
			Expect(s.live("a", true, woken.Add(since))).To(Equal(want), "%s", since)
		}
	})

	It("agrees with the others that this daemon is leaving once it is listed so", func() {
		s := newMembership("b", "a", time.Second)
		s.takeList(listing(1, leaving(one)), now)
		Expect(s.live("a", true, now)).To(BeEmpty())
		Expect(s.list(now)).To(BeEmpty())
		s.takeList(listing(2, two), now)
		Expect(s.live("a", true, now)).To(Equal([]string{"b"}))
	})

	It("forgets a silent daemon that has left the list, but not one that the list may not show yet", func() {
		s := newMembership("a", "a", time.Second)
		Expect(s.meet(hello("p"), 0, "", now)).To(BeTrue())
		s.takeList(listing(1), now.Add(2*time.Second))
		Expect(s.list(now)).To(HaveLen(1))
		s.takeList(listing(2), now.Add(forgetAfter+time.Second))
		Expect(s.list(now)).To(BeEmpty())
	})
})
