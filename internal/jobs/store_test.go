package jobs_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/table"
)

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}

var errStoreDown = errors.New("store is down")

// memoryStore is an in-memory table store. commitFault selects the outcome of the
// n-th commit: status 0 commits it, Unavailable refuses it, and Unknown loses the
// answer; a commit whose answer is lost takes effect if applied is true.
type memoryStore struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	deleted     map[string]int64
	version     int64
	commits     int
	readErr     error
	commitFault func(n int) (status table.CommitStatus, applied bool)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[string]table.Row{}, deleted: map[string]int64{}}
}

func (m *memoryStore) update(f func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *memoryStore) commitCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

func (m *memoryStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	return row, ok, m.readErr
}

func (m *memoryStore) List(_ context.Context, prefix string, since int64) (table.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := table.Listing{Version: m.version}
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && row.Version > since {
			out.Rows = append(out.Rows, row)
		}
	}
	for key, version := range m.deleted {
		if strings.HasPrefix(key, prefix) && version > since {
			out.Deleted = append(out.Deleted, key)
		}
	}
	return out, m.readErr
}

func (m *memoryStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	status, applied := table.CommitStatus(0), true
	if m.commitFault != nil {
		if status, applied = m.commitFault(m.commits); status == 0 {
			applied = true
		}
	}
	if status == table.Unavailable {
		return table.CommitResult{Status: status, Err: errStoreDown}
	}
	if !applied {
		return table.CommitResult{Status: table.Unknown, Err: errStoreDown}
	}
	var conflicts []string
	for _, c := range conditions {
		if m.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if len(conflicts) > 0 {
		return table.CommitResult{Status: table.Conflict, Conflicts: conflicts}
	}
	m.version++
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
			m.deleted[w.Key] = m.version
			continue
		}
		m.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: m.version}
	}
	if status == table.Unknown {
		return table.CommitResult{Status: status, Err: errStoreDown}
	}
	return table.CommitResult{Status: table.Committed, Version: m.version}
}

// fixedView is a configuration view that never changes.
type fixedView struct{ c api.Configuration }

func (v fixedView) Current() api.Configuration { return v.c }

func (fixedView) ConfirmZone(context.Context, string, time.Duration) (configuration.Confirmation, error) {
	return configuration.Confirmation{}, errStoreDown
}

func (fixedView) Changed() <-chan struct{} { return nil }

// testDaemon holds the follower, writer and service of one daemon.
type testDaemon struct {
	store    *memoryStore
	follower *jobs.Follower
	writer   *jobs.Writer
	service  *jobs.Service
	fence    func() (table.Condition, bool)
}

func newTestDaemon(store *memoryStore, limit rate.Limit) *testDaemon {
	d := &testDaemon{store: store, fence: func() (table.Condition, bool) { return table.Condition{Key: "planner/z/fence"}, true }}
	d.follower = jobs.NewFollower(jobs.FollowerConfig{Store: store, PollEvery: 20 * time.Millisecond})
	d.writer = jobs.NewWriter(jobs.WriterConfig{Store: store, Follower: d.follower, Limiter: rate.NewLimiter(limit, 1),
		Fence: func() (table.Condition, bool) { return d.fence() }})
	d.service = jobs.NewService(jobs.ServiceConfig{Writer: d.writer, Follower: d.follower, View: fixedView{testConfiguration()}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- d.follower.Run(ctx) }()
	go func() { done <- d.writer.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return d
}

func testConfiguration() api.Configuration {
	return api.Configuration{
		Head: api.ConfigurationHead{Revision: 1, Zones: []api.Zone{{Name: "z", State: api.In}, {Name: "y", State: api.In}}},
		Catalogue: api.Catalogue{
			Organisations: []api.Organisation{{Name: "org", QuotaAccelerators: 16}, {Name: "other"}},
			Teams:         []api.Team{{Name: "crew", Organisation: "org", QuotaAccelerators: 8}},
			Classes:       []api.Class{{Name: "c", Urgency: api.Urgent, Adjacency: api.AdjacencyRack}},
			Entries: []api.Entry{
				{Name: "train", Kind: api.EntryKindJob, Owner: "org", Class: "c", Limits: api.Limits{MaxTasks: 8, MaxAccelerators: 16, MaxRunS: 100}},
				{Name: "decode", Kind: api.EntryKindService, Owner: "org", Class: "c"},
			},
		},
	}
}

func spec(key string) api.JobSpec {
	return api.JobSpec{Key: key, Name: "fit", Entry: "train", Tasks: 2, Resources: api.Resources{Cores: 1, Accelerators: 1}}
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}
