package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

// clients holds the clients of the platform services, the workers and the minions.
type clients struct {
	table   table.Store
	objects refplatform.Objects
	vms     refplatform.VMs
	workers refplatform.Workers
	minions refplatform.Minions
}

const (
	// maxWorkerConnections bounds the connections to one worker.
	maxWorkerConnections = 4
	// maxServiceConnections bounds the connections to the table service, the object
	// store and the VM list.
	maxServiceConnections = 16
)

func (d *Daemon) newClients() (clients, error) {
	p := d.settings.Platform
	serviceConfig := d.clientConfig("platform", p.RequestTimeout.Std(), maxServiceConnections)
	var c clients
	var err error
	serviceConfig.URL = p.TableURL
	if c.table, err = refplatform.NewTable(serviceConfig); err != nil {
		return c, err
	}
	serviceConfig.URL = p.ObjectsURL
	if c.objects, err = refplatform.NewObjects(serviceConfig); err != nil {
		return c, err
	}
	serviceConfig.URL = p.VmsURL
	vms, err := refplatform.NewVMs(serviceConfig)
	if err != nil {
		return c, err
	}
	// Several components poll the VM list at the same interval and share its
	// answers. Half the interval as maximum age bounds the age of the list that a
	// component sees to one and a half intervals.
	c.vms = refplatform.NewCachedVMs(vms, d.settings.Timing.VMListEvery.Std()/2)
	c.workers = refplatform.NewWorkers(d.clientConfig("workers", p.RequestTimeout.Std(), maxWorkerConnections))
	t := d.settings.Timing
	minionTimeout := maxMinionDeadline + t.LateAnswerWait.Std()
	c.minions = refplatform.NewMinions(d.clientConfig("minions", minionTimeout, d.settings.Limits.MinionConnections))
	return c, nil
}

// maxMinionDeadline bounds a call to a minion. The router cancels each call at the
// deadline of its request, which is usually earlier.
const maxMinionDeadline = time.Hour

func (d *Daemon) clientConfig(component string, timeout time.Duration, connections int) refplatform.Config {
	return refplatform.Config{
		Timeout: timeout, DialTimeout: d.settings.Platform.RequestTimeout.Std(), Connections: connections,
		Logger: telemetry.Named(d.log, "platform"), Scope: d.metrics.Scope, Tracer: d.traces.Tracer(component),
	}
}
