// Package workerhealth decides from the outcomes of runs and orders which workers are
// healthy. Its decisions depend on their inputs and the given times only. One goroutine
// owns a Tracker.
package workerhealth

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State is the health of a worker.
type State int

const (
	// Healthy workers get tasks like any other.
	Healthy State = iota
	// Suspect workers are chosen last.
	Suspect
	// OnTrial workers get one task at a time.
	OnTrial
	// Quarantined workers get no tasks.
	Quarantined
)

func (s State) String() string {
	return [...]string{"healthy", "suspect", "on_trial", "quarantined"}[s]
}

// Kind is a kind of evidence.
type Kind int

const (
	// Success is a run that completed its task.
	Success Kind = iota
	// Failure is a run that failed.
	Failure
	// Refused is a start that the worker refused.
	Refused
	// Unanswered is an order without an answer.
	Unanswered
	// Late is an order that took much longer than usual.
	Late
	// Restarted is a worker that restarted, or left without notice.
	Restarted
	// Slow is a run that completed its task far too late.
	Slow
	// Hung is a run without progress.
	Hung
	kinds
)

func (k Kind) String() string {
	return [kinds]string{"success", "failure", "refused", "unanswered", "late", "restarted", "slow", "hung"}[k]
}

// weights and halfLives say how much evidence counts and how fast it decays. About one task
// in 30 fails through no fault of its worker, so that three failures of different tasks are
// needed for quarantine. Flapping workers stay for some time between two restarts, so that
// restarts decay more slowly. A single restart does not make a worker suspect: a whole rack
// may restart, and urgent work evicts nothing from suspect workers. A worker where nothing
// advances while the same work advances elsewhere is quarantined at once.
var (
	weights   = [kinds]float64{Failure: 1, Refused: 1, Unanswered: 0.8, Late: 0.25, Restarted: 0.65, Slow: 0.6, Hung: 2.5}
	halfLives = [kinds]time.Duration{Failure: 10 * time.Second, Refused: 10 * time.Second, Unanswered: 10 * time.Second, Late: 10 * time.Second,
		Restarted: time.Minute, Slow: 30 * time.Second, Hung: 20 * time.Second}
)

const (
	quarantineScore = 2.5
	// suspectScore is exceeded for 5 s after one failure.
	suspectScore = 0.7
	// trialScore takes a worker on trial back into quarantine, and secondTrialScore one that had
	// one successful trial.
	trialScore       = 0.9
	secondTrialScore = 1.2
	// successWeight is what a success takes from the oldest evidence. It is less than the
	// weight of a failure, because many faulty workers complete some of their tasks.
	successWeight = 0.25
	// maxEvidence bounds the evidence that is kept of a worker.
	maxEvidence = 16
	// minWeight is the weight below which evidence is forgotten.
	minWeight = 0.05
	// maxTasks bounds the tasks whose failures are known.
	maxTasks = 4096
	// taskRetention is how long the failures of a task are known.
	taskRetention = 2 * time.Minute
	// minWorkersOfFaultyTask is the number of workers, not faulty for other reasons, on which a
	// task has to fail for its failures to count against the task.
	minWorkersOfFaultyTask = 2
)

// Config holds the limits of a tracker. Zero values mean the defaults.
type Config struct {
	// MinQuarantine and MaxQuarantine bound the time of a quarantine, which doubles each
	// time; the defaults are 2 s and 16 s.
	MinQuarantine, MaxQuarantine time.Duration
	// MaxShare is the largest share of the workers of a service in quarantine, 0.25.
	MaxShare float64
	// IdleTrial is how long a worker on trial may get no task before it counts as suspect
	// again, and how long a worker has to stay out of quarantine for the time of the next
	// one to be halved. The default is 60 s.
	IdleTrial time.Duration
	// Changed is called with each change of the state of a worker. It may be nil.
	Changed func(Change)
}

// Change is a change of the state of a worker.
type Change struct {
	Worker   string
	From, To State
	Evidence []Item
	// Until is the end of a quarantine.
	Until time.Time
}

// Evidence is the outcome of a run or an order.
type Evidence struct {
	Kind Kind
	// Task is the task, or for a member of a gang the gang, that explains a failure if it
	// fails elsewhere as well. It may be empty.
	Task string
	// Run is the number of the run. Members of a gang that fail in the same run do not show
	// that the gang fails elsewhere as well.
	Run int64
	// Persistent tasks make a worker suspect, but never quarantine it.
	Persistent bool
	// Share is the part of the full weight that counts, if several workers may be the cause.
	// 0 means all of it.
	Share float64
}

// Item is evidence that counts against a worker.
type Item struct {
	Evidence
	At         time.Time
	weight     float64
	attributed bool // the task explains the failure
}

type worker struct {
	incarnation int64
	state       State
	since       time.Time
	until       time.Time // end of the quarantine
	times       int       // quarantines, for the time of the next one
	easedAt     time.Time // when times was last changed
	items       []Item
	passedTrial bool // had one successful trial
}

