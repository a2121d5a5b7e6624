package planner_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

var now = time.UnixMilli(1_700_000_000_000)

// zoneWorkers returns n live workers with 64 cores and 8 accelerators, perRack to a rack.
func zoneWorkers(n, perRack int) []planner.Worker {
	out := make([]planner.Worker, n)
	for i := range out {
		out[i] = planner.Worker{
			ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/perRack), State: planner.WorkerLive,
			Cores: 64, MemoryMB: 128 << 10, Accelerators: 8, AcceleratorModel: "a1",
		}
	}
	return out
}

func shape(tasks, accelerators int, adjacency api.Adjacency) api.Shape {
	return api.Shape{Zone: "kiruna", Tasks: tasks, Adjacency: adjacency,
		Resources: api.Resources{Cores: 8 * accelerators, MemoryMb: 1024, Accelerators: accelerators}}
}

func organisation(name string, shapes ...api.Shape) api.Organisation {
	return api.Organisation{Name: name, Guarantees: shapes}
}

type option func(*api.Job)

func job(id, org string, tasks, accelerators int, options ...option) api.Job {
	j := api.Job{
		ID: id, Organisation: org, Urgency: api.Batch, Adjacency: api.AdjacencyZone, State: api.JobStateWaiting,
		SubmittedMs: now.Add(-time.Second).UnixMilli(),
		Spec: api.JobSpec{Name: id, Tasks: tasks, RunTimeS: 3600,
			Resources: api.Resources{Cores: accelerators, MemoryMb: 1024, Accelerators: accelerators}},
	}
	for _, o := range options {
		o(&j)
	}
	return j
}

func urgency(u api.Urgency) option     { return func(j *api.Job) { j.Urgency = u } }
func adjacency(a api.Adjacency) option { return func(j *api.Job) { j.Adjacency = a } }
func waitingFor(d time.Duration) option {
	return func(j *api.Job) { j.SubmittedMs = now.Add(-d).UnixMilli() }
}
func team(name string) option         { return func(j *api.Job) { j.Spec.Team = name } }
func allowedZones(z ...string) option { return func(j *api.Job) { j.Spec.Zones = z } }
func declared(d time.Duration) option {
	return func(j *api.Job) { j.Spec.RunTimeS = int64(d / time.Second) }
}

func running(covered bool, age time.Duration, tasks ...api.TaskPlacement) option {
	return func(j *api.Job) {
		j.State, j.Covered, j.Placement, j.Attempt = api.JobStateRunning, covered, tasks, 1
		j.PlacedMs = now.Add(-age).UnixMilli()
	}
}

func at(worker int, accelerators ...int) api.TaskPlacement {
	return api.TaskPlacement{Worker: fmt.Sprintf("w%02d", worker), Accelerators: accelerators}
}

func wholeWorker(worker int) api.TaskPlacement { return at(worker, 0, 1, 2, 3, 4, 5, 6, 7) }

func snapshot(workers []planner.Worker, orgs []api.Organisation, jobs ...api.Job) planner.Snapshot {
	return planner.Snapshot{Now: now, Zone: "kiruna", ZoneState: api.In, Workers: workers, Jobs: jobs,
		Catalogue: api.Catalogue{Organisations: orgs}}
}

func placed(p planner.Plan, id string) *planner.Placement {
	i := slices.IndexFunc(p.Placements, func(x planner.Placement) bool { return x.JobID == id })
	if i < 0 {
		return nil
	}
	return &p.Placements[i]
}

func victims(p planner.Plan) (out []string) {
	for _, x := range p.Preemptions {
		out = append(out, x.JobID)
	}
	return out
}

