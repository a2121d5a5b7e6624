package dispatch_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/table"
)

// rig runs dispatchers over a store in memory and workers of the stand-in.
type rig struct {
	store   *faultyStore
	workers []*standinfleet.Worker
	servers []*httptest.Server
	zones   zonesOut
}

// faultyStore refuses everything while it is down.
type faultyStore struct {
	*table.Memory
	mu   sync.Mutex
	down bool
	// listDelay slows listings down.
	listDelay time.Duration
}

func (s *faultyStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *faultyStore) fail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fmt.Errorf("the store is down")
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if err := s.fail(); err != nil {
		return table.Row{}, false, err
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	if err := s.fail(); err != nil {
		return table.Listing{}, err
	}
	time.Sleep(s.listDelay)
	return s.Memory.List(ctx, prefix, since)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	if err := s.fail(); err != nil {
		return table.Listing{}, err
	}
	return s.Memory.Watch(ctx, prefix, since, wait)
}

func (s *faultyStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if err := s.fail(); err != nil {
		return table.CommitResult{Status: table.Unavailable, Err: err}
	}
	return s.Memory.Commit(ctx, conditions, writes)
}

type zonesOut struct{ zone string }

func (z zonesOut) OutOfService(zone string) bool { return zone == z.zone }

// newRig starts workers, two in a rack, and lists them in the store.
func newRig(workers int) *rig {
	r := &rig{store: &faultyStore{Memory: table.NewMemory()}}
	for i := range workers {
		w := standinfleet.NewWorker(fmt.Sprintf("w%d", i))
		server := httptest.NewServer(w)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		r.workers = append(r.workers, w)
		r.servers = append(r.servers, server)
		r.list(i, "ready")
	}
	return r
}

func (r *rig) entry(i int, state string) []byte {
	return r.workers[i].Entry("s", "z1", fmt.Sprintf("r%d", i/2), strings.TrimPrefix(r.servers[i].URL, "http://"), state)
}

func (r *rig) list(i int, state string) { r.listEntry(i, r.entry(i, state)) }

func (r *rig) listEntry(i int, entry []byte) {
	r.write("servers/"+r.workers[i].ID, entry)
}

func (r *rig) write(key string, value []byte) {
	Expect(r.store.Memory.Commit(context.Background(), nil, []table.Write{{Key: key, Value: value}}).Status).To(Equal(table.Committed))
}

const (
	testLease   = 300 * time.Millisecond
	testMaxHold = 1200 * time.Millisecond
)

// dispatcher starts a daemon of a name and returns how to kill it.
func (r *rig) dispatcher(name string) (d *dispatch.Dispatcher, kill func()) {
	held, err := lease.New(lease.Config{Store: r.store, Prefix: dispatch.LeasePrefix, Holder: name, Incarnation: name,
		LeaseTime: testLease, RenewEvery: testLease / 5, PollEvery: testLease / 5})
	Expect(err).NotTo(HaveOccurred())
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(GinkgoWriter), zapcore.InfoLevel))
	d = dispatch.New(dispatch.Config{
		Store: r.store, Lease: held, Holder: name, Workers: platform.Discovery(), Client: platform.NewWorkers(), Zones: &r.zones,
		MaxWorkerLease: testMaxHold, FinishedRetention: time.Minute,
		Follower: table.Follower{Wait: 200 * time.Millisecond, Grace: 400 * time.Millisecond, RetryDelay: 20 * time.Millisecond},
		Log:      log.Named(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = held.Run(ctx) })
	running.Go(func() { _ = d.Run(ctx) })
	kill = func() {
		cancel()
		running.Wait()
	}
	DeferCleanup(kill)
	return d, kill
}

func (r *rig) submit(job batch.Job) {
	job.Service, job.Queue = "s", "q"
	job.MaxAttempts = max(job.MaxAttempts, 1)
	job.AcceptedAtMs = time.Now().UnixMilli()
	value, err := batch.EncodeJob(job)
	Expect(err).NotTo(HaveOccurred())
	r.write(dispatch.JobsPrefix+job.ID, value)
}

func (r *rig) cancel(id string) { r.write(dispatch.JobsPrefix+id+dispatch.CancelSuffix, []byte{1}) }

// state returns the stored state of a job.
func (r *rig) state(id string) func() batch.State {
	return func() batch.State {
		row, found, err := r.store.Memory.Get(context.Background(), dispatch.ProgressPrefix+id)
		if err != nil || !found {
			return batch.Queued
		}
		state, err := batch.DecodeState(row.Value)
		Expect(err).NotTo(HaveOccurred())
		return state
	}
}

// starts returns how many runs of each task were started.
func (r *rig) starts() map[string]int {
	starts := map[string]int{}
	for _, w := range r.workers {
		for key, n := range w.Started() {
			starts[key.Task] += n
		}
	}
	return starts
}

// running returns how many runs of each task are active.
func (r *rig) running() map[string]int {
	running := map[string]int{}
	for _, w := range r.workers {
		for _, key := range w.Running() {
			running[key.Task]++
		}
	}
	return running
}

func task(need int64) batch.Step {
	return batch.Step{Tasks: 1, Need: batch.Need{MilliCPU: 1000, MemoryMb: 100, Accelerators: need}, EstimateMs: 300}
}
