package peers

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// Statuses converts members for the status report of a daemon. The age of a member
// that never sent a frame is -1.
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

// stateReporter logs state changes of members and updates the gauge of live members.
type stateReporter struct {
	mesh         *Mesh
	lastReported map[string]State
}

func (r *stateReporter) report() {
	members := r.mesh.Members()
	live := 0
	states := make(map[string]State, len(members))
	for _, member := range members {
		states[member.VM] = member.State
		if member.State == Live {
			live++
		}
		if before, known := r.lastReported[member.VM]; before != member.State {
			r.logChange(member, before, known)
		}
	}
	r.lastReported = states
	r.mesh.metrics.liveMembers.Update(float64(live))
}

// logChange logs a state change, except for a newly listed daemon that has not
// connected yet.
func (r *stateReporter) logChange(member Member, before State, known bool) {
	fields := []zap.Field{zap.String("peer", member.VM), zap.String("zone", member.Zone), zap.String("before", string(before))}
	switch {
	case member.State != Silent:
		r.mesh.logger.Info("Peer is "+string(member.State)+".", fields...)
	case known:
		r.mesh.logger.Warn("Peer is silent.", fields...)
	}
}
