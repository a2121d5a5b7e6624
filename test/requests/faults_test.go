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
	// stepWait bounds the wait for one step of a case.
	stepWait = 5 * time.Second
	// recoveryWait bounds the time from the end of the faults to full service.
	recoveryWait = 10 * time.Second
)

func minionTarget(id string) string { return "minions/" + id }

// eventually polls until the condition holds.
func (r *rig) eventually(what string, holds func() bool) {
	ginkgo.GinkgoHelper()
	r.Eventually(holds, stepWait, pollEvery).Should(gomega.BeTrue(), what)
}

// claimLands waits until the table service holds the claim of a key, read past all proxies.
func (r *rig) claimLands(ctx context.Context, key string) {
	ginkgo.GinkgoHelper()
	r.eventually("the claim lands", func() bool {
		_, exists, err := r.table.Get(ctx, claim.RowKey(organisation, key))
		return err == nil && exists
	})
}

// executionBegins waits until a minion runs the request of a key.
func (r *rig) executionBegins(key string) {
	ginkgo.GinkgoHelper()
	r.eventually("the execution begins", func() bool {
		counters, err := r.Standin.Minions()
		for _, m := range counters {
			if m.ByKey[key] > 0 {
				return true
			}
		}
		return err != nil
	})
}

// ownerAndOthers returns the owner of the only minion, which dispatches, and the others.
func (r *rig) ownerAndOthers(ctx context.Context) (*harness.Daemon, []*harness.Daemon) {
	ginkgo.GinkgoHelper()
	owner := r.owner(ctx, zone+"-minion-1")
	r.Expect(owner).NotTo(gomega.BeNil(), "no owner of the minion")
	var others []*harness.Daemon
	for _, d := range r.Daemons {
		if d != owner {
			others = append(others, d)
		}
	}
	return owner, others
}

func (r *rig) setTable(faults standin.Faults) {
	ginkgo.GinkgoHelper()
	r.Expect(r.Standin.SetFaults(standin.TargetTable, faults)).To(gomega.Succeed())
}

// heal ends all faults and starts killed daemons again. It returns once all
// daemons serve.
func (r *rig) heal(ctx context.Context) error {
	for _, target := range r.faultTargets() {
		if err := r.Standin.ClearFaults(target); err != nil {
			return err
		}
	}
	for _, p := range r.Proxies {
		p.SetPlatformFaults(faultproxy.Faults{})
		p.Peers.Set(faultproxy.Faults{})
	}
	for _, p := range r.minions {
		p.Set(faultproxy.Faults{})
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryWait)
	defer cancel()
	var errs []error
	for _, d := range r.Daemons {
		if d.Running() {
			errs = append(errs, d.Continue())
		} else {
			errs = append(errs, r.ReplaceDaemon(d))
		}
	}
	errs = append(errs, r.WaitReady(ctx), r.awaitServing(ctx))
	return eris.Wrap(errors.Join(errs...), "service after the faults")
}

func (r *rig) faultTargets() []string {
	targets := []string{standin.TargetTable, standin.TargetObjects, standin.TargetVMs}
	for i := range r.minionCount {
		targets = append(targets, minionTarget(r.minionID(i)))
	}
	return targets
}

// expectTruth ends the faults, expects the service to recover and every answer to be true.
func (r *rig) expectTruth(ctx context.Context) {
	ginkgo.GinkgoHelper()
	r.Expect(r.heal(ctx)).To(gomega.Succeed())
	violations, err := r.violations()
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(violations).To(gomega.BeEmpty())
}

// expectExecutions expects the number of executions of a key.
func (r *rig) expectExecutions(key string, want int) {
	ginkgo.GinkgoHelper()
	counts, err := r.executions()
	r.Expect(err).NotTo(gomega.HaveOccurred())
	r.Expect(counts[key]).To(gomega.Equal(want), "executions of "+key)
}

// expectUnknown expects that no retry is told that the request ran, and that all
// are told unknown once the service has recovered. A daemon that reaches no
// minion may refuse a retry before it looks at the claim.
func (r *rig) expectUnknown(ctx context.Context, key string, c call) {
	ginkgo.GinkgoHelper()
	r.Expect(r.retryEverywhere(ctx, key, c)).To(gomega.HaveEach(gomega.BeElementOf(api.OutcomeUnknown, api.OutcomeNotRun)))
	r.Expect(r.heal(ctx)).To(gomega.Succeed())
	r.Expect(r.retryEverywhere(ctx, key, c)).To(gomega.HaveEach(api.OutcomeUnknown))
}

// retryEverywhere submits a key through each daemon in turn.
func (r *rig) retryEverywhere(ctx context.Context, key string, c call) []api.Outcome {
	var told []api.Outcome
	for _, d := range r.running() {
		told = append(told, r.submit(ctx, d, key, c).Outcome())
	}
	return told
}
