package dispatch

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// eventQueue is the room for results of calls; senders wait when it is full.
const eventQueue = 1024

// workersSpacing is the least time between two reads of the workers' entries: 350
// workers write 230 heartbeats a second, and each would be a call of its own. It is
// small beside the seconds that a worker drains.
const workersSpacing = 100 * time.Millisecond

// term is the state of one period of holding the lease.
type term struct {
	*Dispatcher
	ctx    context.Context
	epoch  int64
	began  time.Time
	events chan func()
	over   string // why the term ends; empty while it goes on

	jobs     map[string]*entry
	finished map[string]time.Time // jobs that have ended and of which nothing runs, by when
	hosts    map[string]*host
	loaded   bool // the jobs have been listed
	located  bool // the workers have been listed

	changed    map[string]bool // jobs whose row is to be written
	committing bool
	retryAt    time.Time
	pending    map[string]int64 // last stored counts of waiting jobs
	pendingAt  time.Time

	dirty    bool
	planned  time.Time
	planTook time.Duration
	lastHeld time.Time
}

// entry is a job of the term.
type entry struct {
	tracker *batch.Tracker
	version int64 // version of the progress row
	// edits counts the changes, durable those that the stored row contains.
	edits   int64
	durable int64
	waiting []afterCommit
	since   map[unitKey]time.Time // when units became startable
	avoid   map[unitKey]map[string]bool
	runs    map[batch.RunRef]*run
	next    time.Time // when the next occurrence is due
	holders []holder  // of ends that are not stored
}

// holder is a life of a worker that keeps an end until it is stored.
type holder struct {
	host *host
	born int64
}

type unitKey struct {
	occurrence int64
	step       int
}

// afterCommit is done once the row contains the edit.
type afterCommit struct {
	edit int64
	do   func()
}

func newTerm(ctx context.Context, d *Dispatcher, epoch int64) *term {
	now := time.Now()
	d.topFence = max(d.topFence+1, epoch<<fenceBits)
	return &term{
		Dispatcher: d, ctx: ctx, epoch: epoch, began: now, lastHeld: now,
		events: make(chan func(), eventQueue),
		jobs:   map[string]*entry{}, finished: map[string]time.Time{}, hosts: map[string]*host{},
		changed: map[string]bool{},
	}
}

