// Package batch holds jobs of several steps and the state of their tasks. A job
// runs once or on a schedule; each execution of all its steps is an occurrence.
// The package does no I/O: the dispatcher applies the events of a job and stores
// the result.
package batch

import (
	"fmt"
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
	for i, step := range job.Steps {
		if step.Tasks < 1 {
			return fmt.Sprintf("step %d has no tasks", i)
		}
		if step.Tasks > MaxTasks {
			return fmt.Sprintf("step %d has %d tasks, the limit of a job is %d", i, step.Tasks, MaxTasks)
		}
		total += step.Tasks
		if step.Need.MilliCPU < 0 || step.Need.MemoryMb < 0 || step.Need.Accelerators < 0 {
			return fmt.Sprintf("step %d asks for a negative amount", i)
		}
		if slices.ContainsFunc(step.After, func(after int64) bool { return after < 0 || after >= int64(i) }) {
			return fmt.Sprintf("step %d comes after a step that is not an earlier one", i)
		}
	}
	if total > MaxTasks {
		return fmt.Sprintf("the job has %d tasks, the limit is %d", total, MaxTasks)
	}
	if job.Repeats < 0 || (job.Repeats > 1 && job.EveryMs < 0) {
		return "the schedule has a negative count or interval"
	}
	return ""
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

// CriticalPath returns the estimated run time of the longest chain of dependent
// steps of one occurrence.
func CriticalPath(job Job) time.Duration {
	finish := make([]int64, len(job.Steps))
	longest := int64(0)
	for i, step := range job.Steps {
		for _, after := range step.After {
			finish[i] = max(finish[i], finish[after])
		}
		finish[i] += step.EstimateMs
		longest = max(longest, finish[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// Objective returns the time by which an occurrence should be completed.
func Objective(job Job, occurrence int64) time.Time {
	start := time.UnixMilli(job.AcceptedAtMs)
	if job.Repeats > 0 {
		start = Due(job, occurrence)
	}
	allowed := time.Duration(float64(CriticalPath(job)) * job.Stretch)
	return start.Add(allowed + time.Duration(job.TargetMs)*time.Millisecond)
}
