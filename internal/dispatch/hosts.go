package dispatch

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// fenceBits leaves room for the fences that one term raises on a worker.
	fenceBits = 20
	// holdWait is how long a worker may wait for an end before it answers. It
	// bounds the time in which a silent connection is noticed.
	holdWait = 600 * time.Millisecond
	// maxHoldWait is the wait in a large fleet, where calls cost more than what a
	// cut can end; holdsPerWait workers are called at the shortest wait.
	maxHoldWait  = 1500 * time.Millisecond
	holdsPerWait = 100
	// callGrace is added to the wait of a call for the way there and back.
	callGrace = 400 * time.Millisecond
	// probePause is the delay between calls to a worker that did not answer. A
	// worker that is back is held before its lease ends.
	probePause = 100 * time.Millisecond
	// ackPause is how long an answer with ends that are not stored yet holds back
	// the next call, which would return the same ends.
	ackPause = 400 * time.Millisecond
	// leaseSlack covers the way of a lease to the worker and back.
	leaseSlack = 200 * time.Millisecond
	// slowClock is the rate of the slowest clock of a worker.
	slowClock = 0.98
	// suspectShort and suspectLong are how long a worker is taken last after one
	// failure and after several; excludedAfter failures that no success has taken
	// back keep it from getting any work for that time. Tasks also fail by
	// themselves, about one in 30 on the users' sites, so one failure counts for less.
	suspectShort  = 4 * time.Second
	suspectLong   = 8 * time.Second
	excludedAfter = 3
)

// host is a worker as the term sees it: what runs there and what is known of
// its lease.
type host struct {
	worker  fleet.Worker
	present bool // discovery lists it
	fence   int64

	clock   int64     // worker's clock in ms at clockAt
	clockAt time.Time // zero until the worker or discovery has told its clock
	// lapsed is when everything that runs here has certainly lost its lease, if no
	// further lease is sent; zero while this term has sent none.
	lapsed time.Time

	runs    map[batch.RunRef]*run
	highest int64 // highest end received
	seen    int64 // ends up to here are stored
	told    int64 // the worker knows that ends up to here are stored
	acks    []*ack

	polling  bool // a waiting call is in flight
	probing  bool
	next     time.Time // earliest next call
	answered time.Time // when the last answered call was sent
	misses   int       // calls without an answer since

	orders  chan func()
	streak  int // failures that no success has taken back
	suspect time.Time
}

// ack is an end that the worker may forget once it is stored.
type ack struct {
	number int64
	born   int64
	stored bool
}

func (t *term) newHost(worker fleet.Worker) *host {
	h := &host{worker: worker, fence: t.topFence, runs: map[batch.RunRef]*run{}, orders: make(chan func(), eventQueue)}
	go func() {
		for {
			select {
			case order := <-h.orders:
				order()
			case <-t.ctx.Done():
				return
			}
		}
	}()
	return h
}

// workersChanged takes what discovery tells.
func (t *term) workersChanged(update table.Update) {
	now := time.Now()
	listed := map[string]bool{}
	for _, row := range update.Rows {
		worker, err := t.cfg.Workers.Decode(row)
		if err != nil {
			t.log.Warn("Worker entry ignored.", zap.String("row", row.Key), zap.Int64("version", row.Version), telemetry.Cause(err))
			continue
		}
		listed[worker.ID] = true
		t.workerSeen(worker, row.Version, now)
	}
	for _, key := range update.Deleted {
		t.workerGone(strings.TrimPrefix(key, t.cfg.Workers.Prefix))
	}
	if !update.Full {
		return
	}
	for id := range t.hosts {
		if !listed[id] {
			t.workerGone(id)
		}
	}
	t.located = true
	t.adoptAll()
}

func (t *term) workerSeen(worker fleet.Worker, version int64, now time.Time) {
	h := t.hosts[worker.ID]
	if h == nil {
		h = t.newHost(worker)
		t.hosts[worker.ID] = h
		t.log.Info("Worker found.", zap.String("worker", worker.ID), zap.String("zone", worker.Zone), zap.Int64("version", version))
	}
	switch {
	case worker.StartedMs != 0 && worker.StartedMs < h.worker.StartedMs:
		t.log.Info("Entry of an earlier life of a worker ignored.", zap.String("worker", worker.ID), zap.Int64("version", version))
		return
	case h.worker.StartedMs != 0 && worker.StartedMs > h.worker.StartedMs:
		t.reborn(h, worker.StartedMs, worker.Clock, now)
	}
	if worker.Draining && !h.worker.Draining {
		t.log.Info("Worker is draining.", zap.String("worker", worker.ID), zap.Int64("version", version), zap.Duration("remaining", worker.Remaining))
	}
	if worker.StartedMs == 0 {
		worker.StartedMs = h.worker.StartedMs
	}
	h.worker, h.present = worker, true
	if h.clockAt.IsZero() {
		h.clock, h.clockAt = worker.Clock, now
	}
	t.dirty = true
}

