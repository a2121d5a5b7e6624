package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// waitTimeout bounds each wait: for gangs that run or stop, for a revision in force
	// and for an urgent start.
	waitTimeout = 2 * time.Minute
	// pollEvery is the poll interval for revisions and urgent starts; job lists are
	// polled at a tenth of that rate.
	pollEvery = 20 * time.Millisecond
	// urgentSamples is the number of urgent jobs whose start time is measured, one
	// after the other.
	urgentSamples = 10
	// maxMetricsAge bounds the age of the metrics of a daemon, with a small margin. The
	// last sample of a window is taken this much later, so that it includes all changes
	// in the window.
	maxMetricsAge = 700 * time.Millisecond
	// maxFullFormWindow bounds the window in which workers ignore task sets and leases
	// are renewed in the full form, which lists every task.
	maxFullFormWindow = 20 * time.Second
)

// usage holds what one daemon used during a window; rates are per second.
type usage struct {
	daemon   string
	planning bool               // computed a plan in the window, or took over planning at any time before its end
	cpu      float64            // share of a core
	rss      float64            // bytes, at the end of the window
	rates    map[string]float64 // by seriesName
	gauges   map[string]float64 // by seriesName, at the end of the window
}

// point holds the measurements at one size.
type point struct {
	size         size
	daemons      []usage
	table        standin.TableCounters // increase during the window
	seconds      float64               // length of the window
	propagation  []time.Duration       // time until each change was in force on all daemons
	urgentStarts []time.Duration       // time from submission to start of each urgent gang
	// takeoverStart is the time from submission to start of an urgent gang that is
	// submitted right after the planner of its zone was killed.
	takeoverStart time.Duration
	disruptions   []disruption
	// withChanges holds the measurements of the same load with periodic configuration
	// changes; nil means not measured.
	withChanges *point
	// withFullForm holds the measurements of the same load with workers that do not
	// support the set form of lease renewals; nil means not measured.
	withFullForm *point
}

// measurer starts a cluster for each size and measures it over window. Before each
// measurement it waits for settle after the last start or change of faults.
type measurer struct {
	window, settle time.Duration
}

func (m *measurer) measureSeries(ctx context.Context, s series) (series, error) {
	for _, v := range s.values {
		size := baseSize()
		s.apply(&size, v)
		fmt.Printf("%s %g\n", s.name, v)
		p, err := m.measure(ctx, size)
		if err != nil {
			return s, eris.Wrapf(err, "measure series %s at %g", s.name, v)
		}
		s.points = append(s.points, p)
	}
	return s, nil
}

// measure runs a cluster of the given size and measures one window. At a size with
// MeasureAll it also measures the variants of the load, urgent starts and disruptions.
func (m *measurer) measure(ctx context.Context, s size) (point, error) {
	cluster, err := harness.StartCluster(ctx, s.options())
	if err != nil {
		return point{}, err
	}
	defer func() { _ = cluster.Stop() }()
	r := &runner{cluster: cluster, size: s}
	if err := r.load(ctx); err != nil {
		return point{}, err
	}
	time.Sleep(m.settle)
	p := point{size: s}
	if err := r.measureWindow(ctx, &p, m.window); err != nil {
		return point{}, err
	}
	if err := r.checkRunning(ctx); err != nil {
		return point{}, err
	}
	if !s.MeasureAll {
		return p, nil
	}
	if err := m.measureVariants(ctx, r, &p); err != nil {
		return point{}, err
	}
	return p, r.measureStartsAndDisruptions(ctx, &p)
}

// measureVariants measures the same load with configuration changes, and then with
// lease renewals in the full form.
func (m *measurer) measureVariants(ctx context.Context, r *runner, p *point) error {
	r.size.ChangesPerMin = changesPerMin
	p.withChanges = &point{size: r.size}
	if err := r.measureWindow(ctx, p.withChanges, m.window); err != nil {
		return err
	}
	r.size.ChangesPerMin = 0
	if err := r.ignoreTaskSets(); err != nil {
		return err
	}
	time.Sleep(m.settle)
	p.withFullForm = &point{size: r.size}
	if err := r.measureWindow(ctx, p.withFullForm, m.fullFormWindow()); err != nil {
		return err
	}
	return r.checkRunning(ctx)
}

// checkRunning returns an error if a gang has ended. A gang that ended means that a lease
// was not renewed and that the window did not measure the full load.
func (r *runner) checkRunning(ctx context.Context) error {
	running, err := r.runningCount(ctx)
	if err == nil && running != r.submitted {
		err = eris.Errorf("only %d of %d gangs run after the window", running, r.submitted)
	}
	return err
}

