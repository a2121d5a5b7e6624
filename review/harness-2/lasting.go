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

// lastingTaskNearItsData crashes the minion of a task that lasts. All other minions in the rack
// of its data are busy, and three in the other rack are empty. The task has to be started again:
// there is room for it.
func lastingTaskNearItsData(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(int) string { return "a" }); err != nil {
		return "", err
	}
	const job = "5c0e7a21d94b5000"
	lasting := step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMs: 600_000, Persistent: true, DataRack: "r1"}
	if _, err := e.submit(1, job, taskSpec{DurationMs: time.Hour.Milliseconds()}, lasting); err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == 1 }) {
		return "", errors.New("the task that lasts did not start")
	}
	started := 1
	for _, busy := range []struct {
		id, rack string
		minions  int
	}{{"00000000000000f0", "r1", 5}, {"00000000000000f1", "r2", 3}} {
		full := step{Count: busy.minions, CPU: 26000, MemMB: 38000, GPU: 8, EstimateMs: 100_000, MaxPerServer: 1, Requires: busy.rack}
		if _, err := e.submit(1, busy.id, taskSpec{DurationMs: 100_000}, full); err != nil {
			return "", err
		}
		started += busy.minions
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == started }) {
		return "", errors.New("the minions were not filled")
	}
	time.Sleep(2 * time.Second)
	calm := time.Now()
	if trouble {
		e.platform.minionByID(e.platform.starts()[0].Minion).crash(false)
		// The entry goes after three beats, and 4 s later the fleet has been calm.
		calm = time.Now().Add((silentBeats+1)*heartbeat + 4*time.Second)
	}
	return e.watchLasting(job, time.Now().Add(30*time.Second), func() time.Time { return calm }), nil
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
