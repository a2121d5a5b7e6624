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
	// takeoverGoal is the longest time without a planner.
	takeoverGoal = 5 * time.Second
	// urgentGoal is the longest time from submission to the start of urgent work.
	urgentGoal = 8800 * time.Millisecond
	// takeoverRepetitions is the number of planners that are lost in each way. Their
	// leases are renewed every second, so that the repetitions meet other phases.
	takeoverRepetitions = 5
	// phaseStep moves the loss against the renewal from one repetition to the next.
	phaseStep = 200 * time.Millisecond
)

// takeoverOptions has the default timings.
func takeoverOptions() harness.Options {
	return harness.Options{Seed: 1, Zones: []harness.Zone{{Name: north, Region: "r1", Daemons: 2, Workers: 2,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072, Accelerators: 2}}}}
}

var _ = ginkgo.Describe("planning taken over", ginkgo.Ordered, ginkgo.ContinueOnFailure, inParallel(takeoverCases()...))

func takeoverCases() []faultCase {
	var cases []faultCase
	for n := range takeoverRepetitions {
		for name, lose := range map[string]func(*harness.Daemon) error{
			"killed": func(d *harness.Daemon) error { return d.Kill() },
			"frozen": func(d *harness.Daemon) error { return d.Pause() },
		} {
			cases = append(cases, faultCase{
				name: fmt.Sprintf("planner %s, repetition %d", name, n+1), options: takeoverOptions(),
				run: func(ctx context.Context, r *rig) (string, error) {
					sleep(ctx, time.Duration(n)*phaseStep)
					return r.losePlanner(ctx, lose)
				},
			})
		}
	}
	return cases
}

// losePlanner times the takeover and the start of urgent work submitted right
// after the loss.
func (r *rig) losePlanner(ctx context.Context, lose func(*harness.Daemon) error) (string, error) {
	planner, err := r.planner(ctx, r.Daemons[0], "")
	if err != nil {
		return "", err
	}
	other := r.Daemons[0]
	if other == planner {
		other = r.Daemons[1]
	}
	if err := lose(planner); err != nil {
		return "", err
	}
	lost := time.Now()
	spec := gangSpec("urgent", 4, 300*time.Millisecond, north)
	spec.Entry = urgentEntry
	job, err := r.submit(ctx, other, spec)
	if err != nil {
		return "", err
	}
	if _, err := r.planner(ctx, other, planner.ID()); err != nil {
		return "", err
	}
	takeover := time.Since(lost)
	if err := r.waitState(ctx, other, job.ID, api.JobStateSucceeded, 30*time.Second); err != nil {
		return "", err
	}
	history, err := r.history()
	if err != nil {
		return "", err
	}
	if err := checkExactlyOnce(job, history[job.ID]); err != nil {
		return "", err
	}
	start := lastRelease(history[job.ID]).Sub(lost)
	figures := fmt.Sprintf("taken over after %s, urgent start after %s", takeover.Round(time.Millisecond), start.Round(time.Millisecond))
	if takeover > takeoverGoal || start > urgentGoal {
		return "", eris.New(figures)
	}
	return figures, nil
}

func lastRelease(tasks []standin.TaskHistory) time.Time {
	last := int64(0)
	for _, t := range tasks {
		last = max(last, t.ReleasedMs)
	}
	return time.UnixMilli(last)
}
