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
	"github.com/samphirepath/samphirepath/internal/relay"
	"github.com/samphirepath/samphirepath/table"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// path is one daemon's path to a store that all share.
type path struct {
	*table.Memory
	mu     sync.Mutex
	down   bool
	silent bool // commits are carried out and not answered
	hangs  bool // nothing is answered
	calls  int
}

func (p *path) hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hangs = true
}

// await waits until the caller gives up while the path hangs.
func (p *path) await(ctx context.Context) {
	p.mu.Lock()
	hangs := p.hangs
	p.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
}

func (p *path) set(down, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.silent = down, silent
}

func (p *path) fail() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return errors.New("turned away")
	}
	return nil
}

func (p *path) Get(ctx context.Context, key string) (table.Row, bool, error) {
	p.await(ctx)
	if err := p.fail(); err != nil {
		return table.Row{}, false, err
	}
	return p.Memory.Get(ctx, key)
}

func (p *path) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	if err := p.fail(); err != nil {
		return table.Listing{}, err
	}
	return p.Memory.List(ctx, prefix, since)
}

func (p *path) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	if err := p.fail(); err != nil {
		return table.Listing{}, err
	}
	return p.Memory.Watch(ctx, prefix, since, wait)
}

func (p *path) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	p.await(ctx)
	if err := ctx.Err(); err != nil {
		return table.CommitResult{Status: table.Unknown, Err: err}
	}
	if err := p.fail(); err != nil {
		return table.CommitResult{Status: table.Unavailable, Err: err}
	}
	result := p.Memory.Commit(ctx, conditions, writes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return table.CommitResult{Status: table.Unknown, Err: errors.New("no answer")}
	}
	return result
}

// known is what each daemon's dispatcher knows about jobs.
func known(_ context.Context, job string) string {
	if job == "j" {
		return "completed"
	}
	return ""
}

// newDaemon starts a daemon that serves its peers and knows the others.
func newDaemon(shared *table.Memory, name string) (*relay.Store, *path) {
	own := &path{Memory: shared}
	server := httptest.NewServer(relay.Handler(own, known, nil))
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	address := strings.TrimPrefix(server.URL, "http://")
	value, err := cbor.Marshal(api.RelayPeer{Address: address})
	Expect(err).NotTo(HaveOccurred())
	shared.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + name, Value: value}})
	store := relay.NewStore(own, name, nil, nil)
	return store, own
}

func run(store *relay.Store) {
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
	var own, other *path

	BeforeEach(func() {
		shared = table.NewMemory()
		_, other = newDaemon(shared, "b")
		store, own = newDaemon(shared, "a")
		run(store)
		Eventually(func() int { own.mu.Lock(); defer own.mu.Unlock(); return own.calls }).Should(BeNumerically(">=", 2))
		time.Sleep(20 * time.Millisecond)
	})

	timed := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		DeferCleanup(cancel)
		return ctx
	}

	It("uses a peer while the store turns the daemon away, and its own path again afterwards", func() {
		own.set(true, false)
		Expect(store.Commit(timed(), []table.Condition{{Key: "jobs/a"}}, write).Status).To(Equal(table.Committed))
		row, found, err := store.Get(timed(), "jobs/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(row.Value).To(Equal([]byte("1")))
		listing, err := store.Watch(timed(), "jobs/", row.Version-1, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Rows).To(HaveLen(1))
		conflict := store.Commit(timed(), []table.Condition{{Key: "jobs/a"}}, write)
		Expect(conflict.Status).To(Equal(table.Conflict))
		Expect(conflict.Conflicts).To(Equal([]string{"jobs/a"}))
		own.set(false, false)
		Eventually(func() int {
			other.mu.Lock()
			before := other.calls
			other.mu.Unlock()
			_, _, _ = store.Get(timed(), "jobs/a")
			other.mu.Lock()
			defer other.mu.Unlock()
			return other.calls - before
		}).WithTimeout(3 * time.Second).WithPolling(100 * time.Millisecond).Should(BeZero())
	})

	It("does not repeat a commit that may have been carried out", func() {
		own.set(false, true)
		Expect(store.Commit(timed(), nil, write).Status).To(Equal(table.Unknown))
		Expect(other.calls).To(BeZero())
	})

	It("says that nothing was done when nobody reaches the store", func() {
		own.set(true, false)
		other.set(true, false)
		result := store.Commit(timed(), nil, write)
		Expect(result.Status).To(Equal(table.Unavailable))
		_, found, _ := shared.Get(context.Background(), "jobs/a")
		Expect(found).To(BeFalse())
		again := store.Commit(timed(), nil, write)
		Expect(eris.Is(again.Err, relay.ErrNoPath)).To(BeTrue(), "peers that just failed are left out")
	})

	It("asks a daemon for the state of a job while the store is away", func() {
		own.set(true, false)
		other.set(true, false)
		Expect(store.JobState(timed(), "b", "j")).To(Equal("completed"))
		Expect(store.JobState(timed(), "b", "unknown")).To(BeEmpty())
		_, err := store.JobState(timed(), "nobody", "j")
		Expect(err).To(HaveOccurred())
	})

	// Guards against an open outcome for a commit that was entrusted to a peer that
	// has no store either, or that does not answer.
	It("entrusts no commit to a peer whose store hangs", func() {
		own.set(true, false)
		other.hang()
		result := store.Commit(timed(), nil, write)
		Expect(result.Status).To(Equal(table.Unavailable))
		_, found, _ := shared.Get(context.Background(), "jobs/a")
		Expect(found).To(BeFalse())
	})

	It("entrusts no commit to a peer that has fallen silent", func() {
		server := httptest.NewServer(relay.Handler(&path{Memory: shared}, known, nil))
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
		alone := table.NewMemory()
		alone.Commit(context.Background(), nil, []table.Write{{Key: relay.PeersPrefix + "silent", Value: value}})
		far := &path{Memory: alone}
		from := relay.NewStore(far, "c", nil, nil)
		run(from)
		Eventually(func() error {
			_, err := from.JobState(timed(), "silent", "j")
			return err
		}).WithTimeout(3 * time.Second).Should(Succeed())
		far.set(true, false)
		proxy.Set(faultproxy.Hold())
		Expect(from.Commit(timed(), nil, write).Status).To(Equal(table.Unavailable))
	})
})
