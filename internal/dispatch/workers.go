package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// fenceBits is the number of low bits of a fence that count the raises within
	// one term; the epoch is in the bits above.
	fenceBits = 20
	// minPollWait is how long a worker may hold a renewal call open while no run ends.
	// It bounds how long a dead connection goes undetected.
	minPollWait = 600 * time.Millisecond
	// maxPollWait is the longest such wait. The wait grows with the fleet, to limit
	// the rate of calls: in a large fleet, a dead connection affects only a small
	// part of the work, and its early detection is not worth the cost of more
	// frequent calls. A fleet of up to workersAtMinWait workers is polled with
	// minPollWait.
	maxPollWait      = 1500 * time.Millisecond
	workersAtMinWait = 100
	// callTransitTime is added to the wait of a call for the network round trip.
	callTransitTime = 400 * time.Millisecond
	// probeInterval is the delay between calls to a worker that did not answer. It
	// is short so that the lease of a worker that is reachable again is renewed
	// before it expires.
	probeInterval = 100 * time.Millisecond
	// idleProbeInterval is that delay for a worker without runs. It bounds how long one that
	// answers again waits for tasks.
	idleProbeInterval = 400 * time.Millisecond
	// unlistedProbeInterval is that delay for a worker that is no longer listed and may keep
	// unread ends. It is called for unlistedReadTime after its runs were dropped: a worker
	// that has drained goes on for some seconds after its entry is gone.
	unlistedProbeInterval = time.Second
	unlistedReadTime      = 10 * time.Second
	// maxIdleCalls bounds the calls in one tick to workers without runs that may keep
	// unread ends or do not answer. A new term calls all workers once, 1,100 of them in 2 s.
	maxIdleCalls = 50
	// unstoredEndsDelay is the delay of the next call after an answer with ends that
	// are not stored yet; the call would return the same ends.
	unstoredEndsDelay = 400 * time.Millisecond
	// reentryTime is how long workers may take to enter themselves again after an outage
	// of the store: the 2 s that the platform allows, and a read of their entries.
	reentryTime = 2200 * time.Millisecond
	// clockReadInterval is the longest time for which the clock of an idle worker is not
	// read. A reading of that age shortens the first lease by 2.4 s.
	clockReadInterval = 2 * time.Minute
	// leaseTransitTime covers the network round trip of a lease renewal.
	leaseTransitTime = 200 * time.Millisecond
	// lateOrderTime is how long after an order that was not answered the platform may carry
	// it out. The next incarnation of a worker, which has seen no fence, may do so too.
	lateOrderTime = 12 * time.Second
	// minClockRate is the lowest rate of a worker's clock relative to real time.
	minClockRate = 0.98
)

// workerState is what the term knows about a worker: its runs, its lease and the
// state of the calls to it.
type workerState struct {
	info   fleet.Worker
	listed bool // discovery lists the worker, or may do so again, see missingSince
	// describedMs is the start time of the incarnation whose entry was read last. The
	// capacity and the labels of a later one are not known.
	describedMs int64
	foundAt     time.Time // when the term found this incarnation
	// missingSince is when the entry of a worker that may enter itself again was found
	// missing after an outage of the store; zero otherwise.
	missingSince time.Time
	fence        int64

	clock       int64     // worker's clock in ms at clockReadAt
	clockReadAt time.Time // zero until the worker or discovery has reported its clock
	// leaseExpiresAt is when all leases that this term has sent to the worker have
	// certainly expired, unless another one is sent; zero while it has sent none.
	leaseExpiresAt time.Time
	// fenced means that the incarnation of the worker has answered a call of this term, so
	// that it accepts none of an earlier holder any more.
	fenced bool

	position int // in the snapshot of the current plan

	runs        map[batch.RunRef]*run
	lastEnd     int64 // number of the newest end received
	storedEnd   int64 // ends up to this number are stored
	ackedEnd    int64 // ends up to this number are acknowledged to the worker
	pendingAcks []*endAck
	// lostEndsReported is set while the loss of pendingAcks with the worker is logged.
	lostEndsReported bool

	// unread is set while ends that this term has not read may wait at the worker: until
	// its first answer, and after its runs were dropped because it was unreachable.
	unread bool
	// unreadUntil is until when the worker is called for such ends while it is not listed.
	unreadUntil time.Time

	polling bool // a regular renewal is in flight
	// probing is set while a renewal without a wait is in flight: the first one, or
	// one to a worker that does not answer or has runs of unknown state.
	probing      bool
	nextCall     time.Time // earliest next call
	lastAnswered time.Time // when the last answered call was sent
	answeredAt   time.Time // when its answer was applied
	misses       int       // unanswered calls since the last answer
	silentSince  time.Time // when the first of them was noted

	orders         []order // orders that wait
	ordersInFlight int

	drain drain // set while the worker drains

	longCheckpoints bool // the worker has reported checkpoints that are too long; logged once

	health workerhealth.State // in the last plan
}

