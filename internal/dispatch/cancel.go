package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/table"
)

// earlyCancel is the cancellation of a job that is not known.
type earlyCancel struct {
	version int64 // version of its row
	seenAt  time.Time
}

// cancelJob cancels a job. The cancellation of an unknown job is kept, in case that its
// submission is applied later.
func (t *term) cancelJob(id string, version int64) {
	j, known := t.jobs[id]
	if !known {
		if _, finished := t.finished[id]; !finished {
			t.earlyCancels[id] = earlyCancel{version: version, seenAt: time.Now()}
		}
		return
	}
	delete(t.earlyCancels, id)
	if !j.tracker.Cancel(time.Now()) {
		return
	}
	t.log.Info("Job cancelled.", zap.String("job", id), zap.Int("runs", len(j.runs)))
	t.markChanged(j)
	t.stopJobRuns(j, "cancelled")
}

// forgetEarlyCancels deletes the cancellations of unknown jobs whose submissions can no
// longer be applied. A failed attempt is repeated after CancelRetention.
func (t *term) forgetEarlyCancels(now time.Time) {
	if !t.jobsListed || t.deletingCancels {
		return
	}
	expired := map[string]earlyCancel{}
	for id, cancel := range t.earlyCancels {
		if now.Sub(cancel.seenAt) > t.cfg.CancelRetention && len(expired) < maxExpiredJobs {
			expired[id] = cancel
		}
	}
	if len(expired) == 0 {
		return
	}
	t.deletingCancels = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		deleted := map[string]bool{}
		for id, early := range expired {
			deleted[id] = t.deleteEarlyCancel(ctx, id, early)
		}
		t.post(func() {
			t.deletingCancels = false
			for id, early := range expired {
				switch known, found := t.earlyCancels[id]; {
				case !found || known.version != early.version:
				case deleted[id]:
					delete(t.earlyCancels, id)
				default:
					t.earlyCancels[id] = earlyCancel{version: early.version, seenAt: time.Now()}
				}
			}
		})
	}()
}

// deleteEarlyCancel deletes the row of a cancellation unless its job has been stored or it
// was requested again, and reports whether the row is gone.
func (t *term) deleteEarlyCancel(ctx context.Context, id string, early earlyCancel) bool {
	key := JobsPrefix + id
	conditions := []table.Condition{{Key: key}, {Key: key + CancelSuffix, Version: early.version}}
	switch t.cfg.Store.Commit(ctx, conditions, []table.Write{{Key: key + CancelSuffix, Delete: true}}).Status {
	case table.Committed:
		return true
	case table.Conflict:
		_, found, err := t.cfg.Store.Get(ctx, key+CancelSuffix)
		return err == nil && !found
	}
	return false
}
