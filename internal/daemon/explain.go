package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/control"
	"github.com/samphirepath/samphirepath/internal/entry"
	"github.com/samphirepath/samphirepath/internal/explain"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Explain implements entry.Explainer. The subject is looked up as an
// organisation, a job and a request key, in this order.
func (d *Daemon) Explain(ctx context.Context, caller entry.Caller, subject string) (api.Explanation, bool, error) {
	if d.isOrganisation(subject) && (caller.Operator || caller.Organisation == subject) {
		return d.explainOrganisation(ctx, subject), true, nil
	}
	row, err := d.follower.Fetch(ctx, subject)
	if err != nil {
		row = d.follower.Get(subject) // the last known row answers while the store is down
	}
	if row != nil && (caller.Operator || row.Job.Organisation == caller.Organisation) {
		return d.explainJob(ctx, row.Job), true, nil
	}
	if err != nil || caller.Operator {
		return api.Explanation{}, false, err
	}
	result, found, err := d.router.Lookup(ctx, caller.Organisation, subject)
	if err != nil || !found {
		return api.Explanation{}, false, err
	}
	return explain.Request("", result), true, nil
}

func (d *Daemon) isOrganisation(name string) bool {
	return slices.ContainsFunc(d.configuration.Current().Catalogue.Organisations, func(o api.Organisation) bool { return o.Name == name })
}

// explainJob looks at the zone that holds the job or would plan it. Any daemon
// can compute the plan of any zone from the job rows, so the answer does not
// depend on which daemon was asked.
func (d *Daemon) explainJob(ctx context.Context, job api.Job) api.Explanation {
	zones := d.configuration.Current().Head.Zones
	zone := cmp.Or(job.Zone, jobs.HomeZone(job, zones), d.settings.Daemon.Zone)
	snapshot, plan := d.planOf(ctx, zone)
	return explain.Job(job, snapshot, cmp.Or(plan.Reasons[job.ID], job.Reason))
}

// explainOrganisation speaks about every zone in which the organisation has a
// guarantee or holds something.
func (d *Daemon) explainOrganisation(ctx context.Context, name string) api.Explanation {
	out := api.Explanation{Subject: name, Kind: "organisation"}
	for _, zone := range d.configuration.Current().Head.Zones {
		snapshot, plan := d.planOf(ctx, zone.Name)
		for _, sentence := range explain.Organisation(name, snapshot, plan).Sentences {
			if !slices.Contains(out.Sentences, sentence) {
				out.Sentences = append(out.Sentences, sentence)
			}
		}
	}
	return out
}

// planOf computes the plan of a zone from what this daemon knows. For the own
// zone of the planning daemon it takes the plan in force.
func (d *Daemon) planOf(ctx context.Context, zone string) (planner.Snapshot, planner.Plan) {
	workers, err := d.inventory.PlannerWorkers(ctx, zone)
	if err != nil {
		workers = nil // sentences about free places are left out
	}
	snapshot := control.NewSnapshot(time.Now(), zone, d.configuration.Current(), workers, d.follower.Rows())
	if state := d.control.Current(); state.Planning && zone == d.settings.Daemon.Zone {
		return snapshot, state.Plan
	}
	return snapshot, planner.Compute(snapshot)
}
