package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/samphirepath/samphirepath/api"
)

// unlistedRetention is how long a daemon that is not in the VM list stays known after
// its last frame. It exceeds the lag of the list, which may not show a new daemon yet.
const unlistedRetention = 10 * time.Second

// membership holds the state of all known daemons, from the VM list and from their
// frames. It is guarded by the mutex of the mesh.
type membership struct {
	self       string
	zone       string
	lostAfter  time.Duration
	members    map[string]*memberRecord
	listAsOfMs int64     // AsOfMs of the newest VM list applied
	lastTick   time.Time // last call of recordTick, zero before the first

	// Leaving, draining and replaced are final, so these sets outlive the records:
	// a late VM list or frame must not make an instance or incarnation live again.
	// Their entries are never removed, as only a few dozen VMs are replaced in a day.
	leavingInstances     map[instanceKey]bool // have been listed as leaving
	replacedInstances    map[instanceKey]bool // were listed before another instance of the VM
	drainingIncarnations map[string]bool      // have announced draining
	replacedIncarnations map[string]bool      // were followed by another process on the VM
}

// instanceKey identifies an instance of a VM.
type instanceKey struct{ vm, instance string }

// memberRecord is a member with its entry of the VM list.
type memberRecord struct {
	Member
	// lastHeard is LastSeen plus the time for which this process was suspended since.
	lastHeard      time.Time
	listed         bool
	latestInstance string // current instance in the VM list, empty if it was never listed
}

func newMembership(self, zone string, lostAfter time.Duration) *membership {
	return &membership{
		self: self, zone: zone, lostAfter: lostAfter,
		members:              map[string]*memberRecord{},
		leavingInstances:     map[instanceKey]bool{},
		replacedInstances:    map[instanceKey]bool{},
		drainingIncarnations: map[string]bool{},
		replacedIncarnations: map[string]bool{},
	}
}

// record returns the record of a VM, which it creates if there is none.
func (m *membership) record(vm string) *memberRecord {
	r := m.members[vm]
	if r == nil {
		r = &memberRecord{Member: Member{VM: vm}}
		m.members[vm] = r
	}
	return r
}

// applyVMList updates the members from a VM list. Lists may come from replicas with
// different lag; one that is older than the newest so far is ignored.
func (m *membership) applyVMList(list api.VMList, now time.Time) {
	if list.AsOfMs < m.listAsOfMs {
		return
	}
	m.listAsOfMs = list.AsOfMs
	for _, r := range m.members {
		r.listed = false
	}
	for _, vm := range list.Vms {
		if vm.Kind == api.VMKindEntry {
			m.applyListedVM(vm)
		}
	}
	for vm, r := range m.members {
		if !r.listed && now.Sub(r.LastSeen) > max(unlistedRetention, m.silenceTimeout(r.Zone)) {
			delete(m.members, vm)
		}
	}
}

// applyListedVM updates a member from its entry in the VM list. This includes this
// daemon's VM: the other daemons exclude it once it is listed as leaving, and all
// daemons must agree on which ones are live.
func (m *membership) applyListedVM(vm api.VM) {
	r := m.record(vm.ID)
	r.listed = true
	key := instanceKey{vm.ID, vm.Instance}
	if vm.State == api.Leaving {
		m.leavingInstances[key] = true
	}
	if m.replacedInstances[key] {
		return
	}
	if r.latestInstance != "" && r.latestInstance != vm.Instance {
		m.replacedInstances[instanceKey{vm.ID, r.latestInstance}] = true
	}
	r.latestInstance, r.Address = vm.Instance, vm.Address
	if r.Incarnation == "" {
		r.Zone = vm.Zone
	}
}

// applyHello updates a member from its hello. It returns false if a newer process on
// the same VM has superseded the sender.
func (m *membership) applyHello(hello *api.PeerHello, revision int64, address string, now time.Time) bool {
	r := m.record(hello.VM)
	if r.Incarnation != hello.Incarnation {
		if m.isSuperseded(r, hello.Incarnation, now) {
			return false
		}
		if r.Incarnation != "" {
			m.replacedIncarnations[r.Incarnation] = true
		}
		r.Member = Member{VM: hello.VM, Address: r.Address, Incarnation: hello.Incarnation}
	}
	r.Zone, r.LastSeen, r.lastHeard, r.Revision = hello.Zone, now, now, max(r.Revision, revision)
	if r.Address == "" {
		r.Address = address
	}
	return true
}

