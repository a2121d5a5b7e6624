package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	host      = "queues.example"
	apiKey    = "key-of-the-crew"
	service   = "bargning"
	urgent    = "/fix/"  // queue of priority 0
	bulk      = "/bulk/" // queue of priority 2
)

var zones = []string{"kiruna", "gallivare", "jokkmokk", "pajala"}

// deployment is the store, the minions, the daemons and the client of a case.
type deployment struct {
	trouble bool
	record  *record
	store   *store
	minions []*minion
	daemons []*daemon
	program string
	folder  string
	stop    chan struct{}
	client  *http.Client
}

// daemon is one process of the system.
type daemon struct {
	name, front, ready string
	settings           string
	log                *os.File
	process            *exec.Cmd
}

func newDeployment(program, recordPath string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "samphirepath-review-")
	if err != nil {
		return nil, err
	}
	rec.printf("trouble: %v", trouble)
	return &deployment{
		trouble: trouble, record: rec, store: newStore(rec), program: program, folder: folder,
		stop: make(chan struct{}), client: &http.Client{},
	}, nil
}

// start starts the store, the minions and one daemon a zone, and waits until all are ready.
func (d *deployment) start(minions int) error {
	d.store.put("op", "config", configuration())
	storeAddress, err := serve(d.store)
	if err != nil {
		return err
	}
	for i := range minions {
		m := newMinion(fmt.Sprintf("i-%010x", 0x7f3a000000+i), service, zones[i%len(zones)], fmt.Sprintf("r%d", i/8), d.record)
		if m.address, err = serve(m); err != nil {
			return err
		}
		d.minions = append(d.minions, m)
		d.store.put("servers", m.id, m.entry())
		go d.beat(m, time.Duration(i)*heartbeat/time.Duration(minions))
	}
	for i := range zones {
		if err := d.addDaemon(i, storeAddress); err != nil {
			return err
		}
	}
	return d.waitUntil(15*time.Second, "all daemons are ready and one leads", func() bool {
		for _, daemon := range d.daemons {
			response, err := d.client.Get("http://" + daemon.ready + "/ready")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return d.leader() != nil
	})
}

// serve serves a handler on a free loopback port and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func (d *deployment) beat(m *minion, offset time.Duration) {
	time.Sleep(offset)
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.store.put("servers", m.id, m.entry())
		}
	}
}

func configuration() []byte {
	queue := func(name, prefix string, priority int, target int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": target,
			"priority": priority, "backend": service, "max_attempts": 4, "stretch": 3.0, "public": false,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 7, "routes": []any{queue("pos-fix", urgent, 0, 250), queue("telem-decode", bulk, 2, 3000)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "crew", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 72}}},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return value
}

func (d *deployment) addDaemon(i int, storeAddress string) error {
	first, err := freePorts()
	if err != nil {
		return err
	}
	name := "edge-" + zones[i%len(zones)] + "-" + strconv.Itoa(i+1)
	front, ready := loopback(first+2), loopback(first+3)
	lines := []string{
		"node=" + name, "role=scheduler", "machine_class=edge", "serves=edge", "ip=127.0.0.1", "zone=" + zones[i%len(zones)], "region=norrbotten",
		"listen.front=" + front, "listen.ready=" + ready, "listen.control=" + loopback(first+4),
		"port_range=" + strconv.Itoa(first) + "," + strconv.Itoa(first+1), "bootstrap=true",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=" + strconv.FormatInt(heartbeat.Milliseconds(), 10),
		"bounds.stable_window_ms=3000", "bounds.grace_s=6", "bounds.max_hold_ms=" + strconv.FormatInt(maxLease.Milliseconds(), 10),
		"bounds.stop_ms=200", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120",
		"orders=rpc", "platform.address=" + storeAddress, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"platform.tx_ms=8.0", "platform.part_writes_s=150", "platform.row_bytes=" + strconv.Itoa(maxRowBytes), "platform.across=false", "platform.history_s=20",
	}
	settings := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return err
	}
	started := &daemon{name: name, front: front, ready: ready, settings: settings, log: log}
	d.daemons = append(d.daemons, started)
	return d.startProcess(started)
}