// post hands a result to the goroutine of the term.
func (t *term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// run returns why the term has ended.
func (t *term) run() string {
	progress, err := t.loadProgress()
	if err != nil {
		t.log.Warn("Progress of jobs not read.", telemetry.Cause(err))
		return "progress not read"
	}
	t.follow(JobsPrefix, 0, func(update table.Update) { t.jobsChanged(update, progress) })
	t.follow(t.cfg.Workers.Prefix, workersSpacing, t.workersChanged)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for t.over == "" {
		select {
		case <-t.ctx.Done():
			return "stopping"
		case f := <-t.events:
			f()
			t.drain()
		case <-tick.C:
			t.tick()
		case <-t.planTimer():
		}
		t.step()
	}
	return t.over
}

// drain handles what else is queued, so that one plan serves all of it.
func (t *term) drain() {
	for range eventQueue {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// planTimer fires when a plan is due. Without the jobs and the workers none is;
// their arrival is an event.
func (t *term) planTimer() <-chan time.Time {
	if !t.dirty || !t.ready() {
		return nil
	}
	return time.After(max(0, t.planPause()-time.Since(t.planned)))
}

// planPause is the time between two plans. It grows with what a plan takes, so
// that planning leaves processor time for calls.
func (t *term) planPause() time.Duration {
	return max(planEvery, planShare*t.planTook)
}

// step does what the events have made due.
func (t *term) step() {
	if t.over != "" {
		return
	}
	if t.dirty && time.Since(t.planned) >= t.planPause() && t.ready() {
		t.dirty = false
		t.planned = time.Now()
		t.plan()
	}
	t.flush()
}

// ready tells whether new work may be given out.
func (t *term) ready() bool {
	return t.loaded && t.located && t.cfg.Lease.Status().Held
}

func (t *term) tick() {
	now := time.Now()
	status := t.cfg.Lease.Status()
	switch {
	case status.Held:
		t.lastHeld = now
		t.takenAgain(status)
	case status.Epoch > t.epoch+1, status.Epoch > t.epoch && status.Holder != t.cfg.Holder:
		t.over = "lease taken by another daemon"
	case now.Sub(t.lastHeld) > holdWithoutLease:
		t.over = "lease not renewed for too long"
	}
	for _, e := range t.jobs {
		if !e.next.IsZero() && !now.Before(e.next) {
			t.open(e)
		}
	}
	for _, h := range t.hosts {
		t.checkHost(h, now)
	}
	t.forgetFinished(now)
	t.dirty = t.dirty || len(t.jobs) > 0
}

// takenAgain goes on after an outage in which the lease ran out and this daemon
// has taken it again. Epochs rise by one, so the next one means that nobody has
// held the lease in between and all that the term knows is still true.
func (t *term) takenAgain(status lease.Status) bool {
	switch status.Epoch {
	case t.epoch:
		return false
	case t.epoch + 1:
		t.log.Info("Lease taken again.", zap.Int64("epoch", status.Epoch))
		t.epoch = status.Epoch
		return true
	}
	t.over = "lease taken anew"
	return false
}

// follow hands the changes below a prefix to the loop. Failed reads are left to the
// daemon's own follower, which logs that the store is lost.
func (t *term) follow(prefix string, spacing time.Duration, handle func(table.Update)) {
	follower := t.cfg.Follower
	follower.Store, follower.Prefix, follower.MinInterval = t.cfg.Store, prefix, spacing
	go follower.Run(t.ctx, func(update table.Update) {
		t.post(func() {
			if update.Err == nil {
				handle(update)
			}
		})
	})
}

// loadProgress reads the progress rows of all jobs.
func (t *term) loadProgress() (map[string]table.Row, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.Follower.Wait+t.cfg.Follower.Grace)
	defer cancel()
	listing, err := t.cfg.Store.List(ctx, ProgressPrefix, 0)
	if err != nil {
		return nil, err
	}
	rows := make(map[string]table.Row, len(listing.Rows))
	for _, row := range listing.Rows {
		rows[strings.TrimPrefix(row.Key, ProgressPrefix)] = row
	}
	return rows, nil
}

// jobsChanged takes new jobs and cancellations.
func (t *term) jobsChanged(update table.Update, progress map[string]table.Row) {
	var cancelled []string
	for _, row := range update.Rows {
		id := strings.TrimPrefix(row.Key, JobsPrefix)
		if job, ok := strings.CutSuffix(id, CancelSuffix); ok {
			cancelled = append(cancelled, job)
			continue
		}
		t.addJob(id, row, progress)
	}
	for _, id := range cancelled {
		t.cancel(id)
	}
	if update.Full {
		t.loaded = true
		t.adoptAll()
	}
	t.dirty = t.dirty || len(update.Rows) > 0
}

func (t *term) addJob(id string, row table.Row, progress map[string]table.Row) {
	if _, known := t.jobs[id]; known {
		return
	}
	if _, known := t.finished[id]; known {
		return
	}
	job, err := batch.DecodeJob(row.Value)
	if err != nil || job.ID != id {
		t.log.Error("Job row ignored.", zap.String("job", id), zap.Int64("version", row.Version), telemetry.Cause(err))
		return
	}
	e := &entry{
		tracker: batch.NewTracker(job), since: map[unitKey]time.Time{},
		avoid: map[unitKey]map[string]bool{}, runs: map[batch.RunRef]*run{},
	}
	if stored, ok := progress[id]; ok && !t.loaded {
		e.version = stored.Version
		if err := e.tracker.Restore(stored.Value); err != nil {
			t.log.Error("Progress row ignored.", zap.String("job", id), zap.Int64("version", stored.Version), telemetry.Cause(err))
			return
		}
		if e.tracker.State.Final() && e.tracker.Idle() {
			t.finished[id] = e.tracker.EndedAt
			return
		}
	}
	t.jobs[id] = e
	t.log.Info("Job taken.", zap.String("job", id), zap.String("queue", job.Queue), zap.String("organisation", job.Organisation),
		zap.Int64("version", row.Version), zap.String("state", string(e.tracker.State)), zap.Int("priority", job.Priority), zap.Int("steps", len(job.Steps)))
	t.open(e)
}

// open adds the occurrences that are due.
func (t *term) open(e *entry) {
	next, opened := e.tracker.OpenDue(time.Now())
	e.next = next
	if opened {
		t.dirty = true
	}
}

func (t *term) cancel(id string) {
	e, ok := t.jobs[id]
	if !ok || !e.tracker.Cancel(time.Now()) {
		return
	}
	t.log.Info("Job cancelled.", zap.String("job", id), zap.Int("runs", len(e.runs)))
	t.edited(e)
	t.stopAll(e, "cancelled")
}

// settle applies what follows from a change of a job's tasks.
func (t *term) settle(e *entry) {
	before := e.tracker.State
	t.open(e)
	e.tracker.CompleteOccurrences(time.Now())
	t.open(e)
	if after := e.tracker.State; after != before {
		t.log.Info("Job ended.", zap.String("job", e.tracker.Job.ID), zap.String("state", string(after)),
			zap.Int64("age_ms", time.Now().UnixMilli()-e.tracker.Job.AcceptedAtMs))
	}
	if state := e.tracker.State; state == batch.Failed || state == batch.Cancelled {
		t.stopAll(e, string(state))
	}
	t.edited(e)
	t.dirty = true
}

// forgetFinished drops jobs that nothing is left to do for, and deletes their
// rows once callers need not find them any more.
func (t *term) forgetFinished(now time.Time) {
	for id, e := range t.jobs {
		if e.tracker.State.Final() && len(e.runs) == 0 && e.tracker.Idle() && e.durable == e.edits {
			t.finished[id] = e.tracker.EndedAt
			delete(t.jobs, id)
		}
	}
	var expired []string
	for id, ended := range t.finished {
		if now.Sub(ended) > t.cfg.FinishedRetention && len(expired) < maxExpired {
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 && t.loaded {
		t.expire(expired)
	}
}
