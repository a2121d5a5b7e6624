package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/table"
)

// preemptionTerm returns a term with one worker and a job of two steps, of which both tasks of
// the first one run.
func preemptionTerm(g *gomega.WithT, cfg Config, priority int, accepted time.Time) (*term, *jobState, *workerState) {
	term := newLeasedTerm(g, table.NewMemory(), cfg, time.Now)
	worker := term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: "w"}})
	worker.listed = true
	term.addWorker(worker)
	steps := []batch.Step{{Tasks: 2, EstimateMs: 2000}, {Tasks: 1, EstimateMs: 1000, After: []int64{0}}}
	value, err := batch.EncodeJob(batch.Job{ID: "j", Queue: "q", Priority: priority, Steps: steps, AcceptedAtMs: accepted.UnixMilli(), Stretch: 1.5, TargetMs: 250})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	term.addJob("j", table.Row{Key: JobsPrefix + "j", Value: value, Version: 1}, nil)
	j := term.jobs["j"]
	for i := range 2 {
		ref := j.tracker.Assign(j.tracker.Units[0], i, batch.WorkerIncarnation{ID: "w"})
		term.newRun(j, j.tracker.Units[0], ref, worker, phaseRunning)
	}
	return term, j, worker
}

// Guards against limits from which a covered job starts after the reclaim limit, or a demand
// evicts work although it can no longer meet its objective.
func TestStartLimitsOfAnUrgentDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	accepted := time.UnixMilli(time.Now().UnixMilli())
	term, j, _ := preemptionTerm(g, Config{MaxStopTime: 900 * time.Millisecond, ReclaimLimit: 3 * time.Second}, 0, accepted)
	demand := func(step int, since, now time.Time) placement.Demand {
		job := &j.tracker.Job
		d := placement.Demand{Key: placement.StepKey{Job: "j", Step: step}, Step: &job.Steps[step], StartableSince: since, Objective: batch.Objective(*job, 0),
			CriticalPath: batch.CriticalPath(*job), RunTime: term.runTime(job, &job.Steps[step])}
		term.setStartLimits(j, &d, now)
		return d
	}
	since := accepted.Add(100 * time.Millisecond)
	first := demand(0, since, since)
	g.Expect(first.LatestStart).To(gomega.BeTemporally("==", accepted.Add(4750*time.Millisecond-3250*time.Millisecond)))
	g.Expect(first.EvictBy).To(gomega.BeTemporally("==", accepted.Add(3000*time.Millisecond-900*time.Millisecond-150*time.Millisecond-400*time.Millisecond)))
	second := demand(1, since, since)
	g.Expect(second.LatestStart).To(gomega.BeTemporally("==", accepted.Add(4750*time.Millisecond-1250*time.Millisecond)))
	g.Expect(second.EvictBy).To(gomega.BeTemporally("==", first.EvictBy.Add(100*time.Millisecond)), "counted from when the step became startable")
	late := demand(0, since, first.LatestStart.Add(time.Millisecond))
	g.Expect(late.LatestStart).To(gomega.BeTemporally("==", accepted.Add(3*4750*time.Millisecond-3250*time.Millisecond)), "no eviction helps it to meet its objective")
	missed := demand(1, since, accepted.Add(5*time.Second))
	g.Expect(missed.LatestStart).To(gomega.BeTemporally("==", accepted.Add(3*4750*time.Millisecond-1250*time.Millisecond)))
	g.Expect(missed.EvictBy).To(gomega.BeTemporally("==", second.EvictBy))
	g.Expect(demand(0, accepted.Add(-time.Second), since).EvictBy).To(gomega.BeTemporally("<", accepted.Add(time.Second)), "the clock of the accepting daemon is ahead")
}

// Guards against evictions that are not counted, so that the same task is evicted again and
// again, and against a stop that nobody can see the reason of.
func TestEvictionsOfATaskAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	scope := tally.NewTestScope("", nil)
	term, j, worker := preemptionTerm(g, Config{Scope: scope}, 2, time.Now().Add(-2*time.Second))
	p := &planInput{workers: []*workerState{worker}}
	groups := func() []placement.EvictionGroup {
		p.Groups, p.groups = nil, nil
		term.evictionGroups(p, 2, time.Now())
		return p.Groups
	}
	g.Expect(groups()).To(gomega.HaveLen(2))
	g.Expect(p.Groups[0].MissesObjective).To(gomega.BeFalse(), "its objective is missed anyway")
	p.Demands = []placement.Demand{{Key: placement.StepKey{Job: "urgent"}}}
	evicted := p.groups[0][0]
	term.evict(p, placement.Result{Evict: []int{0}, Evictions: []placement.Eviction{{Cause: placement.CauseTooLate}}})
	g.Expect(evicted.stopReason).NotTo(gomega.BeEmpty())
	g.Expect(scope.Snapshot().Counters()).To(gomega.HaveKeyWithValue("evictions+cause=too_late", gomega.HaveField("Value()", int64(1))))
	g.Expect(groups()).To(gomega.HaveLen(1))
	evicted.stopReason = ""
	counts := []int{}
	for _, group := range groups() {
		counts = append(counts, group.Evictions)
	}
	g.Expect(counts).To(gomega.ConsistOf(0, 1))
	g.Expect(j.evictions).To(gomega.HaveLen(1))
	for _, r := range j.runs {
		r.startedAt = time.Now().Add(-1500 * time.Millisecond)
		r.timing.forecastAt = time.Time{} // the forecast of the earlier start is kept for a while
	}
	for _, group := range groups() {
		g.Expect(group.MissesObjective).To(gomega.BeTrue(), "it ends in 0.5 s, or 2.5 s after an eviction, and its objective leaves 1.75 s for this step")
	}
}
