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
	// silentThreshold is the number of consecutive failed reports after which a
	// worker counts as silent.
	silentThreshold = 2
	// reportRetryDelay is the delay after the first failed report. It doubles with
	// each further failure, up to the report interval.
	reportRetryDelay = time.Second
	// orphanReportDelay is the delay before the next report of a worker that runs
	// orphaned tasks.
	orphanReportDelay = time.Second
)

// worker holds the VM, the last report and the report schedule of a worker.
type worker struct {
	vm              api.VM
	report          *api.WorkerReport
	orphans         []planner.TaskAllocation
	failures        int // consecutive failed reports
	reportAttempted bool
	inFlight        bool
	nextReport      time.Time
	staggered       bool // reportDelay has shifted the reports of this worker
	// orphanIDs holds the tasks of the last report that are in no job row.
	orphanIDs map[string]bool
}

// reset drops all report data, so that planning after a takeover starts from new
// reports.
func (w *worker) reset() {
	*w = worker{vm: w.vm, inFlight: w.inFlight}
}

// refreshVMList starts a read of the VM list when it is due.
func (c *Control) refreshVMList(ctx context.Context, now time.Time) {
	if c.listInFlight || now.Before(c.nextList) {
		return
	}
	c.listInFlight, c.nextList = true, now.Add(c.cfg.VMListEvery)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, err := c.cfg.VMs.List(call)
		c.deliver(ctx, func(_ context.Context, c *Control) {
			c.listInFlight = false
			if err != nil {
				c.cfg.Scope.Counter("vm_list_failures").Inc(1)
				return
			}
			c.handleVMList(list)
		})
	}()
}

// handleVMList adds, replaces and removes workers according to the VM list.
func (c *Control) handleVMList(list api.VMList) {
	c.vms, c.listed, c.listUpdated = nil, true, true
	listed := map[string]bool{}
	for _, vm := range list.Vms {
		if vm.Zone != c.cfg.Zone {
			continue
		}
		c.vms = append(c.vms, vm)
		if vm.Kind != api.VMKindWorker {
			continue
		}
		listed[vm.ID] = true
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
		if !listed[id] {
			delete(c.workers, id)
			c.dirty = true
		}
	}
}

// startReports starts the reads of reports that are due.
func (c *Control) startReports(ctx context.Context, now time.Time) {
	for id, w := range c.workers {
		if w.inFlight || now.Before(w.nextReport) {
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
				return // the worker was replaced or this daemon no longer plans
			}
			if err != nil {
				c.handleReportFailure(w)
				return
			}
			c.handleReport(ctx, w, report)
		})
	}()
}

func (c *Control) handleReportFailure(w *worker) {
	w.failures++
	w.reportAttempted = true
	w.nextReport = time.Now().Add(min(reportRetryDelay<<min(w.failures-1, 8), c.cfg.ReportEvery))
	if w.failures == silentThreshold {
		c.dirty = true
		c.cfg.Log.Warn("Worker failed to report repeatedly and counts as silent.", zap.String("worker", w.vm.ID))
	}
}

// handleReport records a report. Tasks that are in no job row count as orphaned
// and occupy their resources. They are stopped only when the next report lists
// them again, because a single report may have been in flight while their job ended.
func (c *Control) handleReport(ctx context.Context, w *worker, report api.WorkerReport) {
	changed := w.report == nil || w.failures >= silentThreshold
	w.report, w.failures, w.reportAttempted = &report, 0, true
	w.nextReport = time.Now().Add(c.reportDelay(w))
	var orphans []planner.TaskAllocation
	var stop []string
	orphanIDs := map[string]bool{}
	for _, t := range report.Tasks {
		if t.State == api.TaskStateEnded {
			// The end of an expired lease is taken from the keeper, which knows the
			// member that caused the expiry.
			if t.Exit != api.TaskExitLeaseLapsed {
				c.recordEnds(w.vm.ID, []api.TaskReport{t})
			}
			continue
		}
		if !c.Leading() || c.hasRow(t.TaskID, w.vm.ID) {
			continue
		}
		orphans = append(orphans, planner.TaskAllocation{Resources: c.taskResources(t), Accelerators: t.Accelerators})
		orphanIDs[t.TaskID] = true
		if w.orphanIDs[t.TaskID] {
			stop = append(stop, t.TaskID)
		}
	}
	c.dirty = c.dirty || changed || len(orphans) != len(w.orphans)
	w.orphans, w.orphanIDs = orphans, orphanIDs
	if len(orphans) > 0 {
		w.nextReport = time.Now().Add(orphanReportDelay)
	}
	if len(stop) > 0 && c.cfg.StopOrphans != nil {
		c.cfg.Log.Info("Stopping tasks of a worker that are in no job row.", zap.String("worker", w.vm.ID), zap.Strings("tasks", stop))
		address := w.vm.Address
		c.group.Go(func() { c.cfg.StopOrphans(ctx, address, stop) })
	}
}

// hasRow reports whether a job row places the task on the worker.
func (c *Control) hasRow(task, worker string) bool {
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

// reportDelay returns the delay until the next report of a worker. The first delay
// depends on the worker's identifier, which spreads the reports over the interval.
func (c *Control) reportDelay(w *worker) time.Duration {
	if w.staggered {
		return c.cfg.ReportEvery
	}
	w.staggered = true
	return time.Duration(xxhash.Sum64String(w.vm.ID) % uint64(c.cfg.ReportEvery))
}

// taskResources returns the resources of an orphaned task: those in the row of its
// job if there is one, else only the accelerators that the worker reports.
func (c *Control) taskResources(t api.TaskReport) api.Resources {
	id, _, _, _ := jobs.ParseTaskID(t.TaskID)
	if row := c.cfg.Follower.Get(id); row != nil {
		return row.Job.Spec.Resources
	}
	return api.Resources{Accelerators: len(t.Accelerators)}
}

// plannerWorker returns the worker as input of the planner.
func (c *Control) plannerWorker(w *worker, now time.Time) planner.Worker {
	out := planner.Worker{ID: w.vm.ID, Rack: w.vm.Rack, State: planner.WorkerLive, Orphans: w.orphans}
	if w.report != nil {
		out.Cores, out.MemoryMB = w.report.Cores, w.report.MemoryMb
		out.Accelerators, out.AcceleratorModel = w.report.Accelerators, w.report.AcceleratorModel
		if w.report.Rack != "" {
			out.Rack = w.report.Rack
		}
	}
	until, _ := c.cfg.Health.QuarantinedUntil(w.vm.ID, now)
	switch {
	case w.vm.State == api.Leaving:
		out.State = planner.WorkerLeaving
	case w.report == nil || w.failures >= silentThreshold:
		out.State = planner.WorkerSilent
	case !until.IsZero() && until.After(now):
		out.State = planner.WorkerQuarantined
	}
	return out
}
