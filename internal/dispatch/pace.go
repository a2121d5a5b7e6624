package dispatch

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/placement"
)

// planGapBuckets divides the times from one plan to the next.
var planGapBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// loopUse is what the event loop has done since the last plan.
type loopUse struct {
	events   int
	handling time.Duration // events and ticks
	storing  time.Duration // encoding of commits
}

// notePlanGap records the time since the start of the last plan, if work has waited for
// this one since then.
func (t *term) notePlanGap(start time.Time) time.Duration {
	if t.lastPlanAt.IsZero() {
		return 0
	}
	gap := start.Sub(t.lastPlanAt)
	if t.waiting {
		t.scope.Histogram("plan_gap", planGapBuckets).RecordDuration(gap)
	}
	return gap
}

// planCostSamples is the number of plans of which the shortest tells what a plan costs. One
// takes much longer than its processor time if other goroutines run in between, or if the
// process is paused.
const planCostSamples = 3

// notePlanDuration sets planDuration to what a plan costs.
func (t *term) notePlanDuration(took time.Duration) {
	if len(t.planDurations) == planCostSamples {
		t.planDurations = t.planDurations[1:]
	}
	t.planDurations = append(t.planDurations, took)
	t.planDuration = slices.Min(t.planDurations)
}

// planTimes are the time since the plan before, and the times of the snapshot and of all of a
// plan.
type planTimes struct{ gap, snapshot, whole time.Duration }

// logPlan logs a plan that starts or evicts work, with what the event loop has done since
// the one before.
func (t *term) logPlan(p *planInput, result placement.Result, times planTimes, starts int) {
	urgent, oldest := 0, time.Duration(0)
	for i := range p.Demands {
		if d := &p.Demands[i]; d.Priority == 0 {
			urgent++
			oldest = max(oldest, p.Now.Sub(d.StartableSince))
		}
	}
	organisation, since := longestWaiting(p.Demands)
	longest := time.Duration(0)
	if !since.IsZero() {
		longest = p.Now.Sub(since)
	}
	t.log.Info("Plan computed.", zap.Int("waiting_groups", len(p.Demands)), zap.Int("urgent_groups", urgent), zap.Duration("longest_urgent_wait", oldest),
		zap.String("longest_waiting_organisation", organisation), zap.Duration("longest_wait", longest),
		zap.Int("starts", starts), zap.Int("evicted_groups", len(result.Evict)), zap.Int("workers", len(p.Workers)), zap.Duration("took", times.whole),
		zap.Duration("snapshot", times.snapshot), zap.Duration("since_last", times.gap), zap.Int("events", t.use.events),
		zap.Duration("handling", t.use.handling), zap.Duration("storing", t.use.storing))
}

// beginning is which tasks of a unit have begun, and how many have not.
type beginning struct {
	begun   []bool
	missing int
}

// noteBegun logs how long an urgent job has waited, once all tasks of a unit have begun.
func (t *term) noteBegun(r *run) {
	j, key := r.job, unitKey{r.unit.Occurrence, r.unit.Step}
	if j.tracker.Job.Priority != 0 {
		return
	}
	b := j.beginnings[key]
	if b == nil {
		b = &beginning{begun: make([]bool, len(r.unit.Tasks)), missing: len(r.unit.Tasks)}
		j.beginnings[key] = b
	}
	if b.begun[r.ref.Index] {
		return
	}
	b.begun[r.ref.Index] = true
	if b.missing--; b.missing > 0 {
		return
	}
	now := time.Now()
	wait := now.Sub(j.startableSince[key])
	t.scope.Timer("urgent_wait").Record(wait)
	t.log.Info("Urgent job has begun.", zap.String("job", j.tracker.Job.ID), zap.String("organisation", j.tracker.Job.Organisation), zap.Int("step", r.unit.Step),
		zap.Int("tasks", len(r.unit.Tasks)), zap.Int64("accelerators", r.need.Accelerators*int64(len(r.unit.Tasks))),
		zap.Int64("since_accepted_ms", now.UnixMilli()-j.tracker.Job.AcceptedAtMs), zap.Duration("wait", wait),
		zap.Duration("until_assigned", j.assignedAt[key].Sub(j.startableSince[key])),
		zap.Duration("until_sent", r.startedAt.Sub(j.assignedAt[key])), zap.Duration("until_answered", now.Sub(r.startedAt)))
}
