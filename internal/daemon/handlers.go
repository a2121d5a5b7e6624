package daemon

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/entry"
	"github.com/samphirepath/samphirepath/internal/peers"
)

// maxMissedPolls is the number of poll intervals without an answer from the table
// service after which the daemon considers it unreachable.
const maxMissedPolls = 6

func (d *Daemon) handlers() entry.Handlers {
	return entry.Handlers{
		RequestAPI: entry.NewRequestHandlers(d.router, d.configuration),
		JobAPI: entry.NewJobHandlers(entry.JobHandlersConfig{
			Service: d.service, Rows: d.follower, Tracer: d.traces.Tracer("entry"),
		}),
		ExplainAPI: entry.NewExplainHandlers(d),
		OperatorAPI: entry.NewOperatorHandlers(entry.OperatorHandlersConfig{
			Configuration: d.configuration,
			Workers:       func() []api.WorkerStatus { return d.control.Current().Workers },
			Minions:       d.router.Minions,
			Status:        d.status,
		}),
	}
}

// status returns the status of this daemon for operators.
func (d *Daemon) status() api.Status {
	state := d.control.Current()
	status := api.Status{
		VM: d.settings.Daemon.VM, Zone: d.settings.Daemon.Zone, Incarnation: d.incarnation,
		Ready: d.ready(), Revision: d.configuration.Current().Head.Revision,
		Planner: state.Planner, PlannerEpoch: state.Epoch,
		StoreReachable: d.storeReachable(), StoreAgeMs: d.configuration.StoreAge().Milliseconds(),
		Jobs: map[string]int{}, Peers: []api.PeerStatus{},
	}
	for _, member := range d.mesh.Members() {
		status.Peers = append(status.Peers, peerStatus(member))
		if status.PlannerEpoch == 0 && member.VM == state.Planner {
			status.PlannerEpoch = member.PlannerEpoch
		}
	}
	for _, row := range d.follower.Rows() {
		if row.Job.Zone == d.settings.Daemon.Zone {
			status.Jobs[string(row.Job.State)]++
		}
	}
	return status
}

func peerStatus(m peers.Member) api.PeerStatus {
	return api.PeerStatus{
		VM: m.VM, Zone: m.Zone, State: string(m.State), Revision: m.Revision,
		AgeMs: time.Since(m.LastSeen).Milliseconds(),
	}
}