// fullFormWindow returns the length of the window in the full form, which suffices for
// several renewals of each worker.
func (m *measurer) fullFormWindow() time.Duration { return min(m.window, maxFullFormWindow) }

// ignoreTaskSets makes all workers renew only the listed leases, so that daemons fall
// back to the full form.
func (r *runner) ignoreTaskSets() error {
	for id := range r.cluster.Standin.Addresses.Workers {
		if err := r.cluster.Standin.SetFaults("workers/"+id, standin.Faults{IgnoreSets: true}); err != nil {
			return err
		}
	}
	return nil
}

// runner drives one cluster under load.
type runner struct {
	cluster     *harness.Cluster
	size        size
	changeCount int
	submitted   int // gangs of the load
}

// load applies the catalogue, submits all gangs of the size and waits until they run.
func (r *runner) load(ctx context.Context) error {
	if _, err := r.applyChange(ctx); err != nil {
		return err
	}
	var ids []string
	for z := range r.size.Zones {
		for n := range r.size.TasksPerZone / tasksPerJob {
			id, err := r.submit(ctx, r.size.jobSpec(zoneName(z), n))
			if err != nil {
				return err
			}
			ids = append(ids, id)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	r.submitted = len(ids)
	return r.waitRunning(ctx, r.submitted)
}

func (r *runner) waitRunning(ctx context.Context, want int) error {
	for {
		running, err := r.runningCount(ctx)
		if err == nil && running >= want {
			return nil
		}
		if !sleep(ctx, 10*pollEvery) {
			return eris.Errorf("only %d of %d gangs run (last error: %v)", running, want, err)
		}
	}
}

func (r *runner) runningCount(ctx context.Context) (int, error) {
	list, err := client.Call[api.JobList](r.cluster.Daemons[0].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.ListJobs(ctx, &api.ListJobsParams{State: string(api.JobStateRunning)})
	})
	return len(list.Jobs), err
}

func (r *runner) jobs(ctx context.Context) ([]api.Job, error) {
	list, err := client.Call[api.JobList](r.cluster.Daemons[0].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.ListJobs(ctx, &api.ListJobsParams{})
	})
	return list.Jobs, err
}

// waitForJobs polls the list of jobs until it meets the condition.
func (r *runner) waitForJobs(ctx context.Context, condition func([]api.Job) bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		jobs, err := r.jobs(ctx)
		if err == nil && condition(jobs) {
			return nil
		}
		if !sleep(ctx, 10*pollEvery) {
			return eris.Errorf("jobs did not reach the expected state (last error: %v)", err)
		}
	}
}

func (r *runner) setFirstZoneState(ctx context.Context, state api.ZoneState) error {
	_, err := client.Call[api.ConfigurationHead](r.cluster.Daemons[0].OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ChangeZone(ctx, zoneName(0), api.ZoneChange{State: state, ChangedBy: "capacity", Reason: "measurement"})
	})
	return err
}

func (r *runner) submit(ctx context.Context, spec api.JobSpec) (string, error) {
	job, err := client.Call[api.Job](r.cluster.Daemons[0].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.SubmitJob(ctx, spec)
	})
	return job.ID, err
}

// applyChange applies the catalogue with a new quota and returns the time until it was
// in force on all daemons. Successive changes go through the daemons in turn.
func (r *runner) applyChange(ctx context.Context) (time.Duration, error) {
	d := r.cluster.Daemons[r.changeCount%len(r.cluster.Daemons)]
	r.changeCount++
	start := time.Now()
	head, err := client.Call[api.ConfigurationHead](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ApplyCatalogue(ctx, api.CatalogueApply{
			ExpectedRevision: int64(r.changeCount - 1), Catalogue: r.size.catalogue(100 + r.changeCount), ChangedBy: "capacity",
		})
	})
	if err != nil {
		return 0, eris.Wrap(err, "apply the catalogue")
	}
	for _, other := range r.cluster.Daemons {
		if err := waitForRevision(ctx, other, head.Revision); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

func waitForRevision(ctx context.Context, d *harness.Daemon, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		status, err := client.Call[api.Status](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
			return c.GetStatus(ctx)
		})
		if err == nil && status.Revision >= revision {
			return nil
		}
		if !sleep(ctx, pollEvery) {
			return eris.Errorf("revision %d is not in force on %s", revision, d.ID())
		}
	}
}

