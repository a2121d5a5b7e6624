package dispatch

import (
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/lease"
)

// holdsLease reports whether this daemon holds the lease of the term. All that only the
// holder may do rests on it, not on whether the daemon holds the lease of a later epoch:
// another dispatcher may have changed what the term knows in between. The term ends then.
func (t *term) holdsLease() bool {
	status := t.cfg.Lease.Status()
	return status.Held && t.resumeLease(status)
}

// resumeLease continues the term if the lease expired during an outage and this daemon has
// acquired it again. It reports whether the term continues.
func (t *term) resumeLease(status lease.Status) bool {
	switch {
	case !continues(t.epoch, status.Epoch):
		t.endReason = "lease was held by another daemon in between"
	case status.Epoch > t.epoch:
		t.log.Info("Lease acquired again.", zap.Int64("epoch", status.Epoch))
		t.epoch = status.Epoch
	}
	return t.endReason == ""
}

// continues reports whether no other daemon has held the lease between two epochs of this
// one. Each takeover raises the epoch by one.
func continues(epoch, later int64) bool { return later == epoch || later == epoch+1 }

// mayExtendLeases reports whether the term may extend the leases of workers: while it holds
// its own lease, and for LeaseOutage after that. A successor counts on this bound, so it is
// checked for each extension, by a clock that counts the time of a suspension.
func (t *term) mayExtendLeases() bool {
	now := t.cfg.Lease.Now()
	switch {
	case t.holdsLease():
		t.lastHeldAt = now
	case t.endReason != "":
		return false
	case now.Sub(t.lastHeldAt) > t.cfg.LeaseOutage:
		t.endReason = "lease not renewed for too long"
		return false
	}
	return true
}
