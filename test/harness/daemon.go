package harness

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

const (
	readyPath      = "/readyz"
	readyPollEvery = 20 * time.Millisecond
	readyPollWait  = time.Second
)

// DaemonArguments gives the arguments of samphirepathd for a settings file.
var DaemonArguments = func(settingsFile string) []string { return []string{"run", settingsFile} }

// Daemon is a samphirepathd with its settings. It can be started again after it
// has ended.
type Daemon struct {
	*Process // nil before the first start
	Settings api.Settings
	Dir      string
	// Path is the binary; empty takes the built samphirepathd.
	Path string
	// Env is added to the environment.
	Env []string
}

// CallersURL is the base URL of the HTTP API for callers.
func (d *Daemon) CallersURL() string { return "http://" + d.Settings.Listen.Callers }

// OperatorsURL is the base URL of the HTTP API for operators.
func (d *Daemon) OperatorsURL() string { return "http://" + d.Settings.Listen.Operators }

// ID is the identifier of the VM.
func (d *Daemon) ID() string { return d.Settings.Daemon.VM }

// Start writes the settings and starts the process. It does not wait for readiness.
func (d *Daemon) Start() error {
	if d.Process != nil && d.Running() {
		return eris.Errorf("daemon %s is running", d.ID())
	}
	if d.Path == "" {
		binaries, err := Build()
		if err != nil {
			return err
		}
		d.Path = binaries.Daemon
	}
	file := filepath.Join(d.Dir, d.ID()+".toml")
	if err := writeSettings(file, d.Settings); err != nil {
		return err
	}
	process, err := Start(Command{Name: d.ID(), Path: d.Path, Arguments: DaemonArguments(file), Dir: d.Dir, Env: d.Env})
	if err != nil {
		return err
	}
	d.Process = process
	return nil
}

// Ready tells whether the daemon says that it is ready.
func (d *Daemon) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyPollWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.OperatorsURL()+readyPath, nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the daemon is ready. It fails at once, with the output
// of the process, when the process ends.
func (d *Daemon) WaitReady(parent context.Context) error {
	limited, cancelLimit := context.WithTimeout(parent, readyWait)
	defer cancelLimit()
	ctx, cancel := d.whileRunning(limited)
	defer cancel()
	ticker := time.NewTicker(readyPollEvery)
	defer ticker.Stop()
	for !d.Ready(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrapf(context.Cause(ctx), "wait for %s to become ready, output:\n%s", d.ID(), d.Logs())
		}
	}
	return nil
}

// Stop ends the process if it has been started.
func (d *Daemon) Stop() error {
	if d.Process == nil {
		return nil
	}
	return d.Process.Stop()
}
