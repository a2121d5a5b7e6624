package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/lease"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// heldLease is a planner lease that is always held.
type heldLease struct{}

func (heldLease) Run(context.Context) error     { return nil }
func (heldLease) Release(context.Context) error { return nil }
func (heldLease) Status() lease.Status          { return lease.Status{Held: true, Epoch: 1} }

// recordingTracker quarantines the worker "bad" and records all calls.
type recordingTracker struct{ failed, succeeded []string }

func (r *recordingTracker) RecordFailure(worker, job, _ string, _ time.Time) {
	r.failed = append(r.failed, worker+" "+job)
}
func (r *recordingTracker) RecordSuccess(worker, job string, _ time.Time) {
	r.succeeded = append(r.succeeded, worker+" "+job)
}

func (r *recordingTracker) QuarantinedUntil(worker string, now time.Time) (time.Time, string) {
	if worker == "bad" {
		return now.Add(time.Minute), "several jobs failed"
	}
	return time.Time{}, ""
}

func newControl() (*Control, *jobs.Follower, *recordingTracker) {
	follower, tracker := jobs.NewFollower(jobs.FollowerConfig{}), &recordingTracker{}
	c := New(Config{Zone: "z", Lease: heldLease{}, Follower: follower, Health: tracker})
	c.followLease(time.Now())
	return c, follower, tracker
}

func endedTask(exit api.TaskExit, reason string) api.TaskReport {
	return api.TaskReport{State: api.TaskStateEnded, Exit: exit, Reason: reason}
}

// Guards against a gang that keeps running without a member, and against a failure
// that names a member whose lease expired because of another member.
var _ = DescribeTable("ends of tasks", func(state api.JobState, tasks map[int]api.TaskReport, want api.JobState, failedWorker string) {
	job := api.Job{ID: "j", State: state, Attempt: 1, Spec: api.JobSpec{Tasks: 2}}
	ends := map[int]taskEnd{}
	for i, t := range tasks {
		ends[i] = taskEnd{1, []string{"w0", "w1"}[i], t}
	}
	f := transitionFor(job, ends, time.Now())
	if want == "" {
		Expect(f).To(BeNil())
		return
	}
	changed, err := f(job)
	Expect(err).NotTo(HaveOccurred())
	Expect(changed.State).To(Equal(want))
	if failedWorker != "" {
		Expect(changed.Failures[0].Worker).To(Equal(failedWorker))
	}
},
	Entry("one succeeded", api.JobStateRunning, map[int]api.TaskReport{0: endedTask(api.TaskExitSucceeded, "")}, api.JobState(""), ""),
	Entry("all succeeded", api.JobStateRunning, map[int]api.TaskReport{0: endedTask(api.TaskExitSucceeded, ""), 1: endedTask(api.TaskExitSucceeded, "")}, api.JobStateSucceeded, ""),
	Entry("all succeeded before the row says running", api.JobStatePlaced, map[int]api.TaskReport{0: endedTask(api.TaskExitSucceeded, ""), 1: endedTask(api.TaskExitSucceeded, "")}, api.JobState(""), ""),
	Entry("one failed", api.JobStateRunning, map[int]api.TaskReport{1: endedTask(api.TaskExitFailed, "")}, api.JobStateStopping, "w1"),
	Entry("one failed, one expired", api.JobStateRunning, map[int]api.TaskReport{0: endedTask(api.TaskExitLeaseLapsed, ""), 1: endedTask(api.TaskExitFailed, "")}, api.JobStateStopping, "w1"),
	Entry("one silent, one expired", api.JobStateRunning, map[int]api.TaskReport{0: endedTask(api.TaskExitLeaseLapsed, ""), 1: endedTask(api.TaskExitLeaseLapsed, jobs.ReasonNoAnswer)}, api.JobStateStopping, "w1"),
	Entry("one succeeded, one failed", api.JobStateRunning, map[int]api.TaskReport{0: endedTask(api.TaskExitSucceeded, ""), 1: endedTask(api.TaskExitFailed, "")}, api.JobStateStopping, "w1"),
)

// Guards against a late update for an earlier attempt that ends the current one.
var _ = It("ignores ends of earlier attempts and of other zones", func() {
	c, follower, _ := newControl()
	follower.Observe(api.Job{ID: "j", Zone: "z", State: api.JobStateRunning, Attempt: 2, Spec: api.JobSpec{Tasks: 1}}, 1)
	follower.Observe(api.Job{ID: "k", Zone: "y", State: api.JobStateRunning, Attempt: 1, Spec: api.JobSpec{Tasks: 1}}, 2)
	for _, id := range []string{"j.1.0", "k.1.0", "x.1.0", "nonsense"} {
		t := endedTask(api.TaskExitFailed, "")
		t.TaskID = id
		c.recordEnds("w", []api.TaskReport{t})
	}
	Expect(c.taskEnds).To(BeEmpty())
})

