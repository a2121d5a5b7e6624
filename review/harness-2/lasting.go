package main

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// lastingGrace is for how long after its last run a task that lasts may be away, and
	// lastingAway for how long after that the rule allows it to have nothing running.
	lastingGrace = 6 * time.Second
	lastingAway  = 3 * time.Second
	sampleEvery  = 100 * time.Millisecond
)

// stepOf returns the step of a task.
func (e *environment) stepOf(task string) step {
	parts := strings.Split(task, ".")
	index, err := strconv.Atoi(parts[2])
	if err != nil {
		return step{}
	}
	return e.jobs[parts[0]][index]
}

// room returns the most that is free on one minion that may run a step, in tasks of the step.
func (e *environment) room(s step) int64 {
	most := int64(0)
	for _, m := range e.platform.minions {
		m.mu.Lock()
		free, up := m.capacity, !m.dark && !m.down()
		fits := s.Requires == "" || slices.Contains(m.labels(), s.Requires)
		for key := range m.running {
			used := e.stepOf(key.Task)
			free.CPU, free.MemMB, free.GPU = free.CPU-used.CPU, free.MemMB-used.MemMB, free.GPU-used.GPU
		}
		m.mu.Unlock()
		if up && fits {
			most = max(most, min(free.CPU/s.CPU, free.MemMB/s.MemMB, free.GPU/s.GPU))
		}
	}
	return most
}

// watchLasting watches the tasks of a job that last. It returns how one of them was away for
// lastingAway, from lastingGrace after its last run on, with room for it twice over all the
// time and no disruption since calm.
func (e *environment) watchLasting(job string, until time.Time, calm func() time.Time) string {
	broken := ""
	owedSince := map[string]time.Time{}
	for ; time.Now().Before(until); time.Sleep(sampleEvery) {
		last := map[string]start{}
		for _, s := range e.platform.starts() {
			if known, found := last[s.Task]; jobOf(s.Task) == job && (!found || s.Run > known.Run) {
				last[s.Task] = s
			}
		}
		for task, s := range last {
			now := time.Now()
			owed := !s.EndedAt.IsZero() && now.Sub(s.EndedAt) > lastingGrace && now.After(calm()) && e.room(e.stepOf(task)) >= 2
			switch {
			case !owed:
				delete(owedSince, task)
			case owedSince[task].IsZero():
				owedSince[task] = now
				e.add("task %s has had nothing running for %s, there is room for %d of it", task, now.Sub(s.EndedAt).Round(time.Millisecond), e.room(e.stepOf(task)))
			case now.Sub(owedSince[task]) >= lastingAway && broken == "":
				broken = fmt.Sprintf("LOST: task %s, which lasts, ended %s after run %d and has had nothing running for %s, the last %s with room for it twice over on one minion that may run it",
					task, s.How, s.Run, now.Sub(s.EndedAt).Round(time.Millisecond), now.Sub(owedSince[task]).Round(time.Millisecond))
				e.add("%s", broken)
			}
		}
	}
	return broken
}

// lastingTasksThatFail runs five tasks that last on the only minion of their kind. Four of them
// fail once, one after the other. Each has to be started again while there is room for it.
func lastingTasksThatFail(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}); err != nil {
		return "", err
	}
	const job = "5c0e7a21d94b4000"
	spec := taskSpec{DurationMs: time.Hour.Milliseconds()}
	if trouble {
		spec.FailMs = map[string]int64{"0": 4000, "1": 5000, "2": 6000, "3": 12000}
	}
	if _, err := e.submit(1, job, spec, step{Count: 5, CPU: 5600, MemMB: 11000, GPU: 1, Requires: "b", Persistent: true}); err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == 5 }) {
		return "", errors.New("the tasks did not start")
	}
	begin := time.Now()
	return e.watchLasting(job, begin.Add(25*time.Second), func() time.Time { return begin }), nil
}

// lastingTaskBehindGang fills most of the fleet, lets a gang of a less urgent queue wait for
// minions, and then crashes the minion of a task that lasts. That has to be started again:
// there is room for it.
func lastingTaskBehindGang(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(int) string { return "a" }); err != nil {
		return "", err
	}
	const (
		busy  = 9
		job   = "5c0e7a21d94b5000"
		older = 45 * time.Second // age of the job at the crash
	)
	// The tasks take longer than their rough estimate, and than the case.
	if _, err := e.submit(1, "00000000000000f0", taskSpec{DurationMs: 100_000}, step{Count: busy, CPU: 26000, MemMB: 38000, GPU: 8, EstimateMs: 60_000, MaxPerServer: 1}); err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == busy }) {
		return "", errors.New("the minions were not filled")
	}
	accepted, err := e.submit(1, job, taskSpec{DurationMs: time.Hour.Milliseconds()}, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMs: 20_000, Persistent: true})
	if err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == busy+1 }) {
		return "", errors.New("the task that lasts did not start")
	}
	time.Sleep(time.Until(accepted.Add(older - 3*time.Second)))
	// A gang that needs more minions than are free.
	if _, err := e.submit(2, "00000000000000f1", taskSpec{DurationMs: 20_000}, step{Count: 5, CPU: 26000, MemMB: 38000, GPU: 8, EstimateMs: 20_000, Gang: true}); err != nil {
		return "", err
	}
	time.Sleep(time.Until(accepted.Add(older)))
	calm := time.Now()
	if trouble {
		for _, s := range e.platform.starts() {
			if jobOf(s.Task) == job {
				e.platform.minionByID(s.Minion).crash(false)
			}
		}
		// The entry goes after three beats, and 4 s later the fleet has been calm.
		calm = time.Now().Add((silentBeats+1)*heartbeat + 4*time.Second)
	}
	return e.watchLasting(job, time.Now().Add(25*time.Second), func() time.Time { return calm }), nil
}

// lastingTaskAfterLosses takes the minion of a task that lasts and the leading daemon away for
// good, at the same time. The task has to be started again: there is room for it.
func lastingTaskAfterLosses(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(4, func(int) string { return "a" }); err != nil {
		return "", err
	}
	const (
		job      = "5c0e7a21d94b6000"
		newcomer = 2 * time.Second // until another machine comes
	)
	if _, err := e.submit(1, job, taskSpec{DurationMs: time.Hour.Milliseconds()}, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, Persistent: true}); err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == 1 }) {
		return "", errors.New("the task did not start")
	}
	time.Sleep(5 * time.Second)
	calm := time.Now()
	if trouble {
		leader := e.holder()
		if leader == nil {
			return "", errors.New("no daemon leads")
		}
		e.platform.minionByID(e.platform.starts()[0].Minion).crash(true)
		// The entry goes after three beats, and 4 s later the fleet has been calm.
		calm = time.Now().Add((silentBeats+1)*heartbeat + 4*time.Second)
		if err := e.replace(leader, newcomer); err != nil {
			return "", err
		}
	}
	return e.watchLasting(job, time.Now().Add(22*time.Second), func() time.Time { return calm }), nil
}
