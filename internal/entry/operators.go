package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
)

// maxOperatorBodyBytes bounds the body of a change sent by an operator. A catalogue
// of the largest permitted size fits with indentation.
const maxOperatorBodyBytes = 8 << 20

// operatorRetryAfterMs is the time in milliseconds after which an operator may retry
// a change or read that failed because the table service was unavailable.
const operatorRetryAfterMs = 1000

// ConfigurationService reads and changes the configuration; *configuration.Service
// implements it.
type ConfigurationService interface {
	Current() api.Configuration
	Apply(ctx context.Context, change api.CatalogueApply) configuration.Outcome
	ChangeZone(ctx context.Context, zone string, change api.ZoneChange) configuration.Outcome
	History(ctx context.Context, limit int) ([]api.ConfigurationHead, error)
}

// OperatorHandlersConfig holds the dependencies of the operators' handlers.
type OperatorHandlersConfig struct {
	Configuration ConfigurationService
	Workers       func() []api.WorkerStatus
	Minions       func() []api.MinionStatus
	Status        func() api.Status
}

// OperatorHandlers serves the operator routes of api.ServerInterface. It implements
// OperatorAPI, which Handlers embeds.
type OperatorHandlers struct{ config OperatorHandlersConfig }

// NewOperatorHandlers returns handlers. Routes whose function in config is nil give
// empty answers.
func NewOperatorHandlers(config OperatorHandlersConfig) *OperatorHandlers {
	if config.Workers == nil {
		config.Workers = func() []api.WorkerStatus { return nil }
	}
	if config.Minions == nil {
		config.Minions = func() []api.MinionStatus { return nil }
	}
	if config.Status == nil {
		config.Status = func() api.Status { return api.Status{} }
	}
	return &OperatorHandlers{config: config}
}

// requireOperator reports whether the caller is an operator. If not, it has answered
// the caller with a problem.
func (h *OperatorHandlers) requireOperator(c echo.Context) (bool, error) {
	caller := CallerOf(c)
	switch {
	case caller.Operator:
		return true, nil
	case caller.Organisation == "":
		return false, WriteProblem(c, NewProblem(http.StatusUnauthorized, api.OutcomeNotRun, "The bearer token is missing or unknown."))
	default:
		return false, WriteProblem(c, NewProblem(http.StatusForbidden, api.OutcomeNotRun, "Only operators may do this."))
	}
}

// GetCatalogue answers with the configuration in force on this daemon.
func (h *OperatorHandlers) GetCatalogue(c echo.Context) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	current := h.config.Configuration.Current()
	current.Head.Zones = nonNil(current.Head.Zones)
	current.Catalogue = api.Catalogue{
		Organisations: nonNil(current.Catalogue.Organisations),
		Teams:         nonNil(current.Catalogue.Teams),
		Classes:       nonNil(current.Catalogue.Classes),
		Entries:       nonNil(current.Catalogue.Entries),
	}
	return c.JSON(http.StatusOK, current)
}

// ApplyCatalogue replaces the catalogue.
func (h *OperatorHandlers) ApplyCatalogue(c echo.Context) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	var change api.CatalogueApply
	// The catalogue is replaced as a whole, so a missing list would delete all its
	// items. Therefore all lists are required.
	if p := decodeOperatorBody(c, &change,
		"expected_revision", "changed_by", "catalogue", "catalogue.organisations",
		"catalogue.teams", "catalogue.classes", "catalogue.entries"); p != nil {
		return WriteProblem(c, *p)
	}
	if strings.TrimSpace(change.ChangedBy) == "" {
		return WriteProblem(c, badRequest("changed_by must not be empty"))
	}
	return h.writeChangeOutcome(c, h.config.Configuration.Apply(c.Request().Context(), change))
}

// GetCatalogueHistory answers with the heads of accepted configurations, newest first.
func (h *OperatorHandlers) GetCatalogueHistory(c echo.Context, params api.GetCatalogueHistoryParams) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	if params.Limit < 0 {
		return WriteProblem(c, badRequest("limit must not be negative"))
	}
	heads, err := h.config.Configuration.History(c.Request().Context(), params.Limit)
	if err != nil {
		p := NewProblem(http.StatusServiceUnavailable, api.OutcomeFailed, "The table service cannot be read: "+err.Error())
		p.RetryAfterMs = operatorRetryAfterMs
		return WriteProblem(c, p)
	}
	return c.JSON(http.StatusOK, api.ConfigurationList{Heads: nonNil(heads)})
}

