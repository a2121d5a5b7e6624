package jobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// randomSeed determines the targets, times and pairs of the faults.
	randomSeed = 20261204
	// randomPairs is the number of pairs that are drawn. There are 36 possible pairs of
	// the eight kinds of faults, including pairs of two faults of the same kind.
	randomPairs = 16
	// A fault lasts from minFaultTime to minFaultTime plus faultTimeSpread.
	minFaultTime    = 3 * time.Second
	faultTimeSpread = 3 * time.Second
	// recoveryTimeout bounds the time from the end of a fault until all accepted jobs
	// have succeeded: after the loss of a worker, its lease (4 s), the detection and the
	// restart of its jobs.
	recoveryTimeout = 30 * time.Second
	// At the rate of randomEvery and a run time of randomRunTime, some gangs of 1 to 3
	// tasks are running at any time.
	randomEvery   = 250 * time.Millisecond
	randomRunTime = 800 * time.Millisecond
)

// randomOptions returns options with a zone in which the faults are injected and a second
// zone whose daemon the faults do not affect. The leases are as short as for gangs.
func randomOptions() harness.Options {
	o := gangOptions()
	o.Proxies = true
	o.Zones = append(o.Zones, harness.Zone{Name: south, Region: "r1", Daemons: 1, Workers: 2,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072}})
	return o
}

// injectedFault is a fault of one target.
type injectedFault struct {
	name   string
	inject func(context.Context, *testCluster) error
	heal   func(context.Context, *testCluster) error
}

// daemonFault injects or heals a fault of a daemon.
type daemonFault func(d *harness.Daemon, tc *testCluster) error

// singleFaults returns one fault of each kind. The targets depend on n: the two faults of
// a pair use successive numbers and so affect different daemons and workers.
func singleFaults(n int) []injectedFault {
	daemon := fmt.Sprintf("%s-entry-%d", north, n%3+1)
	workers := "workers/" + workerName(n%gangWorkers+1)
	onDaemon := func(name string, inject, heal daemonFault) injectedFault {
		return injectedFault{name: name,
			inject: func(_ context.Context, tc *testCluster) error { return inject(tc.Daemon(daemon), tc) },
			heal:   func(_ context.Context, tc *testCluster) error { return heal(tc.Daemon(daemon), tc) }}
	}
	return []injectedFault{
		onDaemon("daemon killed", func(d *harness.Daemon, _ *testCluster) error { return d.Kill() },
			func(d *harness.Daemon, tc *testCluster) error { return tc.ReplaceDaemon(d) }),
		onDaemon("daemon paused", func(d *harness.Daemon, _ *testCluster) error { return d.Pause() },
			func(d *harness.Daemon, _ *testCluster) error { return d.Continue() }),
		onDaemon("store unreachable", cutPlatform(true), cutPlatform(false)),
		onDaemon("peers unreachable", cutPeers(true), cutPeers(false)),
		{name: "worker restarted",
			inject: func(_ context.Context, tc *testCluster) error { return tc.restartWorker(workerName(n%gangWorkers + 1)) },
			heal:   func(context.Context, *testCluster) error { return nil }},
		standinFault("worker silent", workers, standin.Faults{Silent: true}),
		standinFault("commit answers lost", standin.TargetTable, standin.Faults{LoseProbability: lossProbability}),
		{name: "zone out of service and back", inject: setNorth(api.Out), heal: setNorth(api.In)},
	}
}

func cutPlatform(cut bool) daemonFault {
	return func(d *harness.Daemon, tc *testCluster) error {
		tc.Proxies[d.ID()].SetPlatformFaults(faultproxy.Faults{Cut: cut})
		return nil
	}
}

func cutPeers(cut bool) daemonFault {
	return func(d *harness.Daemon, tc *testCluster) error {
		tc.Proxies[d.ID()].Peers.Set(faultproxy.Faults{Cut: cut})
		return nil
	}
}

func standinFault(name, target string, faults standin.Faults) injectedFault {
	return injectedFault{name: name,
		inject: func(_ context.Context, tc *testCluster) error { return tc.Standin.SetFaults(target, faults) },
		heal:   func(_ context.Context, tc *testCluster) error { return tc.Standin.ClearFaults(target) }}
}

