package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

// clients reach the services of the platform.
type clients struct {
	table   table.Store
	objects refplatform.Objects
	vms     refplatform.VMs
	workers refplatform.Workers
	minions refplatform.Minions
}

const (
	// workerConnections bounds the connections to one worker.
	workerConnections = 4
	// serviceConnections bounds the connections to the table service, the object
	// store and the VM list.
	serviceConnections = 16
)

func (d *Daemon) newClients() (clients, error) {
	p := d.settings.Platform
	service := d.clientConfig("platform", p.RequestTimeout.Std(), serviceConnections)
	var c clients
	var err error
	service.URL = p.TableURL
	if c.table, err = refplatform.NewTable(service); err != nil {
		return c, err
	}
	service.URL = p.ObjectsURL
	if c.objects, err = refplatform.NewObjects(service); err != nil {
		return c, err
	}
	service.URL = p.VmsURL
	vms, err := refplatform.NewVMs(service)
	if err != nil {
		return c, err
	}
	// Readings are shared by parts that poll at the same interval; half of it
	// keeps a reading younger than one interval and a half.
	c.vms = refplatform.NewCachedVMs(vms, d.settings.Timing.VMListEvery.Std()/2)
	c.workers = refplatform.NewWorkers(d.clientConfig("workers", p.RequestTimeout.Std(), workerConnections))
	t := d.settings.Timing
	longest := longestDeadline + t.LateAnswerWait.Std()
	c.minions = refplatform.NewMinions(d.clientConfig("minions", longest, d.settings.Limits.MinionConnections))
	return c, nil
}

// longestDeadline bounds a call to a minion; the router cancels earlier calls
// by their own deadline.
const longestDeadline = time.Hour

func (d *Daemon) clientConfig(part string, timeout time.Duration, connections int) refplatform.Config {
	return refplatform.Config{
		Timeout: timeout, DialTimeout: d.settings.Platform.RequestTimeout.Std(), Connections: connections,
		Logger: telemetry.Named(d.log, "platform"), Scope: d.metrics.Scope, Tracer: d.traces.Tracer(part),
	}
}
