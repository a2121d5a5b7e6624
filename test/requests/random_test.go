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
	// randomSeed makes the choice of faults, places and times repeatable.
	randomSeed = 20261204
	// randomClusters run trials side by side, one after the other in each.
	randomClusters = 6
	pairTrials     = 52
	// trialRequests are spread over trialTime, and the faults over its first part.
	trialRequests = 16
	trialTime     = 400 * time.Millisecond
	faultTime     = 300 * time.Millisecond
	trialDeadline = 600 * time.Millisecond
	// pairGoal is the share of pairs of faults after which all is well.
	pairGoal = 0.98
)

// fault is a fault of the random trials; heal ends it.
type fault struct {
	name   string
	inject func(r *rig, random *rand.Rand) error
}

func tableFault(name string, faults standin.Faults) fault {
	return fault{name, func(r *rig, _ *rand.Rand) error { return r.Standin.SetFaults(standin.TargetTable, faults) }}
}

func minionFault(name string, faults standin.Faults) fault {
	return fault{name, func(r *rig, random *rand.Rand) error {
		return r.Standin.SetFaults(minionTarget(r.minionID(random.IntN(r.minionCount))), faults)
	}}
}

func proxyFault(name string, peers bool, faults faultproxy.Faults) fault {
	return fault{name, func(r *rig, random *rand.Rand) error {
		proxies := r.Proxies[r.Daemons[random.IntN(len(r.Daemons))].ID()]
		if peers {
			proxies.Peers.Set(faults)
		} else {
			proxies.SetPlatformFaults(faults)
		}
		return nil
	}}
}

func daemonFault(name string, hit func(r *rig, i int) error) fault {
	return fault{name, func(r *rig, random *rand.Rand) error { return hit(r, random.IntN(len(r.Daemons))) }}
}

func randomFaults() []fault {
	return []fault{
		daemonFault("daemon killed", func(r *rig, i int) error {
			if !r.Daemons[i].Running() {
				return nil
			}
			return r.Daemons[i].Kill()
		}),
		daemonFault("daemon frozen", func(r *rig, i int) error {
			if !r.Daemons[i].Running() {
				return nil
			}
			return r.Daemons[i].Pause()
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
		minionFault("minion crosses answers", standin.Faults{Cross: true}),
		minionFault("minion announces wrong checksums", standin.Faults{WrongChecksum: true}),
	}
}

// trial is a set of faults with the seed of their places and times.
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

// run injects the faults under load, each request being tried through two
// daemons, and returns what is wrong after the end of the faults.
func (t trial) run(r *rig) []string {
	random := rand.New(rand.NewPCG(randomSeed, t.seed))
	var group sync.WaitGroup
	for i := range trialRequests {
		first, second := random.IntN(len(r.Daemons)), random.IntN(len(r.Daemons))
		wait := time.Duration(random.Int64N(int64(trialTime)))
		c := call{nonIdempotent: i%3 != 0, deadline: trialDeadline, takes: time.Duration(random.IntN(60)) * time.Millisecond}
		group.Go(func() {
			time.Sleep(wait)
			key := newKey("random")
			for _, d := range []int{first, second} {
				ctx, cancel := context.WithTimeout(context.Background(), 2*trialDeadline)
				outcome := r.submit(ctx, r.Daemons[d], key, c).Outcome()
				cancel()
				if outcome == api.OutcomeRan {
					return
				}
			}
		})
	}
	wrong := t.injectAll(r, random)
	group.Wait()
	if err := r.heal(context.Background()); err != nil {
		wrong = append(wrong, err.Error())
	}
	return wrong
}

func (t trial) injectAll(r *rig, random *rand.Rand) (wrong []string) {
	began := time.Now()
	for _, f := range t.faults {
		time.Sleep(time.Duration(random.Int64N(int64(faultTime))) / time.Duration(len(t.faults)))
		if err := f.inject(r, random); err != nil {
			wrong = append(wrong, err.Error())
		}
	}
	time.Sleep(time.Until(began.Add(trialTime + faultTime)))
	// A frozen daemon goes on while the requests wait for it.
	for _, d := range r.running() {
		_ = d.Continue()
	}
	return wrong
}

// runTrials runs trials on a cluster and returns what is wrong after each.
func runTrials(trials []trial) (map[string][]string, error) {
	r, err := startRig(size{daemons: 3, minions: 3, proxies: true})
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.close() }()
	failed := map[string][]string{}
	for _, t := range trials {
		wrong := t.run(r)
		violations, err := r.violations()
		if err != nil {
			return nil, err
		}
		if wrong = append(wrong, violations...); len(wrong) > 0 {
			failed[t.name()] = wrong
			r.ledger = newLedger()
			if err := r.heal(context.Background()); err != nil {
				return failed, err
			}
		}
	}
	return failed, nil
}

func runSpread(trials []trial) map[string][]string {
	ginkgo.GinkgoHelper()
	var group errgroup.Group
	var mu sync.Mutex
	failed := map[string][]string{}
	for share := range randomClusters {
		var mine []trial
		for i := share; i < len(trials); i += randomClusters {
			mine = append(mine, trials[i])
		}
		group.Go(func() error {
			found, err := runTrials(mine)
			mu.Lock()
			defer mu.Unlock()
			for name, wrong := range found {
				failed[name] = wrong
			}
			return err
		})
	}
	gomega.Expect(group.Wait()).To(gomega.Succeed())
	return failed
}

// Guards against faults, alone and in pairs, that make an answer false or keep
// the service from recovering.
var _ = ginkgo.It("random faults leave every answer true and the service recovers", func() {
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
	failed := runSpread(slices.Concat(single, pairs))
	failedPairs := 0
	for name, wrong := range failed {
		ginkgo.GinkgoWriter.Printf("%s: %s\n", name, strings.Join(wrong, "; "))
		if strings.Contains(name, " + ") {
			failedPairs++
		}
	}
	singles := share(len(single)-(len(failed)-failedPairs), len(single))
	pairsShare := share(len(pairs)-failedPairs, len(pairs))
	report("random faults", "seed %d: single %.3f of %d, pairs %.3f of %d", randomSeed, singles, len(single), pairsShare, len(pairs))
	gomega.Expect(singles).To(gomega.Equal(1.0), "%v", failed)
	gomega.Expect(pairsShare).To(gomega.BeNumerically(">=", pairGoal), "%v", failed)
})

func share(n, of int) float64 { return float64(n) / float64(of) }
