package router

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/retry"
)

const (
	// failureWeight is the weight of the newest answer in the failure score.
	failureWeight = 0.25
	// ejectAbove is the failure score above which a minion is ejected: three
	// failures in a row on a minion without earlier failures.
	ejectAbove = 0.5
	// busyPause is the time for which a minion that refused a request as too busy
	// gets no other. Its former owner may still have requests on it.
	busyPause = 100 * time.Millisecond
)

// observation is what a request tells about the health of its minion.
type observation int

const (
	noObservation observation = iota
	cutOff                    // no whole answer because the time of the caller was up
	answered                  // a whole answer that is no failure of the minion
	failing                   // no whole answer, or an answer that says the minion cannot serve
	unreachable               // the connection was not made
	tooBusy                   // refused unread
)

// minion is a back end with the requests that this daemon runs on it.
type minion struct {
	vm      api.VM // never changes
	listed  bool   // named by the newest VM list
	leaving bool   // final for the instance
	busy    int
	late    int // of these, claimed requests whose caller no longer waits
	score   float64
	strikes int       // ejections without a good answer in between
	until   time.Time // no requests before; afterwards one at a time until a good answer
	state   string    // "ejected" or "silent" while strikes > 0
	reason  string
}

// usable tells whether the minion may get another request.
func (m *minion) usable(now time.Time, slots int) bool {
	if !m.listed || m.leaving || m.busy >= slots || now.Before(m.until) {
		return false
	}
	return m.strikes == 0 || m.busy == 0
}

// serving tells whether the minion counts as capacity.
func (m *minion) serving() bool { return m.listed && !m.leaving && m.strikes == 0 }

func (m *minion) status() string {
	switch {
	case m.leaving:
		return "leaving"
	case !m.listed:
		return "silent"
	case m.strikes > 0:
		return m.state
	default:
		return "live"
	}
}

// observe takes in what a request told. With few set, too few minions are in
// service and the back-off of an ejection does not grow.
func (m *minion) observe(o observation, reason string, now time.Time, few bool, pauses retry.Backoff) {
	switch o {
	case noObservation, cutOff:
	case tooBusy:
		m.until, m.reason = now.Add(busyPause), reason
	case answered:
		m.score *= 1 - failureWeight
		if m.strikes > 0 {
			m.score, m.strikes, m.until = 0, 0, time.Time{}
		}
		m.reason = ""
	case failing, unreachable:
		m.score = m.score*(1-failureWeight) + failureWeight
		m.reason = reason
		if m.strikes == 0 && m.score <= ejectAbove {
			return
		}
		if now.Before(m.until) {
			return // one of several requests that failed together
		}
		if m.strikes == 0 || !few {
			m.strikes++
		}
		m.until = now.Add(pauses.Delay(m.strikes))
		m.state = "ejected"
		if o == unreachable {
			m.state = "silent"
		}
	}
}
