package jobs_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
)

var now = time.UnixMilli(1_700_000_000_000)

func placement(tasks int) planner.Placement {
	p := planner.Placement{Covered: true}
	for i := range tasks {
		p.Tasks = append(p.Tasks, api.TaskPlacement{Index: i, Worker: "w", Accelerators: []int{i}})
	}
	return p
}

var transitions = map[string]func(api.Job) (api.Job, error){
	"place":   func(j api.Job) (api.Job, error) { return jobs.Place(j, "z", placement(j.Spec.Tasks), now) },
	"run":     func(j api.Job) (api.Job, error) { return jobs.MarkRunning(j, now) },
	"preempt": func(j api.Job) (api.Job, error) { return jobs.BeginStop(j, jobs.StopPreempted, "", nil) },
	"end":     func(j api.Job) (api.Job, error) { return jobs.EndStop(j, jobs.Checkpoint{}, now) },
	"succeed": func(j api.Job) (api.Job, error) { return jobs.Succeed(j, now) },
	"refuse":  func(j api.Job) (api.Job, error) { return jobs.Refuse(j, "too large", now) },
	"cancel":  func(j api.Job) (api.Job, error) { return jobs.RequestCancel(j, now) },
}

// Guards against a transition from a state that does not allow it.
var _ = DescribeTable("transitions", func(transition string, next map[api.JobState]api.JobState) {
	for _, state := range []api.JobState{api.JobStateWaiting, api.JobStatePlaced, api.JobStateRunning, api.JobStateStopping,
		api.JobStateSucceeded, api.JobStateFailed, api.JobStateCancelled, api.JobStateRefused} {
		job, err := transitions[transition](api.Job{State: state, Spec: spec("k")})
		want, allowed := next[state]
		Expect(err == nil).To(Equal(allowed), "%s from %s", transition, state)
		if allowed {
			Expect(job.State).To(Equal(want), "%s from %s", transition, state)
			Expect(len(job.Placement) > 0 && jobs.Terminal(job.State)).To(BeFalse())
		}
	}
},
	Entry("place", "place", map[api.JobState]api.JobState{api.JobStateWaiting: api.JobStatePlaced}),
	Entry("run", "run", map[api.JobState]api.JobState{api.JobStatePlaced: api.JobStateRunning}),
	Entry("preempt", "preempt", map[api.JobState]api.JobState{api.JobStatePlaced: api.JobStateStopping, api.JobStateRunning: api.JobStateStopping}),
	Entry("end", "end", map[api.JobState]api.JobState{api.JobStateStopping: api.JobStateWaiting}),
	Entry("succeed", "succeed", map[api.JobState]api.JobState{api.JobStateRunning: api.JobStateSucceeded, api.JobStateStopping: api.JobStateSucceeded}),
	Entry("refuse", "refuse", map[api.JobState]api.JobState{api.JobStateWaiting: api.JobStateRefused}),
	Entry("cancel", "cancel", map[api.JobState]api.JobState{api.JobStateWaiting: api.JobStateCancelled, api.JobStatePlaced: api.JobStatePlaced,
		api.JobStateRunning: api.JobStateRunning, api.JobStateStopping: api.JobStateStopping}),
)

func taskFailures(workers ...string) []api.JobFailure {
	var out []api.JobFailure
	for _, w := range workers {
		out = append(out, jobs.TaskFailed(api.Job{}, w, "exit 1", now))
	}
	return out
}

// Guards against a job that is retried for ever, and against a job that fails for
// good because of the faults of its workers.
var _ = DescribeTable("end of a stop", func(job api.Job, want api.JobState) {
	job.State = api.JobStateStopping
	ended, err := jobs.EndStop(job, jobs.Checkpoint{}, now)
	Expect(err).NotTo(HaveOccurred())
	Expect(ended.State).To(Equal(want))
	Expect(ended.Placement).To(BeEmpty())
},
	Entry("preempted", api.Job{StopReason: jobs.StopPreempted, Placement: placement(2).Tasks}, api.JobStateWaiting),
	Entry("cancelled", api.Job{CancelRequested: true}, api.JobStateCancelled),
	Entry("failed three times on one worker", api.Job{Failures: taskFailures("a", "a", "a")}, api.JobStateWaiting),
	Entry("failed on three workers", api.Job{Failures: taskFailures("a", "b", "c")}, api.JobStateFailed),
	Entry("lost on three workers", api.Job{Failures: []api.JobFailure{jobs.TaskLost(api.Job{}, "a", "", now),
		jobs.TaskLost(api.Job{}, "b", "", now), jobs.TaskLost(api.Job{}, "c", "", now)}}, api.JobStateWaiting),
)

