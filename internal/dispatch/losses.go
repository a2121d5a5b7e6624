package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// How the loss of a worker was noticed.
const (
	lossRestarted     = "restarted"      // a later incarnation has its identifier
	lossAddressReused = "address_reused" // another worker answers at its address
	lossLeaseExpired  = "lease_expired"  // it was unreachable until its lease had expired
)

// reportLoss logs that a worker was lost with the runs on it. The run that was started
// last is named, because work that ends its worker mostly does so soon after its start.
func (t *term) reportLoss(w *workerState, evidence string) {
	var youngest *run
	sent := 0
	for _, r := range w.runs {
		if r.phase == phaseCommitting {
			continue
		}
		sent++
		if youngest == nil || r.startedAt.After(youngest.startedAt) {
			youngest = r
		}
	}
	if youngest == nil {
		return
	}
	t.scope.Tagged(map[string]string{"evidence": evidence}).Counter("workers_lost").Inc(1)
	t.scope.Counter("runs_lost").Inc(int64(sent))
	t.log.Warn("Worker lost with its runs.", zap.String("worker", w.info.ID), zap.Int64("born", w.info.StartedMs), zap.String("evidence", evidence),
		zap.Bool("draining", w.info.Draining), zap.Int("runs", sent), zap.Stringer("youngest_task", youngest.ref.TaskRef), zap.Int64("run", youngest.ref.Run),
		zap.Bool("confirmed", !youngest.confirmedAt.IsZero()), zap.Int64("lifetime_ms", youngest.lifetime().Milliseconds()))
}

// lifetime returns for how long a run is known to have existed: until its worker last
// confirmed it. It is 0 for a run that its worker has never confirmed.
func (r *run) lifetime() time.Duration { return max(0, r.seenAt.Sub(r.startedAt)) }
