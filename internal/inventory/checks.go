package inventory

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/guarantee"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// CheckGuarantees returns an error unless the workers of the zone, when empty, can
// hold all guarantees of the proposed catalogue. An existing shortfall blocks a
// change only if the change increases it.
func (inv *Inventory) CheckGuarantees(ctx context.Context, zone string, current, proposed api.Catalogue) error {
	if len(guarantee.ForZone(proposed, zone)) == 0 {
		return nil
	}
	reports, unreachable, err := inv.Workers(ctx, zone)
	if err != nil {
		return eris.Wrapf(err, "the guarantees in zone %s could not be checked", zone)
	}
	workers := make([]guarantee.Worker, 0, len(reports))
	for _, r := range reports {
		workers = append(workers, guarantee.NewWorker(r.WorkerID, r.Rack, r.AcceleratorModel, r.Cores, r.MemoryMb, r.Accelerators))
	}
	result := guarantee.Check(zone, current, proposed, workers)
	switch {
	case result.Accepted:
		return nil
	case unreachable > 0:
		return eris.Errorf("%s (%d workers of zone %s did not answer)", result.Reason, unreachable, zone)
	default:
		return eris.New(result.Reason)
	}
}

// CheckRunnable returns the reason why no zone can ever run the job, or "". It runs
// the planner on an empty zone, so that submission and planning cannot disagree. A
// zone that has no workers, or workers that could not be read, counts as able to run
// the job.
func (inv *Inventory) CheckRunnable(ctx context.Context, catalogue api.Catalogue, job api.Job) string {
	zones := job.Spec.Zones
	if len(zones) == 0 {
		known, err := inv.Zones(ctx)
		if err != nil {
			return ""
		}
		zones = known
	}
	reason := ""
	for _, zone := range zones {
		zoneReason := inv.refusalIn(ctx, zone, catalogue, job)
		if zoneReason == "" {
			return ""
		}
		reason = zoneReason
	}
	return reason
}

func (inv *Inventory) refusalIn(ctx context.Context, zone string, catalogue api.Catalogue, job api.Job) string {
	reports, unreachable, err := inv.Workers(ctx, zone)
	if err != nil || unreachable > 0 || len(reports) == 0 {
		return ""
	}
	job.State, job.Spec.Zones = api.JobStateWaiting, []string{zone}
	snapshot := planner.Snapshot{Now: time.Now(), Zone: zone, ZoneState: api.In, Catalogue: catalogue, Jobs: []api.Job{job}}
	snapshot.Workers = workersFromReports(reports)
	for _, refusal := range planner.Compute(snapshot).Refusals {
		return refusal.Reason
	}
	return ""
}

// PlannerWorkers returns the workers of a zone as input of the planner. A worker
// that does not answer is silent and has the capacity of its last report.
func (inv *Inventory) PlannerWorkers(ctx context.Context, zone string) ([]planner.Worker, error) {
	vms, err := inv.workers(ctx)
	if err != nil {
		return nil, err
	}
	vms = slices.DeleteFunc(vms, func(vm api.VM) bool { return vm.Zone != zone })
	answered := inv.probe(ctx, vms)
	inv.mu.Lock()
	defer inv.mu.Unlock()
	workers := make([]planner.Worker, 0, len(vms))
	for n, vm := range vms {
		w := planner.Worker{ID: vm.ID, Rack: vm.Rack}
		if report, ok := inv.reports[vm.ID]; ok {
			w = workersFromReports([]api.WorkerReport{report})[0]
		}
		switch {
		case vm.State == api.Leaving:
			w.State = planner.WorkerLeaving
		case !answered[n]:
			w.State = planner.WorkerSilent
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// probe reads the reports of workers concurrently and returns which of them answered.
func (inv *Inventory) probe(ctx context.Context, vms []api.VM) []bool {
	answered := make([]bool, len(vms))
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for n, vm := range vms {
		group.Go(func() error {
			answered[n] = inv.readReport(ctx, vm)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answered
}

func workersFromReports(reports []api.WorkerReport) []planner.Worker {
	workers := make([]planner.Worker, 0, len(reports))
	for _, r := range reports {
		workers = append(workers, planner.Worker{
			ID: r.WorkerID, Rack: r.Rack, State: planner.WorkerLive, Cores: r.Cores, MemoryMB: r.MemoryMb,
			Accelerators: r.Accelerators, AcceleratorModel: r.AcceleratorModel,
		})
	}
	return workers
}
