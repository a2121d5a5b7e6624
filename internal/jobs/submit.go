package jobs

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// retryDelay is the pause between two attempts of a write within its deadline.
const retryDelay = 100 * time.Millisecond

// noSendShare is the final share of a caller's time in which no write is started,
// because the outcome of a write in flight at the caller's deadline is unknown.
const noSendShare = 0.2

// SubmitStatus is the outcome of a submission.
type SubmitStatus int

const (
	// Accepted means that the job was stored.
	Accepted SubmitStatus = iota + 1
	// Existing means that the same submission had already been stored.
	Existing
	// DifferentBody means that the key belongs to a submission with another body.
	DifferentBody
	// MalformedSpec means that the spec is invalid regardless of the catalogue.
	MalformedSpec
	// Refused means that the catalogue does not allow the job.
	Refused
	// OrganisationFull means that the organisation has too many jobs to submit another. The job
	// certainly was not and will not be stored.
	OrganisationFull
	// Full is the same for the jobs of all organisations.
	Full
	// NotRun means that the job certainly was not and will not be stored.
	NotRun
	// Unknown means that the job may have been stored or may still be stored.
	Unknown
)

// SubmitResult holds the outcome of a submission and its job or reason.
type SubmitResult struct {
	Status SubmitStatus
	Job    api.Job // set when accepted or existing
	Reason string  // set for all other outcomes
}

// ServiceConfig holds the dependencies of a Service.
type ServiceConfig struct {
	Writer   *Writer
	Follower *Follower
	View     configuration.View
	// CheckRunnable returns the reason why no zone can ever run the job, or "". nil
	// means that this is not checked.
	CheckRunnable func(api.Job) string
	// Admission bounds the memory of the jobs; nil means that there is no bound.
	Admission *admission.Ledger
	Now       func() time.Time
	Log       *zap.Logger
	Scope     tally.Scope
}

// Service accepts and cancels jobs for callers.
type Service struct{ cfg ServiceConfig }

// NewService returns a service. The default of Now is time.Now.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Scope = telemetry.ScopeOrNoop(cfg.Scope)
	return &Service{cfg: cfg}
}

// Submit stores a job at most once for each organisation and key. It retries until
// shortly before the deadline of ctx.
func (s *Service) Submit(ctx context.Context, organisation string, spec api.JobSpec) SubmitResult {
	if reason := CheckSpec(spec); reason != "" {
		return SubmitResult{Status: MalformedSpec, Reason: reason}
	}
	id, hash := ID(organisation, spec.Key), SpecHash(spec)
	if row := s.cfg.Follower.Get(id); row != nil {
		return existingResult(row, hash)
	}
	class, reason := Validate(s.cfg.View.Current(), organisation, spec)
	job := newJob(id, hash, organisation, class, spec, s.cfg.Now())
	if reason == "" && s.cfg.CheckRunnable != nil {
		reason = s.cfg.CheckRunnable(job)
	}
	if reason != "" {
		return s.refuse(ctx, id, hash, Refused, reason)
	}
	reservation, err := s.cfg.Admission.Reserve(ctx, organisation, Weight(&job))
	if err != nil {
		return s.refuse(ctx, id, hash, refusalStatus(err), err.Error())
	}
	result := s.insert(ctx, job)
	if result.Status == Unknown {
		reservation.Unknown()
	} else {
		reservation.Release() // the follower has the row, if it was stored
	}
	s.cfg.Scope.Tagged(map[string]string{"outcome": result.Status.String()}).Counter("submissions").Inc(1)
	return result
}

// refuse refuses a submission unless its key has already been accepted under an
// earlier catalogue or by another daemon.
func (s *Service) refuse(ctx context.Context, id, hash string, status SubmitStatus, reason string) SubmitResult {
	row, err := s.cfg.Follower.Fetch(ctx, id)
	if err != nil {
		return SubmitResult{Status: Unknown, Reason: "the submission is refused (" + reason + "), but whether it was accepted earlier cannot be read"}
	}
	if row != nil {
		return existingResult(row, hash)
	}
	s.cfg.Log.Info("Submission of a job refused.", zap.String("job", id), zap.Stringer("status", status), zap.String("reason", reason))
	return SubmitResult{Status: status, Reason: reason}
}

func refusalStatus(err error) SubmitStatus {
	switch {
	case eris.Is(err, admission.ErrOrganisation):
		return OrganisationFull
	case eris.Is(err, admission.ErrFull):
		return Full
	}
	return NotRun
}

