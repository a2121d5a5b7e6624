package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	north = "north"
	south = "south"

	// maxStartDelay bounds the time after a zone was taken out of service in which
	// tasks may still start: the maximum age of a confirmation of the zone state
	// (zone_confirmation) plus the clock skew.
	maxStartDelay   = 2500 * time.Millisecond
	startsPerSecond = 20
	streamEvery     = 160 * time.Millisecond
	// longPlannerLease is twice the default, so that the starts are stopped by the
	// missing confirmation of the zone state and not by the end of the planner lease.
	longPlannerLease = 6 * time.Second
	// backlogJobs take longer to start than maxStartDelay at startsPerSecond, so that
	// placed jobs wait for their start when the zone is taken out of service.
	backlogJobs   = 60
	streamTasks   = 2
	streamRunTime = 200 * time.Millisecond
	// outOfServiceTime is how long the zone stays out of service; the fault is healed
	// after half of it.
	outOfServiceTime = 6 * time.Second
	// orderTolerance is how much earlier a job may start than one submitted before
	// it: starts are admitted in order but sent concurrently.
	orderTolerance = 600 * time.Millisecond
)

// zoneOptions returns options with the zone that is taken out of service and a second
// zone, through whose daemon the zone state is changed.
func zoneOptions() harness.Options {
	worker := standin.WorkerConfig{Cores: 64, MemoryMB: 131072, Accelerators: 2}
	return harness.Options{
		Seed: 1, Proxies: true,
		Zones: []harness.Zone{
			{Name: north, Region: "r1", Daemons: 2, Workers: 3, Worker: worker},
			{Name: south, Region: "r1", Daemons: 1, Workers: 1, Worker: worker},
		},
		Adjust: func(s *api.Settings) {
			s.Limits.StartsPerSecond = startsPerSecond
			s.Timing.PlannerLease = api.Duration(longPlannerLease)
		},
	}
}

// zoneFault is a fault around the change of the zone. inject runs right before the zone is
// taken out of service, heal while it is out of service; either may be nil.
type zoneFault struct {
	inject func(context.Context, *testCluster) error
	heal   func(context.Context, *testCluster) error
}

// Guards against tasks that start in a zone after it was taken out of service,
// because the daemon that starts them is paused, slow or cut off and does not know the
// new state, and against a return that starts the waiting jobs out of order or above
// the rate limit.
var _ = ginkgo.Describe("starts in a zone out of service", ginkgo.Ordered, ginkgo.ContinueOnFailure, parallelSpecs(
	zoneCase("no fault", zoneFault{}),
	zoneCase("zone cut off from the store", zoneFault{
		inject: func(_ context.Context, tc *testCluster) error { tc.cutNorth(true, false); return nil },
		heal:   func(_ context.Context, tc *testCluster) error { tc.cutNorth(false, false); return nil },
	}),
	zoneCase("zone cut off from the store and from all daemons", zoneFault{
		inject: func(_ context.Context, tc *testCluster) error { tc.cutNorth(true, true); return nil },
		heal:   func(_ context.Context, tc *testCluster) error { tc.cutNorth(false, false); return nil },
	}),
	zoneCase("planner paused while starts are in progress", pausedPlanner()),
	zoneCase("store down after the change", zoneFault{}.afterChange(standin.Faults{Down: true})),
	zoneCase("store slow", tableFault(standin.Faults{DelayMs: 400})),
	zoneCase("worker answers late", zoneFault{
		inject: func(_ context.Context, tc *testCluster) error {
			return tc.Standin.SetFaults("workers/"+north+"-worker-1", standin.Faults{DelayMs: 1500})
		},
		heal: func(_ context.Context, tc *testCluster) error {
			return tc.Standin.ClearFaults("workers/" + north + "-worker-1")
		},
	}),
	faultCase{name: "two operators concurrently set the zone out and in", options: zoneOptions(), run: raceOperators},
))

func zoneCase(name string, f zoneFault) faultCase {
	return faultCase{name: name, options: zoneOptions(), run: func(ctx context.Context, tc *testCluster) (string, error) {
		return tc.takeZoneOut(ctx, f)
	}}
}

