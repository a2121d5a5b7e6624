package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/samphirepath/samphirepath/api"
)

// forgetAfter is how long a daemon that has left the VM list stays known after
// its last frame. It covers the lag of the list, which may not show a new daemon yet.
const forgetAfter = 10 * time.Second

// membership is what this daemon knows of the others. It is guarded by the
// mutex of the mesh.
type membership struct {
	self      string
	zone      string
	lostAfter time.Duration
	members   map[string]*memberRecord
	asOfMs    int64     // age of the newest reading of the VM list
	ticked    time.Time // last tick, zero before the first

	// What has ended never becomes live again, so these sets outlive the
	// records. They grow by the few dozen VMs that are replaced in a day.
	left     map[instanceKey]bool // listed as leaving
	past     map[instanceKey]bool // listed before another instance of the VM
	drained  map[string]bool      // incarnations that announced draining
	replaced map[string]bool      // incarnations that another process on their VM has followed
}

// instanceKey names an instance of a VM.
type instanceKey struct{ vm, instance string }

// memberRecord is a member with its place in the VM list.
type memberRecord struct {
	Member
	// heard is LastSeen, moved on by the time in which this process did not run.
	heard    time.Time
	listed   bool
	instance string // newest instance in the VM list, empty before the first
}

func newMembership(self, zone string, lostAfter time.Duration) *membership {
	return &membership{
		self: self, zone: zone, lostAfter: lostAfter,
		members:  map[string]*memberRecord{},
		left:     map[instanceKey]bool{},
		past:     map[instanceKey]bool{},
		drained:  map[string]bool{},
		replaced: map[string]bool{},
	}
}

func (s *membership) record(vm string) *memberRecord {
	r := s.members[vm]
	if r == nil {
		r = &memberRecord{Member: Member{VM: vm}}
		s.members[vm] = r
	}
	return r
}

// takeList takes a reading of the VM list. Readings may come from replicas that
// lag by different amounts; one older than the newest so far is ignored.
func (s *membership) takeList(list api.VMList, now time.Time) {
	if list.AsOfMs < s.asOfMs {
		return
	}
	s.asOfMs = list.AsOfMs
	for _, r := range s.members {
		r.listed = false
	}
	for _, vm := range list.Vms {
		if vm.Kind == api.VMKindEntry {
			s.takeListed(vm)
		}
	}
	for vm, r := range s.members {
		if !r.listed && now.Sub(r.LastSeen) > max(forgetAfter, s.lost(r.Zone)) {
			delete(s.members, vm)
		}
	}
}

// takeListed takes the entry of a VM. The own VM is listed too: the others leave
// it out once it is listed as leaving, and must agree with it on who is live.
func (s *membership) takeListed(vm api.VM) {
	r := s.record(vm.ID)
	r.listed = true
	key := instanceKey{vm.ID, vm.Instance}
	if vm.State == api.Leaving {
		s.left[key] = true
	}
	if s.past[key] {
		return
	}
	if r.instance != "" && r.instance != vm.Instance {
		s.past[instanceKey{vm.ID, r.instance}] = true
	}
	r.instance, r.Address = vm.Instance, vm.Address
	if r.Incarnation == "" {
		r.Zone = vm.Zone
	}
}

// meet takes the hello of a daemon. It returns false for a process that a newer
// one on the same VM has superseded.
func (s *membership) meet(hello *api.PeerHello, revision int64, address string, now time.Time) bool {
	r := s.record(hello.VM)
	if r.Incarnation != hello.Incarnation {
		if s.superseded(r, hello.Incarnation, now) {
			return false
		}
		if r.Incarnation != "" {
			s.replaced[r.Incarnation] = true
		}
		r.Member = Member{VM: hello.VM, Address: r.Address, Incarnation: hello.Incarnation}
	}
	r.Zone, r.LastSeen, r.heard, r.Revision = hello.Zone, now, now, max(r.Revision, revision)
	if r.Address == "" {
		r.Address = address
	}
	return true
}

