package configuration

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/revision"
	"github.com/samphirepath/samphirepath/table"
)

// memory is a table in memory, shared by the daemons of a test.
type memory struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
}

// access is the way of one daemon to the table, with its faults.
type access struct {
	*memory
	down  atomic.Bool
	lose  atomic.Int32 // answers of commits to lose, after their effect
	delay atomic.Int64 // nanoseconds per read
	reads atomic.Int32
}

var errDown = errors.New("store is down")

func (a *access) Get(_ context.Context, key string) (table.Row, bool, error) {
	a.reads.Add(1)
	time.Sleep(time.Duration(a.delay.Load()))
	if a.down.Load() {
		return table.Row{}, false, errDown
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	row, found := a.rows[key]
	return row, found, nil
}

func (a *access) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, errDown
}

func (a *access) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if a.down.Load() {
		return table.CommitResult{Status: table.Unavailable, Err: errDown}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range conditions {
		if a.rows[c.Key].Version != c.Version {
			return table.CommitResult{Status: table.Conflict, Conflicts: []string{c.Key}}
		}
	}
	a.version++
	for _, w := range writes {
		a.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: a.version}
	}
	if a.lose.Add(-1) >= 0 {
		return table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
	}
	return table.CommitResult{Status: table.Committed, Version: a.version}
}

// switchboard connects fake networks.
type switchboard struct {
	mu    sync.Mutex
	nodes map[string]*fakeNetwork
}

// fakeNetwork passes calls to the handlers of other daemons in the same process.
type fakeNetwork struct {
	board    *switchboard
	vm       string
	seen     *revision.HighWaterMark
	handlers map[peers.Kind]peers.Handler
	cut      atomic.Bool
	ages     func() time.Duration
}

func (n *fakeNetwork) Self() peers.Member {
	return peers.Member{VM: n.vm, Zone: "a", State: peers.Live, Revision: n.seen.Value()}
}

func (n *fakeNetwork) Members() []peers.Member {
	n.board.mu.Lock()
	defer n.board.mu.Unlock()
	var members []peers.Member
	for vm, other := range n.board.nodes {
		if vm == n.vm {
			continue
		}
		member := other.Self()
		member.StoreAge = other.ages()
		if n.cut.Load() || other.cut.Load() {
			member.State = peers.Silent
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b peers.Member) int { return strings.Compare(a.VM, b.VM) })
	return members
}

func (n *fakeNetwork) LiveVMs(string) []string { return nil }

func (n *fakeNetwork) Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, peers.CallStatus) {
	n.board.mu.Lock()
	other := n.board.nodes[vm]
	n.board.mu.Unlock()
	if n.cut.Load() || other.cut.Load() {
		return nil, peers.NotSent
	}
	kind := peers.KindZoneConfirmRequest
	if message.ConfigurationRequest != nil {
		kind = peers.KindConfigurationRequest
	}
	return other.handlers[kind](ctx, n.Self(), &message), peers.Answered
}

func (n *fakeNetwork) Notify(string, api.PeerEnvelope) bool { return false }

func (n *fakeNetwork) Handle(kind peers.Kind, handler peers.Handler) { n.handlers[kind] = handler }

// gossip raises the marks of all linked daemons to the highest one, as frames do.
func (b *switchboard) gossip() {
	b.mu.Lock()
	defer b.mu.Unlock()
	highest := int64(0)
	for _, n := range b.nodes {
		if !n.cut.Load() {
			highest = max(highest, n.seen.Value())
		}
	}
	for _, n := range b.nodes {
		if !n.cut.Load() {
			n.seen.Raise(highest)
		}
	}
}
