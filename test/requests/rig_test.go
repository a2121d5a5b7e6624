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

	// followEvery replaces the intervals at which daemons read the VM list and
	// the table, so that clusters are soon in service.
	followEvery = 100 * time.Millisecond
	// servingWait bounds the time until every daemon serves.
	servingWait = 20 * time.Second
	pollEvery   = 10 * time.Millisecond
	// ownershipWait is the time after which all daemons that see each other have
	// shared out the minions alike; they do so every 25 ms.
	ownershipWait = 100 * time.Millisecond
)

// size describes a cluster of one zone.
type size struct {
	daemons int
	minions int
	slots   int // of each minion; 0 takes the default
	// proxies puts fault proxies between daemons, platform and peers.
	proxies bool
	// minionProxies puts fault proxies in front of the minions.
	minionProxies bool
	vmListLag     time.Duration
}

// rig is a cluster with clients for its daemons and a ledger of their answers.
type rig struct {
	*harness.Cluster
	gomega.Gomega // reports the failures of this cluster's spec or case
	callers       map[string]*client.Client
	operators     map[string]*client.Client
	minions       map[string]*faultproxy.Proxy
	ledger        *ledger
	// minionCount is the number of minions.
	minionCount int
	table       *refplatform.TableClient
	stop        context.CancelFunc
	proxies     errgroup.Group
}

// newRig starts a cluster for one spec and waits until every daemon serves.
func newRig(s size) *rig {
	ginkgo.GinkgoHelper()
	r, err := startRig(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		if ginkgo.CurrentSpecReport().Failed() {
			ginkgo.AddReportEntry("logs", r.Logs(), ginkgo.ReportEntryVisibilityFailureOrVerbose)
		}
		gomega.Expect(r.close()).To(gomega.Succeed())
	})
	return r
}

func startRig(s size) (*rig, error) {
	minion := harness.Zone{Name: zone, Region: "north", Daemons: s.daemons, Minions: s.minions}
	minion.Minion.Slots = s.slots
	cluster, err := harness.StartCluster(context.Background(), harness.Options{
		Zones: []harness.Zone{minion}, VMListLag: s.vmListLag, Seed: 1, Proxies: s.proxies, DaemonPath: daemonPath(),
		Adjust: func(settings *api.Settings) {
			settings.Timing.PollEvery, settings.Timing.VMListEvery = api.Duration(followEvery), api.Duration(followEvery)
			if s.slots > 0 {
				settings.Limits.MinionSlots = s.slots
			}
		},
	})
	if err != nil {
		return nil, err
	}
	r := &rig{
		Cluster: cluster, Gomega: gomega.NewGomega(ginkgo.Fail), callers: map[string]*client.Client{}, operators: map[string]*client.Client{},
		minions: map[string]*faultproxy.Proxy{}, ledger: newLedger(), minionCount: s.minions,
	}
	if r.table, err = refplatform.NewTable(refplatform.Config{URL: "http://" + cluster.Standin.Addresses.Table}); err != nil {
		return nil, errors.Join(err, cluster.Stop())
	}
	for _, d := range cluster.Daemons {
		r.callers[d.ID()] = client.New(d.CallersURL(), callerToken)
		r.operators[d.ID()] = client.New(d.OperatorsURL(), harness.OperatorToken)
	}
	if err := r.prepare(s); err != nil {
		return nil, errors.Join(err, r.close())
	}
	return r, nil
}

func (r *rig) prepare(s size) error {
	ctx, cancel := context.WithTimeout(context.Background(), servingWait)
	defer cancel()
	if s.minionProxies {
		if err := r.addMinionProxies(s.minions); err != nil {
			return err
		}
	}
	applied := r.operators[r.Daemons[0].ID()].ApplyCatalogue(ctx, api.CatalogueApply{Catalogue: catalogue(), ChangedBy: "test"})
	if !applied.OK() {
		return eris.Errorf("catalogue not applied: %+v", applied)
	}
	return r.awaitServing(ctx)
}

// addMinionProxies lists each minion at the address of a proxy, as a new instance.
func (r *rig) addMinionProxies(count int) error {
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	list, err := r.Standin.VMs()
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
		r.proxies.Go(func() error { return proxy.Run(ctx) })
		r.minions[vm.ID] = proxy
		vm.Address, vm.Instance = proxy.Address(), ""
		if err := r.Standin.PutVM(vm); err != nil {
			return err
		}
	}
	if len(r.minions) != count {
		return eris.Errorf("%d of %d minions listed", len(r.minions), count)
	}
	time.Sleep(3 * followEvery) // the daemons read the list
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

// awaitServing waits until every running daemon sees all others and serves both
// kinds of requests.
func (r *rig) awaitServing(ctx context.Context) error {
	var group errgroup.Group
	for _, d := range r.running() {
		group.Go(func() error { return r.awaitDaemon(ctx, d) })
	}
	err := group.Wait()
	time.Sleep(ownershipWait)
	return err
}

func (r *rig) awaitDaemon(ctx context.Context, d *harness.Daemon) error {
	var last any
	for {
		status := r.operators[d.ID()].Status(ctx)
		last = status
		if status.OK() && livePeers(status.Value) >= len(r.running())-1 {
			probes := []client.Answer[api.RequestResult]{
				r.submit(ctx, d, newKey("probe"), call{deadline: time.Second}),
				r.submit(ctx, d, newKey("probe"), call{deadline: time.Second, nonIdempotent: true}),
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

func (r *rig) minionID(i int) string { return fmt.Sprintf("%s-minion-%d", zone, i+1) }

func (r *rig) running() []*harness.Daemon {
	var running []*harness.Daemon
	for _, d := range r.Daemons {
		if d.Running() {
			running = append(running, d)
		}
	}
	return running
}

// owner returns the daemon that owns a minion, as any running daemon sees it.
func (r *rig) owner(ctx context.Context, minion string) *harness.Daemon {
	for _, d := range r.running() {
		list := r.operators[d.ID()].Minions(ctx)
		for _, m := range list.Value.Minions {
			if m.ID == minion && m.Owner != "" {
				return r.Daemon(m.Owner)
			}
		}
	}
	return nil
}

// close kills the daemons, whose graceful stop is the subject of its own spec,
// and stops the rest.
func (r *rig) close() error {
	for _, d := range r.running() {
		_ = d.Kill()
	}
	for _, c := range r.callers {
		c.Close()
	}
	for _, c := range r.operators {
		c.Close()
	}
	r.table.Close()
	if r.stop != nil {
		r.stop()
	}
	return errors.Join(r.proxies.Wait(), r.Stop())
}