// endAck is the pending acknowledgement of an end. The worker keeps the end until
// it is stored and acknowledged.
type endAck struct {
	endNumber int64
	startedMs int64
	stored    bool
}

func (t *term) newWorkerState(worker fleet.Worker) *workerState {
	return &workerState{info: worker, fence: t.maxFence, runs: map[batch.RunRef]*run{}, unread: true, foundAt: time.Now()}
}

func (t *term) addWorker(w *workerState) {
	t.workers[w.info.ID] = w
	t.workerOrder = nil
}

// handleWorkerUpdate applies a change of the discovery rows.
func (t *term) handleWorkerUpdate(update table.Update) {
	now := time.Now()
	if update.Err != nil {
		t.workersUnread = true
		return
	}
	if t.workersUnread {
		t.workersUnread = false
		t.reentryEnd = now.Add(reentryTime)
	}
	listed := map[string]bool{}
	for _, row := range update.Rows {
		worker, err := t.decodeWorker(row)
		if err != nil {
			t.log.Warn("Invalid worker entry ignored.", zap.String("row", row.Key), zap.Int64("version", row.Version), telemetry.ErrorField(err))
			continue
		}
		listed[worker.ID] = true
		t.updateWorker(worker, row.Version, now)
	}
	for _, key := range update.Deleted {
		t.markMissing(strings.TrimPrefix(key, t.cfg.Workers.Prefix), now)
	}
	if !update.Full {
		return
	}
	for id := range t.workers {
		if !listed[id] {
			t.markMissing(id, now)
		}
	}
	t.workersListed = true
	t.adoptRuns()
}

// decodeWorker decodes a worker's entry. An entry that makes the decoder fail is invalid.
func (t *term) decodeWorker(row table.Row) (worker fleet.Worker, err error) {
	err = eris.Errorf("the decoder failed on row %s", row.Key)
	defer telemetry.LogPanic(t.log, "decoding of a worker entry", zap.String("row", row.Key), zap.Int64("version", row.Version))
	return t.cfg.Workers.Decode(row)
}

func (t *term) updateWorker(worker fleet.Worker, version int64, now time.Time) {
	w := t.workers[worker.ID]
	if w == nil {
		w = t.newWorkerState(worker)
		t.addWorker(w)
		t.log.Info("Worker found.", zap.String("worker", worker.ID), zap.String("zone", worker.Zone), zap.Int64("version", version))
	}
	switch {
	case worker.StartedMs != 0 && worker.StartedMs < w.info.StartedMs:
		t.log.Info("Worker entry of an earlier incarnation ignored.", zap.String("worker", worker.ID), zap.Int64("version", version))
		return
	case w.info.StartedMs != 0 && worker.StartedMs > w.info.StartedMs:
		t.resetWorker(w, worker.StartedMs, worker.Clock, now)
	}
	if worker.Draining && !w.info.Draining {
		t.log.Info("Worker is draining.", zap.String("worker", worker.ID), zap.Int64("version", version), zap.Duration("remaining", worker.Remaining))
	}
	if worker.StartedMs == 0 {
		worker.StartedMs = w.info.StartedMs
	}
	if !w.listed {
		w.nextCall = time.Time{}
	}
	if worker.Rack != w.info.Rack {
		t.workerOrder = nil
	}
	w.info, w.listed, w.missingSince, w.describedMs = worker, true, time.Time{}, worker.StartedMs
	t.updateDrain(w, now)
	if w.clockReadAt.IsZero() {
		w.clock, w.clockReadAt = worker.Clock, now
	}
	t.planNeeded = true
}

