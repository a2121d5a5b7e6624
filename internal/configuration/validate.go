package configuration

import (
	"encoding/hex"
	"fmt"
	"regexp"

	"github.com/samphirepath/samphirepath/api"
)

// Bounds of the limits in a catalogue.
const (
	maxTasks        = 32      // a gang
	maxAccelerators = 1 << 16 // above the accelerators of any zone
	maxDeadlineMs   = 24 * 60 * 60 * 1000
	maxBodyBytes    = 64 << 20
	maxQueued       = 1 << 20
	maxRunS         = 365 * 24 * 60 * 60
	maxCores        = 1 << 16
	maxMemoryMB     = 1 << 30
	tokenHashBytes  = 32
	anyCaller       = "*"
)

// namePattern keeps names usable as parts of row keys, which are separated by slashes.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// Validate returns all faults of a catalogue, none when it is valid. Whether
// the guarantees can be met is not checked here.
func Validate(catalogue api.Catalogue) []string {
	v := &validator{
		organisations: map[string]bool{}, classes: map[string]bool{}, tokens: map[string]string{},
	}
	for _, o := range catalogue.Organisations {
		v.organisation(o)
	}
	teams := map[string]bool{}
	for _, t := range catalogue.Teams {
		v.team(teams, t)
	}
	for _, c := range catalogue.Classes {
		v.class(c)
	}
	entries := map[string]bool{}
	for _, e := range catalogue.Entries {
		v.entry(entries, e)
	}
	return v.reasons
}

type validator struct {
	organisations map[string]bool
	classes       map[string]bool
	tokens        map[string]string // organisation by token hash
	reasons       []string
}

func (v *validator) fault(format string, arguments ...any) {
	v.reasons = append(v.reasons, fmt.Sprintf(format, arguments...))
}

// name checks a name and notes it as taken.
func (v *validator) name(kind, name string, taken map[string]bool) {
	if !validName(name) {
		v.fault("%s %q: the name must have up to 63 letters, digits, dots, dashes or underscores", kind, name)
	}
	if taken[name] {
		v.fault("%s %q is given twice", kind, name)
	}
	taken[name] = true
}

func (v *validator) within(subject, what string, value, low, high int64) {
	if value < low || value > high {
		v.fault("%s: %s is %d, allowed are %d to %d", subject, what, value, low, high)
	}
}

func (v *validator) organisation(o api.Organisation) {
	v.name("organisation", o.Name, v.organisations)
	subject := fmt.Sprintf("organisation %q", o.Name)
	if sum, err := hex.DecodeString(o.TokenSha256); err != nil || len(sum) != tokenHashBytes {
		v.fault("%s: token_sha256 must have 64 hex digits", subject)
	} else if other, taken := v.tokens[string(sum)]; taken {
		v.fault("%s has the same token as organisation %q", subject, other)
	} else {
		v.tokens[string(sum)] = o.Name
	}
	v.within(subject, "quota_accelerators", int64(o.QuotaAccelerators), 0, maxAccelerators)
	for i, shape := range o.Guarantees {
		v.shape(fmt.Sprintf("%s: guarantee %d", subject, i+1), shape)
	}
}

func (v *validator) shape(subject string, shape api.Shape) {
	if !validName(shape.Zone) {
		v.fault("%s: %q is not the name of a zone", subject, shape.Zone)
	}
	if !shape.Adjacency.Valid() {
		v.fault("%s: adjacency %q is not worker, rack or zone", subject, shape.Adjacency)
	}
	v.within(subject, "tasks", int64(shape.Tasks), 1, maxTasks)
	v.within(subject, "accelerators", int64(shape.Resources.Accelerators), 0, maxAccelerators)
	v.within(subject, "cores", int64(shape.Resources.Cores), 0, maxCores)
	v.within(subject, "memory_mb", shape.Resources.MemoryMb, 0, maxMemoryMB)
	if r := shape.Resources; r.Accelerators == 0 && r.Cores == 0 && r.MemoryMb == 0 {
		v.fault("%s guarantees no resources", subject)
	}
}

func (v *validator) team(taken map[string]bool, t api.Team) {
	v.name("team", t.Name, taken)
	subject := fmt.Sprintf("team %q", t.Name)
	if !v.organisations[t.Organisation] {
		v.fault("%s: there is no organisation %q", subject, t.Organisation)
	}
	v.within(subject, "quota_accelerators", int64(t.QuotaAccelerators), 0, maxAccelerators)
}

func (v *validator) class(c api.Class) {
	v.name("class", c.Name, v.classes)
	if !c.Urgency.Valid() {
		v.fault("class %q: urgency %q is not urgent, standard or batch", c.Name, c.Urgency)
	}
	if !c.Adjacency.Valid() {
		v.fault("class %q: adjacency %q is not worker, rack or zone", c.Name, c.Adjacency)
	}
}

func (v *validator) entry(taken map[string]bool, e api.Entry) {
	v.name("entry", e.Name, taken)
	subject := fmt.Sprintf("entry %q", e.Name)
	if !e.Kind.Valid() {
		v.fault("%s: kind %q is not service or job", subject, e.Kind)
	}
	if !v.organisations[e.Owner] {
		v.fault("%s: there is no organisation %q to own it", subject, e.Owner)
	}
	if !v.classes[e.Class] {
		v.fault("%s: there is no class %q", subject, e.Class)
	}
	for _, caller := range e.Callers {
		if caller != anyCaller && !v.organisations[caller] {
			v.fault("%s: there is no organisation %q to call it", subject, caller)
		}
	}
	v.within(subject, "deadline_ms", e.Limits.DeadlineMs, 0, maxDeadlineMs)
	v.within(subject, "max_body_bytes", e.Limits.MaxBodyBytes, 0, maxBodyBytes)
	v.within(subject, "max_queued", int64(e.Limits.MaxQueued), 0, maxQueued)
	v.within(subject, "max_tasks", int64(e.Limits.MaxTasks), 0, maxTasks)
	v.within(subject, "max_accelerators", int64(e.Limits.MaxAccelerators), 0, maxAccelerators)
	v.within(subject, "max_run_s", e.Limits.MaxRunS, 0, maxRunS)
}