// superseded tells whether a process is an earlier one on the VM of the record.
// Of two incarnations that carry their time the later one wins. The earlier one
// is still let in once the later one is silent: its clock may have been wrong.
func (s *membership) superseded(r *memberRecord, incarnation string, now time.Time) bool {
	switch compareIncarnations(incarnation, r.Incarnation) {
	case 1:
		return false
	case -1:
		return s.snapshot(r, now).State != Silent
	default:
		return s.replaced[incarnation]
	}
}

// compareIncarnations orders incarnations made by NewIncarnation by their time;
// others compare as 0.
func compareIncarnations(a, b string) int {
	const timeOrdered = 7
	first, err := uuid.Parse(a)
	if err != nil || first.Version() != timeOrdered {
		return 0
	}
	second, err := uuid.Parse(b)
	if err != nil || second.Version() != timeOrdered {
		return 0
	}
	return strings.Compare(first.String(), second.String())
}

// touch notes a frame of a daemon.
func (s *membership) touch(vm, incarnation string, revision int64, now time.Time) bool {
	r := s.members[vm]
	if r == nil || r.Incarnation != incarnation {
		return false
	}
	r.LastSeen, r.heard = now, now
	r.Revision = max(r.Revision, revision)
	return true
}

// beat takes the contents of a heartbeat.
func (s *membership) beat(vm string, h *api.PeerHeartbeat) {
	r := s.members[vm]
	if r == nil {
		return
	}
	r.FreeSlots, r.PlannerEpoch = h.FreeSlots, h.PlannerEpoch
	r.TableVersion = max(r.TableVersion, h.TableVersion)
	r.LeavingMinions = h.LeavingMinions
	r.StoreAge = time.Duration(h.StoreAgeMs) * time.Millisecond
	if h.Draining {
		s.drained[r.Incarnation] = true
	}
}

func (s *membership) lost(zone string) time.Duration {
	if zone == s.zone {
		return s.lostAfter
	}
	return remoteFactor * s.lostAfter
}

// tick notes that this process runs. After a pause of the process, such as a
// frozen VM, the others have not been silent: nobody listened. They get the
// full time until a loss again, so that this daemon does not take over the work
// of all others when it wakes.
func (s *membership) tick(now time.Time) {
	if pause := s.pause(now); pause > 0 {
		for _, r := range s.members {
			r.heard = r.heard.Add(pause)
		}
	}
	s.ticked = now
}

// pause returns the time since the last tick when it is too long for a process
// that runs, else 0.
func (s *membership) pause(now time.Time) time.Duration {
	if pause := now.Sub(s.ticked); !s.ticked.IsZero() && pause > s.lostAfter/2 {
		return pause
	}
	return 0
}

// snapshot returns the member with its state at a time.
func (s *membership) snapshot(r *memberRecord, now time.Time) Member {
	member := r.Member
	switch {
	case s.left[instanceKey{r.VM, r.instance}]:
		member.State = Leaving
	case r.heard.IsZero() || now.Sub(r.heard)-s.pause(now) > s.lost(r.Zone):
		member.State = Silent
	case s.drained[r.Incarnation]:
		member.State = Draining
	default:
		member.State = Live
	}
	return member
}

func (s *membership) get(vm string, now time.Time) Member {
	if r := s.members[vm]; r != nil {
		return s.snapshot(r, now)
	}
	return Member{VM: vm, State: Silent}
}

func (s *membership) list(now time.Time) []Member {
	members := make([]Member, 0, len(s.members))
	for vm, r := range s.members {
		if vm != s.self {
			members = append(members, s.snapshot(r, now))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return members
}

// selfLeaving tells whether the own VM is listed as leaving.
func (s *membership) selfLeaving() bool {
	r := s.members[s.self]
	return r != nil && s.left[instanceKey{r.VM, r.instance}]
}

func (s *membership) live(zone string, withSelf bool, now time.Time) []string {
	var vms []string
	if withSelf && zone == s.zone && !s.selfLeaving() {
		vms = append(vms, s.self)
	}
	for vm, r := range s.members {
		if vm != s.self && r.Zone == zone && s.snapshot(r, now).State == Live {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}
