package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

const (
	service     = "gpu"
	host        = "jobs.example"
	token       = "caller-token"
	maxAttempts = 3 // bounds the attempts of a failing task

	// A worker announces itself by an entry in the store, which it writes at the interval
	// heartbeatEvery. An entry expires entryExpiry after its last write. Both values are
	// those of the platform's example settings.
	heartbeatEvery = 1500 * time.Millisecond
	entryExpiry    = 3 * heartbeatEvery
	// storeRetryEvery is the interval at which workers try to write their entries while the
	// store is down, so that the entries are back within this time after its return.
	storeRetryEvery = 2 * time.Second
	// crashDowntime is how long a worker is down after a task has crashed it.
	crashDowntime = 1500 * time.Millisecond
	// shrinkGrace is how long after its capacity has shrunk a worker may get tasks that fill
	// the earlier one: the time in which daemons must act on a change, and a heartbeat.
	shrinkGrace = 3*time.Second + heartbeatEvery
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// slowClockRate is the clock rate of every third worker: the platform allows clocks
	// that are 2 % slow.
	slowClockRate = 0.98
)

// queue is a queue of the configuration: a path prefix for jobs and its priority.
type queue struct {
	pathPrefix string
	priority   int
}

var queues = []queue{{"/urgent/", 0}, {"/batch/", 1}, {"/backfill/", 2}}

// cluster is the simulated platform and the daemons of a run.
type cluster struct {
	scenario
	daemonPath  string // of the samphirepathd binary
	settingsDir string // of the settings files
	store       *standinfleet.Store
	storeFaults callFaults
	daemons     []*daemon
	workers     []*worker
	gangs       *standinfleet.Gangs
	endpoints   map[string]*endpoint // by their addresses and those of their proxies
	// crashingJobs counts the faults during which callers submit jobs that crash workers.
	crashingJobs atomic.Int32
	edgeJobs     atomic.Int32 // counts the faults during which callers submit jobs of edge sizes
	outageJobs   atomic.Int32 // counts the outages during which callers submit jobs of outageSteps

	mu                   sync.Mutex
	configurationVersion int64 // last version written
	violations           []string
}

func newCluster(s scenario, daemonPath string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "samphirepath-soak-")
	if err != nil {
		return nil, err
	}
	cl := &cluster{scenario: s, daemonPath: daemonPath, settingsDir: dir, store: standinfleet.NewStore(), gangs: standinfleet.NewGangs(gangTimeout), endpoints: map[string]*endpoint{}}
	cl.store.SetFault(cl.storeFaults.draw)
	cl.writeConfiguration()
	for i := range s.workers {
		w, err := newWorker(cl, i)
		if err != nil {
			return nil, err
		}
		cl.workers = append(cl.workers, w)
	}
	for i := range s.daemons {
		d, err := newDaemon(cl, i)
		if err != nil {
			return nil, err
		}
		cl.daemons = append(cl.daemons, d)
	}
	return cl, nil
}

func (cl *cluster) zone(i int) string    { return fmt.Sprintf("zone-%d", i%cl.zones) }
func (cl *cluster) daemon(i int) *daemon { return cl.daemons[i%len(cl.daemons)] }
func (cl *cluster) worker(i int) *worker { return cl.workers[i%len(cl.workers)] }
func (cl *cluster) eachDaemon(f func(*daemon)) {
	for _, d := range cl.daemons {
		f(d)
	}
}

// reportViolation records the violation of an invariant.
func (cl *cluster) reportViolation(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

// writeConfiguration writes a configuration with the next version to the store.
func (cl *cluster) writeConfiguration() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.configurationVersion += 3
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": strings.Trim(q.pathPrefix, "/"), "host": host, "path_prefix": q.pathPrefix, "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": q.priority, "backend": service, "max_attempts": maxAttempts, "stretch": 3})
	}
	value, err := json.Marshal(map[string]any{
		"version": cl.configurationVersion, "routes": routes, "services": []map[string]any{{"name": service}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "callers", "api_keys": []string{token, fmt.Sprintf("added-%d", cl.configurationVersion)}}, {"name": "crowd", "api_keys": []string{crowdToken}}},
	})
	if err != nil {
		panic(err) // cannot happen: the value consists of maps and slices of numbers and strings
	}
	cl.store.Put("op", "", "config", value)
}

