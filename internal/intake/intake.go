// Package intake accepts batch jobs, cancels them and tells their state. Every
// daemon serves all of it from the table store; the dispatcher follows the rows.
package intake

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// attemptTimeout bounds one call to the store: twenty times its usual answer
	// in a transaction, so that a slow store still answers.
	attemptTimeout = 900 * time.Millisecond
	// attemptPause is the delay between two attempts.
	attemptPause = 25 * time.Millisecond
	// refusalAfter is how long a submission that has certainly not been stored is
	// tried before it is refused; the caller then tries another daemon.
	refusalAfter = 50 * time.Millisecond
	// hedgeAfter is how long the state of a job is awaited from the store before the
	// dispatcher is asked as well: several times what a read usually takes.
	hedgeAfter = 100 * time.Millisecond
	// askPause is the delay between two questions to the dispatcher.
	askPause = 150 * time.Millisecond
	// RetryAfter is when a refused caller should come back.
	RetryAfter = time.Second
)

// Outcome tells what became of a call.
type Outcome int

const (
	// Done means that the call has taken effect.
	Done Outcome = iota + 1
	// NotDone means that it has not and never will.
	NotDone
	// Unknown means that it may have taken effect or may still do so.
	Unknown
	// NoSuchJob means that no job has this identifier.
	NoSuchJob
)

func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotDone:
		return "not_done"
	case Unknown:
		return "unknown"
	case NoSuchJob:
		return "no_such_job"
	}
	return "invalid"
}

// Intake serves callers.
type Intake struct {
	store      table.Store
	dispatcher StateFunc
	log        *zap.Logger
	scope      tally.Scope
}

// StateFunc gives the state of a job as the dispatcher knows it, which is newer than
// the store's; "" when it cannot tell or is not reached.
type StateFunc func(ctx context.Context, job string) batch.State

// New returns an intake over a store.
func New(store table.Store, log *zap.Logger, scope tally.Scope) *Intake {
	return &Intake{store: store, log: telemetry.Part(log, "intake"), scope: telemetry.Scope(scope)}
}

// SetDispatcher lets states be told while the store does not answer. It is called
// before the intake serves.
func (in *Intake) SetDispatcher(dispatcher StateFunc) { in.dispatcher = dispatcher }

func jobKey(id string) string { return dispatch.JobsPrefix + id }

// Submit stores a job unless its identifier is known already, which is the same
// job sent again. It returns before ctx ends.
func (in *Intake) Submit(ctx context.Context, job batch.Job) Outcome {
	value, err := batch.EncodeJob(job)
	if err != nil {
		in.log.Error("Job not encoded.", zap.String("job", job.ID), telemetry.Cause(err))
		return NotDone
	}
	outcome, attempts, cause := in.insert(ctx, table.Write{Key: jobKey(job.ID), Value: value})
	in.log.Info("Submission answered.", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.String("organisation", job.Organisation),
		zap.Stringer("outcome", outcome), zap.Int("attempts", attempts), telemetry.Cause(cause))
	in.count("submissions", outcome)
	return outcome
}

// insert writes a row that must not exist. A conflict means that it does, by an
// earlier attempt or an earlier call.
func (in *Intake) insert(ctx context.Context, write table.Write) (Outcome, int, error) {
	began := time.Now()
	open := false // an earlier attempt may still land
	for attempt := 1; ; attempt++ {
		result := in.commit(ctx, []table.Condition{{Key: write.Key}}, write)
		switch result.Status {
		case table.Committed, table.Conflict:
			return Done, attempt, nil
		case table.Unknown:
			open = true
		case table.Unavailable:
			if !open && time.Since(began) >= refusalAfter {
				return NotDone, attempt, result.Err
			}
		}
		if !pause(ctx) {
			if open {
				return Unknown, attempt, result.Err
			}
			return NotDone, attempt, result.Err
		}
	}
}

func (in *Intake) commit(ctx context.Context, conditions []table.Condition, writes ...table.Write) table.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return in.store.Commit(ctx, conditions, writes)
}

func (in *Intake) get(ctx context.Context, key string) (table.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return in.store.Get(ctx, key)
}

// Cancel asks for the end of a job. It is done once the wish is stored.
func (in *Intake) Cancel(ctx context.Context, id string) Outcome {
	outcome, cause := in.cancel(ctx, id)
	in.log.Info("Cancellation answered.", zap.String("job", id), zap.Stringer("outcome", outcome), telemetry.Cause(cause))
	in.count("cancellations", outcome)
	return outcome
}

