package router

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// setVMs applies a VM list. A minion that is no longer listed gets no new requests;
// its requests in flight go on. An instance that is leaving gets no new requests again,
// even if a list, which may be out of date, has it as live.
func (p *pool) setVMs(vms []api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.minions {
		m.listed = false
	}
	for _, vm := range vms {
		if vm.Kind == api.VMKindMinion {
			p.applyVM(vm)
		}
	}
	for id, m := range p.minions {
		if !m.listed {
			m.reason = "not in the VM list"
			if m.busySlots == 0 && !m.leaving {
				delete(p.minions, id)
			}
		}
	}
	p.updateOwnMinions()
}

func (p *pool) applyVM(vm api.VM) {
	m, known := p.minions[vm.ID]
	if !known || m.vm.Instance != vm.Instance {
		m = &minion{vm: vm}
		p.minions[vm.ID] = m
		p.log.Info("Added a minion from the VM list.", zap.String("minion", vm.ID), zap.String("zone", vm.Zone))
	}
	m.listed = true
	m.leaving = m.leaving || vm.State == api.Leaving
}

// syncLeaving marks the minions that peers announce as leaving, and updates the
// announcement of this daemon. A minion reports that it is leaving only to the
// daemon that sends it requests. Without the announcements, the next owner of the
// minion would send it requests.
func (p *pool) syncLeaving() {
	for _, member := range p.network.Members() {
		for _, leaving := range member.LeavingMinions {
			if m := p.minions[leaving.ID]; m != nil && m.vm.Instance == leaving.Instance {
				m.leaving = true
			}
		}
	}
	var announced []api.MinionInstance
	for _, m := range p.minions {
		if m.leaving && m.listed && m.vm.State != api.Leaving {
			announced = append(announced, api.MinionInstance{ID: m.vm.ID, Instance: m.vm.Instance})
		}
	}
	p.leavingMinions.Store(&announced)
}

// updateOwnMinions computes which minions this daemon may use. If no daemon of the
// zone is live, which includes this one while it drains, this daemon uses all minions
// of the zone for its waiting requests, because no other daemon uses them.
func (p *pool) updateOwnMinions() {
	self := p.network.Self()
	live := p.network.LiveVMs(self.Zone)
	if len(live) == 0 {
		live = []string{self.VM}
	}
	p.ownMinions = p.ownMinions[:0]
	if isZoneOutOfService(p.view.Current(), self.Zone) {
		return
	}
	for _, m := range p.minions {
		if m.vm.Zone == self.Zone && m.listed && !m.leaving && ownerOf(m.vm.ID, live) == self.VM {
			p.ownMinions = append(p.ownMinions, m)
		}
	}
	slices.SortFunc(p.ownMinions, func(a, b *minion) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

// statuses returns the status of all known minions, ordered by identifier.
func (p *pool) statuses() []api.MinionStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := map[string][]string{}
	out := make([]api.MinionStatus, 0, len(p.minions))
	for _, m := range p.minions {
		if !m.listed && m.busySlots == 0 {
			continue
		}
		zone := m.vm.Zone
		if _, ok := live[zone]; !ok {
			live[zone] = p.network.LiveVMs(zone)
		}
		out = append(out, api.MinionStatus{
			ID: m.vm.ID, Zone: zone, State: m.status(), Owner: ownerOf(m.vm.ID, live[zone]),
			Slots: p.slotsPerMinion, SlotsBusy: m.busySlots, Reason: m.reason,
		})
	}
	slices.SortFunc(out, func(a, b api.MinionStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
