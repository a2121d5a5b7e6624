package peers

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// Statuses describes members for the status of a daemon. A member that was
// never heard of has the age -1.
func Statuses(members []Member) []api.PeerStatus {
	statuses := make([]api.PeerStatus, 0, len(members))
	for _, m := range members {
		age := int64(-1)
		if !m.LastSeen.IsZero() {
			age = time.Since(m.LastSeen).Milliseconds()
		}
		statuses = append(statuses, api.PeerStatus{
			VM: m.VM, Zone: m.Zone, State: string(m.State), Revision: m.Revision, AgeMs: age,
		})
	}
	return statuses
}

// stateReporter logs changes of the states of members and counts the live ones.
type stateReporter struct {
	mesh     *Mesh
	reported map[string]State
}

func (r *stateReporter) report() {
	members := r.mesh.Members()
	live := 0
	known := make(map[string]State, len(members))
	for _, member := range members {
		known[member.VM] = member.State
		if member.State == Live {
			live++
		}
		if before, reported := r.reported[member.VM]; before != member.State {
			r.log(member, before, reported)
		}
	}
	r.reported = known
	r.mesh.metrics.live.Update(float64(live))
}

// log reports a change. A daemon that is listed and not linked yet is no news.
func (r *stateReporter) log(member Member, before State, reported bool) {
	fields := []zap.Field{zap.String("peer", member.VM), zap.String("zone", member.Zone), zap.String("before", string(before))}
	switch {
	case member.State != Silent:
		r.mesh.logger.Info("Peer is "+string(member.State)+".", fields...)
	case reported:
		r.mesh.logger.Warn("Peer is silent.", fields...)
	}
}