var _ = Describe("a plan", func() {
	It("covers jobs inside the guarantee and lends the rest of the capacity", func() {
		p := planner.Compute(snapshot(zoneWorkers(4, 4), []api.Organisation{organisation("a", shape(2, 8, api.AdjacencyRack)), organisation("b")},
			job("own", "a", 2, 8), job("loan", "b", 1, 8)))
		Expect(placed(p, "own").Covered).To(BeTrue())
		Expect(placed(p, "loan").Covered).To(BeFalse())
		Expect(p.Preemptions).To(BeEmpty())
	})

	It("reclaims a guarantee from the borrower with the least lost work", func() {
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a", shape(1, 8, api.AdjacencyZone)), organisation("b")},
			job("old", "b", 1, 8, running(false, time.Hour, wholeWorker(0))),
			job("new", "b", 1, 8, running(false, time.Minute, wholeWorker(1))),
			job("own", "a", 1, 8)))
		Expect(victims(p)).To(Equal([]string{"new"}))
		Expect(placed(p, "own")).To(BeNil(), "the capacity is not free before the victim has stopped")
		Expect(p.Reasons["own"]).To(Equal("Needs 1 task with 8 accelerators; this is inside the guarantee of a. It starts when new of b has stopped."))
	})

	It("does not preempt again while victims are stopping", func() {
		stopping := job("new", "b", 1, 8, running(false, time.Minute, wholeWorker(1)))
		stopping.State = api.JobStateStopping
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a", shape(1, 8, api.AdjacencyZone)), organisation("b")},
			job("old", "b", 1, 8, running(false, time.Second, wholeWorker(0))), stopping, job("own", "a", 1, 8)))
		Expect(p.Preemptions).To(BeEmpty())
	})

	It("continues a reclaim with the same placement", func() {
		s := snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a", shape(2, 4, api.AdjacencyZone)), organisation("b")},
			job("x", "b", 1, 8, running(false, time.Minute, wholeWorker(0))), job("y", "b", 1, 8, running(false, time.Hour, wholeWorker(1))),
			job("own", "a", 2, 4))
		p := planner.Compute(s)
		Expect(victims(p)).To(Equal([]string{"x"}))
		Expect(p.Pending).To(HaveLen(1))
		s.Pending = p.Pending
		s.Jobs[0].State, s.Jobs[0].Placement = api.JobStateWaiting, nil
		s.Jobs = append(s.Jobs, job("rush", "b", 1, 8, urgency(api.Urgent)))
		p = planner.Compute(s)
		Expect(placed(p, "own").Tasks).To(Equal(s.Pending[0].Tasks))
		Expect(p.Pending).To(BeEmpty())
	})

	It("demotes covered jobs whose guarantee has been removed", func() {
		p := planner.Compute(snapshot(zoneWorkers(1, 1), []api.Organisation{organisation("a"), organisation("b", shape(1, 8, api.AdjacencyZone))},
			job("x", "a", 1, 8, running(true, time.Minute, wholeWorker(0))), job("own", "b", 1, 8)))
		Expect(p.Demoted).To(Equal([]string{"x"}))
		Expect(victims(p)).To(Equal([]string{"x"}))
	})

	It("covers small jobs until the shape is used up", func() {
		p := planner.Compute(snapshot(zoneWorkers(1, 1), []api.Organisation{organisation("a", shape(2, 4, api.AdjacencyWorker))},
			job("x", "a", 1, 5), job("y", "a", 1, 3), job("z", "a", 1, 1, allowedZones("kiruna", "pajala"))))
		Expect(placed(p, "x").Covered).To(BeTrue())
		Expect(placed(p, "y").Covered).To(BeTrue())
		Expect(placed(p, "z")).To(BeNil())
	})

	It("lets jobs with small tasks borrow before they fragment a reservation", func() {
		s := snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a", shape(1, 8, api.AdjacencyWorker))},
			job("small", "a", 1, 1), job("same", "a", 1, 8))
		p := planner.Compute(s)
		Expect(placed(p, "small").Covered).To(BeFalse())
		Expect(placed(p, "same").Covered).To(BeTrue())
		s.Workers, s.Jobs = zoneWorkers(1, 1), s.Jobs[:1]
		Expect(placed(planner.Compute(s), "small").Covered).To(BeTrue(), "no other capacity is free")
	})

	It("does not preempt covered jobs", func() {
		p := planner.Compute(snapshot(zoneWorkers(1, 1), []api.Organisation{organisation("a", shape(1, 8, api.AdjacencyZone)), organisation("b")},
			job("own", "a", 1, 8, running(true, time.Minute, wholeWorker(0))),
			job("rush", "b", 1, 8, urgency(api.Urgent))))
		Expect(p.Preemptions).To(BeEmpty())
		Expect(p.Reasons["rush"]).To(ContainSubstring("Most is held by own of a (8 accelerators)"))
	})

	It("lets urgent work preempt batch borrowers beyond its guarantee", func() {
		p := planner.Compute(snapshot(zoneWorkers(1, 1), []api.Organisation{organisation("a"), organisation("b")},
			job("slow", "a", 1, 8, running(false, time.Minute, wholeWorker(0))),
			job("rush", "b", 1, 8, urgency(api.Urgent))))
		Expect(victims(p)).To(Equal([]string{"slow"}))
	})

	It("preempts the batch job that loses the least work to free cores", func() {
		cores := func(j *api.Job) { j.Spec.Resources = api.Resources{Cores: 64} }
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a"), organisation("b")},
			job("old", "a", 1, 0, running(false, time.Hour, at(0)), cores),
			job("new", "a", 1, 0, running(false, time.Minute, at(1)), cores),
			job("rush", "b", 1, 0, urgency(api.Urgent), cores)))
		Expect(victims(p)).To(Equal([]string{"new"}))
	})

	It("does not preempt more for urgent work while victims are stopping", func() {
		stopping := job("slow", "a", 1, 8, running(false, time.Hour, wholeWorker(0)))
		stopping.State = api.JobStateStopping
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a"), organisation("b")}, stopping,
			job("other", "a", 1, 8, running(false, time.Second, wholeWorker(1))), job("rush", "b", 1, 8, urgency(api.Urgent))))
		Expect(p.Preemptions).To(BeEmpty())
		Expect(p.Reasons["rush"]).To(Equal("Needs 1 task with 8 accelerators at once. It starts when slow of a has stopped."))
	})

	It("preempts all jobs and places none when the zone is out of service", func() {
		s := snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a")},
			job("runs", "a", 1, 8, running(false, time.Minute, wholeWorker(0))), job("waits", "a", 1, 8))
		s.ZoneState = api.Out
		p := planner.Compute(s)
		Expect(p.Placements).To(BeEmpty())
		Expect(p.Preemptions).To(HaveLen(1))
		Expect(p.Preemptions[0].Reason).To(Equal("zone_out"))
		Expect(p.Reasons["waits"]).To(ContainSubstring("out of service"))
	})

	DescribeTable("places no tasks on workers that are not live", func(state planner.WorkerState, preempted bool) {
		workers := zoneWorkers(2, 2)
		workers[0].State = state
		p := planner.Compute(snapshot(workers, []api.Organisation{organisation("a")},
			job("runs", "a", 1, 4, running(false, time.Minute, at(0, 0, 1, 2, 3))),
			job("waits", "a", 1, 1), job("idle", "a", 1, 0, func(j *api.Job) { j.Spec.Resources = api.Resources{} })))
		Expect(placed(p, "waits").Tasks[0].Worker).To(Equal("w01"))
		Expect(placed(p, "idle").Tasks[0].Worker).To(Equal("w01"))
		Expect(victims(p) != nil).To(Equal(preempted))
	},
		Entry("leaving", planner.WorkerLeaving, true),
		Entry("silent", planner.WorkerSilent, false),
		Entry("quarantined", planner.WorkerQuarantined, false))

	It("counts the accelerators of orphaned tasks as taken", func() {
		workers := zoneWorkers(1, 1)
		workers[0].Orphans = []planner.TaskAllocation{{Resources: api.Resources{Accelerators: 1}, Accelerators: []int{3}}}
		p := planner.Compute(snapshot(workers, []api.Organisation{organisation("a")}, job("x", "a", 1, 7), job("y", "a", 1, 1)))
		Expect(placed(p, "x").Tasks[0].Accelerators).To(Equal([]int{0, 1, 2, 4, 5, 6, 7}))
		Expect(placed(p, "y")).To(BeNil())
	})

	It("fills partly used workers and keeps empty ones free", func() {
		p := planner.Compute(snapshot(zoneWorkers(3, 3), []api.Organisation{organisation("a")},
			job("runs", "a", 1, 4, running(false, time.Minute, at(1, 0, 1, 2, 3))), job("small", "a", 1, 2), job("pair", "a", 2, 1)))
		Expect(placed(p, "small").Tasks[0].Worker).To(Equal("w01"))
		Expect(placed(p, "pair").Tasks[1].Worker).To(Equal("w01"))
	})

	It("never places part of a gang", func() {
		p := planner.Compute(snapshot(zoneWorkers(2, 1), []api.Organisation{organisation("a")},
			job("gang", "a", 2, 8, adjacency(api.AdjacencyRack), allowedZones("kiruna", "pajala"))))
		Expect(p.Placements).To(BeEmpty())
		Expect(p.Refusals).To(BeEmpty(), "another zone might hold the job")
		Expect(p.Reasons["gang"]).To(ContainSubstring("more than zone kiruna has even when it is empty"))
	})

	It("enforces the quotas of teams and organisations", func() {
		s := snapshot(zoneWorkers(4, 4), []api.Organisation{{Name: "a", QuotaAccelerators: 16}},
			job("x", "a", 1, 8, team("t")), job("y", "a", 1, 4, team("t")), job("z", "a", 1, 8))
		s.Catalogue.Teams = []api.Team{{Name: "t", Organisation: "a", QuotaAccelerators: 8}}
		s.OrganisationUsageElsewhere = map[string]int{"a": 1}
		p := planner.Compute(s)
		Expect(placed(p, "x")).NotTo(BeNil())
		Expect(p.Reasons["y"]).To(Equal("Needs 4 accelerators, and team t holds 8 of its quota of 8; it starts when other jobs of the team end."))
		Expect(p.Reasons["z"]).To(ContainSubstring("organisation a holds 9 of its quota of 16"))
	})

	DescribeTable("refuses jobs that can never run", func(j api.Job, want string) {
		s := snapshot(zoneWorkers(4, 2), []api.Organisation{{Name: "a", QuotaAccelerators: 48}}, j)
		s.Catalogue.Entries = []api.Entry{{Name: "e", Limits: api.Limits{MaxAccelerators: 2}}}
		p := planner.Compute(s)
		Expect(p.Refusals).To(HaveLen(1))
		Expect(p.Refusals[0].Reason).To(ContainSubstring(want))
		s.Incomplete = true
		if j.Spec.Zones != nil {
			Expect(planner.Compute(s).Refusals).To(BeEmpty(), "a missing worker might hold it")
		}
	},
		Entry("task too large", job("x", "a", 1, 9, allowedZones("kiruna")), "no worker of zone kiruna could hold one such task"),
		Entry("gang too large", job("x", "a", 5, 8, allowedZones("kiruna")), "more than zone kiruna has"),
		Entry("rack too small", job("x", "a", 3, 8, allowedZones("kiruna"), adjacency(api.AdjacencyRack)), "3 tasks with 8 accelerators each on one rack"),
		Entry("over quota", job("x", "a", 7, 8), "more than the quota of 48 of organisation a"),
		Entry("over the limits of the entry", job("x", "a", 1, 3, func(j *api.Job) { j.Spec.Entry = "e" }), "entry e allows 2"),
		Entry("failed on too many workers", job("x", "a", 1, 1, failures("w00", "w01", "w02")), "failed on 3 different workers"))

	It("avoids workers on which the job failed and does not count failures on quarantined ones", func() {
		workers := zoneWorkers(4, 4)
		workers[0].State = planner.WorkerQuarantined
		p := planner.Compute(snapshot(workers, []api.Organisation{organisation("a")}, job("x", "a", 1, 8, failures("w00", "w01", "w02"))))
		Expect(p.Refusals).To(BeEmpty())
		Expect(placed(p, "x").Tasks[0].Worker).To(Equal("w03"))
	})

	It("shares free capacity between organisations", func() {
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a"), organisation("b")},
			job("a1", "a", 1, 8, waitingFor(3*time.Second)), job("a2", "a", 1, 8, waitingFor(2*time.Second)), job("b1", "b", 1, 8)))
		Expect(placed(p, "a1")).NotTo(BeNil())
		Expect(placed(p, "b1")).NotTo(BeNil())
	})

	It("reports a guarantee that the workers cannot meet", func() {
		p := planner.Compute(snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a", shape(3, 8, api.AdjacencyRack))}))
		Expect(p.Shortfalls).To(HaveLen(1))
		Expect(p.Shortfalls[0].MissingAccelerators).To(Equal(8))
	})
})

