package main

import (
	"net"
	"regexp"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

// endpoint is the address of a worker or a daemon. Daemons in other zones reach it through
// one proxy for each zone.
type endpoint struct {
	zone      string
	address   string                 // inside its own zone
	crossings map[string]*linkFaults // by the zone of the caller
}

// addEndpoint creates the proxies of an endpoint. They listen on its IP address, so that
// all its addresses have the same length.
func (cl *cluster) addEndpoint(zone, address string) (*endpoint, error) {
	e := &endpoint{zone: zone, address: address, crossings: map[string]*linkFaults{}}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	cl.endpoints[address] = e
	for i := range cl.zones {
		if caller := cl.zone(i); caller != zone {
			proxy, err := faultproxy.New(faultproxy.Config{Listen: net.JoinHostPort(host, "0"), Target: address})
			if err != nil {
				return nil, err
			}
			e.crossings[caller] = &linkFaults{proxy: proxy}
			cl.endpoints[proxy.Address()] = e
		}
	}
	return e, nil
}

// addressFrom returns the address that daemons of a zone use.
func (e *endpoint) addressFrom(zone string) string {
	if link, ok := e.crossings[zone]; ok {
		return link.proxy.Address()
	}
	return e.address
}

// addressPattern matches addresses with ports of five digits, which all endpoints have.
var addressPattern = regexp.MustCompile(`127(\.\d+){3}:\d{5}`)

// viewFrom returns the view of the rows that hold addresses of endpoints for the daemons of
// a zone. It replaces addresses by others of the same length, which is right in JSON and in
// CBOR.
func (cl *cluster) viewFrom(zone string) standinfleet.View {
	return func(table string, value []byte) []byte {
		if table != "servers" && table != "daemons" && table != "progress" {
			return value
		}
		return addressPattern.ReplaceAllFunc(value, func(address []byte) []byte {
			if e, ok := cl.endpoints[string(address)]; ok {
				return []byte(e.addressFrom(zone))
			}
			return address
		})
	}
}

// cutOffZone cuts all links between a zone and the store or other zones until the returned
// function is called. The target selects whether they reset connections or are silent.
func (cl *cluster) cutOffZone(zone string, target int) (restore func()) {
	if cl.zones == 1 {
		return func() {}
	}
	faults := []faultproxy.Faults{{Cut: true}, faultproxy.HoldBoth()}[target/cl.zones%2]
	var heals []func()
	for address, e := range cl.endpoints {
		for caller, link := range e.crossings {
			if address == e.address && (e.zone == zone || caller == zone) {
				heals = append(heals, link.add(faults))
			}
		}
	}
	for _, d := range cl.daemonsOf(zone) {
		heals = append(heals, d.storeLink.add(faults))
	}
	for _, w := range cl.workersOf(zone) {
		w.add(&w.cutCount, 1)
		heals = append(heals, func() { w.add(&w.cutCount, -1) })
	}
	return func() { healAll(heals) }
}

const (
	// A dispatcher acts for 12 s without its lease, which it loses up to 1.5 s after a cut.
	// It is paused before that, and continues afterwards, while the leases of 6 s that it
	// has renewed are valid. The target selects the times.
	earliestPause = 10500 * time.Millisecond
	shortestPause = 4 * time.Second
	pauseStep     = 500 * time.Millisecond
)

// cutOffDispatcher cuts off the zone of the dispatcher and pauses its daemons once meanwhile.
func (cl *cluster) cutOffDispatcher(target int) (restore func()) {
	zone := cl.zone(cl.dispatcher(target))
	reconnect := cl.cutOffZone(zone, target)
	if cl.zones == 1 {
		return reconnect
	}
	duration := shortestPause + time.Duration(target/4%3)*pauseStep
	timer := time.AfterFunc(earliestPause+time.Duration(target%4)*pauseStep, func() {
		for _, d := range cl.daemonsOf(zone) {
			time.AfterFunc(duration, d.pause())
		}
	})
	return func() {
		timer.Stop()
		reconnect()
	}
}

// hideWorkers cuts the links of other zones to every second worker of a zone until the
// returned function is called.
func (cl *cluster) hideWorkers(target int) (restore func()) {
	var heals []func()
	for i, w := range cl.workersOf(cl.zone(target)) {
		for _, link := range w.endpoint.crossings {
			if i%2 == target/cl.zones%2 {
				heals = append(heals, link.add(faultproxy.Faults{Cut: true}))
			}
		}
	}
	return func() { healAll(heals) }
}

func healAll(heals []func()) {
	for _, heal := range heals {
		heal()
	}
}

func (cl *cluster) daemonsOf(zone string) []*daemon {
	return slices.DeleteFunc(slices.Clone(cl.daemons), func(d *daemon) bool { return d.zone != zone })
}

func (cl *cluster) workersOf(zone string) []*worker {
	return slices.DeleteFunc(slices.Clone(cl.workers), func(w *worker) bool { return w.zone != zone })
}
