// Package peers connects the daemons with WebSocket links that carry CBOR frames. It
// tracks the membership: the state of each daemon and its last heartbeat.
package peers

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// State is the state of a member.
type State string

// States of a member. A leaving instance never becomes live again.
const (
	Live     State = "live"
	Draining State = "draining" // accepts no new work
	Silent   State = "silent"   // has sent no frame within the silence timeout
	Leaving  State = "leaving"  // its VM is listed as leaving
)

// Member describes a daemon as this one knows it.
type Member struct {
	VM           string
	Zone         string
	Address      string
	Incarnation  string
	State        State
	Revision     int64
	FreeSlots    int
	PlannerEpoch int64
	TableVersion int64
	StoreAge     time.Duration
	LastSeen     time.Time
	// LeavingMinions are the minions that have reported to the member that they are
	// leaving.
	LeavingMinions []api.MinionInstance
}

// Kind is the kind of a message in a PeerEnvelope. Handlers are registered by kind.
type Kind string

// Kinds of calls and notifications for which handlers can be registered.
const (
	KindConfigurationRequest Kind = "configuration_request"
	KindConfiguration        Kind = "configuration"
	KindZoneConfirmRequest   Kind = "zone_confirm_request"
	KindRequestForward       Kind = "request_forward"
	KindRequestCancel        Kind = "request_cancel"
	KindTaskUpdate           Kind = "task_update"
	KindJobHint              Kind = "job_hint"
)

// Handler handles messages of one kind. It returns the answer to a call, or nil. Each
// message is handled on its own goroutine.
type Handler func(ctx context.Context, from Member, envelope *api.PeerEnvelope) *api.PeerEnvelope

// CallStatus is the outcome of a call to a peer.
type CallStatus int

const (
	// Answered means that the answer arrived.
	Answered CallStatus = iota + 1
	// NotSent means that no byte of the call left this daemon.
	NotSent
	// Unanswered means that no answer arrived, although the call may have reached the
	// peer.
	Unanswered
)

// Network sends messages to other daemons and knows their state.
type Network interface {
	// Self returns this daemon as a member.
	Self() Member
	// Members returns all other known daemons, ordered by VM.
	Members() []Member
	// LiveVMs returns the VMs of the live daemons of a zone in ascending order, with
	// this daemon unless it is draining, leaving or in another zone.
	LiveVMs(zone string) []string
	// Call sends a message to a VM and waits for the answer.
	Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, CallStatus)
	// Notify queues a message that needs no answer. It reports whether the message
	// was queued.
	Notify(vm string, message api.PeerEnvelope) bool
	// Handle registers the handler of a kind. It must be called before the network
	// starts.
	Handle(kind Kind, handler Handler)
}

// HeartbeatFunc returns the content of this daemon's next heartbeat.
type HeartbeatFunc func() api.PeerHeartbeat