// failures are the workers on which different runs of a task have failed.
type failures struct {
	workers    []string
	run        int64 // the last one
	last       time.Time
	faultyTask bool // the task explains its failures
}

// Tracker holds the evidence of the workers. New returns one.
type Tracker struct {
	cfg     Config
	workers map[string]*worker
	tasks   map[string]*failures
}

// New returns a tracker without evidence.
func New(cfg Config) *Tracker {
	if cfg.MinQuarantine <= 0 {
		cfg.MinQuarantine = 2 * time.Second
	}
	if cfg.MaxQuarantine <= 0 {
		cfg.MaxQuarantine = 16 * time.Second
	}
	if cfg.MaxShare <= 0 {
		cfg.MaxShare = 0.25
	}
	if cfg.IdleTrial <= 0 {
		cfg.IdleTrial = time.Minute
	}
	return &Tracker{cfg: cfg, workers: map[string]*worker{}, tasks: map[string]*failures{}}
}

// Note records evidence about an incarnation of a worker. That of an earlier incarnation is
// ignored, except for the tasks that have failed there.
func (t *Tracker) Note(id string, incarnation int64, e Evidence, now time.Time) {
	if e.Kind == Success || e.Kind == Slow {
		t.restoreFailures(e.Task, now)
	}
	w := t.workers[id]
	if w == nil {
		if e.Kind == Success {
			return // nothing to take back
		}
		w = &worker{incarnation: incarnation, since: now}
		t.workers[id] = w
	}
	if incarnation < w.incarnation {
		return
	}
	if incarnation > w.incarnation {
		// What the former process did wrong does not count against the new one, except that
		// it was restarted.
		w.incarnation = incarnation
		w.items = slices.DeleteFunc(w.items, func(i Item) bool { return i.Kind != Restarted })
	}
	if e.Kind == Success {
		t.success(id, w, now)
		return
	}
	w.add(e, now)
	if (e.Kind == Failure || e.Kind == Hung) && e.Task != "" {
		t.noteTaskFailure(id, e, now)
	}
	t.evaluate(id, w, now)
}

// add records evidence. A task counts once: one task alone does not quarantine a worker.
func (w *worker) add(e Evidence, now time.Time) {
	if i := slices.IndexFunc(w.items, func(i Item) bool { return e.Task != "" && i.Task == e.Task && i.Kind == e.Kind }); i >= 0 {
		w.items = slices.Delete(w.items, i, i+1)
	}
	if len(w.items) >= maxEvidence {
		w.items = w.items[1:]
	}
	w.items = append(w.items, Item{Evidence: e, At: now, weight: weights[e.Kind] * cmp.Or(e.Share, 1)})
}

// score returns the weight of the evidence against a worker. Without persistent, that of
// persistent tasks does not count; that of the given task never does.
func (w *worker) score(now time.Time, persistent bool, except string) float64 {
	sum := 0.0
	for _, i := range w.items {
		if !i.attributed && (persistent || !i.Persistent) && (except == "" || i.Task != except) {
			sum += i.at(now)
		}
	}
	return sum
}

func (i Item) at(now time.Time) float64 {
	return i.weight * math.Exp2(-now.Sub(i.At).Seconds()/halfLives[i.Kind].Seconds())
}

// noteTaskFailure records that a task has failed on a worker. Once it has on several that are
// not faulty for other reasons, its failures count against the task.
func (t *Tracker) noteTaskFailure(id string, e Evidence, now time.Time) {
	f := t.tasks[e.Task]
	if f == nil {
		t.boundTasks(now)
		f = &failures{}
		t.tasks[e.Task] = f
	}
	f.last = now
	if (len(f.workers) == 0 || e.Run != f.run) && !slices.Contains(f.workers, id) && len(f.workers) < maxEvidence {
		f.workers, f.run = append(f.workers, id), e.Run
	}
	otherwiseHealthy := 0
	for _, failedOn := range f.workers {
		if w := t.workers[failedOn]; w == nil || w.state < OnTrial && w.score(now, true, e.Task) < secondTrialScore {
			otherwiseHealthy++
		}
	}
	if f.faultyTask || otherwiseHealthy >= minWorkersOfFaultyTask {
		f.faultyTask = true
		t.Refund(e.Task, now)
	}
}

// boundTasks makes room for the failures of one more task.
func (t *Tracker) boundTasks(now time.Time) {
	if len(t.tasks) < maxTasks {
		return
	}
	oldest := ""
	for task, f := range t.tasks {
		if now.Sub(f.last) > taskRetention {
			delete(t.tasks, task)
		} else if oldest == "" || f.last.Before(t.tasks[oldest].last) {
			oldest = task
		}
	}
	if len(t.tasks) >= maxTasks {
		delete(t.tasks, oldest)
	}
}

