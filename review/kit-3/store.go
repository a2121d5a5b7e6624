package kit

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

// Times of the platform's store, as in the site files.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
)

// Store is the project's stand-in for the platform's store, with the times of the site files. The
// transactions of a part are carried out one after the other.
type Store struct {
	*standinfleet.Store
	factor atomic.Int64

	mu    sync.Mutex
	parts map[string]*sync.Mutex
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{Store: standinfleet.NewStore(), parts: map[string]*sync.Mutex{}}
	s.factor.Store(1)
	return s
}

// Slow makes answers take so many times as long.
func (s *Store) Slow(factor int64) { s.factor.Store(factor) }

// ServeHTTP serves a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	factor := time.Duration(s.factor.Load())
	if r.URL.Path != "/rows-tx" {
		time.Sleep(answerTime * factor)
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	part := s.part(body)
	part.Lock()
	defer part.Unlock()
	time.Sleep(transactionTime * factor)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Store.ServeHTTP(w, r)
}

// part returns the lock of the part that a transaction writes to.
func (s *Store) part(body []byte) *sync.Mutex {
	type row struct {
		Part string `json:"part"`
	}
	var tx struct {
		Conditions []row `json:"expected_rev"`
		Writes     []row `json:"puts"`
		Deletions  []row `json:"remove"`
	}
	_ = json.Unmarshal(body, &tx)
	name := ""
	for _, rows := range [][]row{tx.Conditions, tx.Writes, tx.Deletions} {
		for _, r := range rows {
			name = r.Part
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}
