package configuration

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"github.com/samphirepath/samphirepath/api"
)

// Bounds of the values in a catalogue, and a value with a special meaning.
const (
	maxTasks        = 32      // in one gang
	maxAccelerators = 1 << 16 // more than any zone has
	maxDeadlineMs   = 24 * 60 * 60 * 1000
	maxBodyBytes    = 64 << 20
	maxQueued       = 1 << 20
	maxRunS         = 365 * 24 * 60 * 60
	maxCores        = 1 << 16
	maxMemoryMB     = 1 << 30
	tokenHashBytes  = 32  // length of a SHA-256 hash
	anyCaller       = "*" // caller that stands for every organisation
)

// namePattern allows only names that can be part of a row key. The parts of a key
// are separated by slashes.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// Validate returns every reason why a catalogue is invalid, or none if it is valid.
// It does not check whether the guarantees can be met.
func Validate(catalogue api.Catalogue) []string {
	v := &validator{
		organisations: map[string]bool{}, classes: map[string]bool{}, tokens: map[string]string{},
	}
	for _, o := range catalogue.Organisations {
		v.checkOrganisation(o)
	}
	teams := map[string]bool{}
	for _, t := range catalogue.Teams {
		v.checkTeam(teams, t)
	}
	for _, c := range catalogue.Classes {
		v.checkClass(c)
	}
	entries := map[string]bool{}
	for _, e := range catalogue.Entries {
		v.checkEntry(entries, e)
	}
	return v.reasons
}

type validator struct {
	organisations map[string]bool
	classes       map[string]bool
	tokens        map[string]string // token hash to organisation
	reasons       []string
}

func (v *validator) reportf(format string, arguments ...any) {
	v.reasons = append(v.reasons, fmt.Sprintf(format, arguments...))
}

// checkName checks the syntax of a name and that it has not been used before, and
// adds it to used.
func (v *validator) checkName(kind, name string, used map[string]bool) {
	if !validName(name) {
		v.reportf("%s %q: the name must have up to 63 letters, digits, dots, dashes or underscores", kind, name)
	}
	if used[name] {
		v.reportf("%s %q is given twice", kind, name)
	}
	used[name] = true
}

func (v *validator) checkRange(subject, what string, value, low, high int64) {
	if value < low || value > high {
		v.reportf("%s: %s is %d, allowed are %d to %d", subject, what, value, low, high)
	}
}

func (v *validator) checkOrganisation(o api.Organisation) {
	v.checkName("organisation", o.Name, v.organisations)
	subject := fmt.Sprintf("organisation %q", o.Name)
	if sum, err := hex.DecodeString(o.TokenSha256); err != nil || len(sum) != tokenHashBytes {
		v.reportf("%s: token_sha256 must have 64 hex digits", subject)
	} else if other, found := v.tokens[string(sum)]; found {
		v.reportf("%s has the same token as organisation %q", subject, other)
	} else {
		v.tokens[string(sum)] = o.Name
	}
	v.checkRange(subject, "quota_accelerators", int64(o.QuotaAccelerators), 0, maxAccelerators)
	for i, shape := range o.Guarantees {
		v.checkShape(fmt.Sprintf("%s: guarantee %d", subject, i+1), shape)
	}
}

func (v *validator) checkShape(subject string, shape api.Shape) {
	if !validName(shape.Zone) {
		v.reportf("%s: %q is not the name of a zone", subject, shape.Zone)
	}
	if !shape.Adjacency.Valid() {
		v.reportf("%s: adjacency %q is not worker, rack or zone", subject, shape.Adjacency)
	}
	v.checkRange(subject, "tasks", int64(shape.Tasks), 1, maxTasks)
	v.checkRange(subject, "accelerators", int64(shape.Resources.Accelerators), 0, maxAccelerators)
	v.checkRange(subject, "cores", int64(shape.Resources.Cores), 0, maxCores)
	v.checkRange(subject, "memory_mb", shape.Resources.MemoryMb, 0, maxMemoryMB)
	if r := shape.Resources; r.Accelerators == 0 && r.Cores == 0 && r.MemoryMb == 0 {
		v.reportf("%s guarantees no resources", subject)
	}
}

func (v *validator) checkTeam(used map[string]bool, t api.Team) {
	v.checkName("team", t.Name, used)
	subject := fmt.Sprintf("team %q", t.Name)
	if !v.organisations[t.Organisation] {
		v.reportf("%s: there is no organisation %q", subject, t.Organisation)
	}
	v.checkRange(subject, "quota_accelerators", int64(t.QuotaAccelerators), 0, maxAccelerators)
}

func (v *validator) checkClass(c api.Class) {
	v.checkName("class", c.Name, v.classes)
	if !c.Urgency.Valid() {
		v.reportf("class %q: urgency %q is not urgent, standard or batch", c.Name, c.Urgency)
	}
	if !c.Adjacency.Valid() {
		v.reportf("class %q: adjacency %q is not worker, rack or zone", c.Name, c.Adjacency)
	}
}

func (v *validator) checkEntry(used map[string]bool, e api.Entry) {
	v.checkName("entry", e.Name, used)
	subject := fmt.Sprintf("entry %q", e.Name)
	if !e.Kind.Valid() {
		v.reportf("%s: kind %q is not service or job", subject, e.Kind)
	}
	if !v.organisations[e.Owner] {
		v.reportf("%s: there is no organisation %q to own it", subject, e.Owner)
	}
	if !v.classes[e.Class] {
		v.reportf("%s: there is no class %q", subject, e.Class)
	}
	for _, caller := range e.Callers {
		if caller != anyCaller && !v.organisations[caller] {
			v.reportf("%s: there is no organisation %q to call it", subject, caller)
		}
	}
	v.checkRange(subject, "deadline_ms", e.Limits.DeadlineMs, 0, maxDeadlineMs)
	v.checkRange(subject, "max_body_bytes", e.Limits.MaxBodyBytes, 0, maxBodyBytes)
	v.checkRange(subject, "max_queued", int64(e.Limits.MaxQueued), 0, maxQueued)
	v.checkRange(subject, "max_tasks", int64(e.Limits.MaxTasks), 0, maxTasks)
	v.checkRange(subject, "max_accelerators", int64(e.Limits.MaxAccelerators), 0, maxAccelerators)
	v.checkRange(subject, "max_run_s", e.Limits.MaxRunS, 0, maxRunS)
}
