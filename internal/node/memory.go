package node

import (
	"runtime/debug"

	"github.com/samphirepath/samphirepath/internal/ingress"
)

const (
	// gcPercent makes the garbage collector run more often than the default of 100, to
	// save memory: the heap of a daemon that does not dispatch is a few MB.
	gcPercent = 50
	// dispatcherGCPercent spares the dispatcher the processor time of frequent collections:
	// each plan and each answer of a worker leaves garbage behind.
	dispatcherGCPercent = 200
	// memoryLimitShare of the machine's memory is the size from which the collector runs more
	// often, whatever the percentage. The rest is for what the collector does not count.
	memoryLimitShare = 0.8
	// peerFrameDivisor is the divisor of the machine's memory for frames of other daemons. Most
	// of their operations take less than a KB.
	peerFrameDivisor = 16
	// runDivisor is the divisor of the machine's memory for the runs of a dispatcher: 18,000 on
	// the smallest machine, twice what a fleet of 1,104 workers has with a run for each
	// accelerator.
	runDivisor = 8
)

// memoryBytes returns the memory of the machine, that of the smallest one if it is not known.
func (s Settings) memoryBytes() int64 {
	memoryMB := s.MemoryMB
	if memoryMB <= 0 {
		memoryMB = ingress.SmallestMemoryMB
	}
	return int64(memoryMB * (1 << 20))
}

// tuneCollector sets the garbage collector for a daemon that dispatches or does not.
func (n *Node) tuneCollector(dispatching bool) {
	percent := gcPercent
	if dispatching {
		percent = dispatcherGCPercent
	}
	debug.SetGCPercent(percent)
	if n.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * n.settings.MemoryMB * (1 << 20)))
	}
}
