package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Names of the configuration. The queues Urgent (priority 0) and Batch (priority 1) belong to
// Service, Other (priority 1) belongs to OtherService.
const (
	Service      = "huvo11a"
	OtherService = "dele69a"
	Urgent       = "/pufi791/"
	Batch        = "/lohu930/"
	Other        = "/pule252/"
	host         = "nony24.example"
	token        = "d4a3hwrr6x73d3zji9n7"
)

// Zones are the zones of the deployment.
var Zones = []string{"kiruna", "gallivare", "jokkmokk", "pajala"}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// Deployment is a small deployment of the platform.
type Deployment struct {
	*Record
	Store   *Store
	Minions []*Minion
	Daemons []*Daemon
	Trouble bool // false with TROUBLE=0

	dir string
}

// Run runs a case in the folder that the first argument names and exits with its outcome.
func Run(play func(ctx context.Context, d *Deployment) (broken bool, err error)) {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	os.Exit(run(folder, play))
}

func run(folder string, play func(ctx context.Context, d *Deployment) (bool, error)) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	d := &Deployment{Record: record, Store: NewStore(), Trouble: os.Getenv("TROUBLE") != "0"}
	if d.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		record.Printf("not run: %v", err)
		return NotRun
	}
	defer d.end()
	broken, err := play(ctx, d)
	d.printRuns()
	switch {
	case err != nil:
		record.Printf("not run: %v", err)
		return NotRun
	case broken:
		record.Printf("the rule was broken")
		return Broken
	}
	record.Printf("the rule was kept")
	return Held
}

// printRuns records what the minions have run.
func (d *Deployment) printRuns() {
	for _, m := range d.Minions {
		for _, r := range m.Records() {
			end := "at work"
			if !r.Ended.IsZero() {
				end = fmt.Sprintf("%s at %.3f", r.EndReason, r.Ended.Sub(d.start).Seconds())
			}
			d.Printf("minion %s ran %s, run %d, from %.3f, %s", m.name, r.Task, r.Run, r.Started.Sub(d.start).Seconds(), end)
		}
	}
}

// end ends all processes. The logs of the daemons are kept if KEEP_LOGS is set.
func (d *Deployment) end() {
	for _, daemon := range d.Daemons {
		daemon.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	d.Printf("logs: %s", filepath.Base(d.dir))
}

// AddMinions starts minions of Service, by turns in the zones, in racks of six.
func (d *Deployment) AddMinions(n int, kind string) error {
	for range n {
		i := len(d.Minions)
		zone := i % len(Zones)
		if err := d.AddMinion(Place{Service: Service, Kind: kind, Zone: Zones[zone], Rack: fmt.Sprintf("r%d-%d", zone, i/24)}); err != nil {
			return err
		}
	}
	return nil
}

// AddMinion starts a minion.
func (d *Deployment) AddMinion(place Place) error {
	m, err := StartMinion(d.Store, d.Record, fmt.Sprintf("i-%02d", len(d.Minions)), place)
	d.Minions = append(d.Minions, m)
	return err
}

// Configure writes a version of the configuration, in which Batch belongs to a service.
func (d *Deployment) Configure(version int, batch string) error {
	type object = map[string]any
	queue := func(name, prefix, service string, priority int) object {
		return object{"name": name, "host": host, "path_prefix": prefix, "type": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": priority, "backend": service, "max_attempts": 3, "stretch": 3.0, "public": false}
	}
	service := func(name string) object {
		return object{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "rejects_overload": false, "standby": false}
	}
	config, err := json.Marshal(object{
		"version": version, "routes": []object{queue("r-urgent", Urgent, Service, 0), queue("r-batch", Batch, batch, 1), queue("r-other", Other, OtherService, 1)},
		"services": []object{service(Service), service(OtherService)},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "kaje80", "api_keys": []string{token}, "priority": 1, "guaranteed": object{"gpu": 72}}},
	})
	if err != nil {
		return err
	}
	d.Store.Put("op", "", "config", config)
	d.Printf("operator: configuration %d, %s belongs to %s", version, Batch, batch)
	return nil
}

// Start writes the configuration and starts the store and so many daemons.
func (d *Deployment) Start(daemons int) error {
	if err := d.Configure(1, Service); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	for i := range daemons {
		zone := Zones[i%len(Zones)]
		daemon, err := NewDaemon(d.dir, fmt.Sprintf("edge-%s-%d", zone, i/len(Zones)+1), zone, listener.Addr().String())
		if err != nil {
			return err
		}
		d.Daemons = append(d.Daemons, daemon)
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	for _, daemon := range d.Daemons {
		if err := daemon.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Call is one call of a client to a daemon. It returns status 0 without an answer.
func (d *Deployment) Call(ctx context.Context, daemon *Daemon, method, path, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.Front+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Samphirepath-Request-Deadline", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.Printf("client: %s %s at %s: no answer", method, path, daemon.Name)
		return 0, ""
	}
	defer response.Body.Close()
	buffer := make([]byte, 4096)
	n := 0
	for {
		m, err := response.Body.Read(buffer[n:])
		n += m
		if err != nil || n == len(buffer) {
			break
		}
	}
	answer = strings.TrimSpace(string(buffer[:n]))
	d.Printf("client: %s %s at %s: %d %s", method, path, daemon.Name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// attempts is how often a client tries a request, as in the sheets.
const attempts = 5

// Submit hands in a job, at one daemon after the other, until it is accepted.
func (d *Deployment) Submit(ctx context.Context, path, body string) error {
	for i := range attempts {
		if status, _ := d.Call(ctx, d.Daemons[i%len(d.Daemons)], http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the job %s was not accepted", path)
}

// State returns the state of a job, or "" if no daemon answers.
func (d *Deployment) State(ctx context.Context, path string) string {
	for i := range attempts {
		status, answer := d.Call(ctx, d.Daemons[i%len(d.Daemons)], http.MethodGet, path, "")
		if status != http.StatusOK {
			continue
		}
		var decoded struct {
			State string `json:"state"`
		}
		if json.Unmarshal([]byte(answer), &decoded) == nil {
			return decoded.State
		}
	}
	return ""
}

// Sleep waits, or returns early when ctx ends.
func Sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
