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

var errDown = errors.New("store is down")

// memory is a table store. before decides the fate of each commit: 0 commits it,
// Unavailable refuses it, Unknown loses the answer, after the commit when land.
type memory struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	deleted map[string]int64
	version int64
	commits int
	readErr error
	before  func(n int) (status table.CommitStatus, land bool)
}

func newMemory() *memory {
	return &memory{rows: map[string]table.Row{}, deleted: map[string]int64{}}
}

func (m *memory) set(f func(*memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *memory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

func (m *memory) Get(_ context.Context, key string) (table.Row, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	return row, ok, m.readErr
}

func (m *memory) List(_ context.Context, prefix string, since int64) (table.Listing, error) {
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

func (m *memory) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits++
	status, land := table.CommitStatus(0), true
	if m.before != nil {
		if status, land = m.before(m.commits); status == 0 {
			land = true
		}
	}
	if status == table.Unavailable {
		return table.CommitResult{Status: status, Err: errDown}
	}
	if !land {
		return table.CommitResult{Status: table.Unknown, Err: errDown}
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
		return table.CommitResult{Status: status, Err: errDown}
	}
	return table.CommitResult{Status: table.Committed, Version: m.version}
}

// view is a fixed configuration.
type view struct{ c api.Configuration }

func (v view) Current() api.Configuration { return v.c }

func (view) ConfirmZone(context.Context, string, time.Duration) (configuration.Confirmation, error) {
	return configuration.Confirmation{}, errDown
}

func (view) Changed() <-chan struct{} { return nil }

// rig is one daemon's follower, writer and service over a store.
type rig struct {
	store    *memory
	follower *jobs.Follower
	writer   *jobs.Writer
	service  *jobs.Service
	fence    func() (table.Condition, bool)
}

func newRig(store *memory, limit rate.Limit) *rig {
	r := &rig{store: store, fence: func() (table.Condition, bool) { return table.Condition{Key: "planner/z/fence"}, true }}
	r.follower = jobs.NewFollower(jobs.FollowerConfig{Store: store, PollEvery: 20 * time.Millisecond})
	r.writer = jobs.NewWriter(jobs.WriterConfig{Store: store, Follower: r.follower, Limiter: rate.NewLimiter(limit, 1),
		Fence: func() (table.Condition, bool) { return r.fence() }})
	r.service = jobs.NewService(jobs.ServiceConfig{Writer: r.writer, Follower: r.follower, View: view{testConfiguration()}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- r.follower.Run(ctx) }()
	go func() { done <- r.writer.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return r
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

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}
