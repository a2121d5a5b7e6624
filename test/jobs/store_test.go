package jobs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// defaultOutage is two task leases at default timings.
	defaultOutage = 40 * time.Second
	// scaledOutage and the leases are the goal's 10 minutes and the default leases
	// divided by 10: 30 leases. The skew is not scaled, as calls take as long as ever.
	scaledOutage     = 60 * time.Second
	scaledLease      = 2 * time.Second
	scaledRenewEvery = 500 * time.Millisecond
	// outageMargin is how much longer than the outage the gangs run.
	outageMargin = 5 * time.Second
	outageGangs  = 5

	lossJobs = 40
	// lossProbability of the answer to a commit.
	lossProbability = 0.3

	waveJobs = 200
	// writesPerSecond is the default of store_writes_per_second of each daemon; its
	// bucket holds one second's worth.
	writesPerSecond = 20
	// otherWritesPerSecond are the commits beside job rows: the planner lease.
	otherWritesPerSecond = 2
	// responsive bounds a read of a job during the wave.
	responsive = time.Second
)

func storeOptions(adjust func(*api.Settings)) harness.Options {
	return harness.Options{Seed: 1, Adjust: adjust, Zones: []harness.Zone{{Name: north, Region: "r1", Daemons: 3, Workers: 3,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072}}}}
}

var _ = ginkgo.Describe("store faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, inParallel(
	faultCase{name: "outage of 30 scaled task leases", length: scaledOutage, options: storeOptions(func(s *api.Settings) {
		s.Timing.TaskLease, s.Timing.TaskRenewEvery = api.Duration(scaledLease), api.Duration(scaledRenewEvery)
	}), run: func(ctx context.Context, r *rig) (string, error) { return r.outage(ctx, scaledOutage) }},
	faultCase{name: "outage of two task leases at default timings", length: defaultOutage, options: storeOptions(nil),
		run: func(ctx context.Context, r *rig) (string, error) { return r.outage(ctx, defaultOutage) }},
	faultCase{name: "answers of commits lost", options: storeOptions(nil), run: loseAnswers},
	faultCase{name: "wave of cancellations", options: storeOptions(nil), run: cancelWave},
))

