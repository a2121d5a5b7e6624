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

// replan computes and applies a plan when one is due and the last is applied.
func (c *Control) replan(ctx context.Context, now time.Time) {
	if c.applying || now.Sub(c.planned) < c.cfg.PlanEvery || !c.ready(now) {
		return
	}
	configured := c.cfg.View.Current()
	rows := c.cfg.Follower.ChangeCount()
	changed := c.dirty || rows != c.followed || configured.Head.Revision != c.revision
	if !changed && now.Sub(c.planned) < planAtLeast {
		return
	}
	c.dirty, c.planned, c.followed, c.revision = false, now, rows, configured.Head.Revision
	c.learnFailures()
	snapshot := c.snapshot(now, configured)
	began := time.Now()
	c.plan = c.cfg.Plan(snapshot)
	c.cfg.Scope.Timer("plan").Record(time.Since(began))
	c.applying = true
	c.apply(ctx, c.plan, snapshot, configured.Head.Zones, c.transitions(now))
}

// ready tells whether enough is known to plan: all rows of earlier planners, a
// configuration, the VM list, and a first report of each worker or a wait for it.
func (c *Control) ready(now time.Time) bool {
	if !c.Leading() || !c.listed || c.cfg.View.Current().Head.Revision == 0 {
		return false
	}
	if now.Sub(c.since) >= gatherWait {
		return true
	}
	for _, w := range c.workers {
		if !w.asked {
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
		c.deliver(ctx, func(_ context.Context, c *Control) { c.applied(transitions, results) })
	}()
}

func (c *Control) applied(transitions map[string]transition, results []jobs.ApplyResult) {
	c.applying = false
	now := time.Now()
	for id := range transitions {
		if row := c.cfg.Follower.Get(id); row != nil && row.Job.State == api.JobStateSucceeded {
			c.learnSuccess(id, now)
		}
	}
	for _, r := range results {
		c.dirty = c.dirty || r.Committed+r.Dropped+r.Failed > 0
		if r.Fenced {
			c.cfg.Log.Warn("A commit failed on the fence: another daemon plans.", zap.String("zone", c.cfg.Zone))
		}
	}
}

// snapshot builds the input of a plan.
func (c *Control) snapshot(now time.Time, configured api.Configuration) planner.Snapshot {
	workers := make([]planner.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		workers = append(workers, c.view(w, now))
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	s := NewSnapshot(now, c.cfg.Zone, configured, workers, c.cfg.Follower.Rows())
	s.Pending, s.Incomplete = c.plan.Pending, incomplete(workers)
	return s
}

// incomplete tells whether workers may be missing or not read, so that no job is
// refused for lack of a capacity that exists.
func incomplete(workers []planner.Worker) bool {
	for _, w := range workers {
		if w.State == planner.WorkerSilent {
			return true
		}
	}
	return len(workers) == 0
}

// publish makes the control state visible to other goroutines.
func (c *Control) publish(now time.Time) {
	status := c.cfg.Lease.Status()
	last := c.state.Load()
	s := &State{
		Planning: c.epoch > 0, Epoch: c.epoch, Planner: status.Holder, Plan: c.plan, PlannedAt: c.planned,
		Workers: last.Workers, addresses: last.addresses, daemons: last.daemons, listed: c.listed,
	}
	if c.relisted {
		c.relisted = false
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
	if now.Sub(c.shown) >= statusEvery {
		c.shown = now
		s.Workers = c.statuses(now)
	}
	c.state.Store(s)
}

func (c *Control) statuses(now time.Time) []api.WorkerStatus {
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
		seen := c.view(w, now)
		s := api.WorkerStatus{ID: id, Zone: c.cfg.Zone, Rack: seen.Rack, State: string(seen.State), Accelerators: seen.Accelerators}
		for _, f := range w.foreign {
			used[id] += len(f.Accelerators)
		}
		if c.epoch == 0 {
			s.State = string(w.vm.State) // only the planning daemon has reports
		} else if seen.State == planner.WorkerLive {
			s.AcceleratorsFree = max(0, seen.Accelerators-used[id])
		}
		if until, reason := c.cfg.Quarantine.Until(id, now); until.After(now) {
			s.QuarantinedUntilMs, s.Reason = until.UnixMilli(), reason
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
