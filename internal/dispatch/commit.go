package dispatch

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// maxCommitRows bounds the rows of a commit. Each needs a condition and a write,
	// and the table service accepts 100 of them in one transaction.
	maxCommitRows = 45
	// maxExpiredJobs bounds the finished jobs whose rows are deleted together.
	maxExpiredJobs = 30
	// maxCommitBytes keeps the values of a commit below 1 MB when encoded in base64.
	maxCommitBytes = 500 << 10
	// commitTimeout bounds one commit attempt. A slow store needs half a second for each
	// transaction of the partition, and renewals of the lease wait in it too; lost
	// answers and lost commits are noticed earlier, by reads. The conflict of the next
	// attempt shows whether an unanswered commit was applied.
	commitTimeout = 2500 * time.Millisecond
	// commitRetryDelay is the delay after a failed commit.
	commitRetryDelay = 60 * time.Millisecond
)

// markChanged schedules the changed progress of a job to be stored.
func (t *term) markChanged(j *jobState) {
	j.revision++
	if j.changedAt.IsZero() {
		j.changedAt = time.Now()
	}
	t.changedJobs[j.tracker.Job.ID] = true
}

// whenDurable calls a function once the current progress of the job is stored.
func (t *term) whenDurable(j *jobState, call func()) {
	j.callbacks = append(j.callbacks, commitCallback{revision: j.revision, call: call})
}

// flush commits the changed rows, unless another commit is in flight or has just
// failed.
func (t *term) flush() {
	now := time.Now()
	if t.committing || now.Before(t.commitRetryAt) {
		return
	}
	counts, countsChanged := t.pendingCounts(now)
	if len(t.changedJobs) == 0 && !countsChanged {
		return
	}
	if !t.holdsLease() {
		return
	}
	epoch := t.epoch
	fence, held := t.cfg.Lease.FenceOf(epoch)
	if !held {
		return
	}
	commit := t.collectProgress(now)
	conditions, writes := append([]table.Condition{fence}, commit.conditions...), commit.writes
	value, withCounts := []byte(nil), false
	if countsChanged && !commit.single {
		value, withCounts = t.encodeCounts(counts)
	}
	if withCounts {
		conditions = append(conditions, table.Condition{Key: PendingKey, Version: t.countsVersion})
		writes = append(writes, table.Write{Key: PendingKey, Value: value})
		t.storedCounts = nil // until the outcome is known
	}
	if len(writes) == 0 {
		return
	}
	mark := table.Write{Key: CommitMarkKey, Value: []byte(uuid.NewString())}
	writes = append(writes, mark)
	t.committing, t.committed = true, true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		sent := time.Now()
		result := table.CommitConfirmed(ctx, t.cfg.Store, conditions, writes, confirmationOf(mark))
		t.scope.Timer("commit").Record(time.Since(sent))
		versions := t.readVersions(ctx, result)
		t.postResult(func() {
			t.committing = false
			if withCounts && result.Status == table.Committed {
				t.storedCounts, t.countsVersion = counts, result.Version
				t.noteCountsTrue(now)
			}
			t.handleCommitResult(result, commit.jobs, versions, fence.Key, epoch)
		})
	}()
}

// collectProgress returns the changed progress that the next commit stores, and takes its
// jobs from changedJobs. A job that was in a commit which the store rejected is alone in
// its commit.
func (t *term) collectProgress(now time.Time) *progressCommit {
	commit := &progressCommit{jobs: map[string]*jobCommit{}}
	for id := range t.changedJobs {
		if j := t.jobs[id]; j != nil && j.storeAlone && !now.Before(j.heldUntil) {
			commit.single = true
		}
	}
	for _, id := range t.commitOrder() {
		if commit.full() {
			break
		}
		j := t.jobs[id]
		if now.Before(j.heldUntil) || j.storeAlone != commit.single || commit.single && len(commit.jobs) > 0 {
			continue
		}
		delete(t.changedJobs, id)
		j.changedAt = time.Time{}
		groups, revision, state, err := j.nextRows()
		if err != nil {
			t.log.Error("Failed to encode the progress of a job.", zap.String("job", id), telemetry.ErrorField(err))
			continue
		}
		if len(groups) == 0 {
			t.markStored(j, revision, state)
			continue
		}
		commit.add(j, groups, revision, state)
	}
	return commit
}