// Refund takes back what the failures of a task count against workers. A quarantine that the
// rest of the evidence does not justify ends.
func (t *Tracker) Refund(task string, now time.Time) {
	for id, w := range t.workers {
		if !w.setAttributed(task, true) {
			continue
		}
		if w.state == Quarantined && w.times == 1 && w.score(now, false, "") < quarantineScore {
			w.times = 0
			t.set(id, w, Suspect, now)
		}
		t.evaluate(id, w, now)
	}
}

// restoreFailures makes the failures of a task count against the workers again: it has succeeded
// elsewhere.
func (t *Tracker) restoreFailures(task string, now time.Time) {
	f := t.tasks[task]
	if f == nil {
		return
	}
	delete(t.tasks, task)
	if !f.faultyTask {
		return
	}
	for id, w := range t.workers {
		if w.setAttributed(task, false) {
			t.evaluate(id, w, now)
		}
	}
}

// setAttributed sets whether the failures of a task are attributed to the task, and reports whether any changed.
func (w *worker) setAttributed(task string, attributed bool) (changed bool) {
	for i := range w.items {
		if item := &w.items[i]; item.Task == task && item.attributed != attributed {
			item.attributed, changed = attributed, true
		}
	}
	return changed
}

// success takes back a part of the oldest evidence, and counts as a trial.
func (t *Tracker) success(id string, w *worker, now time.Time) {
	left := successWeight
	for left > 0 && len(w.items) > 0 {
		oldest := &w.items[0]
		if weight := oldest.at(now); weight > left {
			oldest.weight -= left * oldest.weight / weight
			left = 0
		} else {
			left -= weight
			w.items = w.items[1:]
		}
	}
	switch {
	case w.state == OnTrial:
		w.passedTrial = true
		t.set(id, w, Suspect, now)
	case w.passedTrial:
		w.passedTrial, w.items = false, nil
		t.set(id, w, Healthy, now)
	default:
		t.evaluate(id, w, now)
	}
}

// evaluate sets the state that follows from the evidence.
func (t *Tracker) evaluate(id string, w *worker, now time.Time) {
	w.items = slices.DeleteFunc(w.items, func(i Item) bool { return i.at(now) < minWeight })
	score := w.score(now, false, "")
	switch {
	case w.state == Quarantined:
		if !now.Before(w.until) {
			w.items = nil
			t.set(id, w, OnTrial, now)
		}
	case score >= quarantineScore, w.state == OnTrial && score >= trialScore, w.passedTrial && score >= secondTrialScore:
		w.times++
		w.easedAt = now
		w.until = now.Add(min(t.cfg.MaxQuarantine, t.cfg.MinQuarantine<<min(w.times-1, 8)))
		w.passedTrial = false
		t.set(id, w, Quarantined, now)
	case w.state == OnTrial:
		if now.Sub(w.since) >= t.cfg.IdleTrial {
			t.set(id, w, Suspect, now)
		}
	case w.passedTrial:
		if now.Sub(w.since) >= t.cfg.IdleTrial {
			w.passedTrial = false
			t.set(id, w, Healthy, now)
		}
	case w.score(now, true, "") >= suspectScore:
		t.set(id, w, Suspect, now)
	default:
		t.set(id, w, Healthy, now)
	}
}

func (t *Tracker) set(id string, w *worker, state State, now time.Time) {
	if w.state == state {
		return
	}
	change := Change{Worker: id, From: w.state, To: state, Evidence: w.items}
	if state == Quarantined {
		change.Until = w.until
	}
	w.state, w.since = state, now
	if t.cfg.Changed != nil {
		t.cfg.Changed(change)
	}
}

// Advance applies the passage of time: ends of quarantines and decay of evidence. It forgets
// workers without evidence.
func (t *Tracker) Advance(now time.Time) {
	for id, w := range t.workers {
		t.evaluate(id, w, now)
		if w.state == Healthy && w.times > 0 && now.Sub(w.easedAt) >= t.cfg.IdleTrial {
			w.times--
			w.easedAt = now
		}
		if w.state == Healthy && len(w.items) == 0 && w.times == 0 {
			delete(t.workers, id)
		}
	}
	for task, f := range t.tasks {
		if now.Sub(f.last) > taskRetention {
			delete(t.tasks, task)
		}
	}
}

// Listed is a worker that is not healthy.
type Listed struct {
	Worker string
	State  State
	Since  time.Time
}

// List returns the workers that are not healthy, in the order of their identifiers.
func (t *Tracker) List() []Listed {
	var listed []Listed
	for id, w := range t.workers {
		if w.state != Healthy {
			listed = append(listed, Listed{Worker: id, State: w.state, Since: w.since})
		}
	}
	slices.SortFunc(listed, func(a, b Listed) int { return cmp.Compare(a.Worker, b.Worker) })
	return listed
}
