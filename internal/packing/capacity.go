// Package packing places gangs of equal tasks on workers in racks. It knows
// cores, memory and accelerators, but no jobs or organisations.
package packing

import (
	"math/bits"

	"github.com/samphirepath/samphirepath/api"
)

// MaxAccelerators bounds the accelerators used on one worker: a Set has one bit
// for each.
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

// CapacityOf returns the capacity that the given number of tasks takes;
// accelerators holds those of all the tasks together.
func CapacityOf(r api.Resources, tasks int, accelerators Set) Capacity {
	return Capacity{Cores: tasks * r.Cores, MemoryMB: int64(tasks) * r.MemoryMb, Accelerators: accelerators}
}

// Empty reports whether the capacity is zero.
func (c Capacity) Empty() bool { return c == Capacity{} }

// Sub returns the capacity without other. Amounts do not fall below zero.
func (c Capacity) Sub(other Capacity) Capacity {
	return Capacity{
		Cores:        max(0, c.Cores-other.Cores),
		MemoryMB:     max(0, c.MemoryMB-other.MemoryMB),
		Accelerators: c.Accelerators &^ other.Accelerators,
	}
}

// Add returns the sum of the amounts and the union of the accelerators.
func (c Capacity) Add(other Capacity) Capacity {
	return Capacity{
		Cores:        c.Cores + other.Cores,
		MemoryMB:     c.MemoryMB + other.MemoryMB,
		Accelerators: c.Accelerators | other.Accelerators,
	}
}

// Min returns the smaller amounts and the intersection of the accelerators.
func (c Capacity) Min(other Capacity) Capacity {
	return Capacity{
		Cores:        min(c.Cores, other.Cores),
		MemoryMB:     min(c.MemoryMB, other.MemoryMB),
		Accelerators: c.Accelerators & other.Accelerators,
	}
}

// Covers reports whether the capacity includes all of other.
func (c Capacity) Covers(other Capacity) bool {
	return c.Cores >= other.Cores && c.MemoryMB >= other.MemoryMB && other.Accelerators&^c.Accelerators == 0
}

// MaxTasks returns how many tasks with the given resources fit, at most limit.
func (c Capacity) MaxTasks(need api.Resources, limit int) int {
	n := limit
	if need.Accelerators > 0 {
		n = min(n, c.Accelerators.Len()/need.Accelerators)
	}
	if need.Cores > 0 && n > 0 {
		n = min(n, c.Cores/need.Cores)
	}
	if need.MemoryMb > 0 && n > 0 {
		n = min(n, int(c.MemoryMB/need.MemoryMb))
	}
	return max(n, 0)
}

// First returns the lowest index of the set, or 64 if it is empty.
func (s Set) First() int { return bits.TrailingZeros64(uint64(s)) }
