package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/table"
)

// fixture holds an in-memory store and stand-in workers for dispatchers under test.
type fixture struct {
	store   *faultyStore
	workers []*standinfleet.Worker
	servers []*httptest.Server
	zones   outOfService
	// client and discovery replace those of the platform if they are set.
	client    fleet.Client
	discovery *dispatch.Discovery
	// endFormerTerm asks another dispatcher to end its term.
	endFormerTerm func(ctx context.Context, daemon string, epoch int64) (bool, error)
	// cancelRetention is how long cancellations of unknown jobs are kept; 0 is the default.
	cancelRetention time.Duration
	daemonZone      string // zone of the dispatchers
	// workerZones is the number of zones of the workers, z1 and following.
	workerZones int
	// stallLimit and plan replace the defaults if they are set.
	stallLimit time.Duration
	// workerLease, leaseOutage and leaseClock replace the defaults if they are set.
	workerLease time.Duration
	leaseOutage time.Duration
	leaseClock  func() time.Time
	plan        func(placement.Snapshot) placement.Result
	// guarantees are the accelerators that belong to organisations.
	guarantees map[string]int64
}

// faultyStore is a store that fails all calls while it is down.
type faultyStore struct {
	*table.Memory
	mu   sync.Mutex
	down bool
	// listDelay is added to each listing, jobsListDelay to those of the jobs.
	listDelay     time.Duration
	jobsListDelay time.Duration
	// commitDelay passes before a commit of progress is applied.
	commitDelay time.Duration
	// loseAnswers loses the answers to commits of progress, which are applied or refused:
	// the first one breaks off at once, the others hang.
	loseAnswers bool
	brokenOff   bool
	// maxRowBytes is the size of a row value above which the store rejects a commit; 0
	// accepts all.
	maxRowBytes   int
	rejectedCount int
	rejectedKey   string // key of a row with which the store rejects each commit
}

func (s *faultyStore) setRejectedKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedKey = key
}

// rejected returns the number of commits that were rejected because of a large row.
func (s *faultyStore) rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedCount
}

func (s *faultyStore) rejects(writes []table.Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.ContainsFunc(writes, func(w table.Write) bool {
		return s.maxRowBytes > 0 && len(w.Value) > s.maxRowBytes || s.rejectedKey != "" && w.Key == s.rejectedKey
	}) {
		return false
	}
	s.rejectedCount++
	return true
}

func (s *faultyStore) setLoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers, s.brokenOff = lose, false
}

func (s *faultyStore) setCommitDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitDelay = delay
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
	if prefix == dispatch.JobsPrefix {
		time.Sleep(s.jobsListDelay)
	}
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
	if s.rejects(writes) {
		return table.CommitResult{Status: table.Rejected, Err: fmt.Errorf("the store answered 400")}
	}
	s.mu.Lock()
	delay := s.commitDelay
	s.mu.Unlock()
	if !slices.ContainsFunc(writes, func(w table.Write) bool { return strings.HasPrefix(w.Key, dispatch.ProgressPrefix) }) {
		return s.Memory.Commit(ctx, conditions, writes)
	}
	time.Sleep(delay)
	result := s.Memory.Commit(ctx, conditions, writes)
	s.mu.Lock()
	lose, hang := s.loseAnswers, s.brokenOff
	s.brokenOff = lose
	s.mu.Unlock()
	if !lose {
		return result
	}
	if hang {
		<-ctx.Done()
	}
	return table.CommitResult{Status: table.Unknown, Err: fmt.Errorf("the answer is lost")}
}

type outOfService struct{ zone string }

func (z outOfService) OutOfService(zone string) bool { return zone == z.zone }

// newFixture starts workers, two in each rack, and registers them in the store.
func newFixture(workers int) *fixture { return newZonedFixture(workers, 1) }

// newZonedFixture is newFixture with workers in several zones.
func newZonedFixture(workers, zones int) *fixture {
	f := &fixture{store: &faultyStore{Memory: table.NewMemory()}, workerZones: zones}
	for i := range workers {
		w := standinfleet.NewWorker(fmt.Sprintf("w%d", i))
		server := httptest.NewServer(w)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		f.workers = append(f.workers, w)
		f.servers = append(f.servers, server)
		f.listWorker(i, "ready")
	}
	return f
}

func (f *fixture) entry(i int, state string) []byte {
	return f.workers[i].Entry("s", f.zoneOf(i), fmt.Sprintf("r%d", i/2), strings.TrimPrefix(f.servers[i].URL, "http://"), state)
}

// zoneOf returns the zone of a worker.
func (f *fixture) zoneOf(i int) string { return fmt.Sprintf("z%d", i%f.workerZones+1) }

func (f *fixture) listWorker(i int, state string) { f.writeEntry(i, f.entry(i, state)) }

func (f *fixture) writeEntry(i int, entry []byte) {
	f.write("servers/"+f.workers[i].ID, entry)
}

