package relay_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/relay"
	"github.com/samphirepath/samphirepath/table"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// directStore is the direct path of one daemon to the store that all daemons share.
type directStore struct {
	*table.Memory
	mu          sync.Mutex
	down        bool
	loseAnswers bool // commits are applied, but their answers are lost
	hanging     bool // nothing is answered
	calls       int
}

func (s *directStore) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = true
}

func (s *directStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = false
}

// waitWhileHanging blocks until ctx ends if the path is hanging.
func (s *directStore) waitWhileHanging(ctx context.Context) {
	s.mu.Lock()
	hanging := s.hanging
	s.mu.Unlock()
	if hanging {
		<-ctx.Done()
	}
}

func (s *directStore) set(down, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseAnswers = down, loseAnswers
}

func (s *directStore) fail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errors.New("the store refuses this daemon")
	}
	return nil
}

func (s *directStore) Get(ctx context.Context, key string) (table.Row, bool, error) {
	s.waitWhileHanging(ctx)
	if err := s.fail(); err != nil {
		return table.Row{}, false, err
	}
	return s.Memory.Get(ctx, key)
}

func (s *directStore) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	if err := s.fail(); err != nil {
		return table.Listing{}, err
	}
	return s.Memory.List(ctx, prefix, since)
}

func (s *directStore) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	if err := s.fail(); err != nil {
		return table.Listing{}, err
	}
	return s.Memory.Watch(ctx, prefix, since, wait)
}

func (s *directStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.waitWhileHanging(ctx)
	if err := ctx.Err(); err != nil {
		return table.CommitResult{Status: table.Unknown, Err: err}
	}
	if err := s.fail(); err != nil {
		return table.CommitResult{Status: table.Unavailable, Err: err}
	}
	result := s.Memory.Commit(ctx, conditions, writes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAnswers {
		return table.CommitResult{Status: table.Unknown, Err: errors.New("no answer")}
	}
	return result
}

// stubDispatcher is the dispatcher of each daemon. It knows the job "j", and runs the term
// of epoch 7.
type stubDispatcher struct{}

func (stubDispatcher) GrantJob(_ context.Context, organisation string, bytes int64) error {
	switch {
	case organisation == "full":
		return admission.ErrOrganisation
	case bytes > 1000:
		return admission.ErrFull
	}
	return nil
}

func (stubDispatcher) JobState(_ context.Context, job string) string {
	if job == "j" {
		return "completed"
	}
	return ""
}

func (stubDispatcher) EndTermBefore(_ context.Context, epoch int64) bool { return epoch > 7 }

// newDaemon starts the relay server of a daemon, announces it to its peers and returns
// the daemon's store and direct path.
func newDaemon(shared *table.Memory, name string) (*relay.Store, *directStore) {
	direct := &directStore{Memory: shared}
	server := httptest.NewServer(relay.Handler(name, direct, stubDispatcher{}, relay.Limits{}, nil))
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	address := strings.TrimPrefix(server.URL, "http://")
	value, err := cbor.Marshal(api.RelayPeer{Address: address})
	Expect(err).NotTo(HaveOccurred())
	shared.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + name, Value: value}})
	store := relay.NewStore(direct, name, nil, nil)
	return store, direct
}

func runStore(store *relay.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = store.Run(ctx, api.RelayPeer{})
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
}

var write = []table.Write{{Key: "jobs/a", Value: []byte("1")}}

