package router

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// setVMs takes in a VM list. A minion that the list no longer names gets no new
// requests; its requests in flight go on. Leaving is final for an instance, even
// if the lagging list reports it live again.
func (p *pool) setVMs(vms []api.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.minions {
		m.listed = false
	}
	for _, vm := range vms {
		if vm.Kind == api.VMKindMinion {
			p.list(vm)
		}
	}
	for id, m := range p.minions {
		if !m.listed {
			m.reason = "not in the VM list"
			if m.busy == 0 && !m.leaving {
				delete(p.minions, id)
			}
		}
	}
	p.own()
}

func (p *pool) list(vm api.VM) {
	m, known := p.minions[vm.ID]
	if !known || m.vm.Instance != vm.Instance {
		m = &minion{vm: vm}
		p.minions[vm.ID] = m
		p.log.Info("Minion listed.", zap.String("minion", vm.ID), zap.String("zone", vm.Zone))
	}
	m.listed = true
	m.leaving = m.leaving || vm.State == api.Leaving
}

// learnLeaving takes over from the peers which minions are leaving by their own
// word, and notes what this daemon announces. A minion says it only to the daemon
// that sends it requests; without this, the next owner would send it work.
func (p *pool) learnLeaving() {
	for _, member := range p.network.Members() {
		for _, told := range member.LeavingMinions {
			if m := p.minions[told.ID]; m != nil && m.vm.Instance == told.Instance {
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
	p.leaving.Store(&announced)
}

// own computes which minions this daemon may use. A daemon without live daemons
// in its zone, itself drained, serves its waiting requests on all minions of the
// zone, because nobody else does.
func (p *pool) own() {
	self := p.network.Self()
	live := p.network.LiveVMs(self.Zone)
	if len(live) == 0 {
		live = []string{self.VM}
	}
	p.owned = p.owned[:0]
	if zoneIsOut(p.view.Current(), self.Zone) {
		return
	}
	for _, m := range p.minions {
		if m.vm.Zone == self.Zone && m.listed && !m.leaving && ownerOf(m.vm.ID, live) == self.VM {
			p.owned = append(p.owned, m)
		}
	}
	slices.SortFunc(p.owned, func(a, b *minion) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

// statuses describes all known minions.
func (p *pool) statuses() []api.MinionStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := map[string][]string{}
	out := make([]api.MinionStatus, 0, len(p.minions))
	for _, m := range p.minions {
		if !m.listed && m.busy == 0 {
			continue
		}
		zone := m.vm.Zone
		if _, ok := live[zone]; !ok {
			live[zone] = p.network.LiveVMs(zone)
		}
		out = append(out, api.MinionStatus{
			ID: m.vm.ID, Zone: zone, State: m.status(), Owner: ownerOf(m.vm.ID, live[zone]),
			Slots: p.slots, SlotsBusy: m.busy, Reason: m.reason,
		})
	}
	slices.SortFunc(out, func(a, b api.MinionStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
