package lease_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// fakeStore is a table store that can lose the answers of commits or be down.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	version     int64
	lostAnswers int  // number of next commits that are applied but not answered
	down        bool // all calls fail
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]table.Row{}} }

func (s *fakeStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Row{}, false, context.DeadlineExceeded
	}
	row, ok := s.rows[key]
	return row, ok, nil
}

func (s *fakeStore) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, nil
}

func (s *fakeStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.CommitResult{Status: table.Unavailable, Err: context.DeadlineExceeded}
	}
	for _, c := range conditions {
		if s.rows[c.Key].Version != c.Version {
			return table.CommitResult{Status: table.Conflict, Conflicts: []string{c.Key}}
		}
	}
	s.version++
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return table.CommitResult{Status: table.Unknown, Err: context.DeadlineExceeded}
	}
	return table.CommitResult{Status: table.Committed, Version: s.version}
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// silentStore applies commits and, while it is silent, does not answer them.
type silentStore struct {
	*fakeStore
	silent atomic.Bool
}

func (s *silentStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	result := s.fakeStore.Commit(ctx, conditions, writes)
	if s.silent.Load() {
		<-ctx.Done()
		return table.CommitResult{Status: table.Unknown, Err: ctx.Err()}
	}
	return result
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newParticipant(store table.Store, name string, c *fakeClock) *lease.Lease {
	l, err := lease.New(lease.Config{Store: store, Prefix: "planner/z/", Holder: name, Incarnation: name + "-1", Now: func() time.Time { return c.now }})
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("Lease", func() {
	var (
		ctx   context.Context
		store *fakeStore
		clk   *fakeClock
		a, b  *lease.Lease
	)
	BeforeEach(func() {
		ctx, store, clk = context.Background(), newFakeStore(), &fakeClock{now: time.Now()}
		a, b = newParticipant(store, "a", clk), newParticipant(store, "b", clk)
		a.Step(ctx)
		b.Step(ctx)
		Expect(a.Status().Held).To(BeTrue())
		Expect(b.Status().Held).To(BeFalse())
		Expect(b.Status().Holder).To(Equal("a"))
	})

	It("stays with a holder that renews", func() {
		for range 10 {
			clk.advance(time.Second)
			a.Step(ctx)
			b.Step(ctx)
		}
		Expect(a.Status().Held).To(BeTrue())
		Expect(b.Status().Held).To(BeFalse())
	})

	// Guards against a holder that does not know of an earlier one that may still act.
	It("names the earlier holders until they are forgotten", func() {
		c := newParticipant(store, "c", clk)
		clk.advance(4 * time.Second)
		b.Step(ctx)
		Expect(b.Status().Former).To(Equal([]string{"a"}))
		c.Step(ctx)
		clk.advance(4 * time.Second)
		c.Step(ctx)
		Expect(c.Status().Former).To(Equal([]string{"a", "b"}))
		c.ForgetFormer(c.Status().Epoch)
		Expect(c.Status().Former).To(BeEmpty())
		c.Step(ctx) // stores it
		a.Step(ctx)
		clk.advance(4 * time.Second)
		a.Step(ctx)
		Expect(a.Status().Held).To(BeTrue())
		Expect(a.Status().Former).To(Equal([]string{"c"}))
		By("a holder that has released the lease does not act any more")
		Expect(a.Release(ctx)).To(Succeed())
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().Former).To(Equal([]string{"c"}))
	})

	// Guards against observers that act on what an earlier holder has published long ago, and
	// against a takeover that takes it away before the new holder publishes its own.
	It("publishes a notice of its holder until the next one has its own", func() {
		publish := func(name, notice string) *lease.Lease {
			l, err := lease.New(lease.Config{Store: store, Prefix: "planner/z/", Holder: name, Incarnation: name + "-1", Now: func() time.Time { return clk.now },
				Notice: func() []byte { return []byte(notice) }})
			Expect(err).NotTo(HaveOccurred())
			return l
		}
		clk.advance(4 * time.Second)
		h, next := publish("h", "first"), publish("i", "second")
		h.Step(ctx)
		clk.advance(4 * time.Second)
		h.Step(ctx) // takes over
		h.Step(ctx) // renews
		next.Step(ctx)
		Expect(next.Status().Notice).To(Equal([]byte("first")))
		clk.advance(4 * time.Second)
		next.Step(ctx)
		Expect(next.Status().Held).To(BeTrue())
		Expect(next.Status().Notice).To(Equal([]byte("first")))
		next.Step(ctx)
		h.Step(ctx)
		Expect(h.Status().Notice).To(Equal([]byte("second")))
	})

	// Guards against a statement that an observer takes for a recent one: it was made with an
	// earlier renewal or by an earlier holder, or the observer knows no time before it.
	It("carries a statement for one renewal of its holder", func() {
		statement := []byte("now")
		join := func(name string, state func() []byte) *lease.Lease {
			l, err := lease.New(lease.Config{Store: store, Prefix: "planner/s/", Holder: name, Incarnation: name, Now: func() time.Time { return clk.now }, Statement: state})
			Expect(err).NotTo(HaveOccurred())
			return l
		}
		h, o := join("h", func() []byte { return statement }), join("o", nil)
		h.Step(ctx)
		clk.advance(time.Second)
		h.Step(ctx)
		o.Step(ctx)
		stated, after := o.Statement()
		Expect(stated).To(Equal(statement))
		Expect(after.IsZero()).To(BeTrue(), "the first read shows no time before the renewal")
		read := clk.now
		clk.advance(time.Second)
		h.Step(ctx)
		_, after = h.Statement()
		Expect(after).To(Equal(clk.now))
		o.Step(ctx)
		_, after = o.Statement()
		Expect(after).To(Equal(read))
		clk.advance(time.Second)
		o.Step(ctx)
		_, after = o.Statement()
		Expect(after).To(Equal(read), "nothing was renewed since")
		statement = nil
		h.Step(ctx)
		o.Step(ctx)
		stated, _ = o.Statement()
		Expect(stated).To(BeEmpty())
		statement = []byte("later")
		clk.advance(time.Second)
		h.Step(ctx)
		for !o.Status().Held {
			clk.advance(time.Second)
			o.Step(ctx)
		}
		stated, _ = o.Statement()
		Expect(stated).To(BeEmpty(), "the next holder has stated nothing")
	})

	// Guards against a holder that does no work any more and keeps the lease.
	It("is left by a holder that makes no progress", func() {
		healthy := true
		h, err := lease.New(lease.Config{Store: store, Prefix: "planner/z/", Holder: "h", Incarnation: "h-1", Now: func() time.Time { return clk.now }, Healthy: func() bool { return healthy }})
		Expect(err).NotTo(HaveOccurred())
		h.Step(ctx)
		clk.advance(4 * time.Second)
		h.Step(ctx)
		Expect(h.Status().Held).To(BeTrue())
		healthy = false
		b.Step(ctx)
		for range 4 {
			clk.advance(time.Second)
			h.Step(ctx)
			b.Step(ctx)
		}
		Expect(h.Status().Held).To(BeFalse())
		Expect(b.Status().Held).To(BeTrue())
		clk.advance(4 * time.Second)
		h.Step(ctx)
		clk.advance(4 * time.Second)
		h.Step(ctx)
		Expect(h.Status().Held).To(BeFalse(), "it does not acquire the lease either")
		healthy = true
		h.Step(ctx)
		Expect(h.Status().Held).To(BeTrue())
	})

	It("names unknown ones when there are many", func() {
		for i := range 12 {
			next := newParticipant(store, "p"+strconv.Itoa(i), clk)
			next.Step(ctx)
			clk.advance(4 * time.Second)
			next.Step(ctx)
			if i < 11 {
				continue
			}
			former := next.Status().Former
			Expect(len(former)).To(BeNumerically("<=", 8))
			Expect(former[0]).To(BeEmpty())
			Expect(former).To(ContainElement("p10"))
			Expect(former).NotTo(ContainElement("a"))
		}
	})

	It("is never held by two processes when the holder stops renewing", func() {
		acquiredAfter := time.Duration(0)
		for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
			clk.advance(100 * time.Millisecond)
			b.Step(ctx)
			Expect(a.Status().Held && b.Status().Held).To(BeFalse())
			if b.Status().Held && acquiredAfter == 0 {
				acquiredAfter = d
			}
		}
		Expect(acquiredAfter).To(BeNumerically("<=", 3100*time.Millisecond))
		Expect(b.Status().Epoch).To(Equal(int64(2)))
	})

	It("fences a frozen holder that resumes and commits", func() {
		fence, held := a.FenceCondition()
		Expect(held).To(BeTrue())
		clk.advance(3 * time.Second)
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		result := store.Commit(ctx, []table.Condition{fence}, []table.Write{{Key: "x"}})
		Expect(result.Status).To(Equal(table.Conflict))
		_, held = a.FenceCondition()
		Expect(held).To(BeFalse())
	})

	It("keeps the fence condition valid after renewals", func() {
		clk.advance(time.Second)
		a.Step(ctx)
		fence, _ := a.FenceCondition()
		Expect(store.Commit(ctx, []table.Condition{fence}, nil).Status).To(Equal(table.Committed))
	})

	It("reads back a renewal whose answer was lost", func() {
		clk.advance(time.Second)
		store.set(func(s *fakeStore) { s.lostAnswers = 1 })
		a.Step(ctx)
		clk.advance(2500 * time.Millisecond)
		Expect(a.Status().Held).To(BeTrue())
		a.Step(ctx)
		clk.advance(time.Second)
		Expect(a.Status().Held).To(BeTrue())
	})

	It("reads back a takeover whose answer was lost", func() {
		clk.advance(3 * time.Second)
		store.set(func(s *fakeStore) { s.lostAnswers = 1 })
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		fence, _ := b.FenceCondition()
		Expect(store.Commit(ctx, []table.Condition{fence}, nil).Status).To(Equal(table.Committed))
	})

	It("is acquired again with a higher epoch after a store outage", func() {
		store.set(func(s *fakeStore) { s.down = true })
		for range 4 {
			clk.advance(time.Second)
			a.Step(ctx)
		}
		Expect(a.Status().Held).To(BeFalse())
		store.set(func(s *fakeStore) { s.down = false })
		a.Step(ctx)
		Expect(a.Status()).To(Equal(lease.Status{Held: true, Holder: "a", Epoch: 2, AcquiredVersion: 2}))
	})

	It("is acquired by an observer at its next read after a release", func() {
		Expect(a.Release(ctx)).To(Succeed())
		Expect(a.Status().Held).To(BeFalse())
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		a.Step(ctx)
		Expect(a.Status().Held).To(BeFalse())
	})

	It("rejects a renewal interval that is not shorter than the lease time", func() {
		_, err := lease.New(lease.Config{Store: store, Holder: "a", Incarnation: "1", LeaseTime: time.Second, RenewEvery: time.Second})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a dispatcher that stays idle after an outage of the store, until its
	// next regular look at the lease.
	It("holds the lease again soon after an outage that it outlasted", func() {
		store := newFakeStore()
		l, err := lease.New(lease.Config{Store: store, Holder: "a", Incarnation: "a-1",
			LeaseTime: 600 * time.Millisecond, RenewEvery: 150 * time.Millisecond, PollEvery: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		held := func() bool { return l.Status().Held }
		Eventually(held).Should(BeTrue())
		store.set(func(s *fakeStore) { s.down = true })
		Eventually(held).WithTimeout(2 * time.Second).Should(BeFalse())
		time.Sleep(200 * time.Millisecond)
		store.set(func(s *fakeStore) { s.down = false })
		Eventually(held).WithTimeout(150 * time.Millisecond).WithPolling(10 * time.Millisecond).Should(BeTrue())
	})

	// Guards against a holder whose lease expires, because it waits for the answer to a
	// renewal that was applied.
	It("keeps the lease while answers to renewals are lost", func() {
		store := &silentStore{fakeStore: newFakeStore()}
		l, err := lease.New(lease.Config{Store: store, Holder: "a", Incarnation: "a-1", LeaseTime: 1500 * time.Millisecond, RenewEvery: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = l.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		held := func() bool { return l.Status().Held }
		Eventually(held).Should(BeTrue())
		store.silent.Store(true)
		Consistently(held).WithTimeout(3 * time.Second).Should(BeTrue())
	})
})

func ExampleLease() {
	store := newFakeStore()
	l, err := lease.New(lease.Config{Store: store, Prefix: "planner/kiruna/", Holder: "vm-1", Incarnation: "i-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	acquired := l.Changed()
	go func() { done <- l.Run(ctx) }()
	<-acquired
	fence, held := l.FenceCondition()
	fmt.Println(held, fence.Key)
	result := store.Commit(ctx, []table.Condition{fence}, []table.Write{{Key: "jobs/1", Value: []byte("placed")}})
	fmt.Println(result.Status == table.Committed)
	fmt.Println(l.Release(ctx))
	cancel()
	fmt.Println(<-done)
	// Output:
	// true planner/kiruna/fence
	// true
	// <nil>
	// <nil>
}
