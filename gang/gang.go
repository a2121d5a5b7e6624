// Package gang computes the common lease of the members of a gang, so that no
// member outlives another by more than one lease time. The common expiry is the
// oldest send time among the members' newest acknowledged renewals plus the
// lease time. Until all members have acknowledged once, the expiry given at the
// start holds.
package gang

import "time"

// Expiry returns the common expiry. acknowledged holds for each member the send
// time of its newest acknowledged renewal, zero when there is none. The result is
// never before the expiry given at the start.
func Expiry(start time.Time, acknowledged []time.Time, lease time.Duration) time.Time {
	oldest, ok := Oldest(acknowledged)
	if !ok {
		return start
	}
	if common := oldest.Add(lease); common.After(start) {
		return common
	}
	return start
}

// Oldest returns the oldest send time, and false when a member has none or
// there are no members.
func Oldest(acknowledged []time.Time) (time.Time, bool) {
	var oldest time.Time
	for i, sent := range acknowledged {
		if sent.IsZero() {
			return time.Time{}, false
		}
		if i == 0 || sent.Before(oldest) {
			oldest = sent
		}
	}
	return oldest, len(acknowledged) > 0
}

// Lease keeps the acknowledgements of one gang. It is not safe for concurrent use.
type Lease struct {
	start        time.Time
	acknowledged []time.Time
	lease        time.Duration
}

// New returns the lease of a gang. start is the expiry that the members were
// started with; the zero time means that it is not known.
func New(members int, start time.Time, lease time.Duration) *Lease {
	return &Lease{start: start, acknowledged: make([]time.Time, members), lease: lease}
}

// Acknowledge records that a member answered the renewal sent at that time.
// Answers may arrive in any order; an older one changes nothing.
func (l *Lease) Acknowledge(member int, sent time.Time) {
	if sent.After(l.acknowledged[member]) {
		l.acknowledged[member] = sent
	}
}

// Expiry returns the common expiry, the zero time when none is known.
func (l *Lease) Expiry() time.Time { return Expiry(l.start, l.acknowledged, l.lease) }

// AllAcknowledged tells whether every member has acknowledged once.
func (l *Lease) AllAcknowledged() bool {
	_, ok := Oldest(l.acknowledged)
	return ok
}

// Acknowledged returns the send time of the newest acknowledged renewal of a
// member, zero when there is none.
func (l *Lease) Acknowledged(member int) time.Time { return l.acknowledged[member] }
