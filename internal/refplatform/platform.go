// Package refplatform holds the interfaces to the services of the platform and
// their clients over HTTP and JSON. Nothing else in the daemon knows how the
// platform is reached. The table service is described by package table.
package refplatform

import (
	"context"

	"github.com/samphirepath/samphirepath/api"
)

// Objects is an object store.
type Objects interface {
	// Put stores an object. With ifAbsent an existing object is kept and created is false.
	Put(ctx context.Context, key string, value []byte, ifAbsent bool) (created bool, err error)
	// Get returns the object and whether it exists.
	Get(ctx context.Context, key string) ([]byte, bool, error)
	// Delete removes the object; a missing object is no error.
	Delete(ctx context.Context, key string) error
}

// VMs is the lagging list of VMs.
type VMs interface {
	List(ctx context.Context) (api.VMList, error)
}

// Workers calls workers by their address, host:port.
type Workers interface {
	Report(ctx context.Context, address string) (api.WorkerReport, error)
	// Start starts a task. An error leaves open whether the task has started.
	Start(ctx context.Context, address string, task api.StartTask) (api.StartReply, error)
	Renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error)
	Act(ctx context.Context, address string, action api.TaskAction) ([]api.TaskReport, error)
}

// TaskSetRenewer is implemented by clients of workers that also speak the set form of
// renewals, which names tasks that the worker already knows by a hash.
type TaskSetRenewer interface {
	// RenewSet renews the tasks of message.Set and message.Leases. The answer was
	// given by a worker that knows the set form only if Set or UnknownSet is set.
	RenewSet(ctx context.Context, address string, message api.RenewTasks) (api.TaskReports, error)
}

// MinionRequest is one request to a minion.
type MinionRequest struct {
	RequestID   string
	Entry       string
	Body        []byte
	DeadlineMs  int64 // time left for the minion, in milliseconds
	Traceparent string
}

// MinionStatus tells what became of a request sent to a minion.
type MinionStatus int

const (
	// MinionRan means that a whole answer to this request arrived.
	MinionRan MinionStatus = iota + 1
	// MinionFailed means that the minion ran the request and reported a failure.
	MinionFailed
	// MinionNotRun means that the minion certainly did not run the request: the
	// connection was never made or the minion refused the request unread.
	MinionNotRun
	// MinionUnknown means that a byte may have reached the minion and no whole answer arrived.
	MinionUnknown
)

// MinionReply is the outcome of a request to a minion.
type MinionReply struct {
	Status MinionStatus
	Code   int    // HTTP status of the minion, 0 without an answer
	Body   []byte // whole and checked answer
	// Leaving is set when the minion says that it takes no new work.
	Leaving bool
	Err     error
}

// Minions calls minions by their address, host:port.
type Minions interface {
	Send(ctx context.Context, address string, request MinionRequest) MinionReply
}
