package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// nothingRunning is for how long a job may have nothing running although it could.
	nothingRunning = 3 * time.Second
	chainSteps     = 8
	// otherJobs is the number of sound jobs beside the hopeless one, and poisonTime the time in
	// which they come.
	otherJobs  = 20
	poisonTime = 3 * time.Second
	// hopelessTime is how long the hopeless job has been there when the next job comes.
	hopelessTime = 20 * time.Second
)

// jobBesideFailingTask runs a job of steps that come one after the other, in an empty fleet,
// beside a task that lasts and fails soon after each of its starts. The job has to go on: at
// finishTime after the last submission it must not have nothing running for nothingRunning,
// while the turn of a task has come and there is room.
func jobBesideFailingTask(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(int) string { return "a" }); err != nil {
		return "", err
	}
	const hopeless, job = "5c0e7a21d94b7000", "5c0e7a21d94b7001"
	spec := taskSpec{DurationMs: time.Hour.Milliseconds()}
	if trouble {
		spec = taskSpec{FailsAfterMs: 20}
	}
	// The last one of otherJobs+1 jobs that come within poisonTime is hopeless.
	for i := range otherJobs {
		if _, err := e.submit(2, fmt.Sprintf("%016x", 0x5c0e7a21d94b7100+i), taskSpec{DurationMs: 500}, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMs: 500}); err != nil {
			return "", err
		}
		time.Sleep(poisonTime/otherJobs - 10*time.Millisecond)
	}
	if _, err := e.submit(2, hopeless, spec, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, Persistent: true}); err != nil {
		return "", err
	}
	time.Sleep(hopelessTime)
	steps := make([]step, chainSteps)
	for i := range steps {
		steps[i] = step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMs: 2000}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	submitted, err := e.submit(1, job, taskSpec{DurationMs: 2000}, steps...)
	if err != nil {
		return "", err
	}
	broken := ""
	var since time.Time
	for end := submitted.Add(70 * time.Second); time.Now().Before(end); time.Sleep(sampleEvery) {
		done, running := 0, false
		for _, s := range e.platform.starts() {
			if jobOf(s.Task) == job && s.How == "done" {
				done++
			}
			running = running || jobOf(s.Task) == job && s.EndedAt.IsZero()
		}
		if done == chainSteps {
			e.add("the job is done %s after its submission", time.Since(submitted).Round(time.Millisecond))
			return broken, nil
		}
		now := time.Now()
		switch {
		case running || now.Sub(submitted) < finishTime || e.room(steps[0]) < 2 || !e.underHalf():
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= nothingRunning && broken == "":
			broken = fmt.Sprintf("LOST: %s after the last submission step %d of job %s has waited for %s with nothing of the job running, room for %d such tasks on one minion, and under half of the fleet in use",
				now.Sub(submitted).Round(time.Millisecond), done, job, now.Sub(since).Round(time.Millisecond), e.room(steps[0]))
			e.add("%s", broken)
		}
	}
	if broken == "" {
		return "", errors.New("the job did not end")
	}
	return broken, nil
}

// underHalf reports whether under half of each kind of capacity of the fleet is in use.
func (e *environment) underHalf() bool {
	var used, all amounts
	for _, m := range e.platform.minions {
		m.mu.Lock()
		all = amounts{all.CPU + m.capacity.CPU, all.MemMB + m.capacity.MemMB, all.GPU + m.capacity.GPU}
		for key := range m.running {
			s := e.stepOf(key.Task)
			used = amounts{used.CPU + s.CPU, used.MemMB + s.MemMB, used.GPU + s.GPU}
		}
		m.mu.Unlock()
	}
	return 2*used.CPU < all.CPU && 2*used.MemMB < all.MemMB && 2*used.GPU < all.GPU
}
