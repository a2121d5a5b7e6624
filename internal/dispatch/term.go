package dispatch

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// eventQueueSize is the capacity of the event queue of a term. Senders block while it
// is full.
const eventQueueSize = 1024

// minWorkerReadInterval is the minimum time between two reads of the workers'
// entries: 350 workers write 230 heartbeats a second, and without it each would cause
// a read of its own. It is short compared with the seconds that a worker drains.
const minWorkerReadInterval = 100 * time.Millisecond

// term is the state of one period in which this daemon holds the leader lease.
type term struct {
	*Dispatcher
	ctx       context.Context
	epoch     int64
	startedAt time.Time
	events    chan func()
	results   chan func()   // results of commits, which go ahead of the events
	done      chan struct{} // closed when the term has ended
	endReason string        // why the term ends; empty while it continues
	former    formerHolders

	jobs          map[string]*jobState
	earlyCancels  map[string]earlyCancel               // cancellations of unknown jobs
	finished      map[string]finishedJob               // jobs that need no more work
	deleted       map[string]deletedJob                // jobs whose rows were deleted a short time ago
	invalid       map[string]bool                      // jobs whose stored progress cannot be decoded
	presumed      map[fleet.Incarnation][]presumedLoss // losses of unreachable workers
	silences      map[string]*silence                  // when workers last fell silent or restarted, by ID
	givenUp       map[batch.RunRef]givenUpRun          // runs that were taken for gone
	workers       map[string]*workerState
	workerOrder   []*workerState // by rack; nil if it is to be sorted again
	jobsListed    bool           // a full listing of the jobs has been applied
	workersListed bool           // a full listing of the workers has been applied
	workersUnread bool           // the last read of the workers' entries failed
	jobsUnread    bool           // the last read of the jobs failed
	// reentryEnd is when workers whose entry is missing count as gone after an outage.
	reentryEnd time.Time

	forecasts forecasts
	// reportsProgress holds the services of which a worker has reported progress of a run.
	reportsProgress map[string]bool
	changedJobs     map[string]bool // jobs whose progress is to be stored
	committing      bool
	committed       bool // a commit was sent
	// deletingCancels is set while cancellations of unknown jobs are deleted.
	deletingCancels bool
	commitRetryAt   time.Time
	storedCounts    map[string]int64 // stored counts of waiting jobs; nil if they are not known
	oversizeCounts  map[string]int64 // counts that could not be stored; nil if there are none
	countsVersion   int64            // version of their row
	countedAt       time.Time

	jobsVersion   int64 // version of the store up to which the jobs are known
	loadCountedAt time.Time
	loadLevel     int64 // part of the budget of jobs that was last logged
	runsLimited   bool  // placements of the last plan wait because of the limit of runs

	health           *workerhealth.Tracker
	healthReportedAt time.Time
	// availabilityReportedAt is when the gauges of unavailable workers were last updated.
	availabilityReportedAt time.Time
	hungCheckedAt          time.Time
	hungStops              []time.Time // within the last hungStopWindow

	idleCalls int // calls in this tick to workers without runs, see maxIdleCalls

	stalls   map[string]int         // how often a term has stalled on a job, by job
	planning atomic.Pointer[string] // job that is being placed
	stepAt   atomic.Int64           // when the event loop last started a step, since startedAt, in ns

	planNeeded bool
	lastPlanAt time.Time
	waiting    bool    // the last plan had waiting work
	use        loopUse // since the last plan
	// planDuration is what a plan costs: the shortest of planDurations, the last few ones.
	planDuration  time.Duration
	planDurations []time.Duration
	lastHeldAt    time.Time // when the lease was last found held, by its clock
	// lastExtension is when the lease of a worker was last extended.
	lastExtension time.Time
	outageLogged  bool // the current outage of the lease was logged
}