// ChangeZone takes a zone out of service or returns it to service.
func (h *OperatorHandlers) ChangeZone(c echo.Context, zone string) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	var change api.ZoneChange
	if p := decodeOperatorBody(c, &change, "state", "changed_by"); p != nil {
		return WriteProblem(c, *p)
	}
	if strings.TrimSpace(change.ChangedBy) == "" {
		return WriteProblem(c, badRequest("changed_by must not be empty"))
	}
	return h.writeChangeOutcome(c, h.config.Configuration.ChangeZone(c.Request().Context(), zone, change))
}

// ListWorkers answers with the workers known to this daemon.
func (h *OperatorHandlers) ListWorkers(c echo.Context) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	return c.JSON(http.StatusOK, api.WorkerList{Workers: nonNil(h.config.Workers())})
}

// ListMinions answers with the minions known to this daemon.
func (h *OperatorHandlers) ListMinions(c echo.Context) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	return c.JSON(http.StatusOK, api.MinionList{Minions: nonNil(h.config.Minions())})
}

// GetStatus answers with the status of this daemon.
func (h *OperatorHandlers) GetStatus(c echo.Context) error {
	if ok, err := h.requireOperator(c); !ok {
		return err
	}
	status := h.config.Status()
	status.Peers = nonNil(status.Peers)
	return c.JSON(http.StatusOK, status)
}

// writeChangeOutcome answers with the head of the new configuration, or with the
// reason why the change was not accepted.
func (h *OperatorHandlers) writeChangeOutcome(c echo.Context, result configuration.Outcome) error {
	var p api.Problem
	switch result.Status {
	case configuration.Accepted:
		result.Head.Zones = nonNil(result.Head.Zones)
		return c.JSON(http.StatusOK, result.Head)
	case configuration.Conflict:
		p = NewProblem(http.StatusConflict, api.OutcomeNotRun,
			fmt.Sprintf("Another change was accepted first; the current revision is %d.", result.Head.Revision))
		p.CurrentRevision = result.Head.Revision
	case configuration.Refused:
		p = NewProblem(http.StatusUnprocessableEntity, api.OutcomeNotRun, strings.Join(result.Reasons, "\n"))
	case configuration.NotApplied:
		p = NewProblem(http.StatusServiceUnavailable, api.OutcomeNotRun, withCause("The change was not made", result.Err))
		p.RetryAfterMs = operatorRetryAfterMs
	default:
		p = NewProblem(http.StatusGatewayTimeout, api.OutcomeUnknown,
			withCause("The change may have been made; look at the catalogue", result.Err))
	}
	return WriteProblem(c, p)
}

// withCause returns the sentence, with the error appended if there is one.
func withCause(sentence string, err error) string {
	if err == nil {
		return sentence + "."
	}
	return sentence + ": " + err.Error()
}

// nonNil returns an empty list for a nil one, which would be null in JSON.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func badRequest(detail string) api.Problem {
	return NewProblem(http.StatusBadRequest, api.OutcomeNotRun, detail)
}

// decodeOperatorBody decodes the body into target. The body must be one JSON value
// without unknown fields, and must have all required fields. A required field in an
// object is given by its path, joined by dots.
func decodeOperatorBody(c echo.Context, target any, required ...string) (problem *api.Problem) {
	if refused := decodeBody(c, func(body io.Reader) { problem = decodeOperator(c, body, target, required) }); refused != nil {
		return refused
	}
	return problem
}

func decodeOperator(c echo.Context, r io.Reader, target any, required []string) *api.Problem {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), io.NopCloser(r), maxOperatorBodyBytes))
	if err != nil {
		p := badRequest("The body cannot be read: " + err.Error())
		if len(text) >= maxOperatorBodyBytes {
			p = NewProblem(http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
				fmt.Sprintf("The body has more than %d bytes.", maxOperatorBodyBytes))
		}
		return &p
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		p := badRequest("The body is not valid: " + err.Error())
		return &p
	}
	if _, err := decoder.Token(); err != io.EOF {
		p := badRequest("The body has more than one JSON value.")
		return &p
	}
	if missing := missingFields(text, required); len(missing) > 0 {
		p := badRequest("The body lacks " + strings.Join(missing, ", ") + ".")
		return &p
	}
	return nil
}

// missingFields returns the required paths that are absent or null.
func missingFields(text []byte, required []string) []string {
	return slices.DeleteFunc(slices.Clone(required), func(path string) bool {
		value := json.RawMessage(text)
		for _, part := range strings.Split(path, ".") {
			var fields map[string]json.RawMessage
			if json.Unmarshal(value, &fields) != nil {
				return false
			}
			value = fields[part]
		}
		return len(value) > 0 && string(value) != "null"
	})
}
