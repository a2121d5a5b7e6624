// Package fleet describes the workers that run batch tasks and the orders that
// they take. The adapter of a platform implements Client.
package fleet

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Incarnation is one start of a worker: the same identifier may come back with a later
// start time, and then nothing of the earlier life is left.
type Incarnation struct {
	ID        string
	StartedMs int64 // Unix time of the start in ms; 0 when not known
}

// Worker is what discovery tells about a worker.
type Worker struct {
	Incarnation
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity batch.Need
	Draining bool
	// Clock is the clock of the worker in ms when the entry was written.
	Clock int64
	// Remaining is how long a draining worker stays at least.
	Remaining time.Duration
}

// Outcome tells what became of an order.
type Outcome int

const (
	// Accepted means that the worker has carried the order out.
	Accepted Outcome = iota + 1
	// Fenced means that the worker has seen a higher fence.
	Fenced
	// Superseded means that this run or a later one of the task has already ended there.
	Superseded
	// TooLate means that the deadline had passed.
	TooLate
	// NoCapacity means that the worker lacks the capacity.
	NoCapacity
	// NoTicket means that a permission is missing or has run out.
	NoTicket
	// Invalid means that the worker does not understand the order.
	Invalid
	// Unhealthy means that the worker is overloaded or failing and has done nothing.
	Unhealthy
	// OtherIncarnation means that the address belongs to another life.
	OtherIncarnation
	// Unanswered means that the order may have been or may still be carried out.
	Unanswered
)

func (o Outcome) String() string {
	names := []string{"", "accepted", "fenced", "superseded", "too_late", "no_room", "no_ticket", "invalid", "unhealthy", "other_life", "unanswered"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Start tells a worker to run a task.
type Start struct {
	Run        batch.RunRef
	Spec       string
	Fence      int64
	Deadline   int64 // lease end on the worker's clock in ms
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run.
type Stop struct {
	Run   batch.RunRef
	Fence int64
}

// LeaseRenewal extends the lease of all that runs on a worker and asks what runs and
// what has ended.
type LeaseRenewal struct {
	Fence     int64
	AckedEnds int64         // ends up to this number are durable here
	Deadline  int64         // new lease end on the worker's clock in ms; 0 leaves it
	Wait      time.Duration // how long the worker may wait for the next end
}

// Reply is the answer to an order. Clock is the worker's clock in ms, 0 when
// there was none in the answer.
type Reply struct {
	Outcome Outcome
	Clock   int64
	Err     error
}

// EndReason tells how a run has ended.
type EndReason string

// Endings of a run.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"   // its lease ran out
	GangBroken   EndReason = "broken"   // another member of its gang ended
	GangTimedOut EndReason = "deserted" // it waited too long for its gang
)

// RunStatus is a run on a worker.
type RunStatus struct {
	Run        batch.RunRef
	Checkpoint string
	Percent    int64
	Usage      int64 // tail latency in ms of a serving task, else thousandths of a core
}

// End is a run that has ended on a worker. Ends are numbered per life.
type End struct {
	Number     int64
	Run        batch.RunRef
	Reason     EndReason
	Checkpoint string
}

// Report is the answer to Hold.
type Report struct {
	Reply
	StartedMs int64
	Running   []RunStatus
	Ended     []End
}

// Client sends orders to workers.
type Client interface {
	Start(ctx context.Context, worker Worker, order Start) Reply
	Stop(ctx context.Context, worker Worker, order Stop) Reply
	RenewLease(ctx context.Context, worker Worker, order LeaseRenewal) Report
}