// commitOrder returns the jobs whose progress is to be stored. Those for which somebody
// waits come first: callers for the end of a job, and urgent jobs for the record of their
// starts. Of these and of the others the oldest change comes first, so that none is passed
// over again and again.
func (t *term) commitOrder() []string {
	awaited, others := []string{}, []string{}
	for id := range t.changedJobs {
		switch j := t.jobs[id]; {
		case j == nil:
			delete(t.changedJobs, id)
		case j.tracker.State.Final(), j.tracker.Job.Priority == 0 && len(j.callbacks) > 0:
			awaited = append(awaited, id)
		default:
			others = append(others, id)
		}
	}
	byAge := func(a, b string) int { return t.jobs[a].changedAt.Compare(t.jobs[b].changedAt) }
	slices.SortFunc(awaited, byAge)
	slices.SortFunc(others, byAge)
	return append(awaited, others...)
}

// confirmationOf returns how to see that a commit was applied: its mark is stored. The
// other rows do not show it, because an earlier commit whose answer was lost may have
// stored the same values.
func confirmationOf(mark table.Write) table.Confirmation {
	return table.Confirmation{Key: mark.Key, Applied: func(row table.Row) bool { return bytes.Equal(row.Value, mark.Value) }}
}

// readVersions reads the current versions of the rows whose condition did not hold.
// Unless the fence has changed too, only a commit of this term whose answer was lost
// can have changed them.
func (t *term) readVersions(ctx context.Context, result table.CommitResult) map[string]int64 {
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

// handleCommitResult applies the result of a commit under the fence of an epoch.
func (t *term) handleCommitResult(result table.CommitResult, jobs map[string]*jobCommit, versions map[string]int64, fence string, epoch int64) {
	if result.Status == table.Committed {
		for id, part := range jobs {
			t.handleStored(id, part, result.Version)
		}
		return
	}
	t.scope.Counter("commits_failed").Inc(1)
	for id, part := range jobs {
		t.changedJobs[id] = true
		if j := t.jobs[id]; j != nil {
			j.backlog = nil
			// A conflict shows that an earlier commit may have been applied.
			j.uncertain = part.uncertain || result.Status == table.Unknown || result.Status == table.Conflict
		}
	}
	if result.Status == table.Rejected {
		t.handleRejected(jobs, result.Err)
		return
	}
	if result.Status != table.Conflict {
		t.log.Warn("Failed to store the progress of jobs.", zap.Int("jobs", len(jobs)), zap.Bool("unknown", result.Status == table.Unknown), telemetry.ErrorField(result.Err))
		t.commitRetryAt = time.Now().Add(commitRetryDelay)
		return
	}
	if slices.Contains(result.Conflicts, fence) && (!t.holdsLease() || t.epoch == epoch) {
		t.endReason = "fenced by the store"
		return
	}
	for key, version := range versions {
		if key == PendingKey {
			t.countsVersion = version
			continue
		}
		row := strings.TrimPrefix(key, ProgressPrefix)
		id, _ := batch.RowJob(row)
		if j := t.jobs[id]; j != nil {
			j.setVersion(row, version)
		}
	}
	t.log.Info("Commit of job progress conflicted; it will be repeated.", zap.Strings("rows", result.Conflicts))
}

// handleStored applies the commit of rows of a job.
func (t *term) handleStored(id string, part *jobCommit, version int64) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	if !j.heldUntil.IsZero() {
		t.log.Info("Held job goes on.", zap.String("job", id))
	}
	j.storeAlone, j.heldUntil = false, time.Time{}
	if !j.applyStored(part, version) {
		t.changedJobs[id] = true
		return
	}
	j.uncertain = false
	t.markStored(j, part.revision, part.state)
	if j.storedRevision < j.revision {
		t.changedJobs[id] = true
	}
}