// markMissing records that discovery does not list a worker. The entries of live workers
// lapse during an outage of the store, because they cannot renew them, and return within
// reentryTime. Until then such a worker gets tasks once it has answered a call.
func (t *term) markMissing(id string, now time.Time) {
	w := t.workers[id]
	if w == nil || !w.listed {
		return
	}
	if now.Before(t.reentryEnd) && !w.info.Draining {
		if w.missingSince.IsZero() {
			w.missingSince = now
			w.nextCall = time.Time{}
			t.pollWorker(w, now)
		}
		return
	}
	t.markUnlisted(w)
}

func (t *term) markUnlisted(w *workerState) {
	w.listed, w.missingSince = false, time.Time{}
	t.logDrainEnd(w)
	t.noteDeparture(w, time.Now())
	t.log.Info("Worker no longer listed.", zap.String("worker", w.info.ID), zap.Int("runs", len(w.runs)))
	t.planNeeded = true
}

// endReentry takes the workers for gone whose entries have not returned in time after an
// outage of the store.
func (t *term) endReentry(now time.Time) {
	if t.reentryEnd.IsZero() || now.Before(t.reentryEnd) {
		return
	}
	t.reentryEnd = time.Time{}
	for _, w := range t.workers {
		if !w.missingSince.IsZero() {
			t.markUnlisted(w)
		}
	}
}

// unproved reports whether the entry of a worker is missing after an outage and the
// worker has not answered since. A worker with runs is polled all the time, and its
// missed answers are counted.
func (w *workerState) unproved() bool {
	return !w.missingSince.IsZero() && len(w.runs) == 0 && !w.lastAnswered.After(w.missingSince)
}

// resetWorker replaces the state of a worker by that of a later incarnation. The
// runs of the earlier one no longer exist, but an order sent to it may have reached
// the new one: each run stays unknown until a call with a raised fence is answered.
func (t *term) resetWorker(w *workerState, startedMs, clock int64, now time.Time) {
	t.log.Info("Worker has restarted.", zap.String("worker", w.info.ID), zap.Int64("born", startedMs), zap.Int("runs", len(w.runs)))
	if w.misses == 0 {
		t.noteSilence(w, now)
	}
	t.reportLoss(w, lossRestarted)
	t.reportLostEnds(w, lossRestarted)
	w.info.StartedMs, w.foundAt = startedMs, now
	w.lastEnd, w.storedEnd, w.ackedEnd, w.pendingAcks, w.lostEndsReported = 0, 0, 0, nil, false
	w.clock, w.clockReadAt = clock, now
	if w.listed { // otherwise its departure has counted
		t.noteDeparture(w, now)
	}
	w.drain = drain{}
	// A call makes the new incarnation reject what was sent to the earlier one and may be
	// carried out late.
	w.fenced, w.unread = false, true
	for _, r := range w.runs {
		if r.phase == phaseCommitting {
			continue
		}
		if r.confirmedAt.IsZero() {
			w.extendExpiry(t.longestLeaseEnd(now.Add(lateOrderTime)))
		}
		r.phase = phaseUnknown
	}
	t.raiseFence(w)
}

// reportLostEnds logs once that a worker was lost with ends that this term has read and not
// stored. Unless the worker answers again, the next term will not find them.
func (t *term) reportLostEnds(w *workerState, evidence string) {
	if len(w.pendingAcks) == 0 || w.lostEndsReported {
		return
	}
	w.lostEndsReported = true
	t.scope.Counter("unstored_ends_lost").Inc(int64(len(w.pendingAcks)))
	t.log.Warn("Worker lost with ends that are not stored.", zap.String("worker", w.info.ID), zap.String("evidence", evidence), zap.Int("ends", len(w.pendingAcks)))
}

// raiseFence makes a worker reject all orders sent to it so far. This is certain
// once it has answered a call with the new fence.
func (t *term) raiseFence(w *workerState) {
	t.maxFence++
	w.fence = t.maxFence
	w.nextCall = time.Time{}
}

