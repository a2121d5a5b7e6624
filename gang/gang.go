// Package gang computes the common lease of the members of a gang, so that no
// member outlives another by more than one lease duration. The lease expires
// one lease duration after the oldest send time among the members' newest
// acknowledged renewals. Until all members have acknowledged a renewal, the
// expiry given at their start applies.
package gang

import "time"

// Expiry returns the expiry of the common lease. acknowledged holds the send
// time of the newest acknowledged renewal of each member, or zero if there is
// none. The result is never before initialExpiry, the expiry that the members
// were given at their start.
func Expiry(initialExpiry time.Time, acknowledged []time.Time, lease time.Duration) time.Time {
	oldest, ok := Oldest(acknowledged)
	if !ok {
		return initialExpiry
	}
	if common := oldest.Add(lease); common.After(initialExpiry) {
		return common
	}
	return initialExpiry
}

// Oldest returns the oldest send time. It returns false if a member has none or
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

// Lease records the acknowledged renewals of one gang. It is not safe for
// concurrent use.
type Lease struct {
	initialExpiry time.Time
	acknowledged  []time.Time
	lease         time.Duration
}

// New returns the lease of a gang. initialExpiry is the expiry that the members
// were given at their start, or the zero time if it is not known.
func New(members int, initialExpiry time.Time, lease time.Duration) *Lease {
	return &Lease{initialExpiry: initialExpiry, acknowledged: make([]time.Time, members), lease: lease}
}

// Acknowledge records that a member acknowledged the renewal sent at the given
// time. Acknowledgements may arrive in any order; older ones have no effect.
func (l *Lease) Acknowledge(member int, sent time.Time) {
	if sent.After(l.acknowledged[member]) {
		l.acknowledged[member] = sent
	}
}

// Expiry returns the expiry of the common lease, or the zero time if it is not
// known.
func (l *Lease) Expiry() time.Time { return Expiry(l.initialExpiry, l.acknowledged, l.lease) }

// AllAcknowledged reports whether every member has acknowledged a renewal.
func (l *Lease) AllAcknowledged() bool {
	_, ok := Oldest(l.acknowledged)
	return ok
}

// Acknowledged returns the send time of the newest acknowledged renewal of a
// member, or zero if there is none.
func (l *Lease) Acknowledged(member int) time.Time { return l.acknowledged[member] }