// jobState is a job and its progress as the term knows it.
type jobState struct {
	tracker  *batch.Tracker
	weight   int64 // memory of the job without its runs, see batch.Weight
	rowBytes int
	rows     map[string]storedRow // stored rows of the progress by key below ProgressPrefix
	// backlog holds groups of rows of backlogRevision that are not stored yet.
	backlog         [][]rowChange
	backlogRevision int64
	backlogState    batch.State
	// revision counts the changes of the progress. storedRevision is the revision that the
	// stored rows contain, and storedState the state of the job in them.
	revision       int64
	changedAt      time.Time // when the oldest change was made that no commit has taken
	storedRevision int64
	storedState    batch.State
	// startedRevision is the revision in which the job had started, if it has in this term.
	startedRevision int64
	// uncertain is set while a commit of the progress is in flight or of unknown outcome, or
	// has stored only a part of the rows.
	uncertain bool
	// storeAlone means that the store has rejected a commit with progress of the job, which
	// is alone in the next one. heldUntil is set while the store does not accept it.
	storeAlone     bool
	heldUntil      time.Time
	callbacks      []commitCallback
	startableSince map[unitKey]time.Time
	assignedAt     map[unitKey]time.Time // when tasks of the unit were last assigned
	beginnings     map[unitKey]*beginning
	failedWorkers  map[unitKey]map[string]bool // IDs of the workers on which a task of the unit has failed
	suspectSince   map[unitKey]time.Time       // when tasks under suspicion became startable again
	evictions      map[batch.TaskRef]int       // how often this term has evicted each task for urgent work
	awaited        map[unitKey]bool            // urgent units that have waited where work might have been evicted
	pathsAfter     []time.Duration             // by step, see pathAfter
	retries        map[retryKey]retry          // persistent tasks that have failed
	hungMoves      map[retryKey]int            // stops because of no progress
	runs           map[batch.RunRef]*run
	nextDue        time.Time // when the next occurrence is due
	path           pathForecast
	endLogged      bool
}

// finishedJob is a job that has ended, whose end is stored and whose runs are gone.
type finishedJob struct {
	state        batch.State
	endedAt      time.Time
	organisation string
	rowBytes     int // of the row of the job
}

func (j *jobState) finished() finishedJob {
	return finishedJob{state: j.tracker.State, endedAt: j.tracker.EndedAt, organisation: j.tracker.Job.Organisation, rowBytes: j.rowBytes}
}

// deletedJob is a job whose rows were deleted by a commit. A listing that was read before
// may arrive later.
type deletedJob struct {
	version int64
	at      time.Time
}

// deletedRetention is several times the longest listing of the jobs.
const deletedRetention = time.Minute

// unitKey identifies a unit of a job: one step of one occurrence.
type unitKey struct {
	occurrence int64
	step       int
}

// commitCallback is called once the stored rows contain the revision.
type commitCallback struct {
	revision int64
	call     func()
}

// newTerm returns a term under a lease that was held at a time of its clock.
func newTerm(ctx context.Context, d *Dispatcher, status lease.Status, heldAt time.Time) *term {
	now := time.Now()
	d.maxFence = max(d.maxFence+1, status.Epoch<<fenceBits)
	t := &term{
		Dispatcher: d, ctx: ctx, epoch: status.Epoch, startedAt: now, lastHeldAt: heldAt, former: newFormerHolders(status.Former, d.cfg.LeaseOutage, now),
		events: make(chan func(), eventQueueSize), results: make(chan func(), 1), done: make(chan struct{}),
		jobs: map[string]*jobState{}, earlyCancels: map[string]earlyCancel{}, finished: map[string]finishedJob{}, deleted: map[string]deletedJob{}, invalid: map[string]bool{}, workers: map[string]*workerState{},
		presumed: map[fleet.Incarnation][]presumedLoss{}, silences: map[string]*silence{}, givenUp: map[batch.RunRef]givenUpRun{},
		forecasts: newForecasts(), reportsProgress: map[string]bool{}, changedJobs: map[string]bool{},
	}
	t.health = t.newHealth()
	return t
}

