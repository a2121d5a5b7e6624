package jobs_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/table"
)

func visibleToAll(api.Job) bool { return true }

// firstCommits returns a commitFault that affects the first n commits.
func firstCommits(n int, status table.CommitStatus, applied bool) func(int) (table.CommitStatus, bool) {
	return func(i int) (table.CommitStatus, bool) {
		if i <= n {
			return status, applied
		}
		return 0, true
	}
}

// Guards against a submission that is stored but reported as not run, or lost
// but reported as accepted.
var _ = DescribeTable("submission with a failing store",
	func(fault func(int) (table.CommitStatus, bool), readErr error, want jobs.SubmitStatus, stored bool) {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		d.store.update(func(m *memoryStore) { m.commitFault, m.readErr = fault, readErr })
		result := d.service.Submit(withTimeout(700*time.Millisecond), "org", spec("k"))
		Expect(result.Status).To(Equal(want))
		d.store.update(func(m *memoryStore) { Expect(m.rows).To(HaveLen(map[bool]int{true: 1}[stored])) })
	},
	Entry("healthy", nil, nil, jobs.Accepted, true),
	Entry("down", firstCommits(1000, table.Unavailable, false), errStoreDown, jobs.NotRun, false),
	Entry("down for a moment", firstCommits(2, table.Unavailable, false), nil, jobs.Accepted, true),
	Entry("answer lost after the write", firstCommits(1, table.Unknown, true), nil, jobs.Accepted, true),
	Entry("answer lost before the write", firstCommits(1, table.Unknown, false), nil, jobs.Accepted, true),
	Entry("all answers lost after the write, reads down", firstCommits(1000, table.Unknown, true), errStoreDown, jobs.Unknown, true),
	Entry("all answers lost before the write", firstCommits(1000, table.Unknown, false), nil, jobs.Unknown, false),
	Entry("answer lost and then unavailable", func(n int) (table.CommitStatus, bool) {
		if n == 1 {
			return table.Unknown, false
		}
		return table.Unavailable, false
	}, nil, jobs.Unknown, false),
)

var _ = Describe("Submit", func() {
	// Guards against an outcome that is unknown only because the caller's deadline
	// passed while another attempt was in flight to a store that refuses all commits.
	It("reports not run while the store refuses all commits slowly", func() {
		const answerTime, between, callers = 60 * time.Millisecond, 20 * time.Millisecond, 8
		statuses := make([]jobs.SubmitStatus, callers)
		var group sync.WaitGroup
		for i := range callers {
			d := newTestDaemon(newMemoryStore(), rate.Inf)
			d.store.update(func(m *memoryStore) {
				m.commitFault = func(int) (table.CommitStatus, bool) {
					time.Sleep(answerTime)
					return table.Unavailable, false
				}
			})
			group.Go(func() {
				statuses[i] = d.service.Submit(withTimeout(600*time.Millisecond+time.Duration(i)*between), "org", spec("k")).Status
			})
		}
		group.Wait()
		Expect(statuses).To(HaveEach(jobs.NotRun))
	})

	It("finds the same job by key, on every daemon", func() {
		store := newMemoryStore()
		a, b := newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf)
		Expect(a.service.Submit(withTimeout(time.Second), "org", spec("k")).Status).To(Equal(jobs.Accepted))
		again := b.service.Submit(withTimeout(time.Second), "org", spec("k"))
		Expect(again.Status).To(Equal(jobs.Existing))
		Expect(again.Job.ID).To(Equal(jobs.ID("org", "k")))
		other := spec("k")
		other.Name = "another body"
		Expect(b.service.Submit(withTimeout(time.Second), "org", other).Status).To(Equal(jobs.DifferentBody))
	})

	// Guards against "not run" for a job that is already stored, when the catalogue
	// has changed since.
	It("does not refuse what was accepted under an earlier catalogue", func() {
		store := newMemoryStore()
		a, b := newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf)
		Expect(a.service.Submit(withTimeout(time.Second), "org", spec("k")).Status).To(Equal(jobs.Accepted))
		changed := testConfiguration()
		changed.Catalogue.Entries = nil
		service := jobs.NewService(jobs.ServiceConfig{Writer: b.writer, Follower: b.follower, View: fixedView{changed}})
		Expect(service.Submit(withTimeout(time.Second), "org", spec("k")).Status).To(Equal(jobs.Existing))
		Expect(service.Submit(withTimeout(time.Second), "org", spec("new")).Status).To(Equal(jobs.Refused))
	})

	// Guards against two daemons that both accept one key.
	It("accepts a key once when daemons race", func() {
		store := newMemoryStore()
		daemons := []*testDaemon{newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf)}
		statuses := make([]jobs.SubmitStatus, len(daemons))
		var group sync.WaitGroup
		for i, d := range daemons {
			group.Go(func() { statuses[i] = d.service.Submit(withTimeout(time.Second), "org", spec("k")).Status })
		}
		group.Wait()
		Expect(statuses).To(ConsistOf(jobs.Accepted, jobs.Existing, jobs.Existing))
	})
})