// measureWindow measures usage over a window in which nothing but the configuration changes
// of the size happens.
func (r *runner) measureWindow(ctx context.Context, p *point, length time.Duration) error {
	before, err := r.takeSamples()
	if err != nil {
		return err
	}
	tableBefore, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return err
	}
	start := time.Now()
	if p.propagation, err = r.changePeriodically(ctx, length); err != nil {
		return err
	}
	time.Sleep(maxMetricsAge)
	after, err := r.takeSamples()
	if err != nil {
		return err
	}
	tableAfter, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return err
	}
	p.seconds = time.Since(start).Seconds()
	p.table = subtract(tableAfter, tableBefore)
	for i, d := range r.cluster.Daemons {
		p.daemons = append(p.daemons, usageBetween(d.ID(), before[i], after[i], p.seconds))
	}
	return nil
}

// changePeriodically applies changes at the rate of the size for the given time and
// returns how long each took to be in force on all daemons.
func (r *runner) changePeriodically(ctx context.Context, length time.Duration) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	if r.size.ChangesPerMin == 0 {
		<-ctx.Done()
		return nil, nil
	}
	var propagation []time.Duration
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / r.size.ChangesPerMin))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return propagation, nil
		case <-ticker.C:
			elapsed, err := r.applyChange(context.WithoutCancel(ctx))
			if err != nil {
				return propagation, err
			}
			propagation = append(propagation, elapsed)
		}
	}
}

func (r *runner) takeSamples() ([]sample, error) {
	var out []sample
	for _, d := range r.cluster.Daemons {
		s, err := takeSample(d)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// usageBetween returns the usage of a daemon between two samples.
func usageBetween(daemon string, before, after sample, seconds float64) usage {
	u := usage{
		daemon: daemon, cpu: (after.cpuSeconds - before.cpuSeconds) / seconds, rss: after.rssBytes,
		rates: map[string]float64{}, gauges: after.metrics,
	}
	for name, v := range after.metrics {
		u.rates[name] = (v - before.metrics[name]) / seconds
	}
	u.planning = u.rates["samphirepath_planner_plan_count"] > 0 || after.metrics["samphirepath_planner_takeovers"] > 0
	return u
}

// measureStartsAndDisruptions measures urgent starts, then disruptions, and finally an
// urgent start right after the planner of the zone was killed.
func (r *runner) measureStartsAndDisruptions(ctx context.Context, p *point) error {
	zone := zoneName(0)
	for n := range urgentSamples {
		elapsed, err := r.measureUrgentStart(ctx, zone, n)
		if err != nil {
			return err
		}
		p.urgentStarts = append(p.urgentStarts, elapsed)
	}
	var err error
	if p.disruptions, err = r.causeDisruptions(ctx); err != nil {
		return err
	}
	planner, err := r.plannerOf(ctx, zone)
	if err != nil {
		return err
	}
	if err := planner.Kill(); err != nil {
		return err
	}
	r.removeDaemon(planner)
	p.takeoverStart, err = r.measureUrgentStart(ctx, zone, urgentSamples)
	return err
}

// removeDaemon removes a killed daemon, so that no more calls go to it.
func (r *runner) removeDaemon(killed *harness.Daemon) {
	var remaining []*harness.Daemon
	for _, d := range r.cluster.Daemons {
		if d != killed {
			remaining = append(remaining, d)
		}
	}
	r.cluster.Daemons = remaining
}

// plannerOf returns the daemon that plans for the zone.
func (r *runner) plannerOf(ctx context.Context, zone string) (*harness.Daemon, error) {
	for _, d := range r.cluster.Daemons {
		if d.Settings.Daemon.Zone != zone {
			continue
		}
		status, err := client.Call[api.Status](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
			return c.GetStatus(ctx)
		})
		if err != nil {
			return nil, err
		}
		return r.cluster.Daemon(status.Planner), nil
	}
	return nil, eris.Errorf("no daemon in zone %s", zone)
}

// measureUrgentStart submits an urgent gang and returns the time from submission to
// its start.
func (r *runner) measureUrgentStart(ctx context.Context, zone string, n int) (time.Duration, error) {
	start := time.Now()
	id, err := r.submit(ctx, urgentJobSpec(zone, n))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		job, err := client.Call[api.Job](r.cluster.Daemons[0].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
			return c.GetJob(ctx, id)
		})
		if err == nil && job.StartedMs > 0 {
			return time.UnixMilli(job.StartedMs).Sub(start), nil
		}
		if !sleep(ctx, pollEvery) {
			return 0, eris.Errorf("urgent job %s did not start", id)
		}
	}
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
