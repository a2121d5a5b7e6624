// Package configuration tests with real processes that an accepted configuration
// is in force everywhere within seconds and never reverts.
package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

const (
	zoneNear = "kiruna"
	zoneFar  = "pajala"
	// inForceTimeout bounds the time until a change is in force on every daemon that
	// reaches the store or a peer. The documented bound is 16 s.
	inForceTimeout = 5 * time.Second
	pollEvery      = 20 * time.Millisecond
	setupTimeout   = 30 * time.Second
	// seed makes the random faults of the stand-in repeatable.
	seed = 7
)

var (
	cluster          *harness.Cluster
	revisionObserver *observer
)

// All specs share one cluster, so that the observer follows the revisions of all daemons
// through all faults.
var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	worker := standin.WorkerConfig{Rack: "r", Cores: 8, MemoryMB: 8192, Accelerators: 4}
	cluster, err = harness.StartCluster(ctx, harness.Options{
		Zones: []harness.Zone{
			{Name: zoneNear, Region: "norrbotten", Daemons: 2, Workers: 1, Worker: worker},
			{Name: zoneFar, Region: "norrbotten", Daemons: 2, Workers: 1, Worker: worker},
		},
		Seed: seed, Proxies: true, DaemonPath: daemonPath(),
	})
	Expect(err).NotTo(HaveOccurred())
	revisionObserver = newObserver(cluster.Daemons)
	status, _ := apply(ctx, cluster.Daemons[0], 0, nextChange())
	Expect(status).To(Equal(200))
	awaitInForce(ctx, 1, cluster.Daemons...)
}, NodeTimeout(setupTimeout))

var _ = AfterSuite(func() {
	if revisionObserver != nil {
		revisionObserver.stop()
	}
	if cluster != nil {
		Expect(cluster.Stop()).To(Succeed())
	}
	Expect(harness.RemoveBinaries()).To(Succeed())
})

var _ = AfterEach(func(ctx SpecContext) {
	clearFaults()
	for _, d := range cluster.Daemons {
		if !d.Running() {
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}
	}
	Expect(cluster.WaitReady(ctx)).To(Succeed())
	awaitInForce(ctx, storedRevision(ctx), cluster.Daemons...)
	Expect(revisionObserver.violations()).To(BeEmpty())
	if CurrentSpecReport().Failed() {
		AddReportEntry("logs", ReportEntryVisibilityFailureOrVerbose, cluster.Logs())
	}
}, NodeTimeout(setupTimeout))

// clearFaults ends the faults of the store and of all proxies, and resumes paused daemons.
func clearFaults() {
	GinkgoHelper()
	Expect(cluster.Standin.ClearFaults(standin.TargetTable)).To(Succeed())
	for _, d := range cluster.Daemons {
		p := cluster.Proxies[d.ID()]
		p.SetPlatformFaults(faultproxy.Faults{})
		p.Peers.Set(faultproxy.Faults{})
		if d.Running() {
			Expect(d.Continue()).To(Succeed())
		}
	}
}

// changeID identifies a change. The token and the quota of the organisation in its
// catalogue are derived from it, so that each change can be observed.
type changeID int

var lastChange changeID

// nextChange returns an unused identifier. It must be called from one goroutine only.
func nextChange() changeID {
	lastChange++
	return lastChange
}

func (id changeID) token() string { return fmt.Sprintf("token-%d", id) }

func (id changeID) catalogue() api.Catalogue {
	return api.Catalogue{
		Organisations: []api.Organisation{{Name: "north", TokenSha256: harness.TokenHash(id.token()), QuotaAccelerators: int(id)}},
		Teams:         []api.Team{},
		Classes:       []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyZone}},
		Entries:       []api.Entry{{Name: "refits", Kind: api.EntryKindJob, Owner: "north", Class: "standard"}},
	}
}

// awaitInForce waits until a revision or a newer one is in force on the daemons, and
// returns how long it took.
func awaitInForce(ctx context.Context, revision int64, daemons ...*harness.Daemon) time.Duration {
	GinkgoHelper()
	start := time.Now()
	for _, d := range daemons {
		Eventually(func() int64 { return revisionInForce(ctx, d) }, inForceTimeout-time.Since(start), pollEvery).
			Should(BeNumerically(">=", revision), "revision of %s", d.ID())
	}
	return time.Since(start)
}
