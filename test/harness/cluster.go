package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
)

// Zone describes an availability zone of a cluster, with identical workers and
// identical minions.
type Zone struct {
	Name    string
	Region  string
	Daemons int
	// Workers and Minions are named ZONE-worker-1, ... and ZONE-minion-1, ...
	Workers int
	Minions int
	// Worker and Minion are the templates of their configuration; StartCluster sets ID,
	// zone and count.
	Worker standin.WorkerConfig
	Minion standin.MinionConfig
}

// Options describes a cluster.
type Options struct {
	Zones []Zone
	// VMListLag is the delay with which the VM list shows changes.
	VMListLag time.Duration
	// Seed is the seed of the random faults of the stand-in.
	Seed uint64
	// Table configures the table service and its rate limits.
	Table standin.TableConfig
	// Proxies starts fault proxies between each daemon and the services of the
	// platform, and in front of the daemon's listener for peers.
	Proxies bool
	// Adjust changes the settings of each daemon before its start.
	Adjust func(*api.Settings)
	// DaemonPath is the binary of the daemons; if empty, the built samphirepathd.
	DaemonPath string
	// DaemonEnv lists variables (NAME=VALUE) that each daemon gets in addition to those of
	// the test process.
	DaemonEnv []string
}

// Proxies holds the fault proxies of one daemon.
type Proxies struct {
	Table   *faultproxy.Proxy
	Objects *faultproxy.Proxy
	VMs     *faultproxy.Proxy
	// Peers is in front of the daemon's listener for other daemons.
	Peers *faultproxy.Proxy
}

// SetPlatformFaults replaces the faults on the connections between the daemon and
// all services of the platform.
func (p Proxies) SetPlatformFaults(faults faultproxy.Faults) {
	for _, proxy := range []*faultproxy.Proxy{p.Table, p.Objects, p.VMs} {
		proxy.Set(faults)
	}
}

// Cluster is a running stand-in for the platform with the daemons of all zones.
type Cluster struct {
	Standin *Standin
	Daemons []*Daemon
	// Proxies holds the fault proxies by daemon ID. It is empty unless
	// Options.Proxies is set.
	Proxies map[string]Proxies

	options     Options
	dir         string
	proxies     *errgroup.Group
	stopProxies context.CancelFunc
	proxyCtx    context.Context
}

// StartCluster starts a cluster in a temporary directory and waits until all
// daemons are ready. On an error it stops what it has started.
func StartCluster(ctx context.Context, o Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "samphirepath-cluster-")
	if err != nil {
		return nil, eris.Wrap(err, "make directory for cluster")
	}
	c := &Cluster{Proxies: map[string]Proxies{}, options: o, dir: dir}
	c.proxyCtx, c.stopProxies = context.WithCancel(context.Background())
	c.proxies = &errgroup.Group{}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	for _, step := range []func() error{c.prepareDaemons, c.startStandin, c.connectDaemons} {
		if err := step(); err != nil {
			return err
		}
	}
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// prepareDaemons creates the daemons with their identity and listen addresses.
func (c *Cluster) prepareDaemons() error {
	for _, zone := range c.options.Zones {
		for i := range zone.Daemons {
			settings := DefaultSettings()
			settings.Daemon = api.DaemonSettings{VM: fmt.Sprintf("%s-entry-%d", zone.Name, i+1), Zone: zone.Name, Region: zone.Region}
			if err := assignListenAddresses(&settings.Listen); err != nil {
				return err
			}
			d := &Daemon{Settings: settings, Dir: c.dir, Path: c.options.DaemonPath, Env: c.options.DaemonEnv}
			c.Daemons = append(c.Daemons, d)
			if err := c.addPeersProxy(d); err != nil {
				return err
			}
		}
	}
	return nil
}

