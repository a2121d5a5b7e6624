package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

// scope tells what a fault touches: one daemon, all daemons or the workers.
type scope int

const (
	oneDaemon scope = iota
	allDaemons
	oneWorker
	operatorOnly
)

// faultKind is a kind of fault from outside the processes.
type faultKind struct {
	name     string
	scope    scope
	shortest time.Duration
	longest  time.Duration
	// begin injects the fault and returns what ends it.
	begin func(w *world, target int) (end func())
}

// slowLink is the delay of a slow link, each way and for each chunk.
const slowLink = 250 * time.Millisecond

// lossProbability of an answer while answers are lost.
const lossProbability = 0.3

// faultKinds are the kinds to draw from. New ones go to the end, because a seed that
// failed before is played with the first so many kinds.
var faultKinds = []faultKind{
	{"kill", oneDaemon, 300 * time.Millisecond, 2 * time.Second, func(w *world, i int) func() {
		d := w.daemon(i)
		d.kill()
		return d.start
	}},
	{"terminate", oneDaemon, 300 * time.Millisecond, 3 * time.Second, func(w *world, i int) func() {
		d := w.daemon(i)
		d.terminate()
		return d.start
	}},
	{"kill all daemons", allDaemons, 300 * time.Millisecond, 2 * time.Second, func(w *world, _ int) func() {
		w.eachDaemon((*daemon).kill)
		return func() { w.eachDaemon((*daemon).start) }
	}},
	{"pause", oneDaemon, 500 * time.Millisecond, 8 * time.Second, func(w *world, i int) func() { return w.daemon(i).pause() }},
	{"hang up", oneDaemon, 0, 0, func(w *world, i int) func() {
		for range 3 {
			w.daemon(i).hangUp()
		}
		return func() {}
	}},
	{"store cut", oneDaemon, time.Second, 8 * time.Second, storeLink(faultproxy.Faults{Cut: true})},
	{"store silent", oneDaemon, time.Second, 8 * time.Second, storeLink(faultproxy.HoldBoth())},
	{"store deaf", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{HoldRequests: true})},
	{"store mute", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{HoldAnswers: true})},
	{"store link slow", oneDaemon, time.Second, 6 * time.Second, storeLink(faultproxy.Faults{Delay: slowLink})},
	{"store answers reset", oneDaemon, 500 * time.Millisecond, 3 * time.Second, storeLink(faultproxy.Faults{DropAnswers: true})},
	{"store connections reset", allDaemons, 0, 0, func(w *world, _ int) func() {
		for _, d := range w.daemons {
			d.store.ResetConnections()
		}
		return func() {}
	}},
	{"turned away", oneDaemon, time.Second, 6 * time.Second, func(w *world, i int) func() {
		d := w.daemon(i)
		d.turnedAway.Add(1)
		return func() { d.turnedAway.Add(-1) }
	}},
	{"store down", allDaemons, time.Second, 8 * time.Second, storeFault(standinfleet.Busy, 1)},
	{"store hangs", allDaemons, time.Second, 6 * time.Second, storeFault(standinfleet.NoAnswer, 1)},
	{"store answers lost", allDaemons, time.Second, 5 * time.Second, storeFault(standinfleet.LoseAnswer, lossProbability)},
	{"store late", allDaemons, time.Second, 5 * time.Second, storeFault(standinfleet.ApplyLate, lossProbability)},
	{"history lost", allDaemons, 0, 0, func(w *world, _ int) func() {
		w.store.Compact()
		return func() {}
	}},
	{"worker crashes", oneWorker, 300 * time.Millisecond, 5 * time.Second, func(w *world, i int) func() { return w.worker(i).crash() }},
	{"worker cut", oneWorker, time.Second, 9 * time.Second, workerLink(faultproxy.Faults{Cut: true})},
	{"worker silent", oneWorker, time.Second, 9 * time.Second, workerLink(faultproxy.HoldBoth())},
	{"worker deaf", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{HoldRequests: true})},
	{"worker mute", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{HoldAnswers: true})},
	{"worker link slow", oneWorker, time.Second, 6 * time.Second, workerLink(faultproxy.Faults{Delay: slowLink})},
	{"worker unhealthy", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.Busy, 1)},
	{"worker answers lost", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.LoseAnswer, lossProbability)},
	{"worker late", oneWorker, time.Second, 6 * time.Second, workerFault(standinfleet.ApplyLate, lossProbability)},
	{"worker drains", oneWorker, 3 * time.Second, 6 * time.Second, func(w *world, i int) func() { return w.worker(i).drain() }},
	{"entry garbled", oneWorker, time.Second, 4 * time.Second, func(w *world, i int) func() { return w.worker(i).garble() }},
	{"zone out", operatorOnly, 2 * time.Second, 6 * time.Second, func(w *world, i int) func() {
		zone := w.zone(i)
		w.store.Put("op", "", "evacuate/"+zone, []byte("{}"))
		return func() { w.store.Remove("op", "", "evacuate/"+zone) }
	}},
	{"configurations", operatorOnly, 0, 0, func(w *world, _ int) func() {
		for range 5 {
			w.configure()
		}
		return func() {}
	}},
	{"store mute to all", allDaemons, time.Second, 4 * time.Second, storeFault(standinfleet.LoseAnswer, 1)},
}

func storeLink(faults faultproxy.Faults) func(*world, int) func() {
	return func(w *world, i int) func() { return w.daemon(i).storeLink.add(faults) }
}

func workerLink(faults faultproxy.Faults) func(*world, int) func() {
	return func(w *world, i int) func() { return w.worker(i).link.add(faults) }
}

func storeFault(fault standinfleet.Fault, probability float64) func(*world, int) func() {
	return func(w *world, _ int) func() { return w.storeFaults.add(fault, probability) }
}

func workerFault(fault standinfleet.Fault, probability float64) func(*world, int) func() {
	return func(w *world, i int) func() { return w.worker(i).faults.add(fault, probability) }
}

// linkFaults puts the faults of a link together that overlap.
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

// callFaults puts the faults of calls together that overlap.
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

// choose returns the fault of a call.
func (c *callFaults) choose(*http.Request) standinfleet.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.active {
		if rand.Float64() < f.probability {
			return f.fault
		}
	}
	return standinfleet.Healthy
}

// refusesAll tells whether no call is served.
func (c *callFaults) refusesAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.active {
		if f.probability >= 1 {
			return true
		}
	}
	return false
}
