package table_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/table"
)

// counting counts the reads of a store and lets a test fail watches.
type counting struct {
	*table.Memory
	mu      sync.Mutex
	lists   int
	watches int
	fail    func(watch int) error // nil serves the watch
}

func (c *counting) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	c.mu.Lock()
	c.lists++
	c.mu.Unlock()
	return c.Memory.List(ctx, prefix, since)
}

func (c *counting) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	c.mu.Lock()
	c.watches++
	fail, n := c.fail, c.watches
	c.mu.Unlock()
	if fail != nil {
		if err := fail(n); err != nil {
			return table.Listing{}, err
		}
	}
	return c.Memory.Watch(ctx, prefix, since, wait)
}

func (c *counting) put(key string) {
	result := c.Commit(context.Background(), nil, []table.Write{{Key: key, Value: []byte{1}}})
	gomega.Expect(result.Status).To(gomega.Equal(table.Committed))
}

// followed runs a follower and returns the updates that it delivers.
func followed(f table.Follower) func() []table.Update {
	var mu sync.Mutex
	var updates []table.Update
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		f.Run(ctx, func(u table.Update) {
			mu.Lock()
			defer mu.Unlock()
			updates = append(updates, u)
		})
	})
	ginkgo.DeferCleanup(func() {
		cancel()
		running.Wait()
	})
	return func() []table.Update {
		mu.Lock()
		defer mu.Unlock()
		return append([]table.Update(nil), updates...)
	}
}

func keys(updates []table.Update) []string {
	var out []string
	for _, u := range updates {
		for _, row := range u.Rows {
			out = append(out, row.Key)
		}
	}
	return out
}

var _ = ginkgo.Describe("Follower", func() {
	var store *counting

	ginkgo.BeforeEach(func() { store = &counting{Memory: table.NewMemory()} })

	follower := func() table.Follower {
		return table.Follower{Store: store, Prefix: "a/", Wait: 100 * time.Millisecond, Grace: time.Second, RetryDelay: 10 * time.Millisecond}
	}

	ginkgo.It("delivers a full listing and then each change in order", func() {
		store.put("a/0")
		updates := followed(follower())
		gomega.Eventually(updates).ShouldNot(gomega.BeEmpty())
		gomega.Expect(updates()[0].Full).To(gomega.BeTrue())
		store.put("b/1")
		store.put("a/1")
		store.put("a/2")
		gomega.Eventually(func() []string { return keys(updates()) }).Should(gomega.Equal([]string{"a/0", "a/1", "a/2"}))
	})

	// Guards against a read of the store for each heartbeat of each worker.
	ginkgo.It("reads changes that come in quick succession together", func() {
		const changes, every, spacing = 60, 5 * time.Millisecond, 100 * time.Millisecond
		f := follower()
		f.MinInterval = spacing
		updates := followed(f)
		gomega.Eventually(updates).ShouldNot(gomega.BeEmpty())
		var want []string
		for i := range changes {
			want = append(want, fmt.Sprintf("a/%02d", i))
			store.put(want[i])
			time.Sleep(every)
		}
		gomega.Eventually(func() []string { return keys(updates()) }).Should(gomega.ConsistOf(want))
		store.mu.Lock()
		defer store.mu.Unlock()
		// The test may take longer than planned on a busy machine, hence twice as many.
		gomega.Expect(store.watches).To(gomega.BeNumerically("<=", 2*int(changes*every/spacing)+2))
	})

	// Guards against changes that were missed while a watch was silent or while the
	// store had forgotten its history.
	ginkgo.DescribeTable("lists everything again", func(cause error) {
		store.put("a/0")
		store.fail = func(watch int) error {
			if watch == 1 {
				return cause
			}
			return nil
		}
		updates := followed(follower())
		gomega.Eventually(func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.lists
		}).Should(gomega.Equal(2))
		gomega.Eventually(func() int {
			full := 0
			for _, u := range updates() {
				if u.Full {
					full++
				}
			}
			return full
		}).Should(gomega.Equal(2))
	},
		ginkgo.Entry("after a failed watch", eris.New("no answer")),
		ginkgo.Entry("after the history was lost", table.ErrHistoryLost),
	)

	ginkgo.It("tells that the store does not answer", func() {
		store.fail = func(int) error { return eris.New("no answer") }
		updates := followed(follower())
		gomega.Eventually(func() error {
			for _, u := range updates() {
				if u.Err != nil {
					return u.Err
				}
			}
			return nil
		}).Should(gomega.HaveOccurred())
	})
})