func assignListenAddresses(listen *api.ListenSettings) error {
	for _, address := range []*string{&listen.Callers, &listen.Operators, &listen.Peers} {
		free, err := FreeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}

// addPeersProxy starts a proxy in front of the daemon's listener for other daemons.
func (c *Cluster) addPeersProxy(d *Daemon) error {
	if !c.options.Proxies {
		return nil
	}
	proxy, err := c.startProxy(d.Settings.Listen.Peers)
	c.Proxies[d.ID()] = Proxies{Peers: proxy}
	return err
}

func (c *Cluster) startProxy(target string) (*faultproxy.Proxy, error) {
	proxy, err := faultproxy.New(faultproxy.Config{Target: target})
	if err != nil {
		return nil, err
	}
	c.proxies.Go(func() error { return proxy.Run(c.proxyCtx) })
	return proxy, nil
}

func (c *Cluster) startStandin() error {
	config := standin.Config{
		Seed: c.options.Seed, Table: &c.options.Table, Objects: &standin.ListenerConfig{},
		VMs: &standin.VMsConfig{Lag: api.Duration(c.options.VMListLag), Initial: c.entryVMs()},
	}
	for _, zone := range c.options.Zones {
		if zone.Workers > 0 {
			worker := zone.Worker
			worker.ID, worker.Zone, worker.Count = zone.Name+"-worker", zone.Name, zone.Workers
			config.Workers = append(config.Workers, worker)
		}
		if zone.Minions > 0 {
			minion := zone.Minion
			minion.ID, minion.Zone, minion.Count = zone.Name+"-minion", zone.Name, zone.Minions
			config.Minions = append(config.Minions, minion)
		}
	}
	process, err := StartStandin(c.dir, "standin", config)
	c.Standin = process
	return err
}

// entryVMs lists the daemons with the addresses at which their peers reach them.
func (c *Cluster) entryVMs() []standin.VMConfig {
	vms := make([]standin.VMConfig, 0, len(c.Daemons))
	for _, d := range c.Daemons {
		address := d.Settings.Listen.Peers
		if proxy := c.Proxies[d.ID()].Peers; proxy != nil {
			address = proxy.Address()
		}
		vms = append(vms, standin.VMConfig{ID: d.ID(), Kind: api.VMKindEntry, Zone: d.Settings.Daemon.Zone, Address: address})
	}
	return vms
}

// connectDaemons sets the addresses of the platform in the settings of each
// daemon and calls Options.Adjust.
func (c *Cluster) connectDaemons() error {
	for _, d := range c.Daemons {
		table, objects, vms := c.Standin.Addresses.Table, c.Standin.Addresses.Objects, c.Standin.Addresses.VMs
		if c.options.Proxies {
			proxies, err := c.platformProxies(c.Proxies[d.ID()])
			if err != nil {
				return err
			}
			c.Proxies[d.ID()] = proxies
			table, objects, vms = proxies.Table.Address(), proxies.Objects.Address(), proxies.VMs.Address()
		}
		platform := &d.Settings.Platform
		platform.TableURL, platform.ObjectsURL, platform.VmsURL = "http://"+table, "http://"+objects, "http://"+vms
		if c.options.Adjust != nil {
			c.options.Adjust(&d.Settings)
		}
	}
	return nil
}

func (c *Cluster) platformProxies(p Proxies) (Proxies, error) {
	var errs [3]error
	p.Table, errs[0] = c.startProxy(c.Standin.Addresses.Table)
	p.Objects, errs[1] = c.startProxy(c.Standin.Addresses.Objects)
	p.VMs, errs[2] = c.startProxy(c.Standin.Addresses.VMs)
	return p, errors.Join(errs[:]...)
}

// ReplaceDaemon restarts a daemon whose process has exited, as a new instance of
// its VM.
func (c *Cluster) ReplaceDaemon(d *Daemon) error {
	vms, err := c.Standin.VMs()
	if err != nil {
		return err
	}
	for _, vm := range vms.Vms {
		if vm.ID == d.ID() {
			vm.Instance, vm.State = "", api.Live
			if err := c.Standin.PutVM(vm); err != nil {
				return err
			}
		}
	}
	return d.Start()
}

// WaitReady waits until all running daemons are ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	var group errgroup.Group
	for _, d := range c.Daemons {
		if d.Process != nil && d.Running() {
			group.Go(func() error { return d.WaitReady(ctx) })
		}
	}
	return group.Wait()
}

// Daemon returns the daemon of a VM and panics if there is none.
func (c *Cluster) Daemon(id string) *Daemon {
	for _, d := range c.Daemons {
		if d.ID() == id {
			return d
		}
	}
	panic("harness: no daemon " + id)
}

// Logs returns the output of all processes, to report with a failed test.
func (c *Cluster) Logs() string {
	var text strings.Builder
	for _, d := range c.Daemons {
		if d.Process != nil {
			fmt.Fprintf(&text, "--- %s ---\n%s\n", d.ID(), d.Logs())
		}
	}
	if c.Standin != nil {
		fmt.Fprintf(&text, "--- stand-in ---\n%s\n", c.Standin.Logs())
	}
	return text.String()
}

// File returns the path of a file in the directory of the cluster.
func (c *Cluster) File(name string) string { return filepath.Join(c.dir, name) }

// Stop stops all processes and proxies and removes the directory of the cluster.
func (c *Cluster) Stop() error {
	var group errgroup.Group
	for _, d := range c.Daemons {
		group.Go(d.Stop)
	}
	errs := []error{group.Wait()}
	if c.Standin != nil {
		errs = append(errs, c.Standin.Stop())
	}
	c.stopProxies()
	errs = append(errs, c.proxies.Wait(), os.RemoveAll(c.dir))
	return errors.Join(errs...)
}
