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
	movingJobs  = 8
	movingTasks = 2
	// movingRun is long against the time before the zone leaves and the time out.
	movingRun    = 12 * time.Second
	movingBefore = 5 * time.Second
	movingOut    = 6 * time.Second
	// usefulGoal leaves room for the work between the checkpoint and the stop.
	usefulGoal = 0.95
)

func movingOptions() harness.Options {
	worker := standin.WorkerConfig{Cores: 64, MemoryMB: 131072}
	return harness.Options{Seed: 1, Zones: []harness.Zone{
		{Name: north, Region: "r1", Daemons: 2, Workers: 3, Worker: worker},
		{Name: south, Region: "r1", Daemons: 1, Workers: 3, Worker: worker},
	}}
}

var _ = ginkgo.Describe("work done while a zone leaves and returns", ginkgo.Ordered, ginkgo.ContinueOnFailure, inParallel(
	faultCase{name: "checkpoints and moving against stop and restart", options: movingOptions(), run: compareMoving},
))

// compareMoving runs the same jobs twice on one cluster: with checkpoints and
// both zones, and without checkpoints in the zone that leaves. All begin there.
func compareMoving(ctx context.Context, r *rig) (string, error) {
	operator := r.Daemon(south + "-entry-1")
	if _, err := r.changeZone(ctx, operator, south, api.Out); err != nil {
		return "", err
	}
	began := time.Now()
	var moving, plain []api.Job
	for n := range movingJobs {
		spec := gangSpec(fmt.Sprintf("moving-%d", n), movingTasks, movingRun)
		spec.Checkpoint = true
		job, err := r.submit(ctx, operator, spec)
		if err != nil {
			return "", err
		}
		moving = append(moving, job)
		if job, err = r.submit(ctx, operator, gangSpec(fmt.Sprintf("plain-%d", n), movingTasks, movingRun, north)); err != nil {
			return "", err
		}
		plain = append(plain, job)
	}
	sleep(ctx, movingBefore-time.Second)
	if _, err := r.changeZone(ctx, operator, south, api.In); err != nil {
		return "", err
	}
	sleep(ctx, time.Second)
	if _, err := r.changeZone(ctx, operator, north, api.Out); err != nil {
		return "", err
	}
	sleep(ctx, movingOut)
	if _, err := r.changeZone(ctx, operator, north, api.In); err != nil {
		return "", err
	}
	if err := r.waitSucceeded(ctx, operator, append(append([]api.Job{}, moving...), plain...), time.Minute); err != nil {
		return "", err
	}
	history, err := r.history()
	if err != nil {
		return "", err
	}
	a, aEnd := useful(moving, history)
	b, bEnd := useful(plain, history)
	figures := fmt.Sprintf("useful task time %.1f %% and all done after %s with checkpoints and moving, %.1f %% and %s with stop and restart",
		100*a, aEnd.Sub(began).Round(time.Millisecond), 100*b, bEnd.Sub(began).Round(time.Millisecond))
	if a < usefulGoal || a <= b || aEnd.After(bEnd) {
		return "", eris.New(figures)
	}
	return figures, nil
}

// useful returns the share of the run time of tasks that the jobs needed, and
// the end of the last task.
func useful(jobs []api.Job, history map[string][]standin.TaskHistory) (float64, time.Time) {
	ran, last := int64(0), int64(0)
	for _, job := range jobs {
		for _, t := range history[job.ID] {
			if t.ReleasedMs > 0 {
				ran += t.EndedMs - t.ReleasedMs
			}
			last = max(last, t.EndedMs)
		}
	}
	needed := int64(len(jobs)) * movingTasks * movingRun.Milliseconds()
	return float64(needed) / float64(ran), time.UnixMilli(last)
}
