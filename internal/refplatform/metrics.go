package refplatform

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// The histogram of call durations has buckets from 0.5 ms to 16 s, each twice as large
// as the one before.
const (
	firstDurationBucket = 500 * time.Microsecond
	durationBuckets     = 16
)

// noStatus is the status of a call without an answer.
const noStatus = 0

// outcomeKey identifies the counter of the calls with one name and HTTP status.
type outcomeKey struct {
	name   string
	status int
}

// metrics caches the counters and histograms of a client, because a lookup in the
// scope for each call costs about a quarter of the CPU time of the call.
type metrics struct {
	scope     tally.Scope
	buckets   tally.DurationBuckets
	counters  sync.Map // outcomeKey to tally.Counter
	durations sync.Map // name to tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:   scope,
		buckets: tally.MustMakeExponentialDurationBuckets(firstDurationBucket, 2, durationBuckets),
	}
}

// record counts a call under its outcome and records its duration.
func (m *metrics) record(name string, status int, elapsed time.Duration) {
	m.counter(outcomeKey{name, status}).Inc(1)
	m.duration(name).RecordDuration(elapsed)
}

func (m *metrics) counter(key outcomeKey) tally.Counter {
	if cached, ok := m.counters.Load(key); ok {
		return cached.(tally.Counter)
	}
	outcome := "error"
	if key.status != noStatus {
		outcome = strconv.Itoa(key.status)
	}
	counter := m.scope.Tagged(map[string]string{"call": key.name, "outcome": outcome}).Counter("calls")
	m.counters.Store(key, counter)
	return counter
}

func (m *metrics) duration(name string) tally.Histogram {
	if cached, ok := m.durations.Load(name); ok {
		return cached.(tally.Histogram)
	}
	histogram := m.scope.Tagged(map[string]string{"call": name}).Histogram("call_duration", m.buckets)
	m.durations.Store(name, histogram)
	return histogram
}
