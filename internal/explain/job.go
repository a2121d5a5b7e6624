package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Job explains a job. The snapshot is that of the zone whose planner last considered
// the job, and planReason is the reason that its plan gives for the wait, or empty if
// there is none.
func Job(job api.Job, s planner.Snapshot, planReason string) api.Explanation {
	out := []string{fmt.Sprintf("Job %s of %s asks for %s (class %s).", job.Spec.Name, job.Organisation,
		packing.Describe(job.Spec.Tasks, job.Spec.Resources, job.Adjacency, job.AcceleratorModel), job.Class)}
	switch job.State {
	case api.JobStateWaiting:
		out = append(out, describeWaiting(job, s, planReason)...)
	case api.JobStatePlaced:
		out = append(out, fmt.Sprintf("Its places on %s are reserved, and it is about to start.", workerNames(job)), describePreemptibility(job))
	case api.JobStateRunning:
		out = append(out, describeRunning(job, s)...)
	case api.JobStateStopping:
		out = append(out, describeStopping(job))
	default:
		out = append(out, describeEnd(job))
	}
	out = append(out, describeHistory(job)...)
	return api.Explanation{Subject: job.ID, Kind: "job", Sentences: slices.DeleteFunc(out, func(t string) bool { return t == "" })}
}

// describeWaiting describes how long and why a job waits, and how many jobs precede it.
func describeWaiting(job api.Job, s planner.Snapshot, planReason string) []string {
	out := []string{fmt.Sprintf("It has waited for %s.", formatDuration(s.Now.Sub(time.UnixMilli(job.SubmittedMs))))}
	reason := planReason
	if reason == "" {
		reason = job.Reason
	}
	if reason == "" {
		reason = "no plan has looked at it yet; the next one does so in less than a second"
	}
	out = append(out, toSentence(reason))
	if s.ZoneState == api.Out {
		return out
	}
	ahead := 0
	for i := range s.Jobs {
		other := &s.Jobs[i]
		if other.State == api.JobStateWaiting && other.ID != job.ID && precedes(other, &job) {
			ahead++
		}
	}
	if ahead > 0 {
		out = append(out, fmt.Sprintf("Zone %s has %s that %s more urgent or older.", s.Zone,
			packing.Count(ahead, "other waiting job"), plural(ahead, "is", "are")))
	}
	return out
}

// precedes reports whether a is more urgent than b, or as urgent and older.
func precedes(a, b *api.Job) bool {
	order := []api.Urgency{api.Urgent, api.Standard, api.Batch}
	x, y := slices.Index(order, a.Urgency), slices.Index(order, b.Urgency)
	return x < y || x == y && a.SubmittedMs < b.SubmittedMs
}

// plural returns one if n is 1, and many otherwise.
func plural(n int, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

// describeRunning describes how long and where a job has run and when it is to end.
func describeRunning(job api.Job, s planner.Snapshot) []string {
	since := s.Now.Sub(time.UnixMilli(job.PlacedMs))
	out := []string{fmt.Sprintf("It has run for %s in zone %s on %s.", formatDuration(since), job.Zone, workerNames(job)), describePreemptibility(job)}
	if declared := time.Duration(job.Spec.RunTimeS) * time.Second; declared > 0 {
		if left := declared - since; left > 0 {
			out = append(out, fmt.Sprintf("By its declared run time it ends in %s.", formatDuration(left)))
		} else {
			out = append(out, fmt.Sprintf("It is %s past its declared run time.", formatDuration(-left)))
		}
	}
	return out
}

// describePreemptibility describes whether the job can be preempted: a job covered by
// a guarantee cannot.
func describePreemptibility(job api.Job) string {
	if job.Covered {
		return fmt.Sprintf("This is inside the guarantee of %s, so nobody else can take the place.", job.Organisation)
	}
	return "The place is borrowed: the job is checkpointed and stopped if an organisation needs its guaranteed capacity or urgent work comes."
}

// describeStopping describes where and why a job is being stopped.
func describeStopping(job api.Job) string {
	cause := map[string]string{
		"cancelled":    "because it has been cancelled",
		"preempted":    "to make room for work that goes first; it continues later from its checkpoint",
		"zone_out":     fmt.Sprintf("because zone %s has been taken out of service; it continues later from its checkpoint", job.Zone),
		"start_failed": "because not all of its tasks could start; it is tried again",
		"lost":         "because one of its workers was lost; it is tried again from its checkpoint",
	}[job.StopReason]
	return toSentence("It is being stopped on " + workerNames(job) + " " + cause)
}

// describeEnd describes how, when and where a job ended.
func describeEnd(job api.Job) string {
	after := ""
	if job.StartedMs > 0 && job.EndedMs > job.StartedMs {
		after = fmt.Sprintf(" %s after its start", formatDuration(time.Duration(job.EndedMs-job.StartedMs)*time.Millisecond))
	}
	where := ""
	if len(job.Placement) > 0 {
		where = fmt.Sprintf("; it ran in zone %s on %s", job.Zone, workerNames(job))
	} else if job.Zone != "" {
		where = "; it ran in zone " + job.Zone
	}
	switch job.State {
	case api.JobStateSucceeded:
		return fmt.Sprintf("It ended well%s%s.", after, where)
	case api.JobStateCancelled:
		return fmt.Sprintf("It was cancelled%s%s.", after, where)
	case api.JobStateRefused:
		return toSentence("It was refused and has not been run to its end: " + reasonOrNone(job.Reason))
	default:
		return toSentence(fmt.Sprintf("It failed%s%s: %s", after, where, reasonOrNone(job.Reason)))
	}
}

func reasonOrNone(reason string) string {
	if reason == "" {
		return "no reason was recorded"
	}
	return reason
}

// describeHistory describes the preemptions, checkpointed progress and failures of
// earlier attempts.
func describeHistory(job api.Job) []string {
	var out []string
	if job.Preemptions > 0 {
		out = append(out, fmt.Sprintf("It was stopped %s to make room for others.", formatTimes(job.Preemptions)))
	}
	if job.ProgressMs > 0 && job.EndedMs == 0 {
		out = append(out, fmt.Sprintf("Its newest checkpoint keeps %s of work.", formatDuration(time.Duration(job.ProgressMs)*time.Millisecond)))
	}
	if n := len(job.Failures); n > 0 {
		last := job.Failures[n-1]
		out = append(out, toSentence(fmt.Sprintf("It failed %s; the last time on %s: %s", formatTimes(n), last.Worker, reasonOrNone(last.Reason))))
	}
	return out
}

// workerNames lists the distinct workers of a job.
func workerNames(job api.Job) string {
	var names []string
	for _, t := range job.Placement {
		if !slices.Contains(names, t.Worker) {
			names = append(names, t.Worker)
		}
	}
	if len(names) == 0 {
		return "no worker"
	}
	return plural(len(names), "worker ", "workers ") + joinNames(names)
}
