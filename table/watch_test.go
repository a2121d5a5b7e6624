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

// countingStore counts the reads of a store and can make watches fail.
type countingStore struct {
	*table.Memory
	mu         sync.Mutex
	lists      int
	watches    int
	watchError func(watch int) error // returns the error of the n-th watch, or nil if it succeeds
}

func (s *countingStore) List(ctx context.Context, prefix string, since int64) (table.Listing, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.Memory.List(ctx, prefix, since)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (table.Listing, error) {
	s.mu.Lock()
	s.watches++
	fail, n := s.watchError, s.watches
	s.mu.Unlock()
	if fail != nil {
		if err := fail(n); err != nil {
			return table.Listing{}, err
		}
	}
	return s.Memory.Watch(ctx, prefix, since, wait)
}

func (s *countingStore) put(key string) {
	result := s.Commit(context.Background(), nil, []table.Write{{Key: key, Value: []byte{1}}})
	gomega.Expect(result.Status).To(gomega.Equal(table.Committed))
}

// collectUpdates runs a follower and returns a function that returns the updates
// delivered so far.
func collectUpdates(f table.Follower) func() []table.Update {
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

func rowKeys(updates []table.Update) []string {
	var out []string
	for _, u := range updates {
		for _, row := range u.Rows {
			out = append(out, row.Key)
		}
	}
	return out
}

var _ = ginkgo.Describe("Follower", func() {
	var store *countingStore

	ginkgo.BeforeEach(func() { store = &countingStore{Memory: table.NewMemory()} })

	follower := func() table.Follower {
		return table.Follower{Store: store, Prefix: "a/", Wait: 100 * time.Millisecond, Grace: time.Second, RetryDelay: 10 * time.Millisecond}
	}

	ginkgo.It("delivers a full listing and then each change in order", func() {
		store.put("a/0")
		updates := collectUpdates(follower())
		gomega.Eventually(updates).ShouldNot(gomega.BeEmpty())
		gomega.Expect(updates()[0].Full).To(gomega.BeTrue())
		store.put("b/1")
		store.put("a/1")
		store.put("a/2")
		gomega.Eventually(func() []string { return rowKeys(updates()) }).Should(gomega.Equal([]string{"a/0", "a/1", "a/2"}))
	})

	// Guards against a read of the store for each heartbeat of each worker.
	ginkgo.It("reads changes in quick succession together", func() {
		const changes, interval, minInterval = 60, 5 * time.Millisecond, 100 * time.Millisecond
		f := follower()
		f.MinInterval = minInterval
		updates := collectUpdates(f)
		gomega.Eventually(updates).ShouldNot(gomega.BeEmpty())
		var want []string
		for i := range changes {
			want = append(want, fmt.Sprintf("a/%02d", i))
			store.put(want[i])
			time.Sleep(interval)
		}
		gomega.Eventually(func() []string { return rowKeys(updates()) }).Should(gomega.ConsistOf(want))
		store.mu.Lock()
		defer store.mu.Unlock()
		// On a busy machine the writes take longer, so twice the ideal number is allowed.
		gomega.Expect(store.watches).To(gomega.BeNumerically("<=", 2*int(changes*interval/minInterval)+2))
	})

	// Guards against changes that are missed when the store no longer has the history.
	ginkgo.It("lists all rows again after the history was lost", func() {
		store.put("a/0")
		store.watchError = func(watch int) error {
			if watch == 1 {
				return table.ErrHistoryLost
			}
			return nil
		}
		updates := collectUpdates(follower())
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
	})

	// Guards against changes that are missed while watches fail, and against a listing of
	// all rows by every daemon at once when the store returns after an outage.
	ginkgo.It("continues from the last version after failed watches", func() {
		store.put("a/0")
		const failures = 5
		store.watchError = func(watch int) error {
			if watch <= failures {
				store.put(fmt.Sprint("a/", watch))
				return eris.New("no answer")
			}
			return nil
		}
		updates := collectUpdates(follower())
		gomega.Eventually(func() []string { return rowKeys(updates()) }).Should(gomega.Equal([]string{"a/0", "a/1", "a/2", "a/3", "a/4", "a/5"}))
		store.mu.Lock()
		defer store.mu.Unlock()
		gomega.Expect(store.lists).To(gomega.Equal(1))
	})

	ginkgo.It("delivers the error when the store does not answer", func() {
		store.watchError = func(int) error { return eris.New("no answer") }
		updates := collectUpdates(follower())
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