// Guards against a restart from a checkpoint older than the recorded one.
var _ = It("never goes back to an older checkpoint", func() {
	at := func(object string, ms int64) []api.TaskCheckpoint {
		return []api.TaskCheckpoint{{Object: object, ProgressMs: ms}}
	}
	job := api.Job{State: api.JobStateStopping, Checkpoints: at("new", 10), ProgressMs: 10}
	ended, err := jobs.EndStop(job, jobs.Checkpoint{Tasks: at("old", 5), ProgressMs: 5}, now)
	Expect(err).NotTo(HaveOccurred())
	Expect(ended.Checkpoints).To(Equal(at("new", 10)))
	ended, _ = jobs.EndStop(job, jobs.Checkpoint{Tasks: at("newer", 15), ProgressMs: 15}, now)
	Expect(ended.Checkpoints).To(Equal(at("newer", 15)))
	job.State = api.JobStateRunning
	running, err := jobs.RecordCheckpoint(job, jobs.Checkpoint{Tasks: at("old", 5), ProgressMs: 5}, now)
	Expect(err).NotTo(HaveOccurred())
	Expect(running.Checkpoints).To(Equal(at("new", 10)))
})

// Guards against task identifiers that cannot be traced to their job.
var _ = It("round-trips task identifiers", func() {
	id, attempt, index, ok := jobs.ParseTaskID(jobs.TaskID("j.1", 12, 3))
	Expect([]any{id, attempt, index, ok}).To(Equal([]any{"j.1", 12, 3, true}))
	for _, bad := range []string{"", "j", "j.1", ".1.2", "j.x.1"} {
		_, _, _, ok := jobs.ParseTaskID(bad)
		Expect(ok).To(BeFalse(), bad)
	}
})

// Guards against ended jobs that no planner deletes because no zone is
// responsible for them.
var _ = DescribeTable("home zone", func(job api.Job, want string) {
	Expect(jobs.HomeZone(job, testConfiguration().Head.Zones)).To(Equal(want))
},
	Entry("zone of the last placement", api.Job{Zone: "y", Spec: api.JobSpec{Zones: []string{"z"}}}, "y"),
	Entry("first allowed zone", api.Job{Spec: api.JobSpec{Zones: []string{"y", "z"}}}, "y"),
	Entry("last placement in a zone that no longer exists", api.Job{Zone: "x", Spec: api.JobSpec{Zones: []string{"x", "y"}}}, "y"),
	Entry("all zones allowed", api.Job{}, "z"),
)

// Guards against jobs that the catalogue does not allow.
var _ = DescribeTable("validation", func(change func(*api.JobSpec), organisation, want string) {
	s := spec("k")
	change(&s)
	reason := jobs.CheckSpec(s)
	if reason == "" {
		_, reason = jobs.Validate(testConfiguration(), organisation, s)
	}
	if want == "" {
		Expect(reason).To(BeEmpty())
		return
	}
	Expect(reason).To(ContainSubstring(want))
},
	Entry("valid", func(*api.JobSpec) {}, "org", ""),
	Entry("own team", func(s *api.JobSpec) { s.Team = "crew" }, "org", ""),
	Entry("no key", func(s *api.JobSpec) { s.Key = "" }, "org", "key must have"),
	Entry("no tasks", func(s *api.JobSpec) { s.Tasks = 0 }, "org", "tasks must be"),
	Entry("33 tasks", func(s *api.JobSpec) { s.Tasks = 33 }, "org", "tasks must be"),
	Entry("negative cores", func(s *api.JobSpec) { s.Resources.Cores = -1 }, "org", "negative"),
	Entry("unknown entry", func(s *api.JobSpec) { s.Entry = "x" }, "org", "not a job entry"),
	Entry("service entry", func(s *api.JobSpec) { s.Entry = "decode" }, "org", "not a job entry"),
	Entry("other organisation", func(*api.JobSpec) {}, "other", "may not use"),
	Entry("task limit", func(s *api.JobSpec) { s.Tasks = 9 }, "org", "limit of 8"),
	Entry("accelerator limit", func(s *api.JobSpec) { s.Resources.Accelerators = 9 }, "org", "limit of 16"),
	Entry("run time limit", func(s *api.JobSpec) { s.RunTimeS = 101 }, "org", "limit of 100"),
	Entry("unknown team", func(s *api.JobSpec) { s.Team = "x" }, "org", "does not belong"),
	Entry("team quota", func(s *api.JobSpec) { s.Team = "crew"; s.Tasks = 3; s.Resources.Accelerators = 4 }, "org", "quota of 8"),
	Entry("unknown zone", func(s *api.JobSpec) { s.Zones = []string{"x"} }, "org", "does not exist"),
)

// Guards against a job that stays covered by a guarantee after the reservation
// has moved to other workers.
var _ = It("demotes only a covered job that holds a placement", func() {
	job, err := jobs.Demote(api.Job{State: api.JobStateRunning, Covered: true})
	Expect(err).NotTo(HaveOccurred())
	Expect(job.Covered).To(BeFalse())
	_, err = jobs.Demote(api.Job{State: api.JobStateRunning})
	Expect(err).To(HaveOccurred())
	_, err = jobs.Demote(api.Job{State: api.JobStateWaiting, Covered: true})
	Expect(err).To(HaveOccurred())
})
