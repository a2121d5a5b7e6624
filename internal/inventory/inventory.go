// Package inventory caches the capacity of the workers of all zones. It serves
// the checks that are not limited to the zone of a daemon: whether the workers can
// meet the guarantees of a changed catalogue, and whether any zone can ever run a job.
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
	// parallelReports bounds the reports that one look-up reads concurrently.
	parallelReports = 16
	// maxListAge is how long look-ups reuse the VM list. The list lags behind the
	// platform in any case.
	maxListAge = 5 * time.Second
)

// Config holds the dependencies of an Inventory.
type Config struct {
	VMs     refplatform.VMs
	Workers refplatform.Workers
	Log     *zap.Logger
}

// Inventory caches the capacity of each worker instance. The capacity of an
// instance does not change, so Workers reads it only once.
type Inventory struct {
	cfg Config

	mu       sync.Mutex
	list     api.VMList
	listedAt time.Time
	reports  map[string]api.WorkerReport // newest report by worker; it names the instance that sent it
}

// New returns an empty inventory.
func New(cfg Config) *Inventory {
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	return &Inventory{cfg: cfg, reports: map[string]api.WorkerReport{}}
}

// Zones returns the zones that have workers in the VM list, in alphabetical order.
func (inv *Inventory) Zones(ctx context.Context) ([]string, error) {
	vms, err := inv.workers(ctx)
	if err != nil {
		return nil, err
	}
	included := map[string]bool{}
	var zones []string
	for _, vm := range vms {
		if !included[vm.Zone] {
			included[vm.Zone] = true
			zones = append(zones, vm.Zone)
		}
	}
	sort.Strings(zones)
	return zones, nil
}

// Workers returns the reports of the workers of a zone, ordered by worker, and the
// number of workers in the VM list without any report. If a new instance of a worker
// cannot be read, the report of an earlier instance is returned.
func (inv *Inventory) Workers(ctx context.Context, zone string) (reports []api.WorkerReport, unreachable int, err error) {
	vms, err := inv.workers(ctx)
	if err != nil {
		return nil, 0, err
	}
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for _, vm := range vms {
		if vm.Zone == zone && !inv.hasReport(vm) {
			group.Go(func() error {
				inv.readReport(ctx, vm)
				return nil
			})
		}
	}
	_ = group.Wait() // a worker that cannot be read is counted as unreachable
	inv.mu.Lock()
	defer inv.mu.Unlock()
	for _, vm := range vms {
		if vm.Zone != zone {
			continue
		}
		if report, ok := inv.reports[vm.ID]; ok {
			reports = append(reports, report)
		} else {
			unreachable++
		}
	}
	return reports, unreachable, nil
}

// workers returns the workers in the VM list, ordered by identifier.
func (inv *Inventory) workers(ctx context.Context) ([]api.VM, error) {
	inv.mu.Lock()
	list, listedAt := inv.list, inv.listedAt
	inv.mu.Unlock()
	if time.Since(listedAt) >= maxListAge {
		current, err := inv.cfg.VMs.List(ctx)
		if err != nil && listedAt.IsZero() {
			return nil, eris.Wrap(err, "read the VM list")
		}
		if err == nil {
			list = current
			inv.mu.Lock()
			inv.list, inv.listedAt = current, time.Now()
			inv.mu.Unlock()
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

func (inv *Inventory) hasReport(vm api.VM) bool {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	report, ok := inv.reports[vm.ID]
	return ok && report.Instance == vm.Instance
}

// readReport reads and caches the capacity of a worker. It reports whether the
// worker answered.
func (inv *Inventory) readReport(ctx context.Context, vm api.VM) bool {
	report, err := inv.cfg.Workers.Report(ctx, vm.Address)
	if err != nil {
		inv.cfg.Log.Debug("Report of a worker could not be read.", zap.String("worker", vm.ID), zap.Error(err))
		return false
	}
	report.Tasks = nil // only the capacity is cached
	inv.mu.Lock()
	defer inv.mu.Unlock()
	inv.reports[vm.ID] = report
	return true
}
