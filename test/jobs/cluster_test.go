package jobs

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
	// pollEvery is the interval at which waitUntil repeats its check.
	pollEvery = 50 * time.Millisecond
)

// Names in the catalogue of the tests.
const (
	callerToken  = "jobs-token"
	organisation = "crew"
	batchEntry   = "survey"
	urgentEntry  = "rescue"
)

// testCluster is a cluster with the operations that the fault cases need.
type testCluster struct {
	*harness.Cluster
	// restartTimes holds the time of the last restart of each restarted worker.
	restartTimes map[string]time.Time
}

// restartWorker restarts a worker, which loses its tasks and their results.
func (tc *testCluster) restartWorker(id string) error {
	tc.restartTimes[id] = time.Now()
	return tc.Standin.RestartWorker(id)
}

func (tc *testCluster) applyCatalogue(ctx context.Context) error {
	catalogue := api.Catalogue{
		Organisations: []api.Organisation{{Name: organisation, TokenSha256: harness.TokenHash(callerToken)}},
		Teams:         []api.Team{},
		Classes: []api.Class{
			{Name: "batch", Urgency: api.Batch, Adjacency: api.AdjacencyZone},
			{Name: "urgent", Urgency: api.Urgent, Adjacency: api.AdjacencyZone},
		},
		Entries: []api.Entry{
			{Name: batchEntry, Kind: api.EntryKindJob, Owner: organisation, Class: "batch"},
			{Name: urgentEntry, Kind: api.EntryKindJob, Owner: organisation, Class: "urgent"},
		},
	}
	head, err := client.Call[api.ConfigurationHead](tc.Daemons[0].OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ApplyCatalogue(ctx, api.CatalogueApply{Catalogue: catalogue, ChangedBy: "test"})
	})
	if err != nil {
		return eris.Wrap(err, "apply catalogue")
	}
	return waitUntil(ctx, 10*time.Second, "the catalogue is in force on all daemons", func() (bool, error) {
		for _, d := range tc.Daemons {
			status, err := tc.status(ctx, d)
			if err != nil || status.Revision < head.Revision {
				return false, err
			}
		}
		return true, nil
	})
}

func (tc *testCluster) status(ctx context.Context, d *harness.Daemon) (api.Status, error) {
	return client.Call[api.Status](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.GetStatus(ctx)
	})
}

// planner waits until daemon d reports a planner of its zone other than the
// previous one, and returns that planner.
func (tc *testCluster) planner(ctx context.Context, d *harness.Daemon, previous string) (*harness.Daemon, error) {
	var name string
	err := waitUntil(ctx, 20*time.Second, "the zone has a new planner", func() (bool, error) {
		status, err := tc.status(ctx, d)
		name = status.Planner
		return err == nil && name != "" && name != previous, err
	})
	if err != nil {
		return nil, err
	}
	return tc.Daemon(name), nil
}

func (tc *testCluster) submit(ctx context.Context, d *harness.Daemon, spec api.JobSpec) (api.Job, error) {
	return client.Call[api.Job](d.CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.SubmitJob(ctx, spec)
	})
}

func (tc *testCluster) job(ctx context.Context, d *harness.Daemon, id string) (api.Job, error) {
	return client.Call[api.Job](d.CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.GetJob(ctx, id)
	})
}

// changeZone sets the state of a zone through a daemon. It returns the time at which
// the answer arrived; the change was committed before.
func (tc *testCluster) changeZone(ctx context.Context, d *harness.Daemon, zone string, state api.ZoneState) (time.Time, error) {
	_, err := client.Call[api.ConfigurationHead](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ChangeZone(ctx, zone, api.ZoneChange{State: state, ChangedBy: "test", Reason: "test"})
	})
	return time.Now(), eris.Wrapf(err, "set zone %s to state %s", zone, state)
}

// history returns the task histories of all workers, grouped by job.
func (tc *testCluster) history() (map[string][]standin.TaskHistory, error) {
	tasks, err := tc.Standin.Tasks()
	byJob := map[string][]standin.TaskHistory{}
	for _, t := range tasks {
		byJob[t.JobID] = append(byJob[t.JobID], t)
	}
	return byJob, err
}

// gangSpec returns the specification of a job with identical tasks, each of which runs
// for runTime. The job may run in any of the given zones; no zones means that it may run
// in every zone.
func gangSpec(key string, tasks int, runTime time.Duration, zones ...string) api.JobSpec {
	return api.JobSpec{
		Key: key, Name: key, Entry: batchEntry, Tasks: tasks, Zones: zones,
		Resources:  api.Resources{Cores: 1, MemoryMb: 64},
		Parameters: map[string]string{standin.ParamRunMs: fmt.Sprint(runTime.Milliseconds())},
	}
}

// waitUntil repeats a check until it returns true. When the timeout expires first, the
// error contains the error of the last check.
func waitUntil(ctx context.Context, timeout time.Duration, condition string, check func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		ok, err := check()
		if ok {
			return nil
		}
		if !sleep(ctx, pollEvery) {
			return eris.Errorf("timed out after %s waiting until %s: %v", timeout, condition, err)
		}
	}
}

// sleep reports whether the duration passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitState waits until a job is in the given state.
func (tc *testCluster) waitState(ctx context.Context, d *harness.Daemon, id string, state api.JobState, timeout time.Duration) error {
	return waitUntil(ctx, timeout, fmt.Sprintf("job %s is %s", id, state), func() (bool, error) {
		job, err := tc.job(ctx, d, id)
		if err == nil && job.State != state {
			err = eris.Errorf("job is %s: %s", job.State, job.Reason)
		}
		return err == nil, err
	})
}
