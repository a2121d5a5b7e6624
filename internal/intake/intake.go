// Package intake accepts and cancels batch jobs and returns their state. Every daemon
// does this through the table store; the dispatcher follows the rows.
package intake

import (
	"bytes"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// readTimeout bounds one read from the store. It is several times that of a slow one.
	readTimeout = 900 * time.Millisecond
	// writeTimeout bounds one write, which waits in a slow store behind others of its
	// partition. Lost answers and lost writes are noticed earlier, by reads.
	writeTimeout = 2500 * time.Millisecond
	// retryDelay is the delay between two attempts of an operation on the store.
	retryDelay = 25 * time.Millisecond
	// minSubmitTime is how long a submission that has certainly not been stored is
	// retried before it is refused. The caller then tries another daemon.
	minSubmitTime = 50 * time.Millisecond
	// hedgeDelay is how long the store may take to return the state of a job before the
	// dispatcher is asked as well. It is several times the usual time of a read.
	hedgeDelay = 100 * time.Millisecond
	// dispatcherRetryDelay is the delay between two requests to the dispatcher.
	dispatcherRetryDelay = 150 * time.Millisecond
	// earlyCancelRate and earlyCancelBurst bound the cancellations of unknown jobs that a
	// daemon records, per second and at once. Each leaves a row for a while.
	earlyCancelRate  = 50
	earlyCancelBurst = 200
	// resubmissionRate bounds the reads for refused jobs of all daemons, per second. The store of
	// the smallest deployment serves 2,000 reads a second.
	resubmissionRate = 800
	// maxCountsAge is the age of the counts of waiting jobs that callers accept.
	maxCountsAge = 2 * time.Second
	// countsWait is how long a call waits for recent counts: a renewal and a read of the lease.
	// If the dispatcher has been lost, a takeover takes longer, and the caller may come back.
	countsWait = 1200 * time.Millisecond
	// RetryAfter is the delay after which a refused caller should try again.
	RetryAfter = time.Second
)

// Outcome is the outcome of a call.
type Outcome int

const (
	// Done means that the call has taken effect.
	Done Outcome = iota + 1
	// NotDone means that the call has not taken effect and never will.
	NotDone
	// Unknown means that the call may have taken effect or may still do so.
	Unknown
	// NoSuchJob means that no job has this identifier.
	NoSuchJob
	// OrganisationFull means that the organisation has too many jobs to submit another. The call
	// has not taken effect and never will, as with Full and Busy.
	OrganisationFull
	// Full means that there are too many jobs of all organisations.
	Full
	// Busy means that this daemon has accepted too many jobs in the last second.
	Busy
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
	case OrganisationFull:
		return "organisation_full"
	case Full:
		return "full"
	case Busy:
		return "busy"
	}
	return "invalid"
}

// Intake serves the callers that submit, cancel and query jobs.
type Intake struct {
	store      table.Store
	dispatcher StateFunc
	countsAge  CountsAgeFunc     // nil takes any counts for recent ones
	admission  *admission.Ledger // nil admits all jobs
	// resubmissions limits the reads for refused jobs, which may have been accepted before.
	resubmissions *rate.Limiter
	// earlyCancels limits the records of cancellations of unknown jobs.
	earlyCancels *rate.Limiter
	log          *zap.Logger
	scope        tally.Scope
}

// StateFunc returns the stored state of a job as the dispatcher knows it. It returns "" if
// the dispatcher is unreachable or does not know the stored state for certain.
type StateFunc func(ctx context.Context, job string) batch.State

// New returns an intake over a store.
func New(store table.Store, log *zap.Logger, scope tally.Scope) *Intake {
	return &Intake{store: store, earlyCancels: rate.NewLimiter(earlyCancelRate, earlyCancelBurst),
		resubmissions: rate.NewLimiter(resubmissionRate, resubmissionRate), log: telemetry.Named(log, "intake"), scope: telemetry.ScopeOrNoop(scope)}
}

// SetDispatcher sets the source of job states for when the store does not answer. It
// must be called before the intake serves callers.
func (in *Intake) SetDispatcher(dispatcher StateFunc) { in.dispatcher = dispatcher }

