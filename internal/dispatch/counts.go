package dispatch

import (
	"maps"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/lease"
)

// countsInterval is the time between two counts of the waiting jobs, and the minimum time
// between two writes of them. With leasePoll of a daemon twice, for the time since the renewal
// that states their age, it stays below the 2 s that callers accept.
const countsInterval = 500 * time.Millisecond

// countsState is a row of counts of waiting jobs that a term has stored, and when the counts
// were last seen to be true.
type countsState struct {
	version int64
	trueAt  time.Time
}

// CountsStatement states how old the stored counts of waiting jobs are, for the next renewal of
// the lease. It returns nil if this daemon does not dispatch or has stored no counts.
func (d *Dispatcher) CountsStatement() []byte {
	state := d.counts.Load()
	if state == nil {
		return nil
	}
	value, err := batch.EncodeCountsStatement(state.version, time.Since(state.trueAt))
	if err != nil {
		d.log.Error("Failed to state the age of the counts of waiting jobs.", telemetry.ErrorField(err))
		return nil
	}
	return value
}

// ErrCountsAgeUnknown means that no dispatcher has stated the age of the stored counts.
var ErrCountsAgeUnknown = eris.New("no dispatcher has stated the age of the counts of waiting jobs")

// CountsAge returns how old the stored counts of waiting jobs of a version, and of later ones,
// are at most, by what the holder of the lease has stated with its last renewal.
func CountsAge(l *lease.Lease) (version int64, age time.Duration, err error) {
	now := l.Now()
	statement, renewedAfter := l.Statement()
	if len(statement) == 0 || renewedAfter.IsZero() {
		return 0, 0, ErrCountsAgeUnknown
	}
	version, age, err = batch.DecodeCountsStatement(statement)
	return version, age + now.Sub(renewedAfter), err
}

// noteCountsTrue records that the stored counts were true at a time. A term that cannot read
// the jobs does not know.
func (t *term) noteCountsTrue(at time.Time) {
	if !t.jobsUnread {
		t.counts.Store(&countsState{version: t.countsVersion, trueAt: at})
	}
}

// pendingCounts counts the jobs of each queue of which no start is stored, and reports
// whether the counts are to be stored now. A job has started when a worker has confirmed a run
// of it: a run that was only assigned may never be carried out.
func (t *term) pendingCounts(now time.Time) (map[string]int64, bool) {
	if !t.jobsListed || now.Sub(t.countedAt) < countsInterval {
		return nil, false
	}
	t.countedAt = now
	counts := map[string]int64{}
	for _, j := range t.jobs {
		if !j.startStored() && !j.tracker.State.Final() {
			counts[j.tracker.Job.Queue]++
		}
	}
	switch {
	case t.storedCounts != nil && maps.Equal(counts, t.storedCounts):
		t.noteCountsTrue(now)
		return counts, false
	case t.oversizeCounts != nil && maps.Equal(counts, t.oversizeCounts):
		return counts, false
	}
	return counts, true
}

// encodeCounts returns the row of the counts of waiting jobs and whether it can be stored.
// Counts that cannot are not tried again until they change.
func (t *term) encodeCounts(counts map[string]int64) ([]byte, bool) {
	value, err := batch.EncodeCounts(counts)
	switch {
	case err != nil:
		t.log.Error("Failed to encode the counts of waiting jobs.", telemetry.ErrorField(err))
	case len(value) > batch.MaxRowBytes:
		t.log.Error("Counts of waiting jobs not stored because the row is too large.", zap.Int("queues", len(counts)), zap.Int("bytes", len(value)))
	default:
		return value, true
	}
	t.oversizeCounts = counts
	return nil, false
}
