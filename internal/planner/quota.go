package planner

import (
	"cmp"
	"fmt"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// usage counts the accelerators that teams and organisations hold, in this zone
// and in others, against their quotas.
type usage struct {
	teams         map[string]*account
	organisations map[string]*account
}

// account is the usage of one team or organisation.
type account struct {
	organisation string
	limit        int
	limited      bool
	used         int
	entitlement  int // guaranteed accelerators in the zone, else the quota; at least 1
}

func newUsage(s *Snapshot) *usage {
	u := &usage{
		teams:         make(map[string]*account, len(s.Catalogue.Teams)),
		organisations: make(map[string]*account, len(s.Catalogue.Organisations)),
	}
	for i := range s.Catalogue.Organisations {
		o := &s.Catalogue.Organisations[i]
		entitled := guaranteedAccelerators(o, s.Zone)
		if entitled == 0 {
			entitled = o.QuotaAccelerators
		}
		u.organisations[o.Name] = &account{
			limit: o.QuotaAccelerators, limited: o.QuotaAccelerators > 0, entitlement: max(1, entitled),
			used: s.OrganisationUsageElsewhere[o.Name],
		}
	}
	for _, t := range s.Catalogue.Teams {
		u.teams[t.Name] = &account{
			organisation: t.Organisation, limit: t.QuotaAccelerators, limited: true,
			used: s.TeamUsageElsewhere[t.Name],
		}
	}
	for i := range s.Jobs {
		if j := &s.Jobs[i]; holdsPlacement(j) {
			u.add(j.Organisation, j.Spec.Team, j.Spec.Tasks*j.Spec.Resources.Accelerators)
		}
	}
	return u
}

func (u *usage) add(organisation, team string, accelerators int) {
	if a := u.organisations[organisation]; a != nil {
		a.used += accelerators
	}
	if a := u.teams[team]; a != nil && team != "" {
		a.used += accelerators
	}
}

// compareShare compares what two organisations hold relative to their
// entitlement.
func (u *usage) compareShare(a, b string) int {
	x, y := u.organisations[a], u.organisations[b]
	if x == nil || y == nil {
		return 0
	}
	return cmp.Compare(int64(x.used)*int64(y.entitlement), int64(y.used)*int64(x.entitlement))
}

// blockedReason returns why quotas keep a job from starting now, or an empty
// string.
func (u *usage) blockedReason(w *waitingJob) string {
	n := w.accelerators()
	check := func(kind, name string, a *account) string {
		if a == nil || !a.limited || n == 0 || a.used+n <= a.limit {
			return ""
		}
		return fmt.Sprintf("Needs %s, and %s %s holds %d of its quota of %d; it starts when other jobs of the %s end.",
			packing.Count(n, "accelerator"), kind, name, a.used, a.limit, kind)
	}
	if reason := check("team", w.job.Spec.Team, u.teams[w.job.Spec.Team]); w.job.Spec.Team != "" && reason != "" {
		return reason
	}
	return check("organisation", w.job.Organisation, u.organisations[w.job.Organisation])
}

// infeasibleReason returns why quotas keep a job from ever starting, or an
// empty string.
func (u *usage) infeasibleReason(job *api.Job) string {
	n := job.Spec.Tasks * job.Spec.Resources.Accelerators
	if n == 0 {
		return ""
	}
	if a := u.teams[job.Spec.Team]; a != nil && job.Spec.Team != "" && n > a.limit {
		return fmt.Sprintf("The job needs %s, more than the quota of %d of team %s.",
			packing.Count(n, "accelerator"), a.limit, job.Spec.Team)
	}
	if a := u.organisations[job.Organisation]; a != nil && a.limited && n > a.limit {
		return fmt.Sprintf("The job needs %s, more than the quota of %d of organisation %s.",
			packing.Count(n, "accelerator"), a.limit, job.Organisation)
	}
	return ""
}
