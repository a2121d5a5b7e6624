package main

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	// checkEvery is the pause between two rounds of checks.
	checkEvery = 500 * time.Millisecond
	// visibilityBound is the time after its acceptance within which a job must be known to
	// every daemon that reaches the store.
	visibilityBound = 3 * time.Second
	// cancelBound is the time within which all tasks of a cancelled job must have ended.
	cancelBound = 3 * time.Second
	// maxCrashingStarts bounds the starts of a task that crashes its workers.
	maxCrashingStarts = 5
	// minLossesToFail is how many workers must have been lost under a task before its job
	// may be given up for that.
	minLossesToFail = 2
)

// terminalStates are the states that a job never leaves.
var terminalStates = []string{"completed", "failed", "cancelled"}

// checker checks the invariants on what callers and workers observe.
type checker struct {
	cluster *cluster
	callers *callers

	mu       sync.Mutex
	reported map[string]bool
}

// reportOnce reports a violation, once for each kind and job or task.
func (c *checker) reportOnce(kind, id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reported[kind+id] {
		c.reported[kind+id] = true
		c.cluster.reportViolation(format, args...)
	}
}

// runsByTask returns the runs on all workers, grouped by task and ordered by their start.
func (c *checker) runsByTask() map[string][]standinfleet.RunRecord {
	byTask := map[string][]standinfleet.RunRecord{}
	for _, w := range c.cluster.workers {
		for _, r := range w.Records() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for _, runs := range byTask {
		slices.SortFunc(runs, func(a, b standinfleet.RunRecord) int { return a.Started.Compare(b.Started) })
	}
	return byTask
}

// checkRuns checks the invariants on runs that must hold at any time.
func (c *checker) checkRuns() {
	byTask := c.runsByTask()
	for task, runs := range byTask {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				c.checkPair(task, first, second)
			}
		}
	}
	for _, w := range c.cluster.workers {
		if n := w.Overcommitments(); n > 0 {
			c.reportOnce("overcommitted", w.ID, "%d starts on %s needed more capacity than it had left", n, w.ID)
		}
	}
	for _, j := range c.callers.allJobs() {
		c.checkStarts(j, byTask)
		if j.crashes && len(byTask[j.tasks[0]]) > maxCrashingStarts {
			c.reportOnce("crashes", j.id, "task %s was started %d times and crashed its workers", j.tasks[0], len(byTask[j.tasks[0]]))
		}
		j.mu.Lock()
		neverAccepted := j.acceptedAt.IsZero() && !j.unresolved && j.refused
		j.mu.Unlock()
		for _, task := range j.tasks {
			if neverAccepted && len(byTask[task]) > 0 {
				c.reportOnce("refused", j.id, "job %s was refused, but task %s was started", j.id, task)
			}
		}
	}
}

// checkPair checks that a task does not run twice at a time, nor again after it was done.
// The second run is the one that started later. A run that was done may be repeated if its
// end was lost with its worker before a daemon acknowledged it.
func (c *checker) checkPair(task string, first, second standinfleet.RunRecord) {
	if first.Ended.IsZero() || first.Ended.After(second.Started) {
		c.reportOnce("twice", task, "task %s ran twice at the same time: run %d on %s and run %d on %s", task, first.Run, first.Worker, second.Run, second.Worker)
	}
	if first.EndReason == "done" && first.Acknowledged {
		c.reportOnce("again", task, "task %s was started again as run %d on %s after run %d was done on %s", task, second.Run, second.Worker, first.Run, first.Worker)
	}
}

// monitor checks the runs and the state of a random job repeatedly until ctx ends.
func (c *checker) monitor(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.checkRuns()
		if jobs := c.callers.allJobs(); len(jobs) > 0 {
			c.checkState(ctx, client, jobs[random.IntN(len(jobs))], random.IntN(len(c.cluster.daemons)))
		}
		sleep(ctx, checkEvery)
	}
}

