package jobs

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/table"
)

// commit makes the changes of a group in one commit. Changes in conflict are
// taken out, and the rest is committed again.
func (w *Writer) commit(ctx context.Context, group []*pending) {
	for first := true; len(group) > 0; first = false {
		if !first && w.cfg.Limiter.Wait(ctx) != nil {
			w.finish(group, ChangeResult{Status: NotWritten, Err: ctx.Err()})
			return
		}
		fence, held := w.cfg.Fence()
		fenced := group[0].change.Fenced
		if fenced && !held {
			w.finish(group, ChangeResult{Status: Fenced})
			return
		}
		result := w.send(ctx, group, fence)
		if result.Status == table.Unknown {
			group = w.settle(ctx, group, fence)
			continue
		}
		group = w.conclude(group, result, fence)
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

// conclude hands out the outcomes of a commit that was answered, and returns the
// changes to commit again.
func (w *Writer) conclude(group []*pending, result table.CommitResult, fence table.Condition) []*pending {
	switch result.Status {
	case table.Committed:
		w.committed(group, result.Version)
	case table.Unavailable:
		w.finish(group, ChangeResult{Status: NotWritten, Err: result.Err})
	case table.Conflict:
		return w.split(group, result.Conflicts, fence)
	default:
		w.finish(group, ChangeResult{Status: Unsettled, Err: result.Err})
	}
	return nil
}

// split takes the changes in conflict out of the group.
func (w *Writer) split(group []*pending, conflicts []string, fence table.Condition) []*pending {
	failed := map[string]bool{}
	for _, key := range conflicts {
		failed[key] = true
	}
	if group[0].change.Fenced && failed[fence.Key] {
		w.finish(group, ChangeResult{Status: Fenced})
		return nil
	}
	var stale, rest []*pending
	for _, p := range group {
		if failed[Key(p.change.Job.ID)] {
			stale = append(stale, p)
			continue
		}
		rest = append(rest, p)
	}
	if len(stale) == 0 {
		stale, rest = group, nil // the store named no key of the group
	}
	w.finish(stale, ChangeResult{Status: Stale})
	w.cfg.Follower.RequestRefresh()
	return rest
}

// settle finds out what became of a commit whose answer was lost. It sends the
// same commit again: its conditions let at most one of the two take effect. It
// returns changes that certainly were not made and may be committed again.
func (w *Writer) settle(ctx context.Context, group []*pending, fence table.Condition) []*pending {
	until := time.Now().Add(settleTime)
	for ctx.Err() == nil && time.Now().Before(until) {
		if version, landed := w.landed(ctx, group); landed {
			w.committed(group, version)
			return nil
		}
		if w.cfg.Limiter.Wait(ctx) != nil {
			break
		}
		result := w.send(ctx, group, fence)
		if result.Status == table.Committed {
			w.committed(group, result.Version)
			return nil
		}
		if result.Status == table.Conflict {
			// The first commit took effect or never can: its conditions fail now.
			if version, landed := w.landed(ctx, group); landed {
				w.committed(group, version)
				return nil
			}
			return w.split(group, result.Conflicts, fence)
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePause):
		}
	}
	w.cfg.Log.Warn("Outcome of a commit could not be settled.", zap.Int("changes", len(group)))
	w.finish(group, ChangeResult{Status: Unsettled})
	return nil
}

// landed reads the rows back. One row with the written value shows that the
// whole commit took effect.
func (w *Writer) landed(ctx context.Context, group []*pending) (int64, bool) {
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

func (w *Writer) committed(group []*pending, version int64) {
	for _, p := range group {
		if p.change.Delete {
			w.cfg.Follower.Remove(p.change.Job.ID, version)
		} else {
			w.cfg.Follower.Observe(p.change.Job, version)
		}
	}
	w.finish(group, ChangeResult{Status: Committed, Version: version})
	// One hint makes the other daemons read all that has changed.
	w.cfg.Follower.NotifyPeers(group[0].change.Job.ID)
}

func (w *Writer) finish(group []*pending, result ChangeResult) {
	for _, p := range group {
		p.done <- result
	}
}
