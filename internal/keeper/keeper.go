// Package keeper renews the leases of running tasks. Every daemon of a zone runs
// a keeper; rendezvous hashing over the live daemons assigns each job to one of
// them. A keeper works from the last known job rows, so it keeps renewing while
// the table service is down or no daemon plans.
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
	// roundInterval bounds the delay of renewals and updates that become due.
	roundInterval = 250 * time.Millisecond
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// parallelCalls bounds the concurrent calls to workers.
	parallelCalls = 64
	// updateInterval is the interval at which the end of a task is reported to the
	// planner again until the job row reflects it, and at which a worker is asked
	// again about a task that it does not know yet.
	updateInterval = time.Second
	// startGrace is how long after its placement a task may be unknown to its
	// worker, because the start may still be in flight.
	startGrace = 10 * time.Second
	// Defaults of Config.
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
	// Address returns the address of a worker from the VM list.
	Address func(worker string) (string, bool)
	// Leading reports whether this daemon plans for the zone; nil means that it never
	// does. If it does, the ends of tasks go to LocalUpdate instead of to a peer.
	Leading     func() bool
	LocalUpdate func(worker string, tasks []api.TaskReport)

	// For the durations, 0 means the default.
	RenewEvery   time.Duration
	TaskLease    time.Duration
	MaxClockSkew time.Duration
	Log          *zap.Logger
	Scope        tally.Scope
}

// Keeper renews the task leases of the jobs that it owns.
type Keeper struct {
	cfg   Config
	gangs map[string]*gangRenewal // by job; accessed only by the goroutine of Run
	// sets holds, by worker, the set of tasks that this keeper renews there. The map
	// is accessed only by the goroutine of Run, and each set during a round only by
	// the call to its worker.
	sets map[string]*workerSet
}

// New returns a keeper, which renews leases while Run runs.
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
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	if cfg.Leading == nil {
		cfg.Leading = func() bool { return false }
	}
	return &Keeper{cfg: cfg, gangs: map[string]*gangRenewal{}, sets: map[string]*workerSet{}}
}

// Run renews leases until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(min(roundInterval, k.cfg.RenewEvery/4))
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

// round renews the leases that are due and reports ended tasks to the planner.
func (k *Keeper) round(ctx context.Context) {
	// The time is taken before the rows are read, and the expiries of this round
	// count from it. A lease thus expires no later than one lease duration after the
	// rows last showed the job as placed or running.
	now := time.Now()
	k.syncGangs(now)
	calls := k.dueCalls(now)
	for _, answer := range k.sendCalls(ctx, now, calls) {
		k.handleAnswer(answer)
	}
	k.detectLost(time.Now())
	k.sendUpdates(time.Now())
}

// syncGangs adds and drops gangs so that the keeper holds exactly the jobs that
// it owns according to the rows and the live daemons.
func (k *Keeper) syncGangs(now time.Time) {
	live := k.cfg.Network.LiveVMs(k.cfg.Zone)
	self := k.cfg.Network.Self().VM
	versions := map[string]int64{self: math.MaxInt64} // this daemon knows every row that it iterates over
	for _, m := range k.cfg.Network.Members() {
		versions[m.VM] = m.TableVersion
	}
	owned := map[string]bool{}
	for _, row := range k.cfg.Follower.Rows() {
		job := row.Job
		if job.Zone != k.cfg.Zone || job.State != api.JobStatePlaced && job.State != api.JobStateRunning {
			continue
		}
		if Owner(job.ID, upToDate(live, versions, row.Version)) != self {
			continue
		}
		owned[job.ID] = true
		if g := k.gangs[job.ID]; g != nil && g.job.Attempt == job.Attempt {
			g.job = job
			continue
		}
		k.gangs[job.ID] = newGangRenewal(job, k.cfg.TaskLease, now)
	}
	for id := range k.gangs {
		if !owned[id] {
			delete(k.gangs, id)
		}
	}
	k.cfg.Scope.Gauge("gangs").Update(float64(len(k.gangs)))
}

// upToDate returns the VMs that have announced that they know the rows up to a
// version. A daemon that started while the table service was down does not know
// the jobs that it would own.
func upToDate(vms []string, versions map[string]int64, version int64) []string {
	out := make([]string, 0, len(vms))
	for _, vm := range vms {
		if versions[vm] >= version {
			out = append(out, vm)
		}
	}
	return out
}

// Owner returns the VM whose keeper renews the leases of a job. It uses rendezvous
// hashing; the order of vms does not matter.
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

// sendUpdates sends the ends of tasks to the planner of the zone.
func (k *Keeper) sendUpdates(now time.Time) {
	byWorker := map[string][]api.TaskReport{}
	for _, g := range k.gangs {
		if now.Before(g.nextUpdate) || len(g.ended) == 0 {
			continue
		}
		g.nextUpdate = now.Add(updateInterval)
		for i, report := range g.ended {
			worker := g.job.Placement[i].Worker
			byWorker[worker] = append(byWorker[worker], report)
		}
	}
	for worker, tasks := range byWorker {
		k.sendUpdate(worker, tasks)
	}
}

func (k *Keeper) sendUpdate(worker string, tasks []api.TaskReport) {
	if k.cfg.Leading() {
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