// cutNorth sets which connections are cut: platform selects those of the daemons of zone
// north to the platform, and peers those between all daemons of the cluster. What is not
// selected is restored.
func (tc *testCluster) cutNorth(platform, peers bool) {
	for id, p := range tc.Proxies {
		if tc.Daemon(id).Settings.Daemon.Zone == north {
			p.SetPlatformFaults(faultproxy.Faults{Cut: platform})
		}
		p.Peers.Set(faultproxy.Faults{Cut: peers})
	}
}

// pausedPlanner returns a fault that pauses the planner of the zone. The stream of jobs
// ensures that the planner has starts in progress.
func pausedPlanner() zoneFault {
	var planner *harness.Daemon
	return zoneFault{
		inject: func(ctx context.Context, tc *testCluster) error {
			var err error
			if planner, err = tc.planner(ctx, tc.Daemon(north+"-entry-1"), ""); err != nil {
				return err
			}
			return planner.Pause()
		},
		heal: func(context.Context, *testCluster) error { return planner.Continue() },
	}
}

func tableFault(faults standin.Faults) zoneFault {
	return zoneFault{
		inject: func(_ context.Context, tc *testCluster) error {
			return tc.Standin.SetFaults(standin.TargetTable, faults)
		},
		heal: func(_ context.Context, tc *testCluster) error { return tc.Standin.ClearFaults(standin.TargetTable) },
	}
}

// afterChange returns a fault of the store that begins once the zone change is committed.
func (zoneFault) afterChange(faults standin.Faults) zoneFault {
	f := tableFault(faults)
	f.inject = nil
	f.heal = func(ctx context.Context, tc *testCluster) error {
		if err := tc.Standin.SetFaults(standin.TargetTable, faults); err != nil {
			return err
		}
		sleep(ctx, outOfServiceTime/2)
		return tc.Standin.ClearFaults(standin.TargetTable)
	}
	return f
}

func streamSpec(n int) api.JobSpec {
	return gangSpec(fmt.Sprintf("stream-%d", n), streamTasks, streamRunTime, north)
}

// startStream starts a stream of jobs with a backlog and waits until some have started.
func (tc *testCluster) startStream(ctx context.Context) (*stream, error) {
	s := tc.stream(ctx, tc.Daemon(south+"-entry-1"), streamEvery, streamSpec)
	s.burst(ctx, backlogJobs)
	return s, waitUntil(ctx, 20*time.Second, "the first tasks of the stream have started", func() (bool, error) {
		tasks, err := tc.Standin.Tasks()
		return len(tasks) >= startsPerSecond, err
	})
}

// takeZoneOut takes the zone out of service under the fault and returns it to service.
func (tc *testCluster) takeZoneOut(ctx context.Context, f zoneFault) (string, error) {
	s, err := tc.startStream(ctx)
	defer s.end()
	if err != nil {
		return "", err
	}
	if f.inject != nil {
		if err := f.inject(ctx, tc); err != nil {
			return "", err
		}
	}
	outAt, err := tc.changeZone(ctx, tc.Daemon(south+"-entry-1"), north, api.Out)
	if err != nil {
		return "", err
	}
	if f.heal != nil {
		if f.inject != nil {
			sleep(ctx, outOfServiceTime/2)
		}
		if err := f.heal(ctx, tc); err != nil {
			return "", err
		}
	}
	sleep(ctx, time.Until(outAt.Add(outOfServiceTime)))
	return tc.returnZone(ctx, s, outAt)
}

// returnZone returns the zone to service and waits until the accepted jobs have
// succeeded. It checks that no task started while the zone was out of service, and the
// order and rate of the starts after its return.
func (tc *testCluster) returnZone(ctx context.Context, s *stream, outAt time.Time) (string, error) {
	accepted := s.end()
	returnedAt := time.Now() // before the commit, so that no allowed start is earlier
	if _, err := tc.changeZone(ctx, tc.Daemon(south+"-entry-1"), north, api.In); err != nil {
		return "", err
	}
	if err := tc.waitSucceeded(ctx, tc.Daemon(south+"-entry-1"), accepted, 60*time.Second); err != nil {
		return "", err
	}
	history, err := tc.history()
	if err != nil {
		return "", err
	}
	for _, job := range accepted {
		if err := errors.Join(checkExactlyOnce(job, history[job.ID]), checkGangAttempts(job, history[job.ID])); err != nil {
			return "", err
		}
	}
	latest, err := checkNoStarts(history, outAt, returnedAt)
	if err != nil {
		return "", err
	}
	startsAfterReturn, err := checkStartsAfterReturn(accepted, history, returnedAt)
	return fmt.Sprintf("last start %s after the change, %d jobs, %s", latest.Round(time.Millisecond), len(accepted), startsAfterReturn), err
}

