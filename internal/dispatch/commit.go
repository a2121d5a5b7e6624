package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// maxRows bounds the rows of a commit. Each takes a condition and a write, and
	// a table service takes 100 of them in one transaction.
	maxRows = 45
	// maxExpired bounds the finished jobs that are deleted at once.
	maxExpired = 30
	// maxCommitBytes bounds the values of a commit below 1 MB in base64.
	maxCommitBytes = 500 << 10
	// commitTimeout bounds one attempt; an unanswered commit is settled by the next.
	commitTimeout = 1200 * time.Millisecond
	// commitPause is the delay after a failed commit.
	commitPause = 60 * time.Millisecond
	// pendingEvery bounds how often the counts of waiting jobs are stored; callers
	// accept counts that are 2 s old.
	pendingEvery = 700 * time.Millisecond
)

// edited marks the row of a job as changed.
func (t *term) edited(e *entry) {
	e.edits++
	t.changed[e.tracker.Job.ID] = true
}

// whenDurable does something once the current state of the job is stored.
func (t *term) whenDurable(e *entry, do func()) {
	e.waiting = append(e.waiting, afterCommit{edit: e.edits, do: do})
}

// flush commits changed rows, one commit at a time.
func (t *term) flush() {
	now := time.Now()
	if t.committing || now.Before(t.retryAt) {
		return
	}
	counts, countsChanged := t.pendingCounts(now)
	if len(t.changed) == 0 && !countsChanged {
		return
	}
	fence, held := t.cfg.Lease.FenceCondition()
	if !held {
		return
	}
	conditions := []table.Condition{fence}
	var writes []table.Write
	edits := map[string]int64{}
	size := 0
	for id := range t.changed {
		e := t.jobs[id]
		if e == nil {
			delete(t.changed, id)
			continue
		}
		value, err := e.tracker.Encode()
		if err != nil {
			t.log.Error("Progress not encoded.", zap.String("job", id), telemetry.Cause(err))
			delete(t.changed, id)
			continue
		}
		if size += len(value); len(edits) >= maxRows || size > maxCommitBytes && len(edits) > 0 {
			break
		}
		conditions = append(conditions, table.Condition{Key: ProgressPrefix + id, Version: e.version})
		writes = append(writes, table.Write{Key: ProgressPrefix + id, Value: value})
		edits[id] = e.edits
		delete(t.changed, id)
	}
	if countsChanged {
		value, err := batch.EncodeCounts(counts)
		if err != nil {
			t.log.Error("Counts of waiting jobs not encoded.", telemetry.Cause(err))
		} else {
			writes = append(writes, table.Write{Key: PendingKey, Value: value})
		}
	}
	if len(writes) == 0 {
		return
	}
	t.committing = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		sent := time.Now()
		result := t.cfg.Store.Commit(ctx, conditions, writes)
		t.scope.Timer("commit").Record(time.Since(sent))
		refreshed := t.refresh(ctx, result)
		t.post(func() {
			t.committing = false
			if countsChanged && result.Status == table.Committed {
				t.pending = counts
			}
			t.committed(result, edits, refreshed, fence.Key)
		})
	}()
}

// refresh reads the versions of the rows whose condition did not hold. Only a
// commit of this term whose answer was lost can have changed them, unless the
// fence has changed too.
func (t *term) refresh(ctx context.Context, result table.CommitResult) map[string]int64 {
	if result.Status != table.Conflict {
		return nil
	}
	versions := map[string]int64{}
	for _, key := range result.Conflicts {
		row, _, err := t.cfg.Store.Get(ctx, key)
		if err != nil {
			return nil
		}
		versions[key] = row.Version
	}
	return versions
}

