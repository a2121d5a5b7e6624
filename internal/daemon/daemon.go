// Package daemon assembles the components of a daemon process: New builds them from
// the settings, Run runs them until the context ends and then shuts down gracefully.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/control"
	"github.com/samphirepath/samphirepath/internal/entry"
	"github.com/samphirepath/samphirepath/internal/executor"
	"github.com/samphirepath/samphirepath/internal/inventory"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/keeper"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/internal/router"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/retry"
	"github.com/samphirepath/samphirepath/revision"
)

const (
	// lameDuckPeriod is how long a stopping daemon still accepts requests after it
	// has reported itself not ready, so that the load balancer and the peers stop
	// sending to it first.
	lameDuckPeriod = time.Second
	// releaseTimeout bounds the release of the planner lease during the shutdown.
	releaseTimeout = 2 * time.Second
	// capacityCheckTimeoutFactor times the request timeout bounds a check against the
	// capacity of workers. Such a check reads the VM list and then the workers that are
	// not known yet.
	capacityCheckTimeoutFactor = 3
	// maxFrameBytes bounds a frame between daemons. It leaves room for the largest
	// answer of a minion (16 MiB) and its envelope; a larger frame would be lost.
	maxFrameBytes = 17 << 20
	// flushTimeout bounds the export of the remaining spans during the shutdown.
	flushTimeout = 2 * time.Second
)

// Daemon is one samphirepathd process.
type Daemon struct {
	settings    api.Settings
	incarnation string
	log         *zap.Logger
	metrics     *telemetry.Metrics
	traces      *telemetry.Traces

	clients       clients
	mesh          *peers.Mesh
	configuration *configuration.Service
	inventory     *inventory.Inventory
	follower      *jobs.Follower
	writer        *jobs.Writer
	service       *jobs.Service
	control       *control.Control
	executor      *executor.Executor
	keeper        *keeper.Keeper
	router        *router.Router
	server        *entry.Server

	stopping atomic.Bool
}

// New builds a daemon without opening any listener.
func New(ctx context.Context, settings api.Settings) (*Daemon, error) {
	d := &Daemon{settings: settings, incarnation: peers.NewIncarnation()}
	var err error
	if d.log, err = telemetry.NewLogger(settings.Logs); err != nil {
		return nil, err
	}
	d.log = d.log.With(zap.String("vm", settings.Daemon.VM))
	tags := map[string]string{"vm": settings.Daemon.VM, "zone": settings.Daemon.Zone}
	if d.metrics, err = telemetry.NewMetrics(tags, d.log); err != nil {
		return nil, err
	}
	if d.traces, err = telemetry.NewTraces(ctx, settings.Traces, settings.Daemon.VM, settings.Daemon.Zone); err != nil {
		return nil, err
	}
	if d.clients, err = d.newClients(); err != nil {
		return nil, err
	}
	d.buildConfiguration()
	if err := d.buildJobs(); err != nil {
		return nil, err
	}
	d.buildRouter()
	d.buildServer()
	return d, nil
}

// buildConfiguration builds the mesh of peers, the inventory of workers and the
// configuration service, which distributes revisions over the mesh.
func (d *Daemon) buildConfiguration() {
	s := d.settings
	highestRevision := &revision.HighWaterMark{}
	d.mesh = peers.New(peers.Config{
		VM: s.Daemon.VM, Zone: s.Daemon.Zone, Incarnation: d.incarnation,
		Listen: s.Listen.Peers, Token: s.Peers.Token, Seeds: s.Peers.Seeds,
		VMs: d.clients.vms, VMListEvery: s.Timing.VMListEvery.Std(),
		HeartbeatEvery: s.Peers.HeartbeatEvery.Std(), LostAfter: s.Peers.LostAfter.Std(), MaxFrameBytes: maxFrameBytes,
		HighestRevision: highestRevision, Heartbeat: d.heartbeat,
		Logger: telemetry.Named(d.log, "peers"), Scope: d.metrics.Scope, Tracer: d.traces.Tracer("peers"),
	})
	d.inventory = inventory.New(inventory.Config{
		VMs: d.clients.vms, Workers: d.clients.workers, Log: telemetry.Named(d.log, "inventory"),
	})
	d.configuration = configuration.New(configuration.Config{
		Store: d.clients.table, Network: d.mesh, HighestRevision: highestRevision, PollEvery: s.Timing.PollEvery.Std(),
		RequestTimeout: s.Platform.RequestTimeout.Std(), CheckGuarantees: d.checkGuarantees, Zones: d.listedZones,
		Logger: telemetry.Named(d.log, "configuration"), Scope: d.metrics.Scope, Tracer: d.traces.Tracer("configuration"),
	})
}

func (d *Daemon) checkGuarantees(zone string, catalogue api.Catalogue) error {
	ctx, cancel := d.capacityCheckContext()
	defer cancel()
	return d.inventory.CheckGuarantees(ctx, zone, d.configuration.Current().Catalogue, catalogue)
}

