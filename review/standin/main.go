// Command standin runs the script cases of the review. It contains small stand-ins for
// the platform's store, the minions and the clients, starts the daemons as separate
// processes with the command of the deploy file, and checks one rule from what the
// minions, the clients and the store have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitBroken    = 1
	exitCannotRun = 2
	// maxRunTime ends a case that hangs before the 120 s that a script may take.
	maxRunTime = 110 * time.Second
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of the cases to their functions.
var cases = map[string]func(*deployment) error{
	"hang":     runHang,
	"row-size": runRowSize,
	"ends":     runEnds,
	"cancel":   runCancel,
}

func main() {
	name := flag.String("case", "", "case to run")
	daemon := flag.String("daemon", "target/samphirepathd", "program of the daemon")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *daemon, *record))
}

func run(name, daemon, recordPath string) int {
	check, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitCannotRun
	}
	d, err := newDeployment(daemon, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	result := make(chan error, 1)
	go func() { result <- check(d) }()
	select {
	case err = <-result:
	case <-time.After(maxRunTime):
		err = errors.New("the case did not end in time")
	}
	d.close()
	switch {
	case err == nil:
		fmt.Println("held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitCannotRun
}
