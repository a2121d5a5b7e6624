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

// history returns the tasks of all attempts of a job, as recorded by the workers.
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

// gangRelease returns the time at which the last member of a gang was released to run, in
// the first attempt of which all members were released. It also reports whether there is
// such an attempt.
func gangRelease(tasks []standin.TaskHistory, members int) (time.Time, bool) {
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

// awaitStart waits until all members of a gang run and checks that they started within
// startBound after the submission.
func (z *zoneUnderTest) awaitStart(id string, members int, submitted time.Time) {
	GinkgoHelper()
	var at time.Time
	Eventually(func() (ok bool) {
		at, ok = gangRelease(z.history(id), members)
		return ok
	}, startBound-time.Since(submitted)+time.Second, pollEvery).Should(BeTrue(), "job %s has not started", id)
	startDelay := at.Sub(submitted)
	Expect(startDelay).To(BeNumerically("<=", startBound), "job %s", id)
	AddReportEntry("start", fmt.Sprintf("%s after its submission", startDelay.Round(time.Millisecond)))
}

// reclaim submits a guaranteed gang of the owner and waits for its start within the bound.
func (z *zoneUnderTest) reclaim(ctx context.Context, t jobTemplate) string {
	GinkgoHelper()
	submitted := time.Now()
	id := z.submit(ctx, owner, t.spec())
	z.awaitStart(id, t.tasks, submitted)
	return id
}

// expectPreempted waits until the list of preempted jobs matches and returns the list. The
// wait is needed because a daemon reads changed rows up to half a second late.
func (z *zoneUnderTest) expectPreempted(ctx context.Context, ids []string, match types.GomegaMatcher) []string {
	GinkgoHelper()
	Eventually(func() []string { return z.preempted(ctx, ids) }, eventualTimeout, pollEvery).Should(match)
	return z.preempted(ctx, ids)
}

// preempted returns those of the jobs that have been preempted.
func (z *zoneUnderTest) preempted(ctx context.Context, ids []string) []string {
	var out []string
	for _, id := range ids {
		if z.job(ctx, id).Preemptions > 0 {
			out = append(out, id)
		}
	}
	return out
}

// checkAccelerators checks in the task history of the workers that no accelerator was used
// by two tasks at the same time.
func (z *zoneUnderTest) checkAccelerators() {
	GinkgoHelper()
	tasks, err := z.Standin.Tasks()
	Expect(err).NotTo(HaveOccurred())
	type accelerator struct {
		worker string
		index  int
	}
	tasksOn := map[accelerator][]standin.TaskHistory{}
	for _, t := range tasks {
		for _, a := range t.Accelerators {
			key := accelerator{t.Worker, a}
			for _, other := range tasksOn[key] {
				Expect(overlap(t, other)).To(BeFalse(), "%s and %s on accelerator %d of %s", t.TaskID, other.TaskID, a, t.Worker)
			}
			tasksOn[key] = append(tasksOn[key], t)
		}
	}
}

// overlap reports whether two tasks ran at the same time. A task without an end is still
// running.
func overlap(a, b standin.TaskHistory) bool {
	end := func(t standin.TaskHistory) int64 {
		if t.EndedMs > 0 {
			return t.EndedMs
		}
		return time.Now().UnixMilli()
	}
	return a.StartedMs < end(b) && b.StartedMs < end(a)
}

// checkOnlyBorrowersPreempted checks that none of the given jobs, which run inside a
// guarantee, was preempted or stopped, and that no accelerator was used by two tasks at
// the same time.
func (z *zoneUnderTest) checkOnlyBorrowersPreempted(ctx context.Context, guaranteed ...string) {
	GinkgoHelper()
	for _, id := range guaranteed {
		Expect(z.job(ctx, id).Preemptions).To(BeZero(), "job %s", id)
		for _, t := range z.history(id) {
			Expect(t.Exit).NotTo(Equal(api.TaskExitStopped), "task %s", t.TaskID)
		}
	}
	z.checkAccelerators()
}
