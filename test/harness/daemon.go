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
	readyPath         = "/readyz"
	readyPollInterval = 20 * time.Millisecond
	readyPollTimeout  = time.Second
)

// DaemonArguments returns the arguments of samphirepathd for a settings file.
var DaemonArguments = func(settingsFile string) []string { return []string{"run", settingsFile} }

// Daemon is a samphirepathd process with its settings. It can be started again
// after it has exited.
type Daemon struct {
	*Process // nil before the first start
	Settings api.Settings
	Dir      string
	// Path is the binary; if empty, Start uses the built samphirepathd.
	Path string
	// Env lists variables (NAME=VALUE) that the process gets in addition to those of the
	// test process.
	Env []string
}

// CallersURL returns the base URL of the HTTP API for callers.
func (d *Daemon) CallersURL() string { return "http://" + d.Settings.Listen.Callers }

// OperatorsURL returns the base URL of the HTTP API for operators.
func (d *Daemon) OperatorsURL() string { return "http://" + d.Settings.Listen.Operators }

// ID returns the identifier of the daemon's VM.
func (d *Daemon) ID() string { return d.Settings.Daemon.VM }

// Start writes the settings file and starts the process. It does not wait for
// readiness.
func (d *Daemon) Start() error {
	if d.Process != nil && d.Running() {
		return eris.Errorf("daemon %s is already running", d.ID())
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

// Ready reports whether the readiness endpoint of the daemon answers with 200.
func (d *Daemon) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyPollTimeout)
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

// WaitReady waits until the daemon is ready. If the process exits first, it
// returns an error with the output of the process at once.
func (d *Daemon) WaitReady(parent context.Context) error {
	timeoutCtx, cancelTimeout := context.WithTimeout(parent, readyTimeout)
	defer cancelTimeout()
	ctx, cancel := d.contextUntilExit(timeoutCtx)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
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

// Stop stops the process if it has been started.
func (d *Daemon) Stop() error {
	if d.Process == nil {
		return nil
	}
	return d.Process.Stop()
}
