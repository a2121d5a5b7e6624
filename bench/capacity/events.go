package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

// disruption is the measurement of a failure or an operation at the target size, or of
// neither for comparison. table holds the calls of the table service meanwhile, including
// the regular calls of all daemons.
type disruption struct {
	name    string
	outcome string
	elapsed time.Duration
	table   standin.TableCounters
}

// delayedWorkTime extends the measurement of each disruption, so that calls made after
// the awaited state is reached are counted too.
const delayedWorkTime = 2 * time.Second

// causeDisruptions causes each kind of disruption in turn and measures it.
func (r *runner) causeDisruptions(ctx context.Context) ([]disruption, error) {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"nothing, for comparison", func(context.Context) (string, error) { return "at rest", nil }},
		{"a daemon is killed and started again", r.restartDaemon},
		{"a worker is restarted", func(ctx context.Context) (string, error) { return r.restartWorkers(ctx, 1) }},
		{"the workers of a rack are restarted", func(ctx context.Context) (string, error) { return r.restartWorkers(ctx, workersPerRack) }},
		{"a zone is taken out", r.takeZoneOutOfService},
		{"the zone is brought back", r.returnZoneToService},
	}
	var disruptions []disruption
	for _, step := range steps {
		d, err := r.measureDisruption(ctx, step.name, step.run)
		if err != nil {
			return disruptions, eris.Wrap(err, step.name)
		}
		disruptions = append(disruptions, d)
	}
	return disruptions, nil
}

// measureDisruption runs cause, which returns once the cluster has recovered, and
// measures the time and the calls of the table service.
func (r *runner) measureDisruption(ctx context.Context, name string, cause func(context.Context) (string, error)) (disruption, error) {
	fmt.Println("event:", name)
	before, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return disruption{}, err
	}
	start := time.Now()
	outcome, err := cause(ctx)
	if err != nil {
		return disruption{}, err
	}
	elapsed := time.Since(start)
	time.Sleep(delayedWorkTime)
	after, err := r.cluster.Standin.TableCounters()
	return disruption{name: name, outcome: outcome, elapsed: elapsed, table: subtract(after, before)}, err
}

// daemonToKill returns the last daemon; the runner sends its calls to the first.
func (r *runner) daemonToKill() *harness.Daemon { return r.cluster.Daemons[len(r.cluster.Daemons)-1] }

func (r *runner) restartDaemon(ctx context.Context) (string, error) {
	d := r.daemonToKill()
	if err := d.Kill(); err != nil {
		return "", err
	}
	if err := r.cluster.ReplaceDaemon(d); err != nil {
		return "", err
	}
	return "ready with the configuration and all job rows", d.WaitReady(ctx)
}

// restartWorkers restarts workers of one rack of the first zone and waits until all
// gangs that had a task on them run in a new attempt.
func (r *runner) restartWorkers(ctx context.Context, count int) (string, error) {
	restarted := map[string]bool{}
	for i := range count {
		id := fmt.Sprintf("%s-worker-%d", zoneName(0), i+1)
		restarted[id] = true
		if err := r.cluster.Standin.RestartWorker(id); err != nil {
			return "", err
		}
	}
	jobs, err := r.jobs(ctx)
	if err != nil {
		return "", err
	}
	attempts := map[string]int{} // attempt at the time of the restart, by job ID
	for _, job := range jobs {
		for _, task := range job.Placement {
			if restarted[task.Worker] {
				attempts[job.ID] = job.Attempt
			}
		}
	}
	err = r.waitForJobs(ctx, func(jobs []api.Job) bool {
		recovered := 0
		for _, job := range jobs {
			if attempt, ok := attempts[job.ID]; ok && job.Attempt > attempt && job.State == api.JobStateRunning {
				recovered++
			}
		}
		return recovered == len(attempts)
	})
	return fmt.Sprintf("%d gangs run again", len(attempts)), err
}

// takeZoneOutOfService takes the first zone out of service and waits until all its
// gangs have stopped.
func (r *runner) takeZoneOutOfService(ctx context.Context) (string, error) {
	if err := r.setFirstZoneState(ctx, api.Out); err != nil {
		return "", err
	}
	stopped := 0
	err := r.waitForJobs(ctx, func(jobs []api.Job) bool {
		active := 0
		stopped = 0
		for _, job := range jobs {
			if job.Spec.Zones[0] != zoneName(0) || job.Spec.Entry != batchEntry {
				continue
			}
			if job.State == api.JobStateWaiting {
				stopped++
			} else {
				active++
			}
		}
		return active == 0
	})
	return fmt.Sprintf("%d gangs have written a checkpoint and stopped", stopped), err
}

// returnZoneToService returns the first zone to service and waits until all gangs of
// the load run.
func (r *runner) returnZoneToService(ctx context.Context) (string, error) {
	if err := r.setFirstZoneState(ctx, api.In); err != nil {
		return "", err
	}
	want := r.size.TasksPerZone / tasksPerJob * r.size.Zones
	err := r.waitForJobs(ctx, func(jobs []api.Job) bool {
		running := 0
		for _, job := range jobs {
			if job.Spec.Entry == batchEntry && job.State == api.JobStateRunning {
				running++
			}
		}
		return running == want
	})
	return fmt.Sprintf("all %d gangs run again", want), err
}
