package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// isolationWait is how long a task under suspicion waits for a worker to itself. After
// that it starts beside other work: in a full fleet no worker may become empty.
const isolationWait = time.Second

// taskNeed returns the capacity that a task of the step occupies on its worker.
func taskNeed(step *batch.Step) batch.Need { return placement.ChargedNeed(step) }

// planInput is the snapshot for one plan, with the objects that its indices refer to.
type planInput struct {
	placement.Snapshot
	workers []*workerState
	units   []*batch.Unit
	jobs    []*jobState
	groups  [][]*run
}

// plan computes the starts and evictions and initiates them.
func (t *term) plan() {
	start := time.Now()
	gap := t.notePlanGap(start)
	t.lastPlanAt = start
	p := t.snapshot(start)
	snapshotTime := time.Since(start)
	t.waiting = len(p.Demands) > 0
	defer func() { t.use = loopUse{} }()
	if !t.waiting {
		return
	}
	t.noteShares(p)
	p.Observe = func(key placement.StepKey) { t.planning.Store(&key.Job) }
	result := t.cfg.Plan(p.Snapshot)
	t.planning.Store(nil)
	started, waiting, limit := 0, 0, t.newRunLimit()
	for _, placed := range result.Placements {
		if !limit.begin(p.Demands[placed.Demand].Organisation, len(placed.Tasks)) {
			waiting += len(placed.Tasks)
			continue
		}
		started += len(placed.Tasks)
		isolated := p.Demands[placed.Demand].Isolated
		for i, task := range placed.Tasks {
			t.assign(p.jobs[placed.Demand], p.units[placed.Demand], task, p.workers[placed.Workers[i]], isolated)
		}
	}
	t.noteRunLimit(limit, waiting)
	t.noteWaits(p, result.Waits)
	t.evict(p, result)
	took := time.Since(start)
	t.notePlanDuration(took)
	t.scope.Timer("plan").Record(took)
	if started > 0 || len(result.Evict) > 0 {
		t.logPlan(p, result, planTimes{gap: gap, snapshot: snapshotTime, whole: took}, started)
	}
}

func (t *term) snapshot(now time.Time) *planInput {
	p := &planInput{Snapshot: placement.Snapshot{Now: now, StopTime: t.cfg.MaxStopTime}}
	urgent := t.demands(p, now)
	if len(p.Demands) == 0 {
		return p
	}
	runs := 0
	// Workers that are only called for their ends are no capacity of the fleet.
	for _, w := range t.sortedWorkers() {
		if w.listed || len(w.runs) > 0 {
			w.position = len(p.workers)
			p.workers = append(p.workers, w)
			runs += len(w.runs)
		}
	}
	p.Workers = make([]placement.Worker, len(p.workers))
	releases := make([]placement.Release, 0, runs)
	for i, w := range p.workers {
		releases = t.placementWorker(&p.Workers[i], w, now, releases)
	}
	t.applyHealth(p, now)
	t.usage(p)
	t.guarantees(p)
	if urgent {
		t.evictionGroups(p, runs, now)
	}
	return p
}

// sortedWorkers returns the workers by rack. Among equally good workers the first is chosen:
// this order fills one rack after the other and keeps entire racks free for gangs.
func (t *term) sortedWorkers() []*workerState {
	if t.workerOrder == nil {
		t.workerOrder = slices.SortedFunc(maps.Values(t.workers), func(a, b *workerState) int {
			return cmp.Or(strings.Compare(a.info.Rack, b.info.Rack), strings.Compare(a.info.ID, b.info.ID))
		})
	}
	return t.workerOrder
}

// guarantees adds the guarantees of the organisations to a snapshot, with what their urgent
// jobs hold.
func (t *term) guarantees(p *planInput) {
	configured := t.cfg.Guarantees()
	if configured == nil {
		return
	}
	p.Guarantees = make(map[string]placement.Guarantee, len(configured))
	for organisation, accelerators := range configured {
		p.Guarantees[organisation] = placement.Guarantee{Accelerators: accelerators}
	}
	for _, j := range t.jobs {
		if j.tracker.Job.Priority != 0 {
			continue
		}
		organisation := j.tracker.Job.Organisation
		g := p.Guarantees[organisation]
		for _, r := range j.runs {
			if r.stopReason == "" {
				g.Held += r.need.Accelerators
			}
		}
		p.Guarantees[organisation] = g
	}
}

// usage adds what the running work of each organisation holds to a snapshot.
func (t *term) usage(p *planInput) {
	p.Usage = map[string]placement.Usage{}
	for _, j := range t.jobs {
		job := &j.tracker.Job
		use := p.Usage[job.Organisation]
		held := &use.Other
		if job.Priority == 0 {
			held = &use.Urgent
		}
		for _, r := range j.runs {
			if r.stopReason == "" {
				*held = placement.Add(*held, r.need)
			}
		}
		p.Usage[job.Organisation] = use
	}
}

// demands collects the startable tasks and reports whether any of them are urgent.
func (t *term) demands(p *planInput, now time.Time) (urgent bool) {
	for _, j := range t.jobs {
		if j.tracker.State.Final() || !j.heldUntil.IsZero() || t.stalls[j.tracker.Job.ID] >= maxStalls {
			continue
		}
		for _, unit := range j.tracker.Units {
			for _, d := range t.unitDemands(j, unit, now) {
				p.Demands = append(p.Demands, d)
				p.units = append(p.units, unit)
				p.jobs = append(p.jobs, j)
				urgent = urgent || d.Priority == 0
			}
		}
	}
	return urgent
}

