package explain

import (
	"fmt"
	"slices"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Organisation explains what an organisation is entitled to and holds in the
// zone of the snapshot, and who uses what it is entitled to.
func Organisation(name string, s planner.Snapshot, p planner.Plan) api.Explanation {
	out := api.Explanation{Subject: name, Kind: "organisation"}
	i := slices.IndexFunc(s.Catalogue.Organisations, func(o api.Organisation) bool { return o.Name == name })
	if i < 0 {
		out.Sentences = []string{fmt.Sprintf("The catalogue has no organisation %s.", name)}
		return out
	}
	o := s.Catalogue.Organisations[i]
	out.Sentences = append(out.Sentences, entitled(o, s, p)...)
	out.Sentences = append(out.Sentences, holds(o, s, p)...)
	if text := lent(o, s, p); text != "" {
		out.Sentences = append(out.Sentences, text)
	}
	return out
}

func entitled(o api.Organisation, s planner.Snapshot, p planner.Plan) []string {
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
			out = append(out, fmt.Sprintf("The guaranteed place is now on %s.", placeNames(r.Tasks)))
		}
	}
	for _, f := range p.Shortfalls {
		if f.Organisation == o.Name {
			out = append(out, sentence(f.Reason))
		}
	}
	return out
}

func placeNames(tasks []api.TaskPlacement) string { return workers(api.Job{Placement: tasks}) }

func holds(o api.Organisation, s planner.Snapshot, p planner.Plan) []string {
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
		out = append(out, fmt.Sprintf("%s for a place.", sentenceCount(waiting)))
	}
	if o.QuotaAccelerators > 0 {
		total := covered + borrowed + s.OrganisationUsageElsewhere[o.Name]
		out = append(out, fmt.Sprintf("Its quota is %d accelerators in all zones together, and it holds %d of them.", o.QuotaAccelerators, total))
	}
	return out
}

func sentenceCount(waiting int) string {
	return packing.Count(waiting, "job") + " " + verb(waiting, "waits", "wait")
}

// lent names those whose jobs lie on the guaranteed places of the organisation.
func lent(o api.Organisation, s planner.Snapshot, p planner.Plan) string {
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
		packing.Count(total, "accelerator"), list(names), o.Name)
}