// post queues f for the goroutine of the term.
func (t *term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// postResult queues the result of a commit. The starts that it has stored, and the next
// commit, do not wait behind the events.
func (t *term) postResult(f func()) {
	select {
	case t.results <- f:
	case <-t.ctx.Done():
	}
}

// run processes events until the term ends, and returns the reason.
func (t *term) run() string {
	var progress map[string]storedProgress
	var reads errgroup.Group
	reads.Go(func() (err error) { progress, err = t.loadProgress(); return err })
	reads.Go(func() (err error) { t.stalls, err = t.loadStalls(); return err })
	reads.Go(func() (err error) { t.countsVersion, err = t.loadCountsVersion(); return err })
	if err := reads.Wait(); err != nil {
		t.log.Warn("Failed to read the progress of the jobs.", telemetry.ErrorField(err))
		return "progress not read"
	}
	t.askFormerHolders()
	t.follow(JobsPrefix, 0, func(update table.Update) {
		t.handleJobUpdate(update, progress)
		if t.jobsListed {
			progress = nil // jobs that come later have none
		}
	})
	t.follow(t.cfg.Workers.Prefix, minWorkerReadInterval, t.handleWorkerUpdate)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for t.endReason == "" {
		select {
		case <-t.ctx.Done():
			return "stopping"
		case f := <-t.results:
			t.handleResult(f)
		case f := <-t.events:
			t.handleEvents(f)
		case <-tick.C:
			t.handleTimed(t.tick)
		case <-t.planTimer():
		}
		t.handle(t.runDueWork)
	}
	return t.endReason
}

// handle runs one step of the event loop. An internal error ends the term, because its
// state may be inconsistent; the next term restores it from the stored rows.
func (t *term) handle(step func()) {
	t.stepAt.Store(int64(time.Since(t.startedAt)))
	done := false
	defer func() {
		if !done {
			t.endReason = "internal error"
		}
	}()
	defer telemetry.LogPanic(t.log, "event of the dispatcher")
	step()
	done = true
}

// handleTimed handles a step and counts its time.
func (t *term) handleTimed(step func()) {
	start := time.Now()
	t.handle(step)
	t.use.events++
	t.use.handling += time.Since(start)
}

// handleResult handles the result of a commit and starts the next commit at once.
func (t *term) handleResult(f func()) {
	t.handleTimed(f)
	if t.endReason == "" {
		t.handle(t.storeProgress)
	}
}

// storeProgress starts the next commit and counts the time of its encoding.
func (t *term) storeProgress() {
	start := time.Now()
	t.flush()
	t.use.storing += time.Since(start)
}

// handleEvents handles an event and those queued behind it, so that one plan covers all of
// them.
func (t *term) handleEvents(first func()) {
	t.handleTimed(first)
	for range eventQueueSize {
		select {
		case f := <-t.results:
			t.handleResult(f)
			continue
		default:
		}
		select {
		case f := <-t.events:
			t.handleTimed(f)
		default:
			return
		}
	}
}

// planTimer returns a channel that fires when a plan is due. It is nil until the
// jobs and the workers have been listed; the listings arrive as events.
func (t *term) planTimer() <-chan time.Time {
	if !t.planNeeded || !t.canStartWork() {
		return nil
	}
	return time.After(max(0, t.planInterval()-time.Since(t.lastPlanAt)))
}

// planInterval returns the minimum time between the starts of two plans. It grows with
// the duration of a plan, so that planning leaves processor time for calls, up to
// maxPlanInterval: the duration is seconds if the process was paused during the plan.
func (t *term) planInterval() time.Duration {
	return min(max(minPlanInterval, planIntervalFactor*t.planDuration), maxPlanInterval)
}

// runDueWork plans if a plan is due and commits the changed rows.
func (t *term) runDueWork() {
	if t.endReason != "" {
		return
	}
	if t.planNeeded && time.Since(t.lastPlanAt) >= t.planInterval() && t.canStartWork() {
		t.planNeeded = false
		t.plan()
	}
	t.storeProgress()
}

// canStartWork reports whether new runs may be planned.
func (t *term) canStartWork() bool {
	return t.runsAdopted() && t.holdsLease()
}

func (t *term) tick() {
	now := time.Now()
	t.countLoad(now)
	status := t.cfg.Lease.Status()
	if !status.Held && (status.Epoch > t.epoch+1 || status.Epoch > t.epoch && status.Holder != t.cfg.Holder) {
		t.endReason = "lease acquired by another daemon"
	}
	if !t.mayExtendLeases() {
		return
	}
	if !status.Held && !t.outageLogged {
		t.log.Warn("Lease not held; the leases of workers are still extended.", zap.Int64("epoch", t.epoch), zap.Duration("limit", t.cfg.LeaseOutage))
	}
	t.outageLogged = !status.Held
	t.endFormerHolders(now, status)
	for _, j := range t.jobs {
		if !j.nextDue.IsZero() && !now.Before(j.nextDue) {
			t.openOccurrences(j)
		}
	}
	t.endReentry(now)
	t.idleCalls = 0
	for _, w := range t.workers {
		t.checkWorker(w, now)
	}
	t.stopDrainingRuns(now)
	t.checkHealth(now)
	t.reportAvailability(now)
	t.checkHung(now)
	t.forgetFinished(now)
	t.forgetLosses(now)
	t.forgetGivenUp(now)
	t.planNeeded = t.planNeeded || len(t.jobs) > 0
}

// follow posts the changes below a prefix and the failed reads to the event loop.
func (t *term) follow(prefix string, minInterval time.Duration, handle func(table.Update)) {
	follower := t.cfg.Follower
	follower.Store, follower.Prefix, follower.MinInterval = t.cfg.Store, prefix, minInterval
	go follower.Run(t.ctx, func(update table.Update) {
		t.post(func() { handle(update) })
	})
}

// loadProgress reads the stored progress of all jobs.
func (t *term) loadProgress() (map[string]storedProgress, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.Follower.Wait+t.cfg.Follower.Grace)
	defer cancel()
	listing, err := t.cfg.Store.List(ctx, ProgressPrefix, 0)
	if err != nil {
		return nil, err
	}
	progress := map[string]storedProgress{}
	for _, row := range listing.Rows {
		key := strings.TrimPrefix(row.Key, ProgressPrefix)
		id, _ := batch.RowJob(key)
		if progress[id] == nil {
			progress[id] = storedProgress{}
		}
		progress[id][key] = row
	}
	return progress, nil
}

