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

// flaky is a store whose commits are refused, lose their answers, or land late.
type flaky struct {
	*memory
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

func (f *flaky) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	f.mu.Lock()
	fate, delay := f.random.IntN(5), time.Duration(f.random.IntN(600))*time.Millisecond
	f.mu.Unlock()
	unknown := table.CommitResult{Status: table.Unknown, Err: errDown}
	switch fate {
	case 0:
		return table.CommitResult{Status: table.Unavailable, Err: errDown}
	case 1:
		f.memory.Commit(ctx, conditions, writes)
		return unknown
	case 2, 3:
		f.late.Go(func() {
			time.Sleep(delay)
			f.memory.Commit(context.WithoutCancel(ctx), conditions, writes)
		})
		return unknown
	}
	return f.memory.Commit(ctx, conditions, writes)
}

// Guards against a "not run" for a job whose insert lands after the deadline, and
// against an "accepted" for a job that is nowhere.
var _ = It("tells the truth about submissions under random faults", func() {
	const count = 300
	seed := uint64(GinkgoRandomSeed())
	store := &flaky{memory: newMemory(), random: rand.New(rand.NewPCG(seed, 0))}
	r := newRig(store.memory, rate.Inf)
	writer := jobs.NewWriter(jobs.WriterConfig{Store: store, Follower: r.follower})
	service := jobs.NewService(jobs.ServiceConfig{Writer: writer, Follower: r.follower, View: view{testConfiguration()}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = writer.Run(ctx) })
	results := make([]jobs.SubmitResult, count)
	var submissions sync.WaitGroup
	for i := range count {
		submissions.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			short, stop := context.WithTimeout(context.Background(), time.Duration(20+i)*time.Millisecond)
			defer stop()
			results[i] = service.Submit(short, "org", spec(fmt.Sprint(i)))
		})
	}
	submissions.Wait()
	cancel()
	running.Wait()
	store.late.Wait()
	counts := map[string]int{}
	for i, result := range results {
		counts[result.Status.String()]++
		_, stored, _ := store.Get(context.Background(), jobs.Key(jobs.ID("org", fmt.Sprint(i))))
		switch result.Status {
		case jobs.Accepted, jobs.Existing:
			Expect(stored).To(BeTrue(), "accepted submission %d is missing, seed %d", i, seed)
		case jobs.NotRun:
			Expect(stored).To(BeFalse(), "submission %d was said not to run, seed %d", i, seed)
		}
	}
	GinkgoWriter.Println("outcomes:", counts)
	Expect(counts["accepted"]).To(BeNumerically(">", 0))
})
