package peers

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

func listedVM(vm, address, instance string) api.VM {
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
	firstInstance, secondInstance := listedVM("b", "10.0.0.2:1", "1"), listedVM("b", "10.0.0.2:1", "2")

	DescribeTable("applies lagging VM lists", func(lists []api.VMList, want State) {
		m := newMembership("a", "a", time.Second)
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeTrue())
		for _, list := range lists {
			m.applyVMList(list, now)
		}
		Expect(m.get("b", now).State).To(Equal(want))
	},
		Entry("not listed, only direct contact", nil, Live),
		Entry("leaving", []api.VMList{listing(1, leaving(firstInstance))}, Leaving),
		Entry("leaving, then live again", []api.VMList{listing(1, leaving(firstInstance)), listing(2, firstInstance)}, Leaving),
		Entry("leaving, then unlisted while its process still runs", []api.VMList{listing(1, leaving(firstInstance)), listing(2)}, Leaving),
		Entry("leaving, then replaced", []api.VMList{listing(1, leaving(firstInstance)), listing(2, secondInstance)}, Live),
		Entry("replaced, then an older list", []api.VMList{listing(1, leaving(firstInstance)), listing(3, secondInstance), listing(2, leaving(firstInstance))}, Live),
		Entry("replaced, then the old instance again", []api.VMList{listing(1, leaving(firstInstance)), listing(2, secondInstance), listing(3, firstInstance)}, Live),
	)

	It("treats draining as final for a process", func() {
		m := newMembership("a", "a", time.Second)
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeTrue())
		m.applyHeartbeat("b", &api.PeerHeartbeat{Draining: true, TableVersion: 9})
		m.applyHeartbeat("b", &api.PeerHeartbeat{TableVersion: 8})
		Expect(m.get("b", now).State).To(Equal(Draining))
		Expect(m.get("b", now).TableVersion).To(Equal(int64(9)))
		Expect(m.get("b", now.Add(2*time.Second)).State).To(Equal(Silent))
		Expect(m.applyHello(hello("q"), 0, "", now)).To(BeTrue())
		Expect(m.get("b", now)).To(And(HaveField("State", Live), HaveField("TableVersion", BeZero())))
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeFalse())
	})

	It("prefers the later of two processes on a VM, whichever connects first", func() {
		olderIncarnation, newerIncarnation := NewIncarnation(), NewIncarnation()
		m := newMembership("a", "a", time.Second)
		Expect(m.applyHello(hello(newerIncarnation), 0, "", now)).To(BeTrue())
		Expect(m.applyHello(hello(olderIncarnation), 0, "", now)).To(BeFalse(), "resumed while the later one is live")
		afterSilence := now.Add(2 * time.Second)
		Expect(m.applyHello(hello(olderIncarnation), 0, "", afterSilence)).To(BeTrue(), "restarted after its clock was set back")
		Expect(m.applyHello(hello(newerIncarnation), 0, "", afterSilence)).To(BeTrue())
	})

	It("uses four times the silence timeout for a daemon in another zone", func() {
		m := newMembership("a", "z", time.Second)
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeTrue())
		Expect(m.get("b", now.Add(3*time.Second)).State).To(Equal(Live))
		Expect(m.get("b", now.Add(5*time.Second)).State).To(Equal(Silent))
	})

	It("does not count the time for which this process was suspended as silence of the others", func() {
		m := newMembership("a", "a", time.Second)
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeTrue())
		m.recordTick(now)
		resumed := now.Add(time.Minute)
		Expect(m.liveVMs("a", true, resumed)).To(Equal([]string{"a", "b"}))
		for since := time.Duration(0); since <= 1200*time.Millisecond; since += dialInterval {
			m.recordTick(resumed.Add(since))
			want := []string{"a", "b"}
			if since > time.Second {
				want = []string{"a"}
			}
			Expect(m.liveVMs("a", true, resumed.Add(since))).To(Equal(want), "%s", since)
		}
	})

	It("excludes this daemon from the live ones once it is listed as leaving", func() {
		m := newMembership("b", "a", time.Second)
		m.applyVMList(listing(1, leaving(firstInstance)), now)
		Expect(m.liveVMs("a", true, now)).To(BeEmpty())
		Expect(m.list(now)).To(BeEmpty())
		m.applyVMList(listing(2, secondInstance), now)
		Expect(m.liveVMs("a", true, now)).To(Equal([]string{"b"}))
	})

	It("removes a silent unlisted daemon only after unlistedRetention", func() {
		m := newMembership("a", "a", time.Second)
		Expect(m.applyHello(hello("p"), 0, "", now)).To(BeTrue())
		m.applyVMList(listing(1), now.Add(2*time.Second))
		Expect(m.list(now)).To(HaveLen(1))
		m.applyVMList(listing(2), now.Add(unlistedRetention+time.Second))
		Expect(m.list(now)).To(BeEmpty())
	})
})
