package lease

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// keptSendTimes bounds the send times kept for renewals without an answer.
const keptSendTimes = 64

// renew raises the renewal number of the held row.
func (l *Lease) renew(ctx context.Context) {
	row := l.row
	row.Renewal = l.nextRenewal()
	result := l.cfg.Store.Commit(ctx, []table.Condition{{Key: l.leaseKey(), Version: l.seen.version}},
		[]table.Write{{Key: l.leaseKey(), Value: encode(row)}})
	switch result.Status {
	case table.Committed:
		l.see(result.Version)
		l.believe(row)
	case table.Conflict, table.Unknown:
		l.readBack(ctx)
	case table.Unavailable:
		l.cfg.Log.Warn("Lease renewal failed.", zap.Int64("epoch", row.Epoch), zap.Error(result.Err))
	}
}

// nextRenewal returns a renewal number that this process has not used, and
// records its send time.
func (l *Lease) nextRenewal() int64 {
	next := l.row.Renewal + 1
	for n := range l.sent {
		next = max(next, n+1)
	}
	if len(l.sent) >= keptSendTimes {
		l.forgetOldest()
	}
	l.sent[next] = l.cfg.Now()
	return next
}

func (l *Lease) forgetOldest() {
	oldest, found := int64(0), false
	for n := range l.sent {
		if !found || n < oldest {
			oldest, found = n, true
		}
	}
	delete(l.sent, oldest)
}

// readBack settles a renewal whose answer was lost or that met another version.
func (l *Lease) readBack(ctx context.Context) {
	row, version, ok := l.read(ctx)
	if !ok {
		return
	}
	l.see(version)
	if l.owns(row) && row.Epoch == l.row.Epoch {
		l.believe(row)
		return
	}
	l.drop(row)
}

// observe reads the row and takes over when the row is free, belongs to this
// incarnation, or has not changed for the lease time.
func (l *Lease) observe(ctx context.Context) {
	if l.isReleased() {
		return
	}
	row, version, ok := l.read(ctx)
	if !ok {
		l.seen.valid = false
		return
	}
	l.see(version)
	l.drop(row)
	unchanged := l.cfg.Now().Sub(l.seen.since)
	free := version == 0 || row.Holder == ""
	if l.owns(row) || free && unchanged >= l.cfg.TakeoverDelay || unchanged >= l.cfg.LeaseTime+l.cfg.TakeoverDelay {
		l.takeOver(ctx, row)
	}
}

// takeOver raises the epoch in the lease and fence rows in one transaction.
func (l *Lease) takeOver(ctx context.Context, old api.PlannerLease) {
	fence, found, err := l.cfg.Store.Get(ctx, l.fenceKey())
	if err != nil {
		return
	}
	epoch := old.Epoch
	if found {
		var f api.PlannerFence
		if json.Unmarshal(fence.Value, &f) == nil {
			epoch = max(epoch, f.Epoch)
		}
	}
	row := api.PlannerLease{Holder: l.cfg.Holder, Incarnation: l.cfg.Incarnation, Epoch: epoch + 1, Renewal: l.nextRenewal()}
	result := l.cfg.Store.Commit(ctx,
		[]table.Condition{{Key: l.leaseKey(), Version: l.seen.version}, {Key: l.fenceKey(), Version: fence.Version}},
		[]table.Write{{Key: l.leaseKey(), Value: encode(row)}, {Key: l.fenceKey(), Value: encode(api.PlannerFence{Epoch: row.Epoch})}})
	version := result.Version
	if result.Status == table.Unknown {
		var landed bool
		if version, landed = l.takeOverLanded(ctx, row); !landed {
			return
		}
	} else if result.Status != table.Committed {
		return
	}
	l.take(row, version)
}

// takeOverLanded reads both rows back. A takeover that lands later is found by
// the next observation as a row of this incarnation and is followed by another.
func (l *Lease) takeOverLanded(ctx context.Context, want api.PlannerLease) (int64, bool) {
	row, version, ok := l.read(ctx)
	return version, ok && row == want
}

func (l *Lease) take(row api.PlannerLease, version int64) {
	l.see(version)
	l.mu.Lock()
	// The fence row was written by the same commit and only a takeover writes it.
	l.fence = table.Condition{Key: l.fenceKey(), Version: version}
	l.mine, l.takenAt = true, version
	l.signalLocked()
	l.mu.Unlock()
	l.believe(row)
	l.cfg.Log.Info("Lease taken.", zap.Int64("epoch", row.Epoch))
}

// believe extends the belief from the send time of the renewal seen in the row.
func (l *Lease) believe(row api.PlannerLease) {
	sent, known := l.sent[row.Renewal]
	for n := range l.sent {
		if n < row.Renewal {
			delete(l.sent, n)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row = row
	if until := sent.Add(l.cfg.LeaseTime - l.cfg.Margin); known && until.After(l.until) {
		l.until = until
	}
}

// drop records that another row is in force.
func (l *Lease) drop(row api.PlannerLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mine {
		l.mine, l.until = false, time.Time{}
		l.cfg.Log.Warn("Lease lost.", zap.Int64("epoch", l.row.Epoch), zap.String("holder", row.Holder))
		l.signalLocked()
	}
	l.row = row
}

// see records the version of the row and when it was first seen.
func (l *Lease) see(version int64) {
	if l.seen.valid && l.seen.version == version {
		return
	}
	l.seen = observation{version: version, since: l.cfg.Now(), valid: true}
}

func (l *Lease) read(ctx context.Context) (api.PlannerLease, int64, bool) {
	stored, found, err := l.cfg.Store.Get(ctx, l.leaseKey())
	if err != nil {
		return api.PlannerLease{}, 0, false
	}
	if !found {
		return api.PlannerLease{}, 0, true
	}
	var row api.PlannerLease
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		l.cfg.Log.Error("Lease row cannot be decoded.", zap.Error(err))
		return api.PlannerLease{}, 0, false
	}
	return row, stored.Version, true
}

func (l *Lease) owns(row api.PlannerLease) bool {
	return row.Holder == l.cfg.Holder && row.Incarnation == l.cfg.Incarnation
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}