// checkWorker polls a worker if a call is due, and drops its runs once their lease
// has certainly expired.
func (t *term) checkWorker(w *workerState, now time.Time) {
	if expiry := t.workerLeaseExpiry(w); len(w.runs) > 0 && w.misses > 0 && now.After(expiry) {
		t.log.Warn("Lease of an unreachable worker has expired.", zap.String("worker", w.info.ID), zap.Int("runs", len(w.runs)), zap.Bool("answered_this_term", w.fenced),
			zap.Duration("since_last_answer", sinceOrZero(w.lastAnswered, now)), zap.Duration("expired_for", now.Sub(expiry)),
			zap.Duration("term_age", now.Sub(t.startedAt)), zap.Strings("former_running", slices.Sorted(maps.Keys(t.former.running))))
		t.reportLostEnds(w, lossLeaseExpired)
		t.loseRuns(w, lossLeaseExpired)
		w.unread, w.unreadUntil = true, now.Add(unlistedReadTime)
	}
	if !w.listed && len(w.runs) == 0 && w.ackedEnd == w.lastEnd && !w.mayKeepEnds(now) && !w.polling && !w.probing {
		delete(t.workers, w.info.ID)
		t.workerOrder = nil
		return
	}
	t.pollWorker(w, now)
}

// probeDelay returns the delay until the next call to a worker after one without an answer.
func (w *workerState) probeDelay() time.Duration {
	switch {
	case len(w.runs) > 0:
		return probeInterval
	case w.listed:
		return idleProbeInterval
	}
	return unlistedProbeInterval
}

// mayKeepEnds reports whether a worker that is not listed is still called for unread ends.
func (w *workerState) mayKeepEnds(now time.Time) bool {
	return w.unread && now.Before(w.unreadUntil)
}

// workerLeaseExpiry returns the time from which no run started on the worker can
// still exist, unless its lease is renewed. Until the worker has answered a call of this
// term, an earlier holder may have renewed its lease too, whatever this term has sent.
func (t *term) workerLeaseExpiry(w *workerState) time.Time {
	if former := t.longestLeaseEnd(t.former.lastRenewal(t.startedAt)); !w.fenced && former.After(w.leaseExpiresAt) {
		return former
	}
	return w.leaseExpiresAt
}

// longestLeaseEnd returns when a lease has certainly expired whose order was sent up to a
// time.
func (t *term) longestLeaseEnd(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(t.cfg.MaxWorkerLease)/minClockRate) + leaseTransitTime)
}

// noteFenced records that a worker has answered a call of this term. An earlier holder
// may have renewed its lease just before.
func (t *term) noteFenced(w *workerState, now time.Time) {
	if w.fenced {
		return
	}
	w.fenced = true
	w.extendExpiry(t.longestLeaseEnd(now))
}

func (w *workerState) extendExpiry(expiry time.Time) {
	if expiry.After(w.leaseExpiresAt) {
		w.leaseExpiresAt = expiry
	}
}

// estimateClock returns the least value in ms that the worker's clock has at the given
// time, or 0 if no reading is known. A deadline that is based on a higher one would give an
// order that is carried out late a longer lease than longestLeaseEnd allows for.
func (w *workerState) estimateClock(now time.Time) int64 {
	if w.clockReadAt.IsZero() {
		return 0
	}
	return w.clock + int64(minClockRate*float64(now.Sub(w.clockReadAt).Milliseconds()))
}

// extendLease returns the deadline of a new lease on the worker's clock in ms, and
// records when that lease has certainly expired by this daemon's clock. It returns 0
// if the worker's clock is not known or the term may extend no lease any more.
func (t *term) extendLease(w *workerState, now time.Time) int64 {
	clock := w.estimateClock(now)
	if clock == 0 || !t.mayExtendLeases() {
		return 0
	}
	t.lastExtension = now
	w.extendExpiry(t.longestLeaseEnd(now))
	return clock + t.cfg.MaxWorkerLease.Milliseconds()
}

// sinceOrZero returns the time since a moment, or 0 if that is not set.
func sinceOrZero(since, now time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}