var _ = Describe("the relay", func() {
	var shared *table.Memory
	var store *relay.Store
	var direct, peerDirect *directStore

	BeforeEach(func() {
		shared = table.NewMemory()
		_, peerDirect = newDaemon(shared, "b")
		store, direct = newDaemon(shared, "a")
		runStore(store)
		Eventually(func() int { direct.mu.Lock(); defer direct.mu.Unlock(); return direct.calls }).Should(BeNumerically(">=", 2))
		time.Sleep(20 * time.Millisecond)
	})

	withTimeout := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		DeferCleanup(cancel)
		return ctx
	}

	It("uses a peer while the direct path fails, and the direct path again afterwards", func() {
		direct.set(true, false)
		Expect(store.Commit(withTimeout(), []table.Condition{{Key: "jobs/a"}}, write).Status).To(Equal(table.Committed))
		row, found, err := store.Get(withTimeout(), "jobs/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(row.Value).To(Equal([]byte("1")))
		listing, err := store.Watch(withTimeout(), "jobs/", row.Version-1, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Rows).To(HaveLen(1))
		conflict := store.Commit(withTimeout(), []table.Condition{{Key: "jobs/a"}}, write)
		Expect(conflict.Status).To(Equal(table.Conflict))
		Expect(conflict.Conflicts).To(Equal([]string{"jobs/a"}))
		direct.set(false, false)
		Eventually(func() int {
			peerDirect.mu.Lock()
			before := peerDirect.calls
			peerDirect.mu.Unlock()
			_, _, _ = store.Get(withTimeout(), "jobs/a")
			peerDirect.mu.Lock()
			defer peerDirect.mu.Unlock()
			return peerDirect.calls - before
		}).WithTimeout(3 * time.Second).WithPolling(100 * time.Millisecond).Should(BeZero())
	})

	It("does not repeat a commit that may have been applied", func() {
		direct.set(false, true)
		Expect(store.Commit(withTimeout(), nil, write).Status).To(Equal(table.Unknown))
		Expect(peerDirect.calls).To(BeZero())
	})

	It("returns Unavailable for a commit when no daemon reaches the store", func() {
		direct.set(true, false)
		peerDirect.set(true, false)
		result := store.Commit(withTimeout(), nil, write)
		Expect(result.Status).To(Equal(table.Unavailable))
		_, found, _ := shared.Get(context.Background(), "jobs/a")
		Expect(found).To(BeFalse())
		retried := store.Commit(withTimeout(), nil, write)
		Expect(eris.Is(retried.Err, relay.ErrNoPath)).To(BeTrue(), "peers that have just failed are not tried")
	})

	It("reads the state of a job from a daemon's dispatcher while the store is unreachable", func() {
		direct.set(true, false)
		peerDirect.set(true, false)
		Expect(store.JobState(withTimeout(), "b", "j")).To(Equal("completed"))
		Expect(store.JobState(withTimeout(), "b", "unknown")).To(BeEmpty())
		_, err := store.JobState(withTimeout(), "nobody", "j")
		Expect(err).To(HaveOccurred())
	})

	// Guards against an unknown outcome of a commit that is sent to a peer which cannot
	// reach the store either, or which does not answer.
	It("sends no commit to a peer whose store hangs", func() {
		direct.set(true, false)
		peerDirect.hang()
		result := store.Commit(withTimeout(), nil, write)
		Expect(result.Status).To(Equal(table.Unavailable))
		_, found, _ := shared.Get(context.Background(), "jobs/a")
		Expect(found).To(BeFalse())
	})

	// Guards against callers that are refused after the store is back, because the daemon
	// has not noticed yet.
	It("uses the direct path again as soon as an operation needs it", func() {
		for range 5 {
			direct.set(true, false)
			peerDirect.set(true, false)
			Expect(store.Commit(withTimeout(), nil, write).Status).To(Equal(table.Unavailable))
			time.Sleep(150 * time.Millisecond)
			direct.set(false, false)
			Eventually(func() table.CommitStatus { return store.Commit(withTimeout(), nil, write).Status }).
				WithTimeout(300 * time.Millisecond).WithPolling(25 * time.Millisecond).Should(Equal(table.Committed))
		}
	})

	// Guards against a read that spends all its time on a peer that does not answer.
	It("leaves time for another peer when one does not answer", func() {
		direct.set(true, false)
		_, _, err := store.Get(withTimeout(), "jobs/a")
		Expect(err).NotTo(HaveOccurred(), "the peer is the preferred one from now on")
		direct.set(false, false)
		newDaemon(shared, "c")
		Eventually(func() error { // the failed request makes the store list its peers
			_, err := store.JobState(withTimeout(), "c", "j")
			return err
		}).WithTimeout(3 * time.Second).Should(Succeed())
		direct.set(true, false)
		peerDirect.hang()
		_, _, err = store.Get(withTimeout(), "jobs/a")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a path that is taken for failed because a caller has left.
	It("keeps the direct path when a caller gives up on a slow operation", func() {
		direct.hang()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(700*time.Millisecond, cancel)
		Expect(store.Commit(ctx, nil, write).Status).To(Equal(table.Unknown))
		direct.resume()
		before := direct.calls
		_, _, err := store.Get(withTimeout(), "jobs/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(direct.calls).To(Equal(before + 1))
		Expect(peerDirect.calls).To(BeZero())
	})

	// Guards against many daemons that all write when they start at once.
	It("announces a daemon only if its row is missing or different", func() {
		announced := table.NewMemory()
		path := &directStore{Memory: announced}
		value, err := cbor.Marshal(api.RelayPeer{Address: "10.0.0.1:7000"})
		Expect(err).NotTo(HaveOccurred())
		announced.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + "d", Value: value}})
		row, _, err := announced.Get(context.Background(), relay.PeersPrefix+"d")
		Expect(err).NotTo(HaveOccurred())
		run := func(address string) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			Expect(relay.NewStore(path, "d", nil, nil).Run(ctx, api.RelayPeer{Address: address})).To(Succeed())
		}
		run("10.0.0.1:7000")
		unchanged, _, err := announced.Get(context.Background(), relay.PeersPrefix+"d")
		Expect(err).NotTo(HaveOccurred())
		Expect(unchanged.Version).To(Equal(row.Version))
		run("10.0.0.2:7000")
		moved, _, err := announced.Get(context.Background(), relay.PeersPrefix+"d")
		Expect(err).NotTo(HaveOccurred())
		Expect(moved.Version).To(BeNumerically(">", row.Version))
	})

	// Guards against operations of other callers that end without a result when one caller
	// leaves: for a commit the outcome would be unknown.
	It("keeps the connection to a peer when one caller gives up", func() {
		direct.set(true, false)
		results := make(chan error, 1)
		waiting := withTimeout()
		go func() {
			_, err := store.Watch(waiting, "jobs/", 1<<30, time.Second)
			results <- err
		}()
		abandoned, abandon := context.WithCancel(withTimeout())
		time.AfterFunc(100*time.Millisecond, abandon)
		_, err := store.Watch(abandoned, "jobs/", 1<<30, time.Second)
		Expect(err).To(HaveOccurred())
		By("the peer does not count as failed")
		_, _, err = store.Get(withTimeout(), "jobs/a")
		Expect(err).NotTo(HaveOccurred())
		Eventually(results).WithTimeout(2 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against a listing of all peers a second by every daemon while the dispatcher,
	// which callers' daemons ask for states, is gone.
	It("lists the peers on demand only for a daemon that it does not know", func() {
		listings := func() int {
			direct.mu.Lock()
			defer direct.mu.Unlock()
			return direct.calls
		}
		before := listings()
		for range 12 {
			_, err := store.JobState(withTimeout(), "b", "j")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
		}
		Expect(listings()).To(Equal(before))
		_, err := store.JobState(withTimeout(), "nobody", "j")
		Expect(err).To(HaveOccurred())
		Eventually(listings).WithTimeout(2 * time.Second).Should(BeNumerically(">", before))
	})

	// Guards against a daemon that has got the address of a former dispatcher and answers
	// for it.
	It("asks a daemon for the end of its own term only", func() {
		shared := table.NewMemory()
		a, _ := newDaemon(shared, "a")
		newDaemon(shared, "b")
		runStore(a)
		ask := func(name string, epoch int64) func() (bool, error) {
			return func() (bool, error) { return a.EndTermBefore(withTimeout(), name, epoch) }
		}
		Eventually(ask("b", 8)).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(ask("b", 7)()).To(BeFalse())
		row, _, err := shared.Get(context.Background(), relay.PeersPrefix+"b")
		Expect(err).NotTo(HaveOccurred())
		shared.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + "gone", Value: row.Value}})
		Eventually(func() error {
			_, err := ask("gone", 8)()
			return err
		}).WithTimeout(3 * time.Second).Should(Succeed())
		Expect(ask("gone", 8)()).To(BeFalse())
	})

	It("asks the dispatcher of another daemon to admit a job", func() {
		shared := table.NewMemory()
		a, _ := newDaemon(shared, "a")
		newDaemon(shared, "b")
		runStore(a)
		grant := func(organisation string, bytes int64) error {
			return a.GrantJob(withTimeout(), "b", organisation, bytes)
		}
		Eventually(func() error { return grant("o", 1000) }).WithTimeout(3 * time.Second).Should(Succeed())
		Expect(eris.Is(grant("o", 1001), admission.ErrFull)).To(BeTrue())
		Expect(eris.Is(grant("full", 1), admission.ErrOrganisation)).To(BeTrue())
		By("refusing what would make room for others, or takes memory itself")
		Expect(grant("o", -1)).To(HaveOccurred())
		Expect(grant(strings.Repeat("o", 2000), 1)).To(HaveOccurred())
		Expect(a.GrantJob(withTimeout(), "nobody", "o", 1)).To(MatchError(ContainSubstring("not reached")))
	})

	It("sends no commit to a peer that no longer answers", func() {
		server := httptest.NewServer(relay.Handler("silent", &directStore{Memory: shared}, stubDispatcher{}, relay.Limits{}, nil))
		DeferCleanup(server.Close)
		proxy, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(server.URL, "http://")})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = proxy.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		value, err := cbor.Marshal(api.RelayPeer{Address: proxy.Address()})
		Expect(err).NotTo(HaveOccurred())
		separate := table.NewMemory()
		separate.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + "silent", Value: value}})
		separateDirect := &directStore{Memory: separate}
		separateStore := relay.NewStore(separateDirect, "c", nil, nil)
		runStore(separateStore)
		Eventually(func() error {
			_, err := separateStore.JobState(withTimeout(), "silent", "j")
			return err
		}).WithTimeout(3 * time.Second).Should(Succeed())
		separateDirect.set(true, false)
		proxy.Set(faultproxy.HoldBoth())
		Expect(separateStore.Commit(withTimeout(), nil, write).Status).To(Equal(table.Unavailable))
	})
})
