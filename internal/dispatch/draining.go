package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/draining"
)

const (
	// endReportTime is the time from the end of a run until the term has read it: a round trip
	// to the worker, and the wait behind other orders and events.
	endReportTime = 300 * time.Millisecond
	// maxDrainStops bounds the runs on draining workers that one tick stops. Each costs the
	// dispatcher two calls, and 42 workers with 8 runs each may leave together.
	maxDrainStops = 128
	// entryAge is how old the entries may be that a new term reads first: workers write them
	// about every 1.5 s.
	entryAge = 1500 * time.Millisecond
)

// drain is what the term knows of a worker that has announced that it will leave.
type drain struct {
	leavesAt time.Time // earliest time of leaving; zero if the worker announced none
	stopped  int       // runs that were stopped for it
	ended    int       // runs that were done in time
}

// updateDrain records when a worker may leave.
func (t *term) updateDrain(w *workerState, now time.Time) {
	switch {
	case !w.info.Draining:
		w.drain = drain{}
	case w.info.Remaining > 0:
		w.drain.leavesAt = now.Add(w.info.Remaining - t.ageOfEntry(w, now))
	}
}

// ageOfEntry returns how long ago a worker wrote its entry, by the clock of the worker. An entry
// that a new term reads first may be as old as entryAge.
func (t *term) ageOfEntry(w *workerState, now time.Time) time.Duration {
	if clock := w.estimateClock(now); clock > 0 && w.info.Clock > 0 {
		return max(0, time.Duration(clock-w.info.Clock)*time.Millisecond)
	}
	if t.workersListed {
		return 0
	}
	return entryAge
}

// drainGroups are the runs that may be stopped because a worker leaves.
type drainGroups struct {
	groups []draining.Group
	runs   [][]*run // by group
	gangs  map[*batch.Unit]bool
}

// stopDrainingRuns stops the runs on workers that leave before the runs end, so that they
// continue on other workers. Without a stop, the tasks of a worker that has left wait until
// its lease has expired.
func (t *term) stopDrainingRuns(now time.Time) {
	collected := drainGroups{gangs: map[*batch.Unit]bool{}}
	for _, w := range t.workers {
		if w.drain.leavesAt.IsZero() {
			continue
		}
		for _, r := range w.runs {
			t.addDrainGroup(&collected, r, now)
		}
	}
	bounds := draining.Bounds{StopTime: t.cfg.MaxStopTime, ReportTime: endReportTime, MaxStops: maxDrainStops, Interval: tickEvery}
	for _, i := range draining.Stops(now, collected.groups, bounds) {
		for _, r := range collected.runs[i] {
			if r.worker.info.Draining {
				r.worker.drain.stopped++
			}
			t.scope.Counter("draining_runs_stopped").Inc(1)
			t.requestStop(r, "worker is leaving")
		}
	}
}

// addDrainGroup adds the group of a run on a draining worker. A gang is added once, with its
// members on all workers.
func (t *term) addDrainGroup(collected *drainGroups, r *run, now time.Time) {
	if r.stopReason != "" || collected.gangs[r.unit] {
		return
	}
	members := []*run{r}
	if r.step.Gang {
		collected.gangs[r.unit] = true
		members = r.job.unitRuns(r.unit)
	}
	group := draining.Group{LeavesAt: r.worker.drain.leavesAt, Resumable: r.step.Checkpoint || r.step.Persistent, Runs: len(members)}
	for _, member := range members {
		if leavesAt := member.worker.drain.leavesAt; !leavesAt.IsZero() && leavesAt.Before(group.LeavesAt) {
			group.LeavesAt = leavesAt
		}
		expected, late := t.forecast(member, now)
		if expected.After(group.Expected) {
			group.Expected = expected
		}
		if late.After(group.Late) {
			group.Late = late
		}
		group.AtStake += member.evictionLoss(now)
	}
	collected.groups = append(collected.groups, group)
	collected.runs = append(collected.runs, members)
}

// unitRuns returns the runs of a unit.
func (j *jobState) unitRuns(unit *batch.Unit) []*run {
	var runs []*run
	for _, r := range j.runs {
		if r.unit == unit {
			runs = append(runs, r)
		}
	}
	return runs
}

// logDrainEnd logs what became of the runs on a draining worker whose entry is gone. Those
// that are left are lost unless the worker is still there.
func (t *term) logDrainEnd(w *workerState) {
	if !w.info.Draining {
		return
	}
	t.scope.Counter("draining_runs_done").Inc(int64(w.drain.ended))
	t.scope.Counter("draining_runs_left").Inc(int64(len(w.runs)))
	t.log.Info("Draining worker has left.", zap.String("worker", w.info.ID), zap.Bool("announced_time", !w.drain.leavesAt.IsZero()),
		zap.Int("stopped", w.drain.stopped), zap.Int("done", w.drain.ended), zap.Int("left", len(w.runs)))
}
