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
	// pollEvery is the interval of polls for a state.
	pollEvery = 50 * time.Millisecond
)

// Names in the catalogue of the tests.
const (
	callerToken  = "jobs-token"
	organisation = "crew"
	batchEntry   = "survey"
	urgentEntry  = "rescue"
)

// rig drives one cluster.
type rig struct {
	*harness.Cluster
	// restarts are the times at which workers were restarted.
	restarts map[string]time.Time
}

// restartWorker makes a worker forget its tasks.
func (r *rig) restartWorker(id string) error {
	r.restarts[id] = time.Now()
	return r.Standin.RestartWorker(id)
}

func (r *rig) applyCatalogue(ctx context.Context) error {
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
	head, err := client.Call[api.ConfigurationHead](r.Daemons[0].OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ApplyCatalogue(ctx, api.CatalogueApply{Catalogue: catalogue, ChangedBy: "test"})
	})
	if err != nil {
		return eris.Wrap(err, "apply catalogue")
	}
	return until(ctx, 10*time.Second, "the catalogue is in force everywhere", func() (bool, error) {
		for _, d := range r.Daemons {
			status, err := r.status(ctx, d)
			if err != nil || status.Revision < head.Revision {
				return false, err
			}
		}
		return true, nil
	})
}

func (r *rig) status(ctx context.Context, d *harness.Daemon) (api.Status, error) {
	return client.Call[api.Status](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.GetStatus(ctx)
	})
}

// planner waits until the daemon says that another daemon than the given one
// plans for its zone.
func (r *rig) planner(ctx context.Context, asked *harness.Daemon, not string) (*harness.Daemon, error) {
	var name string
	err := until(ctx, 20*time.Second, "a daemon plans", func() (bool, error) {
		status, err := r.status(ctx, asked)
		name = status.Planner
		return err == nil && name != "" && name != not, err
	})
	if err != nil {
		return nil, err
	}
	return r.Daemon(name), nil
}

func (r *rig) submit(ctx context.Context, d *harness.Daemon, spec api.JobSpec) (api.Job, error) {
	return client.Call[api.Job](d.CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.SubmitJob(ctx, spec)
	})
}

func (r *rig) job(ctx context.Context, d *harness.Daemon, id string) (api.Job, error) {
	return client.Call[api.Job](d.CallersURL(), callerToken, func(c *api.Client) (*http.Response, error) {
		return c.GetJob(ctx, id)
	})
}

// changeZone commits the state of a zone through a daemon. It returns the time at which
// the answer arrived, which is not before the commit.
func (r *rig) changeZone(ctx context.Context, d *harness.Daemon, zone string, state api.ZoneState) (time.Time, error) {
	_, err := client.Call[api.ConfigurationHead](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ChangeZone(ctx, zone, api.ZoneChange{State: state, ChangedBy: "test", Reason: "test"})
	})
	return time.Now(), eris.Wrapf(err, "set zone %s %s", zone, state)
}

// history returns the attempts by job.
func (r *rig) history() (map[string][]standin.TaskHistory, error) {
	tasks, err := r.Standin.Tasks()
	byJob := map[string][]standin.TaskHistory{}
	for _, t := range tasks {
		byJob[t.JobID] = append(byJob[t.JobID], t)
	}
	return byJob, err
}

// gangSpec is a job of equal tasks that run for a time, in one zone.
func gangSpec(key string, tasks int, run time.Duration, zones ...string) api.JobSpec {
	return api.JobSpec{
		Key: key, Name: key, Entry: batchEntry, Tasks: tasks, Zones: zones,
		Resources:  api.Resources{Cores: 1, MemoryMb: 64},
		Parameters: map[string]string{standin.ParamRunMs: fmt.Sprint(run.Milliseconds())},
	}
}

// until repeats a check until it holds. The error of the last check is reported
// when it does not hold in time.
func until(ctx context.Context, wait time.Duration, what string, check func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		ok, err := check()
		if ok {
			return nil
		}
		if !sleep(ctx, pollEvery) {
			return eris.Errorf("not in %s: %s (%v)", wait, what, err)
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

// waitState waits until the job is in the state.
func (r *rig) waitState(ctx context.Context, d *harness.Daemon, id string, state api.JobState, wait time.Duration) error {
	return until(ctx, wait, fmt.Sprintf("job %s is %s", id, state), func() (bool, error) {
		job, err := r.job(ctx, d, id)
		if err == nil && job.State != state {
			err = eris.Errorf("it is %s: %s", job.State, job.Reason)
		}
		return err == nil, err
	})
}