func (t *term) workerGone(id string) {
	h := t.hosts[id]
	if h == nil || !h.present {
		return
	}
	h.present = false
	t.log.Info("Worker no longer listed.", zap.String("worker", id), zap.Int("runs", len(h.runs)))
	t.dirty = true
}

// reborn begins with what is known of a later life of a worker. What ran in the
// earlier one is gone, but an order of which the term believes that it went there
// may have reached the new one: a call with a raised fence settles each run.
func (t *term) reborn(h *host, born, clock int64, now time.Time) {
	t.log.Info("Worker has started anew.", zap.String("worker", h.worker.ID), zap.Int64("born", born), zap.Int("runs", len(h.runs)))
	h.worker.StartedMs = born
	h.highest, h.seen, h.told, h.acks = 0, 0, 0, nil
	h.clock, h.clockAt = clock, now
	h.streak, h.suspect = 0, time.Time{}
	for _, r := range h.runs {
		if r.phase != committing {
			r.phase = unknown
		}
	}
	t.raiseFence(h)
}

// raiseFence shuts out all orders sent to a worker so far, once it has answered
// a call with the new fence.
func (t *term) raiseFence(h *host) {
	t.topFence++
	h.fence = t.topFence
	h.next = time.Time{}
}

// checkHost calls a worker when that is due, and gives up its runs when their
// lease has certainly run out.
func (t *term) checkHost(h *host, now time.Time) {
	if len(h.runs) > 0 && h.misses > 0 && now.After(t.lapseOf(h)) {
		for _, r := range h.runs {
			t.lost(r, "lease of an unreachable worker has run out")
		}
	}
	if !h.present && len(h.runs) == 0 && h.told == h.highest && !h.polling && !h.probing {
		delete(t.hosts, h.worker.ID)
		return
	}
	t.pump(h, now)
}

// lapseOf returns when nothing that was started on a worker can run any more.
func (t *term) lapseOf(h *host) time.Time {
	if !h.lapsed.IsZero() {
		return h.lapsed
	}
	// An earlier term may have extended the lease until it noticed its end.
	return t.began.Add(holdWithoutLease + time.Duration(float64(t.cfg.MaxWorkerLease)/slowClock) + leaseSlack)
}

// now returns the worker's clock, 0 when it is not known.
func (h *host) now(now time.Time) int64 {
	if h.clockAt.IsZero() {
		return 0
	}
	return h.clock + now.Sub(h.clockAt).Milliseconds()
}

// lease returns a lease end on the worker's clock and notes when it has
// certainly passed; 0 while the clock is not known.
func (t *term) lease(h *host, now time.Time) int64 {
	clock := h.now(now)
	if clock == 0 {
		return 0
	}
	lasts := t.cfg.MaxWorkerLease
	if until := now.Add(time.Duration(float64(lasts)/slowClock) + leaseSlack); until.After(h.lapsed) {
		h.lapsed = until
	}
	return clock + lasts.Milliseconds()
}

// pump sends the next call that asks a worker what runs and what has ended.
func (t *term) pump(h *host, now time.Time) {
	probe := h.misses > 0 || t.undecided(h)
	if now.Before(h.next) || h.probing || h.polling && !probe {
		return
	}
	// A worker without work is asked only while it holds ends that are not stored: if
	// it is lost, so are they.
	if len(h.runs) == 0 && h.told == h.seen && (len(h.acks) == 0 || now.Sub(h.answered) < ackPause) {
		return
	}
	order := fleet.LeaseRenewal{Fence: h.fence, AckedEnds: h.seen}
	probe = probe || h.answered.IsZero()
	if h.misses == 0 && !h.answered.IsZero() {
		order.Deadline = t.lease(h, now)
	}
	switch {
	case probe:
		h.probing = true
		h.next = now.Add(probePause)
	case len(h.runs) > 0 && h.highest == h.seen:
		h.polling = true
		order.Wait = t.holdWait()
	default:
		h.polling = true
		h.next = now.Add(ackPause)
	}
	worker := h.worker
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, order.Wait+callGrace)
		defer cancel()
		report := t.cfg.Client.RenewLease(ctx, worker, order)
		t.post(func() {
			if probe {
				h.probing = false
			} else {
				h.polling = false
			}
			t.reported(h, worker, order, now, report)
			t.pump(h, time.Now())
		})
	}()
}

// holdWait grows with the number of workers, so that the calls a second do not.
func (t *term) holdWait() time.Duration {
	return min(maxHoldWait, holdWait*time.Duration(max(holdsPerWait, len(t.hosts)))/holdsPerWait)
}

// undecided tells whether a raised fence has to settle an order.
func (t *term) undecided(h *host) bool {
	for _, r := range h.runs {
		if r.phase == unknown {
			return true
		}
	}
	return false
}

