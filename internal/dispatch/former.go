package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
)

const (
	// formerAskTimeout bounds a request to a former holder, formerAskDelay is the delay
	// between two. A machine that has lost power is back within seconds.
	formerAskTimeout = 400 * time.Millisecond
	formerAskDelay   = 250 * time.Millisecond
)

// formerHolders are the earlier holders of the leader lease whose terms may still run.
// They renew the leases of workers for up to Config.LeaseOutage without the leader lease.
type formerHolders struct {
	outage  time.Duration // Config.LeaseOutage
	running map[string]bool
	endedAt time.Time // when the last one is known to have ended; zero while one may run
}

func newFormerHolders(names []string, outage time.Duration, now time.Time) formerHolders {
	former := formerHolders{outage: outage, running: map[string]bool{}}
	for _, name := range names {
		former.running[name] = true
	}
	if len(former.running) == 0 {
		former.endedAt = now
	}
	return former
}

// lastRenewal returns when the last renewal of a worker's lease may have been sent by a
// former holder, given the start of the term.
func (f *formerHolders) lastRenewal(start time.Time) time.Time {
	if f.endedAt.IsZero() {
		return start.Add(f.outage)
	}
	return f.endedAt
}

// end records that the term of a former holder has ended.
func (f *formerHolders) end(name string, now time.Time) {
	delete(f.running, name)
	if len(f.running) == 0 && f.endedAt.IsZero() {
		f.endedAt = now
	}
}

// askFormerHolders asks each former holder to end its term, until it has.
func (t *term) askFormerHolders() {
	if t.cfg.EndFormerTerm == nil {
		return
	}
	for name := range t.former.running {
		if name != "" {
			go t.askFormerHolder(name, t.epoch)
		}
	}
}

func (t *term) askFormerHolder(name string, epoch int64) {
	defer telemetry.LogPanic(t.log, "request to a former dispatcher", zap.String("daemon", name))
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.LeaseOutage)
	defer cancel()
	for ctx.Err() == nil {
		if t.formerTermEnded(ctx, name, epoch) {
			now := time.Now()
			t.post(func() {
				t.log.Info("Former dispatcher has ended its term.", zap.String("daemon", name), zap.Int64("epoch", epoch), zap.Duration("after", now.Sub(t.startedAt)))
				t.former.end(name, now)
			})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(formerAskDelay):
		}
	}
}

func (t *term) formerTermEnded(ctx context.Context, name string, epoch int64) bool {
	ctx, cancel := context.WithTimeout(ctx, formerAskTimeout)
	defer cancel()
	ended, err := t.cfg.EndFormerTerm(ctx, name, epoch)
	return err == nil && ended
}

// endFormerHolders forgets the former holders in the lease once none of them can renew the
// lease of a worker any more.
func (t *term) endFormerHolders(now time.Time, status lease.Status) {
	if t.former.endedAt.IsZero() && now.Sub(t.startedAt) > t.cfg.LeaseOutage {
		t.former.endedAt = t.startedAt.Add(t.cfg.LeaseOutage)
	}
	if !t.former.endedAt.IsZero() && status.Held && status.Epoch == t.epoch && len(status.Former) > 0 {
		t.cfg.Lease.ForgetFormer(t.epoch)
	}
}