func (d *Daemon) listedZones() []string {
	ctx, cancel := d.capacityCheckContext()
	defer cancel()
	zones, err := d.inventory.Zones(ctx)
	if err != nil {
		d.log.Warn("Reading the zones from the VM list failed.", zap.Error(err))
	}
	return zones
}

// capacityCheckContext returns a context with the timeout of a check that reads the VM
// list and possibly workers.
func (d *Daemon) capacityCheckContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), capacityCheckTimeoutFactor*d.settings.Platform.RequestTimeout.Std())
}

// buildJobs builds the components that plan jobs, start their tasks and renew the
// leases of the tasks.
func (d *Daemon) buildJobs() error {
	s, zone, t := d.settings, d.settings.Daemon.Zone, d.settings.Timing
	d.follower = jobs.NewFollower(jobs.FollowerConfig{
		Store: d.clients.table, Network: d.mesh, PollEvery: t.PollEvery.Std(),
		Log: telemetry.Named(d.log, "jobs"), Scope: d.metrics.Scope.SubScope("jobs"),
	})
	leader, err := lease.New(lease.Config{
		Store: d.clients.table, Prefix: "planner/" + zone + "/", Holder: s.Daemon.VM, Incarnation: d.incarnation,
		LeaseTime: t.PlannerLease.Std(), RenewEvery: t.PlannerRenewEvery.Std(), Log: telemetry.Named(d.log, "lease"),
	})
	if err != nil {
		return err
	}
	d.writer = jobs.NewWriter(jobs.WriterConfig{
		Store: d.clients.table, Follower: d.follower, Fence: leader.FenceCondition,
		Limiter: rate.NewLimiter(rate.Limit(s.Limits.StoreWritesPerSecond), s.Limits.StoreWritesPerSecond),
		Log:     telemetry.Named(d.log, "jobs"), Scope: d.metrics.Scope.SubScope("jobs"),
	})
	epoch := func() int64 { return leader.Status().Epoch }
	applier := jobs.NewApplier(jobs.ApplierConfig{
		Zone: zone, Writer: d.writer, Follower: d.follower, Epoch: epoch,
		Log: telemetry.Named(d.log, "applier"), Scope: d.metrics.Scope.SubScope("applier"),
	})
	d.service = jobs.NewService(jobs.ServiceConfig{
		Writer: d.writer, Follower: d.follower, View: d.configuration, CheckRunnable: d.checkRunnable,
		Admission: admission.NewLedger(admission.Config{
			Load:    func() admission.Load { return d.follower.Load(s.Limits.JobMemoryBytes) },
			Daemons: func() int { return len(d.mesh.Members()) + 1 },
			Log:     d.log, Scope: d.metrics.Scope,
		}),
		Log: telemetry.Named(d.log, "jobs"), Scope: d.metrics.Scope.SubScope("jobs"),
	})
	d.control = control.New(control.Config{
		Zone: zone, Lease: leader, Follower: d.follower, Applier: applier, View: d.configuration,
		VMs: d.clients.vms, Workers: d.clients.workers, Network: d.mesh, Plan: planner.Compute,
		Health: newHealthTracker(),
		StopOrphans: func(ctx context.Context, address string, tasks []string) {
			d.executor.StopOrphans(ctx, address, tasks)
		},
		PlanEvery: t.PlanEvery.Std(), ReportEvery: t.ReportEvery.Std(), VMListEvery: t.VMListEvery.Std(),
		Log: telemetry.Named(d.log, "planner"), Scope: d.metrics.Scope.SubScope("planner"), Tracer: d.traces.Tracer("planner"),
	})
	d.executor = executor.New(executor.Config{
		Zone: zone, Follower: d.follower, Applier: applier, Workers: d.clients.workers, View: d.configuration,
		Network: d.mesh, Directory: d.control, Leading: d.control.Leading, Epoch: epoch,
		TaskLease: t.TaskLease.Std(), ZoneConfirmation: t.ZoneConfirmation.Std(), MaxClockSkew: t.MaxClockSkew.Std(),
		CheckpointWait: t.CheckpointWait.Std(), CheckpointEvery: t.CheckpointEvery.Std(), StartWait: t.StartWait.Std(), StartsPerSecond: s.Limits.StartsPerSecond,
		Log: telemetry.Named(d.log, "executor"), Scope: d.metrics.Scope.SubScope("executor"), Tracer: d.traces.Tracer("executor"),
	})
	d.keeper = keeper.New(keeper.Config{
		Zone: zone, Follower: d.follower, Network: d.mesh, Workers: d.clients.workers, Address: d.control.Address,
		Leading: d.control.Leading, LocalUpdate: d.control.TaskUpdate,
		RenewEvery: t.TaskRenewEvery.Std(), TaskLease: t.TaskLease.Std(), MaxClockSkew: t.MaxClockSkew.Std(),
		Log: telemetry.Named(d.log, "keeper"), Scope: d.metrics.Scope.SubScope("keeper"),
	})
	return nil
}

func (d *Daemon) checkRunnable(job api.Job) string {
	ctx, cancel := d.capacityCheckContext()
	defer cancel()
	return d.inventory.CheckRunnable(ctx, d.configuration.Current().Catalogue, job)
}

