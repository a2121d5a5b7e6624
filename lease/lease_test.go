package lease_test

import (
	"context"
	"fmt"
	"sync"
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

// memory is a table store with a choice of what happens to the next commits.
type memory struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	lose    int  // answers of commits to lose after they took effect
	down    bool // nothing answers
}

func newMemory() *memory { return &memory{rows: map[string]table.Row{}} }

func (m *memory) Get(_ context.Context, key string) (table.Row, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return table.Row{}, false, context.DeadlineExceeded
	}
	row, ok := m.rows[key]
	return row, ok, nil
}

func (m *memory) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, nil
}

func (m *memory) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return table.CommitResult{Status: table.Unavailable, Err: context.DeadlineExceeded}
	}
	for _, c := range conditions {
		if m.rows[c.Key].Version != c.Version {
			return table.CommitResult{Status: table.Conflict, Conflicts: []string{c.Key}}
		}
	}
	m.version++
	for _, w := range writes {
		m.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: m.version}
	}
	if m.lose > 0 {
		m.lose--
		return table.CommitResult{Status: table.Unknown, Err: context.DeadlineExceeded}
	}
	return table.CommitResult{Status: table.Committed, Version: m.version}
}

func (m *memory) set(change func(*memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

type clock struct{ now time.Time }

func (c *clock) add(d time.Duration) { c.now = c.now.Add(d) }

func participant(store table.Store, name string, c *clock) *lease.Lease {
	l, err := lease.New(lease.Config{Store: store, Prefix: "planner/z/", Holder: name, Incarnation: name + "-1", Now: func() time.Time { return c.now }})
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("Lease", func() {
	var (
		ctx   context.Context
		store *memory
		clk   *clock
		a, b  *lease.Lease
	)
	BeforeEach(func() {
		ctx, store, clk = context.Background(), newMemory(), &clock{now: time.Now()}
		a, b = participant(store, "a", clk), participant(store, "b", clk)
		a.Step(ctx)
		b.Step(ctx)
		Expect(a.Status().Held).To(BeTrue())
		Expect(b.Status().Held).To(BeFalse())
		Expect(b.Status().Holder).To(Equal("a"))
	})

	It("stays with a holder that renews", func() {
		for range 10 {
			clk.add(time.Second)
			a.Step(ctx)
			b.Step(ctx)
		}
		Expect(a.Status().Held).To(BeTrue())
		Expect(b.Status().Held).To(BeFalse())
	})

	It("is never believed by two processes when the holder falls silent", func() {
		taken := time.Duration(0)
		for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
			clk.add(100 * time.Millisecond)
			b.Step(ctx)
			Expect(a.Status().Held && b.Status().Held).To(BeFalse())
			if b.Status().Held && taken == 0 {
				taken = d
			}
		}
		Expect(taken).To(BeNumerically("<=", 3100*time.Millisecond))
		Expect(b.Status().Epoch).To(Equal(int64(2)))
	})

	It("fences a frozen holder that wakes up and commits", func() {
		fence, held := a.FenceCondition()
		Expect(held).To(BeTrue())
		clk.add(3 * time.Second)
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		result := store.Commit(ctx, []table.Condition{fence}, []table.Write{{Key: "x"}})
		Expect(result.Status).To(Equal(table.Conflict))
		_, held = a.FenceCondition()
		Expect(held).To(BeFalse())
	})

	It("keeps the fence condition valid over renewals", func() {
		clk.add(time.Second)
		a.Step(ctx)
		fence, _ := a.FenceCondition()
		Expect(store.Commit(ctx, []table.Condition{fence}, nil).Status).To(Equal(table.Committed))
	})

	It("reads back a renewal whose answer was lost", func() {
		clk.add(time.Second)
		store.set(func(m *memory) { m.lose = 1 })
		a.Step(ctx)
		clk.add(2500 * time.Millisecond)
		Expect(a.Status().Held).To(BeTrue())
		a.Step(ctx)
		clk.add(time.Second)
		Expect(a.Status().Held).To(BeTrue())
	})

	It("reads back a takeover whose answer was lost", func() {
		clk.add(3 * time.Second)
		store.set(func(m *memory) { m.lose = 1 })
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		fence, _ := b.FenceCondition()
		Expect(store.Commit(ctx, []table.Condition{fence}, nil).Status).To(Equal(table.Committed))
	})

	It("is taken again with a higher epoch after a store outage", func() {
		store.set(func(m *memory) { m.down = true })
		for range 4 {
			clk.add(time.Second)
			a.Step(ctx)
		}
		Expect(a.Status().Held).To(BeFalse())
		store.set(func(m *memory) { m.down = false })
		a.Step(ctx)
		Expect(a.Status()).To(Equal(lease.Status{Held: true, Holder: "a", Epoch: 2, AcquiredVersion: 2}))
	})

	It("is taken at the next read after a release", func() {
		Expect(a.Release(ctx)).To(Succeed())
		Expect(a.Status().Held).To(BeFalse())
		b.Step(ctx)
		Expect(b.Status().Held).To(BeTrue())
		a.Step(ctx)
		Expect(a.Status().Held).To(BeFalse())
	})

	It("refuses a timing that cannot work", func() {
		_, err := lease.New(lease.Config{Store: store, Holder: "a", Incarnation: "1", LeaseTime: time.Second, RenewEvery: time.Second})
		Expect(err).To(HaveOccurred())
	})
})

func ExampleLease() {
	store := newMemory()
	l, err := lease.New(lease.Config{Store: store, Prefix: "planner/kiruna/", Holder: "vm-1", Incarnation: "i-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	taken := l.Changed()
	go func() { done <- l.Run(ctx) }()
	<-taken
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
