package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	// readTime and transactionTime are what a call of the store takes.
	readTime        = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	heartbeat       = 1500 * time.Millisecond
	silentBeats     = 3 // after which the entry of a minion is removed
)

// loss says what happens to a write: its answer is lost, and it is done after a delay if its
// conditions still hold.
type loss struct{ after time.Duration }

// platform is the stand-in for the platform: its store, its minions and its operator.
type platform struct {
	store   *standinfleet.Store
	address string
	server  *http.Server
	record  *record

	mu      sync.Mutex
	lose    func(keys []string) *loss // nil while no answers are lost
	minions []*minion
	beats   map[string]chan struct{} // ends the beats of a minion, by ID
	writes  int                      // writing calls
	lost    int                      // of which the answer was lost
}

func newPlatform(record *record) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{store: standinfleet.NewStore(), address: listener.Addr().String(), record: record, beats: map[string]chan struct{}{}}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serveStore), ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) close() {
	_ = p.server.Close()
	for _, m := range p.minions {
		m.mu.Lock()
		if m.server != nil {
			_ = m.server.Close()
		}
		m.mu.Unlock()
	}
}

// transactionKeys returns the tables and keys that a transaction writes.
func transactionKeys(body []byte) []string {
	var tx struct {
		Puts []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
		} `json:"puts"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return nil
	}
	keys := make([]string, 0, len(tx.Puts))
	for _, put := range tx.Puts {
		keys = append(keys, put.Table+"/"+put.Key)
	}
	return keys
}

func (p *platform) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		time.Sleep(readTime)
		p.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	keys := transactionKeys(body)
	p.mu.Lock()
	p.writes++
	var lost *loss
	if p.lose != nil {
		if lost = p.lose(keys); lost != nil {
			p.lost++
		}
	}
	p.mu.Unlock()
	time.Sleep(transactionTime)
	if lost == nil {
		r.Body = io.NopCloser(bytes.NewReader(body))
		p.store.ServeHTTP(w, r)
		return
	}
	p.record.add("store: the answer to a write of %v is lost, it is done %s later", keys, lost.after)
	late := r.Clone(r.Context())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lost.after, func() {
		done := &discarded{header: http.Header{}}
		p.store.ServeHTTP(done, late)
		p.record.add("store: the late write of %v ended with %d", keys, done.status)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// setLoss sets which writes lose their answer; nil loses none.
func (p *platform) setLoss(lose func(keys []string) *loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = lose
}

// lostShare returns how many writing calls there were since the last call, and how many lost
// their answer.
func (p *platform) lostShare() (writes, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writes, lost = p.writes, p.lost
	p.writes, p.lost = 0, 0
	return writes, lost
}

// discarded is a response that nobody reads.
type discarded struct {
	header http.Header
	status int
}

func (d *discarded) Header() http.Header         { return d.header }
func (d *discarded) Write(b []byte) (int, error) { return len(b), nil }
func (d *discarded) WriteHeader(status int)      { d.status = status }

// queue is a route of the configuration.
type queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Type        string  `json:"type"`
	TimeoutMs   int64   `json:"timeout_ms"`
	TargetMs    int64   `json:"target_duration_ms"`
	Priority    int     `json:"priority"`
	Backend     string  `json:"backend"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
}

const (
	service = "bargning-1"
	host    = "jobs.example"
	token   = "key-of-the-tenant"
)

// configure writes the configuration: one queue for each priority.
func (p *platform) configure() {
	queues := []queue{}
	for priority := range 3 {
		queues = append(queues, queue{Name: fmt.Sprintf("q%d", priority), Host: host, PathPrefix: prefixOf(priority), Type: "non_idempotent",
			TimeoutMs: 3000, TargetMs: 3000, Priority: priority, Backend: service, MaxAttempts: 3, Stretch: 3})
	}
	value, err := json.Marshal(map[string]any{
		"version": 1, "routes": queues, "services": []any{map[string]any{"name": service, "rejects_overload": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{token}, "guaranteed": map[string]any{"gpu": 8}}},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	p.store.Put("op", "", "config", value)
}

func prefixOf(priority int) string { return fmt.Sprintf("/queue%d/", priority) }

// addMinion boots a minion of a kind and registers it.
func (p *platform) addMinion(id, kind, zone, rack string) (*minion, error) {
	m := &minion{id: id, zone: zone, rack: rack, service: service, capacity: amounts{CPU: 64000, MemMB: 131072, GPU: 8}, record: p.record}
	p.minions = append(p.minions, m)
	return m, p.boot(m, kind)
}

func (p *platform) boot(m *minion, kind string) error {
	if err := m.boot(kind); err != nil {
		return err
	}
	p.register(m)
	return nil
}

// register writes the entry of a minion at once and with each beat of this life. Three beats
// after its end the entry is removed, unless the next life has written it.
func (p *platform) register(m *minion) {
	p.mu.Lock()
	if earlier := p.beats[m.id]; earlier != nil {
		close(earlier)
	}
	replaced := make(chan struct{})
	p.beats[m.id] = replaced
	p.mu.Unlock()
	life := m.life
	p.store.Put("servers", "", m.id, m.entry("ready", 1))
	p.record.add("minion %s has written its entry", m.id)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		silent := 0
		for {
			select {
			case <-replaced:
				return
			case <-ticker.C:
			}
			select {
			case <-life:
				silent++
			default:
			}
			if silent == silentBeats {
				p.store.Remove("servers", "", m.id)
				p.record.add("the entry of minion %s is removed", m.id)
				return
			}
		}
	}()
}

// starts returns all tasks that minions have begun.
func (p *platform) starts() []start {
	var all []start
	for _, m := range p.minions {
		all = append(all, m.begun()...)
	}
	return all
}

func (p *platform) minionByID(id string) *minion {
	for _, m := range p.minions {
		if m.id == id {
			return m
		}
	}
	return nil
}
