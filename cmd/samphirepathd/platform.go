package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/catalogue"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/internal/node"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/platform"
)

// gcPercent trades processor time for memory: the machines have 284 MB and the
// heap is a few MB.
const gcPercent = 50

type platformCommand struct{}

// Run runs the daemon on the users' platform until SIGTERM or SIGINT.
func (platformCommand) Run() error {
	path := os.Getenv(platform.SettingsEnv)
	if path == "" {
		return eris.Errorf("%s is not set", platform.SettingsEnv)
	}
	settings, problems := platform.LoadSettings(path)
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if len(problems) > 0 {
		os.Exit(exitBadSettings)
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush, err := telemetry.NewStreamLogger(os.Stdout)
	if err != nil {
		return err
	}
	defer flush()
	metrics, err := telemetry.NewMetrics(map[string]string{"vm": settings.Name}, log)
	if err != nil {
		return err
	}
	defer metrics.Close()
	store := platform.NewStore(settings.StoreAddress, node.Partition)
	current := &catalogue.Current{}
	front := &platform.Front{Current: current, Intake: intake.New(store, log, metrics.Scope)}
	n, err := node.New(settings, node.Parts{
		Store: store, Operator: platform.Operator(), Workers: platform.Discovery(), Client: platform.NewWorkers(),
		Current: current, Front: front.Handler(), Metrics: metrics.Handler, Log: log, Scope: metrics.Scope,
	})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
