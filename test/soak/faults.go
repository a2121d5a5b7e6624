package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

// scope is the part of the cluster that a fault affects.
type scope int

const (
	oneDaemon scope = iota
	allDaemons
	oneWorker
	operatorOnly
	outage // the target is a random number, from which the fault draws its parts
)

// faultKind is a kind of fault that is injected from outside the daemons.
type faultKind struct {
	name     string
	scope    scope
	shortest time.Duration
	longest  time.Duration
	// inject injects the fault and returns the function that heals it.
	inject func(cl *cluster, target int) (heal func())
}

// slowLinkDelay is the delay of each chunk of data on a slow link, in each direction.
const slowLinkDelay = 250 * time.Millisecond

// lossProbability is the probability with which a fault that loses answers or applies
// calls late affects a call.
const lossProbability = 0.3

// faultKinds are the kinds of faults that scenarios draw from. New kinds must be appended,
// so that a recorded seed draws the same faults again: it is recorded with the number of
// kinds that existed when it failed, and draws only from that many kinds at the start of
// the list.
var faultKinds = []faultKind{
	{"kill", oneDaemon, 300 * time.Millisecond, 2 * time.Second, func(cl *cluster, i int) func() {
		d := cl.daemon(i)
		d.kill()
		return d.allowStart
	}},
	{"terminate", oneDaemon, 300 * time.Millisecond, 3 * time.Second, func(cl *cluster, i int) func() {
		d := cl.daemon(i)
		d.terminate()
		return d.allowStart
	}},
	{"kill all daemons", allDaemons, 300 * time.Millisecond, 2 * time.Second, func(cl *cluster, _ int) func() {
		cl.eachDaemon((*daemon).kill)
		return func() { cl.eachDaemon((*daemon).allowStart) }
	}},
	{"pause", oneDaemon, 500 * time.Millisecond, 8 * time.Second, func(cl *cluster, i int) func() { return cl.daemon(i).pause() }},
	{"hang up", oneDaemon, 0, 0, func(cl *cluster, i int) func() {
		for range 3 {
			cl.daemon(i).hangUp()
		}
		return func() {}
	}},
	{"store unreachable", oneDaemon, time.Second, 8 * time.Second, storeLink(faultproxy.Faults{Cut: true})},
	{"store link stalled", oneDaemon, time.Second, 8 * time.Second, storeLink(faultproxy.HoldBoth())},
	{"store requests held", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{HoldRequests: true})},
	{"store answers held", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{HoldAnswers: true})},
	{"store link slow", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{Delay: slowLinkDelay})},
	{"store answers reset", oneDaemon, 500 * time.Millisecond, 3 * time.Second, storeLink(faultproxy.Faults{DropAnswers: true})},
	{"store connections reset", allDaemons, 0, 0, func(cl *cluster, _ int) func() {
		for _, d := range cl.daemons {
			d.storeProxy.ResetConnections()
		}
		return func() {}
	}},
	{"store refuses daemon", oneDaemon, time.Second, 6 * time.Second, func(cl *cluster, i int) func() {
		d := cl.daemon(i)
		d.refusalCount.Add(1)
		return func() { d.refusalCount.Add(-1) }
	}},
	{"store down", allDaemons, time.Second, 8 * time.Second, storeFault(standinfleet.Busy, 1)},
	{"store unresponsive", allDaemons, time.Second, 6 * time.Second, storeFault(standinfleet.NoAnswer, 1)},
	{"store answers lost", allDaemons, time.Second, 5 * time.Second, storeFault(standinfleet.LoseAnswer, lossProbability)},
	{"store applies late", allDaemons, time.Second, 5 * time.Second, storeFault(standinfleet.ApplyLate, lossProbability)},
	{"store history lost", allDaemons, 0, 0, func(cl *cluster, _ int) func() {
		cl.store.Compact()
		return func() {}
	}},
	{"worker crashes", oneWorker, 300 * time.Millisecond, 5 * time.Second, func(cl *cluster, i int) func() { return cl.worker(i).crash() }},
	{"worker unreachable", oneWorker, time.Second, 9 * time.Second, workerLink(faultproxy.Faults{Cut: true})},
	{"worker link stalled", oneWorker, time.Second, 9 * time.Second, workerLink(faultproxy.HoldBoth())},
	{"worker requests held", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{HoldRequests: true})},
	{"worker answers held", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{HoldAnswers: true})},
	{"worker link slow", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{Delay: slowLinkDelay})},
	{"worker unhealthy", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.Busy, 1)},
	{"worker answers lost", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.LoseAnswer, lossProbability)},
	{"worker applies late", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.ApplyLate, lossProbability)},
	{"worker drains", oneWorker, 3 * time.Second, 6 * time.Second, func(cl *cluster, i int) func() { return cl.worker(i).drain() }},
	{"worker entry corrupted", oneWorker, time.Second, 4 * time.Second, func(cl *cluster, i int) func() { return cl.worker(i).corruptEntry() }},
	{"zone out of service", operatorOnly, 2 * time.Second, 6 * time.Second, func(cl *cluster, i int) func() {
		zone := cl.zone(i)
		cl.store.Put("op", "", "evacuate/"+zone, []byte("{}"))
		return func() { cl.store.Remove("op", "", "evacuate/"+zone) }
	}},
	{"configurations", operatorOnly, 0, 0, func(cl *cluster, _ int) func() {
		for range 5 {
			cl.writeConfiguration()
		}
		return func() {}
	}},
	{"all store answers lost", allDaemons, time.Second, 4 * time.Second, storeFault(standinfleet.LoseAnswer, 1)},
	{"jobs that crash workers", operatorOnly, 2 * time.Second, 5 * time.Second, func(cl *cluster, _ int) func() {
		cl.crashingJobs.Add(1)
		return func() { cl.crashingJobs.Add(-1) }
	}},
	{"worker shrinks", oneWorker, 3 * time.Second, 9 * time.Second, func(cl *cluster, i int) func() { return cl.worker(i).shrink() }},
	{"odd worker entries", operatorOnly, 2 * time.Second, 6 * time.Second, func(cl *cluster, _ int) func() { return cl.writeOddEntries() }},
	{"jobs of edge sizes", operatorOnly, 2 * time.Second, 5 * time.Second, func(cl *cluster, _ int) func() {
		cl.edgeJobs.Add(1)
		return func() { cl.edgeJobs.Add(-1) }
	}},
	{"zone without power and store away", oneDaemon, time.Second, 4 * time.Second, func(cl *cluster, i int) func() { return cl.losePower(cl.zone(i)) }},
	{"store unreachable twice", oneDaemon, 2 * time.Second, 4 * time.Second, func(cl *cluster, i int) func() {
		link := cl.daemon(i).storeLink
		remove := link.add(faultproxy.Faults{Cut: true})
		return func() {
			remove()
			time.AfterFunc(secondCut, link.add(faultproxy.Faults{Cut: true}))
		}
	}},
	{"kill twice", oneDaemon, 300 * time.Millisecond, 2 * time.Second, func(cl *cluster, i int) func() {
		d := cl.daemon(i)
		d.kill()
		return func() {
			d.allowStart()
			time.AfterFunc(secondKill, func() {
				d.kill()
				d.allowStart()
			})
		}
	}},
	{"zone cut off", oneDaemon, 2 * time.Second, 20 * time.Second, func(cl *cluster, i int) func() { return cl.cutOffZone(cl.zone(i), i) }},
	{"dispatcher's zone cut off and paused", oneDaemon, 18 * time.Second, 30 * time.Second, (*cluster).cutOffDispatcher},
	{"workers reached by their zone only", oneDaemon, 5 * time.Second, 20 * time.Second, (*cluster).hideWorkers},
	{"dispatcher paused", oneDaemon, time.Second, 16 * time.Second, func(cl *cluster, i int) func() { return cl.daemon(cl.dispatcher(i)).pause() }},
	{"store away, workers crash, dispatcher stops", outage, shortestOutage, longestOutage, disruptDuringOutage((*cluster).stopDispatcher)},
	{"store away, workers crash, dispatcher paused", outage, shortestOutage, longestOutage, disruptDuringOutage((*cluster).pauseDispatcher)},
	{"workers crash and dispatcher stops after store away", outage, shortestOutage, longestOutage, (*cluster).disruptAfterOutage},
	{"clients that misbehave", oneDaemon, 2 * time.Second, 8 * time.Second, func(cl *cluster, i int) func() { return cl.daemon(i).crowd() }},
	{"clients that misbehave at the dispatcher", oneDaemon, 2 * time.Second, 8 * time.Second, func(cl *cluster, i int) func() { return cl.daemon(cl.dispatcher(i)).crowd() }},
}

