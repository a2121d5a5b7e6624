package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// pollWorker sends the next lease renewal if one is due. Its answer lists the runs
// of the worker and those that have ended.
func (t *term) pollWorker(w *workerState, now time.Time) {
	probe := w.misses > 0 || w.unproved() || t.hasUnknownRuns(w)
	if now.Before(w.nextCall) || w.probing || w.polling && !probe {
		return
	}
	if len(w.runs) == 0 && !t.needsCall(w, now) {
		return
	}
	if next := w.answeredAt.Add(unstoredEndsDelay); !probe && w.unstoredEnds() && now.Before(next) {
		w.nextCall = next // the answer would have the same ends again
		return
	}
	order := fleet.LeaseRenewal{Fence: w.fence}
	if w.storedEnd > w.ackedEnd {
		// Ends are acknowledged once: a restarted worker numbers its ends anew.
		order.AckedEnds = w.storedEnd
	}
	probe = probe || w.lastAnswered.IsZero()
	if w.misses == 0 && !w.lastAnswered.IsZero() {
		order.Deadline = t.extendLease(w, now)
	}
	switch {
	case probe:
		w.probing = true
		w.nextCall = now.Add(probeInterval)
	case len(w.runs) > 0 && w.lastEnd == w.storedEnd:
		w.polling = true
		order.Wait = t.pollWait()
	default:
		w.polling = true
		w.nextCall = now.Add(unstoredEndsDelay)
	}
	worker := w.info
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, order.Wait+callTransitTime)
		defer cancel()
		report := t.callRenewLease(ctx, worker, order)
		t.post(func() {
			if probe {
				w.probing = false
			} else {
				w.polling = false
			}
			t.applyReport(w, worker, order, now, report)
			t.pollWorker(w, time.Now())
		})
	}()
}

// unstoredEnds reports whether a worker has reported ends that are not stored and, since then,
// none that are.
func (w *workerState) unstoredEnds() bool {
	return w.lastEnd != w.storedEnd && w.storedEnd == w.ackedEnd
}

// needsCall reports whether a worker without runs is called: to acknowledge stored ends,
// while it keeps ends that are not stored, which are lost if the worker is, to read ends
// that nobody has read, or its clock, to see whether it still exists after an outage of the
// store, and after a call without an answer, until which it gets no tasks. It counts the calls
// that many workers may need at once.
func (t *term) needsCall(w *workerState, now time.Time) bool {
	switch {
	case w.unproved(), w.ackedEnd != w.storedEnd:
		return true
	case w.listed && w.misses > 0 && !w.info.Draining && t.idleCalls < maxIdleCalls:
		t.idleCalls++
		return true
	case len(w.pendingAcks) > 0:
		return now.Sub(w.lastAnswered) >= unstoredEndsDelay
	case (w.mayKeepEnds(now) || w.listed && (w.unread || now.Sub(w.clockReadAt) > clockReadInterval)) && t.canReadEnds() && t.idleCalls < maxIdleCalls:
		t.idleCalls++
		return true
	}
	return false
}

// canReadEnds reports whether the term knows the jobs that ends can belong to. An end
// of a job that is not known is acknowledged, and the worker forgets it.
func (t *term) canReadEnds() bool { return t.jobsListed }

// callRenewLease sends a lease renewal. A failure of the client itself counts as no
// answer.
func (t *term) callRenewLease(ctx context.Context, worker fleet.Worker, renewal fleet.LeaseRenewal) (report fleet.Report) {
	report.Outcome = fleet.Unanswered
	defer telemetry.LogPanic(t.log, "lease renewal", zap.String("worker", worker.ID))
	return t.cfg.Client.RenewLease(ctx, worker, renewal)
}

// pollWait returns how long a worker may hold a renewal call open while no run ends.
// It grows with the number of workers to limit the rate of calls.
func (t *term) pollWait() time.Duration {
	return min(maxPollWait, minPollWait*time.Duration(max(workersAtMinWait, len(t.workers)))/workersAtMinWait)
}

