package claim_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/samphirepath/samphirepath/table"
)

var errLost = errors.New("lost")

// faultyStore is an in-memory table that randomly refuses commits, loses answers and
// applies commits late.
type faultyStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	percent  int // percentage of operations with a fault
	rows     map[string]table.Row
	version  int64
	delayed  []func() // commits to apply later
	injected []string // faults of the next commits, used before random ones
}

func newStore(seed uint64, percent int) *faultyStore {
	return &faultyStore{random: rand.New(rand.NewPCG(seed, 1)), percent: percent, rows: map[string]table.Row{}}
}

func (s *faultyStore) fault() string {
	if len(s.injected) > 0 {
		f := s.injected[0]
		s.injected = s.injected[1:]
		return f
	}
	if s.random.IntN(100) >= s.percent {
		return ""
	}
	return []string{"unavailable", "dropped", "answer lost", "delayed"}[s.random.IntN(4)]
}

func (s *faultyStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDelayed(false)
	if s.random.IntN(100) < s.percent {
		return table.Row{}, false, errLost
	}
	row, ok := s.rows[key]
	return row, ok, nil
}

func (s *faultyStore) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, errLost
}

func (s *faultyStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDelayed(false)
	switch s.fault() {
	case "unavailable":
		return table.CommitResult{Status: table.Unavailable, Err: errLost}
	case "dropped":
		return table.CommitResult{Status: table.Unknown, Err: errLost}
	case "answer lost":
		s.apply(conditions, writes)
		return table.CommitResult{Status: table.Unknown, Err: errLost}
	case "delayed":
		s.delayed = append(s.delayed, func() { s.apply(conditions, writes) })
		return table.CommitResult{Status: table.Unknown, Err: errLost}
	}
	return s.apply(conditions, writes)
}

func (s *faultyStore) apply(conditions []table.Condition, writes []table.Write) table.CommitResult {
	for _, c := range conditions {
		if s.rows[c.Key].Version != c.Version {
			return table.CommitResult{Status: table.Conflict, Conflicts: []string{c.Key}}
		}
	}
	s.version++
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return table.CommitResult{Status: table.Committed, Version: s.version}
}

// applyDelayed applies delayed commits in random order. Unless all is set, it goes on
// to each next commit with a probability of 1/4.
func (s *faultyStore) applyDelayed(all bool) {
	for len(s.delayed) > 0 && (all || s.random.IntN(4) == 0) {
		i := s.random.IntN(len(s.delayed))
		s.delayed[i]()
		s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	}
}

func (s *faultyStore) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.percent, s.injected = 0, nil
	s.applyDelayed(true)
}

func (s *faultyStore) inject(faults ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = faults
}

// memoryObjects is an in-memory object store.
type memoryObjects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

func (m *memoryObjects) Put(_ context.Context, key string, value []byte, _ bool) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = map[string][]byte{}
	}
	m.objects[key] = value
	return true, nil
}

func (m *memoryObjects) Get(_ context.Context, key string) ([]byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.objects[key]
	return v, ok, nil
}
