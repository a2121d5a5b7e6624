// Package inventory knows the capacity of the workers of all zones. It serves
// the checks that look beyond the zone of a daemon: whether a catalogue change
// can be met, and whether any zone can ever run a job.
package inventory

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// parallelReports bounds the reports that one look-up reads at a time.
	parallelReports = 16
	// listMaxAge is how long a read of the VM list serves look-ups; the list lags anyway.
	listMaxAge = 5 * time.Second
)

// Config holds the dependencies of an Inventory.
type Config struct {
	VMs     refplatform.VMs
	Workers refplatform.Workers
	Log     *zap.Logger
}

// Inventory caches the capacity of each worker instance. Capacity does not
// change while an instance lives, so each is read once.
type Inventory struct {
	cfg Config

	mu       sync.Mutex
	list     api.VMList
	listedAt time.Time
	reports  map[string]api.WorkerReport // by worker; valid for the instance in the report
}

// New returns an empty inventory.
func New(cfg Config) *Inventory {
	cfg.Log = telemetry.Logger(cfg.Log)
	return &Inventory{cfg: cfg, reports: map[string]api.WorkerReport{}}
}

// Zones returns the zones that have workers in the VM list, in order.
func (i *Inventory) Zones(ctx context.Context) ([]string, error) {
	vms, err := i.workers(ctx)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var zones []string
	for _, vm := range vms {
		if !seen[vm.Zone] {
			seen[vm.Zone] = true
			zones = append(zones, vm.Zone)
		}
	}
	sort.Strings(zones)
	return zones, nil
}

// Workers returns the reports of the workers of a zone, by worker, and how many
// listed workers could not be read.
func (i *Inventory) Workers(ctx context.Context, zone string) (reports []api.WorkerReport, missing int, err error) {
	vms, err := i.workers(ctx)
	if err != nil {
		return nil, 0, err
	}
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for _, vm := range vms {
		if vm.Zone == zone && !i.known(vm) {
			group.Go(func() error {
				i.read(ctx, vm)
				return nil
			})
		}
	}
	_ = group.Wait() // a worker that cannot be read is counted as missing
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, vm := range vms {
		if vm.Zone != zone {
			continue
		}
		if report, ok := i.reports[vm.ID]; ok {
			reports = append(reports, report)
		} else {
			missing++
		}
	}
	return reports, missing, nil
}

// workers returns the workers in the VM list, ordered by identifier.
func (i *Inventory) workers(ctx context.Context) ([]api.VM, error) {
	i.mu.Lock()
	list, listedAt := i.list, i.listedAt
	i.mu.Unlock()
	if time.Since(listedAt) >= listMaxAge {
		read, err := i.cfg.VMs.List(ctx)
		if err != nil && listedAt.IsZero() {
			return nil, eris.Wrap(err, "read the VM list")
		}
		if err == nil {
			list = read
			i.mu.Lock()
			i.list, i.listedAt = read, time.Now()
			i.mu.Unlock()
		}
	}
	var workers []api.VM
	for _, vm := range list.Vms {
		if vm.Kind == api.VMKindWorker {
			workers = append(workers, vm)
		}
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
	return workers, nil
}

func (i *Inventory) known(vm api.VM) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	report, ok := i.reports[vm.ID]
	return ok && report.Instance == vm.Instance
}

// read keeps the capacity of a worker and tells whether the worker answered.
func (i *Inventory) read(ctx context.Context, vm api.VM) bool {
	report, err := i.cfg.Workers.Report(ctx, vm.Address)
	if err != nil {
		i.cfg.Log.Debug("Worker not read.", zap.String("worker", vm.ID), zap.Error(err))
		return false
	}
	report.Tasks = nil // only the capacity is kept
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports[vm.ID] = report
	return true
}
