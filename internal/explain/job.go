package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Job explains a job. The snapshot is that of the zone whose planner last looked
// at the job, and planReason is what its plan says, empty if there is none.
func Job(job api.Job, s planner.Snapshot, planReason string) api.Explanation {
	out := []string{fmt.Sprintf("Job %s of %s asks for %s (class %s).", job.Spec.Name, job.Organisation,
		packing.Describe(job.Spec.Tasks, job.Spec.Resources, job.Adjacency, job.AcceleratorModel), job.Class)}
	switch job.State {
	case api.JobStateWaiting:
		out = append(out, waits(job, s, planReason)...)
	case api.JobStatePlaced:
		out = append(out, fmt.Sprintf("Its places on %s are reserved, and it is about to start.", workers(job)), standing(job))
	case api.JobStateRunning:
		out = append(out, runs(job, s)...)
	case api.JobStateStopping:
		out = append(out, stops(job))
	default:
		out = append(out, ended(job))
	}
	out = append(out, history(job)...)
	return api.Explanation{Subject: job.ID, Kind: "job", Sentences: slices.DeleteFunc(out, func(t string) bool { return t == "" })}
}

func waits(job api.Job, s planner.Snapshot, planReason string) []string {
	out := []string{fmt.Sprintf("It has waited for %s.", duration(s.Now.Sub(time.UnixMilli(job.SubmittedMs))))}
	reason := planReason
	if reason == "" {
		reason = job.Reason
	}
	if reason == "" {
		reason = "no plan has looked at it yet; the next one does so in less than a second"
	}
	out = append(out, sentence(reason))
	if s.ZoneState == api.Out {
		return out
	}
	ahead := 0
	for i := range s.Jobs {
		other := &s.Jobs[i]
		if other.State == api.JobStateWaiting && other.ID != job.ID && goesFirst(other, &job) {
			ahead++
		}
	}
	if ahead > 0 {
		out = append(out, fmt.Sprintf("Zone %s has %s that %s more urgent or older.", s.Zone,
			packing.Count(ahead, "other waiting job"), verb(ahead, "is", "are")))
	}
	return out
}

func goesFirst(a, b *api.Job) bool {
	order := []api.Urgency{api.Urgent, api.Standard, api.Batch}
	x, y := slices.Index(order, a.Urgency), slices.Index(order, b.Urgency)
	return x < y || x == y && a.SubmittedMs < b.SubmittedMs
}

func verb(n int, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

func runs(job api.Job, s planner.Snapshot) []string {
	since := s.Now.Sub(time.UnixMilli(job.PlacedMs))
	out := []string{fmt.Sprintf("It has run for %s in zone %s on %s.", duration(since), job.Zone, workers(job)), standing(job)}
	if declared := time.Duration(job.Spec.RunTimeS) * time.Second; declared > 0 {
		if left := declared - since; left > 0 {
			out = append(out, fmt.Sprintf("By its declared run time it ends in %s.", duration(left)))
		} else {
			out = append(out, fmt.Sprintf("It is %s past its declared run time.", duration(-left)))
		}
	}
	return out
}

// standing says whether others can take the places of a job.
func standing(job api.Job) string {
	if job.Covered {
		return fmt.Sprintf("This is inside the guarantee of %s, so nobody else can take the place.", job.Organisation)
	}
	return "The place is borrowed: the job is checkpointed and stopped if an organisation needs its guaranteed capacity or urgent work comes."
}

func stops(job api.Job) string {
	why := map[string]string{
		"cancelled":    "because it has been cancelled",
		"preempted":    "to make room for work that goes first; it continues later from its checkpoint",
		"zone_out":     fmt.Sprintf("because zone %s has been taken out of service; it continues later from its checkpoint", job.Zone),
		"start_failed": "because not all of its tasks could start; it is tried again",
		"lost":         "because one of its workers was lost; it is tried again from its checkpoint",
	}[job.StopReason]
	return sentence("It is being stopped on " + workers(job) + " " + why)
}

func ended(job api.Job) string {
	ran := ""
	if job.StartedMs > 0 && job.EndedMs > job.StartedMs {
		ran = fmt.Sprintf(" %s after its start", duration(time.Duration(job.EndedMs-job.StartedMs)*time.Millisecond))
	}
	where := ""
	if len(job.Placement) > 0 {
		where = fmt.Sprintf("; it ran in zone %s on %s", job.Zone, workers(job))
	} else if job.Zone != "" {
		where = "; it ran in zone " + job.Zone
	}
	switch job.State {
	case api.JobStateSucceeded:
		return fmt.Sprintf("It ended well%s%s.", ran, where)
	case api.JobStateCancelled:
		return fmt.Sprintf("It was cancelled%s%s.", ran, where)
	case api.JobStateRefused:
		return sentence("It was refused and has not been run to its end: " + orUnknown(job.Reason))
	default:
		return sentence(fmt.Sprintf("It failed%s%s: %s", ran, where, orUnknown(job.Reason)))
	}
}

func orUnknown(reason string) string {
	if reason == "" {
		return "no reason was recorded"
	}
	return reason
}

// history tells what happened in earlier attempts.
func history(job api.Job) []string {
	var out []string
	if job.Preemptions > 0 {
		out = append(out, fmt.Sprintf("It was stopped %s to make room for others.", times(job.Preemptions)))
	}
	if job.ProgressMs > 0 && job.EndedMs == 0 {
		out = append(out, fmt.Sprintf("Its newest checkpoint keeps %s of work.", duration(time.Duration(job.ProgressMs)*time.Millisecond)))
	}
	if n := len(job.Failures); n > 0 {
		last := job.Failures[n-1]
		out = append(out, sentence(fmt.Sprintf("It failed %s; the last time on %s: %s", times(n), last.Worker, orUnknown(last.Reason))))
	}
	return out
}

// workers names the workers of a job.
func workers(job api.Job) string {
	var names []string
	for _, t := range job.Placement {
		if !slices.Contains(names, t.Worker) {
			names = append(names, t.Worker)
		}
	}
	if len(names) == 0 {
		return "no worker"
	}
	return verb(len(names), "worker ", "workers ") + list(names)
}
