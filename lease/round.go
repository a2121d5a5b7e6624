package lease

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// maxSendTimes bounds the send times stored for renewals without an answer.
const maxSendTimes = 64

// renew writes the held row with the next renewal number.
func (l *Lease) renew(ctx context.Context) {
	row := l.currentRow()
	row.Renewal = l.nextRenewal()
	if notice := l.cfg.Notice(); notice != nil {
		row.Notice = notice
	}
	row.Statement = l.cfg.Statement()
	result := l.write(ctx, row)
	switch result.Status {
	case table.Committed:
		l.observeVersion(result.Version)
		l.extendValidity(row)
	case table.Conflict, table.Unknown:
		l.readBack(ctx)
	case table.Unavailable, table.Rejected:
		l.cfg.Log.Warn("Lease renewal failed.", zap.Int64("epoch", row.Epoch), zap.Error(result.Err))
	}
}

// write replaces the row that was last observed. If the answer is lost, a read shows
// that the row was written, before the lease expires.
func (l *Lease) write(ctx context.Context, row api.PlannerLease) table.CommitResult {
	return l.commit(ctx, row, nil, nil)
}

// commit replaces the row that was last observed, under further conditions and with
// further writes.
func (l *Lease) commit(ctx context.Context, row api.PlannerLease, conditions []table.Condition, writes []table.Write) table.CommitResult {
	value := encode(row)
	conditions = append([]table.Condition{{Key: l.leaseKey(), Version: l.observed.version}}, conditions...)
	writes = append([]table.Write{{Key: l.leaseKey(), Value: value}}, writes...)
	return table.CommitConfirmed(ctx, l.cfg.Store, conditions, writes,
		table.Confirmation{Key: l.leaseKey(), Applied: func(stored table.Row) bool { return bytes.Equal(stored.Value, value) }})
}

// nextRenewal returns a renewal number that this process has not used, and
// records its send time.
func (l *Lease) nextRenewal() int64 {
	next := l.row.Renewal + 1
	for n := range l.sentAt {
		next = max(next, n+1)
	}
	if len(l.sentAt) >= maxSendTimes {
		l.dropOldestSendTime()
	}
	l.sentAt[next] = l.cfg.Now()
	return next
}

func (l *Lease) dropOldestSendTime() {
	oldest, found := int64(0), false
	for n := range l.sentAt {
		if !found || n < oldest {
			oldest, found = n, true
		}
	}
	delete(l.sentAt, oldest)
}

// readBack reads the row after a renewal whose answer was lost or whose condition did
// not hold, and determines whether this process still holds the lease.
func (l *Lease) readBack(ctx context.Context) {
	row, version, ok := l.read(ctx)
	if !ok {
		return
	}
	l.observeVersion(version)
	if l.owns(row) && row.Epoch == l.row.Epoch {
		l.extendValidity(row)
		return
	}
	l.markNotHeld(row, time.Time{})
}

// noteRead records an answered read of the row and returns a time that is not after its last
// renewal: that of the last read that showed an earlier one, or zero.
func (l *Lease) noteRead(version int64, sent time.Time) time.Time {
	previous := l.lastRead
	l.lastRead = answeredRead{sent: sent, version: version}
	if version == previous.version {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.renewedAfter
	}
	return previous.sent
}

// observe reads the row and takes over when the row belongs to this incarnation, has
// been free for TakeoverDelay, or has not changed for LeaseTime + TakeoverDelay. After a
// release it only reads.
func (l *Lease) observe(ctx context.Context) {
	sent := l.cfg.Now()
	row, version, ok := l.read(ctx)
	l.mu.Lock()
	l.readFailed = !ok
	l.mu.Unlock()
	if !ok {
		l.observed.valid = false
		return
	}
	l.observeVersion(version)
	l.markNotHeld(row, l.noteRead(version, sent))
	if l.isReleased() || !l.cfg.Healthy() {
		return
	}
	unchanged := l.cfg.Now().Sub(l.observed.since)
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
	row := api.PlannerLease{Holder: l.cfg.Holder, Incarnation: l.cfg.Incarnation, Epoch: epoch + 1, Renewal: l.nextRenewal(), Former: formerHolders(old, l.cfg.Holder), Notice: old.Notice}
	result := l.commit(ctx, row, []table.Condition{{Key: l.fenceKey(), Version: fence.Version}},
		[]table.Write{{Key: l.fenceKey(), Value: encode(api.PlannerFence{Epoch: row.Epoch})}})
	version := result.Version
	if result.Status == table.Unknown {
		var applied bool
		if version, applied = l.takeOverApplied(ctx, row); !applied {
			return
		}
	} else if result.Status != table.Committed {
		return
	}
	l.acquire(row, version)
}

// maxFormer bounds the earlier holders that a row names.
const maxFormer = 8

// formerHolders returns the holders before a takeover by a machine that may still act as
// such. One that has released the lease does not, nor does an earlier process of the
// machine.
func formerHolders(old api.PlannerLease, self string) []string {
	former := slices.DeleteFunc(slices.Clone(old.Former), func(name string) bool { return name == old.Holder || name == self })
	if old.Holder != "" && old.Holder != self {
		former = append(former, old.Holder)
	}
	if len(former) > maxFormer {
		former = append([]string{""}, former[len(former)-maxFormer+1:]...)
	}
	return former
}

// takeOverApplied reads the row back and reports whether a takeover without an answer
// was applied. If it is applied later, the next observation finds a row of this
// incarnation and takes over again.
func (l *Lease) takeOverApplied(ctx context.Context, want api.PlannerLease) (int64, bool) {
	row, version, ok := l.read(ctx)
	return version, ok && l.owns(row) && row.Epoch == want.Epoch && row.Renewal == want.Renewal
}

func (l *Lease) acquire(row api.PlannerLease, version int64) {
	l.observeVersion(version)
	l.mu.Lock()
	// The fence row was written by the same commit and only a takeover writes it.
	l.fence = table.Condition{Key: l.fenceKey(), Version: version}
	l.acquired, l.acquiredVersion = true, version
	l.signalLocked()
	l.mu.Unlock()
	l.extendValidity(row)
	l.cfg.Log.Info("Lease acquired.", zap.Int64("epoch", row.Epoch))
}

// extendValidity records the held row and extends the time for which the lease counts
// as held, measured from when the row's renewal was sent.
func (l *Lease) extendValidity(row api.PlannerLease) {
	sent, known := l.sentAt[row.Renewal]
	for n := range l.sentAt {
		if n < row.Renewal {
			delete(l.sentAt, n)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row = row
	if known {
		l.renewedAfter = sent
	}
	if until := sent.Add(l.cfg.LeaseTime - l.cfg.Margin); known && until.After(l.validUntil) {
		l.validUntil = until
	}
}

// markNotHeld records a row that does not give the lease to this process, and a time that is
// not after its renewal.
func (l *Lease) markNotHeld(row api.PlannerLease, renewedAfter time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acquired && !l.released {
		l.acquired, l.validUntil = false, time.Time{}
		l.cfg.Log.Warn("Lease lost.", zap.Int64("epoch", l.row.Epoch), zap.String("holder", row.Holder))
		l.signalLocked()
	}
	l.row, l.renewedAfter = row, renewedAfter
}

// observeVersion records the version of the row and when it was first observed.
func (l *Lease) observeVersion(version int64) {
	if l.observed.valid && l.observed.version == version {
		return
	}
	l.observed = observation{version: version, since: l.cfg.Now(), valid: true}
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
		l.cfg.Log.Error("Failed to decode the lease row.", zap.Error(err))
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
