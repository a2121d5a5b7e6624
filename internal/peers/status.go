package peers

import (
	"time"

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