func (in *Intake) cancel(ctx context.Context, id string) (Outcome, error) {
	open := false
	for {
		row, found, err := in.get(ctx, jobKey(id))
		if err == nil && !found {
			return NoSuchJob, nil
		}
		if err == nil {
			result := in.commit(ctx, []table.Condition{{Key: row.Key, Version: row.Version}}, table.Write{Key: jobKey(id) + dispatch.CancelSuffix, Value: []byte{1}})
			if result.Status == table.Committed {
				return Done, nil
			}
			open = open || result.Status == table.Unknown
			err = result.Err
		}
		if !pause(ctx) {
			if open {
				return Unknown, err
			}
			return NotDone, err
		}
	}
}

// State returns the state of a job: from the store, or from the dispatcher when the
// store does not answer soon.
func (in *Intake) State(ctx context.Context, id string) (batch.State, Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan stateAnswer, 2)
	go func() { answers <- in.readState(ctx, id) }()
	asking := 1
	var hedge <-chan time.Time
	if in.dispatcher != nil {
		hedge = time.After(hedgeAfter)
	}
	var cause error
	for asking > 0 {
		select {
		case <-hedge:
			hedge = nil
			asking++
			go func() { answers <- in.askState(ctx, id) }()
		case got := <-answers:
			asking--
			if got.err == nil {
				in.log.Info("State answered.", zap.String("job", id), zap.String("state", string(got.state)),
					zap.Stringer("outcome", got.outcome), zap.String("from", got.from), zap.Int("attempts", got.attempts))
				return got.state, got.outcome
			}
			cause = got.err
		}
	}
	in.log.Warn("State not read.", zap.String("job", id), telemetry.Cause(cause))
	return "", NotDone
}

type stateAnswer struct {
	state    batch.State
	outcome  Outcome
	from     string
	attempts int
	err      error
}

// readState reads the state until the store answers or ctx ends.
func (in *Intake) readState(ctx context.Context, id string) stateAnswer {
	for attempt := 1; ; attempt++ {
		state, outcome, err := in.state(ctx, id)
		if err == nil || !pause(ctx) {
			return stateAnswer{state, outcome, "store", attempt, err}
		}
	}
}

// askState asks the dispatcher until it can tell or ctx ends.
func (in *Intake) askState(ctx context.Context, id string) stateAnswer {
	for attempt := 1; ; attempt++ {
		if state := in.dispatcher(ctx, id); state != "" {
			return stateAnswer{state, Done, "dispatcher", attempt, nil}
		}
		if !pauseFor(ctx, askPause) {
			return stateAnswer{attempts: attempt, err: errNotTold}
		}
	}
}

// errNotTold means that the dispatcher was not reached or could not tell.
var errNotTold = eris.New("the dispatcher cannot tell the state")

func (in *Intake) state(ctx context.Context, id string) (batch.State, Outcome, error) {
	row, found, err := in.get(ctx, dispatch.ProgressPrefix+id)
	if err != nil {
		return "", NotDone, err
	}
	if found {
		state, err := batch.DecodeState(row.Value)
		return state, Done, err
	}
	_, found, err = in.get(ctx, jobKey(id))
	if err != nil {
		return "", NotDone, err
	}
	if !found {
		return "", NoSuchJob, nil
	}
	return batch.Queued, Done, nil
}

// Pending returns how many jobs of a queue wait for their first start.
func (in *Intake) Pending(ctx context.Context, queue string) (int64, Outcome) {
	for {
		row, found, err := in.get(ctx, dispatch.PendingKey)
		if err == nil && !found {
			return 0, Done
		}
		if err == nil {
			counts, err := batch.DecodeCounts(row.Value)
			if err != nil {
				in.log.Error("Counts of waiting jobs not read.", zap.Int64("version", row.Version), telemetry.Cause(err))
				return 0, NotDone
			}
			return counts[queue], Done
		}
		if !pause(ctx) {
			in.log.Warn("Counts of waiting jobs not read.", telemetry.Cause(err))
			return 0, NotDone
		}
	}
}

func (in *Intake) count(name string, outcome Outcome) {
	in.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter(name).Inc(1)
}

// pause waits between two attempts and tells whether there is still time.
func pause(ctx context.Context) bool { return pauseFor(ctx, attemptPause) }

func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
