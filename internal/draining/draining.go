// Package draining decides which runs on workers that are about to leave are stopped, so that
// they continue on other workers. A worker that has left cannot confirm the end of a run: its
// tasks wait until its lease has expired, and work without a checkpoint is lost.
package draining

import (
	"cmp"
	"slices"
	"time"
)

// Bounds are the times and limits that the decisions depend on.
type Bounds struct {
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// ReportTime is the time from the end of a run until the dispatcher knows of it.
	ReportTime time.Duration
	// MaxStops bounds the runs that one call of Stops returns. Calls are Interval apart.
	MaxStops int
	Interval time.Duration
}

// Group is work that is stopped together: one run, or all runs of a gang.
type Group struct {
	// LeavesAt is the earliest time at which a worker of the group may leave.
	LeavesAt time.Time
	Expected time.Time // expected end
	Late     time.Time // time by which the group has ended in nine of ten cases
	// Resumable groups lose nothing by working on until they are stopped: a stop saves a
	// checkpoint, or the tasks have no end.
	Resumable bool
	Runs      int
	// AtStake is the work in core-milliseconds that is lost if the worker leaves first.
	AtStake float64
}

// Stops returns the positions of the groups to stop now, the most expensive first. A group that
// ends in time stays. Others are stopped so early that their end is reported before the worker
// leaves: resumable ones at the last moment, the rest at once if they are not expected to end
// by then, because all work until then would be lost.
func Stops(now time.Time, groups []Group, bounds Bounds) []int {
	var due []int
	threatened := 0
	for i := range groups {
		if !groups[i].endsInTime(bounds) {
			threatened += groups[i].Runs
		}
	}
	// The stops of many groups take several calls.
	lead := bounds.Interval * time.Duration(1+threatened/max(1, bounds.MaxStops))
	for i := range groups {
		if g := &groups[i]; !g.endsInTime(bounds) && !now.Before(g.stopAt(now, bounds).Add(-lead)) {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b int) int { return cmp.Compare(groups[b].AtStake, groups[a].AtStake) })
	runs := 0
	for n, i := range due {
		if runs += groups[i].Runs; runs > bounds.MaxStops && n > 0 {
			return due[:n]
		}
	}
	return due
}

// endsInTime reports whether the end of a group is known before its worker leaves.
func (g *Group) endsInTime(bounds Bounds) bool {
	return !g.Late.Add(bounds.ReportTime).After(g.LeavesAt)
}

// stopAt returns when a group that may not end in time is stopped.
func (g *Group) stopAt(now time.Time, bounds Bounds) time.Time {
	last := g.LeavesAt.Add(-bounds.StopTime - bounds.ReportTime)
	if g.Resumable || !g.Expected.After(last) {
		return last
	}
	return now
}
