package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// orderTimeout bounds the wait for the answer to a start or stop, which usually
	// takes a few ms. The outcome of an unanswered start is resolved with a raised
	// fence and the start sent again; the timeout leaves time for that before the other
	// members of a gang time out.
	orderTimeout = 350 * time.Millisecond
	// maxConcurrentOrders bounds the orders in flight to one worker, and with it the
	// connections. One order without an answer does not hold up the next.
	maxConcurrentOrders = 2
)

// order prepares a call to a worker at the time when it can be sent. It returns nil if
// the call is no longer to be made.
type order func() *orderCall

// orderCall is a call to a worker. send runs outside the goroutine of the term, apply in
// it.
type orderCall struct {
	send  func(context.Context) fleet.Reply
	apply func(reply fleet.Reply, answered time.Time)
}

// queueOrder sends an order once fewer than maxConcurrentOrders are in flight to the
// worker.
func (t *term) queueOrder(w *workerState, o order) {
	w.orders = append(w.orders, o)
	t.sendOrders(w)
}

// queueOrderFirst is queueOrder for an order that goes ahead of those that wait.
func (t *term) queueOrderFirst(w *workerState, o order) {
	w.orders = append([]order{o}, w.orders...)
	t.sendOrders(w)
}

func (t *term) sendOrders(w *workerState) {
	for len(w.orders) > 0 && w.ordersInFlight < maxConcurrentOrders {
		prepare := w.orders[0]
		w.orders = w.orders[1:]
		call := prepare()
		if call == nil {
			continue
		}
		w.ordersInFlight++
		go func() {
			ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
			defer cancel()
			reply := call.send(ctx)
			answered := time.Now()
			t.post(func() {
				w.ordersInFlight--
				call.apply(reply, answered)
				t.sendOrders(w)
			})
		}()
	}
}

// sendStart queues the start of a recorded run.
func (t *term) sendStart(r *run) {
	t.queueOrder(r.worker, func() *orderCall { return t.prepareStart(r) })
}

// prepareStart returns the call that starts a run. It drops the run and returns nil if
// the run may no longer be started.
func (t *term) prepareStart(r *run) *orderCall {
	if r.phase != phaseCommitting || r.worker.runs[r.ref] != r {
		return nil
	}
	if reason := t.startObstacle(r); reason != "" {
		t.dropRun(r, reason)
		return nil
	}
	now := time.Now()
	workerDeadlineMs := t.extendLease(r.worker, now)
	if workerDeadlineMs == 0 {
		t.dropRun(r, "no lease can be given to the worker")
		return nil
	}
	r.phase, r.fence, r.startedAt, r.incarnation = phaseStarting, r.worker.fence, now, r.worker.info.StartedMs
	r.startAttempts++
	task := &r.unit.Tasks[r.ref.Index]
	start := fleet.Start{Run: r.ref, Spec: r.job.tracker.Job.Spec, Fence: r.fence, Deadline: workerDeadlineMs, Checkpoint: task.Checkpoint}
	worker, epoch := r.worker.info, t.epoch
	return &orderCall{
		send:  func(ctx context.Context) fleet.Reply { return t.callStart(ctx, epoch, worker, start) },
		apply: func(reply fleet.Reply, answered time.Time) { t.handleStartReply(r, reply, answered.Sub(now)) },
	}
}

// callStart sends a start, unless the lease of the epoch has expired while the process was
// paused. A failure of the client itself leaves the outcome unknown.
func (t *term) callStart(ctx context.Context, epoch int64, worker fleet.Worker, start fleet.Start) (reply fleet.Reply) {
	if status := t.cfg.Lease.Status(); !status.Held || !continues(epoch, status.Epoch) {
		return fleet.Reply{Outcome: fleet.NotSent}
	}
	reply.Outcome = fleet.Unanswered
	defer telemetry.LogPanic(t.log, "start of a run", zap.String("worker", worker.ID), zap.Stringer("task", start.Run.TaskRef))
	return t.cfg.Client.Start(ctx, worker, start)
}

// sendStop queues a stop ahead of the starts that wait.
func (t *term) sendStop(w *workerState, ref batch.RunRef) {
	t.queueOrderFirst(w, func() *orderCall {
		worker, stop := w.info, fleet.Stop{Run: ref, Fence: w.fence}
		return &orderCall{
			send:  func(ctx context.Context) fleet.Reply { return t.callStop(ctx, worker, stop) },
			apply: func(fleet.Reply, time.Time) {},
		}
	})
}

// callStop sends a stop. A stop without effect is repeated, because the worker still
// reports the run.
func (t *term) callStop(ctx context.Context, worker fleet.Worker, stop fleet.Stop) (reply fleet.Reply) {
	reply.Outcome = fleet.Unanswered
	defer telemetry.LogPanic(t.log, "stop of a run", zap.String("worker", worker.ID), zap.Stringer("task", stop.Run.TaskRef))
	reply = t.cfg.Client.Stop(ctx, worker, stop)
	if reply.Outcome != fleet.Accepted {
		t.log.Warn("Worker did not confirm the stop of a run.", zap.Stringer("task", stop.Run.TaskRef), zap.Int64("run", stop.Run.Run), zap.String("worker", worker.ID),
			zap.Stringer("outcome", reply.Outcome), telemetry.ErrorField(reply.Err))
	}
	return reply
}
