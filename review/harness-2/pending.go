package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	fleetSize = 12
	// pendingAge is visible_ms and 2 s more.
	pendingAge  = 3*time.Second + 2*time.Second
	waitingJobs = 6
	// srvCrashDark is how long a crashed minion is away.
	srvCrashDark = 4500 * time.Millisecond
)

// startFleet starts minions in racks of six and daemons, and waits until all are known.
func (e *environment) startFleet(daemons int, kind func(i int) string) error {
	e.platform.configure()
	for i := range fleetSize {
		rack := fmt.Sprintf("r%d", i/6+1)
		if _, err := e.platform.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), kind(i), zones[i%len(zones)], rack); err != nil {
			return err
		}
	}
	if err := e.startDaemons(daemons); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // traffic starts some seconds after the machines
	return nil
}

// pendingAfterCrash crashes an idle minion, when all others are busy, and hands jobs in. It
// checks the number of waiting jobs that the daemons give: it must not be under half of those
// that were accepted over pendingAge before and of which no task has begun.
func pendingAfterCrash(e *environment, trouble bool) (string, error) {
	if err := e.startFleet(3, func(int) string { return "a" }); err != nil {
		return "", err
	}
	// One task with all accelerators of its minion on each minion but one.
	if _, err := e.submit(1, "00000000000000f0", taskSpec{DurationMs: 24_000}, step{Count: fleetSize - 1, CPU: 26000, MemMB: 38000, GPU: 8, EstimateMs: 24_000, MaxPerServer: 1}); err != nil {
		return "", err
	}
	if !waitFor(5*time.Second, func() bool { return len(e.platform.starts()) == fleetSize-1 }) {
		return "", errors.New("the minions were not filled")
	}
	busy := map[string]bool{}
	for _, s := range e.platform.starts() {
		busy[s.Minion] = true
	}
	var idle *minion
	for _, m := range e.platform.minions {
		if !busy[m.id] {
			idle = m
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		idle.crash(true)
		time.AfterFunc(srvCrashDark, func() {
			if err := e.platform.boot(idle, "a"); err != nil {
				e.add("minion %s does not come back: %v", idle.id, err)
			}
		})
	}
	acknowledged := map[string]time.Time{}
	for i := range waitingJobs {
		id := fmt.Sprintf("%016x", 0x5c0e7a21d94b3000+i)
		at, err := e.submit(2, id, taskSpec{DurationMs: 3000}, step{Count: 1, CPU: 5600, MemMB: 11000, GPU: 1, EstimateMs: 3000})
		if err != nil {
			return "", err
		}
		acknowledged[id] = at
	}
	broken := ""
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		for _, d := range e.daemons {
			verdict, err := e.checkPending(d, acknowledged)
			if err != nil {
				return "", err
			}
			if broken == "" {
				broken = verdict
			}
		}
	}
	done := waitFor(30*time.Second, func() bool {
		ended := map[string]bool{}
		for _, s := range e.platform.starts() {
			if s.How == "done" {
				ended[jobOf(s.Task)] = true
			}
		}
		return len(ended) == waitingJobs+1
	})
	e.add("all jobs are done: %t", done)
	return broken, nil
}

// checkPending asks a daemon for the number of waiting jobs and compares it with those that
// had to be counted.
func (e *environment) checkPending(d *daemon, acknowledged map[string]time.Time) (string, error) {
	sent := time.Now()
	status, body, err := e.call(http.MethodGet, "http://"+d.front+prefixOf(2), nil)
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("%s did not give the number of waiting jobs: %d %w", d.name, status, err)
	}
	var given struct {
		Pending int `json:"pending"`
	}
	if err := json.Unmarshal(body, &given); err != nil {
		return "", err
	}
	begun := map[string]bool{}
	for _, s := range e.platform.starts() {
		begun[jobOf(s.Task)] = true
	}
	owed := 0
	for id, at := range acknowledged {
		if sent.Sub(at) > pendingAge && !begun[id] {
			owed++
		}
	}
	e.add("client: GET q2 at %s -> pending %d; accepted over %s before and not begun: %d", d.name, given.Pending, pendingAge, owed)
	if 2*given.Pending < owed {
		return fmt.Sprintf("MIXED: %s gives %d as pending, but %d jobs were accepted over %s before and have not begun", d.name, given.Pending, owed, pendingAge), nil
	}
	return "", nil
}
