package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

// forecastFixture is a term with some workers in two racks.
type forecastFixture struct {
	*gomega.WithT
	term    *term
	workers []*workerState
}

func newForecastFixture(t testing.TB) *forecastFixture {
	f := &forecastFixture{WithT: gomega.NewWithT(t)}
	f.term = newLeasedTerm(f.WithT, table.NewMemory(), Config{}, time.Now)
	f.term.jobsListed, f.term.workersListed = true, true
	for i := range 4 {
		w := f.term.newWorkerState(fleet.Worker{Incarnation: fleet.Incarnation{ID: fmt.Sprint("w", i)}, Rack: fmt.Sprint("r", i/2)})
		f.term.addWorker(w)
		f.workers = append(f.workers, w)
	}
	return f
}

// job adds a job of one step with an estimate of 2 s.
func (f *forecastFixture) job(id string, step batch.Step) *jobState {
	step.EstimateMs = 2000
	value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Priority: 1, MaxAttempts: 1, Steps: []batch.Step{step}})
	f.Expect(err).NotTo(gomega.HaveOccurred())
	f.term.addJob(id, table.Row{Key: JobsPrefix + id, Value: value, Version: 1}, nil)
	return f.term.jobs[id]
}

// start starts a task of a job on a worker and lets the worker confirm it. A report of the
// worker comes ahead of the confirmation.
func (f *forecastFixture) start(j *jobState, index int, w *workerState) *run {
	ref := j.tracker.Assign(j.tracker.Units[0], index, batch.WorkerIncarnation{ID: w.info.ID})
	r := f.term.newRun(j, j.tracker.Units[0], ref, w, phaseStarting)
	f.term.updateRun(r, fleet.RunStatus{Run: ref, Percent: 10})
	f.Expect(r.timing.reported).To(gomega.BeFalse(), "the time of the start is not known")
	f.term.handleStartReply(r, fleet.Reply{Outcome: fleet.Accepted}, time.Millisecond)
	return r
}

// end lets a run end that began some time ago.
func (f *forecastFixture) end(r *run, took time.Duration, reason fleet.EndReason) {
	r.timing.began, r.seenAt = time.Now().Add(-took), time.Now()
	f.term.applyEnd(r.worker, r.job, fleet.End{Run: r.ref, Reason: reason})
}

// expected returns the expected run time of a run that has just begun.
func (f *forecastFixture) expected(r *run) time.Duration {
	now := time.Now()
	end, late := f.term.forecast(r, now)
	f.Expect(late).NotTo(gomega.BeTemporally("<", end))
	return end.Sub(now)
}

// Guards against forecasts and plans that do not use what the ends of runs tell: they were
// the caller's estimates.
func TestEndsChangeTheNextForecast(t *testing.T) {
	f := newForecastFixture(t)
	first := f.job("first", batch.Step{Tasks: 1})
	f.Expect(f.expected(f.start(first, 0, f.workers[0]))).To(gomega.BeNumerically("~", 2*time.Second, 100*time.Millisecond))
	f.Expect(f.term.criticalPath(&first.tracker.Job)).To(gomega.Equal(2 * time.Second))
	for n := range 10 {
		f.end(f.start(f.job(fmt.Sprint(n), batch.Step{Tasks: 1}), 0, f.workers[n%4]), 6*time.Second, fleet.Done)
	}
	next := f.job("next", batch.Step{Tasks: 1})
	demand, ok := f.term.demand(next, next.tracker.Units[0], time.Now())
	f.Expect(ok).To(gomega.BeTrue())
	f.Expect(demand.RunTime).To(gomega.BeNumerically("~", 6*time.Second, 300*time.Millisecond))
	f.Expect(demand.CriticalPath).To(gomega.Equal(demand.RunTime))
	f.Expect(f.expected(f.start(next, 0, f.workers[0]))).To(gomega.BeNumerically("~", 6*time.Second, 500*time.Millisecond))
	f.Expect(f.term.forecasts.gangs).To(gomega.BeEmpty())
}

