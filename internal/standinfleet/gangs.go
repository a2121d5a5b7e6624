package standinfleet

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// Gangs decides when the members of gangs, which may be on several workers, work and how they
// end. They work from the moment when all members of a run are present and end together. When
// one ends otherwise, the others are broken; without the others a member ends after Timeout.
type Gangs struct {
	Timeout time.Duration

	mu   sync.Mutex
	runs map[gangKey]*gangRun
}

// NewGangs returns gangs whose members wait for the others for a time.
func NewGangs(timeout time.Duration) *Gangs {
	return &Gangs{Timeout: timeout, runs: map[gangKey]*gangRun{}}
}

// gangKey identifies a run of a gang: the name of its step and the number that its members
// share.
type gangKey struct {
	step string
	run  int64
}

// gangRun is a run of a gang. Members are identified by the index of their task.
type gangRun struct {
	size      int
	duration  time.Duration
	endReason string // of a run that is not broken
	members   map[int]*gangMember
	startedAt time.Time // when the last member came; zero before
	// How the run has ended, if endedAt is not zero: all members are done, or those but the one
	// that ended first are broken.
	endedAt time.Time
	done    bool
	first   int
	reason  string // of the first one
}

type gangMember struct {
	joinedAt time.Time
	leaseEnd time.Time
}

// gangMemberOf divides the name of a task, step.index, and its run.
func gangMemberOf(key RunKey) (gangKey, int) {
	i := strings.LastIndexByte(key.Task, '.')
	index, _ := strconv.Atoi(key.Task[i+1:]) // names without an index are all member 0
	return gangKey{key.Task[:max(i, 0)], key.Run}, index
}

// join adds a member.
func (g *Gangs) join(key RunKey, spec taskSpec, leaseEnd, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, index := gangMemberOf(key)
	run := g.runs[id]
	if run == nil {
		run = &gangRun{size: spec.Gang, duration: time.Duration(spec.DurationMs) * time.Millisecond, endReason: spec.EndReason, members: map[int]*gangMember{}}
		g.runs[id] = run
	}
	run.settle(g.Timeout, now)
	run.members[index] = &gangMember{joinedAt: now, leaseEnd: leaseEnd}
	if len(run.members) == run.size && run.startedAt.IsZero() {
		run.startedAt = now
	}
}

// extend records a later end of the lease of a member.
func (g *Gangs) extend(key RunKey, leaseEnd time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, index := gangMemberOf(key)
	if run := g.runs[id]; run != nil && run.members[index] != nil {
		run.members[index].leaseEnd = leaseEnd
	}
}

// leave records that a member ends for a reason of its own, unless the run has ended before.
func (g *Gangs) leave(key RunKey, reason string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, index := gangMemberOf(key)
	if run := g.runs[id]; run != nil {
		run.settle(g.Timeout, now)
		run.end(now, index, reason)
	}
}

// outcome returns how and when a member has ended, or "" if it has not.
func (g *Gangs) outcome(key RunKey, now time.Time) (reason string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, index := gangMemberOf(key)
	run := g.runs[id]
	if run == nil {
		return "", time.Time{}
	}
	run.settle(g.Timeout, now)
	switch {
	case run.endedAt.IsZero():
		return "", time.Time{}
	case run.done:
		return "done", run.endedAt
	case index == run.first:
		return run.reason, run.endedAt
	}
	return "broken", run.endedAt
}

// percent returns the progress of a run at a time.
func (g *Gangs) percent(key RunKey, now time.Time) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	id, _ := gangMemberOf(key)
	run := g.runs[id]
	if run == nil || run.startedAt.IsZero() {
		return 0
	}
	return percentOf(run.startedAt, run.startedAt.Add(run.duration), now)
}

// settle ends the run if a member has lost its lease or waited in vain, or its time is over.
func (r *gangRun) settle(timeout time.Duration, now time.Time) {
	if !r.endedAt.IsZero() {
		return
	}
	doneAt := r.startedAt.Add(r.duration)
	first, at, reason := -1, now, ""
	for index, m := range r.members {
		if m.leaseEnd.Before(at) && (r.startedAt.IsZero() || !doneAt.Before(m.leaseEnd)) {
			first, at, reason = index, m.leaseEnd, "lapsed"
		}
		if alone := m.joinedAt.Add(timeout); r.startedAt.IsZero() && alone.Before(at) {
			first, at, reason = index, alone, "alone"
		}
	}
	switch {
	case first >= 0:
		r.end(at, first, reason)
	case r.startedAt.IsZero() || now.Before(doneAt):
	case r.endReason == "done":
		r.endedAt, r.done = doneAt, true
	default:
		r.end(doneAt, 0, r.endReason)
	}
}

// end breaks the run because a member has ended.
func (r *gangRun) end(at time.Time, first int, reason string) {
	if r.endedAt.IsZero() {
		r.endedAt, r.first, r.reason = at, first, reason
	}
}