// loadCountsVersion reads the version of the counts of waiting jobs, 0 if there are none.
func (t *term) loadCountsVersion() (int64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.Follower.Wait+t.cfg.Follower.Grace)
	defer cancel()
	row, _, err := t.cfg.Store.Get(ctx, PendingKey)
	return row.Version, err
}

// handleJobUpdate applies new jobs and cancellation requests. The daemon's own follower
// logs failed reads.
func (t *term) handleJobUpdate(update table.Update, progress map[string]storedProgress) {
	t.jobsUnread = update.Err != nil
	if t.jobsUnread {
		return
	}
	cancelled := map[string]table.Row{}
	for _, row := range update.Rows {
		id := strings.TrimPrefix(row.Key, JobsPrefix)
		if job, ok := strings.CutSuffix(id, CancelSuffix); ok {
			cancelled[job] = row
			continue
		}
		t.addJob(id, row, progress[id])
	}
	for id, row := range cancelled {
		t.cancelJob(id, row.Version)
	}
	t.jobsVersion = max(t.jobsVersion, update.Version)
	if update.Full {
		t.jobsListed = true
		t.adoptRuns()
	}
	t.planNeeded = t.planNeeded || len(update.Rows) > 0
}

// addJob adds a job with its stored progress, if it has any.
func (t *term) addJob(id string, row table.Row, stored storedProgress) {
	defer telemetry.LogPanic(t.log, "decoding of a job", zap.String("job", id), zap.Int64("version", row.Version))
	if _, known := t.jobs[id]; known {
		return
	}
	if _, known := t.finished[id]; known || t.invalid[id] || row.Version < t.deleted[id].version {
		return
	}
	job, err := batch.DecodeJob(row.Value)
	if err != nil || job.ID != id {
		t.log.Error("Invalid job row ignored.", zap.String("job", id), zap.Int64("version", row.Version), telemetry.ErrorField(err))
		return
	}
	j := &jobState{
		tracker: batch.NewTracker(job), weight: batch.Weight(&job, len(row.Value)), rowBytes: len(row.Value), rows: map[string]storedRow{}, storedState: batch.Queued, startableSince: map[unitKey]time.Time{}, assignedAt: map[unitKey]time.Time{}, beginnings: map[unitKey]*beginning{},
		failedWorkers: map[unitKey]map[string]bool{}, suspectSince: map[unitKey]time.Time{}, runs: map[batch.RunRef]*run{},
	}
	if !t.jobsListed {
		if err := j.restore(stored); err != nil {
			t.log.Error("Job ignored because its stored progress is invalid.", zap.String("job", id), telemetry.ErrorField(err))
			t.invalid[id] = true
			return
		}
		j.storedState = j.tracker.State
		if j.tracker.State.Final() && j.tracker.Idle() {
			if len(j.rows) <= 1 {
				t.finished[id] = j.finished()
				return
			}
			t.markChanged(j) // its pages are to be deleted
		}
		t.restorePresumed(j)
	}
	t.openOccurrences(j)
	t.jobs[id] = j
	if n := t.stalls[id]; n >= maxStalls {
		t.scope.Counter("jobs_set_aside").Inc(1)
		t.log.Error("Job set aside because the dispatcher has stalled on it.", zap.String("job", id), zap.Int("stalls", n))
	}
	if early, cancelled := t.earlyCancels[id]; cancelled {
		defer t.cancelJob(id, early.version)
	}
	t.log.Info("Job added.", zap.String("job", id), zap.String("queue", job.Queue), zap.String("organisation", job.Organisation),
		zap.Int64("version", row.Version), zap.String("state", string(j.tracker.State)), zap.Int("priority", job.Priority), zap.Int("steps", len(job.Steps)))
}

