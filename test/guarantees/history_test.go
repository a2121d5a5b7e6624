package guarantees

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// history reads the attempts of a job from the workers.
func (z *zoneUnderTest) history(job string) []standin.TaskHistory {
	GinkgoHelper()
	all, err := z.Standin.Tasks()
	Expect(err).NotTo(HaveOccurred())
	var out []standin.TaskHistory
	for _, t := range all {
		if t.JobID == job {
			out = append(out, t)
		}
	}
	return out
}

// released tells when the last member of the first attempt that ran was
// released, or that there is none.
func released(tasks []standin.TaskHistory, members int) (time.Time, bool) {
	byAttempt := map[int][]int64{}
	for _, t := range tasks {
		if t.ReleasedMs > 0 {
			byAttempt[t.Attempt] = append(byAttempt[t.Attempt], t.ReleasedMs)
		}
	}
	var first int64
	for _, times := range byAttempt {
		if len(times) < members {
			continue
		}
		last := int64(0)
		for _, at := range times {
			last = max(last, at)
		}
		if first == 0 || last < first {
			first = last
		}
	}
	return time.UnixMilli(first), first > 0
}

// awaitStart waits until the whole gang runs and checks the time since its submission.
func (z *zoneUnderTest) awaitStart(id string, members int, submitted time.Time) {
	GinkgoHelper()
	var at time.Time
	Eventually(func() (ok bool) {
		at, ok = released(z.history(id), members)
		return ok
	}, startBound-time.Since(submitted)+time.Second, pollEvery).Should(BeTrue(), "job %s does not run", id)
	took := at.Sub(submitted)
	Expect(took).To(BeNumerically("<=", startBound), "job %s", id)
	AddReportEntry("start", fmt.Sprintf("%s after its submission", took.Round(time.Millisecond)))
}

// reclaim submits a guaranteed gang of the owner and waits for its start within the bound.
func (z *zoneUnderTest) reclaim(ctx context.Context, w work) string {
	GinkgoHelper()
	submitted := time.Now()
	id := z.submit(ctx, owner, w.spec())
	z.awaitStart(id, w.tasks, submitted)
	return id
}

// expectPreempted waits until exactly the jobs that match have been preempted;
// a daemon follows the rows half a second late.
func (z *zoneUnderTest) expectPreempted(ctx context.Context, ids []string, match types.GomegaMatcher) []string {
	GinkgoHelper()
	Eventually(func() []string { return z.preempted(ctx, ids) }, settleWait, pollEvery).Should(match)
	return z.preempted(ctx, ids)
}

// preempted lists which of the jobs have been preempted.
func (z *zoneUnderTest) preempted(ctx context.Context, ids []string) []string {
	var out []string
	for _, id := range ids {
		if z.job(ctx, id).Preemptions > 0 {
			out = append(out, id)
		}
	}
	return out
}

// checkAccelerators checks on the workers that no accelerator was given to two
// tasks at the same time.
func (z *zoneUnderTest) checkAccelerators() {
	GinkgoHelper()
	tasks, err := z.Standin.Tasks()
	Expect(err).NotTo(HaveOccurred())
	type place struct {
		worker      string
		accelerator int
	}
	users := map[place][]standin.TaskHistory{}
	for _, t := range tasks {
		for _, a := range t.Accelerators {
			p := place{t.Worker, a}
			for _, other := range users[p] {
				Expect(overlap(t, other)).To(BeFalse(), "%s and %s on accelerator %d of %s", t.TaskID, other.TaskID, a, t.Worker)
			}
			users[p] = append(users[p], t)
		}
	}
}

func overlap(a, b standin.TaskHistory) bool {
	end := func(t standin.TaskHistory) int64 {
		if t.EndedMs > 0 {
			return t.EndedMs
		}
		return time.Now().UnixMilli()
	}
	return a.StartedMs < end(b) && b.StartedMs < end(a)
}

// checkOnlyBorrowers checks that no job inside a guarantee was stopped.
func (z *zoneUnderTest) checkOnlyBorrowers(ctx context.Context, covered ...string) {
	GinkgoHelper()
	for _, id := range covered {
		Expect(z.job(ctx, id).Preemptions).To(BeZero(), "job %s", id)
		for _, t := range z.history(id) {
			Expect(t.Exit).NotTo(Equal(api.TaskExitStopped), "task %s", t.TaskID)
		}
	}
	z.checkAccelerators()
}
