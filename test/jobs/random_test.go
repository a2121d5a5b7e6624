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
	// randomSeed decides targets, times and pairs.
	randomSeed = 20261204
	// randomPairs is a selection of the 36 pairs of eight faults, which may be equal.
	randomPairs = 16
	// faultMin and faultSpread give the length of a fault.
	faultMin    = 3 * time.Second
	faultSpread = 3 * time.Second
	// recoveryWait bounds the time from the end of a fault until all accepted jobs
	// have succeeded: a lost worker costs a lease (4 s), its detection and a restart.
	recoveryWait = 30 * time.Second
	// randomEvery and randomRun keep gangs of 1 to 3 tasks running all the time.
	randomEvery = 250 * time.Millisecond
	randomRun   = 800 * time.Millisecond
)

// randomOptions has a zone for the faults and one daemon, in the other zone, that
// the faults leave alone. Leases are scaled as for gangs.
func randomOptions() harness.Options {
	o := gangOptions()
	o.Proxies = true
	o.Zones = append(o.Zones, harness.Zone{Name: south, Region: "r1", Daemons: 1, Workers: 2,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072}})
	return o
}

// injected is one fault on a target.
type injected struct {
	name   string
	inject func(context.Context, *rig) error
	heal   func(context.Context, *rig) error
}

// daemonFault makes faults of a daemon of the zone.
type daemonFault func(d *harness.Daemon, r *rig) error

// singleFaults returns all kinds of faults; n chooses targets, so that the two
// faults of a pair meet different daemons and workers.
func singleFaults(n int) []injected {
	daemon := fmt.Sprintf("%s-entry-%d", north, n%3+1)
	workers := "workers/" + worker(n%gangWorkers+1)
	onDaemon := func(name string, inject, heal daemonFault) injected {
		return injected{name: name,
			inject: func(_ context.Context, r *rig) error { return inject(r.Daemon(daemon), r) },
			heal:   func(_ context.Context, r *rig) error { return heal(r.Daemon(daemon), r) }}
	}
	return []injected{
		onDaemon("daemon killed", func(d *harness.Daemon, _ *rig) error { return d.Kill() },
			func(d *harness.Daemon, r *rig) error { return r.ReplaceDaemon(d) }),
		onDaemon("daemon frozen", func(d *harness.Daemon, _ *rig) error { return d.Pause() },
			func(d *harness.Daemon, _ *rig) error { return d.Continue() }),
		onDaemon("store cut", cutPlatform(true), cutPlatform(false)),
		onDaemon("peers cut", cutPeers(true), cutPeers(false)),
		{name: "worker restarted",
			inject: func(_ context.Context, r *rig) error { return r.restartWorker(worker(n%gangWorkers + 1)) },
			heal:   func(context.Context, *rig) error { return nil }},
		standinFault("worker silent", workers, standin.Faults{Silent: true}),
		standinFault("commit answers lost", standin.TargetTable, standin.Faults{LoseProbability: lossProbability}),
		{name: "zone out and in", inject: setNorth(api.Out), heal: setNorth(api.In)},
	}
}

func cutPlatform(cut bool) daemonFault {
	return func(d *harness.Daemon, r *rig) error {
		r.Proxies[d.ID()].Platform(faultproxy.Faults{Cut: cut})
		return nil
	}
}

func cutPeers(cut bool) daemonFault {
	return func(d *harness.Daemon, r *rig) error {
		r.Proxies[d.ID()].Peers.Set(faultproxy.Faults{Cut: cut})
		return nil
	}
}

func standinFault(name, target string, faults standin.Faults) injected {
	return injected{name: name,
		inject: func(_ context.Context, r *rig) error { return r.Standin.SetFaults(target, faults) },
		heal:   func(_ context.Context, r *rig) error { return r.Standin.ClearFaults(target) }}
}

// setNorth repeats the change until its answer arrives: answers may be lost.
func setNorth(state api.ZoneState) func(context.Context, *rig) error {
	return func(ctx context.Context, r *rig) error {
		return until(ctx, 10*time.Second, "the zone is changed", func() (bool, error) {
			_, err := r.changeZone(ctx, r.Daemon(south+"-entry-1"), north, state)
			return err == nil, err
		})
	}
}

var _ = ginkgo.Describe("random single faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, inParallel(randomSingles()...))

var _ = ginkgo.Describe("random pairs of faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, inParallel(randomPairCases()...))

func randomSingles() []faultCase {
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
		// The first is each kind in turn, so that every kind is met twice at least.
		target := random.IntN(12)
		first, second := singleFaults(target), singleFaults(target+1)
		cases = append(cases, randomCase(random, first[i%len(first)], second[random.IntN(len(second))]))
	}
	return cases
}

func randomCase(random *rand.Rand, faults ...injected) faultCase {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	gap := time.Duration(random.Int64N(int64(time.Second)))
	length := faultMin + time.Duration(random.Int64N(int64(faultSpread)))
	return faultCase{name: strings.Join(names, " and "), options: randomOptions(),
		run: func(ctx context.Context, r *rig) (string, error) { return r.recover(ctx, faults, gap, length) }}
}

// recover injects faults while jobs run and checks that all accepted jobs end
// correctly and that new work starts in time.
func (r *rig) recover(ctx context.Context, faults []injected, gap, length time.Duration) (string, error) {
	ask := r.Daemon(south + "-entry-1")
	s := r.stream(ctx, ask, randomEvery, func(n int) api.JobSpec {
		return gangSpec(fmt.Sprintf("random-%d", n), n%3+1, randomRun, north)
	})
	defer s.end()
	sleep(ctx, 3*time.Second)
	for _, f := range faults {
		if err := f.inject(ctx, r); err != nil {
			return "", eris.Wrap(err, f.name)
		}
		sleep(ctx, gap)
	}
	sleep(ctx, length)
	for _, f := range faults {
		if err := f.heal(ctx, r); err != nil {
			return "", eris.Wrap(err, f.name)
		}
	}
	accepted := s.end()
	healed := time.Now()
	spec := gangSpec("after", 2, 100*time.Millisecond, north)
	spec.Entry = urgentEntry
	urgent, err := r.submit(ctx, ask, spec)
	if err != nil {
		return "", err
	}
	accepted = append(accepted, urgent)
	if err := r.waitSucceeded(ctx, ask, accepted, recoveryWait); err != nil {
		return "", err
	}
	recovered := time.Since(healed)
	history, err := r.history()
	if err != nil {
		return "", err
	}
	repeated := 0
	for _, job := range accepted {
		tasks := r.withoutLostResults(history[job.ID])
		if len(tasks) < len(history[job.ID]) {
			repeated++
		}
		if err := errors.Join(checkExactlyOnce(job, tasks), checkWholeGangs(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	start := lastRelease(history[urgent.ID]).Sub(healed)
	if start > urgentGoal {
		return "", eris.Errorf("urgent work started %s after the end of the fault", start)
	}
	return fmt.Sprintf("%d jobs once each, %d of them again after a worker lost their results, recovered after %s, urgent start after %s", len(accepted), repeated, recovered.Round(time.Millisecond), start.Round(time.Millisecond)), nil
}
