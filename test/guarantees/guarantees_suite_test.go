// Package guarantees tests with real processes that guaranteed capacity can
// always be reclaimed, that failing workers and impossible jobs are told apart,
// and that explanations name what holds a job up.
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
	// firstWorker is the worker that gets the faults.
	firstWorker = zone + "-worker-1"
	// startBound is the stated bound from the submission of a guaranteed gang to
	// its start: checkpoint_wait, start_wait and the time of a plan.
	startBound = 8800 * time.Millisecond
	// settleWait bounds what has no stated bound.
	settleWait = 15 * time.Second
	specWait   = 60 * time.Second
	pollEvery  = 20 * time.Millisecond
	// renewEvery is shorter than the default, so that the ends of tasks are seen
	// sooner. No stated bound depends on it.
	renewEvery         = 400 * time.Millisecond
	defaultReportEvery = 30 * time.Second
	// soonReport lets a spec see sooner that a worker is lost to which nothing is sent.
	soonReport = 2 * time.Second
	// perWorker is the number of accelerators of a worker.
	perWorker = 4
	// seed makes the randomised run repeatable.
	seed = 11
)

// Organisations of the catalogue.
const (
	owner    = "owner"
	second   = "second"
	borrower = "borrower"
)

func token(organisation string) string { return organisation + "-token" }

func shape(tasks int) api.Shape {
	return api.Shape{Zone: zone, Tasks: tasks, Resources: api.Resources{Cores: 1, Accelerators: perWorker}, Adjacency: api.AdjacencyZone}
}

// catalogue guarantees a number of whole workers to organisations.
func catalogue(guaranteed map[string]int) api.Catalogue {
	c := api.Catalogue{
		Teams:   []api.Team{},
		Classes: []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyZone}},
		Entries: []api.Entry{{Name: "work", Kind: api.EntryKindJob, Owner: owner, Class: "standard", Callers: []string{"*"}},
			{Name: "plans", Kind: api.EntryKindService, Owner: owner, Class: "standard"}},
	}
	for _, name := range []string{owner, second, borrower} {
		o := api.Organisation{Name: name, TokenSha256: harness.TokenHash(token(name))}
		if n := guaranteed[name]; n > 0 {
			o.Guarantees = []api.Shape{shape(n)}
		}
		c.Organisations = append(c.Organisations, o)
	}
	return c
}

// zoneUnderTest is the cluster of one spec.
type zoneUnderTest struct{ *harness.Cluster }

// start starts a cluster of its own for the spec and applies the catalogue.
func start(ctx context.Context, workers int, c api.Catalogue) *zoneUnderTest {
	GinkgoHelper()
	return startReporting(ctx, workers, c, defaultReportEvery)
}

// startReporting does the same with another interval of the workers' reports.
func startReporting(ctx context.Context, workers int, c api.Catalogue, reportEvery time.Duration) *zoneUnderTest {
	GinkgoHelper()
	cluster, err := harness.StartCluster(ctx, harness.Options{
		Zones: []harness.Zone{{
			Name: zone, Region: "norrbotten", Daemons: 3, Workers: workers, Minions: 1,
			Worker: standin.WorkerConfig{Rack: "r", Cores: 16, MemoryMB: 16384, Accelerators: perWorker},
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
		// A graceful shutdown of the daemons takes seconds and is not under test.
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
		}, settleWait, pollEvery).Should(Equal(http.StatusOK))
	}
	return z
}

// apply replaces the catalogue.
func (z *zoneUnderTest) apply(ctx context.Context, c api.Catalogue) {
	GinkgoHelper()
	status, problem := z.tryApply(ctx, c)
	Expect(status).To(Equal(http.StatusOK), problem.Detail)
}

func (z *zoneUnderTest) tryApply(ctx context.Context, c api.Catalogue) (int, api.Problem) {
	GinkgoHelper()
	d := z.live()
	var current api.Configuration
	Expect(call(ctx, http.MethodGet, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken, nil, &current)).To(Equal(http.StatusOK))
	var problem api.Problem
	status := call(ctx, http.MethodPut, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken,
		api.CatalogueApply{ExpectedRevision: current.Head.Revision, Catalogue: c, ChangedBy: "test"}, &problem)
	return status, problem
}

// live returns a daemon that runs.
func (z *zoneUnderTest) live() *harness.Daemon {
	for _, d := range z.Daemons {
		if d.Running() {
			return d
		}
	}
	panic("no daemon runs")
}

// planner returns the daemon that plans.
func (z *zoneUnderTest) planner(ctx context.Context) *harness.Daemon {
	GinkgoHelper()
	var status api.Status
	Eventually(func() string {
		call(ctx, http.MethodGet, z.live().OperatorsURL()+"/v1/status", harness.OperatorToken, nil, &status)
		return status.Planner
	}, settleWait, pollEvery).ShouldNot(BeEmpty())
	return z.Daemon(status.Planner)
}
