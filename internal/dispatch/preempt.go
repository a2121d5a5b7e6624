package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Every eviction discards work, so an urgent unit first waits for capacity that
// becomes free without one: for a share of its slack, at most maxEvictionWait. The
// share grows with the number of workers, up to evictionWaitWorkers: the more tasks
// run, the sooner some end. In a fleet of 350 workers the wait avoids half of the
// evictions; in one of 48, it avoids too few to justify the full delay.
const (
	evictionWaitShare   = 0.6
	evictionWaitWorkers = 350
	maxEvictionWait     = 600 * time.Millisecond
	// startOverhead is the time that a start takes after the evicted runs have stopped.
	startOverhead = 150 * time.Millisecond
	// usualPlanInterval is how long capacity that has become free usually waits for a plan.
	usualPlanInterval = 100 * time.Millisecond
	// valueFactor is how many times the time to its objective a job may take until it has no
	// value for its caller any more.
	valueFactor = 3
	// defaultReclaimLimit is the shortest time within which a platform asks for covered urgent
	// work to start.
	defaultReclaimLimit = 2700 * time.Millisecond
)

// setStartLimits sets the times that decide whether an urgent demand waits or evicts.
func (t *term) setStartLimits(j *jobState, d *placement.Demand, now time.Time) {
	job, since := &j.tracker.Job, d.StartableSince
	begin := time.UnixMilli(job.AcceptedAtMs)
	if job.Repeats > 0 {
		begin = batch.Due(*job, d.Key.Occurrence)
	}
	remaining := d.RunTime + j.pathAfter(d.Key.Step) + startOverhead + usualPlanInterval
	d.LatestStart = d.Objective.Add(-remaining)
	if now.After(d.LatestStart) {
		// An eviction does not help the demand to meet its objective any more.
		d.LatestStart = begin.Add(valueFactor * d.Objective.Sub(begin)).Add(-remaining)
	}
	if d.Priority > 0 {
		return
	}
	d.EvictFrom = earliestEviction(d, len(t.workers))
	// The clock of the daemon that accepted the job may be ahead.
	limitSince := since
	if len(d.Step.After) == 0 && begin.Before(since) {
		limitSince = begin
	}
	d.EvictBy = limitSince.Add(t.cfg.ReclaimLimit - t.cfg.MaxStopTime - startOverhead - maxPlanInterval)
}

// earliestEviction returns the time from which other runs may be evicted for an urgent demand.
// It leaves out the time of a stop, which would shorten the wait by up to 0.54 s: capacity that
// becomes free as soon as a stop would free it is awaited anyway, and the demands that a
// guarantee covers have EvictBy.
func earliestEviction(d *placement.Demand, workers int) time.Time {
	slack := d.Objective.Sub(d.StartableSince) - d.CriticalPath - startOverhead
	share := evictionWaitShare * min(1, float64(workers)/evictionWaitWorkers)
	return d.StartableSince.Add(min(maxEvictionWait, max(0, time.Duration(share*float64(slack)))))
}

// pathAfter returns the estimated run time of the longest chain of steps that wait for a step.
func (j *jobState) pathAfter(step int) time.Duration {
	steps := j.tracker.Job.Steps
	if len(steps) == 1 {
		return 0
	}
	if j.pathsAfter == nil {
		j.pathsAfter = make([]time.Duration, len(steps))
		for i := len(steps) - 1; i >= 0; i-- {
			path := j.pathsAfter[i] + time.Duration(steps[i].EstimateMs)*time.Millisecond
			for _, before := range steps[i].After {
				j.pathsAfter[before] = max(j.pathsAfter[before], path)
			}
		}
	}
	return j.pathsAfter[step]
}

// addToGroup adds what the eviction of a run costs to the group of the run.
func (t *term) addToGroup(group *placement.EvictionGroup, r *run, now time.Time) {
	group.Loss += r.evictionLoss(now)
	group.Evictions = max(group.Evictions, r.job.evictions[r.ref.TaskRef])
	end, _ := t.forecast(r, now)
	if end.After(group.EndsAt) {
		group.EndsAt = end
	}
	job := &r.job.tracker.Job
	objective := batch.Objective(*job, r.ref.Occurrence).Add(-r.job.pathAfter(r.ref.Step))
	restarted := end.Add(restartCostMs * time.Millisecond)
	if !r.step.Checkpoint {
		restarted = now.Add(restartCostMs*time.Millisecond + t.runTime(job, r.step))
	}
	group.MissesObjective = group.MissesObjective || !end.After(objective) && restarted.After(objective)
}

