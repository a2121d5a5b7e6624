package node

import "runtime/debug"

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
)

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