// reported takes the answer of a worker to a call sent at a time.
func (t *term) reported(h *host, worker fleet.Worker, order fleet.LeaseRenewal, sent time.Time, report fleet.Report) {
	now := time.Now()
	switch report.Outcome {
	case fleet.Accepted:
	case fleet.Fenced:
		if order.Fence == h.fence {
			t.over = "fenced by worker " + h.worker.ID
		}
		return
	case fleet.OtherIncarnation:
		if worker.Address == h.worker.Address {
			for _, r := range h.runs {
				t.lost(r, "address belongs to another worker")
			}
			h.told = h.seen
			h.misses++
			h.next = now.Add(ackPause)
		}
		return
	default:
		h.misses++
		if h.misses == 1 && len(h.runs) > 0 {
			t.log.Warn("Worker does not answer.", zap.String("worker", h.worker.ID), zap.Stringer("outcome", report.Outcome),
				zap.Int("runs", len(h.runs)), telemetry.Cause(report.Err))
		}
		h.next = now.Add(probePause)
		if len(h.runs) == 0 && !h.present {
			h.told = h.seen
		}
		return
	}
	if h.misses > 0 && len(h.runs) > 0 {
		t.log.Info("Worker answers again.", zap.String("worker", h.worker.ID), zap.Int("misses", h.misses))
	}
	if report.StartedMs != 0 && report.StartedMs > h.worker.StartedMs {
		if h.worker.StartedMs != 0 {
			t.reborn(h, report.StartedMs, report.Clock, now)
		}
		h.worker.StartedMs = report.StartedMs
	}
	if h.misses > 0 {
		t.dirty = true
	}
	h.misses = 0
	h.answered = sent
	if order.AckedEnds <= h.seen {
		// Else the call was for an earlier life.
		h.told = max(h.told, order.AckedEnds)
	}
	t.clockSeen(h, report.Clock, now)
	for _, end := range report.Ended {
		t.ended(h, end)
	}
	t.compare(h, order, sent, report.Running)
	if order.Deadline == 0 && len(h.runs) > 0 {
		h.next = time.Time{}
	}
}

func (t *term) clockSeen(h *host, clock int64, now time.Time) {
	if clock > 0 {
		h.clock, h.clockAt = clock, now
	}
}

// compare settles what the list of running tasks tells about the runs given to
// a worker.
func (t *term) compare(h *host, order fleet.LeaseRenewal, sent time.Time, lines []fleet.RunStatus) {
	listed := make(map[batch.RunRef]fleet.RunStatus, len(lines))
	for _, r := range lines {
		listed[r.Run] = r
		if known := h.runs[r.Run]; known != nil {
			t.seenRunning(known, r)
			continue
		}
		t.log.Warn("Run without a record is stopped.", zap.String("worker", h.worker.ID), zap.Stringer("task", r.Run.TaskRef), zap.Int64("run", r.Run.Run))
		t.sendStop(h, r.Run)
	}
	for ref, r := range h.runs {
		if _, ok := listed[ref]; ok {
			continue
		}
		switch {
		case (r.phase == running || r.phase == stopping) && r.answered.Before(sent):
			t.lost(r, "worker no longer lists it")
		case r.phase == unknown && order.Fence > r.fence:
			t.startAgain(r, "order was not carried out")
		}
	}
}

// ended takes an end that a worker lists.
func (t *term) ended(h *host, end fleet.End) {
	if end.Number <= h.highest {
		return
	}
	h.highest = end.Number
	a := &ack{number: end.Number, born: h.worker.StartedMs}
	h.acks = append(h.acks, a)
	e := t.jobs[end.Run.Job]
	if e == nil {
		t.stored(h, a)
		return
	}
	t.applyEnd(h, e, end)
	if e.durable == e.edits {
		t.stored(h, a)
		return
	}
	e.holders = append(e.holders, holder{host: h, born: a.born})
	t.whenDurable(e, func() { t.stored(h, a) })
}

// stored lets the worker forget the ends that are stored.
func (t *term) stored(h *host, a *ack) {
	a.stored = true
	if a.born != h.worker.StartedMs {
		return // the numbers began anew
	}
	for len(h.acks) > 0 && h.acks[0].stored {
		h.seen = h.acks[0].number
		h.acks = h.acks[1:]
	}
	if len(h.acks) == 0 {
		h.next = time.Time{}
		t.pump(h, time.Now())
	}
}

// failed and succeeded keep count of failures. A success takes one failure back but
// leaves the worker suspect: many faulty workers do part of their tasks.
func (h *host) failed(now time.Time) {
	h.streak++
	h.suspect = now.Add(suspectShort)
	if h.streak > 1 {
		h.suspect = now.Add(suspectLong)
	}
}

func (h *host) succeeded() {
	h.streak = max(0, h.streak-1)
}
