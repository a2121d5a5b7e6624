package guarantee

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
)

// Borrower is a running job that may be preempted.
type Borrower struct {
	JobID     string
	Resources api.Resources // of each task
	Tasks     []api.TaskPlacement
	LostWork  time.Duration // accelerator time that a preemption loses
}

// ReclaimTarget is what must become free on a worker.
type ReclaimTarget struct {
	Worker   string
	Capacity Capacity // the accelerators themselves, and amounts of cores and memory
}

// LostWork returns the accelerator time that is lost if a job ends now: work
// since the last checkpoint times accelerators. A job without accelerators
// counts as one, so that its work is not worth nothing.
func LostWork(sinceCheckpoint time.Duration, accelerators int) time.Duration {
	return max(0, sinceCheckpoint) * time.Duration(max(1, accelerators))
}

// SelectVictims selects the borrowers that must end so that all that is wanted
// becomes free, with the least lost work: holders of wanted accelerators must
// end; cores and memory are taken from the cheapest holders on the worker, and
// a victim that turns out not to be needed is spared. It returns false if all
// borrowers together do not suffice. The result is in ascending order.
func SelectVictims(borrowers []Borrower, wanted []ReclaimTarget) ([]string, bool) {
	s := newSelection(borrowers, wanted)
	for _, b := range s.order {
		if s.holdsWanted(b) {
			s.forced[b] = true
			s.take(b)
		}
	}
	for _, b := range s.order {
		if !s.chosen[b] && s.helps(b) {
			s.take(b)
		}
	}
	s.spare()
	var out []string
	for b, chosen := range s.chosen {
		if chosen {
			out = append(out, borrowers[b].JobID)
		}
	}
	slices.Sort(out)
	return out, s.done()
}

type selection struct {
	borrowers []Borrower
	held      []map[string]Capacity // by worker, for each borrower
	open      map[string]*missing
	order     []int // by least lost work
	chosen    []bool
	forced    []bool // holds a wanted accelerator
}

// missing is what is still wanted on a worker; amounts below zero are surplus.
type missing struct {
	cores        int
	memoryMB     int64
	accelerators Set
}

func newSelection(borrowers []Borrower, wanted []ReclaimTarget) *selection {
	s := &selection{borrowers: borrowers, open: make(map[string]*missing), chosen: make([]bool, len(borrowers)),
		forced: make([]bool, len(borrowers))}
	for _, w := range wanted {
		m := s.open[w.Worker]
		if m == nil {
			m = &missing{}
			s.open[w.Worker] = m
		}
		m.cores += w.Capacity.Cores
		m.memoryMB += w.Capacity.MemoryMB
		m.accelerators |= w.Capacity.Accelerators
	}
	for i, b := range borrowers {
		held := make(map[string]Capacity)
		for _, t := range b.Tasks {
			held[t.Worker] = held[t.Worker].Add(packing.CapacityOf(b.Resources, 1, packing.SetOf(t.Accelerators)))
		}
		s.held = append(s.held, held)
		s.order = append(s.order, i)
	}
	slices.SortFunc(s.order, func(x, y int) int {
		return cmp.Or(cmp.Compare(borrowers[x].LostWork, borrowers[y].LostWork),
			cmp.Compare(borrowers[x].JobID, borrowers[y].JobID))
	})
	return s
}

func (s *selection) holdsWanted(b int) bool {
	for worker, room := range s.held[b] {
		if m := s.open[worker]; m != nil && m.accelerators&room.Accelerators != 0 {
			return true
		}
	}
	return false
}

func (s *selection) helps(b int) bool {
	for worker, room := range s.held[b] {
		m := s.open[worker]
		if m != nil && (m.cores > 0 && room.Cores > 0 || m.memoryMB > 0 && room.MemoryMB > 0) {
			return true
		}
	}
	return false
}

func (s *selection) take(b int) {
	s.chosen[b] = true
	for worker, room := range s.held[b] {
		if m := s.open[worker]; m != nil {
			m.cores -= room.Cores
			m.memoryMB -= room.MemoryMB
			m.accelerators &^= room.Accelerators
		}
	}
}

// spare releases victims that hold no wanted accelerator and whose cores and
// memory are covered by the others, the most expensive first.
func (s *selection) spare() {
	for i := len(s.order) - 1; i >= 0; i-- {
		b := s.order[i]
		if !s.chosen[b] || s.forced[b] || s.needed(b) {
			continue
		}
		s.chosen[b] = false
		for worker, room := range s.held[b] {
			if m := s.open[worker]; m != nil {
				m.cores += room.Cores
				m.memoryMB += room.MemoryMB
			}
		}
	}
}

func (s *selection) needed(b int) bool {
	for worker, room := range s.held[b] {
		m := s.open[worker]
		if m == nil {
			continue
		}
		if m.cores+room.Cores > 0 || m.memoryMB+room.MemoryMB > 0 {
			return true
		}
	}
	return false
}

func (s *selection) done() bool {
	for _, m := range s.open {
		if m.cores > 0 || m.memoryMB > 0 || m.accelerators != 0 {
			return false
		}
	}
	return true
}
