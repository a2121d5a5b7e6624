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

// Explain implements entry.Explainer. It looks the subject up as an organisation, a
// job and a request key, in this order.
func (d *Daemon) Explain(ctx context.Context, caller entry.Caller, subject string) (api.Explanation, bool, error) {
	if d.isOrganisation(subject) && (caller.Operator || caller.Organisation == subject) {
		return d.explainOrganisation(ctx, subject), true, nil
	}
	row, err := d.follower.Fetch(ctx, subject)
	if err != nil {
		row = d.follower.Get(subject) // use the last known row while the store is unavailable
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

// explainJob explains a job from the plan of the zone that holds it or in which it
// would be planned. Every daemon can compute the plan of every zone from the job rows,
// so the answer does not depend on which daemon was asked.
func (d *Daemon) explainJob(ctx context.Context, job api.Job) api.Explanation {
	zones := d.configuration.Current().Head.Zones
	zone := cmp.Or(job.Zone, jobs.HomeZone(job, zones), d.settings.Daemon.Zone)
	snapshot, plan := d.planFor(ctx, zone)
	return explain.Job(job, snapshot, cmp.Or(plan.Reasons[job.ID], job.Reason))
}

// explainOrganisation explains what the organisation is guaranteed and holds in each
// zone.
func (d *Daemon) explainOrganisation(ctx context.Context, name string) api.Explanation {
	explanation := api.Explanation{Subject: name, Kind: "organisation"}
	for _, zone := range d.configuration.Current().Head.Zones {
		snapshot, plan := d.planFor(ctx, zone.Name)
		for _, sentence := range explain.Organisation(name, snapshot, plan).Sentences {
			if !slices.Contains(explanation.Sentences, sentence) {
				explanation.Sentences = append(explanation.Sentences, sentence)
			}
		}
	}
	return explanation
}

// planFor returns a snapshot of a zone, built from the data of this daemon, and the
// plan for it. If this daemon plans for the zone, it is the plan in force, else one
// computed from the snapshot.
func (d *Daemon) planFor(ctx context.Context, zone string) (planner.Snapshot, planner.Plan) {
	workers, err := d.inventory.PlannerWorkers(ctx, zone)
	if err != nil {
		workers = nil // the explanation then omits free capacity
	}
	snapshot := control.NewSnapshot(time.Now(), zone, d.configuration.Current(), workers, d.follower.Rows())
	if state := d.control.Current(); state.HoldsLease && zone == d.settings.Daemon.Zone {
		return snapshot, state.Plan
	}
	return snapshot, planner.Compute(snapshot)
}
