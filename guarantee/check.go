package guarantee

import (
	"slices"
	"strings"

	"github.com/samphirepath/samphirepath/api"
)

// CheckResult is the result of Check.
type CheckResult struct {
	Accepted   bool
	Reason     string // why the change is refused; empty if it is accepted
	Shortfalls []Shortfall
}

// Check reports whether the workers, when empty, hold all guarantees that the
// proposed catalogue gives in the zone. An existing shortfall blocks a change
// only if the change increases it, so that operators can edit the catalogue
// while workers are lost. Free, FutureFree and Loss of the workers are not used.
func Check(zone string, current, proposed api.Catalogue, workers []Worker) CheckResult {
	after := reserveEmpty(workers, ForZone(proposed, zone))
	if len(after.Shortfalls) == 0 {
		return CheckResult{Accepted: true}
	}
	before := missingByOrganisation(reserveEmpty(workers, ForZone(current, zone)).Shortfalls)
	var worse []string
	for org, missing := range missingByOrganisation(after.Shortfalls) {
		if previous := before[org]; missing.tasks > previous.tasks || missing.accelerators > previous.accelerators {
			worse = append(worse, org)
		}
	}
	if len(worse) == 0 {
		return CheckResult{Accepted: true, Shortfalls: after.Shortfalls}
	}
	var reasons []string
	for _, s := range after.Shortfalls {
		if slices.Contains(worse, s.Guarantee.Organisation) {
			reasons = append(reasons, s.Reason)
		}
	}
	return CheckResult{Reason: strings.Join(reasons, "; "), Shortfalls: after.Shortfalls}
}

type missingTotals struct{ tasks, accelerators int }

func missingByOrganisation(shortfalls []Shortfall) map[string]missingTotals {
	out := make(map[string]missingTotals)
	for _, s := range shortfalls {
		m := out[s.Guarantee.Organisation]
		m.tasks += s.MissingTasks
		m.accelerators += s.MissingAccelerators
		out[s.Guarantee.Organisation] = m
	}
	return out
}

func reserveEmpty(workers []Worker, guarantees []Guarantee) Result {
	cleared := slices.Clone(workers)
	for i := range cleared {
		cleared[i].Free, cleared[i].FutureFree, cleared[i].Loss = cleared[i].Usable, cleared[i].Usable, nil
	}
	return Reserve(cleared, guarantees, nil)
}