// oddEntries are entries among those of the workers that are not from a worker.
var oddEntries = []string{
	`{"backend":"gpu","address":"127.0.0.1:9","zone":"zone-0","version":"v1","slots":8,"state":"ready","cold_ms":0,"seq":1,"labels":["a","r0"],"clock_ms":1,"born":1,` +
		`"capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807,"gpu":9223372036854775807}}`,
	`{"backend":"gpu","address":"127.0.0.1:99999","zone":"zone-0","version":"v1","slots":8,"state":"ready","cold_ms":0,"seq":1,"capacity":{"cpu":64000,"mem_mb":131072,"gpu":8}}`,
	`{"labels":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"\x00\xff",
}

// writeOddEntries writes oddEntries until the returned function is called.
func (cl *cluster) writeOddEntries() (remove func()) {
	for i, entry := range oddEntries {
		cl.store.Put("servers", "", fmt.Sprintf("odd-%d", i), []byte(entry))
	}
	return func() {
		for i := range oddEntries {
			cl.store.Remove("servers", "", fmt.Sprintf("odd-%d", i))
		}
	}
}

// losePower kills the daemons and crashes the workers of a zone while the store does not
// answer, until the returned function is called.
func (cl *cluster) losePower(zone string) (restore func()) {
	heals := []func(){cl.storeFaults.add(standinfleet.NoAnswer, 1)}
	for _, d := range cl.daemonsOf(zone) {
		d.kill()
		heals = append(heals, d.allowStart)
	}
	for _, w := range cl.workersOf(zone) {
		heals = append(heals, w.crash())
	}
	return func() { healAll(heals) }
}

// dispatcher returns the index of the daemon that the row of the leader lease names, or the
// given one if it names none.
func (cl *cluster) dispatcher(otherwise int) int {
	var row api.PlannerLease
	if value, found := cl.store.Value("leader", "control", "lease"); found {
		_ = json.Unmarshal(value, &row) // an invalid row names no daemon
	}
	if i := slices.IndexFunc(cl.daemons, func(d *daemon) bool { return d.name == row.Holder }); i >= 0 {
		return i
	}
	return otherwise
}

// run runs the proxies, workers and daemons until ctx ends.
func (cl *cluster) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range cl.workers {
		group.Go(func() error { return w.link.proxy.Run(ctx) })
		group.Go(func() error { return w.heartbeat(ctx) })
	}
	for address, e := range cl.endpoints {
		for _, link := range e.crossings {
			if address == e.address {
				group.Go(func() error { return link.proxy.Run(ctx) })
			}
		}
	}
	for _, d := range cl.daemons {
		group.Go(func() error { return d.storeProxy.Run(ctx) })
		group.Go(func() error { return d.supervise(ctx) })
	}
	return group.Wait()
}

func (cl *cluster) close() error {
	for _, d := range cl.daemons {
		d.close()
	}
	for _, w := range cl.workers {
		w.server.CloseClientConnections()
		w.server.Close()
	}
	return os.RemoveAll(cl.settingsDir)
}

// worker is a simulated worker with the link from the daemons and its entry in the store.
// Its faults may overlap, so the active ones are counted.
type worker struct {
	*standinfleet.Worker
	cluster *cluster
	zone    string
	rack    string
	server  *httptest.Server
	link    *linkFaults
	// endpoint is the address of link.
	endpoint *endpoint
	faults   callFaults

	mu            sync.Mutex
	downCount     int       // crashes after which it has not been restarted
	drainCount    int       // drains that have not ended
	corruptCount  int       // faults that corrupt its entry
	cutCount      int       // faults that cut it off from the store
	lastHeartbeat time.Time // time of the last write to the store
}

func newWorker(cl *cluster, i int) (*worker, error) {
	w := &worker{Worker: standinfleet.NewWorker(fmt.Sprintf("worker-%d", i)), cluster: cl, zone: cl.zone(i), rack: fmt.Sprintf("r%d", i/2)}
	if i%3 == 0 {
		w.ClockRate = slowClockRate
	}
	w.ShrinkGrace, w.Gangs = shrinkGrace, cl.gangs
	w.AfterCrash = func() {
		w.add(&w.downCount, 1)
		time.Sleep(crashDowntime)
		w.restart()
		w.add(&w.downCount, -1)
		w.writeEntry()
	}
	w.SetFault(w.faults.draw)
	w.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if w.isDown() {
			panic(http.ErrAbortHandler)
		}
		w.ServeHTTP(out, r)
	}))
	proxy, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(w.server.URL, "http://")})
	if err != nil {
		return nil, err
	}
	w.link = &linkFaults{proxy: proxy}
	w.endpoint, err = cl.addEndpoint(w.zone, proxy.Address())
	return w, err
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.downCount > 0
}

// restart starts a new incarnation of the worker. The connections of the earlier one end,
// so that a call that is held on one of them does not reach the new incarnation.
func (w *worker) restart() {
	w.link.proxy.ResetConnections()
	w.Restart()
}

// crash simulates a crash: the worker loses its tasks and stays down until the returned
// function is called.
func (w *worker) crash() (restart func()) {
	w.add(&w.downCount, 1)
	w.restart()
	return func() {
		w.restart()
		w.add(&w.downCount, -1)
		w.writeEntry()
	}
}

// shrink halves the capacity of the worker until the returned function is called.
func (w *worker) shrink() (grow func()) {
	w.SetCapacity(standinfleet.Capacity{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 4})
	w.writeEntry()
	return func() {
		w.SetCapacity(standinfleet.Capacity{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8})
		w.writeEntry()
	}
}

// drain announces that the worker will shut down. The returned function restarts it without
// its tasks.
func (w *worker) drain() (restart func()) {
	w.add(&w.drainCount, 1)
	w.writeEntry()
	return func() {
		w.restart()
		w.add(&w.drainCount, -1)
		w.writeEntry()
	}
}

// corruptEntry makes the entry of the worker unreadable until the returned function is
// called.
func (w *worker) corruptEntry() (restore func()) {
	w.add(&w.corruptCount, 1)
	w.writeEntry()
	return func() {
		w.add(&w.corruptCount, -1)
		w.writeEntry()
	}
}

func (w *worker) add(n *int, delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n += delta
}

// heartbeat writes the entry periodically until ctx ends.
func (w *worker) heartbeat(ctx context.Context) error {
	w.writeEntry()
	for {
		wait := heartbeatEvery
		if w.cluster.storeFaults.affectsAll() {
			wait = storeRetryEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		w.writeEntry()
	}
}

// writeEntry writes the entry of the worker to the store. While the worker is down or
// cut off from the store, or a fault affects every call to the store, it instead removes the
// entry if it has expired.
func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.downCount > 0 || w.cutCount > 0 || w.cluster.storeFaults.affectsAll() {
		if time.Since(w.lastHeartbeat) > entryExpiry {
			w.cluster.store.Remove("servers", "", w.ID)
		}
		return
	}
	state := "ready"
	if w.drainCount > 0 {
		state = "draining"
	}
	entry := w.Entry(service, w.zone, w.rack, w.link.proxy.Address(), state)
	if w.corruptCount > 0 {
		entry = []byte(`{"backend":7,"address":`)
	}
	w.lastHeartbeat = time.Now()
	w.cluster.store.Put("servers", "", w.ID, entry)
}

func (cl *cluster) settingsFile(name string) string {
	return filepath.Join(cl.settingsDir, name+".conf")
}
