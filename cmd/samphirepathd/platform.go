package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/catalogue"
	"github.com/samphirepath/samphirepath/internal/ingress"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/internal/node"
	"github.com/samphirepath/samphirepath/internal/relay"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/platform"
)

type platformCommand struct{}

// Run runs the daemon on the platform of package platform until SIGTERM or SIGINT.
func (platformCommand) Run() error {
	// Until then SIGHUP ends the process, also one that comes while it starts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
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
	directStore := platform.NewStore(settings.StoreAddress, node.Layout{})
	go reloadOnHangup(ctx, hangup, path, directStore, log)
	store := relay.NewStore(directStore, settings.Name, log, metrics.Scope)
	current := &catalogue.Current{}
	jobs := intake.New(store, log, metrics.Scope)
	limits := ingress.DefaultLimits(settings.MemoryMB, settings.MaxFDs, platform.DefaultMaxBodyBytes)
	guard := ingress.New(limits, time.Now, log, metrics.Scope.Tagged(map[string]string{"listener": "callers"}))
	front := &platform.Front{Current: current, Intake: jobs, Guard: guard}
	n, err := node.New(settings, node.Dependencies{
		Store: store, DirectStore: directStore, Operator: platform.Operator(), Workers: platform.Discovery(), Client: platform.NewWorkers(),
		Current: current, Front: front.Handler(), Guard: guard, Metrics: metrics.Handler, Log: log, Scope: metrics.Scope,
	})
	if err != nil {
		return err
	}
	jobs.SetDispatcher(n.JobState)
	jobs.SetCountsAge(n.CountsAge)
	jobs.SetAdmission(admission.NewLedger(admission.Config{Notice: n.JobLoad, Daemons: n.Daemons, Budget: n.JobBudget, Ask: n.GrantJob, Log: log, Scope: metrics.Scope}))
	return n.Run(ctx)
}

// reloadOnHangup reads the settings again on SIGHUP. Only a change of the address of
// the store takes effect at once; other settings apply at the next start.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, path string, store *platform.Store, log *zap.Logger) {
	log = telemetry.Named(log, "settings")
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		settings, problems := platform.LoadSettings(path)
		for _, problem := range problems {
			log.Error("Reloading the settings failed; the current ones stay in force.", telemetry.ErrorField(problem))
		}
		if len(problems) == 0 {
			store.SetAddress(settings.StoreAddress)
			log.Info("Settings reloaded.", zap.String("store", settings.StoreAddress))
		}
	}
}