// knownState returns the stored state of a job, or "" if it is not certain. What is not
// stored is not told: it is lost if this daemon and the workers that keep the ends crash. A
// state that is not final is certain only while neither another daemon nor a commit without
// an answer can have stored a later one.
func (t *term) knownState(id string) batch.State {
	if finished, known := t.finished[id]; known {
		return finished.state
	}
	j := t.jobs[id]
	if j == nil || !t.jobsListed || !j.storedState.Final() && (j.uncertain || !t.holdsLease()) {
		return ""
	}
	return j.storedState
}

// markStored records that the rows of a revision, in which the job has a state, are stored.
func (t *term) markStored(j *jobState, revision int64, state batch.State) {
	if state.Final() && !j.storedState.Final() {
		after := time.Since(j.tracker.EndedAt)
		t.scope.Timer("end_stored").Record(after)
		t.log.Info("End of a job stored.", zap.String("job", j.tracker.Job.ID), zap.String("state", string(state)), zap.Duration("after", after))
	}
	j.storedRevision, j.storedState = revision, state
	callbacks := j.callbacks
	j.callbacks = nil
	for _, callback := range callbacks {
		if callback.revision <= j.storedRevision {
			callback.call()
			continue
		}
		j.callbacks = append(j.callbacks, callback)
	}
}

// confirmStart records that a worker has confirmed a run: it has accepted its start, lists it
// or reports its end.
func (t *term) confirmStart(ref batch.RunRef) {
	if j := t.jobs[ref.Job]; j != nil && j.tracker.Confirm(ref) {
		t.markChanged(j)
		j.startedRevision = j.revision
	}
}

// startStored reports whether the stored progress has that the job has started.
func (j *jobState) startStored() bool {
	return j.tracker.Started && j.storedRevision >= j.startedRevision
}

// deleteExpired deletes the rows of jobs whose retention time has passed. A later
// tick repeats a failed attempt.
func (t *term) deleteExpired(ids []string) {
	fence, held := t.cfg.Lease.FenceOf(t.epoch)
	if !held || t.committing {
		return
	}
	var progress []table.Write
	stalled := map[string]bool{}
	for _, id := range ids {
		stalled[id] = t.stalls[id] > 0
		progress = append(progress, table.Write{Key: ProgressPrefix + id, Delete: true})
	}
	t.committing, t.committed = true, true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		// The job rows are deleted first: progress without a job is ignored, but a job
		// without progress would run again.
		versions, deleted := t.deleteJobs(ctx, ids, stalled)
		deleted = deleted && t.cfg.Store.Commit(ctx, []table.Condition{fence}, progress).Status == table.Committed
		t.post(func() {
			t.committing = false
			for id, version := range versions {
				t.deleted[id] = deletedJob{version: version, at: time.Now()}
			}
			if !deleted {
				return
			}
			for _, id := range ids {
				delete(t.finished, id)
			}
			t.log.Info("Finished jobs deleted.", zap.Int("jobs", len(ids)))
		})
	}()
}

// deleteJobs deletes the rows of jobs. It returns the versions of the commits that deleted
// them by job, and whether it deleted all. It uses one commit for each job because the jobs
// may be in different partitions of the store.
func (t *term) deleteJobs(ctx context.Context, ids []string, stalled map[string]bool) (versions map[string]int64, all bool) {
	versions = map[string]int64{}
	for _, id := range ids {
		writes := []table.Write{{Key: JobsPrefix + id, Delete: true}, {Key: JobsPrefix + id + CancelSuffix, Delete: true}}
		result := t.cfg.Store.Commit(ctx, nil, writes)
		if result.Status != table.Committed {
			return versions, false
		}
		versions[id] = result.Version
		if stalled[id] && t.cfg.Store.Commit(ctx, nil, []table.Write{{Key: StallsPrefix + id, Delete: true}}).Status != table.Committed {
			return versions, false
		}
	}
	return versions, true
}
