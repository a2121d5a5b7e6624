package table_test

import (
	"bytes"
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/table"
)

// losingStore does not answer commits. It applies them if apply is set.
type losingStore struct {
	*table.Memory
	apply     bool
	readDelay time.Duration
	ended     chan error // why the context of the commit ended
}

func (s *losingStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if s.apply {
		s.Memory.Commit(ctx, conditions, writes)
	}
	<-ctx.Done()
	if s.ended != nil {
		s.ended <- ctx.Err()
	}
	return table.CommitResult{Status: table.Unknown, Err: ctx.Err()}
}

func (s *losingStore) Get(ctx context.Context, key string) (table.Row, bool, error) {
	time.Sleep(s.readDelay)
	return s.Memory.Get(ctx, key)
}

// panickingStore fails in an unexpected way.
type panickingStore struct{ *table.Memory }

func (panickingStore) Commit(context.Context, []table.Condition, []table.Write) table.CommitResult {
	panic("unexpected answer")
}

var _ = ginkgo.Describe("CommitConfirmed", func() {
	write := []table.Write{{Key: "a/1", Value: []byte("new")}}
	confirmation := table.Confirmation{Key: "a/1", Every: 20 * time.Millisecond, Timeout: 50 * time.Millisecond,
		Applied: func(row table.Row) bool { return bytes.Equal(row.Value, []byte("new")) }}
	commit := func(store table.Store) table.CommitResult {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return table.CommitConfirmed(ctx, store, nil, write, confirmation)
	}

	// Guards against a commit that waits for its whole timeout when its answer is lost.
	ginkgo.It("returns the version of a commit whose answer is lost", func() {
		store := &losingStore{Memory: table.NewMemory(), apply: true}
		result := commit(store)
		gomega.Expect(result.Status).To(gomega.Equal(table.Committed))
		row, _, err := store.Get(context.Background(), "a/1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result.Version).To(gomega.Equal(row.Version))
	})

	// Guards against a slow but working path to the store that is taken for a failed one,
	// because each commit that a read confirms ends with an error.
	ginkgo.It("does not cancel a commit that a read has confirmed", func() {
		store := &losingStore{Memory: table.NewMemory(), apply: true, ended: make(chan error, 1)}
		gomega.Expect(commit(store).Status).To(gomega.Equal(table.Committed))
		gomega.Eventually(store.ended).Should(gomega.Receive(gomega.Equal(context.DeadlineExceeded)))
	})

	ginkgo.It("cancels the commit of a caller that has left", func() {
		store := &losingStore{Memory: table.NewMemory(), ended: make(chan error, 1)}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		gomega.Expect(table.CommitConfirmed(ctx, store, nil, write, confirmation).Status).To(gomega.Equal(table.Unknown))
		gomega.Expect(store.ended).To(gomega.Receive(gomega.Equal(context.Canceled)))
	})

	ginkgo.It("leaves the outcome unknown if no read shows the commit", func() {
		store := &losingStore{Memory: table.NewMemory()}
		store.Memory.Commit(context.Background(), nil, []table.Write{{Key: "a/1", Value: []byte("old")}})
		gomega.Expect(commit(store).Status).To(gomega.Equal(table.Unknown))
	})

	// Guards against a commit that was lost on a dead connection and waits for its whole
	// timeout, and against one that a slow store still carries out and is given up.
	ginkgo.It("gives up early only while reads are answered fast", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		result := table.CommitConfirmed(ctx, &losingStore{Memory: table.NewMemory()}, nil, write, confirmation)
		gomega.Expect(result.Status).To(gomega.Equal(table.Unknown))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", 500*time.Millisecond))
		slow := confirmation
		slow.Timeout = time.Second
		start = time.Now()
		ctx, cancel = context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		result = table.CommitConfirmed(ctx, &losingStore{Memory: table.NewMemory(), readDelay: 100 * time.Millisecond}, nil, write, slow)
		gomega.Expect(result.Status).To(gomega.Equal(table.Unknown))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 700*time.Millisecond))
	})

	ginkgo.It("returns the answer if there is one", func() {
		gomega.Expect(commit(table.NewMemory()).Status).To(gomega.Equal(table.Committed))
	})

	// Guards against one unexpected answer that ends the process.
	ginkgo.It("leaves the outcome unknown if the store fails in an unexpected way", func() {
		gomega.Expect(commit(panickingStore{table.NewMemory()}).Status).To(gomega.Equal(table.Unknown))
	})
})
