package dispatch

import (
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/admission"
)

// RunBytes is the memory of a run at the dispatcher, with what is read of it in the reports of
// its worker.
const RunBytes = 1 << 10

// runLimit decides which placements of a plan begin, so that the runs fit into the memory of
// the dispatcher. An organisation may have as many as are left for all others.
type runLimit struct {
	max            int // 0 for no limit
	all            int
	byOrganisation map[string]int
}

func (t *term) newRunLimit() *runLimit {
	l := &runLimit{max: t.cfg.MaxRuns, byOrganisation: map[string]int{}}
	for _, j := range t.jobs {
		l.all += len(j.runs)
		l.byOrganisation[j.tracker.Job.Organisation] += len(j.runs)
	}
	return l
}

// begin reports whether n more runs of an organisation fit, and counts them.
func (l *runLimit) begin(organisation string, n int) bool {
	if l.max > 0 && !admission.FitsShare(int64(l.max-l.all), int64(l.byOrganisation[organisation]), int64(n)) {
		return false
	}
	l.all += n
	l.byOrganisation[organisation] += n
	return true
}

// noteRunLimit logs that placements wait because of the limit of runs, when that begins and ends.
func (t *term) noteRunLimit(l *runLimit, waiting int) {
	t.scope.Gauge("tasks_waiting_for_run_limit").Update(float64(waiting))
	if limited := waiting > 0; limited != t.runsLimited {
		t.runsLimited = limited
		t.log.Info("Limit of runs changed.", zap.Bool("reached", limited), zap.Int("waiting_tasks", waiting), zap.Int("runs", l.all), zap.Int("limit", l.max))
	}
}
