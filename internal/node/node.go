// Package node runs a daemon of the batch scheduler: it follows the operator's
// configuration, serves callers, and dispatches jobs while it holds the leader lease.
// The daemon needs no disk; all durable state is in the table store.
package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/catalogue"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/ingress"
	"github.com/samphirepath/samphirepath/internal/relay"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// followWait bounds one watch of the store. A dead connection is detected after
	// followWait + followGrace, within the 2 s that a configuration change may take to
	// become effective.
	followWait       = 700 * time.Millisecond
	followGrace      = 500 * time.Millisecond
	followRetryDelay = 100 * time.Millisecond
	// leaseTime is how long the lease row must be unchanged before another daemon takes
	// over. The leases of workers are longer, so that tasks survive a takeover.
	leaseTime  = 2 * time.Second
	leaseRenew = 500 * time.Millisecond
	// leasePoll is the interval at which the other daemons read the lease row. Three
	// polls just exceed leaseTime, so a takeover follows the expiry closely; with several
	// daemons one of them reads the row soon after each renewal.
	leasePoll = 680 * time.Millisecond
	// Machines below these sizes take over the lease later by smallMachineDelay, so that
	// larger ones come first. A dispatcher of 350 workers uses 0.2 of a core and 5 Mbit/s.
	preferredCores    = 0.35
	preferredLinkMbps = 50
	smallMachineDelay = 1200 * time.Millisecond
	// readyTimeout is how long a daemon remains ready without an answer from the store.
	readyTimeout = 4 * time.Second
	// connectionDrainTime is how long a stopping daemon still accepts connections. The
	// load balancer checks its readiness once a second and stops sending connections
	// after two failed checks.
	connectionDrainTime = 2500 * time.Millisecond
	// dispatcherTimeout bounds a request to the dispatcher of another daemon. Callers
	// wait for a second or two.
	dispatcherTimeout = 500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left for sending the last
	// answers when the wait for requests in flight ends.
	shutdownMargin = 800 * time.Millisecond
	// releaseTimeout bounds the release of the lease. A slow store takes half a second,
	// and the release runs within connectionDrainTime.
	releaseTimeout = 2 * time.Second
)

// Operator locates and decodes the rows that the operator writes.
type Operator struct {
	Prefix string
	Decode func(table.Row) (OperatorRow, error)
}

// OperatorRow is a decoded row of the operator. At most one field is set.
type OperatorRow struct {
	Catalogue        *catalogue.Catalogue
	OutOfServiceZone string // zone that is out of service as long as the row exists
}

// Dependencies are the components that the daemon needs and the platform provides.
type Dependencies struct {
	Store       *relay.Store
	DirectStore table.Watcher // direct path to the store, which peers may use too
	Operator    Operator
	Workers     dispatch.Discovery
	Client      fleet.Client
	Current     *catalogue.Current
	Front       http.Handler   // serves callers
	Guard       *ingress.Guard // limits the callers
	Metrics     http.Handler
	Log         *zap.Logger
	Scope       tally.Scope
}

// Node is a daemon of the batch scheduler.
type Node struct {
	settings       Settings
	deps           Dependencies
	log            *zap.Logger
	lease          *lease.Lease
	dispatcher     *dispatch.Dispatcher
	grants         *admission.Ledger // jobs that the dispatcher admits for other daemons
	outOfService   map[string]string // zones out of service by row key; used only by the operator follower
	lastAnswer     atomic.Int64      // when the store last answered, Unix time in ns
	storeReachable bool              // used only by the operator follower
	stopping       atomic.Bool
}

