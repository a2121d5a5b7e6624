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
	// inForceWait bounds the time until a change is in force on every daemon
	// that reaches the store or a peer; the stated bound is 16 s.
	inForceWait = 5 * time.Second
	pollEvery   = 20 * time.Millisecond
	setupWait   = 30 * time.Second
	// seed makes the random faults of the stand-in repeatable.
	seed = 7
)

var (
	cluster  *harness.Cluster
	observed *observer
)

// One cluster serves all specs, so that the observer sees the revisions of all
// daemons across all faults.
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
	observed = newObserver(cluster.Daemons)
	status, _ := apply(ctx, cluster.Daemons[0], 0, nextMark())
	Expect(status).To(Equal(200))
	awaitInForce(ctx, 1, cluster.Daemons...)
}, NodeTimeout(setupWait))

var _ = AfterSuite(func() {
	if observed != nil {
		observed.stop()
	}
	if cluster != nil {
		Expect(cluster.Stop()).To(Succeed())
	}
	Expect(harness.RemoveBinaries()).To(Succeed())
})

var _ = AfterEach(func(ctx SpecContext) {
	heal()
	for _, d := range cluster.Daemons {
		if !d.Running() {
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}
	}
	Expect(cluster.WaitReady(ctx)).To(Succeed())
	awaitInForce(ctx, stored(ctx), cluster.Daemons...)
	Expect(observed.violations()).To(BeEmpty())
	if CurrentSpecReport().Failed() {
		AddReportEntry("logs", ReportEntryVisibilityFailureOrVerbose, cluster.Logs())
	}
}, NodeTimeout(setupWait))

// heal ends all faults of proxies, of the stand-in, and of paused processes.
func heal() {
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

// mark tells one change from another: it sets the token and the quota of an organisation.
type mark int

var lastMark mark

// nextMark is called from one goroutine.
func nextMark() mark {
	lastMark++
	return lastMark
}

func (m mark) token() string { return fmt.Sprintf("token-%d", m) }

func (m mark) catalogue() api.Catalogue {
	return api.Catalogue{
		Organisations: []api.Organisation{{Name: "north", TokenSha256: harness.TokenHash(m.token()), QuotaAccelerators: int(m)}},
		Teams:         []api.Team{},
		Classes:       []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyZone}},
		Entries:       []api.Entry{{Name: "refits", Kind: api.EntryKindJob, Owner: "north", Class: "standard"}},
	}
}

// awaitInForce waits until a revision is in force and returns how long it took.
func awaitInForce(ctx context.Context, revision int64, daemons ...*harness.Daemon) time.Duration {
	GinkgoHelper()
	began := time.Now()
	for _, d := range daemons {
		Eventually(func() int64 { return held(ctx, d) }, inForceWait-time.Since(began), pollEvery).
			Should(BeNumerically(">=", revision), "revision of %s", d.ID())
	}
	return time.Since(began)
}
