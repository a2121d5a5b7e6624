// Package health records failed tasks and distinguishes failing workers from
// failing jobs. A worker on which several different jobs fail is quarantined; a
// job that fails on several different workers is failing. The failures of one do
// not count against the other.
//
// A Tracker has no clock and no locks: the caller passes the time and must not
// use a Tracker concurrently.
package health

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultWindow is long enough for three jobs to be tried on a worker one after
	// the other, and short enough that failures of different days are not added up.
	DefaultWindow          = time.Hour
	DefaultRetention       = 24 * time.Hour
	DefaultJobThreshold    = 3
	DefaultWorkerThreshold = 3
	DefaultFirstBackoff    = 5 * time.Minute
	DefaultMaxBackoff      = 4 * time.Hour
)

// Config holds the limits of a Tracker. 0 means the default.
type Config struct {
	// Window is the time within which failures on a worker are added up.
	Window time.Duration
	// Retention is how long the failures of a job are kept, and how long after its
	// quarantine a worker's backoff is remembered.
	Retention time.Duration
	// JobThreshold is the number of different jobs whose failures quarantine a worker.
	JobThreshold int
	// WorkerThreshold is the number of different workers on which a job must fail
	// to count as failing.
	WorkerThreshold int
	// FirstBackoff is the duration of the first quarantine. Each further one is
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

// Quarantine holds until when and why a worker gets no tasks.
type Quarantine struct {
	Worker string
	Until  time.Time
	Reason string
}

// Tracker records failures and quarantines workers.
type Tracker struct {
	config   Config
	failures []*failureRecord // by time
	workers  map[string]*worker
}

type failureRecord struct {
	Failure
	// workerFault is set when the failure led to a quarantine of the worker or
	// occurred during one.
	workerFault bool
}

type worker struct {
	quarantine      Quarantine
	quarantinedAt   time.Time
	quarantineCount int
}

// New returns a tracker without failures.
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

// RecordFailure records a failure. The same attempt on the same worker counts once,
// so that a daemon can rebuild the records from the job rows. Failures may be
// recorded late, but should be recorded in the order of their times.
func (t *Tracker) RecordFailure(f Failure) {
	t.dropExpired(f.At)
	if f.Worker == "" || slices.ContainsFunc(t.failures, func(r *failureRecord) bool {
		return r.Job == f.Job && r.Attempt == f.Attempt && r.Worker == f.Worker
	}) {
		return
	}
	r := &failureRecord{Failure: f, workerFault: t.inQuarantine(f.Worker, f.At)}
	t.failures = append(t.failures, r)
	if !r.workerFault {
		t.quarantineIfFailing(f.Worker, f.At)
	}
}

// RecordSuccess records that a task succeeded on a worker. If the worker is not in
// quarantine, its next quarantine lasts FirstBackoff again.
func (t *Tracker) RecordSuccess(name string, at time.Time) {
	if w := t.workers[name]; w != nil && !at.Before(w.quarantine.Until) {
		delete(t.workers, name)
	}
}

// QuarantineOf returns the quarantine of a worker, and reports whether there is one
// at the given time.
func (t *Tracker) QuarantineOf(name string, now time.Time) (Quarantine, bool) {
	w := t.workers[name]
	if w == nil || !now.Before(w.quarantine.Until) {
		return Quarantine{}, false
	}
	return w.quarantine, true
}

// FailedWorkers returns the different workers on which a job failed through no
// fault of the worker, in the order of the failures.
func (t *Tracker) FailedWorkers(job string) []string {
	var out []string
	for _, r := range t.failures {
		if r.Job == job && !r.workerFault && !slices.Contains(out, r.Worker) {
			out = append(out, r.Worker)
		}
	}
	return out
}

// JobFailing reports whether a job has failed on so many workers that it should not
// be retried.
func (t *Tracker) JobFailing(job string) bool {
	return len(t.FailedWorkers(job)) >= t.config.WorkerThreshold
}

// ForgetWorker drops the failures and the quarantine of a worker whose VM has been
// replaced.
func (t *Tracker) ForgetWorker(name string) {
	delete(t.workers, name)
	t.failures = slices.DeleteFunc(t.failures, func(r *failureRecord) bool { return r.Worker == name })
}

// quarantineIfFailing quarantines a worker on which enough different jobs failed
// within the window. Failing jobs do not count.
func (t *Tracker) quarantineIfFailing(name string, now time.Time) {
	var failedJobs []string
	var counted []*failureRecord
	for _, r := range t.failures {
		if r.Worker != name || r.workerFault || now.Sub(r.At) > t.config.Window || t.JobFailing(r.Job) {
			continue
		}
		counted = append(counted, r)
		if !slices.Contains(failedJobs, r.Job) {
			failedJobs = append(failedJobs, r.Job)
		}
	}
	if len(failedJobs) < t.config.JobThreshold {
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
	backoff := t.backoff(w.quarantineCount)
	w.quarantineCount++
	w.quarantinedAt = now
	w.quarantine = Quarantine{
		Worker: name, Until: now.Add(backoff),
		Reason: fmt.Sprintf("%d different jobs failed on it within %s; it gets no tasks for %s", len(failedJobs), t.config.Window, backoff),
	}
}

func (t *Tracker) backoff(previous int) time.Duration {
	d := t.config.FirstBackoff
	for range previous {
		if d *= 2; d >= t.config.MaxBackoff {
			break
		}
	}
	return min(d, t.config.MaxBackoff)
}

func (t *Tracker) inQuarantine(name string, at time.Time) bool {
	w := t.workers[name]
	return w != nil && !at.Before(w.quarantinedAt) && at.Before(w.quarantine.Until)
}

// dropExpired drops failures that are older than the retention time, and workers
// whose quarantine ended longer ago than that.
func (t *Tracker) dropExpired(now time.Time) {
	t.failures = slices.DeleteFunc(t.failures, func(r *failureRecord) bool { return now.Sub(r.At) > t.config.Retention })
	for name, w := range t.workers {
		if now.Sub(w.quarantine.Until) > t.config.Retention {
			delete(t.workers, name)
		}
	}
}
