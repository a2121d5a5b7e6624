package standin

import (
	"cmp"
	"context"
	"slices"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// Addresses holds the addresses of the listeners of a process, IP address and port.
// The address of a service that the process does not host is empty.
type Addresses struct {
	Admin   string            `json:"admin"`
	Table   string            `json:"table,omitempty"`
	Objects string            `json:"objects,omitempty"`
	VMs     string            `json:"vms,omitempty"`
	Workers map[string]string `json:"workers,omitempty"`
	Minions map[string]string `json:"minions,omitempty"`
}

// Standin simulates the services of the platform that its config describes.
type Standin struct {
	config Config
	logger *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc

	servers   map[string]*server        // by target
	injectors map[string]*faultInjector // by target
	targets   []string                  // targets in the order of the config

	objectsClient *refplatform.ObjectsClient

	table   *tableService
	objects *objectService
	vms     *vmService
	workers map[string]*worker
	minions map[string]*minion
}

// Targets of fault injection. Those of workers and minions are "workers/ID" and
// "minions/ID".
const (
	TargetTable   = "table"
	TargetObjects = "objects"
	TargetVMs     = "vms"
	targetAdmin   = "admin"
	targetWorkers = "workers/"
	targetMinions = "minions/"
)

// New creates the services and binds all listeners. Run serves them.
func New(c Config) (*Standin, error) {
	expanded, err := c.expandGroups()
	if err != nil {
		return nil, err
	}
	expanded.Logger = telemetry.LoggerOrNop(expanded.Logger)
	s := &Standin{
		config: expanded, logger: expanded.Logger.Named("standin"),
		servers: map[string]*server{}, injectors: map[string]*faultInjector{},
		workers: map[string]*worker{}, minions: map[string]*minion{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.addServices(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *Standin) addServices() error {
	steps := []func() error{s.addTable, s.addObjects, s.connectObjects, s.addWorkers, s.addMinions, s.addVMs, s.addAdmin}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// newService creates the base of a simulated service, with the fault injector of the
// target.
func (s *Standin) newService(target string) service {
	injector := newFaultInjector(s.config.Seed, uint64(len(s.injectors)))
	s.injectors[target] = injector
	return service{ctx: s.ctx, faults: injector}
}

func (s *Standin) listen(target, address string, connections int, provider routeProvider) error {
	server, err := newServer(target, cmp.Or(address, DefaultListenAddress), connections, provider.routes(), s.logger)
	if err != nil {
		return err
	}
	s.servers[target] = server
	s.targets = append(s.targets, target)
	return nil
}

func (s *Standin) addTable() error {
	if s.config.Table == nil {
		return nil
	}
	s.table = newTableService(s.newService(TargetTable), *s.config.Table)
	return s.listen(TargetTable, s.config.Table.Listen, 0, s.table)
}

func (s *Standin) addObjects() error {
	if s.config.Objects == nil {
		return nil
	}
	s.objects = newObjectService(s.newService(TargetObjects))
	return s.listen(TargetObjects, s.config.Objects.Listen, 0, s.objects)
}

// connectObjects creates the workers' client of the object store. Workers use the
// store over HTTP, so that its faults affect them too.
func (s *Standin) connectObjects() error {
	url := s.config.ObjectsURL
	if s.objects != nil {
		url = "http://" + s.servers[TargetObjects].address
	}
	if url == "" {
		return nil
	}
	client, err := refplatform.NewObjects(refplatform.Config{URL: url, Logger: s.logger, Scope: s.config.Scope})
	s.objectsClient = client
	return err
}

func (s *Standin) addWorkers() error {
	for _, c := range s.config.Workers {
		target := targetWorkers + c.ID
		w := newWorker(s.newService(target), c, nil)
		if s.objectsClient != nil {
			w.objects = s.objectsClient
		}
		s.workers[c.ID] = w
		if err := s.listen(target, c.Listen, 0, w); err != nil {
			return err
		}
	}
	return nil
}

func (s *Standin) addMinions() error {
	for _, c := range s.config.Minions {
		target := targetMinions + c.ID
		m := newMinion(s.newService(target), c)
		s.minions[c.ID] = m
		if err := s.listen(target, c.Listen, c.Connections, m); err != nil {
			return err
		}
	}
	return nil
}

// addVMs adds the VM list with the hosted workers and minions and the VMs of the config.
func (s *Standin) addVMs() error {
	if s.config.VMs == nil {
		return nil
	}
	s.vms = newVMService(s.newService(TargetVMs), s.config.VMs.Lag.Std(), slices.Concat(s.hostedVMs(), s.initialVMs()))
	return s.listen(TargetVMs, s.config.VMs.Listen, 0, s.vms)
}

func (s *Standin) hostedVMs() []api.VM {
	vms := make([]api.VM, 0, len(s.workers)+len(s.minions))
	for id, w := range s.workers {
		vms = append(vms, api.VM{
			ID: id, Kind: api.VMKindWorker, Zone: w.config.Zone, Rack: w.config.Rack,
			Address: s.servers[targetWorkers+id].address, State: api.Live, Instance: w.instance,
		})
	}
	for id, m := range s.minions {
		vms = append(vms, api.VM{
			ID: id, Kind: api.VMKindMinion, Zone: m.config.Zone, Rack: m.config.Rack,
			Address: s.servers[targetMinions+id].address, State: api.Live, Instance: uuid.NewString(),
		})
	}
	return vms
}

func (s *Standin) initialVMs() []api.VM {
	vms := make([]api.VM, 0, len(s.config.VMs.Initial))
	for _, c := range s.config.VMs.Initial {
		vms = append(vms, api.VM{
			ID: c.ID, Kind: c.Kind, Zone: c.Zone, Rack: c.Rack, Address: c.Address,
			State: api.Live, Instance: cmp.Or(c.Instance, uuid.NewString()),
		})
	}
	return vms
}

func (s *Standin) addAdmin() error {
	return s.listen(targetAdmin, s.config.Admin.Listen, 0, &admin{s})
}

// Addresses returns the addresses of all listeners.
func (s *Standin) Addresses() Addresses {
	address := func(target string) string {
		if server := s.servers[target]; server != nil {
			return server.address
		}
		return ""
	}
	all := Addresses{
		Admin: address(targetAdmin), Table: address(TargetTable), Objects: address(TargetObjects), VMs: address(TargetVMs),
		Workers: map[string]string{}, Minions: map[string]string{},
	}
	for id := range s.workers {
		all.Workers[id] = address(targetWorkers + id)
	}
	for id := range s.minions {
		all.Minions[id] = address(targetMinions + id)
	}
	return all
}

// Run serves all listeners until the context ends.
func (s *Standin) Run(ctx context.Context) error {
	defer s.close()
	for _, target := range s.targets {
		s.servers[target].start()
	}
	<-ctx.Done()
	return nil
}

func (s *Standin) close() {
	s.cancel()
	for _, server := range s.servers {
		server.close()
	}
	if s.objectsClient != nil {
		s.objectsClient.Close()
	}
}

// SetFaults replaces the faults of a target.
func (s *Standin) SetFaults(target string, faults Faults) error {
	injector := s.injectors[target]
	if injector == nil {
		return eris.Errorf("fault target %q is not hosted here", target)
	}
	injector.set(faults)
	return s.servers[target].setRefusing(faults.Refuse)
}

// Faults returns the active faults by target.
func (s *Standin) Faults() map[string]Faults {
	all := make(map[string]Faults, len(s.injectors))
	for target, injector := range s.injectors {
		all[target] = injector.get()
	}
	return all
}

// TableCounters returns the counters of the table service.
func (s *Standin) TableCounters() TableCounters {
	if s.table == nil {
		return TableCounters{}
	}
	return s.table.counters()
}

// TaskHistory returns the task attempts of all workers in the order of the config.
func (s *Standin) TaskHistory() []TaskHistory {
	all := []TaskHistory{}
	for _, c := range s.config.Workers {
		all = append(all, s.workers[c.ID].history()...)
	}
	return all
}

// Executions returns the executions of all minions in the order of the config.
func (s *Standin) Executions() []Execution {
	all := []Execution{}
	for _, c := range s.config.Minions {
		all = append(all, s.minions[c.ID].executions()...)
	}
	return all
}

// MinionCounters returns the counters of all minions in the order of the config.
func (s *Standin) MinionCounters() []MinionCounters {
	all := []MinionCounters{}
	for _, c := range s.config.Minions {
		all = append(all, s.minions[c.ID].counters())
	}
	return all
}

// RestartWorker ends all tasks of a worker and gives it a new instance, as after a
// crash.
func (s *Standin) RestartWorker(id string) error {
	w := s.workers[id]
	if w == nil {
		return eris.Errorf("worker %q is not hosted here", id)
	}
	instance := w.restart()
	if s.vms == nil {
		return nil
	}
	return s.vms.update(id, func(vm *api.VM) { vm.Instance, vm.State = instance, api.Live })
}