// Guards against placements on workers that are not known to be healthy.
var _ = DescribeTable("state of a worker", func(w worker, want planner.WorkerState) {
	c, _, _ := newControl()
	Expect(c.plannerWorker(&w, time.Now()).State).To(Equal(want))
},
	Entry("reported", worker{report: &api.WorkerReport{}}, planner.WorkerLive),
	Entry("not reported yet", worker{}, planner.WorkerSilent),
	Entry("one failed report", worker{report: &api.WorkerReport{}, failures: 1}, planner.WorkerLive),
	Entry("two failed reports", worker{report: &api.WorkerReport{}, failures: 2}, planner.WorkerSilent),
	Entry("leaving", worker{report: &api.WorkerReport{}, vm: api.VM{State: api.Leaving}}, planner.WorkerLeaving),
	Entry("quarantined", worker{report: &api.WorkerReport{}, vm: api.VM{ID: "bad"}}, planner.WorkerQuarantined),
)

// Guards against quotas that count only one zone, and against plans for jobs of
// other zones.
var _ = It("gives the planner the jobs of the zone and the usage elsewhere", func() {
	c, follower, _ := newControl()
	placement := []api.TaskPlacement{{Worker: "w"}, {Worker: "w", Index: 1}}
	specOfTwo := api.JobSpec{Team: "crew", Resources: api.Resources{Accelerators: 2}}
	for i, job := range []api.Job{
		{ID: "waiting", State: api.JobStateWaiting},
		{ID: "cancelled", State: api.JobStateWaiting, CancelRequested: true},
		{ID: "elsewhere only", State: api.JobStateWaiting, Spec: api.JobSpec{Zones: []string{"y"}}},
		{ID: "here", State: api.JobStateStopping, Zone: "z", Placement: placement},
		{ID: "there", State: api.JobStateRunning, Zone: "y", Organisation: "org", Spec: specOfTwo, Placement: placement},
		{ID: "over", State: api.JobStateFailed, Zone: "z"},
	} {
		follower.Observe(job, int64(i+1))
	}
	s := c.snapshot(time.Now(), api.Configuration{Head: api.ConfigurationHead{Zones: []api.Zone{{Name: "z", State: api.In}}}})
	Expect(s.Jobs).To(ConsistOf(HaveField("ID", "waiting"), HaveField("ID", "here")))
	Expect(s.TeamUsageElsewhere).To(Equal(map[string]int{"crew": 4}))
	Expect(s.OrganisationUsageElsewhere).To(Equal(map[string]int{"org": 4}))
	Expect(s.ZoneState).To(Equal(api.In))
	Expect(zoneState(nil, "z")).To(Equal(api.Out))
})

// Guards against a quarantine that counts a failure twice or loses it at a takeover.
var _ = It("passes each failure in the rows to the health tracker once", func() {
	c, follower, tracker := newControl()
	job := api.Job{ID: "j", Zone: "z", State: api.JobStateWaiting, Failures: []api.JobFailure{
		jobs.TaskFailed(api.Job{}, "w1", "", time.UnixMilli(1)), jobs.TaskLost(api.Job{}, "w2", "", time.UnixMilli(2)),
		jobs.NotStarted(api.Job{}, "w3", "", time.UnixMilli(3)), jobs.NotStarted(api.Job{}, "", "", time.UnixMilli(4))}}
	follower.Observe(job, 1)
	c.recordFailures()
	c.recordFailures()
	Expect(tracker.failed).To(Equal([]string{"w1 j", "w3 j"}))
})

// Guards against stopping a task whose job ended while the report was in flight.
var _ = It("stops an orphaned task only at its second report", func() {
	c, _, _ := newControl()
	stopped := make(chan []string, 1)
	c.cfg.StopOrphans = func(_ context.Context, _ string, tasks []string) { stopped <- tasks }
	w := &worker{vm: api.VM{ID: "w"}}
	report := api.WorkerReport{Accelerators: 2, Tasks: []api.TaskReport{{TaskID: "x.1.0", State: api.TaskStateRunning, Accelerators: []int{1}}}}
	c.handleReport(context.Background(), w, report)
	Expect(c.plannerWorker(w, time.Now()).Orphans).To(HaveLen(1))
	Consistently(stopped, 50*time.Millisecond).ShouldNot(Receive())
	c.handleReport(context.Background(), w, report)
	Eventually(stopped).Should(Receive(Equal([]string{"x.1.0"})))
	c.group.Wait()
})
