package jobs

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// attempts groups the tasks of one job by attempt, oldest first.
func attempts(tasks []standin.TaskHistory) [][]standin.TaskHistory {
	byNumber := map[int][]standin.TaskHistory{}
	var numbers []int
	for _, t := range tasks {
		if byNumber[t.Attempt] == nil {
			numbers = append(numbers, t.Attempt)
		}
		byNumber[t.Attempt] = append(byNumber[t.Attempt], t)
	}
	slices.Sort(numbers)
	var out [][]standin.TaskHistory
	for _, n := range numbers {
		out = append(out, byNumber[n])
	}
	return out
}

// checkExactlyOnce checks that all tasks of exactly one attempt of the job succeeded, and
// no task of any other attempt.
func checkExactlyOnce(job api.Job, tasks []standin.TaskHistory) error {
	successes := 0
	for _, members := range attempts(tasks) {
		succeeded := 0
		for _, t := range members {
			if t.Exit == api.TaskExitSucceeded {
				succeeded++
			}
		}
		switch succeeded {
		case 0:
		case job.Spec.Tasks:
			successes++
		default:
			return eris.Errorf("job %s: %d of %d tasks of attempt %d succeeded", job.ID, succeeded, job.Spec.Tasks, members[0].Attempt)
		}
	}
	if successes != 1 {
		return eris.Errorf("job %s succeeded %d times in %d attempts", job.ID, successes, len(attempts(tasks)))
	}
	return nil
}

// withoutLostResults omits the attempts that had to be repeated because a member had been
// started on a worker that was restarted later: until the planner has committed the result
// of a task, only the worker has it. The last attempt is always included.
func (tc *testCluster) withoutLostResults(tasks []standin.TaskHistory) []standin.TaskHistory {
	var out []standin.TaskHistory
	all := attempts(tasks)
	for i, members := range all {
		lost := false
		for _, t := range members {
			at, restarted := tc.restartTimes[t.Worker]
			lost = lost || restarted && t.StartedMs <= at.UnixMilli()
		}
		if !lost || i == len(all)-1 {
			out = append(out, members...)
		}
	}
	return out
}

// checkGangAttempts checks that no member was released before all members of its attempt
// had been started, and that no two attempts of a job overlapped.
func checkGangAttempts(job api.Job, tasks []standin.TaskHistory) error {
	var previousEnd int64
	for _, members := range attempts(tasks) {
		var lastStart, firstRelease, lastEnd int64
		for _, t := range members {
			if t.StartedMs < previousEnd {
				return eris.Errorf("job %s: attempt %d started at %d, before the end of an earlier attempt at %d", job.ID, t.Attempt, t.StartedMs, previousEnd)
			}
			lastStart, lastEnd = max(lastStart, t.StartedMs), max(lastEnd, endMs(t))
			if t.ReleasedMs > 0 && (firstRelease == 0 || t.ReleasedMs < firstRelease) {
				firstRelease = t.ReleasedMs
			}
		}
		if firstRelease > 0 && (len(members) < job.Spec.Tasks || firstRelease < lastStart) {
			return eris.Errorf("job %s: the first member of attempt %d was released at %d, before all members had started: %d of %d were started, the last one at %d",
				job.ID, members[0].Attempt, firstRelease, len(members), job.Spec.Tasks, lastStart)
		}
		previousEnd = max(previousEnd, lastEnd)
	}
	return nil
}

// endMs returns the end of a task in Unix milliseconds, far in the future if it has not
// ended.
func endMs(t standin.TaskHistory) int64 {
	if t.EndedMs == 0 {
		return 1 << 60
	}
	return t.EndedMs
}

// describeTask describes a task for the report of a violation.
func describeTask(t standin.TaskHistory) string {
	return fmt.Sprintf("%s on %s started %d released %d ended %d (%s %s)", t.TaskID, t.Worker, t.StartedMs, t.ReleasedMs, t.EndedMs, t.Exit, t.Reason)
}
