package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// lostWrites is how many writes in a row lose their answer, and lostAfter how much later
	// they are done.
	lostWrites = 2
	lostAfter  = 5 * time.Second
	lostFor    = 4500 * time.Millisecond
	lostShare  = 0.35
)

// labelOfNextIncarnation lets the store lose the answers of writes that record the start of
// a task. Meanwhile the minion of the task, the only one of its kind, restarts as another
// kind, says so in its entry, and answers calls. No task may start on it that requires the
// earlier kind.
func labelOfNextIncarnation(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(i int) string {
		if i == 0 {
			return "a"
		}
		return "b"
	}); err != nil {
		return "", err
	}
	only := e.platform.minions[0]
	const job = "5c0e7a21d94b36f8"
	restarted := make(chan error, 1)
	e.platform.lostShare()
	if trouble {
		left := lostWrites
		e.platform.setLoss(func(keys []string) *loss {
			if left == 0 || !slices.ContainsFunc(keys, func(key string) bool { return strings.HasPrefix(key, "progress/"+job) }) {
				return nil
			}
			left--
			return &loss{after: lostAfter}
		})
		time.AfterFunc(lostFor, func() { e.platform.setLoss(nil) })
		only.crash(false)
		time.AfterFunc(700*time.Millisecond, func() { restarted <- e.platform.boot(only, "b") })
		time.Sleep(400 * time.Millisecond)
	}
	if _, err := e.submit(1, job, taskSpec{DurationMs: 1000}, step{Count: 1, CPU: 26000, MemMB: 38000, GPU: 4, EstimateMs: 1000, Requires: "a"}); err != nil {
		return "", err
	}
	if trouble {
		if err := <-restarted; err != nil {
			return "", err
		}
	}
	started := func() bool { return len(e.platform.starts()) > 0 }
	waitFor(10*time.Second, started)
	if !trouble && !started() {
		return "", errors.New("the task did not start without the disruption")
	}
	time.Sleep(2 * time.Second)
	writes, lost := e.platform.lostShare()
	e.add("store: %d of %d writing calls lost their answer, allowed are %.0f %%", lost, writes, 100*lostShare)
	for _, s := range e.platform.starts() {
		if !slices.Contains(s.Labels, "a") {
			return fmt.Sprintf("ROUTE: task %s requires the label a and was started on minion %s with the labels %v", s.Task, s.Minion, s.Labels), nil
		}
	}
	return "", nil
}
