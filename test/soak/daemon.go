package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// grace is the time between SIGTERM and SIGKILL: the platform's example figure.
	grace = 6 * time.Second
	// restartPause is how soon a process that has ended is looked for and started.
	restartPause = 100 * time.Millisecond
	// memoryLimit is what a machine of the example settings gives a process.
	memoryLimit = 284 << 20

	portFront = 21000
	portReady = 21001
	portRange = 21002 // first of the ports between daemons
)

// daemon is a process of samphirepathd with its way to the store.
type daemon struct {
	world      *world
	name       string
	ip         string
	server     *httptest.Server // the store, as this daemon sees it
	store      *faultproxy.Proxy
	storeLink  *linkFaults
	turnedAway atomic.Int32 // refusals in force by the store

	mu       sync.Mutex
	process  *harness.Process
	stopping bool // the end of the process is wanted
	downs    int  // faults that keep it down
	pauses   int
	logs     strings.Builder // of ended processes
	peak     int64           // resident bytes
}

// addresses counts the loopback addresses of this process: each daemon has its own,
// because all listen on the same ports.
var addresses atomic.Uint32

func nextIP() string {
	pid, n := os.Getpid(), addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+n%250)
}

func newDaemon(w *world, i int) (*daemon, error) {
	d := &daemon{world: w, name: fmt.Sprintf("edge-%d", i), ip: nextIP()}
	d.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if d.turnedAway.Load() > 0 {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(out, r)
	}))
	proxy, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(d.server.URL, "http://")})
	if err != nil {
		return nil, err
	}
	d.store, d.storeLink = proxy, &linkFaults{proxy: proxy}
	settings := fmt.Sprintf(`node=%s
ip=%s
zone=%s
listen.front=%s:%d
listen.ready=%s:%d
port_range=%d,%d
limits.cpu_share=0.4
limits.cores=1
limits.link_mbps=1000
bounds.grace_s=%d
bounds.status_s=120
bounds.max_hold_ms=6000
orders=rpc
platform.address=%s
platform.form=table
`, d.name, d.ip, w.zone(i), d.ip, portFront, d.ip, portReady, portRange, portRange+13, int(grace/time.Second), proxy.Address())
	return d, os.WriteFile(w.settingsFile(d.name), []byte(settings), 0o600)
}

func (d *daemon) front() string { return fmt.Sprintf("http://%s:%d", d.ip, portFront) }

// keepRunning starts the process, also after it has ended, unless a fault keeps it
// down. An end that nobody wanted breaks a promise.
func (d *daemon) keepRunning(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := d.ensure(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
	return nil
}

func (d *daemon) ensure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && d.process.Running() {
		d.measureLocked()
		return nil
	}
	if d.process != nil {
		d.logs.WriteString(d.process.Logs())
		if !d.stopping {
			d.world.breakPromise("%s ended by itself: %.400s", d.name, tail(d.process.Logs()))
		}
		d.process = nil
	}
	if d.downs > 0 {
		return nil
	}
	p, err := harness.Start(harness.Command{Name: d.name, Path: d.world.path, Arguments: []string{"platform"},
		Env: []string{platform.SettingsEnv + "=" + d.world.settingsFile(d.name)}})
	d.process, d.stopping, d.pauses = p, false, 0
	return err
}

// measureLocked notes the memory of the process.
func (d *daemon) measureLocked() {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.process.PID()))
	if err != nil {
		return // it has just ended
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(stat), &size, &resident); err == nil {
		d.peak = max(d.peak, resident*int64(os.Getpagesize()))
	}
}

func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downs++
	d.killLocked()
}

func (d *daemon) killLocked() {
	if d.process != nil {
		d.stopping = true
		_ = d.process.Kill() // fails only when it has ended
	}
}

// terminate asks the process to end and kills it after the grace, as the platform does.
func (d *daemon) terminate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downs++
	p := d.process
	if p == nil {
		return
	}
	d.stopping = true
	_ = p.Terminate() // fails only when it has ended
	time.AfterFunc(grace, func() {
		if p.Running() {
			_ = p.Kill()
		}
	})
}

// start lets the process run again once no other fault keeps it down.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downs--
}

// pause stops the process until the returned function is called. A process that
// was started anew in between is not touched.
func (d *daemon) pause() (resume func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.process
	if p == nil || p.Pause() != nil {
		return func() {}
	}
	d.pauses++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.process != p {
			return
		}
		if d.pauses--; d.pauses == 0 {
			_ = p.Continue() // fails only when it has ended
		}
	}
}

func (d *daemon) hangUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.HangUp() // fails only when it has ended
	}
}

func (d *daemon) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killLocked()
	if d.process != nil {
		d.logs.WriteString(d.process.Logs())
	}
	d.server.CloseClientConnections()
	d.server.Close()
	if d.peak > memoryLimit {
		d.world.breakPromise("%s held %d MB of memory", d.name, d.peak>>20)
	}
}

func (d *daemon) log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logs.String()
}

// tail returns the last line of a text.
func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
