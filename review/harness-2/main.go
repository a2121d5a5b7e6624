// Command harness-2 plays the scripts of the second review. Each case starts the daemons
// of the project as processes on loopback addresses, with stand-ins for the platform's
// store, its minions and its clients in this process.
//
// Usage: harness-2 CASE FOLDER. It writes FOLDER/record.txt and exits with 0 if the rule
// held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// maxRunTime ends a case that hangs, so that no process is left behind.
	maxRunTime = 110 * time.Second
)

// scenario is a case. It returns a description of how the rule was broken, or "", and an
// error if the case could not run.
type scenario func(e *environment, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"pending": pendingAfterCrash,
	"loop":    jobBesideFailingTask,
	"label":   labelOfNextIncarnation,
	"rack":    lastingTaskNearItsData,
	"gone":    lastingTaskAfterLosses,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		return exitCannotRun
	}
	record, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	e, err := newEnvironment(record)
	if err != nil {
		record.add("cannot run: %v", err)
		return exitCannotRun
	}
	defer e.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", args[0], trouble)

	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := scenarios[args[0]](e, trouble)
		results <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-interrupted:
		record.add("cannot run: interrupted")
		return exitCannotRun
	case r := <-results:
		switch {
		case r.err != nil:
			record.add("cannot run: %v", r.err)
			return exitCannotRun
		case r.broken != "":
			record.add("BROKEN: %s", r.broken)
			return exitBroken
		}
		record.add("held")
		return exitHeld
	case <-time.After(maxRunTime):
		record.add("cannot run: the case took longer than %s", maxRunTime)
		return exitCannotRun
	}
}
