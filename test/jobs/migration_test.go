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
	migrationJobs  = 8
	migrationTasks = 2
	// migrationRunTime is longer than the time before the zone goes out of service plus
	// the time that it is out of service, so that the jobs are interrupted.
	migrationRunTime    = 12 * time.Second
	timeBeforeMigration = 5 * time.Second
	migrationOutTime    = 6 * time.Second
	// minUsefulShare allows for the work that is lost between the checkpoint and the stop.
	minUsefulShare = 0.95
)

func migrationOptions() harness.Options {
	worker := standin.WorkerConfig{Cores: 64, MemoryMB: 131072}
	return harness.Options{Seed: 1, Zones: []harness.Zone{
		{Name: north, Region: "r1", Daemons: 2, Workers: 3, Worker: worker},
		{Name: south, Region: "r1", Daemons: 1, Workers: 3, Worker: worker},
	}}
}

// Guards against work that is lost when a zone goes out of service although the jobs can
// be checkpointed and continue in another zone.
var _ = ginkgo.Describe("useful work while a zone goes out of service and returns", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(
	faultCase{name: "migration with checkpoints compared to stop and restart", options: migrationOptions(), run: compareMigration},
))

// compareMigration runs the same jobs twice on one cluster: with checkpoints and allowed
// in both zones, and without checkpoints and bound to the zone that goes out of service.
// All of them start in that zone.
func compareMigration(ctx context.Context, tc *testCluster) (string, error) {
	operator := tc.Daemon(south + "-entry-1")
	if _, err := tc.changeZone(ctx, operator, south, api.Out); err != nil {
		return "", err
	}
	start := time.Now()
	var migrated, restarted []api.Job
	for n := range migrationJobs {
		spec := gangSpec(fmt.Sprintf("moving-%d", n), migrationTasks, migrationRunTime)
		spec.Checkpoint = true
		job, err := tc.submit(ctx, operator, spec)
		if err != nil {
			return "", err
		}
		migrated = append(migrated, job)
		if job, err = tc.submit(ctx, operator, gangSpec(fmt.Sprintf("plain-%d", n), migrationTasks, migrationRunTime, north)); err != nil {
			return "", err
		}
		restarted = append(restarted, job)
	}
	sleep(ctx, timeBeforeMigration-time.Second)
	if _, err := tc.changeZone(ctx, operator, south, api.In); err != nil {
		return "", err
	}
	sleep(ctx, time.Second)
	if _, err := tc.changeZone(ctx, operator, north, api.Out); err != nil {
		return "", err
	}
	sleep(ctx, migrationOutTime)
	if _, err := tc.changeZone(ctx, operator, north, api.In); err != nil {
		return "", err
	}
	if err := tc.waitSucceeded(ctx, operator, append(append([]api.Job{}, migrated...), restarted...), time.Minute); err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	migratedShare, migratedEnd := usefulShare(migrated, history)
	restartedShare, restartedEnd := usefulShare(restarted, history)
	summary := fmt.Sprintf("useful task time %.1f %% and all done after %s with checkpoints and migration, %.1f %% and %s with stop and restart",
		100*migratedShare, migratedEnd.Sub(start).Round(time.Millisecond), 100*restartedShare, restartedEnd.Sub(start).Round(time.Millisecond))
	if migratedShare < minUsefulShare || migratedShare <= restartedShare || migratedEnd.After(restartedEnd) {
		return "", eris.New(summary)
	}
	return summary, nil
}

// usefulShare returns the run time that the jobs need as a share of the run time that
// their tasks used, and the end of the last task.
func usefulShare(jobs []api.Job, history map[string][]standin.TaskHistory) (float64, time.Time) {
	used, last := int64(0), int64(0)
	for _, job := range jobs {
		for _, t := range history[job.ID] {
			if t.ReleasedMs > 0 {
				used += t.EndedMs - t.ReleasedMs
			}
			last = max(last, t.EndedMs)
		}
	}
	needed := int64(len(jobs)) * migrationTasks * migrationRunTime.Milliseconds()
	return float64(needed) / float64(used), time.UnixMilli(last)
}