// secondCut is how long the second of two cuts lasts, and secondKill is the time from the
// end of a kill to the next one, in which the daemon may have taken over.
const (
	secondCut  = 2 * time.Second
	secondKill = 1200 * time.Millisecond
)

func storeLink(faults faultproxy.Faults) func(*cluster, int) func() {
	return func(cl *cluster, i int) func() { return cl.daemon(i).storeLink.add(faults) }
}

func workerLink(faults faultproxy.Faults) func(*cluster, int) func() {
	return func(cl *cluster, i int) func() { return cl.worker(i).link.add(faults) }
}

func storeFault(fault standinfleet.Fault, probability float64) func(*cluster, int) func() {
	return func(cl *cluster, _ int) func() { return cl.storeFaults.add(fault, probability) }
}

func workerFault(fault standinfleet.Fault, probability float64) func(*cluster, int) func() {
	return func(cl *cluster, i int) func() { return cl.worker(i).faults.add(fault, probability) }
}

// linkFaults combines the overlapping faults of a link.
type linkFaults struct {
	proxy *faultproxy.Proxy

	mu     sync.Mutex
	active map[int]faultproxy.Faults
	next   int
}

func (l *linkFaults) add(f faultproxy.Faults) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = map[int]faultproxy.Faults{}
	}
	id := l.next
	l.next++
	l.active[id] = f
	l.setLocked()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.active, id)
		l.setLocked()
	}
}

