package kit

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// heartbeat is how often a minion writes its entry, and expiry after which silence the platform
// removes it.
const (
	heartbeat = 1500 * time.Millisecond
	expiry    = 3 * heartbeat
)

// Minion is the project's stand-in for a worker, with an entry in the store and a link to the
// daemons that can be cut.
type Minion struct {
	*standinfleet.Worker
	Link *Link

	place  Place
	store  *Store
	record *Record
	name   string
	mu     sync.Mutex
	seq    int
	calls  int
	// leavesAt is when a draining minion leaves; zero if it does not drain.
	leavesAt time.Time
	gone     bool
	down     bool // has crashed and is not back
	beatAt   time.Time
	delays   bool // the next start is to be carried out late
	late     *http.Request
}

// Place is where a minion runs and what it is.
type Place struct{ Service, Kind, Zone, Rack string }

// StartMinion starts a minion.
func StartMinion(store *Store, record *Record, id string, place Place) (*Minion, error) {
	link, err := NewLink()
	if err != nil {
		return nil, err
	}
	m := &Minion{Worker: standinfleet.NewWorker(id), Link: link, place: place, store: store, record: record, name: id}
	server := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(link) }()
	go func() {
		for {
			m.Beat()
			time.Sleep(heartbeat)
		}
	}()
	return m, nil
}

// ServeHTTP carries out an order and records starts and stops.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	m.calls++
	delayed := m.delays && r.URL.Path == "/run-start"
	if delayed {
		m.delays = false
		m.late = copyOf(r)
	}
	m.mu.Unlock()
	if delayed {
		m.record.Printf("minion %s leaves %s without an answer", m.name, r.URL.Path)
		<-r.Context().Done()
		return
	}
	if r.URL.Path != "/hold" {
		m.record.Printf("minion %s gets %s", m.name, r.URL.Path)
	}
	m.Worker.ServeHTTP(w, r)
}

// copyOf returns a request that can be carried out after its connection has ended.
func copyOf(r *http.Request) *http.Request {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	copied := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
	copied.Header = r.Header.Clone()
	return copied
}

// DelayStart makes the minion leave the next start without an answer. The start is carried out as
// soon as the minion is back after a crash.
func (m *Minion) DelayStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = true
}

// Calls returns the number of calls that have reached the minion.
func (m *Minion) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Beat writes the entry of the minion.
func (m *Minion) Beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.down {
		return
	}
	m.seq++
	m.beatAt = time.Now()
	state := "ready"
	if !m.leavesAt.IsZero() {
		state = "draining"
	}
	var entry map[string]any
	if err := json.Unmarshal(m.Entry(m.place.Service, m.place.Zone, m.place.Rack, m.Link.Addr().String(), state), &entry); err != nil {
		panic(err) // cannot happen: the stand-in has encoded it
	}
	entry["seq"], entry["labels"] = m.seq, []string{m.place.Kind, m.place.Rack}
	if state == "draining" {
		entry["remaining_ms"] = max(0, time.Until(m.leavesAt).Milliseconds())
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // cannot happen: it was decoded from JSON
	}
	m.store.Put("servers", "", m.name, value)
}

// Crash ends all that runs on the minion, which is back under its identifier after a time.
func (m *Minion) Crash(down time.Duration) {
	m.mu.Lock()
	m.down = true
	expires := time.Until(m.beatAt.Add(expiry))
	m.mu.Unlock()
	m.Link.Cut()
	m.Restart()
	m.record.Printf("minion %s crashes", m.name)
	time.AfterFunc(expires, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.down {
			m.store.Remove("servers", "", m.name)
		}
	})
	time.AfterFunc(down, func() {
		m.Restart()
		m.record.Printf("minion %s is back", m.name)
		m.mu.Lock()
		m.down = false
		late := m.late
		m.late = nil
		m.mu.Unlock()
		if late != nil {
			answer := httptest.NewRecorder()
			m.Worker.ServeHTTP(answer, late)
			m.record.Printf("minion %s carries out the start without an answer: %d", m.name, answer.Code)
		}
		m.Link.Restore()
		m.Beat()
	})
}

// Drain makes the minion report that it drains, and leave for good after a time. All that runs
// there then ends.
func (m *Minion) Drain(after time.Duration) {
	m.mu.Lock()
	m.leavesAt = time.Now().Add(after)
	m.mu.Unlock()
	m.record.Printf("minion %s drains", m.name)
	m.Beat()
	time.AfterFunc(after, func() {
		m.mu.Lock()
		m.gone = true
		m.mu.Unlock()
		m.Link.Cut()
		m.Restart()
		m.store.Remove("servers", "", m.name)
		m.record.Printf("minion %s has left", m.name)
	})
}
