package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

const (
	// holdAfter is the wait after which a job is overdue: it goes first within its
	// rank and may get a backfill hold. Most jobs run for hours, so that a wait of
	// a few minutes adds little to their completion time, and is short against a
	// working day.
	holdAfter = 5 * time.Minute
	// starvingAfter is the wait after which a job goes before all jobs that are
	// not urgent, and no job is backfilled on its hold.
	// Declared run times may be wrong by any amount; this bounds the delay that
	// they cause.
	starvingAfter = 30 * time.Minute
)

// Ranks of waiting jobs; lower ones go first.
const (
	rankUrgent = iota
	rankStarving
	rankStandard
	rankBatch
)

func (r *round) waited(job *api.Job) time.Duration {
	return r.snapshot.Now.Sub(time.UnixMilli(job.SubmittedMs))
}

func (r *round) rank(job *api.Job) int {
	switch {
	case job.Urgency == api.Urgent:
		return rankUrgent
	case r.waited(job) >= starvingAfter:
		return rankStarving
	case job.Urgency == api.Standard:
		return rankStandard
	default:
		return rankBatch
	}
}

func compareAge(a, b *api.Job) int {
	return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.ID, b.ID))
}

// compareWaiting orders by rank, then overdue jobs first, then by age.
func compareWaiting(a, b *waitingJob) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	if a.overdue != b.overdue {
		if a.overdue {
			return -1
		}
		return 1
	}
	return compareAge(a.job, b.job)
}

// eachInOrder calls try for the waiting jobs that are not done, by rank.
// Overdue jobs of a rank go first, by age; the others follow in fair-share
// order: the organisation with the smallest share of its guarantee or quota
// first. Shares change while try places jobs.
func (r *round) eachInOrder(waiting []*waitingJob, try func(*waitingJob)) {
	waiting = slices.DeleteFunc(waiting, func(w *waitingJob) bool { return w.done })
	for len(waiting) > 0 {
		n := 1
		for n < len(waiting) && waiting[n].rank == waiting[0].rank && waiting[n].overdue == waiting[0].overdue {
			n++
		}
		group := waiting[:n]
		waiting = waiting[n:]
		if group[0].overdue {
			for _, w := range group {
				try(w)
			}
			continue
		}
		r.byFairShare(group, try)
	}
}

// byFairShare calls try for the jobs of a group in fair-share order: next is the
// oldest job of the organisation with the smallest share. group must be sorted by
// age.
func (r *round) byFairShare(group []*waitingJob, try func(*waitingJob)) {
	var names []string
	queues := make(map[string][]*waitingJob)
	for _, w := range group {
		o := w.job.Organisation
		if len(queues[o]) == 0 {
			names = append(names, o)
		}
		queues[o] = append(queues[o], w)
	}
	for len(names) > 0 {
		next := 0
		for i := 1; i < len(names); i++ {
			c := r.usage.compareShare(names[i], names[next])
			if c < 0 || c == 0 && compareAge(queues[names[i]][0].job, queues[names[next]][0].job) < 0 {
				next = i
			}
		}
		o := names[next]
		try(queues[o][0])
		if queues[o] = queues[o][1:]; len(queues[o]) == 0 {
			names = slices.Delete(names, next, next+1)
		}
	}
}
