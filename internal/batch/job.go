// Package batch holds jobs of several steps and the state of their tasks. A job
// runs once or on a schedule; each execution of all its steps is an occurrence.
// The package does no I/O: the dispatcher applies the events of a job and stores
// the result.
package batch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// Job is a job as it was accepted. A Tracker holds its progress.
type Job = api.BatchJob

// Step is one step of a job: a number of equal tasks.
type Step = api.BatchStep

// Need is the capacity that a task takes on a worker.
type Need = api.BatchNeed

// Limits of a job. They keep the progress of an occurrence, at about 150 bytes a task,
// within one commit.
const (
	MaxTasks = 1500
	MaxSteps = 100
	// MaxOpenOccurrences bounds the occurrences of a scheduled job that run at the
	// same time.
	MaxOpenOccurrences = 32
)

// Limits of what a caller sets. They keep sums and products of amounts and times within
// 64 bits.
const (
	// MaxAmount bounds each kind of capacity that a task or a worker names.
	MaxAmount = 1 << 40
	// MaxEstimateMs bounds the estimated run time of a task: a year.
	MaxEstimateMs = 365 * 24 * 60 * 60 * 1000
	// MaxTimeMs bounds Unix times, and intervals between occurrences: the year 2248.
	MaxTimeMs = 1 << 43
	// MaxRepeats bounds the occurrences of a scheduled job.
	MaxRepeats = 1 << 20
	// MaxNameBytes bounds labels, racks and images.
	MaxNameBytes = 200
)

// TaskRef identifies a task.
type TaskRef struct {
	Job        string
	Occurrence int64
	Step       int
	Index      int
}

func (r TaskRef) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// RunRef identifies one run of a task.
type RunRef struct {
	TaskRef
	Run int64
}

// Validate returns why a job cannot be accepted, or an empty string.
func Validate(job Job) string {
	if len(job.Steps) == 0 || len(job.Steps) > MaxSteps {
		return fmt.Sprintf("a job has 1 to %d steps, this one has %d", MaxSteps, len(job.Steps))
	}
	total := 0
	for i := range job.Steps {
		if problem := validateStep(&job.Steps[i], i); problem != "" {
			return fmt.Sprintf("step %d: %s", i, problem)
		}
		total += job.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fmt.Sprintf("the job has %d tasks, the limit is %d", total, MaxTasks)
	}
	if problem := validateSchedule(job); problem != "" {
		return problem
	}
	value, err := EncodeJob(job)
	if err != nil {
		return err.Error()
	}
	if len(value) > MaxRowBytes {
		return fmt.Sprintf("the job takes %d bytes when stored, the limit is %d", len(value), MaxRowBytes)
	}
	return ""
}

// validateStep returns why the step at an index cannot be accepted, or "".
func validateStep(step *Step, index int) string {
	if step.Tasks < 1 || step.Tasks > MaxTasks {
		return outOfRange("the number of tasks", int64(step.Tasks), 1, MaxTasks)
	}
	for _, bounded := range []struct {
		name  string
		value int64
		limit int64
	}{
		{"the need of processors", step.Need.MilliCPU, MaxAmount},
		{"the need of memory", step.Need.MemoryMb, MaxAmount},
		{"the need of accelerators", step.Need.Accelerators, MaxAmount},
		{"the estimated run time", step.EstimateMs, MaxEstimateMs},
		{"the target latency", step.TargetLatencyMs, MaxEstimateMs},
		{"the limit of tasks on a worker", int64(step.MaxPerWorker), math.MaxInt32},
		{"the limit of unavailable tasks", int64(step.MaxUnavailable), math.MaxInt32},
	} {
		if bounded.value < 0 || bounded.value > bounded.limit {
			return outOfRange(bounded.name, bounded.value, 0, bounded.limit)
		}
	}
	for name, text := range map[string]string{"the label": step.Label, "the rack of the data": step.DataRack, "the image": step.Image} {
		if len(text) > MaxNameBytes {
			return fmt.Sprintf("%s has %d bytes, the limit is %d", name, len(text), MaxNameBytes)
		}
	}
	if len(step.After) > MaxSteps {
		return fmt.Sprintf("it comes after %d steps, the limit is %d", len(step.After), MaxSteps)
	}
	if slices.ContainsFunc(step.After, func(after int64) bool { return after < 0 || after >= int64(index) }) {
		return "it comes after a step that is not an earlier one"
	}
	return ""
}

