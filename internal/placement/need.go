package placement

import (
	"github.com/samphirepath/samphirepath/internal/batch"
)

// ChargedNeed returns the capacity that a task is charged for on a worker.
// Best-effort tasks use idle processors and are charged only for memory and
// accelerators.
func ChargedNeed(step *batch.Step) batch.Need {
	need := step.Need
	if step.BestEffort {
		need.MilliCPU = 0
	}
	return batch.Need{MilliCPU: max(0, need.MilliCPU), MemoryMb: max(0, need.MemoryMb), Accelerators: max(0, need.Accelerators)}
}

// Covers reports whether have is enough for need.
func Covers(have, need batch.Need) bool {
	return have.MilliCPU >= need.MilliCPU && have.MemoryMb >= need.MemoryMb && have.Accelerators >= need.Accelerators
}

// Sub returns a minus b.
func Sub(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMb: a.MemoryMb - b.MemoryMb, Accelerators: a.Accelerators - b.Accelerators}
}

// Add returns the sum of two amounts.
func Add(a, b batch.Need) batch.Need {
	return batch.Need{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMb: a.MemoryMb + b.MemoryMb, Accelerators: a.Accelerators + b.Accelerators}
}
