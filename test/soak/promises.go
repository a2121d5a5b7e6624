package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	// lookEvery is the pause between two rounds of the checks during a run.
	lookEvery = 500 * time.Millisecond
	// visibleWithin an accepted job is known to every daemon that reaches the store.
	visibleWithin = 3 * time.Second
	// cancelWithin no task of a cancelled job runs.
	cancelWithin = 3 * time.Second
)

// ended are the states that a job does not leave.
var ended = []string{"completed", "failed", "cancelled"}

// checker checks the promises from what callers and workers see.
type checker struct {
	world   *world
	callers *callers
	said    map[string]bool
	// settling is set once the faults have been over for visibleWithin.
	settling bool
}

// once notes a broken promise of a job or task once.
func (c *checker) once(what, id, format string, args ...any) {
	if !c.said[what+id] {
		c.said[what+id] = true
		c.world.breakPromise(format, args...)
	}
}

// runs returns what became of all starts, by task, in order of time.
func (c *checker) runs() map[string][]standinfleet.RunRecord {
	byTask := map[string][]standinfleet.RunRecord{}
	for _, m := range c.world.workers {
		for _, r := range m.Records() {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for _, list := range byTask {
		slices.SortFunc(list, func(a, b standinfleet.RunRecord) int { return a.Started.Compare(b.Started) })
	}
	return byTask
}

// look checks what must hold at any time.
func (c *checker) look() {
	byTask := c.runs()
	for task, list := range byTask {
		for i, first := range list {
			for _, second := range list[i+1:] {
				c.checkPair(task, first, second)
			}
		}
	}
	for _, j := range c.callers.list() {
		j.mu.Lock()
		never := j.accepted.IsZero() && !j.open && j.refused
		j.mu.Unlock()
		for _, task := range j.tasks {
			if never && len(byTask[task]) > 0 {
				c.once("refused", j.id, "job %s was refused, but task %s was started", j.id, task)
			}
		}
	}
}

// checkPair checks two runs of a task, of which the second was started later.
func (c *checker) checkPair(task string, first, second standinfleet.RunRecord) {
	if first.Ended.IsZero() || first.Ended.After(second.Started) {
		c.once("twice", task, "task %s ran twice at a time: run %d on %s and run %d on %s", task, first.Run, first.Worker, second.Run, second.Worker)
	}
	if first.EndReason == "done" && first.Acknowledged {
		c.once("again", task, "task %s was started again as run %d on %s after run %d was done on %s", task, second.Run, second.Worker, first.Run, first.Worker)
	}
}

// follow asks for the state of random jobs and checks the rest until ctx ends.
func (c *checker) follow(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.look()
		if jobs := c.callers.list(); len(jobs) > 0 {
			c.ask(ctx, client, jobs[random.IntN(len(jobs))], random.IntN(len(c.world.daemons)))
		}
		sleep(ctx, lookEvery)
	}
}

// ask checks the state of a job at one daemon. It returns the state, or "".
func (c *checker) ask(ctx context.Context, client *http.Client, j *job, at int) string {
	j.mu.Lock()
	accepted, cancelled, last := j.accepted, j.cancelled, j.last
	j.mu.Unlock()
	state, status := c.callers.state(ctx, client, j, at)
	if status == http.StatusGone && !accepted.IsZero() && time.Since(accepted) > visibleWithin+callTimeout {
		c.once("lost", j.id, "accepted job %s is not known to %s", j.id, c.world.daemon(at).name)
	}
	if state == "" {
		return ""
	}
	// A state that was told while the store was away may be ahead of the store for
	// moments after its return, but one end does not become another.
	if slices.Contains(ended, last) && state != last && (c.settling || slices.Contains(ended, state)) {
		c.once("back", j.id, "job %s was %s and is now %s", j.id, last, state)
	}
	if state == "cancelled" && !cancelled || state == "failed" && !j.fails {
		c.once("cause", j.id, "job %s is %s without a cause", j.id, state)
	}
	j.mu.Lock()
	j.last = state
	j.mu.Unlock()
	return state
}

// settle waits until all accepted jobs have ended, and checks how.
func (c *checker) settle(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	open := slices.DeleteFunc(c.callers.list(), func(j *job) bool { return j.accepted.IsZero() })
	sleep(ctx, visibleWithin)
	c.settling = true
	for end := time.Now().Add(settleTime); len(open) > 0 && time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, lookEvery) {
		open = slices.DeleteFunc(open, func(j *job) bool {
			return slices.Contains(ended, c.ask(ctx, client, j, 0)) && slices.Contains(ended, c.ask(ctx, client, j, 1))
		})
	}
	for _, j := range open {
		c.once("open", j.id, "accepted job %s is %q %s after the last fault", j.id, j.last, settleTime)
	}
	sleep(ctx, cancelWithin)
	c.look()
	byTask := c.runs()
	for _, j := range c.callers.list() {
		c.checkEnd(j, byTask)
	}
}

// checkEnd checks a job when all faults are over and all jobs have ended.
func (c *checker) checkEnd(j *job, byTask map[string][]standinfleet.RunRecord) {
	for _, task := range j.tasks {
		running := func(r standinfleet.RunRecord) bool { return r.Ended.IsZero() }
		done := func(r standinfleet.RunRecord) bool { return r.EndReason == "done" }
		if slices.Contains(ended, j.last) && slices.ContainsFunc(byTask[task], running) {
			c.once("runs on", j.id, "task %s runs although the job is %s", task, j.last)
		}
		if j.last == "completed" && !slices.ContainsFunc(byTask[task], done) {
			c.once("not run", j.id, "job %s is completed, but task %s has not been done", j.id, task)
		}
		if j.last == "failed" {
			// An end that was lost with its worker is no try: nobody knows how it ended.
			failed := slices.DeleteFunc(slices.Clone(byTask[task]), func(r standinfleet.RunRecord) bool { return r.EndReason != "failed" || !r.Acknowledged })
			if len(failed) > maxTries {
				c.once("tries", j.id, "task %s failed %d times, allowed are %d", task, len(failed), maxTries)
			}
		}
	}
}
