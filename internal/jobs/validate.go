package jobs

import (
	"fmt"
	"unicode/utf8"

	"github.com/samphirepath/samphirepath/api"
)

const (
	// maxKeyLength bounds the idempotency key, in characters.
	maxKeyLength = 128
	// maxNameLength bounds the name of a job, in characters.
	maxNameLength = 256
	// MaxTasks bounds the tasks of a gang.
	MaxTasks = 32
	// maxParameterBytes bounds the parameters, which are stored in the job row.
	maxParameterBytes = 16 << 10
)

// CheckSpec returns the reason why a spec is invalid regardless of the catalogue,
// or "".
func CheckSpec(spec api.JobSpec) string {
	r := spec.Resources
	switch n := utf8.RuneCountInString(spec.Key); {
	case n < 1 || n > maxKeyLength:
		return fmt.Sprintf("key must have 1 to %d characters", maxKeyLength)
	case utf8.RuneCountInString(spec.Name) > maxNameLength:
		return fmt.Sprintf("name has more than %d characters", maxNameLength)
	case spec.Entry == "":
		return "entry is missing"
	case spec.Tasks < 1 || spec.Tasks > MaxTasks:
		return fmt.Sprintf("tasks must be 1 to %d", MaxTasks)
	case r.Cores < 0 || r.MemoryMb < 0 || r.Accelerators < 0:
		return "resources must not be negative"
	case r.Cores == 0 && r.MemoryMb == 0 && r.Accelerators == 0:
		return "resources must not all be zero"
	case spec.RunTimeS < 0:
		return "run_time_s must not be negative"
	case parameterBytes(spec) > maxParameterBytes:
		return fmt.Sprintf("parameters have more than %d bytes", maxParameterBytes)
	}
	return ""
}

func parameterBytes(spec api.JobSpec) int {
	n := 0
	for k, v := range spec.Parameters {
		n += len(k) + len(v)
	}
	return n
}

// Validate checks a well-formed spec against the configuration. It returns the
// class of the entry, or the reason why the job is refused.
func Validate(c api.Configuration, organisation string, spec api.JobSpec) (api.Class, string) {
	entry, ok := findEntry(c.Catalogue, spec.Entry)
	if !ok || entry.Kind != api.EntryKindJob {
		return api.Class{}, fmt.Sprintf("entry %q is not a job entry of the catalogue", spec.Entry)
	}
	if !allowedToUse(entry, organisation) {
		return api.Class{}, fmt.Sprintf("organisation %q may not use entry %q", organisation, spec.Entry)
	}
	class, ok := findClass(c.Catalogue, entry.Class)
	if !ok {
		return api.Class{}, fmt.Sprintf("class %q of entry %q is not in the catalogue", entry.Class, spec.Entry)
	}
	for _, reason := range []string{
		checkLimits(entry.Limits, spec),
		checkTeam(c.Catalogue, organisation, spec),
		checkQuota(c.Catalogue, organisation, spec),
		checkZones(c.Head.Zones, spec),
	} {
		if reason != "" {
			return api.Class{}, reason
		}
	}
	return class, ""
}

func findEntry(c api.Catalogue, name string) (api.Entry, bool) {
	for _, e := range c.Entries {
		if e.Name == name {
			return e, true
		}
	}
	return api.Entry{}, false
}

func findClass(c api.Catalogue, name string) (api.Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return api.Class{}, false
}

func allowedToUse(e api.Entry, organisation string) bool {
	if e.Owner == organisation {
		return true
	}
	for _, caller := range e.Callers {
		if caller == "*" || caller == organisation {
			return true
		}
	}
	return false
}

func checkLimits(l api.Limits, spec api.JobSpec) string {
	accelerators := spec.Tasks * spec.Resources.Accelerators
	switch {
	case l.MaxTasks > 0 && spec.Tasks > l.MaxTasks:
		return fmt.Sprintf("%d tasks are more than the limit of %d of entry %q", spec.Tasks, l.MaxTasks, spec.Entry)
	case l.MaxAccelerators > 0 && accelerators > l.MaxAccelerators:
		return fmt.Sprintf("%d accelerators are more than the limit of %d of entry %q", accelerators, l.MaxAccelerators, spec.Entry)
	case l.MaxRunS > 0 && spec.RunTimeS > l.MaxRunS:
		return fmt.Sprintf("a run time of %d s is above the limit of %d s of entry %q", spec.RunTimeS, l.MaxRunS, spec.Entry)
	}
	return ""
}

func checkTeam(c api.Catalogue, organisation string, spec api.JobSpec) string {
	if spec.Team == "" {
		return ""
	}
	for _, t := range c.Teams {
		if t.Name == spec.Team && t.Organisation == organisation {
			if n := spec.Tasks * spec.Resources.Accelerators; n > t.QuotaAccelerators {
				return fmt.Sprintf("%d accelerators are more than the quota of %d of team %q", n, t.QuotaAccelerators, t.Name)
			}
			return ""
		}
	}
	return fmt.Sprintf("team %q does not belong to organisation %q", spec.Team, organisation)
}

func checkQuota(c api.Catalogue, organisation string, spec api.JobSpec) string {
	for _, o := range c.Organisations {
		if o.Name != organisation {
			continue
		}
		if n := spec.Tasks * spec.Resources.Accelerators; o.QuotaAccelerators > 0 && n > o.QuotaAccelerators {
			return fmt.Sprintf("%d accelerators are more than the quota of %d of organisation %q", n, o.QuotaAccelerators, organisation)
		}
		return ""
	}
	return fmt.Sprintf("organisation %q is not in the catalogue", organisation)
}

func checkZones(zones []api.Zone, spec api.JobSpec) string {
	for _, want := range spec.Zones {
		known := false
		for _, z := range zones {
			known = known || z.Name == want
		}
		if !known {
			return fmt.Sprintf("zone %q does not exist", want)
		}
	}
	return ""
}