// CountsAgeFunc returns how old the stored counts of waiting jobs of a version, and of later
// ones, are at most. It fails if that is not known.
type CountsAgeFunc func() (version int64, age time.Duration, err error)

// SetCountsAge sets the source of the age of counts. It must be called before the intake serves
// callers.
func (in *Intake) SetCountsAge(age CountsAgeFunc) { in.countsAge = age }

// SetAdmission sets what admits jobs. It must be called before the intake serves callers.
func (in *Intake) SetAdmission(ledger *admission.Ledger) { in.admission = ledger }

func jobKey(id string) string { return dispatch.JobsPrefix + id }

// Submit stores a job. A job with a known identifier is the same job sent again and is
// not stored twice. Submit returns before ctx ends.
func (in *Intake) Submit(ctx context.Context, job batch.Job) Outcome {
	value, err := batch.EncodeJob(job)
	if err != nil {
		in.log.Error("Failed to encode a submitted job.", zap.String("job", job.ID), telemetry.ErrorField(err))
		return NotDone
	}
	reservation, refusal := in.admission.Reserve(ctx, job.Organisation, batch.Weight(&job, len(value)))
	if refusal != nil {
		return in.refuse(ctx, job, refusal)
	}
	outcome, version, attempts, cause := in.insert(ctx, table.Write{Key: jobKey(job.ID), Value: value})
	switch {
	case outcome == Unknown:
		reservation.Unknown()
	case version > 0:
		reservation.Stored(version)
	default:
		reservation.Release()
	}
	in.log.Info("Submission answered.", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.String("organisation", job.Organisation),
		zap.Stringer("outcome", outcome), zap.Int("attempts", attempts), telemetry.ErrorField(cause))
	in.count("submissions", outcome)
	return outcome
}

// refuse returns the outcome of a submission that is not admitted. The job may have been
// accepted before and its caller not have got the answer; if that cannot be found out, the
// outcome is unknown.
func (in *Intake) refuse(ctx context.Context, job batch.Job, refusal error) Outcome {
	in.resubmissions.SetLimit(resubmissionRate / rate.Limit(max(in.admission.Daemons(), 1)))
	outcome := Full
	switch {
	case eris.Is(refusal, admission.ErrOrganisation):
		outcome = OrganisationFull
	case eris.Is(refusal, admission.ErrDaemon):
		outcome = Busy
	}
	if !in.resubmissions.Allow() {
		outcome = Unknown
	} else if _, found, err := in.get(ctx, jobKey(job.ID)); err != nil {
		outcome = Unknown
	} else if found {
		outcome = Done
	}
	in.count("submissions", outcome)
	load := in.admission.Load()
	in.log.Info("Submission not admitted.", zap.String("job", job.ID), zap.String("organisation", job.Organisation), zap.Stringer("outcome", outcome),
		zap.Int64("held_bytes", load.HeldBytes), zap.Int64("organisation_bytes", load.Organisations[job.Organisation]), zap.Int64("budget_bytes", load.BudgetBytes), telemetry.ErrorField(refusal))
	return outcome
}

// insert writes a row that must not exist. A conflict, or a row that is read, means that an
// earlier attempt or an earlier call has written it. The version is that of the row if this
// call has written it, otherwise 0.
func (in *Intake) insert(ctx context.Context, write table.Write) (outcome Outcome, version int64, attempts int, cause error) {
	start := time.Now()
	mayApply := false // an earlier attempt may have been applied or may still be
	for attempt := 1; ; attempt++ {
		result := in.commit(ctx, []table.Condition{{Key: write.Key}}, write, func(table.Row) bool { return true })
		switch result.Status {
		case table.Committed:
			return Done, result.Version, attempt, nil
		case table.Conflict:
			return Done, 0, attempt, nil
		case table.Rejected:
			if !mayApply {
				return NotDone, 0, attempt, result.Err
			}
		case table.Unknown:
			mayApply = true
		case table.Unavailable:
			if !mayApply && time.Since(start) >= minSubmitTime {
				return NotDone, 0, attempt, result.Err
			}
		}
		if !waitForRetry(ctx) {
			if mayApply {
				return Unknown, 0, attempt, result.Err
			}
			return NotDone, 0, attempt, result.Err
		}
	}
}