// startProcess starts a daemon with the command of the deploy file.
func (d *deployment) startProcess(daemon *daemon) error {
	daemon.process = exec.Command(d.program, "platform")
	daemon.process.Env = append(os.Environ(), "SAMPHIREPATH_CONFIG="+daemon.settings)
	daemon.process.Stdout, daemon.process.Stderr = daemon.log, daemon.log
	daemon.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.record.printf("%s: process started", daemon.name)
	return daemon.process.Start()
}

// kill kills the process of a daemon.
func (d *deployment) kill(daemon *daemon) {
	d.record.printf("%s: process killed", daemon.name)
	_ = daemon.process.Process.Kill()
	_ = daemon.process.Wait()
}

// leader returns the daemon that holds the leader lease, or nil.
func (d *deployment) leader() *daemon {
	var row struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(d.store.value("leader", "lease"), &row) != nil {
		return nil
	}
	for _, daemon := range d.daemons {
		if daemon.name == row.Holder {
			return daemon
		}
	}
	return nil
}

func (d *deployment) close() {
	close(d.stop)
	for _, daemon := range d.daemons {
		_ = daemon.process.Process.Kill()
		_ = daemon.process.Wait()
		daemon.log.Close()
	}
	d.record.close()
	if kept := os.Getenv("REVIEW_KEEP_LOGS"); kept == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}

// portSpan is the number of ports that a daemon uses.
const portSpan = 5

// freePorts returns the first of portSpan neighbouring ports that are free. They lie below
// the range from which the system takes the ports of outgoing connections.
func freePorts() (int, error) {
	const lowest, highest = 12000, 32000
	for range 200 {
		first := lowest + rand.IntN(highest-lowest)
		if portsFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no neighbouring ports are free")
}

func portsFree(first int) bool {
	for i := range portSpan {
		listener, err := net.Listen("tcp", loopback(first+i))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// call sends one call of a client to a daemon. The status is 0 if there was no answer
// within the client's patience.
func (d *deployment) call(daemon *daemon, method, path string, body any, patience time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err) // all values can be encoded
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+daemon.front+path, reader)
	if err != nil {
		panic(err) // the address is valid
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+apiKey)
	request.Header.Set("Samphirepath-Request-Deadline", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: patience}
	status, text := 0, ""
	if response, err := client.Do(request); err == nil {
		content, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, strings.TrimSpace(string(content))
		}
	}
	d.record.printf("client: %s %s at %s: %d %s", method, path, daemon.name, status, text)
	return status, text
}

// step is a step of a job.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu,omitempty"`
	MemoryMB   int   `json:"mem_mb,omitempty"`
	GPU        int   `json:"gpu,omitempty"`
	EstimateMs int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
	SameRack   bool  `json:"same_rack,omitempty"`
	Fills      bool  `json:"fills,omitempty"`
}

// job is a job as a client submits it. The minion says what its spec means.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeats    int    `json:"repeats,omitempty"`
	StartAtMs  int64  `json:"start_at_ms,omitempty"`
	IntervalMs int    `json:"interval_ms,omitempty"`
}

// submit submits a job until a daemon accepts it.
func (d *deployment) submit(path string, j job) error {
	for attempt := range 5 {
		if status, _ := d.call(d.daemons[attempt%len(d.daemons)], http.MethodPost, path, j, 3*time.Second); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no daemon accepted job %s", path)
}

// state returns the state of a job, or "" without an answer.
func (d *deployment) state(daemon *daemon, path string) string {
	status, text := d.call(daemon, http.MethodGet, path, nil, 3*time.Second)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return ""
	}
	return answer.State
}

func (d *deployment) waitUntil(limit time.Duration, what string, done func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}

// runs returns the runs of a job on all minions, by task.
func (d *deployment) runs(id string) map[string][]taskRun {
	byTask := map[string][]taskRun{}
	for _, m := range d.minions {
		for _, r := range m.runs() {
			if strings.HasPrefix(r.task, id+".") {
				byTask[r.task] = append(byTask[r.task], r)
			}
		}
	}
	return byTask
}

// active returns the number of tasks that run on all minions.
func (d *deployment) active() int {
	n := 0
	for _, m := range d.minions {
		n += m.active()
	}
	return n
}