func (d *Daemon) buildRouter() {
	claims := claim.New(claim.Config{
		Store: d.clients.table, Objects: d.clients.objects, VM: d.settings.Daemon.VM, Incarnation: d.incarnation,
		Backoff: retry.Backoff{},
	})
	d.router = router.New(router.Config{
		VMs: d.clients.vms, Minions: d.clients.minions, Network: d.mesh, View: d.configuration, Claims: claims,
		Limits: d.settings.Limits, Timing: d.settings.Timing,
		Log: d.log, Scope: d.metrics.Scope, Tracer: d.traces.Tracer("router"),
	})
}

func (d *Daemon) buildServer() {
	s := d.settings
	d.server = entry.New(entry.Config{
		CallersAddress: s.Listen.Callers, OperatorsAddress: s.Listen.Operators, OperatorTokenHash: s.Operators.TokenSha256,
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxConnections: s.Limits.MaxConnections, BodyMemoryBytes: s.Limits.BodyMemoryBytes,
		BodyTimeout: s.Timing.BodyTimeout.Std(), GracefulStop: s.Timing.GracefulStop.Std(),
		View: d.configuration, Metrics: d.metrics.Handler, Ready: d.ready,
		Handlers: d.handlers(),
		Log:      d.log, Scope: d.metrics.Scope, Tracer: d.traces.Tracer("entry"),
	})
}

// ready reports whether the daemon can serve requests: it is not stopping, and either
// it has a configuration, or the table service answers and holds none yet.
func (d *Daemon) ready() bool {
	if d.stopping.Load() {
		return false
	}
	return d.configuration.Current().Head.Revision > 0 || d.storeReachable()
}

func (d *Daemon) storeReachable() bool {
	return d.configuration.StoreAge() < maxMissedPolls*d.settings.Timing.PollEvery.Std()
}

// heartbeat returns the content of the next heartbeat to the peers.
func (d *Daemon) heartbeat() api.PeerHeartbeat {
	return api.PeerHeartbeat{
		Draining: d.stopping.Load(), FreeSlots: d.router.FreeSlots(), PlannerEpoch: d.control.Current().Epoch,
		StoreAgeMs: d.configuration.StoreAge().Milliseconds(), TableVersion: d.follower.Version(),
		LeavingMinions: d.router.LeavingMinions(),
	}
}

// Run serves until ctx ends and then shuts down gracefully. If a component fails,
// Run stops the others and returns its error.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.server.Listen(); err != nil {
		return err
	}
	// The components run on during the graceful shutdown after the end of ctx. The
	// server is stopped before them.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	servingCtx, stopServing := context.WithCancel(componentsCtx)
	defer stopServing()
	components, componentsCtx := errgroup.WithContext(componentsCtx)
	for _, run := range []func(context.Context) error{
		d.mesh.Run, d.configuration.Run, d.follower.Run, d.writer.Run, d.control.Run, d.executor.Run, d.keeper.Run, d.router.Run,
	} {
		components.Go(func() error { return run(componentsCtx) })
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- d.server.Run(servingCtx) }()
	d.server.SetReady(true)
	d.log.Info("Daemon started.", zap.String("zone", d.settings.Daemon.Zone), zap.String("incarnation", d.incarnation))
	var serveErr error
	select {
	case <-ctx.Done():
		serveErr = d.stop(context.WithoutCancel(ctx), stopServing, serveResult)
	case <-componentsCtx.Done():
		stopServing()
		serveErr = <-serveResult
	case serveErr = <-serveResult:
	}
	stopComponents()
	componentsErr := components.Wait()
	d.close(context.WithoutCancel(ctx))
	if componentsErr != nil && !eris.Is(componentsErr, context.Canceled) {
		return componentsErr
	}
	return serveErr
}

// stop shuts the server down gracefully: it reports the daemon as not ready, releases
// the planner lease, waits for lameDuckPeriod, stops the server and waits for the
// requests in flight.
func (d *Daemon) stop(ctx context.Context, stopServing context.CancelFunc, serveResult <-chan error) error {
	d.log.Info("Stop requested.")
	d.stopping.Store(true)
	d.server.SetReady(false)
	d.mesh.Drain()
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.GracefulStop.Std())
	defer cancel()
	d.releasePlannerLease(ctx)
	time.Sleep(lameDuckPeriod)
	stopServing()
	err := <-serveResult
	if drainErr := d.router.Drain(ctx); drainErr != nil {
		d.log.Error("Draining the router failed.", zap.Error(drainErr))
	}
	d.log.Info("Daemon stopped.")
	return err
}

// releasePlannerLease releases the planner lease, so that another daemon can take
// over without waiting for its expiry.
func (d *Daemon) releasePlannerLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.control.Resign(ctx); err != nil {
		d.log.Warn("Releasing the planner lease failed; another daemon plans after its expiry.", zap.Error(err))
	}
}

func (d *Daemon) close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = d.traces.Shutdown(ctx)
	_ = d.metrics.Close()
	_ = d.log.Sync()
}
