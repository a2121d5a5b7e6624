package jobs

import (
	"context"
	"sort"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// Retention is how long the row of an ended job is kept before it is deleted.
	Retention = 24 * time.Hour
	// reasonsInterval is the minimum time between two writes of the reasons why
	// jobs wait. Reasons are only shown to people and may lag, so writing them must
	// not use up the write limit.
	reasonsInterval = 5 * time.Second
	// maxDeletesPerRound bounds the ended jobs that one call of Housekeep deletes,
	// so that they fit in one commit.
	maxDeletesPerRound = maxGroup
)

// ApplierConfig holds the dependencies of an Applier.
type ApplierConfig struct {
	Zone     string
	Writer   *Writer
	Follower *Follower
	// Epoch returns the epoch of the planner lease, which is stored with each
	// placement. nil means epoch 0.
	Epoch func() int64
	Now   func() time.Time
	Log   *zap.Logger
	Scope tally.Scope
}

// Applier checks plans against the current rows and commits them. Apply must not
// be called concurrently with itself; the other methods are safe for concurrent use.
type Applier struct {
	cfg         ApplierConfig
	nextReasons time.Time
	// unresolved holds, by job, the placements whose commit may still take effect.
	// Their accelerators stay reserved until the outcome is known.
	unresolved map[string]Change
}

