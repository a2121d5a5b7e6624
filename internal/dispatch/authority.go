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