// outage takes the store down while gangs run and a job waits.
func (r *rig) outage(ctx context.Context, length time.Duration) (string, error) {
	var gangs []api.Job
	for n := range outageGangs {
		job, err := r.submit(ctx, r.Daemons[0], gangSpec(fmt.Sprintf("gang-%d", n), 4, length+outageMargin, north))
		if err != nil {
			return "", err
		}
		gangs = append(gangs, job)
	}
	for _, job := range gangs {
		if err := r.waitState(ctx, r.Daemons[0], job.ID, api.JobStateRunning, 10*time.Second); err != nil {
			return "", err
		}
	}
	late, err := r.submit(ctx, r.Daemons[1], gangSpec("late", 2, 100*time.Millisecond, north))
	if err != nil {
		return "", err
	}
	if err := r.Standin.SetFaults(standin.TargetTable, standin.Faults{Down: true}); err != nil {
		return "", err
	}
	began := time.Now()
	refused, err := r.refusals(ctx, began.Add(length))
	if err := errors.Join(err, r.Standin.ClearFaults(standin.TargetTable)); err != nil {
		return "", err
	}
	all := append([]api.Job{late}, gangs...)
	if err := r.waitSucceeded(ctx, r.Daemons[2], all, 30*time.Second); err != nil {
		return "", err
	}
	history, err := r.history()
	if err != nil {
		return "", err
	}
	for _, job := range all {
		if err := errors.Join(checkExactlyOnce(job, history[job.ID]), checkWholeGangs(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	for _, job := range gangs {
		if n := len(attempts(history[job.ID])); n != 1 {
			return "", eris.Errorf("running job %s was lost: %d attempts", job.ID, n)
		}
	}
	return fmt.Sprintf("%d gangs ran on for %s, %d submissions refused as not run", len(gangs), length, refused), nil
}

// refusals submits a job every second until the end of the outage. Each must be
// refused with the outcome not_run.
func (r *rig) refusals(ctx context.Context, end time.Time) (int, error) {
	count := 0
	for ; time.Now().Before(end); sleep(ctx, time.Second) {
		d := r.Daemons[count%len(r.Daemons)]
		_, err := r.submit(ctx, d, gangSpec(fmt.Sprintf("refused-%d", count), 1, time.Second, north))
		if err == nil || !strings.Contains(err.Error(), `"outcome":"not_run"`) {
			return count, eris.Errorf("submission during the outage: %v", err)
		}
		count++
	}
	return count, ctx.Err()
}

// loseAnswers loses answers to commits of all daemons while jobs are submitted
// and run. Callers repeat a submission with the same key until it is accepted.
func loseAnswers(ctx context.Context, r *rig) (string, error) {
	if err := r.Standin.SetFaults(standin.TargetTable, standin.Faults{LoseProbability: lossProbability}); err != nil {
		return "", err
	}
	var jobs []api.Job
	for n := range lossJobs {
		var job api.Job
		err := until(ctx, 20*time.Second, "the job is accepted", func() (bool, error) {
			var err error
			job, err = r.submit(ctx, r.Daemons[n%len(r.Daemons)], gangSpec(fmt.Sprintf("loss-%d", n), 2, 300*time.Millisecond, north))
			return err == nil, err
		})
		if err != nil {
			return "", err
		}
		jobs = append(jobs, job)
	}
	if err := r.waitSucceeded(ctx, r.Daemons[0], jobs, 40*time.Second); err != nil {
		return "", err
	}
	counters, err := r.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	history, err := r.history()
	if err != nil {
		return "", err
	}
	if len(history) != lossJobs {
		return "", eris.Errorf("%d jobs ran, %d were accepted", len(history), lossJobs)
	}
	for _, job := range jobs {
		if err := errors.Join(checkExactlyOnce(job, history[job.ID]), checkWholeGangs(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d jobs once each, %d of %d answers lost", len(jobs), counters.Lost, counters.Commits), nil
}

// cancelWave cancels many jobs at once and checks writes and responses meanwhile.
func cancelWave(ctx context.Context, r *rig) (string, error) {
	jobs := make([]api.Job, waveJobs)
	if err := each(waveJobs, func(n int) (err error) {
		jobs[n], err = r.submit(ctx, r.Daemons[n%len(r.Daemons)], gangSpec(fmt.Sprintf("wave-%d", n), 1, time.Hour, north))
		return err
	}); err != nil {
		return "", err
	}
	if err := until(ctx, 20*time.Second, "tasks of the wave run", func() (bool, error) {
		tasks, err := r.Standin.Tasks()
		return len(tasks) >= waveJobs/2, err
	}); err != nil {
		return "", err
	}
	before, err := r.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	began := time.Now()
	wave := make(chan error, 1)
	go func() { wave <- each(waveJobs, func(n int) error { return r.cancelUntilAccepted(ctx, jobs[n].ID, n) }) }()
	spec := gangSpec("urgent", 2, 300*time.Millisecond, north)
	spec.Entry = urgentEntry
	urgent, err := r.submit(ctx, r.Daemons[0], spec)
	if err != nil {
		return "", err
	}
	slowest, err := r.awaitCancelled(ctx, jobs)
	if err := errors.Join(err, <-wave); err != nil {
		return "", err
	}
	took := time.Since(began)
	after, err := r.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	if err := r.waitState(ctx, r.Daemons[1], urgent.ID, api.JobStateSucceeded, 20*time.Second); err != nil {
		return "", err
	}
	history, err := r.history()
	if err != nil {
		return "", err
	}
	start := lastRelease(history[urgent.ID]).Sub(began)
	commits := after.Commits - before.Commits
	limit := int64(float64(len(r.Daemons)*writesPerSecond+otherWritesPerSecond)*took.Seconds()) + int64(len(r.Daemons)*writesPerSecond)
	figures := fmt.Sprintf("%d jobs cancelled in %s with %d commits (limit %d), slowest read %s, urgent start after %s",
		waveJobs, took.Round(time.Millisecond), commits, limit, slowest.Round(time.Millisecond), start)
	if commits > limit || slowest > responsive || start > urgentGoal {
		return "", eris.New(figures)
	}
	return figures, nil
}

func (r *rig) cancelUntilAccepted(ctx context.Context, id string, n int) error {
	return until(ctx, 30*time.Second, "the cancellation is accepted", func() (bool, error) {
		_, err := client.Call[api.Job](r.Daemons[n%len(r.Daemons)].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
			return c.CancelJob(ctx, id)
		})
		return err == nil, err
	})
}

// awaitCancelled waits until all jobs are cancelled and all their tasks have
// ended. It returns the time of the slowest read.
func (r *rig) awaitCancelled(ctx context.Context, jobs []api.Job) (time.Duration, error) {
	var slowest time.Duration
	for _, job := range jobs {
		err := until(ctx, 40*time.Second, "job "+job.ID+" is cancelled", func() (bool, error) {
			began := time.Now()
			now, err := r.job(ctx, r.Daemons[0], job.ID)
			slowest = max(slowest, time.Since(began))
			return now.State == api.JobStateCancelled, err
		})
		if err != nil {
			return slowest, err
		}
	}
	history, err := r.history()
	for _, job := range jobs {
		for _, t := range history[job.ID] {
			if t.EndedMs == 0 {
				return slowest, eris.Errorf("a task of a cancelled job runs: %s", describeTask(t))
			}
		}
	}
	return slowest, err
}

// each calls f for all numbers at the same time.
func each(count int, f func(n int) error) error {
	errs := make([]error, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() { errs[n] = f(n) })
	}
	calls.Wait()
	return errors.Join(errs...)
}
