package workerhealth

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStallTime and stallShare are how long work without progress counts as in progress,
	// at least and as a share of its expected run time. The report of a run may be 1.5 s old.
	minStallTime = 2 * time.Second
	stallShare   = 0.25
	// stallSteps is how many times as long as its average percent of progress a run may take
	// for the next one. A percent of a straggler may take longer than stallShare allows.
	stallSteps = 4
	// completed is the progress from which a run counts as ending.
	completed = 100
	// MaxMoves is how often a task or a gang without progress is stopped and started
	// elsewhere. One that hangs everywhere is not moved for ever. Each time it may stand still
	// for twice as long as before.
	MaxMoves = 4
	// advancingShare is the part of the evidence that counts against a worker on which other
	// work advances.
	advancingShare = 0.4
)

// Progress is the progress of a run as its worker reports it.
type Progress struct {
	Percent      int64
	FirstPercent int64     // in the first report
	FirstAt      time.Time // of the first report; zero before
	AdvancedAt   time.Time // when the percent last changed; zero if it has not
	SeenAt       time.Time // of the last report
}

// Report records the percent of a report, and reports whether any progress is known.
func (p *Progress) Report(percent int64, now time.Time) bool {
	switch {
	case p.FirstAt.IsZero():
		p.FirstPercent, p.FirstAt, p.Percent = percent, now, percent
	case percent != p.Percent:
		p.Percent, p.AdvancedAt = percent, now
	}
	p.SeenAt = now
	return p.Percent > 0
}

// Work is a task in progress, or all members of a gang.
type Work struct {
	// Kind is equal for comparable work of a service.
	Kind, Service string
	Workers       []string
	// Eligible is false for work that is never stopped: persistent tasks, gangs that are not
	// complete, and work on workers that report no progress.
	Eligible   bool
	CompleteAt time.Time // when the last member was started
	Progress   Progress  // of the member that was seen last
	Expected   time.Duration
	Moves      int // earlier stops because of no progress
}

// stallLimit is how long the work may show no progress.
func (w *Work) stallLimit() time.Duration {
	limit := max(minStallTime, time.Duration(stallShare*float64(w.Expected))) << min(w.Moves, MaxMoves)
	if gained := w.gained(); gained > 0 {
		limit = max(limit, stallSteps*w.Progress.AdvancedAt.Sub(w.Progress.FirstAt)/time.Duration(gained))
	}
	return limit
}

// gained returns the progress since the first report.
func (w *Work) gained() int64 { return w.Progress.Percent - w.Progress.FirstPercent }

// stalled returns for how long the reports have shown no progress.
func (w *Work) stalled() time.Duration {
	since := w.Progress.FirstAt
	for _, at := range []time.Time{w.CompleteAt, w.Progress.AdvancedAt} {
		if at.After(since) {
			since = at
		}
	}
	return max(0, w.Progress.SeenAt.Sub(since))
}

func (w *Work) advances() bool {
	return !w.Progress.AdvancedAt.IsZero() && w.stalled() < w.stallLimit()
}

// HungWork is work that is to be stopped and started elsewhere.
type HungWork struct {
	Work int // position
	// Suspects are the workers that may be the cause: those where no other work advances, or
	// all of them if other work advances on each. The evidence against each counts by Share.
	Suspects []string
	Share    float64
}

// peers are the positions of comparable work that advances and that does not.
type peers struct{ advancing, stalled []int }

// FindHung returns up to most pieces of work that are hung, those without progress for longest
// first. Comparable work has to advance on other workers: work of the same kind, or if none
// runs there, at least as much of the service as does not advance. Otherwise the cause is not the worker.
func FindHung(work []Work, most int) []HungWork {
	type kind struct{ service, kind string }
	kinds, services := map[kind]*peers{}, map[string]*peers{}
	advancing := map[string]bool{} // workers
	for i := range work {
		w := &work[i]
		if !w.Eligible || w.Expected <= 0 && w.gained() <= 0 {
			continue // or nothing tells how long a percent takes
		}
		ofKind, ofService := entry(kinds, kind{w.Service, w.Kind}), entry(services, w.Service)
		switch {
		case w.advances():
			ofKind.advancing, ofService.advancing = append(ofKind.advancing, i), append(ofService.advancing, i)
			for _, id := range w.Workers {
				advancing[id] = true
			}
		case w.stalled() >= w.stallLimit():
			ofKind.stalled, ofService.stalled = append(ofKind.stalled, i), append(ofService.stalled, i)
		}
	}
	var hung []HungWork
	for _, ofService := range services {
		for _, i := range ofService.stalled {
			w := &work[i]
			if w.Moves < MaxMoves && w.Progress.Percent < completed && comparableAdvances(work, w, kinds[kind{w.Service, w.Kind}], ofService) {
				hung = append(hung, hungWork(i, w.Workers, advancing))
			}
		}
	}
	slices.SortFunc(hung, func(a, b HungWork) int {
		return cmp.Or(cmp.Compare(work[b.Work].stalled(), work[a.Work].stalled()), a.Work-b.Work)
	})
	return hung[:min(len(hung), most)]
}

func entry[K comparable](groups map[K]*peers, key K) *peers {
	if groups[key] == nil {
		groups[key] = &peers{}
	}
	return groups[key]
}

// hungWork divides the evidence among the workers of hung work.
func hungWork(i int, workers []string, advancing map[string]bool) HungWork {
	suspects, share := slices.DeleteFunc(slices.Clone(workers), func(id string) bool { return advancing[id] }), 1.0
	if len(suspects) == 0 {
		suspects, share = slices.Clone(workers), advancingShare
	}
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	return HungWork{Work: i, Suspects: suspects, Share: share / float64(len(suspects))}
}

// comparableAdvances reports whether work of the same kind advances on other workers, or if
// none of it is there, at least as much of the service as does not advance.
func comparableAdvances(work []Work, w *Work, ofKind, ofService *peers) bool {
	elsewhere := func(i int) bool { return !sharesWorker(w, &work[i]) }
	switch {
	case slices.ContainsFunc(ofKind.advancing, elsewhere):
		return true
	case slices.ContainsFunc(ofKind.stalled, elsewhere):
		return false
	}
	return len(ofService.advancing) >= len(ofService.stalled) && slices.ContainsFunc(ofService.advancing, elsewhere)
}

func sharesWorker(a, b *Work) bool {
	return slices.ContainsFunc(a.Workers, func(id string) bool { return slices.Contains(b.Workers, id) })
}