// storeJobs writes job rows directly, without a submission.
func storeJobs(d *testDaemon, list ...api.Job) {
	for _, job := range list {
		Expect(d.writer.Apply(withTimeout(time.Second), jobs.Change{Job: job})[0].Status).To(Equal(jobs.Committed))
	}
}

func runningJob(id string) api.Job {
	return api.Job{ID: id, State: api.JobStateRunning, Zone: "z", Attempt: 1, Spec: spec(id), Placement: placement(2).Tasks}
}

var _ = Describe("Cancel", func() {
	It("retries a conflict with another writer", func() {
		store := newMemoryStore()
		a, b := newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf)
		storeJobs(a, runningJob("j"))
		Eventually(func() *jobs.Row { return b.follower.Get("j") }).ShouldNot(BeNil())
		row := a.follower.Get("j")
		changed := row.Job
		changed.Reason = "changed"
		Expect(a.writer.Apply(withTimeout(time.Second), jobs.Change{Job: changed, Version: row.Version})[0].Status).To(Equal(jobs.Committed))
		result := b.service.Cancel(withTimeout(time.Second), "j", visibleToAll)
		Expect(result.Status).To(Equal(jobs.CancelAccepted))
		Expect(result.Job.Reason).To(Equal("changed"))
		Expect(result.Job.CancelRequested).To(BeTrue())
	})

	It("hides jobs of other organisations", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		storeJobs(d, runningJob("j"))
		none := func(api.Job) bool { return false }
		Expect(d.service.Cancel(withTimeout(time.Second), "j", none).Status).To(Equal(jobs.CancelNotFound))
		Expect(d.service.Cancel(withTimeout(time.Second), "missing", visibleToAll).Status).To(Equal(jobs.CancelNotFound))
	})

	// Guards against a burst of cancellations that uses up the write limit of the store.
	It("stays within the write limit for 200 jobs", func() {
		const limit, count = 20, 200
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		for i := range count {
			storeJobs(d, runningJob(fmt.Sprintf("j%03d", i)))
		}
		limited := newTestDaemon(d.store, limit)
		Eventually(func() int { return len(limited.follower.Rows()) }).Should(Equal(count))
		before, began := d.store.commitCount(), time.Now()
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() {
				defer GinkgoRecover()
				Expect(limited.service.Cancel(withTimeout(5*time.Second), fmt.Sprintf("j%03d", i), visibleToAll).Status).To(Equal(jobs.CancelAccepted))
			})
		}
		group.Wait()
		commits, elapsed := d.store.commitCount()-before, time.Since(began)
		GinkgoWriter.Printf("200 cancellations: %d commits in %s\n", commits, elapsed)
		Expect(float64(commits)).To(BeNumerically("<=", 1+limit*elapsed.Seconds()))
		applier := jobs.NewApplier(jobs.ApplierConfig{Zone: "z", Writer: limited.writer, Follower: limited.follower})
		before, began = d.store.commitCount(), time.Now()
		Expect(applier.Housekeep(withTimeout(5*time.Second), api.In, nil).Committed).To(Equal(count))
		commits, elapsed = d.store.commitCount()-before, time.Since(began)
		GinkgoWriter.Printf("200 stops: %d commits in %s\n", commits, elapsed)
		Expect(float64(commits)).To(BeNumerically("<=", 1+limit*elapsed.Seconds()))
	})
})