// setLocked applies the combination of all active faults. The caller holds the lock.
func (l *linkFaults) setLocked() {
	var sum faultproxy.Faults
	for _, f := range l.active {
		sum.Cut = sum.Cut || f.Cut
		sum.HoldRequests = sum.HoldRequests || f.HoldRequests
		sum.HoldAnswers = sum.HoldAnswers || f.HoldAnswers
		sum.DropAnswers = sum.DropAnswers || f.DropAnswers
		sum.Delay = max(sum.Delay, f.Delay)
	}
	l.proxy.Set(sum)
}

// callFaults combines the overlapping faults of calls to the store or to a worker.
type callFaults struct {
	mu     sync.Mutex
	active map[int]callFault
	next   int
}

type callFault struct {
	fault       standinfleet.Fault
	probability float64
}

func (c *callFaults) add(fault standinfleet.Fault, probability float64) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = map[int]callFault{}
	}
	id := c.next
	c.next++
	c.active[id] = callFault{fault, probability}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.active, id)
	}
}

// draw returns the fault that affects a call, or NoFault. A fault with a probability below
// 1 affects calls at random.
func (c *callFaults) draw(*http.Request) standinfleet.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.active {
		if rand.Float64() < f.probability {
			return f.fault
		}
	}
	return standinfleet.NoFault
}

// affectsAll reports whether a fault affects every call.
func (c *callFaults) affectsAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.active {
		if f.probability >= 1 {
			return true
		}
	}
	return false
}
