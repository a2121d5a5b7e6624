package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const (
	service  = "gpu"
	host     = "jobs.example"
	token    = "caller-token"
	maxTries = 3 // of a task of a job that fails

	// heartbeatEvery is how often workers write their entries, and entryLapse is
	// how long an entry stays without one: the platform's example figures.
	heartbeatEvery = 1500 * time.Millisecond
	entryLapse     = 3 * heartbeatEvery
	// entryReturn is within what time of the store's return entries are back.
	entryReturn = 2 * time.Second
	// slowClock of every third worker: the platform allows 2 %.
	slowClock = 0.98
)

// queue is a queue of the configuration, by its priority.
type queue struct {
	prefix   string
	priority int
}

var queues = []queue{{"/urgent/", 0}, {"/batch/", 1}, {"/backfill/", 2}}

// world is the platform and the daemons of a run.
type world struct {
	scenario
	path        string // of the daemon's binary
	dir         string // of the settings
	store       *standinfleet.Store
	storeFaults callFaults
	daemons     []*daemon
	workers     []*worker

	mu      sync.Mutex
	version int64 // of the configuration
	broken  []string
}

func newWorld(s scenario, path string) (*world, error) {
	dir, err := os.MkdirTemp("", "samphirepath-soak-")
	if err != nil {
		return nil, err
	}
	w := &world{scenario: s, path: path, dir: dir, store: standinfleet.NewStore()}
	w.store.SetFault(w.storeFaults.choose)
	w.configure()
	for i := range s.workers {
		m, err := newWorker(w, i)
		if err != nil {
			return nil, err
		}
		w.workers = append(w.workers, m)
	}
	for i := range s.daemons {
		d, err := newDaemon(w, i)
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	return w, nil
}

func (w *world) zone(i int) string    { return fmt.Sprintf("zone-%d", i%w.zones) }
func (w *world) daemon(i int) *daemon { return w.daemons[i%len(w.daemons)] }
func (w *world) worker(i int) *worker { return w.workers[i%len(w.workers)] }
func (w *world) eachDaemon(f func(*daemon)) {
	for _, d := range w.daemons {
		f(d)
	}
}

// breakPromise notes a broken promise.
func (w *world) breakPromise(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": strings.Trim(q.prefix, "/"), "host": host, "path_prefix": q.prefix, "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": q.priority, "backend": service, "max_attempts": maxTries, "stretch": 3})
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": []map[string]any{{"name": service}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "callers", "api_keys": []string{token, fmt.Sprintf("added-%d", w.version)}}},
	})
	if err != nil {
		panic(err) // the maps hold only numbers and texts
	}
	w.store.Put("op", "", "config", value)
}

// run keeps proxies, workers and daemons going until ctx ends.
func (w *world) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range w.workers {
		group.Go(func() error { return m.link.proxy.Run(ctx) })
		group.Go(func() error { return m.heartbeat(ctx) })
	}
	for _, d := range w.daemons {
		group.Go(func() error { return d.store.Run(ctx) })
		group.Go(func() error { return d.keepRunning(ctx) })
	}
	return group.Wait()
}

func (w *world) close() error {
	for _, d := range w.daemons {
		d.close()
	}
	for _, m := range w.workers {
		m.server.CloseClientConnections()
		m.server.Close()
	}
	return os.RemoveAll(w.dir)
}

// worker is a worker with its way to the daemons and its entry in the store.
type worker struct {
	*standinfleet.Worker
	world  *world
	zone   string
	rack   string
	server *httptest.Server
	link   *linkFaults
	faults callFaults

	mu      sync.Mutex
	down    int // crashes from which it has not come back
	drains  int
	garbled int
	beat    time.Time // last heartbeat that the store took
}

func newWorker(w *world, i int) (*worker, error) {
	m := &worker{Worker: standinfleet.NewWorker(fmt.Sprintf("worker-%d", i)), world: w, zone: w.zone(i), rack: fmt.Sprintf("r%d", i/2)}
	if i%3 == 0 {
		m.ClockRate = slowClock
	}
	m.SetFault(m.faults.choose)
	m.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if m.isDown() {
			panic(http.ErrAbortHandler)
		}
		m.ServeHTTP(out, r)
	}))
	proxy, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(m.server.URL, "http://")})
	m.link = &linkFaults{proxy: proxy}
	return m, err
}

func (m *worker) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down > 0
}

// crash ends everything on the worker until the returned function is called.
func (m *worker) crash() (comeBack func()) {
	m.count(&m.down, 1)
	m.Restart()
	return func() {
		m.Restart()
		m.count(&m.down, -1)
		m.write()
	}
}

// drain announces that the worker leaves. It leaves and comes back with nothing
// when the returned function is called.
func (m *worker) drain() (comeBack func()) {
	m.count(&m.drains, 1)
	m.write()
	return func() {
		m.Restart()
		m.count(&m.drains, -1)
		m.write()
	}
}

// garble writes entries that cannot be read until the returned function is called.
func (m *worker) garble() (mend func()) {
	m.count(&m.garbled, 1)
	m.write()
	return func() {
		m.count(&m.garbled, -1)
		m.write()
	}
}

func (m *worker) count(n *int, by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*n += by
}

// heartbeat writes the entry, which lapses when that is not possible.
func (m *worker) heartbeat(ctx context.Context) error {
	m.write()
	for {
		wait := heartbeatEvery
		if m.world.storeFaults.refusesAll() {
			wait = entryReturn
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		m.write()
	}
}

func (m *worker) write() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down > 0 || m.world.storeFaults.refusesAll() {
		if time.Since(m.beat) > entryLapse {
			m.world.store.Remove("servers", "", m.ID)
		}
		return
	}
	state := "ready"
	if m.drains > 0 {
		state = "draining"
	}
	entry := m.Entry(service, m.zone, m.rack, m.link.proxy.Address(), state)
	if m.garbled > 0 {
		entry = []byte(`{"backend":7,"address":`)
	}
	m.beat = time.Now()
	m.world.store.Put("servers", "", m.ID, entry)
}

func (w *world) settingsFile(name string) string { return filepath.Join(w.dir, name+".conf") }
