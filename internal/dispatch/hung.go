package dispatch

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

const (
	// hungCheckInterval is the time between two searches for hung runs. The reports of a run
	// are at least 600 ms apart.
	hungCheckInterval = 500 * time.Millisecond
	// hungStopWindow is a time in which the number of stops of hung runs is bounded: one for
	// hungStopShare of the workers, at least minHungStops. A stop takes up to 0.9 s.
	hungStopWindow = time.Second
	hungStopShare  = 0.1
	minHungStops   = 4
)

// hungReason is why hung runs are stopped.
const hungReason = "no progress"

// noteReported records the progress that a worker reports of a run, for the search for hung
// runs.
func (t *term) noteReported(r *run, percent int64, now time.Time) {
	if r.progress.Report(percent, now) {
		t.reportsProgress[r.worker.info.Service] = true
	}
}

// hungUnit is a task in progress, or all members of a gang.
type hungUnit struct {
	runs []*run
	key  retryKey
}

// checkHung stops hung runs, so that they start again on other workers.
func (t *term) checkHung(now time.Time) {
	if now.Sub(t.hungCheckedAt) < hungCheckInterval || !t.canStartWork() {
		return
	}
	t.hungCheckedAt = now
	t.hungStops = slices.DeleteFunc(t.hungStops, func(at time.Time) bool { return now.Sub(at) >= hungStopWindow })
	most := max(minHungStops, int(hungStopShare*float64(len(t.workers)))) - len(t.hungStops)
	if most <= 0 {
		return
	}
	work, units := t.work()
	for _, h := range workerhealth.FindHung(work, most) {
		t.stopHung(units[h.Work], &work[h.Work], h, now)
	}
}

// work returns the tasks and gangs in progress.
func (t *term) work() ([]workerhealth.Work, []hungUnit) {
	var work []workerhealth.Work
	var units []hungUnit
	for _, j := range t.jobs {
		if len(j.runs) == 0 {
			continue
		}
		job := &j.tracker.Job
		gangs, kinds := map[*batch.Unit]int{}, map[int]string{}
		for _, r := range j.runs {
			i, known := 0, false
			if r.step.Gang {
				i, known = gangs[r.unit]
			}
			if !known {
				i = len(work)
				key := retryKeyOf(r.step, r.ref)
				if kinds[r.ref.Step] == "" {
					kinds[r.ref.Step] = fmt.Sprint(job.Queue, r.need, r.step.Label, r.step.Gang)
				}
				work = append(work, workerhealth.Work{
					Kind: kinds[r.ref.Step], Service: job.Service, Eligible: !r.step.Persistent,
					Expected: t.runTime(job, r.step), Moves: j.hungMoves[key],
				})
				units = append(units, hungUnit{key: key})
				if r.step.Gang {
					gangs[r.unit] = i
				}
			}
			addRun(&work[i], r, t.reportsProgress[job.Service])
			units[i].runs = append(units[i].runs, r)
		}
		for unit, i := range gangs {
			work[i].Eligible = work[i].Eligible && len(units[i].runs) == len(unit.Tasks)
		}
	}
	return work, units
}

// addRun adds a run to its work. Where no worker of its service has reported progress, nothing
// is hung.
func addRun(w *workerhealth.Work, r *run, reportsProgress bool) {
	w.Eligible = w.Eligible && r.phase == phaseRunning && r.stopReason == "" && r.worker.misses == 0 && reportsProgress && !r.progress.FirstAt.IsZero()
	w.Workers = append(w.Workers, r.worker.info.ID)
	if r.confirmedAt.After(w.CompleteAt) {
		w.CompleteAt = r.confirmedAt
	}
	// The members of a gang have the same progress; that of another member may be older.
	if w.Progress.FirstAt.IsZero() || r.progress.AdvancedAt.After(w.Progress.AdvancedAt) ||
		r.progress.AdvancedAt.Equal(w.Progress.AdvancedAt) && r.progress.SeenAt.After(w.Progress.SeenAt) {
		w.Progress = r.progress
	}
}

// stopHung stops a task or a gang without progress. Its workers are avoided, and the evidence
// is shared by those that may be the cause.
func (t *term) stopHung(unit hungUnit, work *workerhealth.Work, hung workerhealth.HungWork, now time.Time) {
	first := unit.runs[0]
	j := first.job
	if j.hungMoves == nil {
		j.hungMoves = map[retryKey]int{}
	}
	j.hungMoves[unit.key]++
	t.hungStops = append(t.hungStops, now)
	t.scope.Counter("hung_stops").Inc(1)
	task := healthTask(first.step, first.ref)
	t.log.Warn("Stopping work without progress.", zap.String("task", task), zap.Int64("run", first.ref.Run), zap.Strings("suspects", hung.Suspects), zap.Int("runs", len(unit.runs)),
		zap.Int64("percent", work.Progress.Percent), zap.Time("last_progress", latest(work.Progress.AdvancedAt, work.CompleteAt)),
		zap.Duration("expected", work.Expected), zap.Int("moves", j.hungMoves[unit.key]))
	for _, id := range hung.Suspects {
		w := t.workers[id]
		if w == nil {
			continue
		}
		t.avoidWorker(j, first.ref, w)
		t.health.Note(id, w.info.StartedMs, workerhealth.Evidence{Kind: workerhealth.Hung, Task: task, Run: first.ref.Run, Share: hung.Share}, now)
	}
	for _, r := range unit.runs {
		t.requestStop(r, hungReason)
	}
	t.planNeeded = true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
