package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

const (
	// defaultJobTimeout bounds the time in which a submission or cancellation is
	// retried until it is stored.
	defaultJobTimeout = 5 * time.Second
	// jobReadTimeout bounds the read of a job row from the table service when this
	// daemon does not have it yet.
	jobReadTimeout = 2 * time.Second
	// defaultMaxJobBytes bounds the body of a submission.
	defaultMaxJobBytes = 1 << 20
	// jobRetryAfter is the time after which a caller may retry a submission,
	// cancellation or read that failed because the table service was unavailable.
	jobRetryAfter = time.Second
)

// JobService submits and cancels jobs; *jobs.Service implements it.
type JobService interface {
	Submit(ctx context.Context, organisation string, spec api.JobSpec) jobs.SubmitResult
	Cancel(ctx context.Context, id string, visible func(api.Job) bool) jobs.CancelResult
}

// JobRows reads the job rows; *jobs.Follower implements it.
type JobRows interface {
	Get(id string) *jobs.Row
	Rows() []*jobs.Row
	Fetch(ctx context.Context, id string) (*jobs.Row, error)
}

// JobHandlersConfig holds the dependencies of JobHandlers.
type JobHandlersConfig struct {
	Service      JobService
	Rows         JobRows
	Timeout      time.Duration // time in which a write is retried; 0 means 5 s
	MaxBodyBytes int64         // largest body of a submission; 0 means 1 MiB
	Log          *zap.Logger
	Tracer       trace.Tracer
}

// JobHandlers serves the job routes of api.ServerInterface.
type JobHandlers struct{ cfg JobHandlersConfig }

// NewJobHandlers returns handlers. Settings of cfg that are 0 get their defaults.
func NewJobHandlers(cfg JobHandlersConfig) *JobHandlers {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultJobTimeout
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxJobBytes
	}
	cfg.Log = telemetry.LoggerOrNop(cfg.Log)
	cfg.Tracer = telemetry.TracerOrNoop(cfg.Tracer)
	return &JobHandlers{cfg: cfg}
}

// SubmitJob accepts a job. A repeated submission is answered with the existing job.
func (h *JobHandlers) SubmitJob(c echo.Context) error {
	caller := CallerOf(c)
	if caller.Organisation == "" {
		return WriteProblem(c, NewProblem(http.StatusForbidden, api.OutcomeNotRun, "only an organisation submits jobs"))
	}
	spec, problem := h.decodeSpec(c)
	if problem != nil {
		return WriteProblem(c, *problem)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.cfg.Timeout)
	defer cancel()
	ctx, span := h.cfg.Tracer.Start(ctx, "submit job", trace.WithAttributes(attribute.String("organisation", caller.Organisation)))
	defer span.End()
	result := h.cfg.Service.Submit(ctx, caller.Organisation, spec)
	span.SetAttributes(attribute.String("outcome", result.Status.String()))
	switch result.Status {
	case jobs.Accepted, jobs.Existing:
		return c.JSON(http.StatusCreated, result.Job)
	default:
		return WriteProblem(c, submitProblem(result))
	}
}

// submitProblem returns the problem for a submission that was not accepted.
func submitProblem(r jobs.SubmitResult) api.Problem {
	switch r.Status {
	case jobs.DifferentBody:
		return NewProblem(http.StatusConflict, api.OutcomeNotRun, r.Reason)
	case jobs.MalformedSpec:
		return NewProblem(http.StatusBadRequest, api.OutcomeNotRun, r.Reason)
	case jobs.Refused:
		return NewProblem(http.StatusUnprocessableEntity, api.OutcomeNotRun, r.Reason)
	case jobs.NotRun:
		return retryLater(api.OutcomeNotRun, r.Reason)
	case jobs.OrganisationFull:
		p := NewProblem(http.StatusTooManyRequests, api.OutcomeNotRun, r.Reason)
		p.RetryAfterMs = admission.RetryAfter.Milliseconds()
		return p
	case jobs.Full:
		p := retryLater(api.OutcomeNotRun, r.Reason)
		p.RetryAfterMs = admission.RetryAfter.Milliseconds()
		return p
	}
	return retryLater(api.OutcomeUnknown, r.Reason)
}

// retryLater returns a 503 problem with a retry delay.
func retryLater(outcome api.Outcome, detail string) api.Problem {
	p := NewProblem(http.StatusServiceUnavailable, outcome, detail)
	p.RetryAfterMs = jobRetryAfter.Milliseconds()
	return p
}

