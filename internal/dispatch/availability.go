package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

// unavailability is why a worker gets no new tasks. It is empty if the worker may get some.
type unavailability string

// Reasons why a worker gets no new tasks, and what ends them. docs/platform.md, "Workers that
// get no tasks", has the longest times.
const (
	notListed        unavailability = "not listed"          // its entry is written
	entryMissing     unavailability = "entry missing"       // its entry is written, or it answers a call
	notDescribed     unavailability = "not described"       // the entry of its present incarnation is read
	leaving          unavailability = "draining"            // its entry is ready again
	notAnswering     unavailability = "not answering"       // it answers a call
	zoneOutOfService unavailability = "zone out of service" // the operator takes the zone back
	inQuarantine     unavailability = "quarantined"         // time passes
)

// unavailabilities are all reasons, for the gauges.
var unavailabilities = []unavailability{notListed, entryMissing, notDescribed, leaving, notAnswering, zoneOutOfService, inQuarantine}

// unavailability returns why a worker of any health may get no new tasks now, or "".
func (t *term) unavailability(w *workerState) unavailability {
	switch {
	case !w.listed:
		return notListed
	case w.unproved():
		return entryMissing
	case w.describedMs != w.info.StartedMs:
		return notDescribed
	case w.info.Draining:
		return leaving
	case w.misses > 0:
		return notAnswering
	case t.cfg.Zones.OutOfService(w.info.Zone):
		return zoneOutOfService
	}
	return ""
}

// available reports whether a worker of any health may get new tasks now.
func (t *term) available(w *workerState) bool { return t.unavailability(w) == "" }

// ineligibility returns why a worker may get no new tasks now, also because of its health, or "".
func (t *term) ineligibility(w *workerState) unavailability {
	if reason := t.unavailability(w); reason != "" {
		return reason
	}
	if w.health == workerhealth.Quarantined {
		return inQuarantine
	}
	return ""
}

// availabilityReportInterval is the time between two updates of the gauges of unavailable workers.
const availabilityReportInterval = time.Second

// reportAvailability publishes how many workers get no new tasks, by reason.
func (t *term) reportAvailability(now time.Time) {
	if now.Sub(t.availabilityReportedAt) < availabilityReportInterval {
		return
	}
	t.availabilityReportedAt = now
	counts := map[unavailability]int{}
	for _, w := range t.workers {
		counts[t.ineligibility(w)]++
	}
	for _, reason := range unavailabilities {
		t.scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("workers_unavailable").Update(float64(counts[reason]))
	}
}

// noteMiss records a call to a worker without an answer that can be used.
func (t *term) noteMiss(w *workerState, now time.Time, cause string, err error) {
	w.misses++
	if w.misses > 1 {
		return
	}
	w.silentSince = now
	t.log.Warn("Worker does not answer.", zap.String("worker", w.info.ID), zap.String("outcome", cause), zap.Bool("listed", w.listed),
		zap.Int("runs", len(w.runs)), telemetry.ErrorField(err))
}

// clearMisses records that a worker answers again after unanswered calls.
func (t *term) clearMisses(w *workerState, now time.Time) {
	if w.misses == 0 {
		return
	}
	t.log.Info("Worker answers again.", zap.String("worker", w.info.ID), zap.Int("misses", w.misses), zap.Duration("silence", now.Sub(w.silentSince)), zap.Int("runs", len(w.runs)))
	w.misses = 0
}