// unstored returns the numbers of jobs whose end, and of ends of runs that the term has read
// and that are not stored. The next term reads the ends from their workers again.
func (t *term) unstored() (jobs, ends int) {
	for _, j := range t.jobs {
		if j.tracker.State.Final() && !j.storedState.Final() {
			jobs++
		}
	}
	for _, w := range t.workers {
		ends += len(w.pendingAcks)
	}
	return jobs, ends
}

// openOccurrences adds the units of the occurrences that are due.
func (t *term) openOccurrences(j *jobState) {
	next, opened := j.tracker.OpenDue(time.Now())
	j.nextDue = next
	if opened {
		t.planNeeded = true
	}
}

// updateJobState completes the occurrences of a job that are done after a change of its
// tasks, opens the next ones, and stops its runs if it has failed.
func (t *term) updateJobState(j *jobState) {
	t.openOccurrences(j)
	j.tracker.CompleteOccurrences(time.Now())
	t.openOccurrences(j)
	if state := j.tracker.State; state.Final() && !j.endLogged {
		j.endLogged = true
		t.log.Info("Job ended.", zap.String("job", j.tracker.Job.ID), zap.String("state", string(state)),
			zap.Int64("age_ms", time.Now().UnixMilli()-j.tracker.Job.AcceptedAtMs))
	}
	if state := j.tracker.State; state == batch.Failed || state == batch.Cancelled {
		t.stopJobRuns(j, string(state))
	}
	t.markChanged(j)
	t.planNeeded = true
}

// forgetFinished removes jobs that need no more work from the term, and deletes their
// rows after the retention time.
func (t *term) forgetFinished(now time.Time) {
	for id, j := range t.jobs {
		if j.tracker.State.Final() && len(j.runs) == 0 && j.tracker.Idle() && j.storedRevision == j.revision {
			t.finished[id] = j.finished()
			delete(t.jobs, id)
		}
	}
	t.forgetEarlyCancels(now)
	maps.DeleteFunc(t.deleted, func(_ string, d deletedJob) bool { return now.Sub(d.at) > deletedRetention })
	var expired []string
	for id, finished := range t.finished {
		if now.Sub(finished.endedAt) > t.cfg.FinishedRetention && len(expired) < maxExpiredJobs {
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 && t.jobsListed {
		t.deleteExpired(expired)
	}
}
