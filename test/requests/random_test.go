package requests_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const (
	// randomSeed makes the choice of faults, of their targets and of times
	// reproducible.
	randomSeed = 20261204
	// parallelClusters is the number of clusters that run trials in parallel; each
	// runs one trial at a time.
	parallelClusters = 6
	pairTrials       = 52 // trials with two faults
	// trialRequests is the number of requests of a trial. They are distributed over
	// trialTime, and the starts of the faults over faultTime.
	trialRequests = 16
	trialTime     = 400 * time.Millisecond
	faultTime     = 300 * time.Millisecond
	trialDeadline = 600 * time.Millisecond
	// minPairShare is the required share of pairs of faults without a violation.
	minPairShare = 0.98
)

// fault is a fault of the random trials. It lasts until restoreService ends it.
type fault struct {
	name   string
	inject func(tc *testCluster, random *rand.Rand) error
}

func tableFault(name string, faults standin.Faults) fault {
	return fault{name, func(tc *testCluster, _ *rand.Rand) error { return tc.Standin.SetFaults(standin.TargetTable, faults) }}
}

func minionFault(name string, faults standin.Faults) fault {
	return fault{name, func(tc *testCluster, random *rand.Rand) error {
		return tc.Standin.SetFaults(minionTarget(tc.minionID(random.IntN(tc.minionCount))), faults)
	}}
}

func proxyFault(name string, peers bool, faults faultproxy.Faults) fault {
	return fault{name, func(tc *testCluster, random *rand.Rand) error {
		proxies := tc.Proxies[tc.Daemons[random.IntN(len(tc.Daemons))].ID()]
		if peers {
			proxies.Peers.Set(faults)
		} else {
			proxies.SetPlatformFaults(faults)
		}
		return nil
	}}
}

func daemonFault(name string, inject func(tc *testCluster, i int) error) fault {
	return fault{name, func(tc *testCluster, random *rand.Rand) error { return inject(tc, random.IntN(len(tc.Daemons))) }}
}

func randomFaults() []fault {
	return []fault{
		daemonFault("daemon killed", func(tc *testCluster, i int) error {
			if !tc.Daemons[i].Running() {
				return nil
			}
			return tc.Daemons[i].Kill()
		}),
		daemonFault("daemon frozen", func(tc *testCluster, i int) error {
			if !tc.Daemons[i].Running() {
				return nil
			}
			return tc.Daemons[i].Pause()
		}),
		tableFault("table down", standin.Faults{Down: true}),
		tableFault("table refuses", standin.Faults{Refuse: true}),
		tableFault("table silent", standin.Faults{Silent: true}),
		tableFault("table slow", standin.Faults{DelayMs: 250}),
		tableFault("table loses answers", standin.Faults{LoseEvery: 2}),
		proxyFault("platform cut", false, faultproxy.Faults{Cut: true}),
		proxyFault("platform held", false, faultproxy.HoldBoth()),
		proxyFault("platform answers dropped", false, faultproxy.Faults{DropAnswers: true}),
		proxyFault("platform answers held", false, faultproxy.Faults{HoldAnswers: true}),
		proxyFault("peer cut", true, faultproxy.Faults{Cut: true}),
		proxyFault("peer held", true, faultproxy.HoldBoth()),
		proxyFault("peer slow", true, faultproxy.Faults{Delay: 150 * time.Millisecond}),
		proxyFault("peer answers dropped", true, faultproxy.Faults{DropAnswers: true}),
		minionFault("minion refuses", standin.Faults{Refuse: true}),
		minionFault("minion down", standin.Faults{Down: true}),
		minionFault("minion silent", standin.Faults{Silent: true}),
		minionFault("minion slow", standin.Faults{SlowMs: 300}),
		minionFault("minion fails", standin.Faults{Fail: true}),
		minionFault("minion loses answers", standin.Faults{LoseEvery: 2}),
		minionFault("minion truncates", standin.Faults{Truncate: true}),
		minionFault("minion mismatches answers", standin.Faults{MismatchAnswers: true}),
		minionFault("minion announces wrong checksums", standin.Faults{WrongChecksum: true}),
	}
}

// trial is a set of faults with the seed for their targets and times.
type trial struct {
	faults []fault
	seed   uint64
}

func (t trial) name() string {
	var names []string
	for _, f := range t.faults {
		names = append(names, f.name)
	}
	return fmt.Sprintf("%s (seed %d)", strings.Join(names, " + "), t.seed)
}

