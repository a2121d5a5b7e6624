// Package node runs a diskless daemon of the batch scheduler: it follows the
// operator's configuration, serves callers, and dispatches while it holds the
// lease. Everything that must last is in the table store.
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
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/catalogue"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/relay"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// followWait bounds one wait for changes. With followGrace it is the time in
	// which a connection that went silent is noticed, within the 2 s that a change
	// of the configuration may take.
	followWait  = 700 * time.Millisecond
	followGrace = 500 * time.Millisecond
	followPause = 100 * time.Millisecond
	// leaseTime is how long the lease row must stay unchanged before another
	// daemon takes over; the leases of workers last longer.
	leaseTime  = 2 * time.Second
	leaseRenew = 500 * time.Millisecond
	// leasePoll is how often each of the others looks. Three polls exceed leaseTime
	// just so, and with several daemons one of them looks soon after each renewal.
	leasePoll = 680 * time.Millisecond
	// Machines below these sizes take the lease later than others by smallHandicap:
	// a dispatcher of 350 workers was measured at 0.2 of a core and 5 Mbit/s.
	roomyCores    = 0.35
	roomyLinkMbps = 50
	smallHandicap = 1200 * time.Millisecond
	// readyFor is how long a daemon stays ready without an answer of the store.
	readyFor = 4 * time.Second
	// turnAway is how long a stopping daemon still takes new connections: the load
	// balancer checks once a second and needs two failed checks.
	turnAway = 2500 * time.Millisecond
	// askTimeout bounds a question to the dispatcher; callers wait for a second or two.
	askTimeout = 500 * time.Millisecond
	// stopMargin is left of the grace period for the last answers to be sent.
	stopMargin = 800 * time.Millisecond
	// releaseTimeout bounds the release of the lease; a slow store takes half a
	// second, and new connections are turned away meanwhile.
	releaseTimeout = 2 * time.Second
)

// Operator tells how to read the rows that the operator writes.
type Operator struct {
	Prefix string
	Decode func(table.Row) (OperatorRow, error)
}

// OperatorRow is one row of the operator; at most one field is set.
type OperatorRow struct {
	Catalogue        *catalogue.Catalogue
	OutOfServiceZone string // zone that is out of service while the row exists
}

// Dependencies are the implementations that a platform provides.
type Dependencies struct {
	Store       *relay.Store
	DirectStore table.Watcher // the own path to the store, which peers may use
	Operator    Operator
	Workers     dispatch.Discovery
	Client      fleet.Client
	Current     *catalogue.Current
	Front       http.Handler
	Metrics     http.Handler
	Log         *zap.Logger
	Scope       tally.Scope
}

// Node is a daemon.
type Node struct {
	settings   Settings
	parts      Dependencies
	log        *zap.Logger
	lease      *lease.Lease
	dispatcher *dispatch.Dispatcher
	zonesOut   map[string]string // row to zone; owned by the follower
	answered   atomic.Int64      // Unix ns of the newest answer of the store
	reachable  bool              // owned by the follower
	stopping   atomic.Bool
}

// New returns a daemon that has started nothing.
func New(settings Settings, parts Dependencies) (*Node, error) {
	held, err := lease.New(lease.Config{
		Store: parts.Store, Prefix: dispatch.LeasePrefix, Holder: settings.Name, Incarnation: settings.Name,
		LeaseTime: leaseTime, RenewEvery: leaseRenew, PollEvery: leasePoll, TakeoverDelay: handicap(settings), Log: telemetry.Part(parts.Log, "lease"),
	})
	if err != nil {
		return nil, err
	}
	n := &Node{settings: settings, parts: parts, log: telemetry.Part(parts.Log, "node"), lease: held, zonesOut: map[string]string{}}
	n.dispatcher = dispatch.New(dispatch.Config{
		Store: parts.Store, Lease: held, Holder: settings.Name, Workers: parts.Workers, Client: parts.Client, Zones: parts.Current,
		MaxWorkerLease: settings.MaxWorkerLease, MaxStopTime: settings.MaxStopTime, FinishedRetention: settings.FinishedRetention, Follower: n.follower(""),
		Log: parts.Log, Scope: parts.Scope,
	})
	return n, nil
}

// handicap is how much later than others a machine takes the lease.
func handicap(settings Settings) time.Duration {
	if settings.Cores >= roomyCores && settings.LinkMbps >= roomyLinkMbps {
		return 0
	}
	return smallHandicap
}

func (n *Node) follower(prefix string) table.Follower {
	return table.Follower{Store: n.parts.Store, Prefix: prefix, Wait: followWait, Grace: followGrace, RetryDelay: followPause}
}