var _ = Describe("Writer", func() {
	It("splits a group in which one row has changed", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		storeJobs(d, runningJob("a"), runningJob("b"))
		var group []jobs.Change
		for _, row := range d.follower.Rows() {
			group = append(group, jobs.Change{Job: row.Job, Version: row.Version})
		}
		group[0].Version--
		results := d.writer.Apply(withTimeout(time.Second), group...)
		Expect(results[0].Status).To(Equal(jobs.Stale))
		Expect(results[1].Status).To(Equal(jobs.Committed))
	})

	// Guards against a paused planner whose commit arrives after a takeover.
	It("refuses fenced changes when the fence row has changed, and no others", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		Expect(d.store.Commit(withTimeout(time.Second), nil, []table.Write{{Key: "planner/z/fence"}}).Status).To(Equal(table.Committed))
		results := d.writer.Apply(withTimeout(time.Second), jobs.Change{Job: runningJob("a"), Fenced: true}, jobs.Change{Job: runningJob("b")})
		Expect(results[0].Status).To(Equal(jobs.Fenced))
		Expect(results[1].Status).To(Equal(jobs.Committed))
	})

	It("resolves lost answers of fenced groups", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		d.store.update(func(m *memoryStore) { m.commitFault = firstCommits(1, table.Unknown, true) })
		results := d.writer.Apply(withTimeout(2*time.Second), jobs.Change{Job: runningJob("a"), Fenced: true}, jobs.Change{Job: runningJob("b"), Fenced: true})
		Expect(results[0].Status).To(Equal(jobs.Committed))
		Expect(results[1].Status).To(Equal(jobs.Committed))
		Expect(d.follower.Get("b").Version).To(Equal(results[1].Version))
	})

	It("reports a change that never left the queue as not written", func() {
		d := newTestDaemon(newMemoryStore(), rate.Every(time.Hour))
		storeJobs(d, runningJob("a"))
		Expect(d.writer.Apply(withTimeout(50*time.Millisecond), jobs.Change{Job: runningJob("b")})[0].Status).To(Equal(jobs.NotWritten))
	})
})

