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
	// defaultOutage is two task leases at the default timings.
	defaultOutage = 40 * time.Second
	// Running jobs have to survive an outage of 10 minutes, which is 30 task leases.
	// scaledOutage is a tenth of it, and scaledLease and scaledRenewEvery are a tenth of
	// their defaults. The clock skew is not scaled, because calls do not become faster.
	scaledOutage     = 60 * time.Second
	scaledLease      = 2 * time.Second
	scaledRenewEvery = 500 * time.Millisecond
	// outageMargin is how much longer than the outage the gangs run, so that none ends
	// during it.
	outageMargin = 5 * time.Second
	outageGangs  = 5

	// jobsDuringLoss is the number of jobs submitted while answers to commits are lost.
	jobsDuringLoss = 40
	// lossProbability is the probability that the answer to a commit is lost.
	lossProbability = 0.3

	cancelledJobs = 200
	// writesPerSecond is the default store_writes_per_second of a daemon. Its token
	// bucket holds the writes of one second.
	writesPerSecond = 20
	// otherWritesPerSecond is the rate of commits that write only the planner lease and
	// no job row.
	otherWritesPerSecond = 2
	// maxReadTime bounds a read of a job while the jobs are being cancelled.
	maxReadTime = time.Second
)

func storeOptions(adjust func(*api.Settings)) harness.Options {
	return harness.Options{Seed: 1, Adjust: adjust, Zones: []harness.Zone{{Name: north, Region: "r1", Daemons: 3, Workers: 3,
		Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072}}}}
}

// Guards against running gangs that are lost while the store is down, jobs that run twice
// or not at all because the answer to a commit was lost, and many cancellations at once
// that exceed the write limit or delay reads and urgent jobs.
var _ = ginkgo.Describe("store faults", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(
	faultCase{name: "outage of 30 scaled task leases", duration: scaledOutage, options: storeOptions(func(s *api.Settings) {
		s.Timing.TaskLease, s.Timing.TaskRenewEvery = api.Duration(scaledLease), api.Duration(scaledRenewEvery)
	}), run: func(ctx context.Context, tc *testCluster) (string, error) { return tc.runOutage(ctx, scaledOutage) }},
	faultCase{name: "outage of two task leases at default timings", duration: defaultOutage, options: storeOptions(nil),
		run: func(ctx context.Context, tc *testCluster) (string, error) { return tc.runOutage(ctx, defaultOutage) }},
	faultCase{name: "answers of commits lost", options: storeOptions(nil), run: loseAnswers},
	faultCase{name: "many cancellations at once", options: storeOptions(nil), run: cancelMany},
))

