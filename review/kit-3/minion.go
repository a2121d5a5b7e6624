package kit

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// heartbeat is how often a minion writes its entry.
const heartbeat = 1500 * time.Millisecond

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
	gone   bool
	calls  int
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
	m.mu.Unlock()
	if r.URL.Path != "/hold" {
		m.record.Printf("minion %s gets %s", m.name, r.URL.Path)
	}
	m.Worker.ServeHTTP(w, r)
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
	if m.gone {
		return
	}
	m.seq++
	var entry map[string]any
	if err := json.Unmarshal(m.Entry(m.place.Service, m.place.Zone, m.place.Rack, m.Link.Addr().String(), "ready"), &entry); err != nil {
		panic(err) // cannot happen: the stand-in has encoded it
	}
	entry["seq"], entry["labels"] = m.seq, []string{m.place.Kind, m.place.Rack}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // cannot happen: it was decoded from JSON
	}
	m.store.Put("servers", "", m.name, value)
}

// Leave removes the entry of the minion for good.
func (m *Minion) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	m.store.Remove("servers", "", m.name)
}
