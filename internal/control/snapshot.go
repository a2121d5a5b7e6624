package control

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// NewSnapshot builds the input of a plan for a zone from the configuration, the
// workers of the zone and the job rows of all zones.
func NewSnapshot(now time.Time, zone string, config api.Configuration, workers []planner.Worker, rows []*jobs.Row) planner.Snapshot {
	s := planner.Snapshot{
		Now: now, Zone: zone, ZoneState: zoneState(config.Head.Zones, zone), Catalogue: config.Catalogue, Workers: workers,
		TeamUsageElsewhere: map[string]int{}, OrganisationUsageElsewhere: map[string]int{},
	}
	s.LastCheckpoint = map[string]time.Time{}
	for _, row := range rows {
		addJob(&s, row.Job)
		if row.Job.CheckpointMs > 0 {
			s.LastCheckpoint[row.Job.ID] = time.UnixMilli(row.Job.CheckpointMs)
		}
	}
	return s
}

func addJob(s *planner.Snapshot, job api.Job) {
	switch {
	case jobs.HoldsPlacement(job.State) && job.Zone == s.Zone:
		s.Jobs = append(s.Jobs, job)
	case jobs.HoldsPlacement(job.State):
		used := len(job.Placement) * job.Spec.Resources.Accelerators
		s.OrganisationUsageElsewhere[job.Organisation] += used
		if job.Spec.Team != "" {
			s.TeamUsageElsewhere[job.Spec.Team] += used
		}
	case job.State == api.JobStateWaiting && !job.CancelRequested && jobs.AllowsZone(job.Spec, s.Zone):
		s.Jobs = append(s.Jobs, job)
	}
}

// zoneState returns the state of a zone. A zone that is not in the configuration
// counts as out of service.
func zoneState(zones []api.Zone, name string) api.ZoneState {
	for _, z := range zones {
		if z.Name == name {
			return z.State
		}
	}
	return api.Out
}