// New returns a daemon that is not running yet.
func New(settings Settings, deps Dependencies) (*Node, error) {
	n := &Node{settings: settings, deps: deps, log: telemetry.Named(deps.Log, "node"), outOfService: map[string]string{}}
	leaderLease, err := lease.New(lease.Config{
		Store: deps.Store, Prefix: dispatch.LeasePrefix, Holder: settings.Name, Incarnation: settings.Name,
		LeaseTime: leaseTime, RenewEvery: leaseRenew, PollEvery: leasePoll, TakeoverDelay: takeoverDelay(settings),
		Healthy: func() bool { return n.dispatcher.Progressing() }, Notice: func() []byte { return n.dispatcher.Load() },
		Statement: func() []byte { return n.dispatcher.CountsStatement() }, Log: telemetry.Named(deps.Log, "lease"),
	})
	if err != nil {
		return nil, err
	}
	n.lease = leaderLease
	n.dispatcher = dispatch.New(dispatch.Config{
		Store: deps.Store, Lease: leaderLease, Holder: settings.Name, Zone: settings.Zone, EndFormerTerm: deps.Store.EndTermBefore, Workers: deps.Workers, Client: deps.Client, Zones: deps.Current, Guarantees: deps.Current.Guarantees, OnTerm: n.tuneCollector,
		MaxWorkerLease: settings.MaxWorkerLease, MaxStopTime: settings.MaxStopTime, ReclaimLimit: settings.ReclaimLimit, FinishedRetention: settings.FinishedRetention, Follower: n.follower(""),
		JobBudget: n.JobBudget, MaxRuns: int(settings.memoryBytes() / runDivisor / dispatch.RunBytes),
		Log: deps.Log, Scope: deps.Scope,
	})
	n.grants = admission.NewLedger(admission.Config{Notice: n.dispatcher.Load, Daemons: n.Daemons, Budget: n.JobBudget, Window: admission.GrantWindow, BeyondWindow: true, Log: deps.Log, Scope: deps.Scope.SubScope("grants")})
	return n, nil
}

// takeoverDelay returns how long this machine waits before it takes over the lease, so
// that larger machines come first.
func takeoverDelay(settings Settings) time.Duration {
	if settings.Cores >= preferredCores && settings.LinkMbps >= preferredLinkMbps {
		return 0
	}
	return smallMachineDelay
}

func (n *Node) follower(prefix string) table.Follower {
	return table.Follower{Store: n.deps.Store, Prefix: prefix, Wait: followWait, Grace: followGrace, RetryDelay: followRetryDelay}
}

// JobState requests the state of a job from the dispatcher, on this or another daemon.
// It returns "" if the dispatcher is unreachable or the state is not certain.
func (n *Node) JobState(ctx context.Context, job string) batch.State {
	if n.dispatcher.Leading() {
		return n.dispatcher.State(ctx, job)
	}
	holder := n.lease.Status().Holder
	if holder == "" || holder == n.settings.Name {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcherTimeout)
	defer cancel()
	state, err := n.deps.Store.JobState(ctx, holder, job)
	if err != nil {
		n.log.Warn("Failed to request the state of a job from the dispatcher.", zap.String("job", job), zap.String("dispatcher", holder), telemetry.ErrorField(err))
		return ""
	}
	return batch.State(state)
}

// JobLoad returns the encoded load of jobs that the dispatcher has published last.
func (n *Node) JobLoad() []byte { return n.lease.Status().Notice }

// CountsAge returns the age of the stored counts of waiting jobs, see dispatch.CountsAge.
func (n *Node) CountsAge() (version int64, age time.Duration, err error) {
	return dispatch.CountsAge(n.lease)
}

// GrantJob asks the dispatcher, on this or another daemon, to admit a job.
func (n *Node) GrantJob(ctx context.Context, organisation string, bytes int64) error {
	if n.dispatcher.Leading() {
		return n.grants.Grant(ctx, organisation, bytes)
	}
	holder := n.lease.Status().Holder
	if holder == "" || holder == n.settings.Name {
		return errNoDispatcher
	}
	return n.deps.Store.GrantJob(ctx, holder, organisation, bytes)
}

// errNoDispatcher means that no daemon is known to dispatch.
var errNoDispatcher = eris.New("no daemon is known to dispatch")

// Daemons returns the number of daemons that are known, with this one.
func (n *Node) Daemons() int { return len(n.machineMemory()) }

// JobBudget returns the memory for accepted jobs, by that of the smallest known machine.
func (n *Node) JobBudget() int64 { return admission.Budget(n.machineMemory()) }