// checkNoStarts checks that no task started between maxStartDelay after the change and
// the return. It returns the time from the change to the last start before the return.
func checkNoStarts(history map[string][]standin.TaskHistory, outAt, returnedAt time.Time) (time.Duration, error) {
	latest, lateCount := time.Duration(0), 0
	var lateTask standin.TaskHistory
	for _, tasks := range history {
		for _, t := range tasks {
			delay := time.UnixMilli(t.StartedMs).Sub(outAt)
			if t.StartedMs >= returnedAt.UnixMilli() || delay < 0 {
				continue
			}
			latest = max(latest, delay)
			if delay > maxStartDelay {
				lateCount, lateTask = lateCount+1, t
			}
		}
	}
	if lateCount > 0 {
		return latest, eris.Errorf("%d tasks started more than %s after the zone was taken out of service, the latest %s after the change; one of them: %s", lateCount, maxStartDelay, latest, describeTask(lateTask))
	}
	return latest, nil
}

// checkStartsAfterReturn checks the order and the rate of the starts after the return of
// the zone. It returns a line of measurements.
func checkStartsAfterReturn(accepted []api.Job, history map[string][]standin.TaskHistory, returnedAt time.Time) (string, error) {
	var starts []int64
	bySubmission := slices.SortedFunc(slices.Values(accepted), func(a, b api.Job) int { return int(a.SubmittedMs - b.SubmittedMs) })
	var latestJob api.Job // of the jobs checked so far, the one that started last
	latestStartedMs, checked := int64(0), 0
	for _, job := range bySubmission {
		startedMs := int64(0)
		for _, t := range history[job.ID] {
			if t.StartedMs >= returnedAt.UnixMilli() {
				starts = append(starts, t.StartedMs)
				startedMs = t.StartedMs
			}
		}
		if startedMs == 0 || len(history[job.ID]) != job.Spec.Tasks || history[job.ID][0].Attempt > 1 {
			continue // it was placed or started earlier and may still have been stopping at the return
		}
		checked++
		if latestStartedMs-startedMs > orderTolerance.Milliseconds() {
			return "", eris.Errorf("jobs started out of order: task [%s] started %d ms before task [%s] of a job submitted %d ms earlier", describeTask(history[job.ID][0]), latestStartedMs-startedMs, describeTask(history[latestJob.ID][0]), job.SubmittedMs-latestJob.SubmittedMs)
		}
		if startedMs > latestStartedMs {
			latestStartedMs, latestJob = startedMs, job
		}
	}
	maxStarts := maxInWindow(starts, time.Second)
	if checked < startsPerSecond/streamTasks {
		return "", eris.Errorf("only %d jobs waited for the return, too few to check their order", checked)
	}
	// All tasks of a gang start together, so the last gang may exceed the limit.
	if maxStarts > startsPerSecond+streamTasks {
		return "", eris.Errorf("%d tasks started within one second, the limit is %d", maxStarts, startsPerSecond)
	}
	return fmt.Sprintf("%d jobs restarted in order, at most %d tasks in a second", checked, maxStarts), nil
}

// maxInWindow returns the largest number of times that lie within one window.
func maxInWindow(times []int64, window time.Duration) int {
	slices.Sort(times)
	highest, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= window.Milliseconds() {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// raceOperators lets two operators concurrently set the zone out of and into service.
// The last accepted change decides, so a final change takes the zone out of service.
func raceOperators(ctx context.Context, tc *testCluster) (string, error) {
	s, err := tc.startStream(ctx)
	defer s.end()
	if err != nil {
		return "", err
	}
	var group errgroup.Group
	for i, state := range []api.ZoneState{api.In, api.Out} {
		group.Go(func() error {
			for n := range 10 {
				// A refusal is correct: another change may have been accepted first.
				_, _ = tc.changeZone(ctx, tc.Daemons[(i+n)%len(tc.Daemons)], north, state)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	outAt, err := tc.changeZone(ctx, tc.Daemon(south+"-entry-1"), north, api.Out)
	if err != nil {
		return "", err
	}
	sleep(ctx, outOfServiceTime)
	return tc.returnZone(ctx, s, outAt)
}
