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

// CheckGuarantees tells whether the workers of the zone, when empty, hold all
// guarantees of the proposed catalogue. A guarantee that is short already does
// not block a change that does not make it worse.
func (i *Inventory) CheckGuarantees(ctx context.Context, zone string, current, proposed api.Catalogue) error {
	if len(guarantee.ForZone(proposed, zone)) == 0 {
		return nil
	}
	reports, missing, err := i.Workers(ctx, zone)
	if err != nil {
		return eris.Wrapf(err, "the guarantees in zone %s could not be checked", zone)
	}
	workers := make([]guarantee.Worker, 0, len(reports))
	for _, r := range reports {
		workers = append(workers, guarantee.NewWorker(r.WorkerID, r.Rack, r.AcceleratorModel, r.Cores, r.MemoryMb, r.Accelerators))
	}
	verdict := guarantee.Check(zone, current, proposed, workers)
	switch {
	case verdict.Accepted:
		return nil
	case missing > 0:
		return eris.Errorf("%s (%d workers of zone %s did not answer)", verdict.Reason, missing, zone)
	default:
		return eris.New(verdict.Reason)
	}
}

// CheckRunnable returns why no zone can ever run the job, or "". It asks the planner
// about an empty zone, so that submission and planning cannot disagree. A zone
// whose workers are not all known is given the benefit of the doubt.
func (i *Inventory) CheckRunnable(ctx context.Context, catalogue api.Catalogue, job api.Job) string {
	zones := job.Spec.Zones
	if len(zones) == 0 {
		known, err := i.Zones(ctx)
		if err != nil {
			return ""
		}
		zones = known
	}
	reason := ""
	for _, zone := range zones {
		refused := i.refusal(ctx, zone, catalogue, job)
		if refused == "" {
			return ""
		}
		reason = refused
	}
	return reason
}

func (i *Inventory) refusal(ctx context.Context, zone string, catalogue api.Catalogue, job api.Job) string {
	reports, missing, err := i.Workers(ctx, zone)
	if err != nil || missing > 0 || len(reports) == 0 {
		return ""
	}
	job.State, job.Spec.Zones = api.JobStateWaiting, []string{zone}
	snapshot := planner.Snapshot{Now: time.Now(), Zone: zone, ZoneState: api.In, Catalogue: catalogue, Jobs: []api.Job{job}}
	snapshot.Workers = liveWorkers(reports)
	for _, refusal := range planner.Compute(snapshot).Refusals {
		return refusal.Reason
	}
	return ""
}

// PlannerWorkers returns the workers of a zone as a planner sees them: a worker
// that does not answer now is silent. Its capacity is the one it reported last.
func (i *Inventory) PlannerWorkers(ctx context.Context, zone string) ([]planner.Worker, error) {
	vms, err := i.workers(ctx)
	if err != nil {
		return nil, err
	}
	vms = slices.DeleteFunc(vms, func(vm api.VM) bool { return vm.Zone != zone })
	answers := i.probe(ctx, vms)
	i.mu.Lock()
	defer i.mu.Unlock()
	workers := make([]planner.Worker, 0, len(vms))
	for n, vm := range vms {
		w := planner.Worker{ID: vm.ID, Rack: vm.Rack}
		if report, ok := i.reports[vm.ID]; ok {
			w = liveWorkers([]api.WorkerReport{report})[0]
		}
		switch {
		case vm.State == api.Leaving:
			w.State = planner.WorkerLeaving
		case !answers[n]:
			w.State = planner.WorkerSilent
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// probe reads the reports of workers at the same time and tells which answered.
func (i *Inventory) probe(ctx context.Context, vms []api.VM) []bool {
	answers := make([]bool, len(vms))
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for n, vm := range vms {
		group.Go(func() error {
			answers[n] = i.read(ctx, vm)
			return nil
		})
	}
	_ = group.Wait() // a worker that cannot be read has not answered
	return answers
}

func liveWorkers(reports []api.WorkerReport) []planner.Worker {
	workers := make([]planner.Worker, 0, len(reports))
	for _, r := range reports {
		workers = append(workers, planner.Worker{
			ID: r.WorkerID, Rack: r.Rack, State: planner.WorkerLive, Cores: r.Cores, MemoryMB: r.MemoryMb,
			Accelerators: r.Accelerators, AcceleratorModel: r.AcceleratorModel,
		})
	}
	return workers
}
