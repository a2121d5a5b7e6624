// Package fleet defines the workers that run batch tasks and the orders that can be
// sent to them. The adapter of a platform implements Client.
package fleet

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Incarnation identifies one run of a worker process. A restarted worker has the same
// identifier and a later start time, and none of its earlier runs exist any more.
type Incarnation struct {
	ID        string
	StartedMs int64 // Unix time of the start in ms; 0 when not known
}

// Worker is the discovery entry of a worker.
type Worker struct {
	Incarnation
	Address  string
	Service  string // the worker gets only tasks of jobs with the same service
	Zone     string
	Rack     string
	Labels   []string
	Capacity batch.Need
	Draining bool
	// Clock is the reading of the worker's clock in ms when the entry was written.
	Clock int64
	// Remaining is the minimum time that a draining worker continues to run.
	Remaining time.Duration
}

// Outcome is the outcome of an order.
type Outcome int

const (
	// Accepted means that the worker has carried out the order.
	Accepted Outcome = iota + 1
	// Fenced means that the worker has seen an order with a higher fence.
	Fenced
	// Superseded means that this run or a later one of the task has already ended there.
	Superseded
	// TooLate means that the deadline had passed.
	TooLate
	// NoCapacity means that the worker lacks the capacity for the task.
	NoCapacity
	// NoTicket means that the worker requires a ticket, and the ticket in the start
	// order is missing or has expired.
	NoTicket
	// Invalid means that the worker does not understand the order.
	Invalid
	// Unhealthy means that the worker is overloaded or failing and has done nothing.
	Unhealthy
	// OtherIncarnation means that another incarnation or worker uses the address.
	OtherIncarnation
	// Unanswered means that the outcome is unknown: the order may have been carried
	// out, or may still be.
	Unanswered
	// NotSent means that the order was not sent, because it was no longer allowed.
	NotSent
)

func (o Outcome) String() string {
	names := []string{"", "accepted", "fenced", "superseded", "too_late", "no_room", "no_ticket", "invalid", "unhealthy", "other_life", "unanswered", "not_sent"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Start orders a worker to run a task.
type Start struct {
	Run        batch.RunRef
	Spec       string
	Fence      int64  // rejected by a worker that has seen a higher one
	Deadline   int64  // lease end on the worker's clock in ms
	Checkpoint string // key of the checkpoint to resume from, if any
	Ticket     string // permit for the start, if the worker requires one; the dispatcher sets none
}

// Stop orders a worker to end a run.
type Stop struct {
	Run   batch.RunRef
	Fence int64
}

// LeaseRenewal extends the lease of all runs on a worker and requests a report of the
// runs that are active and those that have ended.
type LeaseRenewal struct {
	Fence     int64
	AckedEnds int64         // ends up to this number are stored; the worker may forget them
	Deadline  int64         // new lease end on the worker's clock in ms; 0 does not extend the lease
	Wait      time.Duration // how long the worker may hold the call open while no run ends
}

// Reply is the answer to an order. Clock is the reading of the worker's clock in ms,
// or 0 if the answer has none.
type Reply struct {
	Outcome Outcome
	Clock   int64
	Err     error
}

// EndReason is the reason why a run has ended.
type EndReason string

// Reasons for the end of a run.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"   // its lease expired
	GangBroken   EndReason = "broken"   // another member of its gang ended
	GangTimedOut EndReason = "deserted" // the other members of its gang did not start in time
)

// RunStatus is the status of an active run on a worker.
type RunStatus struct {
	Run        batch.RunRef
	Checkpoint string
	Percent    int64
	Usage      int64 // tail latency in ms of a serving task, otherwise thousandths of a core
}

// End is a run that has ended on a worker. Each incarnation numbers its ends anew.
type End struct {
	Number     int64
	Run        batch.RunRef
	Reason     EndReason
	Checkpoint string
}

// Report is the answer to a LeaseRenewal. Running is complete. Ended lists the oldest
// ends that are not acknowledged.
type Report struct {
	Reply
	StartedMs int64
	Running   []RunStatus
	Ended     []End
	// MoreEnds means that further ends may wait at the worker. A run that the report does
	// not list may be among them.
	MoreEnds bool
}

// Client sends orders to workers.
type Client interface {
	Start(ctx context.Context, worker Worker, order Start) Reply
	Stop(ctx context.Context, worker Worker, order Stop) Reply
	RenewLease(ctx context.Context, worker Worker, order LeaseRenewal) Report
}