// NewApplier returns an applier for one zone.
func NewApplier(cfg ApplierConfig) *Applier {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Epoch == nil {
		cfg.Epoch = func() int64 { return 0 }
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	return &Applier{cfg: cfg, unresolved: map[string]Change{}}
}

// ApplyResult counts the changes of one call by outcome.
type ApplyResult struct {
	Committed int
	Dropped   int  // no longer valid when checked or committed
	Failed    int  // not written or of unknown outcome; the next round starts from the current rows
	Fenced    bool // a change was refused because this daemon does not hold the planner lease
}

// Apply commits those parts of a plan that are still valid. workers must be the
// workers that the plan was computed from.
func (a *Applier) Apply(ctx context.Context, plan planner.Plan, workers []planner.Worker, zones []api.Zone) ApplyResult {
	var out ApplyResult
	a.resolvePlacements(ctx)
	changes := a.preemptions(plan, &out)
	changes = append(changes, a.refusals(plan, &out)...)
	changes = append(changes, a.demotions(plan, changes, &out)...)
	changes = append(changes, a.placements(plan, workers, maxGroup-len(changes), &out)...)
	changes = append(changes, a.reasons(plan, zones, changes)...)
	results := a.commit(ctx, changes, &out)
	for i, r := range results {
		if r.Status == OutcomeUnknown && changes[i].Job.State == api.JobStatePlaced {
			a.unresolved[changes[i].Job.ID] = changes[i]
		}
	}
	return out
}

// resolvePlacements repeats placements whose outcome is unknown. The outcome is
// known once a repetition is committed, finds another version of the row, or
// is refused by the fence.
func (a *Applier) resolvePlacements(ctx context.Context) {
	for id, change := range a.unresolved {
		if row := a.cfg.Follower.Get(id); row == nil || row.Version > change.Version {
			delete(a.unresolved, id)
			continue
		}
		result := a.cfg.Writer.Apply(ctx, change)[0]
		if result.Status == Committed || result.Status == Stale || result.Status == Fenced {
			delete(a.unresolved, id)
		}
	}
}

// placements returns up to limit placements, but at least one, in the order of the
// plan; the next round makes the rest. The limit keeps them in one group: groups
// are committed in parallel, so with a second group younger jobs could be placed
// and started before older ones.
func (a *Applier) placements(plan planner.Plan, workers []planner.Worker, limit int, out *ApplyResult) []Change {
	if len(plan.Placements) == 0 {
		return nil
	}
	occupied := newOccupancy(workers)
	for _, row := range a.cfg.Follower.Rows() {
		if row.Job.Zone == a.cfg.Zone && HoldsPlacement(row.Job.State) {
			occupied.addJob(row.Job)
		}
	}
	for _, change := range a.unresolved {
		occupied.addJob(change.Job)
	}
	var changes []Change
	for _, p := range plan.Placements {
		if len(changes) >= max(limit, 1) {
			break
		}
		row := a.cfg.Follower.Get(p.JobID)
		if _, unresolved := a.unresolved[p.JobID]; row == nil || unresolved {
			out.Dropped++
			continue
		}
		job, err := Place(row.Job, a.cfg.Zone, p, a.cfg.Now())
		if err == nil {
			if reason := occupied.reserve(row.Job, p.Tasks); reason != "" {
				a.cfg.Log.Info("Placement is no longer valid and was dropped.", zap.String("job", p.JobID), zap.String("reason", reason))
				out.Dropped++
				continue
			}
			job.PlannerEpoch = a.cfg.Epoch()
			changes = append(changes, Change{Job: job, Version: row.Version, Fenced: true})
			continue
		}
		out.Dropped++
	}
	return changes
}

func (a *Applier) preemptions(plan planner.Plan, out *ApplyResult) []Change {
	var changes []Change
	for _, p := range plan.Preemptions {
		changes = a.appendChange(changes, p.JobID, out, func(j api.Job) (api.Job, error) {
			return BeginStop(j, p.Reason, p.Detail, nil)
		})
	}
	return changes
}

// demotions clears the covered flag of jobs that are no longer inside a
// reservation because the workers or the guarantees have changed.
func (a *Applier) demotions(plan planner.Plan, earlier []Change, out *ApplyResult) []Change {
	alreadyChanged := map[string]bool{}
	for _, c := range earlier {
		alreadyChanged[c.Job.ID] = true
	}
	var changes []Change
	for _, id := range plan.Demoted {
		if !alreadyChanged[id] {
			changes = a.appendChange(changes, id, out, Demote)
		}
	}
	return changes
}

func (a *Applier) refusals(plan planner.Plan, out *ApplyResult) []Change {
	var changes []Change
	for _, r := range plan.Refusals {
		changes = a.appendChange(changes, r.JobID, out, func(j api.Job) (api.Job, error) {
			return Refuse(j, r.Reason, a.cfg.Now())
		})
	}
	return changes
}

func (a *Applier) appendChange(changes []Change, id string, out *ApplyResult, f func(api.Job) (api.Job, error)) []Change {
	row := a.cfg.Follower.Get(id)
	if row == nil {
		out.Dropped++
		return changes
	}
	job, err := f(row.Job)
	if err != nil {
		out.Dropped++
		return changes
	}
	return append(changes, Change{Job: job, Version: row.Version, Fenced: true})
}

// reasons returns the changed reasons of waiting jobs, at most one group. Only
// the home zone of a job writes its reason; otherwise zones would overwrite each
// other's reasons in turn.
func (a *Applier) reasons(plan planner.Plan, zones []api.Zone, earlier []Change) []Change {
	now := a.cfg.Now()
	if now.Before(a.nextReasons) {
		return nil
	}
	alreadyChanged := map[string]bool{}
	for _, c := range earlier {
		alreadyChanged[c.Job.ID] = true
	}
	ids := make([]string, 0, len(plan.Reasons))
	for id := range plan.Reasons {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var changes []Change
	for _, id := range ids {
		row := a.cfg.Follower.Get(id)
		if row == nil || alreadyChanged[id] || row.Job.Reason == plan.Reasons[id] || HomeZone(row.Job, zones) != a.cfg.Zone {
			continue
		}
		if job, err := SetReason(row.Job, plan.Reasons[id]); err == nil && len(changes) < maxGroup {
			changes = append(changes, Change{Job: job, Version: row.Version, Fenced: true})
		}
	}
	if len(changes) > 0 {
		a.nextReasons = now.Add(reasonsInterval)
	}
	return changes
}

// Housekeep stops cancelled jobs and the jobs of a zone that is out of service,
// and deletes jobs that ended longer ago than Retention.
func (a *Applier) Housekeep(ctx context.Context, state api.ZoneState, zones []api.Zone) ApplyResult {
	var out ApplyResult
	var changes []Change
	deletes := 0
	for _, row := range a.cfg.Follower.Rows() {
		c, ok := a.housekeepingChange(row, state, zones)
		if !ok {
			continue
		}
		if c.Delete {
			if deletes++; deletes > maxDeletesPerRound {
				continue
			}
		}
		changes = append(changes, c)
	}
	a.commit(ctx, changes, &out)
	return out
}

func (a *Applier) housekeepingChange(row *Row, state api.ZoneState, zones []api.Zone) (Change, bool) {
	job := row.Job
	change := Change{Version: row.Version, Fenced: true}
	var err error
	switch {
	case (job.State == api.JobStatePlaced || job.State == api.JobStateRunning) && job.Zone == a.cfg.Zone:
		switch {
		case job.CancelRequested:
			change.Job, err = BeginStop(job, StopCancelled, "cancelled on request", nil)
		case state == api.Out:
			change.Job, err = BeginStop(job, StopZoneOut, "zone "+a.cfg.Zone+" was taken out of service", nil)
		default:
			return change, false
		}
	case HomeZone(job, zones) != a.cfg.Zone:
		return change, false
	case job.State == api.JobStateWaiting && job.CancelRequested:
		change.Job, err = RequestCancel(job, a.cfg.Now())
	case Terminal(job.State) && a.cfg.Now().Sub(time.UnixMilli(job.EndedMs)) > Retention:
		change.Job, change.Delete = job, true
	default:
		return change, false
	}
	return change, err == nil
}

// Transition commits one fenced change of a row. It returns false when the job is
// not in a state that allows the transition, or the change was not committed.
func (a *Applier) Transition(ctx context.Context, id string, f func(api.Job) (api.Job, error)) (ChangeResult, bool) {
	row := a.cfg.Follower.Get(id)
	if row == nil {
		return ChangeResult{Status: Stale}, false
	}
	job, err := f(row.Job)
	if err != nil {
		return ChangeResult{Status: Stale, Err: err}, false
	}
	result := a.cfg.Writer.Apply(ctx, Change{Job: job, Version: row.Version, Fenced: true})[0]
	if result.Status == Committed {
		a.logEnd(job)
	}
	return result, result.Status == Committed
}

// Commit commits one transition for each of several jobs, as one batch.
func (a *Applier) Commit(ctx context.Context, transitions map[string]func(api.Job) (api.Job, error)) ApplyResult {
	var out ApplyResult
	var changes []Change
	for id, f := range transitions {
		changes = a.appendChange(changes, id, &out, f)
	}
	a.commit(ctx, changes, &out)
	return out
}

func (a *Applier) commit(ctx context.Context, changes []Change, out *ApplyResult) []ChangeResult {
	if len(changes) == 0 {
		return nil
	}
	results := a.cfg.Writer.Apply(ctx, changes...)
	for i, r := range results {
		switch r.Status {
		case Committed:
			out.Committed++
			a.logEnd(changes[i].Job)
		case Stale:
			out.Dropped++
		case Fenced:
			out.Fenced = true
			out.Dropped++
		default:
			out.Failed++
		}
	}
	a.cfg.Scope.Counter("applied").Inc(int64(out.Committed))
	a.cfg.Scope.Counter("dropped").Inc(int64(out.Dropped))
	return results
}

// logEnd logs failed and refused jobs at error level, because nobody may be
// watching when they end.
func (a *Applier) logEnd(job api.Job) {
	switch job.State {
	case api.JobStateFailed:
		a.cfg.Log.Error("Job failed.", zap.String("job", job.ID), zap.String("name", job.Spec.Name),
			zap.String("organisation", job.Organisation), zap.String("reason", job.Reason))
	case api.JobStateRefused:
		a.cfg.Log.Error("Job refused after it was accepted.", zap.String("job", job.ID), zap.String("name", job.Spec.Name),
			zap.String("organisation", job.Organisation), zap.String("reason", job.Reason))
	}
}
