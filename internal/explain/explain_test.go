package explain_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/explain"
	"github.com/samphirepath/samphirepath/internal/planner"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var now = time.UnixMilli(1_700_000_000_000)

func job(state api.JobState, change func(*api.Job)) api.Job {
	j := api.Job{ID: "j1", Organisation: "crew", Class: "refit", Urgency: api.Standard, Adjacency: api.AdjacencyRack, Zone: "kiruna", State: state,
		Spec:        api.JobSpec{Name: "refit-7", Tasks: 2, RunTimeS: 7200, Resources: api.Resources{Cores: 4, Accelerators: 8}},
		SubmittedMs: now.Add(-90 * time.Minute).UnixMilli(), PlacedMs: now.Add(-time.Hour).UnixMilli(),
		Placement: []api.TaskPlacement{{Worker: "w1", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}, {Index: 1, Worker: "w2", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}}}
	if state == api.JobStateWaiting {
		j.Placement = nil
	}
	if change != nil {
		change(&j)
	}
	return j
}

func snapshot(jobs ...api.Job) planner.Snapshot {
	return planner.Snapshot{Now: now, Zone: "kiruna", ZoneState: api.In, Jobs: jobs}
}

var _ = Describe("Job", func() {
	DescribeTable("describes a job by its state", func(j api.Job, reason string, want ...string) {
		e := explain.Job(j, snapshot(j), reason)
		Expect(e.Subject).To(Equal("j1"))
		Expect(e.Kind).To(Equal("job"))
		Expect(e.Sentences[0]).To(Equal("Job refit-7 of crew asks for 2 tasks with 8 accelerators each on one rack (class refit)."))
		Expect(e.Sentences[1:]).To(Equal(want))
	},
		Entry("waiting with the reason of the plan", job(api.JobStateWaiting, nil), "Needs more.",
			"It has waited for 1 hour 30 minutes.", "Needs more."),
		Entry("waiting with the reason of the row", job(api.JobStateWaiting, func(j *api.Job) { j.Reason = "ödebygd is full" }), "",
			"It has waited for 1 hour 30 minutes.", "Ödebygd is full."),
		Entry("waiting before the first plan", job(api.JobStateWaiting, nil), "",
			"It has waited for 1 hour 30 minutes.", "No plan has looked at it yet; the next one does so in less than a second."),
		Entry("waiting after preemptions and failures", job(api.JobStateWaiting, func(j *api.Job) {
			j.Preemptions, j.ProgressMs = 2, 40*60*1000
			j.Failures = []api.JobFailure{{Worker: "w9", Reason: "exit 1"}}
		}), "Needs more.",
			"It has waited for 1 hour 30 minutes.", "Needs more.", "It was stopped twice to make room for others.",
			"Its newest checkpoint keeps 40 minutes of work.", "It failed once; the last time on w9: exit 1."),
		Entry("placed", job(api.JobStatePlaced, func(j *api.Job) { j.Covered = true }), "",
			"Its places on workers w1 and w2 are reserved, and it is about to start.",
			"This is inside the guarantee of crew, so nobody else can take the place."),
		Entry("running on borrowed places", job(api.JobStateRunning, nil), "",
			"It has run for 1 hour in zone kiruna on workers w1 and w2.",
			"The place is borrowed: the job is checkpointed and stopped if an organisation needs its guaranteed capacity or urgent work comes.",
			"By its declared run time it ends in 1 hour."),
		Entry("running past its declared time", job(api.JobStateRunning, func(j *api.Job) { j.Covered, j.Spec.RunTimeS = true, 600 }), "",
			"It has run for 1 hour in zone kiruna on workers w1 and w2.",
			"This is inside the guarantee of crew, so nobody else can take the place.", "It is 50 minutes past its declared run time."),
		Entry("stopping", job(api.JobStateStopping, func(j *api.Job) { j.StopReason = "zone_out" }), "",
			"It is being stopped on workers w1 and w2 because zone kiruna has been taken out of service; it continues later from its checkpoint."),
		Entry("succeeded", job(api.JobStateSucceeded, func(j *api.Job) { j.StartedMs, j.EndedMs = 1000, 61_000 }), "",
			"It ended well 1 minute after its start; it ran in zone kiruna on workers w1 and w2."),
		Entry("failed", job(api.JobStateFailed, func(j *api.Job) { j.Placement = nil }), "",
			"It failed; it ran in zone kiruna: no reason was recorded."),
		Entry("cancelled", job(api.JobStateCancelled, func(j *api.Job) { j.Placement, j.Zone = nil, "" }), "", "It was cancelled."),
		Entry("refused", job(api.JobStateRefused, func(j *api.Job) { j.Reason = "over quota" }), "",
			"It was refused and has not been run to its end: over quota."))

	It("counts the waiting jobs that precede the job", func() {
		j := job(api.JobStateWaiting, nil)
		urgent, older, younger := j, j, j
		urgent.ID, urgent.Urgency = "j2", api.Urgent
		older.ID, older.SubmittedMs = "j3", j.SubmittedMs-1
		younger.ID, younger.SubmittedMs = "j4", j.SubmittedMs+1
		e := explain.Job(j, snapshot(j, urgent, older, younger), "Needs more.")
		Expect(e.Sentences).To(ContainElement("Zone kiruna has 2 other waiting jobs that are more urgent or older."))
	})
})