// insert writes the row if it is absent. It repeats the same insert until the job
// is known to be stored or too little time is left; at most one of the repetitions
// takes effect.
func (s *Service) insert(ctx context.Context, job api.Job) SubmitResult {
	mayBeStored := false
	var cause error
	sendBy := sendDeadline(ctx)
	for {
		result := s.cfg.Writer.Apply(ctx, Change{Job: job, SendBy: sendBy})[0]
		cause = result.Err
		switch result.Status {
		case Committed:
			return SubmitResult{Status: Accepted, Job: job}
		case Stale:
			row, err := s.cfg.Follower.Fetch(ctx, job.ID)
			if err == nil && row != nil {
				return existingResult(row, job.SpecHash)
			}
			// The row cannot be read or has since been deleted. It existed, possibly
			// because of an earlier repetition, so the outcome stays unknown until
			// the row has been read.
			mayBeStored = true
		case OutcomeUnknown:
			mayBeStored = true
		}
		if !waitToRetry(ctx, sendBy) {
			break
		}
	}
	s.cfg.Log.Warn("Submission of a job was not confirmed by the table service.", zap.String("job", job.ID), zap.Bool("open", mayBeStored), zap.Error(cause))
	if mayBeStored {
		return SubmitResult{Status: Unknown, Reason: "the table service did not confirm the submission in time; repeat it with the same key"}
	}
	return SubmitResult{Status: NotRun, Reason: "the table service cannot be written"}
}

func existingResult(row *Row, hash string) SubmitResult {
	if row.Job.SpecHash != hash {
		return SubmitResult{Status: DifferentBody, Reason: "the key belongs to a job with another body"}
	}
	return SubmitResult{Status: Existing, Job: row.Job}
}

func newJob(id, hash, organisation string, class api.Class, spec api.JobSpec, now time.Time) api.Job {
	return api.Job{
		ID: id, Organisation: organisation, Class: class.Name, Urgency: class.Urgency, Adjacency: class.Adjacency,
		AcceleratorModel: class.AcceleratorModel, Spec: spec, SpecHash: hash,
		State: api.JobStateWaiting, SubmittedMs: now.UnixMilli(),
	}
}

// sendDeadline returns the latest time to start a write for a caller that waits
// until the deadline of ctx. It returns the zero time when ctx has no deadline.
func sendDeadline(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-time.Duration(noSendShare * float64(time.Until(deadline))))
}

// waitToRetry waits for retryDelay. It returns false when ctx ends first, and at
// once when sendBy would pass first.
func waitToRetry(ctx context.Context, sendBy time.Time) bool {
	if !sendBy.IsZero() && time.Until(sendBy) <= retryDelay {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// String returns the name of the status in metrics and traces.
func (s SubmitStatus) String() string {
	names := map[SubmitStatus]string{Accepted: "accepted", Existing: "existing", DifferentBody: "different_body",
		MalformedSpec: "malformed", Refused: "refused", OrganisationFull: "organisation_full", Full: "full", NotRun: "not_run", Unknown: "unknown"}
	return names[s]
}

// CancelStatus is the outcome of a cancellation.
type CancelStatus int

const (
	// CancelAccepted means that the cancel flag is set or the job has ended.
	CancelAccepted CancelStatus = iota + 1
	// CancelNotFound means that the job does not exist or is hidden from the caller.
	CancelNotFound
	// CancelNotRun means that the cancel flag certainly was not set.
	CancelNotRun
	// CancelUnknown means that the cancel flag may have been set.
	CancelUnknown
)

// CancelResult holds the outcome of a cancellation.
type CancelResult struct {
	Status CancelStatus
	Job    api.Job // set when accepted
	Err    error
}

// Cancel sets the cancel flag of a job, and retries until shortly before the
// deadline of ctx. visible reports whether the caller may see the job; the result
// for a hidden job is CancelNotFound.
func (s *Service) Cancel(ctx context.Context, id string, visible func(api.Job) bool) CancelResult {
	mayBeSet := false
	row := s.cfg.Follower.Get(id)
	sendBy := sendDeadline(ctx)
	var err error
	for {
		if row == nil {
			row, err = s.cfg.Follower.Fetch(ctx, id)
			if err == nil && (row == nil || !visible(row.Job)) {
				return CancelResult{Status: CancelNotFound}
			}
		}
		if row != nil {
			if !visible(row.Job) {
				return CancelResult{Status: CancelNotFound}
			}
			job, stateErr := RequestCancel(row.Job, s.cfg.Now())
			if stateErr != nil || row.Job.CancelRequested {
				return CancelResult{Status: CancelAccepted, Job: row.Job}
			}
			result := s.cfg.Writer.Apply(ctx, Change{Job: job, Version: row.Version, SendBy: sendBy})[0]
			if result.Status == Committed {
				return CancelResult{Status: CancelAccepted, Job: job}
			}
			mayBeSet = mayBeSet || result.Status == OutcomeUnknown
			if result.Status == Stale || result.Status == OutcomeUnknown {
				row = nil // read it again
			}
			err = result.Err
		}
		if !waitToRetry(ctx, sendBy) {
			break
		}
	}
	if mayBeSet {
		return CancelResult{Status: CancelUnknown, Err: eris.Wrap(err, "outcome of setting the cancel flag is unknown")}
	}
	return CancelResult{Status: CancelNotRun, Err: eris.Wrap(err, "cancel flag was not set")}
}
