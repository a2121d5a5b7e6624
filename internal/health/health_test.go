package health_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

var start = time.UnixMilli(1_700_000_000_000)

// failure is a failure of a job on a worker, some minutes after the start.
type failure struct {
	job, worker string
	minute      int
}

func recordFailures(t *health.Tracker, failures ...failure) {
	for i, f := range failures {
		t.RecordFailure(health.Failure{Job: f.job, Attempt: i + 1, Worker: f.worker, At: minute(f.minute)})
	}
}

func minute(n int) time.Time { return start.Add(time.Duration(n) * time.Minute) }

var _ = Describe("a tracker", func() {
	DescribeTable("distinguishes failing workers from failing jobs",
		func(quarantined []string, failing []string, failures ...failure) {
			t := health.New(health.Config{})
			recordFailures(t, failures...)
			last := minute(failures[len(failures)-1].minute)
			for _, w := range []string{"w1", "w2", "w3", "w4"} {
				_, got := t.QuarantineOf(w, last)
				Expect(got).To(Equal(slices.Contains(quarantined, w)), w)
			}
			for _, j := range []string{"a", "b", "c"} {
				Expect(t.JobFailing(j)).To(Equal(slices.Contains(failing, j)), j)
			}
		},
		Entry("three jobs fail on one worker", []string{"w1"}, nil,
			failure{"a", "w1", 0}, failure{"b", "w1", 1}, failure{"c", "w1", 2}),
		Entry("one job fails many times on one worker", nil, nil,
			failure{"a", "w1", 0}, failure{"a", "w1", 1}, failure{"a", "w1", 2}, failure{"a", "w1", 3}),
		Entry("two jobs are not enough", nil, nil, failure{"a", "w1", 0}, failure{"b", "w1", 1}, failure{"a", "w1", 2}),
		Entry("failures outside of the window are not added up", nil, nil,
			failure{"a", "w1", 0}, failure{"b", "w1", 1}, failure{"c", "w1", 62}),
		Entry("a job fails on three workers", nil, []string{"a"},
			failure{"a", "w1", 0}, failure{"a", "w2", 1}, failure{"a", "w3", 2}),
		Entry("failing jobs do not quarantine a worker", nil, []string{"a", "b"},
			failure{"a", "w2", 0}, failure{"a", "w3", 1}, failure{"a", "w4", 2}, failure{"b", "w2", 3}, failure{"b", "w3", 4}, failure{"b", "w4", 5},
			failure{"a", "w1", 6}, failure{"b", "w1", 7}, failure{"c", "w1", 8}),
		Entry("a worker on which all jobs fail does not make a job failing", []string{"w1"}, nil,
			failure{"b", "w1", 0}, failure{"c", "w1", 1}, failure{"a", "w1", 2}, failure{"a", "w1", 3}, failure{"a", "w2", 4}, failure{"a", "w3", 5}))

	It("doubles the quarantine each time, up to a limit, until a task succeeds", func() {
		t := health.New(health.Config{MaxBackoff: 15 * time.Minute})
		now, attempt := start, 0
		quarantine := func() time.Duration {
			for _, job := range []string{"a", "b", "c"} {
				attempt++
				t.RecordFailure(health.Failure{Job: job, Attempt: attempt, Worker: "w1", At: now})
			}
			q, ok := t.QuarantineOf("w1", now)
			Expect(ok).To(BeTrue())
			Expect(q.Reason).To(ContainSubstring("3 different jobs failed on it"))
			d := q.Until.Sub(now)
			now = q.Until
			return d
		}
		Expect(quarantine()).To(Equal(5 * time.Minute))
		_, still := t.QuarantineOf("w1", now)
		Expect(still).To(BeFalse(), "the quarantine ends by itself")
		Expect(quarantine()).To(Equal(10 * time.Minute))
		Expect(quarantine()).To(Equal(15 * time.Minute))
		t.RecordSuccess("w1", now)
		Expect(quarantine()).To(Equal(5 * time.Minute))
	})

	It("does not end a quarantine when a task that started before it succeeds", func() {
		t := health.New(health.Config{})
		recordFailures(t, failure{"a", "w1", 0}, failure{"b", "w1", 0}, failure{"c", "w1", 0})
		t.RecordSuccess("w1", minute(1))
		_, ok := t.QuarantineOf("w1", minute(1))
		Expect(ok).To(BeTrue())
	})

	It("counts an attempt once, so that records can be rebuilt from job rows", func() {
		t := health.New(health.Config{})
		failures := []failure{{"a", "w1", 0}, {"b", "w1", 1}, {"c", "w1", 2}}
		recordFailures(t, failures...)
		recordFailures(t, failures...)
		t.RecordFailure(health.Failure{Job: "d", Attempt: 9, Worker: "w1", At: minute(10)})
		_, ok := t.QuarantineOf("w1", minute(10))
		Expect(ok).To(BeFalse(), "only one job failed since the quarantine")
	})

	It("drops failures older than a day and those of a replaced worker", func() {
		t := health.New(health.Config{})
		recordFailures(t, failure{"a", "w1", 0}, failure{"a", "w2", 1}, failure{"b", "w3", 25 * 60})
		Expect(t.FailedWorkers("a")).To(BeEmpty())
		t.ForgetWorker("w3")
		Expect(t.FailedWorkers("b")).To(BeEmpty())
	})
})