// machineMemory returns the memory of the machines of this daemon and of its peers in bytes.
func (n *Node) machineMemory() []int64 {
	memory := []int64{n.settings.memoryBytes()}
	for _, bytes := range n.deps.Store.PeerMemory() {
		if bytes <= 0 {
			bytes = Settings{}.memoryBytes()
		}
		memory = append(memory, bytes)
	}
	return memory
}

// peerDispatcher is the dispatcher as other daemons may use it.
type peerDispatcher struct {
	*dispatch.Dispatcher
	grants *admission.Ledger
}

// GrantJob admits a job if this daemon dispatches.
func (d peerDispatcher) GrantJob(ctx context.Context, organisation string, bytes int64) error {
	if !d.Leading() {
		return errNoDispatcher
	}
	return d.grants.Grant(ctx, organisation, bytes)
}

// JobState returns the state of a job, or "" if it is not certain.
func (d peerDispatcher) JobState(ctx context.Context, job string) string {
	return string(d.State(ctx, job))
}

// Run serves callers until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	front, err := n.listen(n.settings.FrontAddress, n.deps.Front, n.deps.Guard)
	if err != nil {
		return err
	}
	ready, err := n.listen(n.settings.ReadyAddress, http.HandlerFunc(n.serveReady), n.smallGuard("ready", ingress.SmallListenerConnections))
	if err != nil {
		return err
	}
	peerLimits := n.peerLimits()
	peerHandler := relay.Handler(n.settings.Name, n.deps.DirectStore, peerDispatcher{n.dispatcher, n.grants}, peerLimits, n.deps.Log)
	peers, err := n.listen(n.settings.PeerAddress, peerHandler, n.smallGuard("peers", peerLimits.Connections+handshakeConnections))
	if err != nil {
		return err
	}
	servers := []*server{ready, peers}
	if n.settings.MetricsAddress != "" {
		metrics, err := n.listen(n.settings.MetricsAddress, n.deps.Metrics, n.smallGuard("metrics", ingress.SmallListenerConnections))
		if err != nil {
			return err
		}
		servers = append(servers, metrics)
	}
	n.log.Info("Daemon started.", zap.String("machine", n.settings.Name), zap.String("zone", n.settings.Zone), zap.String("store", n.settings.StoreAddress))
	n.tuneCollector(false)
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	leadingCtx, stopLeading := context.WithCancel(servingCtx)
	defer stopLeading()
	var group errgroup.Group
	group.Go(func() error { n.follower(n.deps.Operator.Prefix).Run(servingCtx, n.handleOperatorUpdate); return nil })
	group.Go(func() error {
		return n.deps.Store.Run(servingCtx, api.RelayPeer{Address: n.settings.PeerAddress, Zone: n.settings.Zone, MemoryBytes: n.settings.memoryBytes()})
	})
	group.Go(func() error { return n.lease.Run(servingCtx) })
	group.Go(func() error { return n.dispatcher.Run(leadingCtx) })
	<-ctx.Done()
	n.stop(context.WithoutCancel(ctx), front, stopLeading)
	for _, s := range servers {
		_ = s.http.Close()
	}
	stopServing()
	err = group.Wait()
	n.log.Info("Daemon stopped.", telemetry.ErrorField(err))
	return err
}

// server is an HTTP server that is listening.
type server struct{ http *http.Server }

const (
	// smallBodyBytes bounds the bodies of the listeners for health checks, metrics and peers,
	// whose handlers read none.
	smallBodyBytes = 64 << 10
	// handshakeConnections are connections of the listener for peers beside those of peers.
	handshakeConnections = 16
	// peerConnectionDivisor is the divisor of the descriptors for connections of peers.
	peerConnectionDivisor = 8
)

// peerLimits returns the limits of the listener for other daemons.
func (n *Node) peerLimits() relay.Limits {
	return relay.Limits{FrameBytes: n.settings.memoryBytes() / peerFrameDivisor, Connections: n.settings.MaxFDs / peerConnectionDivisor, Verify: n.deps.Store.Verify}
}