func (t *term) committed(result table.CommitResult, edits map[string]int64, refreshed map[string]int64, fence string) {
	if result.Status == table.Committed {
		for id, edit := range edits {
			if e := t.jobs[id]; e != nil {
				e.version = result.Version
				t.becameDurable(e, edit)
			}
		}
		return
	}
	t.scope.Counter("commits_failed").Inc(1)
	for id := range edits {
		t.changed[id] = true
	}
	if result.Status != table.Conflict {
		t.log.Warn("Progress not stored.", zap.Int("jobs", len(edits)), zap.Bool("unknown", result.Status == table.Unknown), telemetry.Cause(result.Err))
		t.retryAt = time.Now().Add(commitPause)
		return
	}
	if slices.Contains(result.Conflicts, fence) {
		if status := t.cfg.Lease.Status(); !status.Held || !t.takenAgain(status) {
			t.over = "fenced by the store"
			return
		}
	}
	for key, version := range refreshed {
		if e := t.jobs[strings.TrimPrefix(key, ProgressPrefix)]; e != nil {
			e.version = version
		}
	}
	t.log.Info("Progress versions read again.", zap.Strings("rows", result.Conflicts))
}

// state returns the state of a job. One that has ended by ends that are not stored yet
// is told only while the workers that hold these ends answer: if this daemon fails, the
// next dispatcher learns them from there.
func (t *term) state(id string) batch.State {
	e := t.jobs[id]
	if e == nil || !t.loaded {
		return ""
	}
	if e.tracker.State == batch.Queued || e.tracker.State == batch.Running || e.durable == e.edits {
		return e.tracker.State
	}
	for _, holder := range e.holders {
		if h := holder.host; !h.present || h.misses > 0 || h.worker.Draining || h.worker.StartedMs != holder.born {
			return ""
		}
	}
	return e.tracker.State
}

func (t *term) becameDurable(e *entry, edit int64) {
	if e.durable = max(e.durable, edit); e.durable == e.edits {
		e.holders = nil
	}
	due := e.waiting
	e.waiting = nil
	for _, wait := range due {
		if wait.edit <= e.durable {
			wait.do()
			continue
		}
		e.waiting = append(e.waiting, wait)
	}
}

// pendingCounts counts the jobs of each queue of which nothing has started, and
// tells whether the counts are to be stored now.
func (t *term) pendingCounts(now time.Time) (map[string]int64, bool) {
	if !t.loaded || now.Sub(t.pendingAt) < pendingEvery {
		return nil, false
	}
	t.pendingAt = now
	counts := map[string]int64{}
	for _, e := range t.jobs {
		if !e.tracker.Started && !e.tracker.State.Final() {
			counts[e.tracker.Job.Queue]++
		}
	}
	return counts, t.pending == nil || !maps.Equal(counts, t.pending)
}

// expire deletes the rows of jobs that ended long ago. A failed attempt is
// repeated by a later tick.
func (t *term) expire(ids []string) {
	fence, held := t.cfg.Lease.FenceCondition()
	if !held || t.committing {
		return
	}
	var progress []table.Write
	for _, id := range ids {
		progress = append(progress, table.Write{Key: ProgressPrefix + id, Delete: true})
	}
	t.committing = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		// The jobs go first: progress without a job is ignored, a job without
		// progress would run again.
		gone := t.deleteJobs(ctx, ids) && t.cfg.Store.Commit(ctx, []table.Condition{fence}, progress).Status == table.Committed
		t.post(func() {
			t.committing = false
			if !gone {
				return
			}
			for _, id := range ids {
				delete(t.finished, id)
			}
			t.log.Info("Finished jobs deleted.", zap.Int("jobs", len(ids)))
		})
	}()
}

// deleteJobs deletes the rows of jobs, one commit each because they may be in
// different partitions of the store.
func (t *term) deleteJobs(ctx context.Context, ids []string) bool {
	for _, id := range ids {
		writes := []table.Write{{Key: JobsPrefix + id, Delete: true}, {Key: JobsPrefix + id + CancelSuffix, Delete: true}}
		if t.cfg.Store.Commit(ctx, nil, writes).Status != table.Committed {
			return false
		}
	}
	return true
}