// evict stops the runs that a plan evicts. Evictions are counted for the term only: the next
// one may evict a task as often again.
func (t *term) evict(p *planInput, result placement.Result) {
	for i, g := range result.Evict {
		group, eviction := &p.Groups[g], result.Evictions[i]
		cause := string(eviction.Cause)
		if group.Priority == 0 {
			cause = "reclaimed"
		}
		scope := t.scope.Tagged(map[string]string{"cause": cause})
		scope.Counter("evictions").Inc(1)
		scope.Counter("evicted_core_ms").Inc(int64(group.Loss))
		demand, first := &p.Demands[eviction.Demand], p.groups[g][0]
		t.log.Info("Evicting work for an urgent job.", zap.String("job", demand.Key.Job), zap.Int("step", demand.Key.Step), zap.String("organisation", demand.Organisation),
			zap.String("cause", cause), zap.Duration("wait", p.Now.Sub(demand.StartableSince)), zap.Duration("until_latest_start", demand.LatestStart.Sub(p.Now)),
			zap.Duration("until_evict_by", demand.EvictBy.Sub(p.Now)), zap.Stringer("victim", first.ref.TaskRef), zap.Int("runs", len(p.groups[g])),
			zap.Float64("lost_core_seconds", group.Loss/1000), zap.Int("evictions_before", group.Evictions), zap.Bool("misses_objective", group.MissesObjective))
		for _, r := range p.groups[g] {
			if r.job.evictions == nil {
				r.job.evictions = map[batch.TaskRef]int{}
			}
			r.job.evictions[r.ref.TaskRef]++
			t.requestStop(r, "evicted for an urgent job")
		}
	}
}

// noteWaits counts the units that wait although work might be evicted for them, each once.
func (t *term) noteWaits(p *planInput, waits []int) {
	for _, d := range waits {
		j, key := p.jobs[d], unitKey{p.units[d].Occurrence, p.units[d].Step}
		if j.awaited[key] {
			continue
		}
		if j.awaited == nil {
			j.awaited = map[unitKey]bool{}
		}
		j.awaited[key] = true
		t.scope.Counter("eviction_waits").Inc(1)
		t.log.Info("Urgent job waits for running work to end.", zap.String("job", j.tracker.Job.ID), zap.Int("step", key.step),
			zap.Duration("wait", p.Now.Sub(p.Demands[d].StartableSince)), zap.Duration("until_latest_start", p.Demands[d].LatestStart.Sub(p.Now)))
	}
}

// evictionGroups collects the runs that may be evicted for urgent work. The runs of
// a gang form one group. Urgent work itself may be if its organisation holds more than its
// guarantee. runs is the number of all runs.
func (t *term) evictionGroups(p *planInput, runs int, now time.Time) {
	gangs := map[*batch.Unit]int{} // position of the group, or -1 if the gang is not evictable
	p.Groups, p.groups = make([]placement.EvictionGroup, 0, runs), make([][]*run, 0, runs)
	single := make([]placement.EvictionTask, 0, runs) // tasks of the groups of one task
	singleRuns := make([]*run, 0, runs)
	for _, w := range p.workers {
		for _, r := range w.runs {
			job := &r.job.tracker.Job
			if r.stopReason != "" || job.Priority == 0 && !p.Guarantees[job.Organisation].Exceeded() {
				continue
			}
			g, known := 0, false
			if r.step.Gang {
				g, known = gangs[r.unit]
			}
			if !known {
				g = -1
				if r.evictable() {
					g = len(p.Groups)
					p.Groups = append(p.Groups, placement.EvictionGroup{ID: g, Priority: job.Priority, Organisation: job.Organisation, StartedAt: r.startedAt})
					p.groups = append(p.groups, nil)
				}
				if r.step.Gang {
					gangs[r.unit] = g
				}
			}
			if g < 0 {
				continue
			}
			t.addToGroup(&p.Groups[g], r, now)
			task := placement.EvictionTask{Worker: w.position, Need: r.need}
			if r.step.Gang {
				p.Groups[g].Tasks, p.groups[g] = append(p.Groups[g].Tasks, task), append(p.groups[g], r)
				continue
			}
			single, singleRuns = append(single, task), append(singleRuns, r)
			last := len(single) - 1
			p.Groups[g].Tasks, p.groups[g] = single[last:last+1:last+1], singleRuns[last:last+1:last+1]
		}
	}
}

// evictable reports whether a run may be stopped for urgent work. A gang may if all of its
// members may.
func (r *run) evictable() bool {
	if !r.step.Gang {
		return r.unit.Tasks[r.ref.Index].Evictable()
	}
	return !slices.ContainsFunc(r.unit.Tasks, func(task batch.Task) bool { return !task.Evictable() })
}

// restartCostMs is the run time that an evicted task loses in addition to the work that
// it has not saved: it waits, starts and restores the checkpoint.
const restartCostMs = 500

// evictionLoss returns the work that is lost if the run is stopped now, in
// core-milliseconds. A task with checkpoints saves its work when it is stopped.
func (r *run) evictionLoss(now time.Time) float64 {
	lostMs := float64(restartCostMs)
	if !r.step.Checkpoint {
		lostMs += float64(now.Sub(r.startedAt).Milliseconds())
	}
	cores := float64(r.need.MilliCPU)/1000 + placement.AcceleratorWeight*float64(r.need.Accelerators)
	return cores * lostMs
}
