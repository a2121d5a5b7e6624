package control

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// replan computes and applies a plan when one is due and the previous one has
// been applied.
func (c *Control) replan(ctx context.Context, now time.Time) {
	if c.applying || now.Sub(c.plannedAt) < c.cfg.PlanEvery || !c.readyToPlan(now) {
		return
	}
	config := c.cfg.View.Current()
	changeCount := c.cfg.Follower.ChangeCount()
	changed := c.dirty || changeCount != c.plannedChangeCount || config.Head.Revision != c.plannedRevision
	if !changed && now.Sub(c.plannedAt) < maxPlanInterval {
		return
	}
	c.dirty, c.plannedAt, c.plannedChangeCount, c.plannedRevision = false, now, changeCount, config.Head.Revision
	c.recordFailures()
	snapshot := c.snapshot(now, config)
	start := time.Now()
	c.plan = c.cfg.Plan(snapshot)
	c.cfg.Scope.Timer("plan").Record(time.Since(start))
	c.applying = true
	c.apply(ctx, c.plan, snapshot, config.Head.Zones, c.transitions(now))
}

// readyToPlan reports whether the inputs of a plan are complete: all rows of earlier
// planners, a configuration, the VM list and, until firstReportTimeout has passed, an
// answered or failed first report of each worker.
func (c *Control) readyToPlan(now time.Time) bool {
	if !c.Leading() || !c.listed || c.cfg.View.Current().Head.Revision == 0 {
		return false
	}
	if now.Sub(c.tookOverAt) >= firstReportTimeout {
		return true
	}
	for _, w := range c.workers {
		if !w.reportAttempted {
			return false
		}
	}
	return true
}

// apply commits the transitions, the housekeeping and the plan on a goroutine.
func (c *Control) apply(ctx context.Context, plan planner.Plan, s planner.Snapshot, zones []api.Zone, transitions map[string]transition) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ctx, span := c.cfg.Tracer.Start(ctx, "apply plan")
		defer span.End()
		results := []jobs.ApplyResult{
			c.cfg.Applier.Commit(ctx, transitions),
			c.cfg.Applier.Housekeep(ctx, s.ZoneState, zones),
			c.cfg.Applier.Apply(ctx, plan, s.Workers, zones),
		}
		c.deliver(ctx, func(_ context.Context, c *Control) { c.planApplied(transitions, results) })
	}()
}

func (c *Control) planApplied(transitions map[string]transition, results []jobs.ApplyResult) {
	c.applying = false
	now := time.Now()
	for id := range transitions {
		if row := c.cfg.Follower.Get(id); row != nil && row.Job.State == api.JobStateSucceeded {
			c.recordSuccess(id, now)
		}
	}
	for _, r := range results {
		c.dirty = c.dirty || r.Committed+r.Dropped+r.Failed > 0
		if r.Fenced {
			c.cfg.Log.Warn("Commit refused: this daemon does not hold the planner lease of the zone.", zap.String("zone", c.cfg.Zone))
		}
	}
}

// snapshot builds the input of a plan.
func (c *Control) snapshot(now time.Time, config api.Configuration) planner.Snapshot {
	workers := make([]planner.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, c.plannerWorker(w, now))
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	s := NewSnapshot(now, c.cfg.Zone, config, workers, c.cfg.Follower.Rows())
	s.Pending, s.Incomplete = c.plan.Pending, incomplete(workers)
	return s
}

// incomplete reports whether the capacity of some workers may be unknown. The planner
// then refuses no job for lack of capacity, because the capacity may exist.
func incomplete(workers []planner.Worker) bool {
	for _, w := range workers {
		if w.State == planner.WorkerSilent {
			return true
		}
	}
	return len(workers) == 0
}

// publish stores a new snapshot of the control state for other goroutines.
func (c *Control) publish(now time.Time) {
	status := c.cfg.Lease.Status()
	last := c.state.Load()
	s := &State{
		HoldsLease: c.epoch > 0, Epoch: c.epoch, Planner: status.Holder, Plan: c.plan, PlannedAt: c.plannedAt,
		Workers: last.Workers, addresses: last.addresses, daemons: last.daemons, listed: c.listed,
	}
	if c.listUpdated {
		c.listUpdated = false
		s.addresses, s.daemons = map[string]string{}, nil
		for _, vm := range c.vms {
			switch vm.Kind {
			case api.VMKindWorker:
				s.addresses[vm.ID] = vm.Address
			case api.VMKindEntry:
				s.daemons = append(s.daemons, vm)
			}
		}
	}
	if now.Sub(c.statusesAt) >= statusInterval {
		c.statusesAt = now
		s.Workers = c.workerStatuses(now)
	}
	c.state.Store(s)
}

func (c *Control) workerStatuses(now time.Time) []api.WorkerStatus {
	used := map[string]int{}
	for _, row := range c.cfg.Follower.Rows() {
		if row.Job.Zone != c.cfg.Zone || !jobs.HoldsPlacement(row.Job.State) {
			continue
		}
		for _, place := range row.Job.Placement {
			used[place.Worker] += len(place.Accelerators)
		}
	}
	out := make([]api.WorkerStatus, 0, len(c.workers))
	for id, w := range c.workers {
		view := c.plannerWorker(w, now)
		s := api.WorkerStatus{ID: id, Zone: c.cfg.Zone, Rack: view.Rack, State: string(view.State), Accelerators: view.Accelerators}
		for _, orphan := range w.orphans {
			used[id] += len(orphan.Accelerators)
		}
		if c.epoch == 0 {
			s.State = string(w.vm.State) // only the daemon that holds the lease has reports
		} else if view.State == planner.WorkerLive {
			s.AcceleratorsFree = max(0, view.Accelerators-used[id])
		}
		if until, reason := c.cfg.Health.QuarantinedUntil(id, now); until.After(now) {
			s.QuarantinedUntilMs, s.Reason = until.UnixMilli(), reason
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