// JobState asks the dispatcher for the state of a job, wherever it runs; "" when it
// cannot tell or is not reached.
func (n *Node) JobState(ctx context.Context, job string) batch.State {
	if n.dispatcher.Leading() {
		return n.dispatcher.State(ctx, job)
	}
	holder := n.lease.Status().Holder
	if holder == "" || holder == n.settings.Name {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := n.parts.Store.JobState(ctx, holder, job)
	if err != nil {
		n.log.Warn("Dispatcher not asked.", zap.String("job", job), zap.String("dispatcher", holder), telemetry.Cause(err))
		return ""
	}
	return batch.State(state)
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	front, err := n.listen(n.settings.FrontAddress, n.parts.Front)
	if err != nil {
		return err
	}
	ready, err := n.listen(n.settings.ReadyAddress, http.HandlerFunc(n.serveReady))
	if err != nil {
		return err
	}
	peers, err := n.listen(n.settings.PeerAddress, relay.Handler(n.parts.DirectStore, func(ctx context.Context, job string) string { return string(n.dispatcher.State(ctx, job)) }, n.parts.Log))
	if err != nil {
		return err
	}
	servers := []*server{ready, peers}
	if n.settings.MetricsAddress != "" {
		metrics, err := n.listen(n.settings.MetricsAddress, n.parts.Metrics)
		if err != nil {
			return err
		}
		servers = append(servers, metrics)
	}
	n.log.Info("Daemon started.", zap.String("machine", n.settings.Name), zap.String("zone", n.settings.Zone), zap.String("store", n.settings.StoreAddress))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	leading, stopLeading := context.WithCancel(serving)
	defer stopLeading()
	var group errgroup.Group
	group.Go(func() error { n.follower(n.parts.Operator.Prefix).Run(serving, n.operatorChanged); return nil })
	group.Go(func() error {
		return n.parts.Store.Run(serving, api.RelayPeer{Address: n.settings.PeerAddress, Zone: n.settings.Zone})
	})
	group.Go(func() error { return n.lease.Run(leading) })
	group.Go(func() error { return n.dispatcher.Run(leading) })
	<-ctx.Done()
	n.stop(context.WithoutCancel(ctx), front, stopLeading)
	for _, s := range servers {
		_ = s.http.Close()
	}
	stopServing()
	err = group.Wait()
	n.log.Info("Daemon stopped.", telemetry.Cause(err))
	return err
}

// server is an HTTP server on a listener.
type server struct{ http *http.Server }

func (n *Node) listen(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}}
	go func() {
		if err := s.http.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			n.log.Error("Server ended.", zap.String("address", address), telemetry.Cause(err))
		}
	}()
	return s, nil
}

// Bounds of a connection: the platform's configuration names the same figures.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// stop hands the lease over at once, turns new connections away and finishes
// what callers have sent.
func (n *Node) stop(ctx context.Context, front *server, stopLeading context.CancelFunc) {
	n.log.Info("Stop requested.", zap.Bool("leading", n.dispatcher.Leading()))
	began := time.Now()
	n.stopping.Store(true)
	front.http.SetKeepAlivesEnabled(false)
	stopLeading()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := n.lease.Release(release); err != nil {
		n.log.Warn("Lease not released.", telemetry.Cause(err))
	}
	n.parts.Store.Withdraw(release)
	cancel()
	time.Sleep(turnAway - time.Since(began))
	finish, cancel := context.WithTimeout(ctx, n.settings.StopGrace-stopMargin-time.Since(began))
	defer cancel()
	if err := front.http.Shutdown(finish); err != nil {
		n.log.Error("Stopping with calls in flight.", telemetry.Cause(err))
	}
}

// operatorChanged takes what the operator has written.
func (n *Node) operatorChanged(update table.Update) {
	if update.Err != nil {
		if n.reachable {
			n.reachable = false
			n.log.Warn("Store lost.", telemetry.Cause(update.Err))
		}
		return
	}
	n.answered.Store(update.AsOf.UnixNano())
	if !n.reachable {
		n.reachable = true
		n.log.Info("Store reached.", zap.Int64("version", update.Version))
	}
	if update.Full {
		n.zonesOut = map[string]string{}
	}
	for _, row := range update.Rows {
		n.operatorRow(row)
	}
	for _, key := range update.Deleted {
		delete(n.zonesOut, key)
	}
	if update.Full || len(update.Rows)+len(update.Deleted) > 0 {
		n.publishZones(update.Version)
	}
}

func (n *Node) operatorRow(row table.Row) {
	decoded, err := n.parts.Operator.Decode(row)
	switch {
	case err != nil:
		n.log.Error("Row of the operator ignored.", zap.String("row", row.Key), zap.Int64("version", row.Version), telemetry.Cause(err))
	case decoded.Catalogue != nil:
		taken := n.parts.Current.Offer(decoded.Catalogue)
		n.log.Info("Configuration received.", zap.Int64("configuration", decoded.Catalogue.Version), zap.Int64("version", row.Version), zap.Bool("taken", taken))
	case decoded.OutOfServiceZone != "":
		n.zonesOut[row.Key] = decoded.OutOfServiceZone
	}
}

func (n *Node) publishZones(version int64) {
	out := map[string]bool{}
	var names []string
	for _, zone := range n.zonesOut {
		out[zone] = true
		names = append(names, zone)
	}
	n.parts.Current.SetOut(out)
	n.log.Info("Zones out of service.", zap.String("zones", strings.Join(names, ",")), zap.Int64("version", version))
}

// serveReady answers the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready tells why new callers should go elsewhere.
func (n *Node) unready() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.parts.Current.Catalogue() == nil:
		return "no configuration yet"
	case time.Since(time.Unix(0, n.answered.Load())) > readyFor:
		return "the store does not answer"
	}
	return ""
}
