package dispatch

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/runtimes"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// forecastAge is how long a forecast is used, unless the run is reported or expected to
	// have ended. Plans come every 10 ms, and 5,000 forecasts take 2 ms of a whole core.
	forecastAge = 250 * time.Millisecond
	// maxUnseenTime is how long before its end a run was last reported if the end is reported
	// at once: a poll, and the calls before and after it. Later ends come from a worker that
	// could not be reached.
	maxUnseenTime = maxPollWait + 2*callTransitTime
)

// forecastErrorBuckets divides the relative errors of forecasts.
var forecastErrorBuckets = tally.ValueBuckets{0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5}

// forecasts is what a term knows of run times. The event loop owns it.
type forecasts struct {
	model *runtimes.Model
	gangs map[*batch.Unit]*timing // of the gangs that have runs
}

func newForecasts() forecasts {
	return forecasts{model: runtimes.New(), gangs: map[*batch.Unit]*timing{}}
}

// timing is the course of a run. The runs of a gang share one, because the members advance
// together.
type timing struct {
	runNumber int64
	members   int // runs that have not ended
	confirmed int // runs that a worker has confirmed
	// began is when the worker confirmed the run, or the last worker that of a gang. It is
	// the time of the assignment for runs that an earlier term has started.
	began   time.Time
	adopted bool
	// inexact means that began may be later than the start.
	inexact  bool
	resumed  bool // the run began with a checkpoint
	observed bool // the end was observed
	learned  bool // the model has learned from the progress

	kind      runtimes.Kind
	kindKnown bool

	reported bool
	progress runtimes.Progress

	// median and late are the run time that was expected at the start.
	median, late time.Duration

	forecastAt           time.Time
	expectedEnd, lateEnd time.Time
}

// pathForecast is the length of the critical path of a job as of a time.
type pathForecast struct {
	at     time.Time
	length time.Duration
}

// estimateOf returns the run time that the caller has named.
func estimateOf(step *batch.Step) time.Duration {
	return time.Duration(step.EstimateMs) * time.Millisecond
}

func kindOf(job *batch.Job, step *batch.Step, far bool) runtimes.Kind {
	return runtimes.Kind{Queue: job.Queue, Need: step.Need, Image: step.Image, Label: step.Label, Far: far}
}

// runTime returns the expected run time of a task of a step that runs near its data.
func (t *term) runTime(job *batch.Job, step *batch.Step) time.Duration {
	if step.Persistent {
		return estimateOf(step)
	}
	median, _ := t.forecasts.model.RunTime(kindOf(job, step, false), estimateOf(step))
	return median
}

// criticalPath returns the expected run time of the longest chain of dependent steps of a
// job.
func (t *term) criticalPath(job *batch.Job) time.Duration {
	now := time.Now()
	j := t.jobs[job.ID]
	if j != nil && now.Sub(j.path.at) < forecastAge {
		return j.path.length
	}
	length := batch.LongestChain(job, func(step *batch.Step) time.Duration { return t.runTime(job, step) })
	if j != nil {
		j.path = pathForecast{at: now, length: length}
	}
	return length
}

// forecast returns the expected end of a run, and the time by which it has ended in nine of
// ten cases.
func (t *term) forecast(r *run, now time.Time) (expected, late time.Time) {
	estimate := estimateOf(r.step)
	if r.step.Persistent {
		// It has no end, whatever its estimate says.
		expected = now.Add(batch.MaxEstimateMs * time.Millisecond)
		return expected, expected
	}
	tm := r.timing
	if age := now.Sub(tm.forecastAt); age >= 0 && age < forecastAge && !tm.expectedEnd.Before(now) {
		return tm.expectedEnd, tm.lateEnd
	}
	began := r.startedAt
	if tm.began.After(began) || tm.adopted {
		began = tm.began
	}
	median, lateRest := t.forecasts.model.Remaining(t.kindOfRun(r), r.soleWorker(), estimate, now.Sub(began), tm.progress)
	tm.forecastAt, tm.expectedEnd, tm.lateEnd = now, now.Add(median), now.Add(lateRest)
	return tm.expectedEnd, tm.lateEnd
}

// kindOfRun returns the kind of a run. The placement of a gang is that of all its runs.
func (t *term) kindOfRun(r *run) runtimes.Kind {
	if !r.timing.kindKnown {
		r.timing.kind, r.timing.kindKnown = kindOf(&r.job.tracker.Job, r.step, r.far()), true
	}
	return r.timing.kind
}

// far reports whether a run, or one of its gang, is outside of the rack of its data, or its
// gang is spread over racks and should not be. A rack that is not known counts as near.
func (r *run) far() bool {
	rack := r.step.DataRack
	if rack == "" && r.step.Gang && r.step.SameRack {
		rack = r.worker.info.Rack
	}
	if rack == "" {
		return false
	}
	outside := func(other *run) bool { return other.worker.info.Rack != "" && other.worker.info.Rack != rack }
	if !r.step.Gang {
		return outside(r)
	}
	for _, other := range r.job.runs {
		if other.timing == r.timing && outside(other) {
			return true
		}
	}
	return false
}

// soleWorker returns the worker that alone determines how fast a run is. A gang has none.
func (r *run) soleWorker() string {
	if r.step.Gang && len(r.unit.Tasks) > 1 {
		return ""
	}
	return r.worker.info.ID
}