// runOutage takes the store down while gangs run and another job has just been
// submitted.
func (tc *testCluster) runOutage(ctx context.Context, duration time.Duration) (string, error) {
	var gangs []api.Job
	for n := range outageGangs {
		job, err := tc.submit(ctx, tc.Daemons[0], gangSpec(fmt.Sprintf("gang-%d", n), 4, duration+outageMargin, north))
		if err != nil {
			return "", err
		}
		gangs = append(gangs, job)
	}
	for _, job := range gangs {
		if err := tc.waitState(ctx, tc.Daemons[0], job.ID, api.JobStateRunning, 10*time.Second); err != nil {
			return "", err
		}
	}
	waiting, err := tc.submit(ctx, tc.Daemons[1], gangSpec("late", 2, 100*time.Millisecond, north))
	if err != nil {
		return "", err
	}
	if err := tc.Standin.SetFaults(standin.TargetTable, standin.Faults{Down: true}); err != nil {
		return "", err
	}
	start := time.Now()
	refusals, err := tc.submitDuringOutage(ctx, start.Add(duration))
	if err := errors.Join(err, tc.Standin.ClearFaults(standin.TargetTable)); err != nil {
		return "", err
	}
	all := append([]api.Job{waiting}, gangs...)
	if err := tc.waitSucceeded(ctx, tc.Daemons[2], all, 30*time.Second); err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	for _, job := range all {
		if err := errors.Join(checkExactlyOnce(job, history[job.ID]), checkGangAttempts(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	for _, job := range gangs {
		if n := len(attempts(history[job.ID])); n != 1 {
			return "", eris.Errorf("running job %s was interrupted: %d attempts", job.ID, n)
		}
	}
	return fmt.Sprintf("%d gangs kept running for %s, %d submissions refused as not run", len(gangs), duration, refusals), nil
}

// submitDuringOutage submits a job every second until the end of the outage and checks
// that each is refused with the outcome not_run. It returns the number of refusals.
func (tc *testCluster) submitDuringOutage(ctx context.Context, end time.Time) (int, error) {
	count := 0
	for ; time.Now().Before(end); sleep(ctx, time.Second) {
		d := tc.Daemons[count%len(tc.Daemons)]
		_, err := tc.submit(ctx, d, gangSpec(fmt.Sprintf("refused-%d", count), 1, time.Second, north))
		if err == nil || !strings.Contains(err.Error(), `"outcome":"not_run"`) {
			return count, eris.Errorf("a submission during the outage was not refused with the outcome not_run: %v", err)
		}
		count++
	}
	return count, ctx.Err()
}

// loseAnswers loses some answers to the commits of all daemons while jobs are submitted
// and run. A submission is repeated with the same key until it is accepted.
func loseAnswers(ctx context.Context, tc *testCluster) (string, error) {
	if err := tc.Standin.SetFaults(standin.TargetTable, standin.Faults{LoseProbability: lossProbability}); err != nil {
		return "", err
	}
	var jobs []api.Job
	for n := range jobsDuringLoss {
		var job api.Job
		err := waitUntil(ctx, 20*time.Second, "the job is accepted", func() (bool, error) {
			var err error
			job, err = tc.submit(ctx, tc.Daemons[n%len(tc.Daemons)], gangSpec(fmt.Sprintf("loss-%d", n), 2, 300*time.Millisecond, north))
			return err == nil, err
		})
		if err != nil {
			return "", err
		}
		jobs = append(jobs, job)
	}
	if err := tc.waitSucceeded(ctx, tc.Daemons[0], jobs, 40*time.Second); err != nil {
		return "", err
	}
	counters, err := tc.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	if len(history) != jobsDuringLoss {
		return "", eris.Errorf("%d jobs ran, %d were accepted", len(history), jobsDuringLoss)
	}
	for _, job := range jobs {
		if err := errors.Join(checkExactlyOnce(job, history[job.ID]), checkGangAttempts(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d jobs ran once each, %d of %d answers lost", len(jobs), counters.Lost, counters.Commits), nil
}

// cancelMany cancels many jobs at once and checks the rate of commits, the time of reads
// and the start of an urgent job meanwhile.
func cancelMany(ctx context.Context, tc *testCluster) (string, error) {
	jobs := make([]api.Job, cancelledJobs)
	if err := concurrently(cancelledJobs, func(n int) (err error) {
		jobs[n], err = tc.submit(ctx, tc.Daemons[n%len(tc.Daemons)], gangSpec(fmt.Sprintf("wave-%d", n), 1, time.Hour, north))
		return err
	}); err != nil {
		return "", err
	}
	if err := waitUntil(ctx, 20*time.Second, "half of the jobs have started", func() (bool, error) {
		tasks, err := tc.Standin.Tasks()
		return len(tasks) >= cancelledJobs/2, err
	}); err != nil {
		return "", err
	}
	countersBefore, err := tc.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	start := time.Now()
	cancelled := make(chan error, 1)
	go func() {
		cancelled <- concurrently(cancelledJobs, func(n int) error { return tc.cancelUntilAccepted(ctx, jobs[n].ID, n) })
	}()
	spec := gangSpec("urgent", 2, 300*time.Millisecond, north)
	spec.Entry = urgentEntry
	urgent, err := tc.submit(ctx, tc.Daemons[0], spec)
	if err != nil {
		return "", err
	}
	slowest, err := tc.awaitCancelled(ctx, jobs)
	if err := errors.Join(err, <-cancelled); err != nil {
		return "", err
	}
	elapsed := time.Since(start)
	countersAfter, err := tc.Standin.TableCounters()
	if err != nil {
		return "", err
	}
	if err := tc.waitState(ctx, tc.Daemons[1], urgent.ID, api.JobStateSucceeded, 20*time.Second); err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	urgentStart := lastRelease(history[urgent.ID]).Sub(start)
	commits := countersAfter.Commits - countersBefore.Commits
	limit := int64(float64(len(tc.Daemons)*writesPerSecond+otherWritesPerSecond)*elapsed.Seconds()) + int64(len(tc.Daemons)*writesPerSecond)
	summary := fmt.Sprintf("%d jobs cancelled in %s with %d commits (limit %d), slowest read %s, urgent start after %s",
		cancelledJobs, elapsed.Round(time.Millisecond), commits, limit, slowest.Round(time.Millisecond), urgentStart)
	if commits > limit || slowest > maxReadTime || urgentStart > maxUrgentStart {
		return "", eris.New(summary)
	}
	return summary, nil
}

// cancelUntilAccepted repeats a cancellation until it is accepted.
func (tc *testCluster) cancelUntilAccepted(ctx context.Context, id string, n int) error {
	return waitUntil(ctx, 30*time.Second, "the cancellation is accepted", func() (bool, error) {
		_, err := client.Call[api.Job](tc.Daemons[n%len(tc.Daemons)].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
			return c.CancelJob(ctx, id)
		})
		return err == nil, err
	})
}

// awaitCancelled waits until all jobs are cancelled and all their tasks have
// ended. It returns the duration of the slowest read.
func (tc *testCluster) awaitCancelled(ctx context.Context, jobs []api.Job) (time.Duration, error) {
	var slowest time.Duration
	for _, job := range jobs {
		err := waitUntil(ctx, 40*time.Second, "job "+job.ID+" is cancelled", func() (bool, error) {
			start := time.Now()
			current, err := tc.job(ctx, tc.Daemons[0], job.ID)
			slowest = max(slowest, time.Since(start))
			return current.State == api.JobStateCancelled, err
		})
		if err != nil {
			return slowest, err
		}
	}
	history, err := tc.history()
	for _, job := range jobs {
		for _, t := range history[job.ID] {
			if t.EndedMs == 0 {
				return slowest, eris.Errorf("a task of a cancelled job is still running: %s", describeTask(t))
			}
		}
	}
	return slowest, err
}

// concurrently calls f for the numbers below count, each in its own goroutine, and
// returns all their errors.
func concurrently(count int, f func(n int) error) error {
	errs := make([]error, count)
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() { errs[n] = f(n) })
	}
	calls.Wait()
	return errors.Join(errs...)
}
