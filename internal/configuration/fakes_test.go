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

// memoryTable is an in-memory table, shared by the daemons of a test.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
}

// faultyTable is the access of one daemon to the shared table, with injected faults.
type faultyTable struct {
	*memoryTable
	down        atomic.Bool
	lostAnswers atomic.Int32 // number of commits that take effect but whose answer is lost
	readDelay   atomic.Int64 // nanoseconds added to each read
	reads       atomic.Int32
}

var errDown = errors.New("store is down")

func (t *faultyTable) Get(_ context.Context, key string) (table.Row, bool, error) {
	t.reads.Add(1)
	time.Sleep(time.Duration(t.readDelay.Load()))
	if t.down.Load() {
		return table.Row{}, false, errDown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	return row, found, nil
}

func (t *faultyTable) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, errDown
}

func (t *faultyTable) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if t.down.Load() {
		return table.CommitResult{Status: table.Unavailable, Err: errDown}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range conditions {
		if t.rows[c.Key].Version != c.Version {
			return table.CommitResult{Status: table.Conflict, Conflicts: []string{c.Key}}
		}
	}
	t.version++
	for _, w := range writes {
		t.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	if t.lostAnswers.Add(-1) >= 0 {
		return table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
	}
	return table.CommitResult{Status: table.Committed, Version: t.version}
}

// fakeMesh connects the fake networks of several daemons.
type fakeMesh struct {
	mu       sync.Mutex
	networks map[string]*fakeNetwork
}

// fakeNetwork passes calls to the handlers of other daemons in the same process.
type fakeNetwork struct {
	mesh            *fakeMesh
	vm              string
	highestRevision *revision.HighWaterMark
	handlers        map[peers.Kind]peers.Handler
	isolated        atomic.Bool
	storeAge        func() time.Duration
}

func (n *fakeNetwork) Self() peers.Member {
	return peers.Member{VM: n.vm, Zone: "a", State: peers.Live, Revision: n.highestRevision.Value()}
}

func (n *fakeNetwork) Members() []peers.Member {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	var members []peers.Member
	for vm, other := range n.mesh.networks {
		if vm == n.vm {
			continue
		}
		member := other.Self()
		member.StoreAge = other.storeAge()
		if n.isolated.Load() || other.isolated.Load() {
			member.State = peers.Silent
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b peers.Member) int { return strings.Compare(a.VM, b.VM) })
	return members
}

func (n *fakeNetwork) LiveVMs(string) []string { return nil }

func (n *fakeNetwork) Call(ctx context.Context, vm string, message api.PeerEnvelope) (*api.PeerEnvelope, peers.CallStatus) {
	n.mesh.mu.Lock()
	other := n.mesh.networks[vm]
	n.mesh.mu.Unlock()
	if n.isolated.Load() || other.isolated.Load() {
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

// spreadRevisions raises the highest revision of all connected daemons to the
// maximum, as the frames between real daemons do.
func (m *fakeMesh) spreadRevisions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := int64(0)
	for _, n := range m.networks {
		if !n.isolated.Load() {
			highest = max(highest, n.highestRevision.Value())
		}
	}
	for _, n := range m.networks {
		if !n.isolated.Load() {
			n.highestRevision.Raise(highest)
		}
	}
}
