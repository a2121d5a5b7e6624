package router

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/retry"
)

// Guards against batch requests that never run while urgent ones keep coming,
// and against urgent ones that wait behind others.
func TestQueueOrder(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	push := func(u api.Urgency) { q.push(&waiter{entry: "e", rank: rank(u)}) }
	for _, u := range []api.Urgency{api.Batch, api.Standard, api.Urgent} {
		push(u)
	}
	var served []int
	for range 2*starvationGuard + 4 {
		w := q.next(func(*waiter) bool { return true })
		q.remove(w)
		q.served(w.rank)
		served = append(served, w.rank)
		if w.rank == 0 {
			push(api.Urgent)
		}
	}
	g.Expect(served[:starvationGuard]).To(HaveEach(0))
	g.Expect(served[starvationGuard : starvationGuard+2]).To(ConsistOf(1, 2))
	g.Expect(served[starvationGuard+2:]).To(HaveEach(0))
	g.Expect(q.total).To(Equal(1))
	g.Expect(q.entries).To(Equal(map[string]int{"e": 1}))
}

// Guards against two owners of a minion, uneven shares, and slots that change
// hands when another daemon comes or goes.
func TestOwnership(t *testing.T) {
	g := NewWithT(t)
	vms := []string{"a", "b", "c", "d", "e", "f", "g"}
	shares := map[string]int{}
	for i := range 1000 {
		id := fmt.Sprint("minion-", i)
		owner := ownerOf(id, vms)
		shares[owner]++
		if without := ownerOf(id, vms[1:]); owner != "a" {
			g.Expect(without).To(Equal(owner))
		}
	}
	for _, vm := range vms {
		g.Expect(shares[vm]).To(BeNumerically("~", 1000/7, 50))
	}
	g.Expect(ownerOf("minion-1", nil)).To(BeEmpty())
}

// Guards against minions that are ejected for single failures, stay ejected
// after they recover, or get many requests while on probation.
func TestMinionHealth(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	pauses := retry.Backoff{Base: time.Second, Max: longestEjection}
	m := &minion{listed: true}
	for range 2 {
		m.observe(failing, "", now, false, pauses)
		g.Expect(m.status()).To(Equal("live"))
	}
	m.observe(failing, "", now, false, pauses)
	g.Expect(m.status()).To(Equal("ejected"))
	g.Expect(m.usable(now, 8)).To(BeFalse())
	later := now.Add(2 * time.Second)
	g.Expect(m.usable(later, 8)).To(BeTrue())
	m.busy = 1
	g.Expect(m.usable(later, 8)).To(BeFalse(), "one request at a time on probation")
	m.observe(unreachable, "", later, false, pauses)
	g.Expect(m.status()).To(Equal("silent"))
	m.observe(answered, "", later, false, pauses)
	g.Expect(m.status()).To(Equal("live"))
	m.observe(tooBusy, "", later, false, pauses)
	g.Expect(m.usable(later, 8)).To(BeFalse())
	g.Expect(m.usable(later.Add(busyPause), 8)).To(BeTrue())
}

// Guards against requests that hold slots while the table service is down, and
// against a gate that stays closed.
func TestStoreGate(t *testing.T) {
	g := NewWithT(t)
	var gate storeGate
	now := time.Now()
	g.Expect(gate.pass(now)).To(BeTrue())
	for range closeAfter {
		g.Expect(gate.pass(now)).To(BeTrue())
		gate.report(false, now)
	}
	g.Expect(gate.pass(now)).To(BeFalse())
	later := now.Add(probeStoreEvery)
	g.Expect(gate.isOpen(later)).To(BeTrue())
	g.Expect(gate.pass(later)).To(BeTrue())
	g.Expect(gate.pass(later)).To(BeFalse(), "one probe per interval")
	gate.report(true, later)
	g.Expect(gate.pass(later)).To(BeTrue())
}