// commit writes a row. While the store does not answer, it also reads the row, because the
// answer may be lost. applied reports whether the row that is read shows the write.
func (in *Intake) commit(ctx context.Context, conditions []table.Condition, write table.Write, applied func(table.Row) bool) table.CommitResult {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return table.CommitConfirmed(ctx, in.store, conditions, []table.Write{write}, table.Confirmation{Key: write.Key, Applied: applied})
}

func (in *Intake) get(ctx context.Context, key string) (table.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return in.store.Get(ctx, key)
}

// Cancel requests the cancellation of a job. It returns Done once the request is stored,
// and NoSuchJob for an unknown job once its cancellation is recorded: a submission whose
// caller has left may still be applied, and must not run.
func (in *Intake) Cancel(ctx context.Context, id string) Outcome {
	outcome, cause := in.cancel(ctx, id)
	in.log.Info("Cancellation answered.", zap.String("job", id), zap.Stringer("outcome", outcome), telemetry.ErrorField(cause))
	in.count("cancellations", outcome)
	return outcome
}

func (in *Intake) cancel(ctx context.Context, id string) (Outcome, error) {
	mayApply, allowed := false, false
	// An earlier cancellation of an unknown job may expire, so the row must show this one.
	mark := []byte(uuid.NewString())
	applied := func(row table.Row) bool { return bytes.Equal(row.Value, mark) }
	for {
		row, found, err := in.get(ctx, jobKey(id))
		if err == nil && !found && !allowed {
			if allowed = in.earlyCancels.Allow(); !allowed {
				return NotDone, errTooManyCancels
			}
		}
		if err == nil {
			// The version of a job that does not exist is 0.
			result := in.commit(ctx, []table.Condition{{Key: jobKey(id), Version: row.Version}}, table.Write{Key: jobKey(id) + dispatch.CancelSuffix, Value: mark}, applied)
			switch {
			case result.Status == table.Committed && found:
				return Done, nil
			case result.Status == table.Committed:
				return NoSuchJob, nil
			case result.Status == table.Rejected && !mayApply:
				return NotDone, result.Err
			}
			mayApply = mayApply || result.Status == table.Unknown
			err = result.Err
		}
		if !waitForRetry(ctx) {
			if mayApply {
				return Unknown, err
			}
			return NotDone, err
		}
	}
}

// errTooManyCancels means that the limit of records for unknown jobs is reached.
var errTooManyCancels = eris.New("too many cancellations of unknown jobs")

// State returns the state of a job from the store, or from the dispatcher if the store
// does not answer within hedgeDelay and the dispatcher answers first.
func (in *Intake) State(ctx context.Context, id string) (batch.State, Outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan stateAnswer, 2)
	go func() { answers <- in.pollStore(ctx, id) }()
	inFlight := 1
	var hedgeTimer <-chan time.Time
	if in.dispatcher != nil {
		hedgeTimer = time.After(hedgeDelay)
	}
	var cause error
	for inFlight > 0 {
		select {
		case <-hedgeTimer:
			hedgeTimer = nil
			inFlight++
			go func() { answers <- in.pollDispatcher(ctx, id) }()
		case answer := <-answers:
			inFlight--
			if answer.err == nil {
				in.log.Info("State of a job returned.", zap.String("job", id), zap.String("state", string(answer.state)),
					zap.Stringer("outcome", answer.outcome), zap.String("from", answer.source), zap.Int("attempts", answer.attempts))
				return answer.state, answer.outcome
			}
			cause = answer.err
		}
	}
	in.log.Warn("Failed to read the state of a job.", zap.String("job", id), telemetry.ErrorField(cause))
	return "", NotDone
}

type stateAnswer struct {
	state    batch.State
	outcome  Outcome
	source   string
	attempts int
	err      error
}