// smallGuard returns the guard of a listener that expects no bodies.
func (n *Node) smallGuard(name string, connections int) *ingress.Guard {
	return ingress.New(ingress.BodyLimits(connections, smallBodyBytes, 0), time.Now, n.deps.Log.With(zap.String("listener", name)), n.deps.Scope.Tagged(map[string]string{"listener": name}))
}

// listen starts to serve on an address.
func (n *Node) listen(address string, handler http.Handler, guard *ingress.Guard) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}}
	guard.Attach(s.http)
	listener = guard.Listener(listener)
	go func() {
		if err := s.http.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("HTTP server failed.", zap.String("address", address), telemetry.ErrorField(err))
		}
	}()
	return s, nil
}

// Bounds of a connection. The platform's configuration contains the same values.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// stop releases the lease at once, reports the daemon as not ready until the load
// balancer sends it no more connections, and then finishes the requests in flight.
func (n *Node) stop(ctx context.Context, front *server, stopLeading context.CancelFunc) {
	n.log.Info("Stop requested.", zap.Bool("leading", n.dispatcher.Leading()))
	start := time.Now()
	n.stopping.Store(true)
	front.http.SetKeepAlivesEnabled(false)
	stopLeading()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := n.lease.Release(releaseCtx); err != nil {
		n.log.Warn("Failed to release the lease.", telemetry.ErrorField(err))
	}
	n.deps.Store.Withdraw(releaseCtx)
	cancel()
	time.Sleep(connectionDrainTime - time.Since(start))
	shutdownCtx, cancel := context.WithTimeout(ctx, n.settings.StopGrace-shutdownMargin-time.Since(start))
	defer cancel()
	if err := front.http.Shutdown(shutdownCtx); err != nil {
		n.log.Error("Stopping with requests in flight.", telemetry.ErrorField(err))
	}
}

// handleOperatorUpdate applies a change of the operator's rows.
func (n *Node) handleOperatorUpdate(update table.Update) {
	if update.Err != nil {
		if n.storeReachable {
			n.storeReachable = false
			n.log.Warn("Store is unreachable.", telemetry.ErrorField(update.Err))
		}
		return
	}
	n.lastAnswer.Store(update.AsOf.UnixNano())
	if !n.storeReachable {
		n.storeReachable = true
		n.log.Info("Store is reachable.", zap.Int64("version", update.Version))
	}
	if update.Full {
		n.outOfService = map[string]string{}
	}
	for _, row := range update.Rows {
		n.applyOperatorRow(row)
	}
	for _, key := range update.Deleted {
		delete(n.outOfService, key)
	}
	if update.Full || len(update.Rows)+len(update.Deleted) > 0 {
		n.publishZones(update.Version)
	}
}

func (n *Node) applyOperatorRow(row table.Row) {
	defer telemetry.LogPanic(n.log, "decoding of an operator row", zap.String("row", row.Key), zap.Int64("version", row.Version))
	decoded, err := n.deps.Operator.Decode(row)
	switch {
	case err != nil:
		n.log.Error("Invalid operator row ignored.", zap.String("row", row.Key), zap.Int64("version", row.Version), telemetry.ErrorField(err))
	case decoded.Catalogue != nil:
		adopted := n.deps.Current.Update(decoded.Catalogue)
		n.log.Info("Configuration received.", zap.Int64("configuration", decoded.Catalogue.Version), zap.Int64("version", row.Version), zap.Bool("taken", adopted))
	case decoded.OutOfServiceZone != "":
		n.outOfService[row.Key] = decoded.OutOfServiceZone
	}
}

func (n *Node) publishZones(version int64) {
	outOfService := map[string]bool{}
	var names []string
	for _, zone := range n.outOfService {
		outOfService[zone] = true
		names = append(names, zone)
	}
	n.deps.Current.SetOutOfService(outOfService)
	n.log.Info("Set of zones out of service updated.", zap.String("zones", strings.Join(names, ",")), zap.Int64("version", version))
}

// serveReady answers the readiness checks of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the daemon should get no new connections, or "".
func (n *Node) unreadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.deps.Current.Catalogue() == nil:
		return "no configuration yet"
	case time.Since(time.Unix(0, n.lastAnswer.Load())) > readyTimeout:
		return "the store does not answer"
	}
	return ""
}
