package workerhealth

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
)

// Apply returns the states that the workers of a plan have, without the healthy ones. At most
// MaxShare of the workers of a service are quarantined, the worst first. The others that
// would be, and the last workers on which a waiting demand fits, are suspect. It changes
// nothing.
func (t *Tracker) Apply(workers []placement.Worker, demands []placement.Demand, now time.Time) map[string]State {
	if len(t.workers) == 0 {
		return nil
	}
	states := map[string]State{}
	size := map[string]int{}
	var quarantined []int
	for i := range workers {
		size[workers[i].Service]++
		w := t.workers[workers[i].ID]
		if w == nil || w.state == Healthy {
			continue
		}
		states[workers[i].ID] = w.state
		if w.state == Quarantined {
			quarantined = append(quarantined, i)
		}
	}
	slices.SortStableFunc(quarantined, func(a, b int) int {
		x, y := t.workers[workers[a].ID], t.workers[workers[b].ID]
		return cmp.Or(y.times-x.times, cmp.Compare(y.score(now, false, ""), x.score(now, false, "")), cmp.Compare(workers[a].ID, workers[b].ID))
	})
	count := map[string]int{}
	for _, i := range quarantined {
		service := workers[i].Service
		if count[service]++; float64(count[service]) > t.cfg.MaxShare*float64(size[service]) {
			states[workers[i].ID] = Suspect
		}
	}
	t.keepRoom(workers, demands, states, now)
	return states
}

// demandShape holds what decides on which workers the tasks of a demand fit.
type demandShape struct {
	service, label string
	need           batch.Need
	perWorker      int
}

// keepRoom makes restricted workers suspect until every demand has workers on which it fits
// once they are free: a gang room for all its tasks, another demand for one.
func (t *Tracker) keepRoom(workers []placement.Worker, demands []placement.Demand, states map[string]State, now time.Time) {
	if !restricts(states) {
		return
	}
	wanted := map[demandShape]int{}
	var shapes []demandShape // in the order of their first demand, so that the result is the same each time
	for i := range demands {
		d := &demands[i]
		key := demandShape{service: d.Service, label: d.Step.Label, need: placement.ChargedNeed(d.Step), perWorker: d.Step.MaxPerWorker}
		tasks := 1
		if d.Step.Gang {
			tasks = len(d.Tasks)
		}
		if _, known := wanted[key]; !known {
			shapes = append(shapes, key)
		}
		wanted[key] = max(wanted[key], tasks)
	}
	for _, key := range shapes {
		tasks := wanted[key]
		var restricted []int
		for i := range workers {
			if tasks <= 0 {
				break
			}
			n := key.tasksOn(&workers[i], tasks)
			if n > 0 && states[workers[i].ID] >= OnTrial {
				restricted = append(restricted, i)
				continue
			}
			tasks -= n
		}
		if tasks <= 0 {
			continue
		}
		slices.SortStableFunc(restricted, func(a, b int) int {
			x, y := t.workers[workers[a].ID], t.workers[workers[b].ID]
			return cmp.Or(cmp.Compare(x.state, y.state), x.times-y.times, cmp.Compare(x.score(now, false, ""), y.score(now, false, "")))
		})
		for _, i := range restricted {
			if tasks <= 0 {
				break
			}
			states[workers[i].ID] = Suspect
			tasks -= key.tasksOn(&workers[i], tasks)
		}
	}
}

func restricts(states map[string]State) bool {
	for _, s := range states {
		if s >= OnTrial {
			return true
		}
	}
	return false
}

// tasksOn returns how many tasks, at most most, fit on a worker once it is free.
func (k demandShape) tasksOn(w *placement.Worker, most int) int {
	if !w.Schedulable || w.Service != k.service || k.label != "" && !slices.Contains(w.Labels, k.label) {
		return 0
	}
	if k.perWorker > 0 {
		most = min(most, k.perWorker)
	}
	total := placement.Add(w.Free, w.Releasing)
	for _, r := range w.Releases {
		total = placement.Add(total, r.Need)
	}
	n := 0
	for n < most && placement.Covers(total, k.need) {
		total = placement.Sub(total, k.need)
		n++
	}
	return n
}