var _ = Describe("Organisation", func() {
	guaranteed := api.Organisation{Name: "crew", QuotaAccelerators: 40, Guarantees: []api.Shape{{Zone: "kiruna", Tasks: 1, Adjacency: api.AdjacencyWorker,
		Resources: api.Resources{Accelerators: 8}}}}
	catalogue := api.Catalogue{Organisations: []api.Organisation{guaranteed, {Name: "county"}}}
	reserved := planner.Plan{Reservations: []planner.Reservation{{Organisation: "crew", Tasks: []api.TaskPlacement{{Worker: "w1", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}}}}}

	DescribeTable("describes the guarantees and usage of an organisation", func(name string, change func(*planner.Snapshot, *planner.Plan), want ...string) {
		borrower := job(api.JobStateRunning, func(j *api.Job) { j.Organisation = "county" })
		s, p := snapshot(borrower, job(api.JobStateWaiting, nil)), reserved
		s.Catalogue, s.OrganisationUsageElsewhere = catalogue, map[string]int{"crew": 4}
		if change != nil {
			change(&s, &p)
		}
		Expect(explain.Organisation(name, s, p).Sentences).To(Equal(want))
	},
		Entry("unknown", "nobody", nil, "The catalogue has no organisation nobody."),
		Entry("with a guarantee that others use", "crew", nil,
			"crew is guaranteed 1 task with 8 accelerators on one worker in zone kiruna.", "The guaranteed place is now on worker w1.",
			"It holds 0 accelerators with 0 jobs: 0 inside its guarantee and 0 borrowed.", "1 job waits for a place.",
			"Its quota is 40 accelerators in all zones together, and it holds 4 of them.",
			"Others borrow 8 accelerators of the guaranteed place: refit-7 of county (8); they are checkpointed and stopped within seconds when crew needs it."),
		Entry("without a guarantee", "county", nil,
			"county has no guarantee in zone kiruna; its jobs there use what others leave free.",
			"It holds 16 accelerators with 1 job: 0 inside its guarantee and 16 borrowed."),
		Entry("with a shortfall", "crew", func(s *planner.Snapshot, p *planner.Plan) {
			s.Jobs = nil
			*p = planner.Plan{Shortfalls: []planner.Shortfall{{Organisation: "crew", Reason: "the guarantee is short by 1 task"}}}
		},
			"crew is guaranteed 1 task with 8 accelerators on one worker in zone kiruna.", "The guarantee is short by 1 task.",
			"It holds 0 accelerators with 0 jobs: 0 inside its guarantee and 0 borrowed.",
			"Its quota is 40 accelerators in all zones together, and it holds 4 of them."),
		Entry("in a zone out of service", "county", func(s *planner.Snapshot, _ *planner.Plan) { s.ZoneState, s.Jobs = api.Out, nil },
			"county has no guarantee in zone kiruna; its jobs there use what others leave free.",
			"Zone kiruna is out of service, so nothing runs there until operators bring it back.",
			"It holds 0 accelerators with 0 jobs: 0 inside its guarantee and 0 borrowed."))
})

var _ = Describe("Request", func() {
	DescribeTable("describes the outcome of a request", func(r api.RequestResult, want string) {
		r.Key = "k1"
		Expect(strings.Join(explain.Request("plans", r).Sentences, " ")).To(Equal(want))
	},
		Entry("ran", api.RequestResult{Outcome: api.OutcomeRan, Minion: "m3", Status: 200, DurationMs: 120, Attempts: 2},
			"Request k1 to plans ran on minion m3 in 120 ms, with status 200. It was sent twice before it got this answer."),
		Entry("not run", api.RequestResult{Outcome: api.OutcomeNotRun, Reason: "queue is full"},
			"Request k1 to plans was not run, and no part of it reached a minion; it is safe to send it again. Queue is full."),
		Entry("failed", api.RequestResult{Outcome: api.OutcomeFailed, Minion: "m3", Reason: "status 500."},
			"Request k1 to plans ran on minion m3 and failed. Status 500."),
		Entry("unknown", api.RequestResult{Outcome: api.OutcomeUnknown},
			"Request k1 to plans was sent, but the answer was lost; whether it ran is unknown, so it is not sent again by itself."),
		Entry("in progress", api.RequestResult{InProgress: true},
			"Request k1 to plans has been taken on and has no answer yet; it is not sent a second time."))
})