// Guards against run times learned from what is not one: runs that failed, that began with a
// checkpoint, that are started again however they end, or whose start or end was seen late.
func TestOtherEndsAreNoObservations(t *testing.T) {
	f := newForecastFixture(t)
	for n := range 10 {
		name := func(kind string) string { return fmt.Sprint(kind, n) }
		f.end(f.start(f.job(name("failed"), batch.Step{Tasks: 1}), 0, f.workers[0]), 6*time.Second, fleet.Failed)
		f.end(f.start(f.job(name("persistent"), batch.Step{Tasks: 1, Persistent: true}), 0, f.workers[0]), 6*time.Second, fleet.Done)
		resumed := f.job(name("resumed"), batch.Step{Tasks: 1, Checkpoint: true})
		resumed.tracker.Units[0].Tasks[0].Checkpoint = "c"
		f.end(f.start(resumed, 0, f.workers[0]), 6*time.Second, fleet.Done)
		unanswered := f.start(f.job(name("unanswered"), batch.Step{Tasks: 1}), 0, f.workers[0])
		unanswered.phase, unanswered.timing.confirmed = phaseUnknown, 0
		f.term.updateRun(unanswered, fleet.RunStatus{Run: unanswered.ref})
		f.end(unanswered, 6*time.Second, fleet.Done)
		unseen := f.start(f.job(name("unseen"), batch.Step{Tasks: 1}), 0, f.workers[0])
		unseen.timing.began, unseen.seenAt = time.Now().Add(-6*time.Second), time.Now().Add(-5*time.Second)
		f.term.applyEnd(unseen.worker, unseen.job, fleet.End{Run: unseen.ref, Reason: fleet.Done})
	}
	f.Expect(f.term.forecasts.model.Kinds()).To(gomega.BeZero())
}

// Guards against a gang that counts as many times as it has tasks, from the start of its
// first one, or as if it ran in one rack.
func TestGangIsOneObservation(t *testing.T) {
	f := newForecastFixture(t)
	for n := range 3 {
		j := f.job(fmt.Sprint(n), batch.Step{Tasks: 2, Gang: true, SameRack: true})
		first := f.start(j, 0, f.workers[1])
		first.timing.began = time.Now().Add(-time.Minute)
		second := f.start(j, 1, f.workers[2])
		f.Expect(second.timing).To(gomega.BeIdenticalTo(first.timing))
		f.Expect(time.Since(first.timing.began)).To(gomega.BeNumerically("<", time.Second))
		// No run of a gang that is spread over racks has ended: it is expected to be slow.
		f.Expect(f.expected(first)).To(gomega.BeNumerically("~", 6*time.Second, 300*time.Millisecond))
		f.end(first, 3*time.Second, fleet.Done)
		f.end(second, 3*time.Second, fleet.Done)
	}
	f.Expect(f.term.forecasts.model.Kinds()).To(gomega.Equal(1))
	f.Expect(f.term.forecasts.gangs).To(gomega.BeEmpty())
	j := f.job("next", batch.Step{Tasks: 2, Gang: true, SameRack: true})
	f.start(j, 0, f.workers[1])
	f.Expect(f.expected(f.start(j, 1, f.workers[2]))).To(gomega.BeNumerically("~", 6*time.Second, 300*time.Millisecond), "three ends are too few")
}

// Guards against a new term that expects adopted runs to begin with it, or to last as long
// as the caller said although their progress shows more.
func TestAdoptedRunIsForecastFromItsStoredStartAndProgress(t *testing.T) {
	f := newForecastFixture(t)
	j := f.job("j", batch.Step{Tasks: 1})
	unit := j.tracker.Units[0]
	j.tracker.Assign(unit, 0, batch.WorkerIncarnation{ID: "w0"})
	unit.Tasks[0].AssignedAtMs = time.Now().Add(-4 * time.Second).UnixMilli()
	f.term.adoptRun(j, unit, 0)
	f.Expect(j.runs).To(gomega.HaveLen(1))
	for _, r := range j.runs {
		f.term.updateRun(r, fleet.RunStatus{Run: r.ref, Percent: 40})
		f.Expect(f.expected(r)).To(gomega.BeNumerically("~", 6*time.Second, 200*time.Millisecond))
	}
}

// BenchmarkForecasts measures the forecasts of 5,000 runs, as many as a plan for 1,100 workers
// asks for. "new" has a report of each run before each plan, which comes once a second.
func BenchmarkForecasts(b *testing.B) {
	f := newForecastFixture(b)
	var runs []*run
	for n := range 50 {
		j := f.job(fmt.Sprint(n), batch.Step{Tasks: 100, Image: fmt.Sprint("image", n%10)})
		for i := range 100 {
			runs = append(runs, f.start(j, i, f.workers[i%4]))
		}
		f.end(runs[len(runs)-1], time.Second, fleet.Done)
	}
	for _, kept := range []bool{false, true} {
		b.Run(map[bool]string{false: "new", true: "kept"}[kept], func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				for _, r := range runs {
					if !kept {
						r.timing.forecastAt = time.Time{}
					}
					f.term.forecast(r, now)
				}
			}
		})
	}
}
