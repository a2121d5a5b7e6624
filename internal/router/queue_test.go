package router

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/retry"
)

// Guards against starvation of batch requests by urgent ones, and against urgent
// requests that wait behind others.
func TestQueueOrder(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	push := func(u api.Urgency) { q.push(&waiter{entry: "e", rank: rank(u)}) }
	for _, u := range []api.Urgency{api.Batch, api.Standard, api.Urgent} {
		push(u)
	}
	var served []int
	for range 2*starvationLimit + 4 {
		w := q.next(func(*waiter) bool { return true })
		q.remove(w)
		q.recordServed(w.rank)
		served = append(served, w.rank)
		if w.rank == 0 {
			push(api.Urgent)
		}
	}
	g.Expect(served[:starvationLimit]).To(HaveEach(0))
	g.Expect(served[starvationLimit : starvationLimit+2]).To(ConsistOf(1, 2))
	g.Expect(served[starvationLimit+2:]).To(HaveEach(0))
	g.Expect(q.length).To(Equal(1))
	g.Expect(q.countByEntry).To(Equal(map[string]int{"e": 1}))
}

// Guards against two owners of a minion, uneven shares, and minions of one daemon
// that change owner when another daemon is added or lost.
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

// Guards against minions that are ejected after a single failure, stay ejected after
// they recover, or get several requests at once before their first answer after an
// ejection.
func TestMinionHealth(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	backoff := retry.Backoff{Base: time.Second, Max: maxEjectionTime}
	m := &minion{listed: true}
	for range 2 {
		m.observe(failed, "", now, false, backoff)
		g.Expect(m.status()).To(Equal("live"))
	}
	m.observe(failed, "", now, false, backoff)
	g.Expect(m.status()).To(Equal("ejected"))
	g.Expect(m.usable(now, 8)).To(BeFalse())
	later := now.Add(2 * time.Second)
	g.Expect(m.usable(later, 8)).To(BeTrue())
	m.busySlots = 1
	g.Expect(m.usable(later, 8)).To(BeFalse(), "one request at a time after an ejection")
	m.observe(unreachable, "", later, false, backoff)
	g.Expect(m.status()).To(Equal("silent"))
	m.observe(answered, "", later, false, backoff)
	g.Expect(m.status()).To(Equal("live"))
	m.observe(tooBusy, "", later, false, backoff)
	g.Expect(m.usable(later, 8)).To(BeFalse())
	g.Expect(m.usable(later.Add(busyBackoff), 8)).To(BeTrue())
}

// Guards against requests that occupy slots while the table service is unreachable,
// and against a breaker that never closes again.
func TestStoreBreaker(t *testing.T) {
	g := NewWithT(t)
	var breaker storeBreaker
	now := time.Now()
	g.Expect(breaker.allow(now)).To(BeTrue())
	for range tripThreshold {
		g.Expect(breaker.allow(now)).To(BeTrue())
		breaker.record(false, now)
	}
	g.Expect(breaker.allow(now)).To(BeFalse())
	later := now.Add(probeInterval)
	g.Expect(breaker.wouldAllow(later)).To(BeTrue())
	g.Expect(breaker.allow(later)).To(BeTrue())
	g.Expect(breaker.allow(later)).To(BeFalse(), "one probe per interval")
	breaker.record(true, later)
	g.Expect(breaker.allow(later)).To(BeTrue())
}
