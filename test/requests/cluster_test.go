package requests_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	organisation = "crew"
	callerToken  = "crew-token"

	standardEntry = "refit"
	urgentEntry   = "decode"
	batchEntry    = "archive"

	// zone is the availability zone of clusters with one zone.
	zone = "kiruna"

	// refreshEvery is the interval at which daemons read the VM list and the table,
	// shorter than the default so that clusters start fast.
	refreshEvery = 100 * time.Millisecond
	// servingTimeout bounds the wait until every daemon serves requests.
	servingTimeout = 20 * time.Second
	pollEvery      = 10 * time.Millisecond
	// ownershipSettleTime is the time after which daemons that know each other agree on
	// the owners of the minions: they recompute the owners every 25 ms.
	ownershipSettleTime = 100 * time.Millisecond
)

// clusterConfig describes a cluster of one zone.
type clusterConfig struct {
	daemons int
	minions int
	slots   int // of each minion; 0 means the default
	// proxies starts the fault proxies of harness.Options.Proxies.
	proxies bool
	// minionProxies starts fault proxies in front of the minions.
	minionProxies bool
	vmListLag     time.Duration
}

// testCluster is a cluster with clients for its daemons and a record of the
// outcomes that they returned.
type testCluster struct {
	*harness.Cluster
	gomega.Gomega // reports failed expectations of the spec or case that uses this cluster
	callers       map[string]*client.Client
	operators     map[string]*client.Client
	minionProxies map[string]*faultproxy.Proxy
	outcomes      *outcomeRecord
	minionCount   int
	table         *refplatform.TableClient
	stopProxies   context.CancelFunc
	proxies       errgroup.Group
}

// newCluster starts a cluster for one spec, waits until every daemon serves and
// stops the cluster after the spec.
func newCluster(config clusterConfig) *testCluster {
	ginkgo.GinkgoHelper()
	tc, err := startCluster(config)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		if ginkgo.CurrentSpecReport().Failed() {
			ginkgo.AddReportEntry("logs", tc.Logs(), ginkgo.ReportEntryVisibilityFailureOrVerbose)
		}
		gomega.Expect(tc.close()).To(gomega.Succeed())
	})
	return tc
}

func startCluster(config clusterConfig) (*testCluster, error) {
	zoneConfig := harness.Zone{Name: zone, Region: "north", Daemons: config.daemons, Minions: config.minions}
	zoneConfig.Minion.Slots = config.slots
	cluster, err := harness.StartCluster(context.Background(), harness.Options{
		Zones: []harness.Zone{zoneConfig}, VMListLag: config.vmListLag, Seed: 1, Proxies: config.proxies, DaemonPath: daemonPath(),
		Adjust: func(settings *api.Settings) {
			settings.Timing.PollEvery, settings.Timing.VMListEvery = api.Duration(refreshEvery), api.Duration(refreshEvery)
			if config.slots > 0 {
				settings.Limits.MinionSlots = config.slots
			}
		},
	})
	if err != nil {
		return nil, err
	}
	tc := &testCluster{
		Cluster: cluster, Gomega: gomega.NewGomega(ginkgo.Fail), callers: map[string]*client.Client{}, operators: map[string]*client.Client{},
		minionProxies: map[string]*faultproxy.Proxy{}, outcomes: newOutcomeRecord(), minionCount: config.minions,
	}
	if tc.table, err = refplatform.NewTable(refplatform.Config{URL: "http://" + cluster.Standin.Addresses.Table}); err != nil {
		return nil, errors.Join(err, cluster.Stop())
	}
	for _, d := range cluster.Daemons {
		tc.callers[d.ID()] = client.New(d.CallersURL(), callerToken)
		tc.operators[d.ID()] = client.New(d.OperatorsURL(), harness.OperatorToken)
	}
	if err := tc.setUp(config); err != nil {
		return nil, errors.Join(err, tc.close())
	}
	return tc, nil
}

func (tc *testCluster) setUp(config clusterConfig) error {
	ctx, cancel := context.WithTimeout(context.Background(), servingTimeout)
	defer cancel()
	if config.minionProxies {
		if err := tc.addMinionProxies(config.minions); err != nil {
			return err
		}
	}
	applied := tc.operators[tc.Daemons[0].ID()].ApplyCatalogue(ctx, api.CatalogueApply{Catalogue: catalogue(), ChangedBy: "test"})
	if !applied.OK() {
		return eris.Errorf("catalogue not applied: %+v", applied)
	}
	return tc.awaitServing(ctx)
}

