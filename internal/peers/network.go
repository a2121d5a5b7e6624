// Package peers links the daemons by WebSocket with CBOR frames and keeps the
// membership: who is live, who is draining, and what each last announced.
package peers

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// State of a member.
type State string

// States of a member. A leaving instance never becomes live again.
const (
	Live     State = "live"
	Draining State = "draining"
	Silent   State = "silent"
	Leaving  State = "leaving"
)

// Member is a daemon as seen by this one.
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
	// LeavingMinions are the minions that told the member that they are leaving.
	LeavingMinions []api.MinionInstance
}

// Kind names a message of a PeerEnvelope, for the registration of handlers.
type Kind string

// Kinds of calls and notices that a daemon handles.
const (
	KindConfigurationRequest Kind = "configuration_request"
	KindConfiguration        Kind = "configuration"
	KindZoneConfirmRequest   Kind = "zone_confirm_request"
	KindRequestForward       Kind = "request_forward"
	KindRequestCancel        Kind = "request_cancel"
	KindTaskUpdate           Kind = "task_update"
	KindJobHint              Kind = "job_hint"
)

// Handler serves one kind of message. It returns the answer to a call, or nil.
// Handlers run on their own goroutines.
type Handler func(ctx context.Context, from Member, envelope *api.PeerEnvelope) *api.PeerEnvelope

// CallStatus tells what became of a call to a peer.
type CallStatus int

const (
	// Answered means that the answer arrived.
	Answered CallStatus = iota + 1
	// NotSent means that no byte of the call left this daemon.
	NotSent
	// Unanswered means that the call may have reached the peer and no answer arrived.
	Unanswered
)

// Network is the set of links to other daemons.
type Network interface {
	// Self describes this daemon.
	Self() Member
	// Members returns all other known daemons, ordered by VM.
	Members() []Member
	// LiveVMs returns the VMs of the live daemons of a zone, this one included
	// unless it is draining, in ascending order. Draining daemons are left out.
	LiveVMs(zone string) []string
	// Call sends a message to a VM and waits for the answer.
	Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, CallStatus)
	// Notify sends a message without waiting; false means that it was not sent.
	Notify(vm string, message api.PeerEnvelope) bool
	// Handle registers the handler of a kind; call it before the network starts.
	Handle(kind Kind, handler Handler)
}

// Announcer gives what this daemon announces in its heartbeats.
type Announcer func() api.PeerHeartbeat
