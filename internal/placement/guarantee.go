package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Guarantee is the number of accelerators that always belong to an organisation for its work
// of priority 0, and the number that such work holds. Others may borrow what is idle.
type Guarantee struct {
	Accelerators int64
	Held         int64 // without runs that are being stopped
}

// Exceeded reports whether work of priority 0 holds more than the guarantee.
func (g Guarantee) Exceeded() bool { return g.left() < 0 }

// left returns how many more accelerators the guarantee covers.
func (g Guarantee) left() int64 { return g.Accelerators - g.Held }

// applyGuarantees finds the demands that the guarantees cover and the running work that
// borrows.
func (p *planner) applyGuarantees() {
	p.borrowers = make([]bool, len(p.Groups))
	if p.Guarantees == nil {
		return
	}
	p.findUncovered()
	p.findBorrowers()
}

// findUncovered marks the demands of priority 0 that are beyond the guarantee of their
// organisation. The oldest demands are covered first.
func (p *planner) findUncovered() {
	p.uncovered = map[*Demand]bool{}
	byOrganisation := map[string][]*Demand{}
	for i := range p.Demands {
		if d := &p.Demands[i]; d.Priority == 0 {
			byOrganisation[d.Organisation] = append(byOrganisation[d.Organisation], d)
		}
	}
	for organisation, demands := range byOrganisation {
		slices.SortStableFunc(demands, func(a, b *Demand) int {
			return cmp.Or(a.StartableSince.Compare(b.StartableSince), strings.Compare(a.Key.Job, b.Key.Job))
		})
		left := p.Guarantees[organisation].left()
		for _, d := range demands {
			needed := ChargedNeed(d.Step).Accelerators * int64(len(d.Tasks))
			if needed > left {
				p.uncovered[d] = true
				continue
			}
			left -= needed
		}
	}
}

// findBorrowers marks the running work of priority 0 that is beyond the guarantee of its
// organisation: what was started last, until the rest is within it.
func (p *planner) findBorrowers() {
	byOrganisation := map[string][]int{}
	for g := range p.Groups {
		if group := &p.Groups[g]; group.Priority == 0 && p.Guarantees[group.Organisation].Exceeded() {
			byOrganisation[group.Organisation] = append(byOrganisation[group.Organisation], g)
		}
	}
	for organisation, groups := range byOrganisation {
		slices.SortStableFunc(groups, func(a, b int) int {
			return cmp.Or(p.Groups[b].StartedAt.Compare(p.Groups[a].StartedAt), cmp.Compare(p.Groups[a].Loss, p.Groups[b].Loss))
		})
		left := p.Guarantees[organisation].left()
		for _, g := range groups {
			if left >= 0 {
				break
			}
			held := p.Groups[g].accelerators()
			p.borrowers[g] = held > 0
			left += held
		}
	}
}

// accelerators returns the number of accelerators that the tasks of a group hold.
func (g *EvictionGroup) accelerators() int64 {
	var sum batch.Need
	for _, task := range g.Tasks {
		sum = Add(sum, task.Need)
	}
	return sum.Accelerators
}

// covered reports whether the guarantee of its organisation covers a demand of priority 0.
func (p *planner) covered(demand *Demand) bool { return !p.uncovered[demand] }

// coverRank orders the demands of priority 0: the covered ones come first.
func (p *planner) coverRank(demand *Demand) int {
	if p.uncovered[demand] {
		return 1
	}
	return 0
}

// evictionRound is what a search of evictions may use.
type evictionRound struct {
	reclaims bool // work of priority 0 of borrowers
	suspects bool // suspect workers
}

// evictionRounds returns the rounds of evictions for a demand. Work of priority 0 is reclaimed
// only if a guarantee covers the demand and others borrow. Suspect workers come last, and only
// when a guarantee would be missed without them.
func (p *planner) evictionRounds(demand *Demand) []evictionRound {
	rounds := []evictionRound{{}}
	reclaims := p.covered(demand) && slices.Contains(p.borrowers, true)
	if reclaims {
		rounds = append(rounds, evictionRound{reclaims: true})
	}
	if p.guaranteed(demand) && !p.Now.Before(p.evictBy(demand)) {
		rounds = append(rounds, evictionRound{reclaims: reclaims, suspects: true})
	}
	return rounds
}