func failures(workers ...string) option {
	return func(j *api.Job) {
		for i, w := range workers {
			j.Failures = append(j.Failures, api.JobFailure{Attempt: i + 1, Worker: w, Reason: "exit 1"})
		}
	}
}

var _ = Describe("a backfill hold", func() {
	busy := func(age time.Duration, small ...api.Job) planner.Snapshot {
		jobs := append([]api.Job{
			job("runs", "a", 1, 8, running(false, time.Minute, wholeWorker(0))),
			job("large", "a", 2, 8, waitingFor(age)),
		}, small...)
		return snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a"), organisation("b")}, jobs...)
	}

	DescribeTable("holds capacity for a large job", func(age, runTime time.Duration, placesSmall bool) {
		p := planner.Compute(busy(age, job("small", "b", 1, 1, declared(runTime))))
		Expect(placed(p, "small") != nil).To(Equal(placesSmall))
		Expect(placed(p, "large")).To(BeNil())
	},
		Entry("no hold before the job has waited for the threshold", time.Minute, 2*time.Hour, true),
		Entry("small jobs that end in time may run", 6*time.Minute, 30*time.Minute, true),
		Entry("small jobs that end later wait", 6*time.Minute, 2*time.Hour, false),
		Entry("small jobs without a declared run time wait", 6*time.Minute, time.Duration(0), false),
		Entry("no job is backfilled on the hold of a starving job", time.Hour, time.Minute, false))

	It("does not delay urgent jobs", func() {
		p := planner.Compute(busy(time.Hour, job("small", "b", 1, 1, urgency(api.Urgent))))
		Expect(placed(p, "small")).NotTo(BeNil())
	})
})
