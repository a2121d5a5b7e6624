// Package keeper renews the leases of running tasks. Every daemon of a zone runs
// one; rendezvous hashing over the live daemons decides which jobs it keeps. It
// works from the last known job rows and goes on while the table service is
// down or no daemon plans.
package keeper

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// checkEvery is the interval at which due renewals and updates are looked for.
	checkEvery = 250 * time.Millisecond
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// parallelCalls bounds the calls to workers at the same time.
	parallelCalls = 64
	// updateEvery is the interval at which unsettled task states are repeated.
	updateEvery = time.Second
	// startGrace is how long after its placement a task may be unknown to its
	// worker: the start may still be under way.
	startGrace = 10 * time.Second
	// defaultRenewEvery and defaultTaskLease are the defaults of the settings.
	defaultRenewEvery = 5 * time.Second
	defaultTaskLease  = 20 * time.Second
	defaultClockSkew  = 500 * time.Millisecond
)

// Config holds the dependencies and timing of a Keeper.
type Config struct {
	Zone     string
	Follower *jobs.Follower
	Network  peers.Network
	Workers  refplatform.Workers
	// Address returns the address of a worker by the VM list.
	Address func(worker string) (string, bool)
	// Planning tells whether this daemon plans for the zone; task states then go
	// to Local instead of to a peer.
	Planning    func() bool
	LocalUpdate func(worker string, tasks []api.TaskReport)

	RenewEvery   time.Duration
	TaskLease    time.Duration
	MaxClockSkew time.Duration
	Log          *zap.Logger
	Scope        tally.Scope
}

// Keeper renews the leases of the jobs that it keeps.
type Keeper struct {
	cfg   Config
	gangs map[string]*kept // by job; owned by the goroutine of Run
	// sets are the sets that workers know from this keeper; owned like gangs, and
	// during a round by the call to the worker.
	sets map[string]*workerSet
}

// New returns a keeper with defaults filled in.
func New(cfg Config) *Keeper {
	if cfg.RenewEvery <= 0 {
		cfg.RenewEvery = defaultRenewEvery
	}
	if cfg.TaskLease <= 0 {
		cfg.TaskLease = defaultTaskLease
	}
	if cfg.MaxClockSkew <= 0 {
		cfg.MaxClockSkew = defaultClockSkew
	}
	cfg.Log = telemetry.Logger(cfg.Log)
	cfg.Scope = telemetry.Scope(cfg.Scope)
	if cfg.Planning == nil {
		cfg.Planning = func() bool { return false }
	}
	return &Keeper{cfg: cfg, gangs: map[string]*kept{}, sets: map[string]*workerSet{}}
}

// Run keeps leases until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(min(checkEvery, k.cfg.RenewEvery/4))
	defer tick.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// round renews what is due and tells the planner about tasks that have ended.
func (k *Keeper) round(ctx context.Context) {
	// The time is taken before the rows are read: an expiry computed in this
	// round never lies beyond what the rows allowed when they were read.
	now := time.Now()
	k.adopt(now)
	calls := k.due(now)
	for _, answer := range k.call(ctx, now, calls) {
		k.take(answer)
	}
	k.detectLost(time.Now())
	k.update(time.Now())
}

// adopt brings the kept gangs in line with the rows and the live daemons.
func (k *Keeper) adopt(now time.Time) {
	live := k.cfg.Network.LiveVMs(k.cfg.Zone)
	self := k.cfg.Network.Self().VM
	announced := map[string]int64{self: math.MaxInt64} // this daemon has the rows that it looks at
	for _, m := range k.cfg.Network.Members() {
		announced[m.VM] = m.TableVersion
	}
	seen := map[string]bool{}
	for _, row := range k.cfg.Follower.Rows() {
		job := row.Job
		if job.Zone != k.cfg.Zone || job.State != api.JobStatePlaced && job.State != api.JobStateRunning {
			continue
		}
		if Owner(job.ID, informed(live, announced, row.Version)) != self {
			continue
		}
		seen[job.ID] = true
		if g := k.gangs[job.ID]; g != nil && g.job.Attempt == job.Attempt {
			g.job = job
			continue
		}
		k.gangs[job.ID] = newKept(job, k.cfg.TaskLease, now)
	}
	for id := range k.gangs {
		if !seen[id] {
			delete(k.gangs, id)
		}
	}
	k.cfg.Scope.Gauge("gangs").Update(float64(len(k.gangs)))
}

// informed returns the VMs that have followed the rows up to a version. A daemon
// that came up while the table service is down does not know the jobs that it
// would have to keep.
func informed(vms []string, announced map[string]int64, version int64) []string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		if announced[vm] >= version {
			out = append(out, vm)
		}
	}
	return out
}

// Owner returns which of the VMs keeps a job, by rendezvous hashing. The order of
// the VMs does not matter.
func Owner(job string, vms []string) string {
	best, owner := uint64(0), ""
	for _, vm := range vms {
		weight := xxhash.Sum64String(job + "\x00" + vm)
		if owner == "" || weight > best || weight == best && vm < owner {
			best, owner = weight, vm
		}
	}
	return owner
}

// update sends the states of ended tasks to the planner of the zone.
func (k *Keeper) update(now time.Time) {
	byWorker := map[string][]api.TaskReport{}
	for _, g := range k.gangs {
		if now.Before(g.nextUpdate) || len(g.ended) == 0 {
			continue
		}
		g.nextUpdate = now.Add(updateEvery)
		for i, report := range g.ended {
			worker := g.job.Placement[i].Worker
			byWorker[worker] = append(byWorker[worker], report)
		}
	}
	for worker, tasks := range byWorker {
		k.tell(worker, tasks)
	}
}

func (k *Keeper) tell(worker string, tasks []api.TaskReport) {
	if k.cfg.Planning() {
		if k.cfg.LocalUpdate != nil {
			k.cfg.LocalUpdate(worker, tasks)
		}
		return
	}
	message := api.PeerEnvelope{TaskUpdate: &api.PeerTaskUpdate{Worker: worker, Tasks: tasks}}
	if vm, ok := k.planner(); ok {
		k.cfg.Network.Notify(vm, message)
	}
}

// planner returns the daemon of the zone that announces the highest epoch.
func (k *Keeper) planner() (string, bool) {
	vm, epoch := "", int64(0)
	for _, m := range k.cfg.Network.Members() {
		if m.Zone == k.cfg.Zone && m.PlannerEpoch > epoch && (m.State == peers.Live || m.State == peers.Draining) {
			vm, epoch = m.VM, m.PlannerEpoch
		}
	}
	return vm, epoch > 0
}