// unitDemands returns the demands for the startable tasks of a unit: one for those under
// suspicion, which are isolated for isolationWait, and one for the others. A gang is one
// demand.
func (t *term) unitDemands(j *jobState, unit *batch.Unit, now time.Time) []placement.Demand {
	d, ok := t.demand(j, unit, now)
	if !ok {
		return nil
	}
	key := unitKey{unit.Occurrence, unit.Step}
	suspect := func(task int) bool { return unit.Tasks[task].Suspect() }
	if !slices.ContainsFunc(d.Tasks, suspect) {
		return []placement.Demand{d}
	}
	if _, known := j.suspectSince[key]; !known {
		j.suspectSince[key] = now
	}
	if now.Sub(j.suspectSince[key]) >= isolationWait {
		return []placement.Demand{d}
	}
	isolated := d
	isolated.Isolated = true
	if d.Step.Gang {
		return []placement.Demand{isolated}
	}
	isolated.Tasks = slices.DeleteFunc(slices.Clone(d.Tasks), func(task int) bool { return !suspect(task) })
	if d.Tasks = slices.DeleteFunc(d.Tasks, suspect); len(d.Tasks) == 0 {
		return []placement.Demand{isolated}
	}
	return []placement.Demand{isolated, d}
}

func (t *term) demand(j *jobState, unit *batch.Unit, now time.Time) (placement.Demand, bool) {
	if !j.tracker.Startable(unit) {
		return placement.Demand{}, false
	}
	job := &j.tracker.Job
	step := &job.Steps[unit.Step]
	var tasks []int
	for i := range unit.Tasks {
		if !unit.Tasks[i].Done && !unit.Tasks[i].Assigned() && !j.delayed(unit, i, now) {
			tasks = append(tasks, i)
		}
	}
	if len(tasks) > 0 && len(j.runs) > 0 {
		busy := t.busyTasks(j, unit)
		tasks = slices.DeleteFunc(tasks, func(i int) bool { return busy[i] })
	}
	if len(tasks) == 0 || step.Gang && len(tasks) < len(unit.Tasks) {
		return placement.Demand{}, false
	}
	key := unitKey{unit.Occurrence, unit.Step}
	if _, known := j.startableSince[key]; !known {
		j.startableSince[key] = now
	}
	objective := batch.Objective(*job, unit.Occurrence)
	d := placement.Demand{
		Key:  placement.StepKey{Job: job.ID, Occurrence: unit.Occurrence, Step: unit.Step},
		Step: step, Service: job.Service, Organisation: job.Organisation, Tasks: tasks, Priority: job.Priority,
		Objective: objective, CriticalPath: t.criticalPath(job), RunTime: t.runTime(job, step),
		StartableSince: j.startableSince[key], Avoid: j.failedWorkers[key],
	}
	t.setStartLimits(j, &d, now)
	return d, true
}

// stopMargin is added to the longest time of a stop: its order, and the report of the end.
const stopMargin = 500 * time.Millisecond

// stopOverdue reports whether a run that was to be stopped should have ended. Its worker may not
// carry out the stop, so that its capacity does not count as about to be free.
func (r *run) stopOverdue(now time.Time, maxStopTime time.Duration) bool {
	return r.stopReason != "" && now.Sub(r.stopRequestedAt) > maxStopTime+stopMargin
}

// busyTasks returns the indices of tasks that have a run which may still exist.
func (t *term) busyTasks(j *jobState, unit *batch.Unit) map[int]bool {
	var busy map[int]bool
	for _, r := range j.runs {
		if r.unit == unit {
			if busy == nil {
				busy = map[int]bool{}
			}
			busy[r.ref.Index] = true
		}
	}
	return busy
}

// placementWorker describes a worker for the snapshot. It appends the expected ends of its
// runs to releases.
func (t *term) placementWorker(out *placement.Worker, w *workerState, now time.Time, releases []placement.Release) []placement.Release {
	*out = placement.Worker{
		ID: w.info.ID, Service: w.info.Service, Zone: w.info.Zone, Rack: w.info.Rack, Labels: w.info.Labels,
		Schedulable: t.available(w),
		Free:        w.info.Capacity, Occupied: len(w.runs) > 0,
	}
	first := len(releases)
	for _, r := range w.runs {
		out.Isolated = out.Isolated || r.isolated
		out.Free = placement.Sub(out.Free, r.need)
		switch {
		case r.stopOverdue(now, t.cfg.MaxStopTime):
			at := now.Add(t.cfg.MaxWorkerLease)
			releases = append(releases, placement.Release{At: at, Late: at, Need: r.need})
		case r.stopReason != "":
			out.Releasing = placement.Add(out.Releasing, r.need)
		default:
			expected, late := t.forecast(r, now)
			releases = append(releases, placement.Release{At: expected, Late: late, Need: r.need})
		}
		if r.step.MaxPerWorker > 0 {
			if out.StepTasks == nil {
				out.StepTasks = map[placement.StepKey]int{}
			}
			out.StepTasks[placement.StepKey{Job: r.ref.Job, Occurrence: r.ref.Occurrence, Step: r.ref.Step}]++
		}
	}
	out.Releases = releases[first:len(releases):len(releases)]
	return releases
}
