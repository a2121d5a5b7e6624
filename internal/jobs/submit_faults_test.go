package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/table"
)

// flakyStore is a store that at random refuses commits, loses their answers, or
// applies them late.
type flakyStore struct {
	*memoryStore
	mu      sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
}

func (f *flakyStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	f.mu.Lock()
	fault, delay := f.random.IntN(5), time.Duration(f.random.IntN(600))*time.Millisecond
	f.mu.Unlock()
	unknown := table.CommitResult{Status: table.Unknown, Err: errStoreDown}
	switch fault {
	case 0:
		return table.CommitResult{Status: table.Unavailable, Err: errStoreDown}
	case 1:
		f.memoryStore.Commit(ctx, conditions, writes)
		return unknown
	case 2, 3:
		f.delayed.Go(func() {
			time.Sleep(delay)
			f.memoryStore.Commit(context.WithoutCancel(ctx), conditions, writes)
		})
		return unknown
	}
	return f.memoryStore.Commit(ctx, conditions, writes)
}

// Guards against "not run" for a job whose insert takes effect after the deadline,
// and against "accepted" for a job that was never stored.
var _ = It("reports the true outcome of submissions under random faults", func() {
	const count = 300
	seed := uint64(GinkgoRandomSeed())
	store := &flakyStore{memoryStore: newMemoryStore(), random: rand.New(rand.NewPCG(seed, 0))}
	d := newTestDaemon(store.memoryStore, rate.Inf)
	writer := jobs.NewWriter(jobs.WriterConfig{Store: store, Follower: d.follower})
	service := jobs.NewService(jobs.ServiceConfig{Writer: writer, Follower: d.follower, View: fixedView{testConfiguration()}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = writer.Run(ctx) })
	results := make([]jobs.SubmitResult, count)
	var submissions sync.WaitGroup
	for i := range count {
		submissions.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			submitCtx, stop := context.WithTimeout(context.Background(), time.Duration(20+i)*time.Millisecond)
			defer stop()
			results[i] = service.Submit(submitCtx, "org", spec(fmt.Sprint(i)))
		})
	}
	submissions.Wait()
	cancel()
	running.Wait()
	store.delayed.Wait()
	counts := map[string]int{}
	for i, result := range results {
		counts[result.Status.String()]++
		_, stored, _ := store.Get(context.Background(), jobs.Key(jobs.ID("org", fmt.Sprint(i))))
		switch result.Status {
		case jobs.Accepted, jobs.Existing:
			Expect(stored).To(BeTrue(), "accepted submission %d is missing, seed %d", i, seed)
		case jobs.NotRun:
			Expect(stored).To(BeFalse(), "submission %d was reported as not run, seed %d", i, seed)
		}
	}
	GinkgoWriter.Println("outcomes:", counts)
	Expect(counts["accepted"]).To(BeNumerically(">", 0))
})
