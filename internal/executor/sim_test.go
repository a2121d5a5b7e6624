package executor_test

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/table"
)

var errNoAnswer = errors.New("no answer")

// simStore is an in-memory table store shared by the daemons of a test.
type simStore struct {
	mu         sync.Mutex
	rows       map[string]table.Row
	version    int64
	commits    int
	down       bool
	loseAnswer func(commit int) bool // reports whether the answer of a commit is lost after the write
}

// update runs f under the lock, to change the faults of the store.
func (s *simStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *simStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Row{}, false, errNoAnswer
	}
	row, ok := s.rows[key]
	return row, ok, nil
}

func (s *simStore) List(_ context.Context, prefix string, since int64) (table.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Listing{}, errNoAnswer
	}
	out := table.Listing{Version: s.version}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && row.Version > since {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, nil
}

func (s *simStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.down {
		return table.CommitResult{Status: table.Unavailable, Err: errNoAnswer}
	}
	var conflicts []string
	for _, c := range conditions {
		if s.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if len(conflicts) > 0 {
		return table.CommitResult{Status: table.Conflict, Conflicts: conflicts}
	}
	s.version++
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	if s.loseAnswer != nil && s.loseAnswer(s.commits) {
		return table.CommitResult{Status: table.Unknown, Err: errNoAnswer}
	}
	return table.CommitResult{Status: table.Committed, Version: s.version}
}

// gatedStore is one daemon's access to the store. A test can block its commits.
type gatedStore struct {
	*simStore
	mu      sync.Mutex
	gate    chan struct{}        // commits wait until it is closed; nil means no wait
	blocked [][]table.Write      // writes of the commits that were blocked
	results []table.CommitStatus // their outcomes, in the same order
}

// freeze blocks commits until thaw is called.
func (g *gatedStore) freeze() (thaw func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := make(chan struct{})
	g.gate = gate
	return func() { close(gate) }
}

// outcomes returns the outcomes of the blocked commits that wrote the row.
func (g *gatedStore) outcomes(key string) []table.CommitStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []table.CommitStatus
	for i, status := range g.results {
		if slices.ContainsFunc(g.blocked[i], func(w table.Write) bool { return w.Key == key }) {
			out = append(out, status)
		}
	}
	return out
}

func (g *gatedStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	g.mu.Lock()
	gate := g.gate
	g.mu.Unlock()
	if gate == nil {
		return g.simStore.Commit(ctx, conditions, writes)
	}
	<-gate // ctx is ignored, because a frozen process does not notice its timeouts either
	result := g.simStore.Commit(ctx, conditions, writes)
	g.mu.Lock()
	g.blocked, g.results = append(g.blocked, writes), append(g.results, result.Status)
	g.mu.Unlock()
	return result
}

// simView is the configuration and zone state shared by the daemons of a test.
type simView struct {
	mu        sync.Mutex
	state     api.ZoneState
	revision  int64
	cutOff    map[string]bool // daemons that cannot confirm the zone
	onConfirm func()          // called with each confirmation; may be nil
}

// daemonView is one daemon's view of the configuration.
type daemonView struct {
	*simView
	vm string
}

func (v *simView) setState(state api.ZoneState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = state
	v.revision++
}

func (v *simView) setCutOff(vm string, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutOff[vm] = cut
}

func (v *simView) Current() api.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return api.Configuration{Head: api.ConfigurationHead{Revision: v.revision, Zones: []api.Zone{{Name: zone, State: v.state}}}}
}

func (v daemonView) ConfirmZone(_ context.Context, name string, _ time.Duration) (configuration.Confirmation, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cutOff[v.vm] {
		return configuration.Confirmation{}, errNoAnswer
	}
	c := configuration.Confirmation{Zone: name, State: v.state, Revision: v.revision, RequestedAt: time.Now()}
	if v.onConfirm != nil {
		v.onConfirm()
	}
	return c, nil
}

func (v *simView) Changed() <-chan struct{} { return nil }

// simNet connects the daemons of a test.
type simNet struct {
	mu      sync.Mutex
	daemons map[string]*daemon
}

// daemonNet is one daemon's access to the network. It delivers notifications and no
// calls.
type daemonNet struct {
	net      *simNet
	vm       string
	handlers map[peers.Kind]peers.Handler
}

func (n *daemonNet) Self() peers.Member { return peers.Member{VM: n.vm, Zone: zone, State: peers.Live} }

func (n *daemonNet) Members() []peers.Member {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	var out []peers.Member
	for vm, d := range n.net.daemons {
		if vm == n.vm {
			continue
		}
		m := peers.Member{VM: vm, Zone: zone, State: peers.Live, TableVersion: d.follower.Version()}
		if s := d.control.Current(); s.HoldsLease {
			m.PlannerEpoch = s.Epoch
		}
		if d.isKilled() {
			m.State, m.PlannerEpoch = peers.Silent, 0
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

func (n *daemonNet) LiveVMs(string) []string {
	out := []string{n.vm}
	for _, m := range n.Members() {
		if m.State == peers.Live {
			out = append(out, m.VM)
		}
	}
	sort.Strings(out)
	return out
}

func (n *daemonNet) Call(context.Context, string, api.PeerEnvelope) (*api.PeerEnvelope, peers.CallStatus) {
	return nil, peers.NotSent
}

func (n *daemonNet) Notify(vm string, message api.PeerEnvelope) bool {
	n.net.mu.Lock()
	d := n.net.daemons[vm]
	n.net.mu.Unlock()
	if d == nil || d.isKilled() {
		return false
	}
	kind := peers.KindJobHint
	if message.TaskUpdate != nil {
		kind = peers.KindTaskUpdate
	}
	d.net.handlers[kind](context.Background(), n.Self(), &message)
	return true
}

func (n *daemonNet) Handle(kind peers.Kind, h peers.Handler) { n.handlers[kind] = h }

// firstFit is a planner that places waiting jobs in order, one task on each live
// worker that has a free accelerator and on which the job has not failed.
func firstFit(s planner.Snapshot) planner.Plan {
	plan := planner.Plan{}
	used := map[string]map[int]bool{}
	markUsed := func(worker string, accelerators []int) {
		if used[worker] == nil {
			used[worker] = map[int]bool{}
		}
		for _, a := range accelerators {
			used[worker][a] = true
		}
	}
	for _, job := range s.Jobs {
		for _, p := range job.Placement {
			markUsed(p.Worker, p.Accelerators)
		}
	}
	for _, job := range s.Jobs {
		if job.State != api.JobStateWaiting || s.ZoneState != api.In {
			continue
		}
		p := planner.Placement{JobID: job.ID}
		for _, w := range s.Workers {
			failedBefore := false
			for _, f := range job.Failures {
				failedBefore = failedBefore || f.Worker == w.ID
			}
			for a := 0; a < w.Accelerators && len(p.Tasks) < job.Spec.Tasks && w.State == planner.WorkerLive && !failedBefore; a++ {
				if !used[w.ID][a] {
					p.Tasks = append(p.Tasks, api.TaskPlacement{Index: len(p.Tasks), Worker: w.ID, Accelerators: []int{a}})
					break
				}
			}
		}
		if len(p.Tasks) < job.Spec.Tasks {
			continue
		}
		for _, t := range p.Tasks {
			markUsed(t.Worker, t.Accelerators)
		}
		plan.Placements = append(plan.Placements, p)
	}
	return plan
}
