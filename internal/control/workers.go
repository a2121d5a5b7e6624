package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/planner"
)

const (
	// silentAfter is the number of failed reports in a row after which a worker
	// counts as silent.
	silentAfter = 2
	// retryReport is the pause after a failed report; it doubles up to the
	// interval of full reports.
	retryReport = time.Second
	// foreignReport is the pause before the next report of a worker that has tasks
	// without a job row.
	foreignReport = time.Second
)

// worker is a worker of the zone as control knows it.
type worker struct {
	vm       api.VM
	report   *api.WorkerReport
	foreign  []planner.TaskAllocation
	failures int // failed reports in a row
	asked    bool
	inFlight bool
	due      time.Time
	spread   bool // the interval of reports has been shifted once
	// uncovered holds the tasks of the last report that were in no job row.
	uncovered map[string]bool
}

// reset forgets what a report said, so that a takeover starts from new ones.
func (w *worker) reset() {
	*w = worker{vm: w.vm, inFlight: w.inFlight}
}

// list reads the VM list when it is due.
func (c *Control) list(ctx context.Context, now time.Time) {
	if c.listing || now.Before(c.nextList) {
		return
	}
	c.listing, c.nextList = true, now.Add(c.cfg.VMListEvery)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, err := c.cfg.VMs.List(call)
		c.deliver(ctx, func(_ context.Context, c *Control) {
			c.listing = false
			if err != nil {
				c.cfg.Scope.Counter("vm_list_failures").Inc(1)
				return
			}
			c.takeList(list)
		})
	}()
}

// takeList brings the workers in line with the VM list.
func (c *Control) takeList(list api.VMList) {
	c.vms, c.listed, c.relisted = nil, true, true
	seen := map[string]bool{}
	for _, vm := range list.Vms {
		if vm.Zone != c.cfg.Zone {
			continue
		}
		c.vms = append(c.vms, vm)
		if vm.Kind != api.VMKindWorker {
			continue
		}
		seen[vm.ID] = true
		w := c.workers[vm.ID]
		if w == nil || w.vm.Instance != vm.Instance {
			w = &worker{}
			c.workers[vm.ID] = w
			c.dirty = true
		}
		c.dirty = c.dirty || w.vm.State != vm.State
		w.vm = vm
	}
	for id := range c.workers {
		if !seen[id] {
			delete(c.workers, id)
			c.dirty = true
		}
	}
}

// gather starts the reports that are due.
func (c *Control) gather(ctx context.Context, now time.Time) {
	for id, w := range c.workers {
		if w.inFlight || now.Before(w.due) {
			continue
		}
		select {
		case c.calls <- struct{}{}:
		default:
			return
		}
		w.inFlight = true
		c.readReport(ctx, id, w)
	}
}

func (c *Control) readReport(ctx context.Context, id string, w *worker) {
	address := w.vm.Address
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		report, err := c.cfg.Workers.Report(call, address)
		<-c.calls
		c.deliver(ctx, func(ctx context.Context, c *Control) {
			w.inFlight = false
			if c.workers[id] != w || c.epoch == 0 {
				return // replaced, or no longer planning
			}
			if err != nil {
				c.reportFailed(w)
				return
			}
			c.takeReport(ctx, w, report)
		})
	}()
}

func (c *Control) reportFailed(w *worker) {
	w.failures++
	w.asked = true
	w.due = time.Now().Add(min(retryReport<<min(w.failures-1, 8), c.cfg.ReportEvery))
	if w.failures == silentAfter {
		c.dirty = true
		c.cfg.Log.Warn("Worker is silent.", zap.String("worker", w.vm.ID))
	}
}

// takeReport keeps a report. Tasks that are in no job row occupy their place.
// They are stopped when the next report names them again: a single report may
// have been under way while their job ended.
func (c *Control) takeReport(ctx context.Context, w *worker, report api.WorkerReport) {
	changed := w.report == nil || w.failures >= silentAfter
	w.report, w.failures, w.asked = &report, 0, true
	w.due = time.Now().Add(c.nextReport(w))
	var foreign []planner.TaskAllocation
	var stop []string
	uncovered := map[string]bool{}
	for _, t := range report.Tasks {
		if t.State == api.TaskStateEnded {
			// A lapse is left to the keeper, which knows the member that caused it.
			if t.Exit != api.TaskExitLeaseLapsed {
				c.takeTasks(w.vm.ID, []api.TaskReport{t})
			}
			continue
		}
		if !c.Leading() || c.covered(t.TaskID, w.vm.ID) {
			continue
		}
		foreign = append(foreign, planner.TaskAllocation{Resources: c.taskResources(t), Accelerators: t.Accelerators})
		uncovered[t.TaskID] = true
		if w.uncovered[t.TaskID] {
			stop = append(stop, t.TaskID)
		}
	}
	c.dirty = c.dirty || changed || len(foreign) != len(w.foreign)
	w.foreign, w.uncovered = foreign, uncovered
	if len(foreign) > 0 {
		w.due = time.Now().Add(foreignReport)
	}
	if len(stop) > 0 && c.cfg.StopForeign != nil {
		c.cfg.Log.Info("Worker runs tasks without a job row.", zap.String("worker", w.vm.ID), zap.Strings("tasks", stop))
		address := w.vm.Address
		c.group.Go(func() { c.cfg.StopForeign(ctx, address, stop) })
	}
}

// covered tells whether a task belongs to a placement on the worker.
func (c *Control) covered(task, worker string) bool {
	id, attempt, index, ok := jobs.ParseTaskID(task)
	if !ok {
		return false
	}
	row := c.cfg.Follower.Get(id)
	if row == nil || row.Job.Zone != c.cfg.Zone || row.Job.Attempt != attempt || !jobs.HoldsPlacement(row.Job.State) {
		return false
	}
	for _, place := range row.Job.Placement {
		if place.Index == index && place.Worker == worker {
			return true
		}
	}
	return false
}

// nextReport spreads the reports of the workers over the interval.
func (c *Control) nextReport(w *worker) time.Duration {
	if w.spread {
		return c.cfg.ReportEvery
	}
	w.spread = true
	return time.Duration(xxhash.Sum64String(w.vm.ID) % uint64(c.cfg.ReportEvery))
}

// taskResources returns what a task without a row holds, as far as it is known.
func (c *Control) taskResources(t api.TaskReport) api.Resources {
	id, _, _, _ := jobs.ParseTaskID(t.TaskID)
	if row := c.cfg.Follower.Get(id); row != nil {
		return row.Job.Spec.Resources
	}
	return api.Resources{Accelerators: len(t.Accelerators)}
}

// view returns the worker as the planner sees it.
func (c *Control) view(w *worker, now time.Time) planner.Worker {
	out := planner.Worker{ID: w.vm.ID, Rack: w.vm.Rack, State: planner.WorkerLive, Orphans: w.foreign}
	if w.report != nil {
		out.Cores, out.MemoryMB = w.report.Cores, w.report.MemoryMb
		out.Accelerators, out.AcceleratorModel = w.report.Accelerators, w.report.AcceleratorModel
		if w.report.Rack != "" {
			out.Rack = w.report.Rack
		}
	}
	until, _ := c.cfg.Quarantine.Until(w.vm.ID, now)
	switch {
	case w.vm.State == api.Leaving:
		out.State = planner.WorkerLeaving
	case w.report == nil || w.failures >= silentAfter:
		out.State = planner.WorkerSilent
	case !until.IsZero() && until.After(now):
		out.State = planner.WorkerQuarantined
	}
	return out
}
