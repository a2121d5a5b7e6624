// Package guarantees tests with real processes that guaranteed capacity can always be
// reclaimed, that broken workers are distinguished from broken jobs, that jobs that can
// never run are refused, and that explanations name what a job waits for.
package guarantees

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

func TestGuarantees(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guarantees")
}

var _ = AfterSuite(func() { Expect(harness.RemoveBinaries()).To(Succeed()) })

const (
	zone = "kiruna"
	// firstWorker is the worker in which the specs inject faults.
	firstWorker = zone + "-worker-1"
	// startBound is the documented bound on the time from the submission of a guaranteed
	// gang to its start: checkpoint_wait, start_wait and the time to plan.
	startBound = 8800 * time.Millisecond
	// eventualTimeout bounds the wait for conditions without a documented bound.
	eventualTimeout = 15 * time.Second
	specTimeout     = 60 * time.Second
	pollEvery       = 20 * time.Millisecond
	// renewEvery is shorter than the default, so that daemons learn of the ends of tasks
	// sooner. No documented bound depends on it.
	renewEvery         = 400 * time.Millisecond
	defaultReportEvery = 30 * time.Second
	// shortReportEvery is shorter than the default, for specs in which no other calls are
	// sent to a lost worker: only a missing report shows the loss, which is then known
	// sooner.
	shortReportEvery = 2 * time.Second
	// acceleratorsPerWorker is the number of accelerators of each worker.
	acceleratorsPerWorker = 4
	// seed is the seed of the stand-in and of the randomised run.
	seed = 11
)

// Organisations of the catalogue.
const (
	owner       = "owner"
	secondOwner = "second"
	borrower    = "borrower"
)

func token(organisation string) string { return organisation + "-token" }

// wholeWorkers returns the shape of a guarantee of whole workers, one for each task.
func wholeWorkers(tasks int) api.Shape {
	return api.Shape{Zone: zone, Tasks: tasks, Resources: api.Resources{Cores: 1, Accelerators: acceleratorsPerWorker}, Adjacency: api.AdjacencyZone}
}

// catalogue returns a catalogue that guarantees the given number of whole workers to
// each organisation.
func catalogue(guaranteed map[string]int) api.Catalogue {
	c := api.Catalogue{
		Teams:   []api.Team{},
		Classes: []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyZone}},
		Entries: []api.Entry{{Name: "work", Kind: api.EntryKindJob, Owner: owner, Class: "standard", Callers: []string{"*"}},
			{Name: "plans", Kind: api.EntryKindService, Owner: owner, Class: "standard"}},
	}
	for _, name := range []string{owner, secondOwner, borrower} {
		o := api.Organisation{Name: name, TokenSha256: harness.TokenHash(token(name))}
		if n := guaranteed[name]; n > 0 {
			o.Guarantees = []api.Shape{wholeWorkers(n)}
		}
		c.Organisations = append(c.Organisations, o)
	}
	return c
}

// zoneUnderTest is the cluster of one spec.
type zoneUnderTest struct{ *harness.Cluster }

// startCluster starts a cluster for one spec and applies the catalogue.
func startCluster(ctx context.Context, workers int, c api.Catalogue) *zoneUnderTest {
	GinkgoHelper()
	return startClusterReporting(ctx, workers, c, defaultReportEvery)
}

// startClusterReporting is startCluster with the given report interval of the workers.
func startClusterReporting(ctx context.Context, workers int, c api.Catalogue, reportEvery time.Duration) *zoneUnderTest {
	GinkgoHelper()
	cluster, err := harness.StartCluster(ctx, harness.Options{
		Zones: []harness.Zone{{
			Name: zone, Region: "norrbotten", Daemons: 3, Workers: workers, Minions: 1,
			Worker: standin.WorkerConfig{Rack: "r", Cores: 16, MemoryMB: 16384, Accelerators: acceleratorsPerWorker},
		}},
		Seed: seed, DaemonPath: daemonPath(),
		Adjust: func(s *api.Settings) {
			s.Timing.TaskRenewEvery = api.Duration(renewEvery)
			s.Timing.ReportEvery = api.Duration(reportEvery)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	z := &zoneUnderTest{cluster}
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", ReportEntryVisibilityFailureOrVerbose, cluster.Logs())
		}
		// A graceful shutdown of the daemons takes seconds and is not tested here.
		for _, d := range cluster.Daemons {
			if d.Running() {
				Expect(d.Kill()).To(Succeed())
			}
		}
		Expect(cluster.Stop()).To(Succeed())
	})
	z.apply(ctx, c)
	for _, d := range z.Daemons {
		Eventually(func() int {
			return call(ctx, http.MethodGet, d.CallersURL()+"/v1/jobs", token(owner), nil, nil)
		}, eventualTimeout, pollEvery).Should(Equal(http.StatusOK))
	}
	return z
}

// apply replaces the catalogue.
func (z *zoneUnderTest) apply(ctx context.Context, c api.Catalogue) {
	GinkgoHelper()
	status, problem := z.tryApply(ctx, c)
	Expect(status).To(Equal(http.StatusOK), problem.Detail)
}

// tryApply tries to replace the catalogue and returns the status and the problem, if any.
func (z *zoneUnderTest) tryApply(ctx context.Context, c api.Catalogue) (int, api.Problem) {
	GinkgoHelper()
	d := z.runningDaemon()
	var current api.Configuration
	Expect(call(ctx, http.MethodGet, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken, nil, &current)).To(Equal(http.StatusOK))
	var problem api.Problem
	status := call(ctx, http.MethodPut, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken,
		api.CatalogueApply{ExpectedRevision: current.Head.Revision, Catalogue: c, ChangedBy: "test"}, &problem)
	return status, problem
}

// runningDaemon returns the first running daemon.
func (z *zoneUnderTest) runningDaemon() *harness.Daemon {
	for _, d := range z.Daemons {
		if d.Running() {
			return d
		}
	}
	panic("no daemon is running")
}

// planner returns the daemon that is the planner of the zone.
func (z *zoneUnderTest) planner(ctx context.Context) *harness.Daemon {
	GinkgoHelper()
	var status api.Status
	Eventually(func() string {
		call(ctx, http.MethodGet, z.runningDaemon().OperatorsURL()+"/v1/status", harness.OperatorToken, nil, &status)
		return status.Planner
	}, eventualTimeout, pollEvery).ShouldNot(BeEmpty())
	return z.Daemon(status.Planner)
}