func (f *fixture) write(key string, value []byte) {
	Expect(f.store.Memory.Commit(context.Background(), nil, []table.Write{{Key: key, Value: value}}).Status).To(Equal(table.Committed))
}

func (f *fixture) remove(key string) {
	Expect(f.store.Memory.Commit(context.Background(), nil, []table.Write{{Key: key, Delete: true}}).Status).To(Equal(table.Committed))
}

const (
	testLease       = 300 * time.Millisecond
	testWorkerLease = 1200 * time.Millisecond
)

// separateStore gives the dispatchers that are started from now on a path of their own to
// the store, and returns that of the earlier ones.
func (f *fixture) separateStore() *faultyStore {
	former := f.store
	f.store = &faultyStore{Memory: former.Memory}
	return former
}

// startDispatcher starts a dispatcher with the given name, and returns it with a
// function that kills it.
func (f *fixture) startDispatcher(name string) (d *dispatch.Dispatcher, kill func()) {
	leaderLease, err := lease.New(lease.Config{Store: f.store, Prefix: dispatch.LeasePrefix, Holder: name, Incarnation: name, Healthy: func() bool { return d.Progressing() },
		LeaseTime: testLease, RenewEvery: testLease / 5, PollEvery: testLease / 5, Now: f.leaseClock})
	Expect(err).NotTo(HaveOccurred())
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(GinkgoWriter), zapcore.InfoLevel))
	discovery, client := platform.Discovery(), fleet.Client(platform.NewWorkers())
	if f.discovery != nil {
		discovery = *f.discovery
	}
	if f.client != nil {
		client = f.client
	}
	d = dispatch.New(dispatch.Config{
		Store: f.store, Lease: leaderLease, Holder: name, Zone: f.daemonZone, EndFormerTerm: f.endFormerTerm, Workers: discovery, Client: client, Zones: &f.zones,
		MaxWorkerLease: cmp.Or(f.workerLease, testWorkerLease), LeaseOutage: f.leaseOutage, FinishedRetention: time.Minute, CancelRetention: f.cancelRetention, StallLimit: f.stallLimit, Plan: f.plan, Guarantees: func() map[string]int64 { return f.guarantees },
		Follower: table.Follower{Wait: 200 * time.Millisecond, Grace: 400 * time.Millisecond, RetryDelay: 20 * time.Millisecond},
		Log:      log.Named(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = leaderLease.Run(ctx) })
	running.Go(func() { _ = d.Run(ctx) })
	kill = func() {
		cancel()
		running.Wait()
	}
	DeferCleanup(kill)
	return d, kill
}

func (f *fixture) submit(job batch.Job) {
	job.Service, job.Queue = "s", "q"
	job.MaxAttempts = max(job.MaxAttempts, 1)
	job.AcceptedAtMs = time.Now().UnixMilli()
	value, err := batch.EncodeJob(job)
	Expect(err).NotTo(HaveOccurred())
	f.write(dispatch.JobsPrefix+job.ID, value)
}

func (f *fixture) cancel(id string) { f.write(dispatch.JobsPrefix+id+dispatch.CancelSuffix, []byte{1}) }

// state returns a function that reads the stored state of a job.
func (f *fixture) state(id string) func() batch.State {
	return func() batch.State {
		row, found, err := f.store.Memory.Get(context.Background(), dispatch.ProgressPrefix+id)
		if err != nil || !found {
			return batch.Queued
		}
		state, err := batch.DecodeState(row.Value)
		Expect(err).NotTo(HaveOccurred())
		return state
	}
}

// starts returns how many runs of each task have been started.
func (f *fixture) starts() map[string]int {
	starts := map[string]int{}
	for _, w := range f.workers {
		for key, n := range w.StartCounts() {
			starts[key.Task] += n
		}
	}
	return starts
}

// ends returns the number of runs that have ended for a reason.
func (f *fixture) ends(reason string) int {
	n := 0
	for _, w := range f.workers {
		for _, r := range w.Records() {
			if r.EndReason == reason {
				n++
			}
		}
	}
	return n
}

// progressRows returns the number of rows that hold the progress of a job.
func (f *fixture) progressRows(id string) int {
	listing, err := f.store.Memory.List(context.Background(), dispatch.ProgressPrefix+id, 0)
	Expect(err).NotTo(HaveOccurred())
	return len(listing.Rows)
}

// running returns the number of active runs of each task.
func (f *fixture) running() map[string]int {
	running := map[string]int{}
	for _, w := range f.workers {
		for _, key := range w.Running() {
			running[key.Task]++
		}
	}
	return running
}

func task(accelerators int64) batch.Step {
	return batch.Step{Tasks: 1, Need: batch.Need{MilliCPU: 1000, MemoryMb: 100, Accelerators: accelerators}, EstimateMs: 300}
}
