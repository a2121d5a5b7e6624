package requests_test

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// stepTimeout bounds the wait for one condition of a case.
	stepTimeout = 5 * time.Second
	// recoveryTimeout bounds the time from the end of the faults until all daemons
	// serve.
	recoveryTimeout = 10 * time.Second
)

func minionTarget(id string) string { return "minions/" + id }

// eventually expects check to return true within stepTimeout.
func (tc *testCluster) eventually(condition string, check func() bool) {
	ginkgo.GinkgoHelper()
	tc.Eventually(check, stepTimeout, pollEvery).Should(gomega.BeTrue(), condition)
}

// awaitClaim waits until the claim of a key is stored. It reads the table service
// directly, so that the faults of the proxies do not affect it.
func (tc *testCluster) awaitClaim(ctx context.Context, key string) {
	ginkgo.GinkgoHelper()
	tc.eventually("the claim is applied", func() bool {
		_, exists, err := tc.table.Get(ctx, claim.RowKey(organisation, key))
		return err == nil && exists
	})
}

// awaitExecution waits until a minion has started to run the request of a key.
func (tc *testCluster) awaitExecution(key string) {
	ginkgo.GinkgoHelper()
	tc.eventually("the execution begins", func() bool {
		counters, err := tc.Standin.Minions()
		for _, m := range counters {
			if m.ByKey[key] > 0 {
				return true
			}
		}
		return err != nil
	})
}

// ownerAndOthers returns the daemon that owns the only minion, and so dispatches
// to it, and the other daemons.
func (tc *testCluster) ownerAndOthers(ctx context.Context) (*harness.Daemon, []*harness.Daemon) {
	ginkgo.GinkgoHelper()
	owner := tc.owner(ctx, zone+"-minion-1")
	tc.Expect(owner).NotTo(gomega.BeNil(), "no owner of the minion")
	var others []*harness.Daemon
	for _, d := range tc.Daemons {
		if d != owner {
			others = append(others, d)
		}
	}
	return owner, others
}

func (tc *testCluster) setTableFaults(faults standin.Faults) {
	ginkgo.GinkgoHelper()
	tc.Expect(tc.Standin.SetFaults(standin.TargetTable, faults)).To(gomega.Succeed())
}

// restoreService ends all faults, continues frozen daemons and replaces killed
// ones. It returns when all daemons serve.
func (tc *testCluster) restoreService(ctx context.Context) error {
	for _, target := range tc.faultTargets() {
		if err := tc.Standin.ClearFaults(target); err != nil {
			return err
		}
	}
	for _, p := range tc.Proxies {
		p.SetPlatformFaults(faultproxy.Faults{})
		p.Peers.Set(faultproxy.Faults{})
	}
	for _, p := range tc.minionProxies {
		p.Set(faultproxy.Faults{})
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	var errs []error
	for _, d := range tc.Daemons {
		if d.Running() {
			errs = append(errs, d.Continue())
		} else {
			errs = append(errs, tc.ReplaceDaemon(d))
		}
	}
	errs = append(errs, tc.WaitReady(ctx), tc.awaitServing(ctx))
	return eris.Wrap(errors.Join(errs...), "restore service after the faults")
}

func (tc *testCluster) faultTargets() []string {
	targets := []string{standin.TargetTable, standin.TargetObjects, standin.TargetVMs}
	for i := range tc.minionCount {
		targets = append(targets, minionTarget(tc.minionID(i)))
	}
	return targets
}

// expectNoViolations ends the faults, expects the service to recover and expects no
// answer to contradict the executions.
func (tc *testCluster) expectNoViolations(ctx context.Context) {
	ginkgo.GinkgoHelper()
	tc.Expect(tc.restoreService(ctx)).To(gomega.Succeed())
	violations, err := tc.violations()
	tc.Expect(err).NotTo(gomega.HaveOccurred())
	tc.Expect(violations).To(gomega.BeEmpty())
}

// expectExecutions expects a key to have been executed want times.
func (tc *testCluster) expectExecutions(key string, want int) {
	ginkgo.GinkgoHelper()
	counts, err := tc.executions()
	tc.Expect(err).NotTo(gomega.HaveOccurred())
	tc.Expect(counts[key]).To(gomega.Equal(want), "executions of "+key)
}

// expectUnknown expects that each retry returns unknown or not_run: a daemon that
// reaches no minion may refuse a retry without reading the claim. It then ends all
// faults, continues frozen daemons, replaces killed ones, and expects that all retries
// return unknown.
func (tc *testCluster) expectUnknown(ctx context.Context, key string, spec requestSpec) {
	ginkgo.GinkgoHelper()
	tc.Expect(tc.submitToAll(ctx, key, spec)).To(gomega.HaveEach(gomega.BeElementOf(api.OutcomeUnknown, api.OutcomeNotRun)))
	tc.Expect(tc.restoreService(ctx)).To(gomega.Succeed())
	tc.Expect(tc.submitToAll(ctx, key, spec)).To(gomega.HaveEach(api.OutcomeUnknown))
}

// submitToAll submits a key to each running daemon in turn.
func (tc *testCluster) submitToAll(ctx context.Context, key string, spec requestSpec) []api.Outcome {
	var outcomes []api.Outcome
	for _, d := range tc.runningDaemons() {
		outcomes = append(outcomes, tc.submit(ctx, d, key, spec).Outcome())
	}
	return outcomes
}