// checkState queries the state of a job at one daemon and checks it. It returns the state,
// or "" without an answer.
func (c *checker) checkState(ctx context.Context, client *http.Client, j *job, daemonIndex int) string {
	j.mu.Lock()
	acceptedAt := j.acceptedAt
	j.mu.Unlock()
	sent, name := time.Now(), c.cluster.daemon(daemonIndex).name
	state, status := c.callers.queryState(ctx, client, j, daemonIndex)
	if status == http.StatusGone && !acceptedAt.IsZero() && sent.Sub(acceptedAt) > visibilityBound {
		c.reportOnce("lost", j.id, "job %s, accepted at %s, is unknown to %s at %s", j.id, formatTime(acceptedAt), name, formatTime(time.Now()))
	}
	if state == "" {
		return ""
	}
	c.checkAnswer(j, answer{state: state, daemon: name, sent: sent, received: time.Now()})
	j.mu.Lock()
	cancelled := j.cancelled
	j.mu.Unlock()
	if state == "cancelled" && !cancelled || state == "failed" && !j.fails && !c.workersLost(j) {
		c.reportOnce("cause", j.id, "job %s is unexpectedly %s", j.id, state)
	}
	return state
}

// workersLost reports whether enough workers were lost under a task of the job that the
// job may be given up.
func (c *checker) workersLost(j *job) bool {
	byTask := c.runsByTask()
	return slices.ContainsFunc(j.tasks, func(task string) bool {
		lost := 0
		for _, r := range byTask[task] {
			if r.EndReason == "crashed" {
				lost++
			}
		}
		return lost >= minLossesToFail
	})
}

// awaitEnd waits until all accepted jobs have ended and checks their ends and their runs.
func (c *checker) awaitEnd(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	pending := slices.DeleteFunc(c.callers.allJobs(), func(j *job) bool { return j.acceptedAt.IsZero() })
	sleep(ctx, visibilityBound)
	bound := recoveryTime
	if c.cluster.longJobs {
		bound += longestTask
	}
	ended := func(j *job) bool {
		return slices.Contains(terminalStates, c.checkState(ctx, client, j, 0)) && slices.Contains(terminalStates, c.checkState(ctx, client, j, 1))
	}
	for deadline := time.Now().Add(bound); len(pending) > 0 && time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, checkEvery) {
		pending = slices.DeleteFunc(pending, ended)
	}
	// A round over thousands of jobs may have begun long before the bound.
	for _, j := range pending {
		if !ended(j) {
			c.reportOnce("open", j.id, "accepted job %s is still %q %s after the last fault", j.id, j.lastState, bound)
		}
	}
	sleep(ctx, cancelBound)
	c.checkRuns()
	byTask := c.runsByTask()
	for _, j := range c.callers.allJobs() {
		c.checkEnd(j, byTask)
	}
}

// doneTogether reports whether all tasks of a gang were done in one run.
func doneTogether(j *job, byTask map[string][]standinfleet.RunRecord) bool {
	done := map[int64]int{}
	for _, task := range j.tasks {
		for _, r := range byTask[task] {
			if r.EndReason == "done" {
				done[r.Run]++
			}
		}
	}
	return slices.Contains(slices.Collect(maps.Values(done)), len(j.tasks))
}

// checkEnd checks the runs of a job after all faults, when all jobs should have ended.
func (c *checker) checkEnd(j *job, byTask map[string][]standinfleet.RunRecord) {
	if j.gang && j.lastState == "completed" && !doneTogether(j, byTask) {
		c.reportOnce("gang", j.id, "job %s is completed, but its gang was never done in one run", j.id)
	}
	for _, task := range j.tasks {
		running := func(r standinfleet.RunRecord) bool { return r.Ended.IsZero() }
		done := func(r standinfleet.RunRecord) bool { return r.EndReason == "done" }
		if slices.Contains(terminalStates, j.lastState) && slices.ContainsFunc(byTask[task], running) {
			c.reportOnce("runs on", j.id, "task %s is running although its job is %s", task, j.lastState)
		}
		if j.lastState == "completed" && !slices.ContainsFunc(byTask[task], done) {
			c.reportOnce("not run", j.id, "job %s is completed, but task %s was never done", j.id, task)
		}
		if j.lastState == "failed" {
			// An end that was lost with its worker does not count as an attempt, because
			// no daemon knows that the run failed.
			failed := slices.DeleteFunc(slices.Clone(byTask[task]), func(r standinfleet.RunRecord) bool { return r.EndReason != "failed" || !r.Acknowledged })
			if len(failed) > maxAttempts {
				c.reportOnce("tries", j.id, "task %s failed %d times, the maximum is %d", task, len(failed), maxAttempts)
			}
		}
	}
}