// isSuperseded reports whether a process is older than the known one on the VM of
// the record. Of two incarnations that contain a timestamp, the later one wins. The
// earlier one is accepted again once the later one is silent, because the clock may
// have been set back between the two starts. Without timestamps, an incarnation is
// superseded if another one has followed it.
func (m *membership) isSuperseded(r *memberRecord, incarnation string, now time.Time) bool {
	switch compareIncarnations(incarnation, r.Incarnation) {
	case 1:
		return false
	case -1:
		return m.snapshot(r, now).State != Silent
	default:
		return m.replacedIncarnations[incarnation]
	}
}

// compareIncarnations orders incarnations made by NewIncarnation by their time. It
// returns 0 if either has another format.
func compareIncarnations(a, b string) int {
	const timeOrderedVersion = 7
	first, err := uuid.Parse(a)
	if err != nil || first.Version() != timeOrderedVersion {
		return 0
	}
	second, err := uuid.Parse(b)
	if err != nil || second.Version() != timeOrderedVersion {
		return 0
	}
	return strings.Compare(first.String(), second.String())
}

// recordContact updates a member after a frame from it. It returns false if the
// sender is not the current incarnation on its VM.
func (m *membership) recordContact(vm, incarnation string, revision int64, now time.Time) bool {
	r := m.members[vm]
	if r == nil || r.Incarnation != incarnation {
		return false
	}
	r.LastSeen, r.lastHeard = now, now
	r.Revision = max(r.Revision, revision)
	return true
}

// applyHeartbeat updates a member from its heartbeat.
func (m *membership) applyHeartbeat(vm string, h *api.PeerHeartbeat) {
	r := m.members[vm]
	if r == nil {
		return
	}
	r.FreeSlots, r.PlannerEpoch = h.FreeSlots, h.PlannerEpoch
	r.TableVersion = max(r.TableVersion, h.TableVersion)
	r.LeavingMinions = h.LeavingMinions
	r.StoreAge = time.Duration(h.StoreAgeMs) * time.Millisecond
	if h.Draining {
		m.drainingIncarnations[r.Incarnation] = true
	}
}

// silenceTimeout returns the time without frames after which a daemon in the zone is
// Silent.
func (m *membership) silenceTimeout(zone string) time.Duration {
	if zone == m.zone {
		return m.lostAfter
	}
	return otherZoneFactor * m.lostAfter
}

// recordTick records that this process is running. After this process was suspended,
// for example with its VM, its peers seem silent, because it has read none of their
// frames. The time of the suspension therefore does not count as silence, so that this
// daemon does not take over the work of all others when it resumes.
func (m *membership) recordTick(now time.Time) {
	if suspended := m.suspendedTime(now); suspended > 0 {
		for _, r := range m.members {
			r.lastHeard = r.lastHeard.Add(suspended)
		}
	}
	m.lastTick = now
}

// suspendedTime returns the time since the last tick if it is so long that the process
// must have been suspended, else 0.
func (m *membership) suspendedTime(now time.Time) time.Duration {
	if suspended := now.Sub(m.lastTick); !m.lastTick.IsZero() && suspended > m.lostAfter/2 {
		return suspended
	}
	return 0
}

// snapshot returns the member of a record with its state at time now.
func (m *membership) snapshot(r *memberRecord, now time.Time) Member {
	member := r.Member
	switch {
	case m.leavingInstances[instanceKey{r.VM, r.latestInstance}]:
		member.State = Leaving
	case r.lastHeard.IsZero() || now.Sub(r.lastHeard)-m.suspendedTime(now) > m.silenceTimeout(r.Zone):
		member.State = Silent
	case m.drainingIncarnations[r.Incarnation]:
		member.State = Draining
	default:
		member.State = Live
	}
	return member
}

func (m *membership) get(vm string, now time.Time) Member {
	if r := m.members[vm]; r != nil {
		return m.snapshot(r, now)
	}
	return Member{VM: vm, State: Silent}
}

func (m *membership) list(now time.Time) []Member {
	members := make([]Member, 0, len(m.members))
	for vm, r := range m.members {
		if vm != m.self {
			members = append(members, m.snapshot(r, now))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return members
}

// isSelfLeaving reports whether this daemon's VM has been listed as leaving.
func (m *membership) isSelfLeaving() bool {
	r := m.members[m.self]
	return r != nil && m.leavingInstances[instanceKey{r.VM, r.latestInstance}]
}

// liveVMs returns the VMs of the live daemons of a zone in ascending order. It
// includes this daemon's VM if withSelf is set, the VM is in the zone and it is not
// leaving.
func (m *membership) liveVMs(zone string, withSelf bool, now time.Time) []string {
	var vms []string
	if withSelf && zone == m.zone && !m.isSelfLeaving() {
		vms = append(vms, m.self)
	}
	for vm, r := range m.members {
		if vm != m.self && r.Zone == zone && m.snapshot(r, now).State == Live {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}
