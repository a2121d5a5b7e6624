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
	// loadTimeout bounds the time until all tasks of a size run.
	loadTimeout = 2 * time.Minute
	// pollEvery is the interval of polls for a state.
	pollEvery = 20 * time.Millisecond
	// urgentSamples is the number of urgent jobs started one after the other.
	urgentSamples = 10
	// metricsLag is a little more than the age that values of daemons may have; without
	// it the last change of a window would not be counted.
	metricsLag = 700 * time.Millisecond
	// maxFullFormWindow bounds the window with the full form of renewals.
	maxFullFormWindow = 20 * time.Second
)

// usage is what one daemon spent per second during the window.
type usage struct {
	vm       string
	planning bool
	cpu      float64 // share of a core
	rss      float64 // bytes
	rates    map[string]float64
	gauges   map[string]float64
}

// point is the outcome of one size.
type point struct {
	size    size
	daemons []usage
	table   standin.TableCounters // counters of the window, per second below
	seconds float64
	spread  []time.Duration // time until a change was in force on all daemons
	urgent  []time.Duration // time from submission to the start of an urgent gang
	// takeover is the same time for a job submitted right after its planner was killed.
	takeover time.Duration
	failures []event
	// changing is the same load while the configuration is changed all the time.
	changing *point
	// fullForm is the same load with workers that do not know the set form of renewals.
	fullForm *point
}

type measurer struct {
	window, settle time.Duration
}

func (m *measurer) series(ctx context.Context, s series) (series, error) {
	for _, v := range s.values {
		size := baseSize()
		s.apply(&size, v)
		fmt.Printf("%s %g\n", s.name, v)
		p, err := m.measure(ctx, size)
		if err != nil {
			return s, eris.Wrapf(err, "measure %s %g", s.name, v)
		}
		s.points = append(s.points, p)
	}
	return s, nil
}

// measure runs a cluster of the size and takes samples around the window.
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
	if err := r.window(ctx, &p, m.window); err != nil {
		return point{}, err
	}
	if err := r.checkRunning(ctx); err != nil {
		return point{}, err
	}
	if !s.MeasureFailover {
		return p, nil
	}
	if err := m.variants(ctx, r, &p); err != nil {
		return point{}, err
	}
	return p, r.events(ctx, &p)
}

// variants measures the same load with changes of configuration, and with
// renewals in the full form.
func (m *measurer) variants(ctx context.Context, r *runner, p *point) error {
	r.size.ChangesPerMin = changesPerMin
	p.changing = &point{size: r.size}
	if err := r.window(ctx, p.changing, m.window); err != nil {
		return err
	}
	r.size.ChangesPerMin = 0
	if err := r.ignoreSets(); err != nil {
		return err
	}
	time.Sleep(m.settle)
	p.fullForm = &point{size: r.size}
	if err := r.window(ctx, p.fullForm, m.fullFormWindow()); err != nil {
		return err
	}
	return r.checkRunning(ctx)
}

// checkRunning fails when a gang has ended: its figures would not be those of the
// size, and its lease was not renewed.
func (r *runner) checkRunning(ctx context.Context) error {
	running, err := r.running(ctx)
	if err == nil && running != r.loaded {
		err = eris.Errorf("%d of %d gangs still run after a window", running, r.loaded)
	}
	return err
}

// fullFormWindow is long enough for some renewals of each worker.
func (m *measurer) fullFormWindow() time.Duration { return min(m.window, maxFullFormWindow) }

// ignoreSets makes all workers renew only listed leases, so that keepers take the
// full form.
func (r *runner) ignoreSets() error {
	for id := range r.cluster.Standin.Addresses.Workers {
		if err := r.cluster.Standin.SetFaults("workers/"+id, standin.Faults{IgnoreSets: true}); err != nil {
			return err
		}
	}
	return nil
}

// runner drives one cluster.
type runner struct {
	cluster *harness.Cluster
	size    size
	changes int
	loaded  int // gangs that were submitted
}