// setNorth returns a function that sets the state of zone north. It repeats the change
// until it is accepted, because another fault of the pair may lose answers.
func setNorth(state api.ZoneState) func(context.Context, *testCluster) error {
	return func(ctx context.Context, tc *testCluster) error {
		return waitUntil(ctx, 10*time.Second, "the zone change is accepted", func() (bool, error) {
			_, err := tc.changeZone(ctx, tc.Daemon(south+"-entry-1"), north, state)
			return err == nil, err
		})
	}
}

// Guards against accepted jobs that do not run exactly once, and new urgent jobs that
// start late, after a fault of any kind.
var _ = ginkgo.Describe("random single faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(randomSingleCases()...))

// Guards against the same failures when two faults overlap.
var _ = ginkgo.Describe("random pairs of faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(randomPairCases()...))

func randomSingleCases() []faultCase {
	var cases []faultCase
	random := rand.New(rand.NewPCG(randomSeed, 1))
	for i := range singleFaults(0) {
		cases = append(cases, randomCase(random, singleFaults(random.IntN(12))[i]))
	}
	return cases
}

func randomPairCases() []faultCase {
	var cases []faultCase
	random := rand.New(rand.NewPCG(randomSeed, 2))
	for i := range randomPairs {
		// The first fault cycles through the kinds, so that each kind occurs at least twice.
		target := random.IntN(12)
		first, second := singleFaults(target), singleFaults(target+1)
		cases = append(cases, randomCase(random, first[i%len(first)], second[random.IntN(len(second))]))
	}
	return cases
}

func randomCase(random *rand.Rand, faults ...injectedFault) faultCase {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	gap := time.Duration(random.Int64N(int64(time.Second)))
	duration := minFaultTime + time.Duration(random.Int64N(int64(faultTimeSpread)))
	return faultCase{name: strings.Join(names, " and "), options: randomOptions(),
		run: func(ctx context.Context, tc *testCluster) (string, error) {
			return tc.recover(ctx, faults, gap, duration)
		}}
}

// recover injects the faults, gap apart, while jobs run and heals them after duration. It
// checks that all accepted jobs succeed exactly once and that an urgent job submitted
// afterwards starts in time.
func (tc *testCluster) recover(ctx context.Context, faults []injectedFault, gap, duration time.Duration) (string, error) {
	unaffected := tc.Daemon(south + "-entry-1")
	s := tc.stream(ctx, unaffected, randomEvery, func(n int) api.JobSpec {
		return gangSpec(fmt.Sprintf("random-%d", n), n%3+1, randomRunTime, north)
	})
	defer s.end()
	sleep(ctx, 3*time.Second)
	for _, f := range faults {
		if err := f.inject(ctx, tc); err != nil {
			return "", eris.Wrap(err, f.name)
		}
		sleep(ctx, gap)
	}
	sleep(ctx, duration)
	for _, f := range faults {
		if err := f.heal(ctx, tc); err != nil {
			return "", eris.Wrap(err, f.name)
		}
	}
	accepted := s.end()
	healedAt := time.Now()
	spec := gangSpec("after", 2, 100*time.Millisecond, north)
	spec.Entry = urgentEntry
	urgent, err := tc.submit(ctx, unaffected, spec)
	if err != nil {
		return "", err
	}
	accepted = append(accepted, urgent)
	if err := tc.waitSucceeded(ctx, unaffected, accepted, recoveryTimeout); err != nil {
		return "", err
	}
	recoveryTime := time.Since(healedAt)
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	repeated := 0
	for _, job := range accepted {
		tasks := tc.withoutLostResults(history[job.ID])
		if len(tasks) < len(history[job.ID]) {
			repeated++
		}
		if err := errors.Join(checkExactlyOnce(job, tasks), checkGangAttempts(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	urgentStart := lastRelease(history[urgent.ID]).Sub(healedAt)
	if urgentStart > maxUrgentStart {
		return "", eris.Errorf("the urgent job started too late, %s after the end of the faults", urgentStart)
	}
	return fmt.Sprintf("%d jobs succeeded once each, %d of them repeated because a worker lost their results, recovery after %s, urgent start after %s", len(accepted), repeated, recoveryTime.Round(time.Millisecond), urgentStart.Round(time.Millisecond)), nil
}
