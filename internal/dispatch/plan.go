package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// overdue is the part of its estimate that a task which has run longer than the
// estimate is expected to take still.
const overdue = 0.2

// Urgent work waits for room that becomes free by itself for a part of the time
// that it has to spare, at most longestPatience, because every eviction throws
// work away. The part grows with the fleet: the more tasks run, the sooner some
// end. On 48 workers waiting cost more than it saved, on 350 it halved evictions.
const (
	evictPatience   = 0.6
	patienceWorkers = 350
	longestPatience = 600 * time.Millisecond
	// evictMargin is what a start takes besides the stop of what is evicted.
	evictMargin = 150 * time.Millisecond
)

// evictFrom returns when other work may be stopped for an urgent unit.
func (t *term) evictFrom(job *batch.Job, objective, since time.Time) time.Time {
	spare := objective.Sub(since) - batch.CriticalPath(*job) - t.cfg.MaxStopTime - evictMargin
	part := evictPatience * min(1, float64(len(t.hosts))/patienceWorkers)
	return since.Add(min(longestPatience, max(0, time.Duration(part*float64(spare)))))
}

// occupies is what a task counts for on its worker.
func occupies(step *batch.Step) batch.Need { return placement.ChargedNeed(step) }

// usable tells whether a worker may get new tasks.
func (t *term) usable(h *host, now time.Time) bool {
	excluded := h.streak >= excludedAfter && now.Before(h.suspect)
	return h.present && !h.worker.Draining && h.misses == 0 && !excluded && !t.cfg.Zones.OutOfService(h.worker.Zone)
}

// planning is the snapshot of one plan with what its positions stand for.
type planning struct {
	placement.Snapshot
	hosts  []*host
	units  []*batch.Unit
	jobs   []*entry
	groups [][]*run
}

// plan decides on starts and evictions and carries them out.
func (t *term) plan() {
	began := time.Now()
	p := t.snapshot(began)
	if len(p.Demands) == 0 {
		return
	}
	result := placement.Plan(p.Snapshot)
	started := 0
	for _, placed := range result.Placements {
		started += len(placed.Tasks)
		for i, task := range placed.Tasks {
			t.assign(p.jobs[placed.Demand], p.units[placed.Demand], task, p.hosts[placed.Workers[i]])
		}
	}
	for _, g := range result.Evict {
		for _, r := range p.groups[g] {
			t.stopRun(r, "evicted for an urgent job")
		}
	}
	t.planTook = time.Since(began)
	t.scope.Timer("plan").Record(t.planTook)
	if started > 0 || len(result.Evict) > 0 {
		t.log.Info("Plan made.", zap.Int("waiting_groups", len(p.Demands)), zap.Int("starts", started), zap.Int("evicted_groups", len(result.Evict)),
			zap.Int("workers", len(p.Workers)), zap.Duration("took", time.Since(began)))
	}
}

func (t *term) snapshot(now time.Time) *planning {
	p := &planning{Snapshot: placement.Snapshot{Now: now}}
	urgent := t.demands(p, now)
	if len(p.Demands) == 0 {
		return p
	}
	// In the order of racks, equally good workers fill one rack after the other and
	// leave whole racks for gangs.
	p.hosts = slices.SortedFunc(maps.Values(t.hosts), func(a, b *host) int {
		return cmp.Or(strings.Compare(a.worker.Rack, b.worker.Rack), strings.Compare(a.worker.ID, b.worker.ID))
	})
	positions := make(map[*host]int, len(p.hosts))
	for i, h := range p.hosts {
		positions[h] = i
		p.Workers = append(p.Workers, t.workerState(h, now))
	}
	if urgent {
		t.groups(p, positions, now)
	}
	return p
}

// demands collects the startable tasks and tells whether urgent ones wait.
func (t *term) demands(p *planning, now time.Time) (urgent bool) {
	for _, e := range t.jobs {
		if e.tracker.State.Final() {
			continue
		}
		for _, unit := range e.tracker.Units {
			if d, ok := t.demand(e, unit, now); ok {
				p.Demands = append(p.Demands, d)
				p.units = append(p.units, unit)
				p.jobs = append(p.jobs, e)
				urgent = urgent || d.Priority == 0
			}
		}
	}
	return urgent
}