// load applies the catalogue, submits all gangs and waits until they run.
func (r *runner) load(ctx context.Context) error {
	if _, err := r.change(ctx); err != nil {
		return err
	}
	var ids []string
	for z := range r.size.Zones {
		for n := range r.size.TasksPerZone / tasksPerJob {
			id, err := r.submit(ctx, r.size.job(zoneName(z), n))
			if err != nil {
				return err
			}
			ids = append(ids, id)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r.loaded = len(ids)
	return r.waitRunning(ctx, r.loaded)
}

func (r *runner) waitRunning(ctx context.Context, want int) error {
	for {
		running, err := r.running(ctx)
		if err == nil && running >= want {
			return nil
		}
		if !sleep(ctx, 10*pollEvery) {
			return eris.Errorf("%d of %d gangs run (%v)", running, want, err)
		}
	}
}

func (r *runner) running(ctx context.Context) (int, error) {
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

// await polls the jobs until the condition holds.
func (r *runner) await(ctx context.Context, holds func([]api.Job) bool) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		jobs, err := r.jobs(ctx)
		if err == nil && holds(jobs) {
			return nil
		}
		if !sleep(ctx, 10*pollEvery) {
			return eris.Errorf("jobs did not reach the state waited for (%v)", err)
		}
	}
}

func (r *runner) changeZone(ctx context.Context, state api.ZoneState) error {
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

// change applies the catalogue with another quota, through one daemon after the
// other, and returns the time until it was in force on all of them.
func (r *runner) change(ctx context.Context) (time.Duration, error) {
	d := r.cluster.Daemons[r.changes%len(r.cluster.Daemons)]
	r.changes++
	began := time.Now()
	head, err := client.Call[api.ConfigurationHead](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ApplyCatalogue(ctx, api.CatalogueApply{
			ExpectedRevision: int64(r.changes - 1), Catalogue: r.size.catalogue(100 + r.changes), ChangedBy: "capacity",
		})
	})
	if err != nil {
		return 0, eris.Wrap(err, "apply the catalogue")
	}
	for _, other := range r.cluster.Daemons {
		if err := awaitRevision(ctx, other, head.Revision); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

func awaitRevision(ctx context.Context, d *harness.Daemon, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
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

// window takes samples around a time in which only changes of configuration happen.
func (r *runner) window(ctx context.Context, p *point, length time.Duration) error {
	before, err := r.samples()
	if err != nil {
		return err
	}
	tableBefore, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return err
	}
	began := time.Now()
	if p.spread, err = r.changeFor(ctx, length); err != nil {
		return err
	}
	time.Sleep(metricsLag)
	after, err := r.samples()
	if err != nil {
		return err
	}
	tableAfter, err := r.cluster.Standin.TableCounters()
	if err != nil {
		return err
	}
	p.seconds = time.Since(began).Seconds()
	p.table = subtract(tableAfter, tableBefore)
	for i, d := range r.cluster.Daemons {
		p.daemons = append(p.daemons, rates(d.ID(), before[i], after[i], p.seconds))
	}
	return nil
}

func (r *runner) changeFor(ctx context.Context, length time.Duration) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	if r.size.ChangesPerMin == 0 {
		<-ctx.Done()
		return nil, nil
	}
	var spread []time.Duration
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / r.size.ChangesPerMin))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return spread, nil
		case <-ticker.C:
			took, err := r.change(context.WithoutCancel(ctx))
			if err != nil {
				return spread, err
			}
			spread = append(spread, took)
		}
	}
}

func (r *runner) samples() ([]sample, error) {
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

func rates(vm string, before, after sample, seconds float64) usage {
	u := usage{
		vm: vm, cpu: (after.cpuSeconds - before.cpuSeconds) / seconds, rss: after.rssBytes,
		rates: map[string]float64{}, gauges: after.counters,
	}
	for name, v := range after.counters {
		u.rates[name] = (v - before.counters[name]) / seconds
	}
	u.planning = u.rates["samphirepath_planner_plan_count"] > 0 || after.counters["samphirepath_planner_takeovers"] > 0
	return u
}

// events times urgent starts, then the same after the planner has been killed.
func (r *runner) events(ctx context.Context, p *point) error {
	zone := zoneName(0)
	for n := range urgentSamples {
		took, err := r.urgentStart(ctx, zone, n)
		if err != nil {
			return err
		}
		p.urgent = append(p.urgent, took)
	}
	var err error
	if p.failures, err = r.failures(ctx); err != nil {
		return err
	}
	planner, err := r.planner(ctx, zone)
	if err != nil {
		return err
	}
	if err := planner.Kill(); err != nil {
		return err
	}
	r.dropKilled(planner)
	p.takeover, err = r.urgentStart(ctx, zone, urgentSamples)
	return err
}

func (r *runner) dropKilled(killed *harness.Daemon) {
	var left []*harness.Daemon
	for _, d := range r.cluster.Daemons {
		if d != killed {
			left = append(left, d)
		}
	}
	r.cluster.Daemons = left
}

func (r *runner) planner(ctx context.Context, zone string) (*harness.Daemon, error) {
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
	return nil, eris.Errorf("no daemon in %s", zone)
}

func (r *runner) urgentStart(ctx context.Context, zone string, n int) (time.Duration, error) {
	began := time.Now()
	id, err := r.submit(ctx, urgentJob(zone, n))
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		job, err := client.Call[api.Job](r.cluster.Daemons[0].CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
			return c.GetJob(ctx, id)
		})
		if err == nil && job.StartedMs > 0 {
			return time.UnixMilli(job.StartedMs).Sub(began), nil
		}
		if !sleep(ctx, pollEvery) {
			return 0, eris.Errorf("urgent job %s did not start", id)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