// validateSchedule returns why the schedule of a job cannot be accepted, or "".
func validateSchedule(job Job) string {
	switch {
	case job.Repeats < 0 || job.Repeats > MaxRepeats:
		return outOfRange("the number of occurrences", job.Repeats, 0, MaxRepeats)
	case job.Repeats == 0:
		return ""
	case job.FirstAtMs < 0 || job.FirstAtMs > MaxTimeMs:
		return outOfRange("the time of the first occurrence", job.FirstAtMs, 0, MaxTimeMs)
	case job.Repeats == 1:
		return ""
	case job.EveryMs < 0 || job.EveryMs > (MaxTimeMs-job.FirstAtMs)/(job.Repeats-1):
		return outOfRange("the interval between the occurrences", job.EveryMs, 0, (MaxTimeMs-job.FirstAtMs)/(job.Repeats-1))
	}
	return ""
}

func outOfRange(name string, value, smallest, largest int64) string {
	return fmt.Sprintf("%s is %d, the range is %d to %d", name, value, smallest, largest)
}

// Due returns the earliest start of an occurrence.
func Due(job Job, occurrence int64) time.Time {
	if job.Repeats == 0 {
		return time.UnixMilli(0)
	}
	return time.UnixMilli(job.FirstAtMs + occurrence*job.EveryMs)
}

// taskCount returns the number of tasks of one occurrence.
func taskCount(job Job) int {
	total := 0
	for i := range job.Steps {
		total += job.Steps[i].Tasks
	}
	return total
}

// EncodeJob returns the row value of a job.
func EncodeJob(job Job) ([]byte, error) {
	value, err := cbor.Marshal(job)
	return value, eris.Wrap(err, "encode a job")
}

// DecodeJob decodes a row value and validates the job.
func DecodeJob(value []byte) (Job, error) {
	var job Job
	if err := cbor.Unmarshal(value, &job); err != nil {
		return Job{}, eris.Wrap(err, "decode a job")
	}
	if problem := Validate(job); problem != "" {
		return Job{}, eris.Errorf("invalid job: %s", problem)
	}
	return job, nil
}

// CriticalPath returns the run time of the longest chain of dependent steps of one
// occurrence by the caller's estimates.
func CriticalPath(job Job) time.Duration {
	return LongestChain(&job, func(step *Step) time.Duration { return time.Duration(step.EstimateMs) * time.Millisecond })
}

// LongestChain returns the run time of the longest chain of dependent steps of one
// occurrence, by a run time for each step of at most MaxEstimateMs.
func LongestChain(job *Job, runTime func(*Step) time.Duration) time.Duration {
	finish := make([]time.Duration, len(job.Steps))
	longest := time.Duration(0)
	for i := range job.Steps {
		for _, after := range job.Steps[i].After {
			finish[i] = max(finish[i], finish[after])
		}
		finish[i] += runTime(&job.Steps[i])
		longest = max(longest, finish[i])
	}
	return longest
}

// maxObjective bounds the time allowed for the critical path of an occurrence, in ns.
const maxObjective = 1 << 62

// Objective returns the time by which an occurrence should be completed.
func Objective(job Job, occurrence int64) time.Time {
	start := time.UnixMilli(job.AcceptedAtMs)
	if job.Repeats > 0 {
		start = Due(job, occurrence)
	}
	allowed := time.Duration(min(float64(CriticalPath(job))*job.Stretch, maxObjective))
	return start.Add(allowed + time.Duration(job.TargetMs)*time.Millisecond)
}