// addMinionProxies starts a proxy for each minion and lists the minion with the
// address of the proxy, as a new instance.
func (tc *testCluster) addMinionProxies(count int) error {
	var ctx context.Context
	ctx, tc.stopProxies = context.WithCancel(context.Background())
	list, err := tc.Standin.VMs()
	if err != nil {
		return err
	}
	for _, vm := range list.Vms {
		if vm.Kind != api.VMKindMinion {
			continue
		}
		proxy, err := faultproxy.New(faultproxy.Config{Target: vm.Address})
		if err != nil {
			return err
		}
		tc.proxies.Go(func() error { return proxy.Run(ctx) })
		tc.minionProxies[vm.ID] = proxy
		vm.Address, vm.Instance = proxy.Address(), ""
		if err := tc.Standin.PutVM(vm); err != nil {
			return err
		}
	}
	if len(tc.minionProxies) != count {
		return eris.Errorf("%d of %d minions are in the VM list", len(tc.minionProxies), count)
	}
	time.Sleep(3 * refreshEvery) // until the daemons have read the list
	return nil
}

func catalogue() api.Catalogue {
	class := func(name string, urgency api.Urgency) api.Class {
		return api.Class{Name: name, Urgency: urgency, Adjacency: api.AdjacencyZone}
	}
	entry := func(name, class string) api.Entry {
		return api.Entry{Name: name, Kind: api.EntryKindService, Owner: organisation, Class: class}
	}
	return api.Catalogue{
		Organisations: []api.Organisation{{Name: organisation, TokenSha256: harness.TokenHash(callerToken)}},
		Teams:         []api.Team{},
		Classes:       []api.Class{class("standard", api.Standard), class("urgent", api.Urgent), class("batch", api.Batch)},
		Entries:       []api.Entry{entry(standardEntry, "standard"), entry(urgentEntry, "urgent"), entry(batchEntry, "batch")},
	}
}

// awaitServing waits until every running daemon knows all others as live and
// serves idempotent and non-idempotent requests, and until the daemons agree on the
// owners of the minions.
func (tc *testCluster) awaitServing(ctx context.Context) error {
	var group errgroup.Group
	for _, d := range tc.runningDaemons() {
		group.Go(func() error { return tc.awaitDaemonServing(ctx, d) })
	}
	err := group.Wait()
	time.Sleep(ownershipSettleTime)
	return err
}

func (tc *testCluster) awaitDaemonServing(ctx context.Context, d *harness.Daemon) error {
	var last any
	for {
		status := tc.operators[d.ID()].Status(ctx)
		last = status
		if status.OK() && livePeers(status.Value) >= len(tc.runningDaemons())-1 {
			probes := []client.Answer[api.RequestResult]{
				tc.submit(ctx, d, newKey("probe"), requestSpec{deadline: time.Second}),
				tc.submit(ctx, d, newKey("probe"), requestSpec{deadline: time.Second, nonIdempotent: true}),
			}
			last = probes
			if probes[0].Outcome() == api.OutcomeRan && probes[1].Outcome() == api.OutcomeRan {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%s does not serve: %+v", d.ID(), last)
		case <-time.After(pollEvery):
		}
	}
}

func livePeers(status api.Status) int {
	live := 0
	for _, p := range status.Peers {
		if p.State == "live" {
			live++
		}
	}
	return live
}

func (tc *testCluster) minionID(i int) string { return fmt.Sprintf("%s-minion-%d", zone, i+1) }

func (tc *testCluster) runningDaemons() []*harness.Daemon {
	var running []*harness.Daemon
	for _, d := range tc.Daemons {
		if d.Running() {
			running = append(running, d)
		}
	}
	return running
}

// owner returns the daemon that owns a minion according to the first running daemon
// that knows an owner, or nil.
func (tc *testCluster) owner(ctx context.Context, minion string) *harness.Daemon {
	for _, d := range tc.runningDaemons() {
		list := tc.operators[d.ID()].Minions(ctx)
		for _, m := range list.Value.Minions {
			if m.ID == minion && m.Owner != "" {
				return tc.Daemon(m.Owner)
			}
		}
	}
	return nil
}

// close kills the daemons, since a spec of its own covers their graceful stop, and
// stops everything else.
func (tc *testCluster) close() error {
	for _, d := range tc.runningDaemons() {
		_ = d.Kill()
	}
	for _, c := range tc.callers {
		c.Close()
	}
	for _, c := range tc.operators {
		c.Close()
	}
	tc.table.Close()
	if tc.stopProxies != nil {
		tc.stopProxies()
	}
	return errors.Join(tc.proxies.Wait(), tc.Stop())
}
