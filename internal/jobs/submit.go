package jobs

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// retryPause is the pause between two tries of a write within its deadline.
const retryPause = 100 * time.Millisecond

// answerShare is the last part of a caller's time, in which no write is begun: one
// that is under way when the time ends leaves its outcome unknown.
const answerShare = 0.2

// SubmitStatus tells what became of a submission.
type SubmitStatus int

const (
	// Accepted means that the job was stored.
	Accepted SubmitStatus = iota + 1
	// Existing means that the same submission was stored before.
	Existing
	// DifferentBody means that the key belongs to another submission.
	DifferentBody
	// MalformedSpec means that the spec is wrong whatever the catalogue says.
	MalformedSpec
	// Refused means that the catalogue does not allow the job.
	Refused
	// NotRun means that the job certainly was not and will not be stored.
	NotRun
	// Unknown means that the job may have been stored or may still be.
	Unknown
)

// SubmitResult is the outcome of a submission.
type SubmitResult struct {
	Status SubmitStatus
	Job    api.Job // when accepted or existing
	Reason string  // when refused, not run or unknown
}

// ServiceConfig holds the dependencies of a Service.
type ServiceConfig struct {
	Writer   *Writer
	Follower *Follower
	View     configuration.View
	// CheckRunnable returns why no zone can ever run the job, or "". It may be nil.
	CheckRunnable func(api.Job) string
	Now           func() time.Time
	Log           *zap.Logger
	Scope         tally.Scope
}

// Service accepts and cancels jobs for callers.
type Service struct{ cfg ServiceConfig }

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cfg.Log = telemetry.Logger(cfg.Log)
	cfg.Scope = telemetry.Scope(cfg.Scope)
	return &Service{cfg: cfg}
}

// Submit stores a job once for each organisation and key. It tries until ctx ends.
func (s *Service) Submit(ctx context.Context, organisation string, spec api.JobSpec) SubmitResult {
	if reason := CheckSpec(spec); reason != "" {
		return SubmitResult{Status: MalformedSpec, Reason: reason}
	}
	id, hash := ID(organisation, spec.Key), SpecHash(spec)
	if row := s.cfg.Follower.Get(id); row != nil {
		return existing(row, hash)
	}
	class, reason := Validate(s.cfg.View.Current(), organisation, spec)
	job := newJob(id, hash, organisation, class, spec, s.cfg.Now())
	if reason == "" && s.cfg.CheckRunnable != nil {
		reason = s.cfg.CheckRunnable(job)
	}
	if reason != "" {
		return s.refuse(ctx, id, hash, reason)
	}
	result := s.insert(ctx, job)
	s.cfg.Scope.Tagged(map[string]string{"outcome": result.Status.String()}).Counter("submissions").Inc(1)
	return result
}

// refuse refuses a submission unless the same one was accepted before, under an
// earlier catalogue or by another daemon.
func (s *Service) refuse(ctx context.Context, id, hash, reason string) SubmitResult {
	row, err := s.cfg.Follower.Fetch(ctx, id)
	if err != nil {
		return SubmitResult{Status: Unknown, Reason: "the submission is refused (" + reason + "), but whether it was accepted earlier cannot be read"}
	}
	if row != nil {
		return existing(row, hash)
	}
	return SubmitResult{Status: Refused, Reason: reason}
}

// insert writes the row if it is absent. The same insert is repeated until its
// outcome is certain or ctx ends; at most one of the repetitions takes effect.
func (s *Service) insert(ctx context.Context, job api.Job) SubmitResult {
	maybe := false
	var cause error
	sendBy := lastSend(ctx)
	for {
		result := s.cfg.Writer.Apply(ctx, Change{Job: job, SendBy: sendBy})[0]
		cause = result.Err
		switch result.Status {
		case Committed:
			return SubmitResult{Status: Accepted, Job: job}
		case Stale:
			row, err := s.cfg.Follower.Fetch(ctx, job.ID)
			if err == nil && row != nil {
				return existing(row, job.SpecHash)
			}
			// Unreadable, or deleted in between. The row existed, possibly by an
			// earlier repetition, so the outcome is open until it has been read.
			maybe = true
		case Unsettled:
			maybe = true
		}
		if !pauseBefore(ctx, sendBy) {
			break
		}
	}
	s.cfg.Log.Warn("Submission not confirmed.", zap.String("job", job.ID), zap.Bool("open", maybe), zap.Error(cause))
	if maybe {
		return SubmitResult{Status: Unknown, Reason: "the table service did not confirm the submission in time; repeat it with the same key"}
	}
	return SubmitResult{Status: NotRun, Reason: "the table service cannot be written"}
}

func existing(row *Row, hash string) SubmitResult {
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

// lastSend returns the latest time to begin a write for a caller whose time ends
// with ctx; zero when it has no end.
func lastSend(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-time.Duration(answerShare * float64(time.Until(deadline))))
}

// pauseBefore waits for the pause between two tries. It returns false when ctx or
// the time to send ends first.
func pauseBefore(ctx context.Context, sendBy time.Time) bool {
	if !sendBy.IsZero() && time.Until(sendBy) <= retryPause {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// String names the status for metrics and logs.
func (s SubmitStatus) String() string {
	names := map[SubmitStatus]string{Accepted: "accepted", Existing: "existing", DifferentBody: "different_body",
		MalformedSpec: "malformed", Refused: "refused", NotRun: "not_run", Unknown: "unknown"}
	return names[s]
}

// CancelStatus tells what became of a cancellation.
type CancelStatus int

const (
	// CancelAccepted means that the flag is set or the job has ended.
	CancelAccepted CancelStatus = iota + 1
	// CancelNotFound means that there is no such job.
	CancelNotFound
	// CancelNotRun means that the flag certainly was not set.
	CancelNotRun
	// CancelUnknown means that the flag may have been set.
	CancelUnknown
)

// CancelResult is the outcome of a cancellation.
type CancelResult struct {
	Status CancelStatus
	Job    api.Job // as known last
	Err    error
}

// Cancel sets the cancel flag of a job. visible tells whether the caller may see
// the job; others get CancelNoJob. It tries until ctx ends.
func (s *Service) Cancel(ctx context.Context, id string, visible func(api.Job) bool) CancelResult {
	maybe := false
	row := s.cfg.Follower.Get(id)
	sendBy := lastSend(ctx)
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
			maybe = maybe || result.Status == Unsettled
			if result.Status == Stale || result.Status == Unsettled {
				row = nil // read it again
			}
			err = result.Err
		}
		if !pauseBefore(ctx, sendBy) {
			break
		}
	}
	if maybe {
		return CancelResult{Status: CancelUnknown, Err: eris.Wrap(err, "cancellation not confirmed")}
	}
	return CancelResult{Status: CancelNotRun, Err: eris.Wrap(err, "cancellation not written")}
}
