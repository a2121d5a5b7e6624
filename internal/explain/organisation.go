package explain

import (
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Organisation explains the guarantees and the usage of an organisation in the zone of
// the snapshot, and which jobs of others use its guaranteed capacity.
func Organisation(name string, s planner.Snapshot, p planner.Plan) api.Explanation {
	out := api.Explanation{Subject: name, Kind: "organisation"}
	i := slices.IndexFunc(s.Catalogue.Organisations, func(o api.Organisation) bool { return o.Name == name })
	if i < 0 {
		out.Sentences = []string{fmt.Sprintf("The catalogue has no organisation %s.", name)}
		return out
	}
	o := s.Catalogue.Organisations[i]
	out.Sentences = append(out.Sentences, describeGuarantee(o, s, p)...)
	out.Sentences = append(out.Sentences, describeUsage(o, s, p)...)
	if text := describeBorrowing(o, s, p); text != "" {
		out.Sentences = append(out.Sentences, text)
	}
	return out
}

// describeGuarantee describes the guarantees of the organisation in the zone, where
// they are reserved, and their shortfalls.
func describeGuarantee(o api.Organisation, s planner.Snapshot, p planner.Plan) []string {
	var out []string
	for _, g := range o.Guarantees {
		if g.Zone == s.Zone {
			out = append(out, fmt.Sprintf("%s is guaranteed %s in zone %s.", o.Name,
				packing.Describe(g.Tasks, g.Resources, g.Adjacency, g.AcceleratorModel), s.Zone))
		}
	}
	if len(out) == 0 {
		out = append(out, fmt.Sprintf("%s has no guarantee in zone %s; its jobs there use what others leave free.", o.Name, s.Zone))
	}
	if s.ZoneState == api.Out {
		return append(out, fmt.Sprintf("Zone %s is out of service, so nothing runs there until operators bring it back.", s.Zone))
	}
	for _, r := range p.Reservations {
		if r.Organisation == o.Name {
			out = append(out, fmt.Sprintf("The guaranteed place is now on %s.", placementWorkers(r.Tasks)))
		}
	}
	for _, f := range p.Shortfalls {
		if f.Organisation == o.Name {
			out = append(out, toSentence(f.Reason))
		}
	}
	return out
}

func placementWorkers(tasks []api.TaskPlacement) string {
	return workerNames(api.Job{Placement: tasks})
}

// describeUsage describes the accelerators that the jobs of the organisation hold, its
// waiting jobs and its quota.
func describeUsage(o api.Organisation, s planner.Snapshot, p planner.Plan) []string {
	var covered, borrowed, waiting, jobs int
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.Organisation != o.Name {
			continue
		}
		n := j.Spec.Tasks * j.Spec.Resources.Accelerators
		switch {
		case j.State == api.JobStateWaiting:
			waiting++
		case len(j.Placement) == 0:
		case j.Covered && !slices.Contains(p.Demoted, j.ID):
			covered += n
			jobs++
		default:
			borrowed += n
			jobs++
		}
	}
	out := []string{fmt.Sprintf("It holds %s with %s: %d inside its guarantee and %d borrowed.",
		packing.Count(covered+borrowed, "accelerator"), packing.Count(jobs, "job"), covered, borrowed)}
	if waiting > 0 {
		out = append(out, fmt.Sprintf("%s for a place.", waitingJobs(waiting)))
	}
	if o.QuotaAccelerators > 0 {
		total := covered + borrowed + s.OrganisationUsageElsewhere[o.Name]
		out = append(out, fmt.Sprintf("Its quota is %d accelerators in all zones together, and it holds %d of them.", o.QuotaAccelerators, total))
	}
	return out
}

func waitingJobs(waiting int) string {
	return packing.Count(waiting, "job") + " " + plural(waiting, "waits", "wait")
}

// describeBorrowing lists the jobs of other organisations that use the accelerators
// reserved for the guarantees of the organisation. It is empty if there are none.
func describeBorrowing(o api.Organisation, s planner.Snapshot, p planner.Plan) string {
	reserved := make(map[string]packing.Set)
	for _, r := range p.Reservations {
		if r.Organisation == o.Name {
			for _, t := range r.Tasks {
				reserved[t.Worker] |= packing.SetOf(t.Accelerators)
			}
		}
	}
	total := 0
	var names []string
	for i := range s.Jobs {
		j := &s.Jobs[i]
		n := 0
		for _, t := range j.Placement {
			n += (reserved[t.Worker] & packing.SetOf(t.Accelerators)).Len()
		}
		if n == 0 || j.Organisation == o.Name {
			continue
		}
		total += n
		names = append(names, fmt.Sprintf("%s of %s (%d)", j.Spec.Name, j.Organisation, n))
	}
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("Others borrow %s of the guaranteed place: %s; they are checkpointed and stopped within seconds when %s needs it.",
		packing.Count(total, "accelerator"), joinNames(names), o.Name)
}