// addTiming gives a new run its timing, that of its gang if it has one.
func (t *term) addTiming(r *run) {
	if r.step.Gang {
		if tm := t.forecasts.gangs[r.unit]; tm != nil && tm.runNumber == r.ref.Run {
			tm.members++
			r.timing = tm
			return
		}
	}
	r.timing = &timing{runNumber: r.ref.Run, members: 1, resumed: r.unit.Tasks[r.ref.Index].Checkpoint != ""}
	if r.step.Gang {
		t.forecasts.gangs[r.unit] = r.timing
	}
}

// removeTiming releases the timing of a run that has ended.
func (t *term) removeTiming(r *run) {
	if r.timing.members--; r.timing.members == 0 && t.forecasts.gangs[r.unit] == r.timing {
		delete(t.forecasts.gangs, r.unit)
	}
}

// noteAdopted sets the start of a run that an earlier term has started.
func (t *term) noteAdopted(r *run, task batch.Task) {
	tm := r.timing
	tm.adopted, tm.began = true, r.startedAt
	assignedAt, known := task.AssignedAt()
	if tm.inexact = !known; known && assignedAt.Before(r.startedAt) {
		// Unlike in setAge, the clocks of the daemons count as equal: a time that is off by a
		// little is better than one that is too late by the largest difference.
		tm.began = assignedAt
	}
}

// noteConfirmed notes that a worker has confirmed a run that it had not confirmed before. If
// a report has confirmed it, it may have started earlier.
func (t *term) noteConfirmed(r *run, now time.Time, byReport bool) {
	tm := r.timing
	if tm.adopted {
		return
	}
	tm.confirmed++
	tm.began = now
	tm.inexact = tm.inexact || byReport
	tm.forecastAt = time.Time{}
	if r.complete() {
		tm.median, tm.late = t.forecasts.model.Remaining(t.kindOfRun(r), r.soleWorker(), estimateOf(r.step), 0, runtimes.Progress{Resumed: tm.resumed})
	}
}

// complete reports whether a run, and all of its gang, have been confirmed.
func (r *run) complete() bool {
	members := 1
	if r.step.Gang {
		members = len(r.unit.Tasks)
	}
	return r.timing.adopted || r.timing.confirmed >= members
}

// noteProgress notes the progress of a run that its worker reports.
func (t *term) noteProgress(r *run, reported int64, now time.Time) {
	tm := r.timing
	if r.step.Persistent || !r.complete() {
		return
	}
	percent, elapsed := float64(min(100, max(0, reported))), now.Sub(tm.began)
	if !tm.reported {
		tm.reported = true
		tm.progress = runtimes.Progress{FirstPercent: percent, FirstAt: elapsed, Resumed: tm.resumed || tm.inexact}
	}
	if percent < tm.progress.Percent {
		return // members of a gang report at different times
	}
	tm.progress.Percent, tm.progress.At = percent, elapsed
	tm.forecastAt = time.Time{}
	if tm.learned {
		return
	}
	learned, err := t.forecasts.model.Progress(t.kindOfRun(r), r.soleWorker(), estimateOf(r.step), tm.progress)
	tm.learned = learned
	t.logModelError(err)
}

// noteDone learns from the end of a run that is done.
func (t *term) noteDone(r *run, now time.Time) {
	tm := r.timing
	if r.step.Persistent || tm.observed || tm.adopted || tm.inexact || r.confirmedAt.IsZero() || !r.complete() || now.Sub(r.seenAt) > maxUnseenTime {
		return
	}
	tm.observed = true
	took, kind := now.Sub(tm.began), t.kindOfRun(r)
	if !tm.resumed {
		t.recordForecastError(tm, took)
	}
	change, err := t.forecasts.model.Observe(runtimes.Observation{
		Kind: kind, Worker: r.soleWorker(), Estimate: estimateOf(r.step), RunTime: took, Checkpointed: tm.resumed,
	})
	t.logModelError(err)
	t.scope.Gauge("runtime_kinds").Update(float64(t.forecasts.model.Kinds()))
	if change != (runtimes.Change{}) {
		t.log.Info("Run time of a kind of task has changed.", zap.String("queue", kind.Queue), zap.String("image", kind.Image), zap.String("label", kind.Label),
			zap.Int64("millicpu", kind.Need.MilliCPU), zap.Int64("memory_mb", kind.Need.MemoryMb), zap.Int64("accelerators", kind.Need.Accelerators), zap.Bool("far", kind.Far),
			zap.Duration("before", change.Before), zap.Duration("after", change.After), zap.Duration("estimate", estimateOf(r.step)))
	}
}

// recordForecastError records by how much a run has missed the median that was expected at
// its start, and by how much it has exceeded the 0.9 quantile, relative to its run time.
func (t *term) recordForecastError(tm *timing, took time.Duration) {
	if took <= 0 {
		return
	}
	record := func(quantile string, missed time.Duration) {
		t.scope.Tagged(map[string]string{"quantile": quantile}).Histogram("runtime_forecast_error", forecastErrorBuckets).RecordValue(missed.Seconds() / took.Seconds())
	}
	record("0.5", time.Duration(math.Abs(float64(took-tm.median))))
	record("0.9", max(0, took-tm.late))
}

func (t *term) logModelError(err error) {
	if err != nil {
		t.log.Error("Failed to learn a run time.", telemetry.ErrorField(err))
	}
}
