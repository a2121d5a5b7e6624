package placement

import (
	"container/heap"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// amounts are capacities by kind: processors, memory and accelerators.
type amounts [3]float64

// accelerators is the position of accelerators in amounts.
const accelerators = 2

// amountsOf returns the amounts of a need. Usage that is negative counts as none: it is wrong,
// and must not put its organisation ahead of all others.
func amountsOf(n batch.Need) amounts {
	return amounts{max(0, float64(n.MilliCPU)), max(0, float64(n.MemoryMb)), max(0, float64(n.Accelerators))}
}

// holding is what an organisation holds, as shares of the capacity by kind.
type holding struct {
	urgent, other amounts
	// guaranteed is the share of the accelerators that the guarantee covers. Urgent work may
	// hold the same share of the processors and the memory with them.
	guaranteed float64
}

// dominant returns the dominant share: the largest share of any kind of capacity, without what
// the guarantee covers of the urgent work (dominant-resource fairness, Ghodsi et al., NSDI 2011).
func (h *holding) dominant() float64 {
	share := 0.0
	for kind := range h.urgent {
		share = max(share, max(0, h.urgent[kind]-h.guaranteed)+h.other[kind])
	}
	return share
}

// capacity returns the capacity of all workers. Usage is not known by service, so that the
// workers of all services count.
func (p *planner) capacity() amounts {
	var sum amounts
	for w := range p.Workers {
		for kind, amount := range amountsOf(p.totalOf(w)) {
			sum[kind] += amount
		}
	}
	return sum
}

// setHoldings computes what each organisation that runs work holds.
func (p *planner) setHoldings() {
	p.fleetCapacity, p.holdings = p.capacity(), map[string]*holding{}
	for organisation, usage := range p.Usage {
		h := p.holdingOf(organisation)
		h.urgent, h.other = p.shareOfCapacity(usage.Urgent, 1), p.shareOfCapacity(usage.Other, 1)
	}
}

func (p *planner) holdingOf(organisation string) *holding {
	h := p.holdings[organisation]
	if h == nil {
		h = &holding{}
		if guarantee := p.Guarantees[organisation]; guarantee.Accelerators > 0 {
			h.guaranteed = p.shareOfCapacity(batch.Need{Accelerators: guarantee.Accelerators}, 1)[accelerators]
		}
		p.holdings[organisation] = h
	}
	return h
}

// shareOfCapacity returns what n tasks of a need hold, as shares of the capacity. A kind that
// no worker has is left out.
func (p *planner) shareOfCapacity(need batch.Need, n int) amounts {
	shares := amountsOf(need)
	for kind := range shares {
		if p.fleetCapacity[kind] <= 0 {
			shares[kind] = 0
			continue
		}
		shares[kind] *= float64(n) / p.fleetCapacity[kind]
	}
	return shares
}

// DominantShares returns the dominant share of each organisation that runs work.
func DominantShares(snapshot Snapshot) map[string]float64 {
	p := &planner{Snapshot: boundAmounts(snapshot)}
	p.setHoldings()
	shares := make(map[string]float64, len(p.holdings))
	for organisation, h := range p.holdings {
		shares[organisation] = h.dominant()
	}
	return shares
}

// placeInOrder places demands of the given order, most urgent first. Of the demands of the same
// band and cover, those that have waited for agingWait come first, by age. Among the others, it
// is the turn of the organisation with the smallest dominant share.
func (p *planner) placeInOrder(order []int) {
	for len(order) > 0 {
		first, n, organisations := &p.Demands[order[0]], 0, 1
		for n < len(order) && p.sameRank(first, &p.Demands[order[n]]) {
			if p.Demands[order[n]].Organisation != first.Organisation {
				organisations = 2 // or more
			}
			n++
		}
		if organisations == 1 {
			p.placeAll(order[:n])
		} else {
			p.placeByShare(order[:n])
		}
		order = order[n:]
	}
}

// sameRank reports whether two demands are of the same band and cover.
func (p *planner) sameRank(a, b *Demand) bool {
	return p.band(a) == p.band(b) && p.coverRank(a) == p.coverRank(b)
}

func (p *planner) placeAll(demands []int) {
	for _, d := range demands {
		p.placeAndCharge(d)
	}
}

// placeByShare places demands of one rank that several organisations have.
func (p *planner) placeByShare(demands []int) {
	byOrganisation := map[string]*turn{}
	var turns turnHeap
	for rank, d := range demands {
		if p.aged(&p.Demands[d]) {
			p.placeAndCharge(d)
			continue
		}
		organisation := p.Demands[d].Organisation
		next := byOrganisation[organisation]
		if next == nil {
			next = &turn{holding: p.holdingOf(organisation)}
			byOrganisation[organisation] = next
			turns = append(turns, next)
		}
		next.waiting = append(next.waiting, waiting{demand: d, rank: rank})
	}
	for _, next := range turns {
		next.share = next.holding.dominant()
	}
	heap.Init(&turns)
	for len(turns) > 0 {
		next := turns[0]
		p.placeAndCharge(next.waiting[0].demand)
		if next.waiting = next.waiting[1:]; len(next.waiting) == 0 {
			heap.Pop(&turns)
			continue
		}
		next.share = next.holding.dominant()
		heap.Fix(&turns, 0)
	}
}

// placeAndCharge places a demand and adds to the share of its organisation what the plan gives
// it, so that the turn passes on. Workers that are reserved, held or evicted for a
// demand count in this plan as well: otherwise the blocked gangs of one organisation could take
// all reservations.
func (p *planner) placeAndCharge(d int) {
	if p.Observe != nil {
		p.Observe(p.Demands[d].Key)
	}
	demand := &p.Demands[d]
	placements, reservations, evictions, waits := len(p.result.Placements), p.reservations, len(p.result.Evict), len(p.result.Waits)
	p.placing = d
	p.place(d)
	given := 0
	for _, placed := range p.result.Placements[placements:] {
		given += len(placed.Tasks)
	}
	if p.reservations > reservations || len(p.result.Evict) > evictions || len(p.result.Waits) > waits {
		given = len(demand.Tasks)
	}
	if given == 0 {
		return
	}
	h := p.holdingOf(demand.Organisation)
	held := &h.other
	if demand.Priority == 0 {
		held = &h.urgent
	}
	for kind, share := range p.shareOfCapacity(ChargedNeed(demand.Step), given) {
		held[kind] += share
	}
}

// waiting is a demand that waits for the turn of its organisation.
type waiting struct {
	demand int
	rank   int // position in the order without shares
}

// turn is an organisation that waits for its turn, with its demands in their order.
type turn struct {
	holding *holding
	share   float64 // dominant share
	waiting []waiting
}

// turnHeap orders organisations by dominant share. Equal ones are ordered by their next demand.
type turnHeap []*turn

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(a, b int) bool {
	if h[a].share != h[b].share {
		return h[a].share < h[b].share
	}
	return h[a].waiting[0].rank < h[b].waiting[0].rank
}

func (h turnHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *turnHeap) Push(x any) { *h = append(*h, x.(*turn)) }

func (h *turnHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
