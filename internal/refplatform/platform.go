// Package refplatform defines the interfaces of the services of the reference platform,
// which package standin simulates, and implements their clients over HTTP and JSON. No
// other package of the daemon depends on how the reference platform is reached. Package
// table defines the interface of the table service. Package platform is the adapter to
// the other supported platform.
package refplatform

import (
	"context"

	"github.com/samphirepath/samphirepath/api"
)

// Objects is an object store.
type Objects interface {
	// Put stores an object and reports whether the key had none before. With ifAbsent it
	// does not overwrite an existing object.
	Put(ctx context.Context, key string, value []byte, ifAbsent bool) (created bool, err error)
	// Get returns the object and whether it exists.
	Get(ctx context.Context, key string) ([]byte, bool, error)
	// Delete removes the object. It is not an error if the object does not exist.
	Delete(ctx context.Context, key string) error
}

// VMs reads the platform's list of VMs, which lags behind their actual state.
type VMs interface {
	List(ctx context.Context) (api.VMList, error)
}

// Workers sends calls to workers. An address is an IP address with a port.
type Workers interface {
	Report(ctx context.Context, address string) (api.WorkerReport, error)
	// Start starts a task. After an error the task may or may not have started.
	Start(ctx context.Context, address string, task api.StartTask) (api.StartReply, error)
	Renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error)
	Act(ctx context.Context, address string, action api.TaskAction) ([]api.TaskReport, error)
}

// TaskSetRenewer is implemented by clients of workers that also support renewals of
// task sets, which identify tasks that the worker already knows by one hash.
type TaskSetRenewer interface {
	// RenewSet renews the tasks of message.Set and message.Leases. An answer with
	// neither Set nor UnknownSet comes from a worker that does not support task sets.
	RenewSet(ctx context.Context, address string, message api.RenewTasks) (api.TaskReports, error)
}

// MinionRequest is one request to a minion.
type MinionRequest struct {
	RequestID   string
	Entry       string // name of the catalogue entry
	Body        []byte
	DeadlineMs  int64 // time that the minion has left, in milliseconds
	Traceparent string
}

// MinionStatus is the outcome of a request that was sent to a minion.
type MinionStatus int

const (
	// MinionRan means that a complete and verified answer to this request arrived,
	// with an HTTP status below 500.
	MinionRan MinionStatus = iota + 1
	// MinionFailed means that the minion ran the request and reported a failure: a
	// complete and verified answer with a status of 500 or above.
	MinionFailed
	// MinionNotRun means that the minion certainly did not run the request: nothing
	// was sent to the minion, or it rejected the request without processing it.
	MinionNotRun
	// MinionUnknown means that the request may have reached the minion and no
	// complete and verified answer arrived.
	MinionUnknown
)

// MinionReply holds the outcome of a request to a minion and its answer.
type MinionReply struct {
	Status MinionStatus
	Code   int    // HTTP status of the answer, 0 without an answer
	Body   []byte // complete body that matches its length and checksum
	// Leaving reports whether the minion has announced that it accepts no new work.
	Leaving bool
	Err     error
}

// Minions sends requests to minions. An address is an IP address with a port.
type Minions interface {
	Send(ctx context.Context, address string, request MinionRequest) MinionReply
}
