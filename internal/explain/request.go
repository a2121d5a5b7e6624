package explain

import (
	"fmt"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// Request explains the result of a request. The entry is the name of the service that
// the request was sent to, and may be empty.
func Request(entry string, r api.RequestResult) api.Explanation {
	out := api.Explanation{Subject: r.Key, Kind: "request"}
	name := "Request " + r.Key
	if entry != "" {
		name += " to " + entry
	}
	if r.InProgress {
		out.Sentences = append(out.Sentences, name+" has been taken on and has no answer yet; it is not sent a second time.")
	} else {
		out.Sentences = append(out.Sentences, requestOutcome(name, r))
	}
	if r.Attempts > 1 {
		out.Sentences = append(out.Sentences, fmt.Sprintf("It was sent %s before it got this answer.", formatTimes(r.Attempts)))
	}
	if r.Reason != "" && r.Outcome != api.OutcomeRan {
		out.Sentences = append(out.Sentences, toSentence(r.Reason))
	}
	return out
}

// requestOutcome describes the outcome of a request that is no longer in progress.
func requestOutcome(name string, r api.RequestResult) string {
	where, took := "", ""
	if r.Minion != "" {
		where = " on minion " + r.Minion
	}
	if r.DurationMs > 0 {
		took = " in " + formatMilliseconds(r.DurationMs)
	}
	switch r.Outcome {
	case api.OutcomeRan:
		return fmt.Sprintf("%s ran%s%s, with status %d.", name, where, took, r.Status)
	case api.OutcomeNotRun:
		return name + " was not run, and no part of it reached a minion; it is safe to send it again."
	case api.OutcomeFailed:
		return fmt.Sprintf("%s ran%s and failed.", name, where)
	default:
		return fmt.Sprintf("%s was sent%s, but the answer was lost; whether it ran is unknown, so it is not sent again by itself.", name, where)
	}
}

// formatMilliseconds formats a duration of n milliseconds, exactly if below a second.
func formatMilliseconds(n int64) string {
	d := time.Duration(n) * time.Millisecond
	if d < time.Second {
		return fmt.Sprintf("%d ms", n)
	}
	return formatDuration(d)
}
