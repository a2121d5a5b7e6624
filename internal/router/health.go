package router

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/retry"
)

const (
	// failureWeight is the weight of the newest observation in the failure score,
	// an exponentially weighted moving average.
	failureWeight = 0.25
	// ejectionThreshold is the failure score above which a minion is ejected. Three
	// failures in a row exceed it on a minion without earlier failures.
	ejectionThreshold = 0.5
	// busyBackoff is the time for which a minion that refused a request as too busy
	// gets no other request. A minion refuses requests when requests of its former
	// owner still occupy its slots.
	busyBackoff = 100 * time.Millisecond
)

// observation is what the end of a request shows about the health of its minion.
type observation int

const (
	noObservation    observation = iota
	deadlineExceeded             // no complete answer before the deadline of the caller
	answered                     // a complete answer that is no failure of the minion
	failed                       // no complete answer, or an answer that says the minion cannot serve
	unreachable                  // no connection to the minion
	tooBusy                      // the minion refused the request without processing it
)

// minion holds the load and health of a back end, as seen by this daemon.
type minion struct {
	vm            api.VM // immutable
	listed        bool   // in the newest VM list
	leaving       bool   // leaves service; never reset for the same instance
	busySlots     int    // slots that hold requests of this daemon
	overdueSlots  int    // busy slots whose claimed request has passed its deadline
	failureScore  float64
	ejections     int       // consecutive ejections without an answer in between
	blockedUntil  time.Time // no requests before this time; afterwards one at a time while ejections > 0
	ejectionState string    // "ejected" or "silent" while ejections > 0
	reason        string
}

// usable reports whether the minion may get another request.
func (m *minion) usable(now time.Time, slots int) bool {
	if !m.listed || m.leaving || m.busySlots >= slots || now.Before(m.blockedUntil) {
		return false
	}
	return m.ejections == 0 || m.busySlots == 0
}

// inService reports whether the minion counts as capacity.
func (m *minion) inService() bool { return m.listed && !m.leaving && m.ejections == 0 }

func (m *minion) status() string {
	switch {
	case m.leaving:
		return "leaving"
	case !m.listed:
		return "silent"
	case m.ejections > 0:
		return m.ejectionState
	default:
		return "live"
	}
}

// observe updates the health of the minion. With fewInService the back-off of an
// ejected minion does not grow.
func (m *minion) observe(o observation, reason string, now time.Time, fewInService bool, backoff retry.Backoff) {
	switch o {
	case noObservation, deadlineExceeded:
	case tooBusy:
		m.blockedUntil, m.reason = now.Add(busyBackoff), reason
	case answered:
		m.failureScore *= 1 - failureWeight
		if m.ejections > 0 {
			m.failureScore, m.ejections, m.blockedUntil = 0, 0, time.Time{}
		}
		m.reason = ""
	case failed, unreachable:
		m.failureScore = m.failureScore*(1-failureWeight) + failureWeight
		m.reason = reason
		if m.ejections == 0 && m.failureScore <= ejectionThreshold {
			return
		}
		if now.Before(m.blockedUntil) {
			return // several requests failed at once and count as one ejection
		}
		if m.ejections == 0 || !fewInService {
			m.ejections++
		}
		m.blockedUntil = now.Add(backoff.Delay(m.ejections))
		m.ejectionState = "ejected"
		if o == unreachable {
			m.ejectionState = "silent"
		}
	}
}