// pollStore reads the state of a job until the store answers or ctx ends.
func (in *Intake) pollStore(ctx context.Context, id string) (answer stateAnswer) {
	answer.err = errStateUnknown
	defer telemetry.LogPanic(in.log, "reading of a job's state", zap.String("job", id))
	for attempt := 1; ; attempt++ {
		state, outcome, err := in.loadState(ctx, id)
		if err == nil || !waitForRetry(ctx) {
			return stateAnswer{state, outcome, "store", attempt, err}
		}
	}
}

// pollDispatcher requests the state of a job until the dispatcher returns it or ctx
// ends.
func (in *Intake) pollDispatcher(ctx context.Context, id string) (answer stateAnswer) {
	answer.err = errStateUnknown
	defer telemetry.LogPanic(in.log, "request of a job's state", zap.String("job", id))
	for attempt := 1; ; attempt++ {
		if state := in.dispatcher(ctx, id); state != "" {
			return stateAnswer{state, Done, "dispatcher", attempt, nil}
		}
		if !wait(ctx, dispatcherRetryDelay) {
			return stateAnswer{attempts: attempt, err: errStateUnknown}
		}
	}
}

// errStateUnknown means that the source was unreachable or the state not certain.
var errStateUnknown = eris.New("the state of the job is not known there")

func (in *Intake) loadState(ctx context.Context, id string) (batch.State, Outcome, error) {
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

// Pending returns the number of jobs of a queue that have not started any task, as it was at
// most maxCountsAge ago. It returns NotDone if that is not known within countsWait: without a
// dispatcher, the stored counts may be of any age.
func (in *Intake) Pending(ctx context.Context, queue string) (int64, Outcome) {
	start := time.Now()
	for {
		counts, err := in.recentCounts(ctx)
		if err == nil {
			return counts[queue], Done
		}
		giveUp := eris.Is(err, errInvalidCounts) || eris.Is(err, errOldCounts) && time.Since(start) >= countsWait
		if giveUp || !waitForRetry(ctx) {
			in.log.Warn("Number of waiting jobs not known.", zap.String("queue", queue), zap.Duration("after", time.Since(start)), telemetry.ErrorField(err))
			in.count("counts", NotDone)
			return 0, NotDone
		}
	}
}

var (
	// errOldCounts means that the stored counts may be older than maxCountsAge.
	errOldCounts = eris.New("the counts of waiting jobs may be too old")
	// errInvalidCounts means that the stored counts cannot be decoded.
	errInvalidCounts = eris.New("the counts of waiting jobs cannot be decoded")
)

// recentCounts reads the stored counts, and fails if they may be older than maxCountsAge. It
// does not ask the store for counts that are known to be old.
func (in *Intake) recentCounts(ctx context.Context) (map[string]int64, error) {
	if _, err := in.recentVersion(); err != nil {
		return nil, err
	}
	row, found, err := in.get(ctx, dispatch.PendingKey)
	if err != nil {
		return nil, err
	}
	// The read may have taken long.
	recent, err := in.recentVersion()
	switch {
	case err != nil:
		return nil, err
	case row.Version < recent:
		return nil, eris.Wrapf(errOldCounts, "version %d before %d", row.Version, recent)
	case !found:
		return nil, nil
	}
	counts, err := batch.DecodeCounts(row.Value)
	if err != nil {
		return nil, eris.Wrapf(errInvalidCounts, "version %d: %v", row.Version, err)
	}
	return counts, nil
}

// recentVersion returns the version from which on the stored counts are at most maxCountsAge
// old.
func (in *Intake) recentVersion() (int64, error) {
	if in.countsAge == nil {
		return 0, nil
	}
	version, age, err := in.countsAge()
	if err == nil && age > maxCountsAge {
		err = eris.Errorf("%s at version %d", age, version)
	}
	if err != nil {
		return 0, eris.Wrapf(errOldCounts, "%v", err)
	}
	return version, nil
}

func (in *Intake) count(name string, outcome Outcome) {
	in.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter(name).Inc(1)
}

// waitForRetry waits between two attempts and reports whether there is time for another.
func waitForRetry(ctx context.Context) bool { return wait(ctx, retryDelay) }

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
