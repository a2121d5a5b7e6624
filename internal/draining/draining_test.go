package draining_test

import (
	"slices"
	"testing"
	"time"

	"github.com/samphirepath/samphirepath/internal/draining"
)

var (
	now    = time.UnixMilli(1_000_000)
	bounds = draining.Bounds{StopTime: 400 * time.Millisecond, ReportTime: 300 * time.Millisecond, MaxStops: 100, Interval: 100 * time.Millisecond}
)

func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// Guards against runs that end with a worker that gave notice, and against stops of runs that
// would have ended in time.
func TestStopsOnAWorkerThatLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		group draining.Group
		stop  bool
	}{
		"ends in time":                                       {draining.Group{LeavesAt: at(1600), Expected: at(900), Late: at(1300)}, false},
		"cannot end in time":                                 {draining.Group{LeavesAt: at(1600), Expected: at(5000), Late: at(6000)}, true},
		"may end in time":                                    {draining.Group{LeavesAt: at(1600), Expected: at(700), Late: at(6000)}, false},
		"may end in time, at the last moment":                {draining.Group{LeavesAt: at(800), Expected: at(50), Late: at(6000)}, true},
		"cannot end in time and saves its work":              {draining.Group{LeavesAt: at(1600), Expected: at(5000), Late: at(6000), Resumable: true}, false},
		"saves its work, at the last moment":                 {draining.Group{LeavesAt: at(800), Expected: at(5000), Late: at(6000), Resumable: true}, true},
		"its worker may have left":                           {draining.Group{LeavesAt: at(-500), Expected: at(100), Late: at(200), Resumable: true}, true},
		"notice of seconds, before the moment to save":       {draining.Group{LeavesAt: at(5500), Expected: at(9000), Late: at(9000), Resumable: true}, false},
		"notice of seconds, work without checkpoints":        {draining.Group{LeavesAt: at(5500), Expected: at(9000), Late: at(9000)}, true},
		"ends when its worker leaves, unknown to dispatcher": {draining.Group{LeavesAt: at(1600), Expected: at(1500), Late: at(1500)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.group.Runs = 1
			if got := len(draining.Stops(now, []draining.Group{c.group}, bounds)) == 1; got != c.stop {
				t.Errorf("stop = %v, want %v", got, c.stop)
			}
		})
	}
}

// Load: 42 workers with 8 runs each leave together. Guards against a dispatcher that sends all
// stops at once, and against stops that come too late because they are spread.
func TestStopsOfManyWorkersAreSpreadInTime(t *testing.T) {
	var groups []draining.Group
	for i := range 42 * 8 {
		groups = append(groups, draining.Group{LeavesAt: at(1600), Expected: at(9000), Late: at(9000), Resumable: true, Runs: 1, AtStake: float64(i)})
	}
	stopped := map[int]bool{}
	for ms := 0; ms <= 1600-700; ms += 100 {
		open := slices.Clone(groups)
		for i := range open {
			if stopped[i] {
				open[i].Runs, open[i].Late = 0, at(0)
			}
		}
		due := draining.Stops(at(ms), open, bounds)
		if len(due) > bounds.MaxStops {
			t.Fatalf("%d stops at once", len(due))
		}
		for _, i := range due {
			stopped[i] = true
		}
		if len(due) > 0 && len(stopped) == len(due) && !stopped[len(groups)-1] {
			t.Error("the most expensive run is not among the first stops")
		}
	}
	if len(stopped) != len(groups) {
		t.Errorf("%d of %d runs were stopped in time", len(stopped), len(groups))
	}
}
