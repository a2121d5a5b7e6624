package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// settleTime is how long the system has after the last fault to end all jobs:
	// the bounds on recovery (12 s) and on the worker lease (6 s), and their run time.
	settleTime = 25 * time.Second
	// warmup is how long daemons and callers run before the first fault.
	warmup = 3 * time.Second
	// meanPause is the mean time between the beginnings of two faults; with faults
	// of some seconds, one to three overlap.
	meanPause = 2 * time.Second
	// seriesShare of the faults begin right after the one before.
	seriesShare = 0.25
)

// scenario is what a seed determines.
type scenario struct {
	seed     uint64
	duration time.Duration
	zones    int
	daemons  int
	workers  int
	callers  int
	faults   []scheduledFault
}

// scheduledFault is a fault at a time after the warm-up.
type scheduledFault struct {
	at     time.Duration
	lasts  time.Duration
	kind   faultKind
	target int // index of a daemon, a worker or a zone
}

func (f scheduledFault) String() string { return fmt.Sprintf("%s %d", f.kind.name, f.target) }

// scenarioOf draws a scenario from the first kinds of faults.
func scenarioOf(seed uint64, kinds int, o options) scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	s := scenario{
		seed: seed, duration: o.Duration, zones: 1 + random.IntN(3), daemons: 2 + random.IntN(5),
		workers: 3 + random.IntN(8),
	}
	if o.Daemons > 0 {
		s.daemons = o.Daemons
	}
	if o.Workers > 0 {
		s.workers = o.Workers
	}
	// A caller hands in about 2 jobs a second of 3 accelerator-seconds each, and a
	// worker has 8 accelerators: half of them are in use while all is well.
	s.callers = 1 + s.workers/2
	for at := time.Duration(0); at < s.duration; {
		kind := faultKinds[random.IntN(kinds)]
		f := scheduledFault{at: at, kind: kind, target: random.IntN(max(s.daemons, s.workers))}
		f.lasts = kind.shortest + time.Duration(random.Int64N(int64(kind.longest-kind.shortest)+1))
		f.lasts = min(f.lasts, s.duration-at)
		s.faults = append(s.faults, f)
		if random.Float64() >= seriesShare {
			at += time.Duration(random.ExpFloat64() * float64(meanPause))
		}
	}
	slices.SortStableFunc(s.faults, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return s
}
