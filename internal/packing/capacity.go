// Package packing places gangs of equal tasks on workers in racks. It knows
// cores, memory and accelerators, but no jobs or organisations.
package packing

import (
	"math/bits"

	"github.com/samphirepath/samphirepath/api"
)

// MaxAccelerators is the largest number of accelerators of a worker that is
// used, because a Set has one bit for each.
const MaxAccelerators = 64

// Set is a set of accelerator indices of one worker.
type Set uint64

// SetOf returns the set of the given indices. Indices out of range are left
// out.
func SetOf(indices []int) Set {
	var s Set
	for _, i := range indices {
		if i >= 0 && i < MaxAccelerators {
			s |= 1 << i
		}
	}
	return s
}

// FirstN returns the set of the indices 0 to n-1.
func FirstN(n int) Set {
	if n >= MaxAccelerators {
		return ^Set(0)
	}
	if n <= 0 {
		return 0
	}
	return 1<<n - 1
}

// Len returns the number of indices in the set.
func (s Set) Len() int { return bits.OnesCount64(uint64(s)) }

// Indices returns the indices in ascending order.
func (s Set) Indices() []int {
	out := make([]int, 0, s.Len())
	for ; s != 0; s &= s - 1 {
		out = append(out, bits.TrailingZeros64(uint64(s)))
	}
	return out
}

// Lowest returns the n lowest indices of the set.
func (s Set) Lowest(n int) Set {
	var out Set
	for ; n > 0 && s != 0; n-- {
		low := s & -s
		out |= low
		s &^= low
	}
	return out
}

// Capacity is an amount of cores and memory and a set of accelerators of a
// worker.
type Capacity struct {
	Cores        int
	MemoryMB     int64
	Accelerators Set
}

// CapacityOf returns the capacity that a number of tasks with the given
// accelerators in total takes.
func CapacityOf(r api.Resources, tasks int, accelerators Set) Capacity {
	return Capacity{Cores: tasks * r.Cores, MemoryMB: int64(tasks) * r.MemoryMb, Accelerators: accelerators}
}

// Empty reports whether the capacity is zero.
func (r Capacity) Empty() bool { return r == Capacity{} }

// Sub returns the capacity without other. Amounts do not fall below zero.
func (r Capacity) Sub(other Capacity) Capacity {
	return Capacity{
		Cores:        max(0, r.Cores-other.Cores),
		MemoryMB:     max(0, r.MemoryMB-other.MemoryMB),
		Accelerators: r.Accelerators &^ other.Accelerators,
	}
}

// Add returns the sum of the amounts and the union of the accelerators.
func (r Capacity) Add(other Capacity) Capacity {
	return Capacity{
		Cores:        r.Cores + other.Cores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
		Accelerators: r.Accelerators | other.Accelerators,
	}
}

// Min returns the smaller amounts and the intersection of the accelerators.
func (r Capacity) Min(other Capacity) Capacity {
	return Capacity{
		Cores:        min(r.Cores, other.Cores),
		MemoryMB:     min(r.MemoryMB, other.MemoryMB),
		Accelerators: r.Accelerators & other.Accelerators,
	}
}

// Covers reports whether the capacity includes all of other.
func (r Capacity) Covers(other Capacity) bool {
	return r.Cores >= other.Cores && r.MemoryMB >= other.MemoryMB && other.Accelerators&^r.Accelerators == 0
}

// MaxTasks returns how many tasks with the given resources fit, at most limit.
func (r Capacity) MaxTasks(need api.Resources, limit int) int {
	n := limit
	if need.Accelerators > 0 {
		n = min(n, r.Accelerators.Len()/need.Accelerators)
	}
	if need.Cores > 0 && n > 0 {
		n = min(n, r.Cores/need.Cores)
	}
	if need.MemoryMb > 0 && n > 0 {
		n = min(n, int(r.MemoryMB/need.MemoryMb))
	}
	return max(n, 0)
}

// First returns the lowest index of the set, or 64 if it is empty.
func (s Set) First() int { return bits.TrailingZeros64(uint64(s)) }
