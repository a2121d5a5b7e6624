package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/router"
)

const (
	// The defaults apply to limits that a catalogue entry does not set.
	defaultDeadlineMs   = 30_000
	defaultMaxBodyBytes = 1 << 20
	defaultMaxQueued    = 256

	// maxKeyCharacters bounds the length of the key of a request.
	maxKeyCharacters = 128
)

// RequestService runs requests; *router.Router implements it.
type RequestService interface {
	Submit(ctx context.Context, request router.Request) router.Reply
	Lookup(ctx context.Context, organisation, key string) (api.RequestResult, bool, error)
}

// RequestHandlers serves the request routes of api.ServerInterface.
type RequestHandlers struct {
	service RequestService
	view    configuration.View
}

// NewRequestHandlers returns handlers that check requests against the catalogue of
// view and pass them on to the service.
func NewRequestHandlers(service RequestService, view configuration.View) *RequestHandlers {
	return &RequestHandlers{service: service, view: view}
}

// SubmitRequest runs a request and answers with its result.
func (h *RequestHandlers) SubmitRequest(c echo.Context) error {
	var submission api.RequestSubmit
	var err error
	if refused := decodeBody(c, func(body io.Reader) { submission, err = DecodeRequest(body) }); refused != nil {
		return writeProblemWithID(c, *refused)
	}
	if err != nil {
		return writeProblemWithID(c, decodeProblem(err))
	}
	request, problem := h.resolve(CallerOf(c), submission)
	if problem != nil {
		return writeProblemWithID(c, *problem)
	}
	if id := requestID(c); id != "" {
		request.ID = id
	}
	return writeReply(c, h.service.Submit(c.Request().Context(), request))
}

// GetRequest answers with the result of a non-idempotent request by its key.
func (h *RequestHandlers) GetRequest(c echo.Context, key string) error {
	caller := CallerOf(c)
	if caller.Organisation == "" {
		return writeProblemWithID(c, NewProblem(http.StatusForbidden, api.OutcomeUnknown, "requests are looked up with the token of their organisation"))
	}
	if problem := checkKey(key); problem != nil {
		return writeProblemWithID(c, *problem)
	}
	result, exists, err := h.service.Lookup(c.Request().Context(), caller.Organisation, key)
	if err != nil {
		p := NewProblem(http.StatusServiceUnavailable, api.OutcomeUnknown, "the table service cannot be read now")
		p.RetryAfterMs = time.Second.Milliseconds()
		return writeProblemWithID(c, p)
	}
	if !exists {
		return writeProblemWithID(c, NewProblem(http.StatusNotFound, api.OutcomeUnknown, "no non-idempotent request with this key is known"))
	}
	return c.JSON(http.StatusOK, result)
}

// DecodeRequest decodes a submitted request. Unknown and missing fields, and data
// after the object, are errors.
func DecodeRequest(r io.Reader) (api.RequestSubmit, error) {
	var submission api.RequestSubmit
	if err := DecodeStrict(r, &submission); err != nil {
		return api.RequestSubmit{}, err
	}
	switch {
	case submission.Entry == "":
		return api.RequestSubmit{}, eris.New("entry is missing")
	case submission.Body == nil:
		return api.RequestSubmit{}, eris.New("body is missing")
	case submission.DeadlineMs < 0:
		return api.RequestSubmit{}, eris.New("deadline_ms is negative")
	}
	if problem := checkKey(submission.Key); problem != nil {
		return api.RequestSubmit{}, eris.New(problem.Detail)
	}
	return submission, nil
}

func checkKey(key string) *api.Problem {
	if n := utf8.RuneCountInString(key); n >= 1 && n <= maxKeyCharacters {
		return nil
	}
	p := NewProblem(http.StatusBadRequest, api.OutcomeNotRun, "key must have 1 to 128 characters")
	return &p
}

// decodeProblem returns the problem for a body that could not be decoded.
func decodeProblem(err error) api.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NewProblem(http.StatusRequestEntityTooLarge, api.OutcomeNotRun, "the body is too large")
	}
	return NewProblem(http.StatusBadRequest, api.OutcomeNotRun, err.Error())
}

// resolve checks a submitted request against the catalogue and returns it with the
// limits and urgency of its entry.
func (h *RequestHandlers) resolve(caller Caller, submission api.RequestSubmit) (router.Request, *api.Problem) {
	reject := func(status int, detail string) (router.Request, *api.Problem) {
		p := NewProblem(status, api.OutcomeNotRun, detail)
		return router.Request{}, &p
	}
	catalogue := h.view.Current().Catalogue
	entry, known := findEntry(catalogue, submission.Entry)
	switch {
	case caller.Organisation == "":
		return reject(http.StatusForbidden, "requests are sent with the token of an organisation")
	case !known:
		return reject(http.StatusNotFound, "no service of this name is in the catalogue")
	case !mayCall(entry, caller.Organisation):
		return reject(http.StatusForbidden, "the organisation may not use this entry")
	case int64(len(submission.Body)) > orDefault(entry.Limits.MaxBodyBytes, defaultMaxBodyBytes):
		return reject(http.StatusRequestEntityTooLarge, "the body exceeds the limit of the entry")
	}
	deadlineMs := orDefault(entry.Limits.DeadlineMs, defaultDeadlineMs)
	if submission.DeadlineMs > 0 {
		deadlineMs = min(deadlineMs, submission.DeadlineMs)
	}
	return router.Request{
		ID: uuid.NewString(), Organisation: caller.Organisation, Submission: submission,
		Urgency:   urgencyOf(catalogue, entry.Class),
		Deadline:  time.Now().Add(time.Duration(deadlineMs) * time.Millisecond),
		MaxQueued: orDefault(entry.Limits.MaxQueued, defaultMaxQueued),
	}, nil
}

func findEntry(catalogue api.Catalogue, name string) (api.Entry, bool) {
	i := slices.IndexFunc(catalogue.Entries, func(e api.Entry) bool {
		return e.Name == name && e.Kind == api.EntryKindService
	})
	if i < 0 {
		return api.Entry{}, false
	}
	return catalogue.Entries[i], true
}

// mayCall reports whether the organisation owns the entry or is one of its callers.
func mayCall(entry api.Entry, organisation string) bool {
	return entry.Owner == organisation || slices.Contains(entry.Callers, organisation) || slices.Contains(entry.Callers, "*")
}

func urgencyOf(catalogue api.Catalogue, class string) api.Urgency {
	for _, c := range catalogue.Classes {
		if c.Name == class {
			return c.Urgency
		}
	}
	return api.Standard
}

func orDefault[T int | int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// writeReply answers 200 only if the complete answer of a minion has arrived or the
// request is still in progress.
func writeReply(c echo.Context, reply router.Reply) error {
	result := reply.Result
	if result.Outcome == api.OutcomeRan || result.InProgress {
		return c.JSON(http.StatusOK, result)
	}
	p := NewProblem(httpStatus(reply), result.Outcome, result.Reason)
	p.RequestID = result.RequestID
	p.RetryAfterMs = reply.RetryAfter.Milliseconds()
	return WriteProblem(c, p)
}

func httpStatus(reply router.Reply) int {
	switch reply.Refusal {
	case router.Overloaded:
		return http.StatusTooManyRequests
	case router.Unavailable:
		return http.StatusServiceUnavailable
	case router.KeyReused:
		return http.StatusConflict
	}
	switch reply.Result.Outcome {
	case api.OutcomeFailed:
		return http.StatusBadGateway
	case api.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