var _ = Describe("Applier", func() {
	workers := []planner.Worker{{ID: "w", State: planner.WorkerLive, Cores: 8, Accelerators: 4}, {ID: "s", State: planner.WorkerSilent, Cores: 8, Accelerators: 4}}
	place := func(id, worker string, accelerators ...int) planner.Placement {
		p := planner.Placement{JobID: id}
		for i, a := range accelerators {
			p.Tasks = append(p.Tasks, api.TaskPlacement{Index: i, Worker: worker, Accelerators: []int{a}})
		}
		return p
	}

	// Guards against applying a plan that was computed from outdated rows.
	DescribeTable("checks a plan against the rows", func(change func(*api.Job), p planner.Placement, want int) {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		job := api.Job{ID: "j", State: api.JobStateWaiting, Spec: spec("j")}
		change(&job)
		storeJobs(d, job, runningJob("held"))
		applier := jobs.NewApplier(jobs.ApplierConfig{Zone: "z", Writer: d.writer, Follower: d.follower})
		applied := applier.Apply(withTimeout(time.Second), planner.Plan{Placements: []planner.Placement{p}}, workers, nil)
		Expect(applied.Committed).To(Equal(want))
		Expect(applied.Dropped).To(Equal(1 - want))
	},
		Entry("valid", func(*api.Job) {}, place("j", "w", 2, 3), 1),
		Entry("already placed", func(j *api.Job) { j.State = api.JobStatePlaced; j.Zone = "y" }, place("j", "w", 2, 3), 0),
		Entry("cancelled", func(j *api.Job) { j.CancelRequested = true }, place("j", "w", 2, 3), 0),
		Entry("other zone", func(j *api.Job) { j.Spec.Zones = []string{"y"} }, place("j", "w", 2, 3), 0),
		Entry("unknown job", func(*api.Job) {}, place("x", "w", 2, 3), 0),
		Entry("accelerator held by a row", func(*api.Job) {}, place("j", "w", 1, 2), 0),
		Entry("accelerator listed twice", func(*api.Job) {}, place("j", "w", 2, 2), 0),
		Entry("accelerator that does not exist", func(*api.Job) {}, place("j", "w", 3, 4), 0),
		Entry("silent worker", func(*api.Job) {}, place("j", "s", 0, 1), 0),
		Entry("placement of part of a gang", func(*api.Job) {}, place("j", "w", 2), 0),
		Entry("too few cores", func(j *api.Job) { j.Spec.Resources.Cores = 4 }, place("j", "w", 2, 3), 0),
	)

	// Guards against a job that runs in two zones.
	It("lets only one of two planners place a job", func() {
		store := newMemoryStore()
		a, b := newTestDaemon(store, rate.Inf), newTestDaemon(store, rate.Inf)
		b.fence = func() (table.Condition, bool) { return table.Condition{Key: "planner/y/fence"}, true }
		storeJobs(a, api.Job{ID: "j", State: api.JobStateWaiting, Spec: spec("j")})
		Eventually(func() *jobs.Row { return b.follower.Get("j") }).ShouldNot(BeNil())
		plan := planner.Plan{Placements: []planner.Placement{place("j", "w", 2, 3)}}
		results := make([]jobs.ApplyResult, 2)
		var group sync.WaitGroup
		for i, d := range []*testDaemon{a, b} {
			group.Go(func() {
				applier := jobs.NewApplier(jobs.ApplierConfig{Zone: []string{"z", "y"}[i], Writer: d.writer, Follower: d.follower})
				results[i] = applier.Apply(withTimeout(time.Second), plan, workers, nil)
			})
		}
		group.Wait()
		Expect(results[0].Committed + results[1].Committed).To(Equal(1))
		Expect(results[0].Dropped + results[1].Dropped).To(Equal(1))
	})

	// Guards against accelerators that are given to a second job while a commit of
	// unknown outcome may still give them to the first.
	It("keeps accelerators reserved for a placement of unknown outcome", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		storeJobs(d, api.Job{ID: "a", State: api.JobStateWaiting, Spec: spec("a")}, api.Job{ID: "b", State: api.JobStateWaiting, Spec: spec("b")})
		applier := jobs.NewApplier(jobs.ApplierConfig{Zone: "z", Writer: d.writer, Follower: d.follower})
		d.store.update(func(m *memoryStore) { m.commitFault = firstCommits(1000000, table.Unknown, false) })
		applied := applier.Apply(withTimeout(200*time.Millisecond), planner.Plan{Placements: []planner.Placement{place("a", "w", 2, 3)}}, workers, nil)
		Expect(applied.Failed).To(Equal(1))
		applied = applier.Apply(withTimeout(200*time.Millisecond), planner.Plan{Placements: []planner.Placement{place("b", "w", 2, 3)}}, workers, nil)
		Expect(applied).To(Equal(jobs.ApplyResult{Dropped: 1}))
		d.store.update(func(m *memoryStore) { m.commitFault = nil })
		Eventually(func() api.JobState {
			applier.Apply(withTimeout(time.Second), planner.Plan{Placements: []planner.Placement{place("b", "w", 2, 3)}}, workers, nil)
			return d.follower.Get("a").Job.State
		}).Should(Equal(api.JobStatePlaced))
		Expect(d.follower.Get("b").Job.State).To(Equal(api.JobStateWaiting))
	})

	It("deletes ended jobs after the retention time only", func() {
		d := newTestDaemon(newMemoryStore(), rate.Inf)
		old := api.Job{ID: "old", Zone: "z", State: api.JobStateSucceeded, EndedMs: time.Now().Add(-jobs.Retention - time.Minute).UnixMilli()}
		recent := api.Job{ID: "recent", Zone: "z", State: api.JobStateSucceeded, EndedMs: time.Now().UnixMilli()}
		storeJobs(d, old, recent)
		applier := jobs.NewApplier(jobs.ApplierConfig{Zone: "z", Writer: d.writer, Follower: d.follower})
		zones := testConfiguration().Head.Zones
		Expect(applier.Housekeep(withTimeout(time.Second), api.In, zones).Committed).To(Equal(1))
		Expect(d.follower.Rows()).To(HaveLen(1))
		Expect(applier.Housekeep(withTimeout(time.Second), api.Out, zones).Committed).To(BeZero())
	})
})
