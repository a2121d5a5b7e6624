// Package health keeps book on failed tasks and tells failing workers from
// failing jobs. A worker on which several different jobs fail is quarantined; a
// job that fails on several different workers is failing. Neither is blamed for
// the failures of the other.
//
// The bookkeeping has no clock and no locks: the caller passes the time, and
// uses one Tracker from one goroutine.
package health

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultWindow is long enough for three jobs to be tried on a worker one
	// after the other, and short enough that failures of different days do not add up.
	DefaultWindow          = time.Hour
	DefaultRetention       = 24 * time.Hour
	DefaultJobThreshold    = 3
	DefaultWorkerThreshold = 3
	DefaultFirstBackoff    = 5 * time.Minute
	DefaultMaxBackoff      = 4 * time.Hour
)

// Config holds the limits; zero values take the defaults.
type Config struct {
	// Window is the time within which failures on a worker add up.
	Window time.Duration
	// Retention is how long failures of a job and the backoff of a worker are kept.
	Retention time.Duration
	// JobThreshold is the number of different jobs whose failures quarantine a worker.
	JobThreshold int
	// WorkerThreshold is the number of different workers on which a failing job fails.
	WorkerThreshold int
	// FirstBackoff is the length of the first quarantine; each further one is
	// twice as long, up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// Failure is a failed attempt of a job.
type Failure struct {
	Job     string
	Attempt int
	Worker  string
	At      time.Time
}

// Quarantine says until when and why a worker gets no tasks.
type Quarantine struct {
	Worker string
	Until  time.Time
	Reason string
}

// Tracker is the record of failures.
type Tracker struct {
	config   Config
	failures []*record // by time
	workers  map[string]*worker
}

type record struct {
	Failure
	// fault of the worker: the failure quarantined it or fell into a quarantine.
	workerFault bool
}

type worker struct {
	quarantine Quarantine
	since      time.Time
	strikes    int
}

// New returns an empty record.
func New(config Config) *Tracker {
	setDefault(&config.Window, DefaultWindow)
	setDefault(&config.Retention, DefaultRetention)
	setDefault(&config.JobThreshold, DefaultJobThreshold)
	setDefault(&config.WorkerThreshold, DefaultWorkerThreshold)
	setDefault(&config.FirstBackoff, DefaultFirstBackoff)
	setDefault(&config.MaxBackoff, DefaultMaxBackoff)
	return &Tracker{config: config, workers: make(map[string]*worker)}
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// RecordFailure records a failure. The same attempt on the same worker counts once, so
// that a daemon can rebuild the record from the job rows; failures may be
// recorded late, but should come in the order of their times.
func (t *Tracker) RecordFailure(f Failure) {
	t.forget(f.At)
	if f.Worker == "" || slices.ContainsFunc(t.failures, func(r *record) bool {
		return r.Job == f.Job && r.Attempt == f.Attempt && r.Worker == f.Worker
	}) {
		return
	}
	r := &record{Failure: f, workerFault: t.quarantinedAt(f.Worker, f.At)}
	t.failures = append(t.failures, r)
	if !r.workerFault {
		t.judge(f.Worker, f.At)
	}
}

// RecordSuccess records that a task ended well on a worker: the next quarantine of
// the worker starts with the shortest time again.
func (t *Tracker) RecordSuccess(name string, at time.Time) {
	if w := t.workers[name]; w != nil && !at.Before(w.quarantine.Until) {
		delete(t.workers, name)
	}
}

// QuarantineOf tells whether a worker gets no tasks now, and why.
func (t *Tracker) QuarantineOf(name string, now time.Time) (Quarantine, bool) {
	w := t.workers[name]
	if w == nil || !now.Before(w.quarantine.Until) {
		return Quarantine{}, false
	}
	return w.quarantine, true
}

// FailedWorkers lists the different workers on which a job failed through no fault of
// theirs, in the order of the failures.
func (t *Tracker) FailedWorkers(job string) []string {
	var out []string
	for _, r := range t.failures {
		if r.Job == job && !r.workerFault && !slices.Contains(out, r.Worker) {
			out = append(out, r.Worker)
		}
	}
	return out
}

// Failing tells whether a job has failed on so many workers that it is not
// worth another attempt.
func (t *Tracker) Failing(job string) bool {
	return len(t.FailedWorkers(job)) >= t.config.WorkerThreshold
}

// ForgetWorker drops the record of a worker whose VM has been replaced.
func (t *Tracker) ForgetWorker(name string) {
	delete(t.workers, name)
	t.failures = slices.DeleteFunc(t.failures, func(r *record) bool { return r.Worker == name })
}

// judge quarantines a worker on which enough different jobs failed in the
// window. Jobs that fail everywhere do not count.
func (t *Tracker) judge(name string, now time.Time) {
	var jobs []string
	var counted []*record
	for _, r := range t.failures {
		if r.Worker != name || r.workerFault || now.Sub(r.At) > t.config.Window || t.Failing(r.Job) {
			continue
		}
		counted = append(counted, r)
		if !slices.Contains(jobs, r.Job) {
			jobs = append(jobs, r.Job)
		}
	}
	if len(jobs) < t.config.JobThreshold {
		return
	}
	for _, r := range counted {
		r.workerFault = true
	}
	w := t.workers[name]
	if w == nil {
		w = &worker{}
		t.workers[name] = w
	}
	backoff := t.backoff(w.strikes)
	w.strikes++
	w.since = now
	w.quarantine = Quarantine{
		Worker: name, Until: now.Add(backoff),
		Reason: fmt.Sprintf("%d different jobs failed on it within %s; it gets no tasks for %s", len(jobs), t.config.Window, backoff),
	}
}

func (t *Tracker) backoff(strikes int) time.Duration {
	d := t.config.FirstBackoff
	for range strikes {
		if d *= 2; d >= t.config.MaxBackoff {
			break
		}
	}
	return min(d, t.config.MaxBackoff)
}

func (t *Tracker) quarantinedAt(name string, at time.Time) bool {
	w := t.workers[name]
	return w != nil && !at.Before(w.since) && at.Before(w.quarantine.Until)
}

// forget drops what is older than the memory.
func (t *Tracker) forget(now time.Time) {
	t.failures = slices.DeleteFunc(t.failures, func(r *record) bool { return now.Sub(r.At) > t.config.Retention })
	for name, w := range t.workers {
		if now.Sub(w.quarantine.Until) > t.config.Retention {
			delete(t.workers, name)
		}
	}
}
