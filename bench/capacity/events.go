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

// event is a failure or an operation at the target size with what it cost the
// table service, the traffic of all daemons at rest included.
type event struct {
	name    string
	outcome string
	took    time.Duration
	table   standin.TableCounters
}

// eventWait is added to each event, so that work that trails behind is counted.
const eventWait = 2 * time.Second

// failures causes the failures of the target one after the other.
func (r *runner) failures(ctx context.Context) ([]event, error) {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"nothing, for comparison", func(context.Context) (string, error) { return "at rest", nil }},
		{"a daemon is killed and started again", r.restartDaemon},
		{"a worker is restarted", func(ctx context.Context) (string, error) { return r.restartWorkers(ctx, 1) }},
		{"the workers of a rack are restarted", func(ctx context.Context) (string, error) { return r.restartWorkers(ctx, workersPerRack) }},
		{"a zone is taken out", r.zoneOut},
		{"the zone is brought back", r.zoneIn},
	}
	var events []event
	for _, step := range steps {
		e, err := r.observe(ctx, step.name, step.run)
		if err != nil {
			return events, eris.Wrap(err, step.name)
		}
		events = append(events, e)
	}
	return events, nil
}

func (r *runner) observe(ctx context.Context, name string, run func(context.Context) (string, error)) (event, error) {
	fmt.Println("event:", name)
	before, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return event{}, err
	}
	began := time.Now()
	outcome, err := run(ctx)
	if err != nil {
		return event{}, err
	}
	took := time.Since(began)
	time.Sleep(eventWait)
	after, err := r.cluster.Standin.TableCounters()
	return event{name: name, outcome: outcome, took: took, table: subtract(after, before)}, err
}

// lastDaemon is never the daemon that answers the calls of the runner.
func (r *runner) lastDaemon() *harness.Daemon { return r.cluster.Daemons[len(r.cluster.Daemons)-1] }

func (r *runner) restartDaemon(ctx context.Context) (string, error) {
	d := r.lastDaemon()
	if err := d.Kill(); err != nil {
		return "", err
	}
	if err := r.cluster.ReplaceDaemon(d); err != nil {
		return "", err
	}
	return "ready with the configuration and all job rows", d.WaitReady(ctx)
}

// restartWorkers restarts workers of a rack of the first zone and waits until
// every gang runs again.
func (r *runner) restartWorkers(ctx context.Context, count int) (string, error) {
	lost := map[string]bool{}
	for i := range count {
		id := fmt.Sprintf("%s-worker-%d", zoneName(0), i+1)
		lost[id] = true
		if err := r.cluster.Standin.RestartWorker(id); err != nil {
			return "", err
		}
	}
	jobs, err := r.jobs(ctx)
	if err != nil {
		return "", err
	}
	affected := map[string]int{} // attempt by job
	for _, job := range jobs {
		for _, place := range job.Placement {
			if lost[place.Worker] {
				affected[job.ID] = job.Attempt
			}
		}
	}
	err = r.await(ctx, func(jobs []api.Job) bool {
		again := 0
		for _, job := range jobs {
			if attempt, ok := affected[job.ID]; ok && job.Attempt > attempt && job.State == api.JobStateRunning {
				again++
			}
		}
		return again == len(affected)
	})
	return fmt.Sprintf("%d gangs run again", len(affected)), err
}

func (r *runner) zoneOut(ctx context.Context) (string, error) {
	if err := r.changeZone(ctx, api.Out); err != nil {
		return "", err
	}
	stopped := 0
	err := r.await(ctx, func(jobs []api.Job) bool {
		held := 0
		stopped = 0
		for _, job := range jobs {
			if job.Spec.Zones[0] != zoneName(0) || job.Spec.Entry != batchEntry {
				continue
			}
			if job.State == api.JobStateWaiting {
				stopped++
			} else {
				held++
			}
		}
		return held == 0
	})
	return fmt.Sprintf("%d gangs have written a checkpoint and stopped", stopped), err
}

func (r *runner) zoneIn(ctx context.Context) (string, error) {
	if err := r.changeZone(ctx, api.In); err != nil {
		return "", err
	}
	want := r.size.TasksPerZone / tasksPerJob * r.size.Zones
	err := r.await(ctx, func(jobs []api.Job) bool {
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