// decodeSpec decodes the body, which must be one JSON object without unknown fields.
func (h *JobHandlers) decodeSpec(c echo.Context) (spec api.JobSpec, problem *api.Problem) {
	if refused := decodeBody(c, func(body io.Reader) { spec, problem = h.decodeSpecFrom(c, body) }); refused != nil {
		return spec, refused
	}
	return spec, problem
}

func (h *JobHandlers) decodeSpecFrom(c echo.Context, r io.Reader) (api.JobSpec, *api.Problem) {
	var spec api.JobSpec
	body := http.MaxBytesReader(c.Response(), io.NopCloser(r), h.cfg.MaxBodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&spec)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return spec, nil
		}
		if err == nil {
			err = errors.New("there is more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := NewProblem(http.StatusRequestEntityTooLarge, api.OutcomeNotRun, fmt.Sprintf("the body has more than %d bytes", h.cfg.MaxBodyBytes))
		return spec, &p
	}
	p := NewProblem(http.StatusBadRequest, api.OutcomeNotRun, "the body is not a job: "+err.Error())
	return spec, &p
}

// ListJobs lists the jobs of the caller's organisation, or all jobs for operators.
func (h *JobHandlers) ListJobs(c echo.Context, params api.ListJobsParams) error {
	if params.State != "" && !api.JobState(params.State).Valid() {
		return WriteProblem(c, NewProblem(http.StatusBadRequest, api.OutcomeNotRun, fmt.Sprintf("%q is not a job state", params.State)))
	}
	visible := visibleTo(CallerOf(c))
	var list []*jobs.Row
	for _, row := range h.cfg.Rows.Rows() {
		if visible(row.Job) && (params.State == "" || string(row.Job.State) == params.State) {
			list = append(list, row)
		}
	}
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	return writeJobList(c.Response(), list)
}

// writeJobList writes an api.JobList job by job, so that one job and not the whole list is in
// memory while the caller does not read it.
func writeJobList(w io.Writer, list []*jobs.Row) error {
	if _, err := io.WriteString(w, `{"jobs":[`); err != nil {
		return eris.Wrap(err, "write a list of jobs")
	}
	encoder := json.NewEncoder(w)
	for i, row := range list {
		if i > 0 {
			if _, err := io.WriteString(w, ","); err != nil {
				return eris.Wrap(err, "write a list of jobs")
			}
		}
		if err := encoder.Encode(row.Job); err != nil {
			return eris.Wrap(err, "write a list of jobs")
		}
	}
	_, err := io.WriteString(w, "]}\n")
	return eris.Wrap(err, "write a list of jobs")
}

// GetJob answers with one job. It reads the job from the table service if this daemon
// does not know it yet.
func (h *JobHandlers) GetJob(c echo.Context, id string) error {
	row := h.cfg.Rows.Get(id)
	if row == nil {
		ctx, cancel := context.WithTimeout(c.Request().Context(), jobReadTimeout)
		defer cancel()
		var err error
		if row, err = h.cfg.Rows.Fetch(ctx, id); err != nil {
			return WriteProblem(c, retryLater(api.OutcomeNotRun, "the job rows cannot be read"))
		}
	}
	if row == nil || !visibleTo(CallerOf(c))(row.Job) {
		return WriteProblem(c, jobNotFound(id))
	}
	return c.JSON(http.StatusOK, row.Job)
}

// CancelJob requests the cancellation of a job.
func (h *JobHandlers) CancelJob(c echo.Context, id string) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.cfg.Timeout)
	defer cancel()
	ctx, span := h.cfg.Tracer.Start(ctx, "cancel job", trace.WithAttributes(attribute.String("job", id)))
	defer span.End()
	result := h.cfg.Service.Cancel(ctx, id, visibleTo(CallerOf(c)))
	switch result.Status {
	case jobs.CancelAccepted:
		return c.JSON(http.StatusOK, result.Job)
	case jobs.CancelNotFound:
		return WriteProblem(c, jobNotFound(id))
	case jobs.CancelNotRun:
		return WriteProblem(c, retryLater(api.OutcomeNotRun, "the cancellation was not stored"))
	default:
		return WriteProblem(c, retryLater(api.OutcomeUnknown, "the table service did not confirm the cancellation in time; repeat it"))
	}
}

// jobNotFound returns the same problem for a job that does not exist and for one of
// another organisation, so that callers cannot tell them apart.
func jobNotFound(id string) api.Problem {
	return NewProblem(http.StatusNotFound, api.OutcomeNotRun, fmt.Sprintf("there is no job %q", id))
}

// visibleTo returns a function that reports whether the caller may see a job.
func visibleTo(caller Caller) func(api.Job) bool {
	return func(job api.Job) bool {
		return caller.Operator || caller.Organisation != "" && caller.Organisation == job.Organisation
	}
}
