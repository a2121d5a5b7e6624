package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/table"
)

// simNode is a machine that runs a dispatcher.
type simNode struct {
	name   string
	lease  *lease.Lease
	d      *dispatch.Dispatcher
	alive  atomic.Bool // the process was not told to end
	stop   context.CancelFunc
	ended  chan struct{}
	paused chan struct{} // closed when the current pause ends; nil while there is none
	intake *intake.Intake
	// serving ends when the process answers callers no more. A process that stops gracefully
	// still answers for a while.
	serving     context.Context
	stopServing context.CancelFunc
}

// pauseOf returns a channel that is closed when the current pause of a machine ends, or nil.
func (s *simulation) pauseOf(name string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n != nil && n.name == name {
			return n.paused
		}
	}
	return nil
}

func (s *simulation) awaitPause(name string) {
	if paused := s.pauseOf(name); paused != nil {
		<-paused
	}
}

func (s *simulation) awaitPauseOrGiveUp(ctx context.Context, name string) {
	if paused := s.pauseOf(name); paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

func simZone(i int) string { return fmt.Sprintf("zone-%d", i%simZones) }

// startNode starts the process of a machine.
func (s *simulation) startNode(i int) {
	name := fmt.Sprintf("edge-%d", i)
	n := &simNode{name: name, ended: make(chan struct{})}
	path := simTable{Memory: s.store, s: s, self: name}
	// A pause holds up the lease and the event loop of the dispatcher, at the next change of
	// a worker's entry, and all calls.
	wait := func() { s.awaitPause(name) }
	discovery := platform.Discovery()
	decode := discovery.Decode
	discovery.Decode = func(row table.Row) (fleet.Worker, error) {
		wait()
		return decode(row)
	}
	var err error
	n.lease, err = lease.New(lease.Config{Store: path, Prefix: dispatch.LeasePrefix, Holder: name, Incarnation: name, LeaseTime: 2 * time.Second,
		RenewEvery: 500 * time.Millisecond, PollEvery: 680 * time.Millisecond, Now: time.Now,
		Statement: func() []byte { return n.d.CountsStatement() },
		Healthy: func() bool {
			wait()
			return n.d.Progressing()
		}})
	if err != nil {
		s.t.Fatal(err)
	}
	n.d = dispatch.New(dispatch.Config{
		Store: path, Lease: n.lease, Holder: name, Zone: simZone(i), Workers: discovery, Client: simClient{s: s, self: name}, Zones: outOfService{},
		EndFormerTerm: func(ctx context.Context, daemon string, epoch int64) (ended bool, err error) {
			err = s.carry(ctx, name, daemon, func() {
				former := s.nodeNamed(daemon)
				ended = former.alive.Load() && former.d.EndTermBefore(ctx, epoch)
			})
			return ended, err
		},
		MaxWorkerLease: simWorkerLease, FinishedRetention: time.Hour,
		Follower: table.Follower{Wait: 700 * time.Millisecond, Grace: 500 * time.Millisecond, RetryDelay: 100 * time.Millisecond},
		Log:      s.log.Named(name),
	})
	n.intake = intake.New(path, s.log.Named(name), nil)
	n.intake.SetDispatcher(func(ctx context.Context, job string) batch.State { return s.jobState(ctx, n, job) })
	n.intake.SetCountsAge(func() (int64, time.Duration, error) { return dispatch.CountsAge(n.lease) })
	n.serving, n.stopServing = context.WithCancel(s.t.Context())
	ctx, cancel := context.WithCancel(s.t.Context())
	n.stop = cancel
	n.alive.Store(true)
	var running sync.WaitGroup
	running.Go(func() { _ = n.lease.Run(ctx) })
	running.Go(func() { _ = n.d.Run(ctx) })
	go func() {
		running.Wait()
		close(n.ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
}

// node returns the present process of a machine.
func (s *simulation) node(i int) *simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

func (s *simulation) nodeNamed(name string) *simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == name })]
}

// jobState requests the state of a job from the dispatcher as a daemon does, see
// node.Node.JobState.
func (s *simulation) jobState(ctx context.Context, n *simNode, job string) (state batch.State) {
	if n.d.Leading() {
		return n.d.State(ctx, job)
	}
	holder := n.lease.Status().Holder
	if holder == "" || holder == n.name {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, simPeerTimeout)
	defer cancel()
	if err := s.carry(ctx, n.name, holder, func() {
		if peer := s.nodeNamed(holder); peer.serving.Err() == nil {
			state = peer.d.State(ctx, job)
		}
	}); err != nil {
		return ""
	}
	return state
}

// members returns the machines and the workers in a zone, or those in all others.
func (s *simulation) members(zone string, inside bool) []string {
	var names []string
	for i := range simDispatchers {
		if (simZone(i) == zone) == inside {
			names = append(names, fmt.Sprintf("edge-%d", i))
		}
	}
	for i, w := range s.workers {
		if (simZone(i) == zone) == inside {
			names = append(names, w.ID)
		}
	}
	return names
}

// holder returns the machine that seems to hold the lease, one that dispatches after its
// lease has expired in an outage of the store, or any.
func (s *simulation) holder(random *rand.Rand) int {
	leading := random.IntN(simDispatchers)
	for i := range simDispatchers {
		n := s.node(i)
		if n.alive.Load() && n.lease.Status().Held {
			return i
		}
		if n.alive.Load() && n.d.Leading() {
			leading = i
		}
	}
	return leading
}

// stopNode ends the process of a machine, gracefully or not, and starts it again later.
func (s *simulation) stopNode(i int, graceful bool) (string, func()) {
	n := s.node(i)
	if !n.alive.CompareAndSwap(true, false) {
		return n.name, func() {}
	}
	n.stop()
	if graceful {
		go func() {
			drained := time.After(simDrainTime)
			<-n.ended // a blocked mutex would stop the simulated time
			ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
			defer cancel()
			_ = n.lease.Release(ctx)
			<-drained
			n.stopServing()
		}()
	} else {
		n.stopServing()
	}
	return n.name, func() {
		<-n.ended
		<-n.serving.Done()
		s.startNode(i)
	}
}

// pauseNode pauses the process of a machine.
func (s *simulation) pauseNode(i int) (string, func()) {
	n := s.node(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.paused != nil {
		return n.name, func() {}
	}
	paused := make(chan struct{})
	n.paused = paused
	return n.name, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		n.paused = nil
		close(paused)
	}
}