// hasUnknownRuns reports whether an order to the worker has an unknown outcome, which
// a call with a raised fence has to resolve.
func (t *term) hasUnknownRuns(w *workerState) bool {
	for _, r := range w.runs {
		if r.phase == phaseUnknown {
			return true
		}
	}
	return false
}

// applyReport is handleReport for an answer of any content: one that cannot be applied
// counts as no answer.
func (t *term) applyReport(w *workerState, worker fleet.Worker, order fleet.LeaseRenewal, sent time.Time, report fleet.Report) {
	applied := false
	defer func() {
		if !applied {
			now := time.Now()
			t.noteMiss(w, now, "answer that cannot be applied", nil)
			w.nextCall = now.Add(w.probeDelay())
		}
	}()
	defer telemetry.LogPanic(t.log, "answer of a worker", zap.String("worker", w.info.ID))
	t.handleReport(w, worker, order, sent, report)
	applied = true
}

// handleReport applies the answer to a lease renewal. worker is the target of the
// call as it was known when the call was sent.
func (t *term) handleReport(w *workerState, worker fleet.Worker, order fleet.LeaseRenewal, sent time.Time, report fleet.Report) {
	now := time.Now()
	switch report.Outcome {
	case fleet.Accepted:
	case fleet.Fenced:
		if order.Fence == w.fence {
			t.endReason = "fenced by worker " + w.info.ID
		}
		return
	case fleet.OtherIncarnation:
		if worker.Address == w.info.Address && !t.canJudge(w, now) {
			t.noteMiss(w, now, report.Outcome.String(), nil)
			w.nextCall = now.Add(probeInterval)
			return
		}
		if worker.Address == w.info.Address {
			t.reportLostEnds(w, lossAddressReused)
			t.loseRuns(w, lossAddressReused)
			w.ackedEnd, w.unreadUntil = w.storedEnd, time.Time{}
			t.noteMiss(w, now, report.Outcome.String(), nil)
			w.nextCall = now.Add(unstoredEndsDelay)
		}
		return
	default:
		t.noteMiss(w, now, report.Outcome.String(), report.Err)
		if w.misses == 1 {
			t.noteSilence(w, now)
		}
		w.nextCall = now.Add(w.probeDelay())
		if len(w.runs) == 0 && !w.listed {
			w.ackedEnd = w.storedEnd
		}
		return
	}
	if report.StartedMs != 0 && report.StartedMs < w.info.StartedMs {
		t.log.Info("Answer of an earlier incarnation ignored.", zap.String("worker", w.info.ID), zap.Int64("born", report.StartedMs))
		w.nextCall = now.Add(w.probeDelay())
		return
	}
	if report.StartedMs != 0 && report.StartedMs > w.info.StartedMs {
		if w.info.StartedMs != 0 {
			t.resetWorker(w, report.StartedMs, report.Clock, now)
		} else {
			w.describedMs = report.StartedMs
		}
		w.info.StartedMs = report.StartedMs
	}
	if w.misses > 0 || w.unproved() {
		t.planNeeded = true
	}
	t.noteAnswer(w, now)
	t.retractLosses(w)
	t.noteFenced(w, now)
	t.clearMisses(w, now)
	w.lostEndsReported = false
	w.unread = !t.canReadEnds() || report.MoreEnds
	w.lastAnswered, w.answeredAt = sent, now
	if order.AckedEnds <= w.storedEnd {
		// Otherwise the call was sent to an earlier incarnation.
		w.ackedEnd = max(w.ackedEnd, order.AckedEnds)
	}
	t.updateClock(w, report.Clock, now)
	t.dropLongCheckpoints(w, &report)
	if t.canReadEnds() {
		for _, end := range report.Ended {
			t.handleEnd(w, end)
		}
	}
	t.reconcileRuns(w, order, sent, report)
	if order.Deadline == 0 && len(w.runs) > 0 {
		w.nextCall = time.Time{}
	}
}

