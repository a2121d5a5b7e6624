package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// maxTakeover bounds the time from the loss of a planner until the zone has a new one.
	maxTakeover = 5 * time.Second
	// maxUrgentStart bounds the time from the submission of an urgent job to its start.
	maxUrgentStart = 8800 * time.Millisecond
	// takeoverRepetitions is how often a planner is lost in each way, each time at a
	// different time after the last renewal of its lease, which is renewed every second.
	takeoverRepetitions = 5
	// phaseShift is how much later than the one before each repetition loses its
	// planner, relative to the lease renewals.
	phaseShift = 200 * time.Millisecond
)

// takeoverOptions keeps the default timings, for which the bounds are stated.
func takeoverOptions() harness.Options {
	return harness.Options{Seed: 1, Zones: []harness.Zone{{Name: north, Region: "r1", Daemons: 2, Workers: 2,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072, Accelerators: 2}}}}
}

// Guards against a zone that is without a planner for too long after the planner was
// killed or paused, and against urgent jobs that wait for it.
var _ = ginkgo.Describe("takeover of planning", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(takeoverCases()...))

func takeoverCases() []faultCase {
	var cases []faultCase
	for n := range takeoverRepetitions {
		for name, lose := range map[string]func(*harness.Daemon) error{
			"killed": func(d *harness.Daemon) error { return d.Kill() },
			"paused": func(d *harness.Daemon) error { return d.Pause() },
		} {
			cases = append(cases, faultCase{
				name: fmt.Sprintf("planner %s, repetition %d", name, n+1), options: takeoverOptions(),
				run: func(ctx context.Context, tc *testCluster) (string, error) {
					sleep(ctx, time.Duration(n)*phaseShift)
					return tc.losePlanner(ctx, lose)
				},
			})
		}
	}
	return cases
}

// losePlanner loses the planner and checks the time of the takeover and of the start of
// an urgent job that is submitted right after the loss.
func (tc *testCluster) losePlanner(ctx context.Context, lose func(*harness.Daemon) error) (string, error) {
	planner, err := tc.planner(ctx, tc.Daemons[0], "")
	if err != nil {
		return "", err
	}
	other := tc.Daemons[0]
	if other == planner {
		other = tc.Daemons[1]
	}
	if err := lose(planner); err != nil {
		return "", err
	}
	lostAt := time.Now()
	spec := gangSpec("urgent", 4, 300*time.Millisecond, north)
	spec.Entry = urgentEntry
	job, err := tc.submit(ctx, other, spec)
	if err != nil {
		return "", err
	}
	if _, err := tc.planner(ctx, other, planner.ID()); err != nil {
		return "", err
	}
	takeover := time.Since(lostAt)
	if err := tc.waitState(ctx, other, job.ID, api.JobStateSucceeded, 30*time.Second); err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	if err := checkExactlyOnce(job, history[job.ID]); err != nil {
		return "", err
	}
	urgentStart := lastRelease(history[job.ID]).Sub(lostAt)
	summary := fmt.Sprintf("takeover after %s, urgent start after %s", takeover.Round(time.Millisecond), urgentStart.Round(time.Millisecond))
	if takeover > maxTakeover || urgentStart > maxUrgentStart {
		return "", eris.New(summary)
	}
	return summary, nil
}

// lastRelease returns the time at which the last task was released to run.
func lastRelease(tasks []standin.TaskHistory) time.Time {
	last := int64(0)
	for _, t := range tasks {
		last = max(last, t.ReleasedMs)
	}
	return time.UnixMilli(last)
}
