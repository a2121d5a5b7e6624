// Package jobs maintains the job rows of the table service: it keeps a copy of
// them, inserts submissions, sets the cancel flag, defines the state transitions
// as pure functions, and applies plans by conditional, fenced commits.
package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// Prefix is the key prefix of the job rows.
const Prefix = "jobs/"

// idBytes is the number of digest bytes in a job identifier. With 96 bits, a
// collision between the keys of all organisations is very improbable.
const idBytes = 12

// Row is a job row at a version. It is immutable.
type Row struct {
	Job     api.Job
	Version int64
}

// Key returns the key of the row of a job.
func Key(id string) string { return Prefix + id }

// ID derives the identifier of a job from the organisation and its key.
func ID(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return "j" + hex.EncodeToString(sum[:idBytes])
}

// SpecHash returns the hash of the JSON encoding of a spec, which sorts map keys.
func SpecHash(spec api.JobSpec) string {
	sum := sha256.Sum256(mustEncode(spec))
	return hex.EncodeToString(sum[:])
}

// TaskID returns the identifier of a task: job, attempt and index, joined by dots.
func TaskID(job string, attempt, index int) string {
	return job + "." + strconv.Itoa(attempt) + "." + strconv.Itoa(index)
}

// ParseTaskID splits the identifier of a task into its job, attempt and index.
func ParseTaskID(id string) (job string, attempt, index int, ok bool) {
	head, last, found := cutLastDot(id)
	if !found {
		return "", 0, 0, false
	}
	job, middle, found := cutLastDot(head)
	if !found || job == "" {
		return "", 0, 0, false
	}
	attempt, errAttempt := strconv.Atoi(middle)
	index, errIndex := strconv.Atoi(last)
	return job, attempt, index, errAttempt == nil && errIndex == nil
}

func cutLastDot(s string) (head, tail string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Terminal reports whether a job in this state has ended for good.
func Terminal(state api.JobState) bool {
	switch state {
	case api.JobStateSucceeded, api.JobStateFailed, api.JobStateCancelled, api.JobStateRefused:
		return true
	}
	return false
}

// HoldsPlacement reports whether a job in this state still occupies the workers
// of its placement.
func HoldsPlacement(state api.JobState) bool {
	switch state {
	case api.JobStatePlaced, api.JobStateRunning, api.JobStateStopping:
		return true
	}
	return false
}

// AllowsZone reports whether the spec lets the job run in the zone.
func AllowsZone(spec api.JobSpec, zone string) bool {
	if len(spec.Zones) == 0 {
		return true
	}
	for _, z := range spec.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// HomeZone returns the zone whose planner does the housekeeping of a job that is
// placed in no zone: the zone of its last placement, else the first zone that may
// run it. Zones that no longer exist are skipped.
func HomeZone(job api.Job, zones []api.Zone) string {
	for _, zone := range append([]string{job.Zone}, job.Spec.Zones...) {
		for _, z := range zones {
			if z.Name == zone {
				return zone
			}
		}
	}
	if len(zones) > 0 {
		return zones[0].Name
	}
	return ""
}

func decode(value []byte) (api.Job, error) {
	var job api.Job
	if err := json.Unmarshal(value, &job); err != nil {
		return api.Job{}, eris.Wrap(err, "unmarshal the job row")
	}
	return job, nil
}

func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: the schema types hold only values that JSON can express
	}
	return b
}