// dropLongCheckpoints removes the checkpoints that are too long to be stored with the
// progress of a job. Their runs continue from an earlier one.
func (t *term) dropLongCheckpoints(w *workerState, report *fleet.Report) {
	dropped := 0
	bound := func(checkpoint *string) {
		if len(*checkpoint) > batch.MaxCheckpointBytes {
			*checkpoint = ""
			dropped++
		}
	}
	for i := range report.Running {
		bound(&report.Running[i].Checkpoint)
	}
	for i := range report.Ended {
		bound(&report.Ended[i].Checkpoint)
	}
	if dropped == 0 {
		return
	}
	t.scope.Counter("checkpoints_too_long").Inc(int64(dropped))
	if !w.longCheckpoints {
		w.longCheckpoints = true
		t.log.Warn("Checkpoints of a worker ignored because they are too long.", zap.String("worker", w.info.ID), zap.Int("runs", dropped), zap.Int("limit_bytes", batch.MaxCheckpointBytes))
	}
}

func (t *term) updateClock(w *workerState, clock int64, now time.Time) {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, now
	}
}

// reconcileRuns compares the runs that a worker reports with those assigned to it:
// it stops runs that no job records, drops runs that no longer exist, and repeats
// starts that were not carried out, unless they may have been by an earlier incarnation.
// While more ends wait at the worker, a run that is not reported may have ended.
func (t *term) reconcileRuns(w *workerState, order fleet.LeaseRenewal, sent time.Time, report fleet.Report) {
	listed := make(map[batch.RunRef]bool, len(report.Running))
	for _, r := range report.Running {
		listed[r.Run] = true
		t.confirmStart(r.Run)
		if known := w.runs[r.Run]; known != nil {
			t.updateRun(known, r)
			continue
		}
		if !t.runsAdopted() {
			continue // it may be one that an earlier term has recorded
		}
		t.reportAlive(w, r.Run, "")
		t.log.Warn("Stopping a run that no job records.", zap.String("worker", w.info.ID), zap.Stringer("task", r.Run.TaskRef), zap.Int64("run", r.Run.Run))
		t.sendStop(w, r.Run)
	}
	if report.MoreEnds {
		return
	}
	now := time.Now()
	for ref, r := range w.runs {
		if listed[ref] {
			continue
		}
		switch {
		case (r.phase == phaseRunning || r.phase == phaseStopping) && r.confirmedAt.Before(sent):
			t.dropRun(r, "worker no longer reports the run")
		case r.phase == phaseUnknown && order.Fence > r.fence && r.incarnation < w.info.StartedMs:
			if t.canJudge(w, now) {
				t.loseRun(r, lossRestarted)
			}
		case r.phase == phaseUnknown && order.Fence > r.fence:
			t.resendStart(r, "start was not carried out")
		}
	}
}

// handleEnd applies an end that a worker reports and acknowledges it once it is
// stored.
func (t *term) handleEnd(w *workerState, end fleet.End) {
	if end.Number <= w.lastEnd {
		return
	}
	w.lastEnd = end.Number
	t.reportAlive(w, end.Run, end.Reason)
	a := &endAck{endNumber: end.Number, startedMs: w.info.StartedMs}
	w.pendingAcks = append(w.pendingAcks, a)
	j := t.jobs[end.Run.Job]
	if j == nil {
		t.ackStored(w, a)
		return
	}
	t.applyEnd(w, j, end)
	if j.storedRevision == j.revision {
		t.ackStored(w, a)
		return
	}
	t.whenDurable(j, func() { t.ackStored(w, a) })
}

// ackStored marks an end as stored. The next call acknowledges all ends up to the
// first one that is not stored.
func (t *term) ackStored(w *workerState, a *endAck) {
	a.stored = true
	if a.startedMs != w.info.StartedMs {
		return // ends are numbered anew in each incarnation
	}
	for len(w.pendingAcks) > 0 && w.pendingAcks[0].stored {
		w.storedEnd = w.pendingAcks[0].endNumber
		w.pendingAcks = w.pendingAcks[1:]
	}
	if len(w.pendingAcks) == 0 {
		w.nextCall = time.Time{}
		t.pollWorker(w, time.Now())
	}
}
