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
	// gracePeriod is the time between SIGTERM and SIGKILL in the platform's example
	// settings.
	gracePeriod = 6 * time.Second
	// superviseEvery is the interval at which a process that has ended is detected and
	// restarted.
	superviseEvery = 100 * time.Millisecond
	// memoryLimit bounds the resident memory of a daemon: the memory that a process gets
	// on a machine of the platform's example settings.
	memoryLimit = 284 << 20

	portFront     = 21000
	portReady     = 21001
	firstPeerPort = 21002 // first port of the range for peer connections
	peerPort      = 21003 // port of the range that daemons announce to each other
)

// daemon is a samphirepathd process that is restarted when it ends, with its link to the
// store.
type daemon struct {
	cluster      *cluster
	name         string
	zone         string
	ip           string
	server       *httptest.Server // the store, as seen by this daemon
	storeProxy   *faultproxy.Proxy
	storeLink    *linkFaults
	refusalCount atomic.Int32 // active faults in which the store refuses this daemon

	mu         sync.Mutex
	process    *harness.Process
	stopping   bool            // the process was killed or terminated by a fault
	downCount  int             // active faults that keep the process down
	pauseCount int             // active faults that pause the process
	logs       strings.Builder // of ended processes
	peakMemory int64           // largest resident memory in bytes
}

// addressCount counts the loopback addresses that nextIP has returned. Each daemon has its
// own address, because all of them listen on the same ports.
var addressCount atomic.Uint32

func nextIP() string {
	pid, n := os.Getpid(), addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+n%250)
}

func newDaemon(cl *cluster, i int) (*daemon, error) {
	d := &daemon{cluster: cl, name: fmt.Sprintf("edge-%d", i), zone: cl.zone(i), ip: nextIP()}
	view := cl.viewFrom(d.zone)
	d.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if d.refusalCount.Load() > 0 {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		cl.store.ServeView(out, r, view)
	}))
	proxy, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(d.server.URL, "http://")})
	if err != nil {
		return nil, err
	}
	if _, err := cl.addEndpoint(d.zone, fmt.Sprintf("%s:%d", d.ip, peerPort)); err != nil {
		return nil, err
	}
	d.storeProxy, d.storeLink = proxy, &linkFaults{proxy: proxy}
	settings := fmt.Sprintf(`node=%s
ip=%s
zone=%s
listen.front=%s:%d
listen.ready=%s:%d
port_range=%d,%d
limits.cpu_share=0.4
limits.cores=1
limits.link_mbps=1000
limits.memory_mb=%d
bounds.grace_s=%d
bounds.status_s=120
bounds.max_hold_ms=6000
orders=rpc
platform.address=%s
platform.form=table
`, d.name, d.ip, d.zone, d.ip, portFront, d.ip, portReady, firstPeerPort, firstPeerPort+13, memoryLimit>>20, int(gracePeriod/time.Second), proxy.Address())
	return d, os.WriteFile(cl.settingsFile(d.name), []byte(settings), 0o600)
}

func (d *daemon) frontURL() string { return fmt.Sprintf("http://%s:%d", d.ip, portFront) }

// supervise starts the process and restarts it whenever it has ended, unless a fault keeps
// it down. An exit that no fault has caused is a violation.
func (d *daemon) supervise(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := d.ensureRunning(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(superviseEvery):
		}
	}
	return nil
}

func (d *daemon) ensureRunning() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && d.process.Running() {
		d.recordMemoryLocked()
		return nil
	}
	if d.process != nil {
		d.logs.WriteString(d.process.Logs())
		if !d.stopping {
			d.cluster.reportViolation("%s exited unexpectedly: %.400s", d.name, lastLine(d.process.Logs()))
		}
		d.process = nil
	}
	if d.downCount > 0 {
		return nil
	}
	p, err := harness.Start(harness.Command{Name: d.name, Path: d.cluster.daemonPath, Arguments: []string{"platform"},
		Env: []string{platform.SettingsEnv + "=" + d.cluster.settingsFile(d.name)}})
	d.process, d.stopping, d.pauseCount = p, false, 0
	return err
}

// recordMemoryLocked updates the peak memory. The caller holds the lock.
func (d *daemon) recordMemoryLocked() {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.process.PID()))
	if err != nil {
		return // the process has just ended
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(stat), &size, &resident); err == nil {
		d.peakMemory = max(d.peakMemory, resident*int64(os.Getpagesize()))
	}
}

func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downCount++
	d.killLocked()
}

func (d *daemon) killLocked() {
	if d.process != nil {
		d.stopping = true
		_ = d.process.Kill() // fails only when it has ended
	}
}

// terminate sends SIGTERM and kills the process after the grace period, as the platform
// does.
func (d *daemon) terminate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downCount++
	p := d.process
	if p == nil {
		return
	}
	d.stopping = true
	_ = p.Terminate() // fails only when it has ended
	time.AfterFunc(gracePeriod, func() {
		if p.Running() {
			_ = p.Kill()
		}
	})
}

// allowStart ends a fault that kept the process down. The process is restarted once no
// other fault keeps it down.
func (d *daemon) allowStart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downCount--
}

// pause pauses the process until the returned function is called. That function has no
// effect if the process has been replaced in the meantime.
func (d *daemon) pause() (resume func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.process
	if p == nil || p.Pause() != nil {
		return func() {}
	}
	d.pauseCount++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.process != p {
			return
		}
		if d.pauseCount--; d.pauseCount == 0 {
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
	if d.peakMemory > memoryLimit {
		d.cluster.reportViolation("%s used %d MB of memory, more than allowed", d.name, d.peakMemory>>20)
	}
}

func (d *daemon) log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logs.String()
}

// lastLine returns the last line of text, ignoring white space at its end.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
