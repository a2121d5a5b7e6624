package jobs

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/table"
)

// commit writes the changes of a group in one commit. Changes in conflict are
// removed, and the remaining ones are committed again.
func (w *Writer) commit(ctx context.Context, group []*pending) {
	for first := true; len(group) > 0; first = false {
		if !first && w.cfg.Limiter.Wait(ctx) != nil {
			w.finish(group, ChangeResult{Status: NotWritten, Err: ctx.Err()})
			return
		}
		fence, leaseHeld := w.cfg.Fence()
		fenced := group[0].change.Fenced
		if fenced && !leaseHeld {
			w.finish(group, ChangeResult{Status: Fenced})
			return
		}
		result := w.send(ctx, group, fence)
		if result.Status == table.Unknown {
			group = w.resolve(ctx, group, fence)
			continue
		}
		group = w.handleResult(group, result, fence)
	}
}

func (w *Writer) send(ctx context.Context, group []*pending, fence table.Condition) table.CommitResult {
	var conditions []table.Condition
	if group[0].change.Fenced {
		conditions = append(conditions, fence)
	}
	var writes []table.Write
	for _, p := range group {
		key := Key(p.change.Job.ID)
		conditions = append(conditions, table.Condition{Key: key, Version: p.change.Version})
		writes = append(writes, table.Write{Key: key, Value: p.value, Delete: p.change.Delete})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	w.cfg.Scope.Counter("commits").Inc(1)
	w.cfg.Scope.Counter("changes").Inc(int64(len(group)))
	return w.cfg.Store.Commit(ctx, conditions, writes)
}

// handleResult reports the outcome of an answered commit to the callers of Apply,
// and returns the changes to commit again.
func (w *Writer) handleResult(group []*pending, result table.CommitResult, fence table.Condition) []*pending {
	switch result.Status {
	case table.Committed:
		w.reportCommitted(group, result.Version)
	case table.Unavailable:
		w.finish(group, ChangeResult{Status: NotWritten, Err: result.Err})
	case table.Conflict:
		return w.removeConflicts(group, result.Conflicts, fence)
	default:
		w.finish(group, ChangeResult{Status: OutcomeUnknown, Err: result.Err})
	}
	return nil
}

// removeConflicts reports the changes in conflict as stale and returns the others.
func (w *Writer) removeConflicts(group []*pending, conflicts []string, fence table.Condition) []*pending {
	conflicting := map[string]bool{}
	for _, key := range conflicts {
		conflicting[key] = true
	}
	if group[0].change.Fenced && conflicting[fence.Key] {
		w.finish(group, ChangeResult{Status: Fenced})
		return nil
	}
	var stale, remaining []*pending
	for _, p := range group {
		if conflicting[Key(p.change.Job.ID)] {
			stale = append(stale, p)
			continue
		}
		remaining = append(remaining, p)
	}
	if len(stale) == 0 {
		stale, remaining = group, nil // the store named no key of the group
	}
	w.finish(stale, ChangeResult{Status: Stale})
	w.cfg.Follower.RequestRefresh()
	return remaining
}

// resolve determines the outcome of a commit whose answer was lost. It sends the
// same commit again: its conditions let at most one of the two take effect. It
// returns the changes that certainly were not made and may be committed again.
func (w *Writer) resolve(ctx context.Context, group []*pending, fence table.Condition) []*pending {
	deadline := time.Now().Add(resolveTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if version, found := w.findWritten(ctx, group); found {
			w.reportCommitted(group, version)
			return nil
		}
		if w.cfg.Limiter.Wait(ctx) != nil {
			break
		}
		result := w.send(ctx, group, fence)
		if result.Status == table.Committed {
			w.reportCommitted(group, result.Version)
			return nil
		}
		if result.Status == table.Conflict {
			// The first commit took effect or never can: its conditions fail now.
			if version, found := w.findWritten(ctx, group); found {
				w.reportCommitted(group, version)
				return nil
			}
			return w.removeConflicts(group, result.Conflicts, fence)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resolveRetryDelay):
		}
	}
	w.cfg.Log.Warn("Outcome of a commit of job rows could not be determined in time.", zap.Int("changes", len(group)))
	w.finish(group, ChangeResult{Status: OutcomeUnknown})
	return nil
}

// findWritten reads the rows back and returns the version of the commit. One row
// with the written value shows that the whole commit took effect.
func (w *Writer) findWritten(ctx context.Context, group []*pending) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, p := range group {
		if p.change.Delete {
			continue
		}
		row, found, err := w.cfg.Store.Get(ctx, Key(p.change.Job.ID))
		if err != nil {
			return 0, false
		}
		if found && row.Version > p.change.Version && bytes.Equal(row.Value, p.value) {
			return row.Version, true
		}
	}
	return 0, false
}

func (w *Writer) reportCommitted(group []*pending, version int64) {
	for _, p := range group {
		if p.change.Delete {
			w.cfg.Follower.Remove(p.change.Job.ID, version)
		} else {
			w.cfg.Follower.Observe(p.change.Job, version)
		}
	}
	w.finish(group, ChangeResult{Status: Committed, Version: version})
	// A hint about one job makes the other daemons read all changed rows.
	w.cfg.Follower.NotifyPeers(group[0].change.Job.ID)
}

func (w *Writer) finish(group []*pending, result ChangeResult) {
	for _, p := range group {
		p.done <- result
	}
}