// run injects the faults under load, in which each request is submitted through up
// to two daemons, restores the service and returns the errors.
func (t trial) run(tc *testCluster) []string {
	random := rand.New(rand.NewPCG(randomSeed, t.seed))
	var group sync.WaitGroup
	for i := range trialRequests {
		first, second := random.IntN(len(tc.Daemons)), random.IntN(len(tc.Daemons))
		wait := time.Duration(random.Int64N(int64(trialTime)))
		spec := requestSpec{nonIdempotent: i%3 != 0, deadline: trialDeadline, serviceTime: time.Duration(random.IntN(60)) * time.Millisecond}
		group.Go(func() {
			time.Sleep(wait)
			key := newKey("random")
			for _, d := range []int{first, second} {
				ctx, cancel := context.WithTimeout(context.Background(), 2*trialDeadline)
				outcome := tc.submit(ctx, tc.Daemons[d], key, spec).Outcome()
				cancel()
				if outcome == api.OutcomeRan {
					return
				}
			}
		})
	}
	problems := t.injectAll(tc, random)
	group.Wait()
	if err := tc.restoreService(context.Background()); err != nil {
		problems = append(problems, err.Error())
	}
	return problems
}

func (t trial) injectAll(tc *testCluster, random *rand.Rand) (problems []string) {
	start := time.Now()
	for _, f := range t.faults {
		time.Sleep(time.Duration(random.Int64N(int64(faultTime))) / time.Duration(len(t.faults)))
		if err := f.inject(tc, random); err != nil {
			problems = append(problems, err.Error())
		}
	}
	time.Sleep(time.Until(start.Add(trialTime + faultTime)))
	// Frozen daemons continue while requests still wait for them.
	for _, d := range tc.runningDaemons() {
		_ = d.Continue()
	}
	return problems
}

// runTrials runs trials on one cluster and returns the problems of each failed trial
// by its name.
func runTrials(trials []trial) (map[string][]string, error) {
	tc, err := startCluster(clusterConfig{daemons: 3, minions: 3, proxies: true})
	if err != nil {
		return nil, err
	}
	defer func() { _ = tc.close() }()
	failed := map[string][]string{}
	for _, t := range trials {
		problems := t.run(tc)
		violations, err := tc.violations()
		if err != nil {
			return nil, err
		}
		if problems = append(problems, violations...); len(problems) > 0 {
			failed[t.name()] = problems
			tc.outcomes = newOutcomeRecord()
			if err := tc.restoreService(context.Background()); err != nil {
				return failed, err
			}
		}
	}
	return failed, nil
}

// runOnClusters distributes trials over parallelClusters clusters and returns the
// problems of each failed trial by its name.
func runOnClusters(trials []trial) map[string][]string {
	ginkgo.GinkgoHelper()
	var group errgroup.Group
	var mu sync.Mutex
	failed := map[string][]string{}
	for cluster := range parallelClusters {
		var assigned []trial
		for i := cluster; i < len(trials); i += parallelClusters {
			assigned = append(assigned, trials[i])
		}
		group.Go(func() error {
			clusterFailed, err := runTrials(assigned)
			mu.Lock()
			defer mu.Unlock()
			for name, problems := range clusterFailed {
				failed[name] = problems
			}
			return err
		})
	}
	gomega.Expect(group.Wait()).To(gomega.Succeed())
	return failed
}

// Guards against single faults and pairs of faults after which an answer contradicts
// the executions or the service does not recover.
var _ = ginkgo.It("after random faults every answer is true and the service recovers", func() {
	random := rand.New(rand.NewPCG(randomSeed, 0))
	faults := randomFaults()
	var single, pairs []trial
	for i, f := range faults {
		single = append(single, trial{[]fault{f}, uint64(i + 1)})
	}
	for i := range pairTrials {
		first := i % len(faults)
		second := (first + 1 + random.IntN(len(faults)-1)) % len(faults)
		pairs = append(pairs, trial{[]fault{faults[first], faults[second]}, uint64(1000 + i)})
	}
	failed := runOnClusters(slices.Concat(single, pairs))
	failedPairs := 0
	for name, problems := range failed {
		ginkgo.GinkgoWriter.Printf("%s: %s\n", name, strings.Join(problems, "; "))
		if strings.Contains(name, " + ") {
			failedPairs++
		}
	}
	singleShare := fraction(len(single)-(len(failed)-failedPairs), len(single))
	pairShare := fraction(len(pairs)-failedPairs, len(pairs))
	report("random faults", "seed %d: single %.3f of %d, pairs %.3f of %d", randomSeed, singleShare, len(single), pairShare, len(pairs))
	gomega.Expect(singleShare).To(gomega.Equal(1.0), "%v", failed)
	gomega.Expect(pairShare).To(gomega.BeNumerically(">=", minPairShare), "%v", failed)
})

func fraction(n, of int) float64 { return float64(n) / float64(of) }