func (t *term) demand(e *entry, unit *batch.Unit, now time.Time) (placement.Demand, bool) {
	if !e.tracker.Startable(unit) {
		return placement.Demand{}, false
	}
	job := &e.tracker.Job
	step := &job.Steps[unit.Step]
	busy := t.busyTasks(e, unit)
	var tasks []int
	for i := range unit.Tasks {
		if !unit.Tasks[i].Done && !unit.Tasks[i].Assigned() && !busy[i] {
			tasks = append(tasks, i)
		}
	}
	if len(tasks) == 0 || step.Gang && len(tasks) < len(unit.Tasks) {
		return placement.Demand{}, false
	}
	key := unitKey{unit.Occurrence, unit.Step}
	if _, known := e.since[key]; !known {
		e.since[key] = now
	}
	objective := batch.Objective(*job, unit.Occurrence)
	return placement.Demand{
		Key:  placement.StepKey{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step},
		Step: step, Service: job.Service, Tasks: tasks, Priority: job.Priority,
		Objective: objective, MinRemaining: batch.CriticalPath(*job),
		StartableSince: e.since[key], EvictFrom: t.evictFrom(job, objective, e.since[key]), Avoid: e.avoid[key],
	}, true
}

// busyTasks returns the tasks of which an earlier run may still exist.
func (t *term) busyTasks(e *entry, unit *batch.Unit) map[int]bool {
	var busy map[int]bool
	for _, r := range e.runs {
		if r.unit == unit {
			if busy == nil {
				busy = map[int]bool{}
			}
			busy[r.ref.Index] = true
		}
	}
	return busy
}

func (t *term) workerState(h *host, now time.Time) placement.Worker {
	w := placement.Worker{
		ID: h.worker.ID, Service: h.worker.Service, Zone: h.worker.Zone, Rack: h.worker.Rack, Labels: h.worker.Labels,
		Schedulable: t.usable(h, now), Suspect: now.Before(h.suspect),
		Free: h.worker.Capacity,
	}
	for _, r := range h.runs {
		w.Free = placement.Sub(w.Free, r.need)
		if r.stop != "" {
			w.Releasing = placement.Add(w.Releasing, r.need)
		} else {
			w.Releases = append(w.Releases, placement.Release{At: r.expectedEnd(now), Need: r.need})
		}
		if r.step.MaxPerWorker > 0 {
			if w.StepTasks == nil {
				w.StepTasks = map[placement.StepKey]int{}
			}
			w.StepTasks[placement.StepKey{Job: r.ref.Job, Occurrence: r.ref.Occurrence, Step: r.ref.Step}]++
		}
	}
	return w
}

func (r *run) expectedEnd(now time.Time) time.Time {
	estimate := time.Duration(r.step.EstimateMs) * time.Millisecond
	if end := r.began.Add(estimate); end.After(now) {
		return end
	}
	return now.Add(time.Duration(overdue * float64(estimate)))
}

// groups collects what may be stopped for urgent work.
func (t *term) groups(p *planning, positions map[*host]int, now time.Time) {
	gangs := map[*batch.Unit]int{}
	for _, h := range p.hosts {
		for _, r := range h.runs {
			if r.stop != "" || r.entry.tracker.Job.Priority == 0 {
				continue
			}
			g, known := gangs[r.unit]
			if !known || !r.step.Gang {
				g = len(p.Groups)
				p.Groups = append(p.Groups, placement.Group{ID: g, Priority: r.entry.tracker.Job.Priority})
				p.groups = append(p.groups, nil)
				if r.step.Gang {
					gangs[r.unit] = g
				}
			}
			p.Groups[g].Parts = append(p.Groups[g].Parts, placement.Part{Worker: positions[h], Need: r.need})
			p.Groups[g].Loss += r.loss(now)
			p.groups[g] = append(p.groups[g], r)
		}
	}
}

// restartCost is the work in milliseconds that a stopped task loses besides what
// it has not saved: it waits, starts anew and restores.
const restartCost = 500

// loss is the work that stopping the run now throws away, in core-milliseconds.
func (r *run) loss(now time.Time) float64 {
	since := r.began
	if r.step.Checkpoint {
		since = r.savedAt
	}
	cores := float64(r.need.MilliCPU)/1000 + placement.AcceleratorWeight*float64(r.need.Accelerators)
	return cores * (float64(now.Sub(since).Milliseconds()) + restartCost)
}
