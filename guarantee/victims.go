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

// ReclaimTarget is the capacity that must become free on a worker.
type ReclaimTarget struct {
	Worker   string
	Capacity Capacity // exactly these accelerators, but any cores and memory of these amounts
}

// LostWork returns the accelerator time that is lost if a job ends now: the
// time since the last checkpoint times the number of its accelerators. A job
// without accelerators counts as having one, so that its work has a cost too.
func LostWork(sinceCheckpoint time.Duration, accelerators int) time.Duration {
	return max(0, sinceCheckpoint) * time.Duration(max(1, accelerators))
}

// SelectVictims selects the borrowers that must end so that all targets become
// free, with the least lost work. Holders of target accelerators must end;
// cores and memory are taken from the holders on the worker that lose the least
// work. Victims that turn out not to be needed are dropped. It returns false if
// all borrowers together do not suffice. The result is in ascending order.
func SelectVictims(borrowers []Borrower, targets []ReclaimTarget) ([]string, bool) {
	s := newSelection(borrowers, targets)
	for _, b := range s.order {
		if s.holdsMissingAccelerator(b) {
			s.forced[b] = true
			s.choose(b)
		}
	}
	for _, b := range s.order {
		if !s.chosen[b] && s.reducesMissing(b) {
			s.choose(b)
		}
	}
	s.dropUnneeded()
	var out []string
	for b, chosen := range s.chosen {
		if chosen {
			out = append(out, borrowers[b].JobID)
		}
	}
	slices.Sort(out)
	return out, s.satisfied()
}

// selection is the state of SelectVictims. Borrowers are given by position.
type selection struct {
	borrowers []Borrower
	held      []map[string]Capacity // by worker, for each borrower
	missing   map[string]*missingCapacity
	order     []int // ascending by lost work
	chosen    []bool
	forced    []bool // must end: holds a target accelerator
}

// missingCapacity is what must still become free on a worker. Negative amounts
// are surplus.
type missingCapacity struct {
	cores        int
	memoryMB     int64
	accelerators Set
}

func newSelection(borrowers []Borrower, targets []ReclaimTarget) *selection {
	s := &selection{borrowers: borrowers, missing: make(map[string]*missingCapacity), chosen: make([]bool, len(borrowers)),
		forced: make([]bool, len(borrowers))}
	for _, t := range targets {
		m := s.missing[t.Worker]
		if m == nil {
			m = &missingCapacity{}
			s.missing[t.Worker] = m
		}
		m.cores += t.Capacity.Cores
		m.memoryMB += t.Capacity.MemoryMB
		m.accelerators |= t.Capacity.Accelerators
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

func (s *selection) holdsMissingAccelerator(b int) bool {
	for worker, held := range s.held[b] {
		if m := s.missing[worker]; m != nil && m.accelerators&held.Accelerators != 0 {
			return true
		}
	}
	return false
}

func (s *selection) reducesMissing(b int) bool {
	for worker, held := range s.held[b] {
		m := s.missing[worker]
		if m != nil && (m.cores > 0 && held.Cores > 0 || m.memoryMB > 0 && held.MemoryMB > 0) {
			return true
		}
	}
	return false
}

func (s *selection) choose(b int) {
	s.chosen[b] = true
	for worker, held := range s.held[b] {
		if m := s.missing[worker]; m != nil {
			m.cores -= held.Cores
			m.memoryMB -= held.MemoryMB
			m.accelerators &^= held.Accelerators
		}
	}
}

// dropUnneeded drops victims that hold no target accelerator and without which
// the other victims still free enough cores and memory. Victims that lose the most
// work are tried first.
func (s *selection) dropUnneeded() {
	for i := len(s.order) - 1; i >= 0; i-- {
		b := s.order[i]
		if !s.chosen[b] || s.forced[b] || s.needed(b) {
			continue
		}
		s.chosen[b] = false
		for worker, held := range s.held[b] {
			if m := s.missing[worker]; m != nil {
				m.cores += held.Cores
				m.memoryMB += held.MemoryMB
			}
		}
	}
}

func (s *selection) needed(b int) bool {
	for worker, held := range s.held[b] {
		m := s.missing[worker]
		if m == nil {
			continue
		}
		if m.cores+held.Cores > 0 || m.memoryMB+held.MemoryMB > 0 {
			return true
		}
	}
	return false
}

func (s *selection) satisfied() bool {
	for _, m := range s.missing {
		if m.cores > 0 || m.memoryMB > 0 || m.accelerators != 0 {
			return false
		}
	}
	return true
}
