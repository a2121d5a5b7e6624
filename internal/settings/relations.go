package settings

import (
	"net/netip"
	"time"
)

// checkRelations checks the conditions that involve more than one key.
func (l *loader) checkRelations() {
	l.checkListeners()
	l.checkMinRatio("peers.heartbeat_every", "peers.lost_after", 2)
	l.checkMinRatio("timing.planner_renew_every", "timing.planner_lease", 2)
	l.checkMinRatio("timing.task_renew_every", "timing.task_lease", 2)
	l.checkTraces()
}

// checkListeners parses the addresses of the listeners and reports two with the same
// address. A listener on all addresses conflicts with every other one on its port.
func (l *loader) checkListeners() {
	type listener struct {
		key     string
		address netip.AddrPort
	}
	var listeners []listener
	for _, key := range []string{"listen.callers", "listen.operators", "listen.peers"} {
		if !l.present(key) {
			continue
		}
		address, err := netip.ParseAddrPort(l.text(key))
		if err != nil || address.Port() == 0 {
			l.report(key, "%q is not an IP address and port such as \"10.0.0.1:7000\"", l.text(key))
			continue
		}
		for _, other := range listeners {
			if overlaps(address, other.address) {
				l.report(key, "%s is already used by %s", address, other.key)
				break
			}
		}
		listeners = append(listeners, listener{key, address})
	}
}

func overlaps(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkMinRatio requires the long duration to be at least factor times the short
// one, so that one late message does not expire a lease or make a peer count as
// lost.
func (l *loader) checkMinRatio(short, long string, factor int64) {
	if !l.usable(short, long) {
		return
	}
	if minimum := factor * l.number(short); l.number(long) < minimum {
		key := long
		if _, present := l.lines[long]; !present {
			key = short
		}
		l.report(key, "%s must be at least %d times %s, which is %s",
			long, factor, short, time.Duration(l.number(short)))
	}
}

func (l *loader) checkTraces() {
	if !l.usable("traces.exporter") {
		return
	}
	switch l.settings.Traces.Exporter {
	case "file":
		if l.usable("traces.file") && l.settings.Traces.File == "" {
			l.report("traces.file", "is needed by the exporter file")
		}
	case "otlp":
		if !l.usable("traces.otlp_url") {
			return
		}
		if l.settings.Traces.OtlpURL == "" {
			l.report("traces.otlp_url", "is needed by the exporter otlp")
			return
		}
		l.checkURL("traces.otlp_url")
	}
}
