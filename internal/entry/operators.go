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

// maxOperatorBodyBytes bounds a change sent by an operator; it leaves room for a
// catalogue of the largest size with indentation.
const maxOperatorBodyBytes = 8 << 20

// operatorRetryMs is the time after which a change that was not run may be sent again.
const operatorRetryMs = 1000

// ConfigurationService reads and changes the configuration; *configuration.Service is one.
type ConfigurationService interface {
	Current() api.Configuration
	Apply(ctx context.Context, change api.CatalogueApply) configuration.Outcome
	ChangeZone(ctx context.Context, zone string, change api.ZoneChange) configuration.Outcome
	History(ctx context.Context, limit int) ([]api.ConfigurationHead, error)
}

// OperatorHandlersConfig holds the dependencies of the operators' handlers.
type OperatorHandlersConfig struct {
	Configurations ConfigurationService
	Workers        func() []api.WorkerStatus
	Minions        func() []api.MinionStatus
	Status         func() api.Status
}

// OperatorHandlers serves the operations of operators. It is meant to be
// embedded next to the handlers for callers.
type OperatorHandlers struct{ config OperatorHandlersConfig }

// NewOperatorHandlers returns the handlers. Functions that are nil give empty answers.
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

// operator answers a caller who is not an operator. It returns false when the
// caller has been answered.
func (h *OperatorHandlers) operator(c echo.Context) (bool, error) {
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
	if ok, err := h.operator(c); !ok {
		return err
	}
	current := h.config.Configurations.Current()
	current.Head.Zones = operatorList(current.Head.Zones)
	current.Catalogue = api.Catalogue{
		Organisations: operatorList(current.Catalogue.Organisations),
		Teams:         operatorList(current.Catalogue.Teams),
		Classes:       operatorList(current.Catalogue.Classes),
		Entries:       operatorList(current.Catalogue.Entries),
	}
	return c.JSON(http.StatusOK, current)
}

// ApplyCatalogue replaces the catalogue.
func (h *OperatorHandlers) ApplyCatalogue(c echo.Context) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	var change api.CatalogueApply
	// A part that is left out would delete what it holds, so all must be given.
	if p := operatorBody(c, &change,
		"expected_revision", "changed_by", "catalogue", "catalogue.organisations",
		"catalogue.teams", "catalogue.classes", "catalogue.entries"); p != nil {
		return WriteProblem(c, *p)
	}
	if strings.TrimSpace(change.ChangedBy) == "" {
		return WriteProblem(c, operatorMalformed("changed_by must not be empty"))
	}
	return h.answerChange(c, h.config.Configurations.Apply(c.Request().Context(), change))
}

// GetCatalogueHistory answers with accepted heads, newest first.
func (h *OperatorHandlers) GetCatalogueHistory(c echo.Context, params api.GetCatalogueHistoryParams) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	if params.Limit < 0 {
		return WriteProblem(c, operatorMalformed("limit must not be negative"))
	}
	heads, err := h.config.Configurations.History(c.Request().Context(), params.Limit)
	if err != nil {
		p := NewProblem(http.StatusServiceUnavailable, api.OutcomeFailed, "The table service cannot be read: "+err.Error())
		p.RetryAfterMs = operatorRetryMs
		return WriteProblem(c, p)
	}
	return c.JSON(http.StatusOK, api.ConfigurationList{Heads: operatorList(heads)})
}

// ChangeZone takes a zone out of service or brings it back.
func (h *OperatorHandlers) ChangeZone(c echo.Context, zone string) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	var change api.ZoneChange
	if p := operatorBody(c, &change, "state", "changed_by"); p != nil {
		return WriteProblem(c, *p)
	}
	if strings.TrimSpace(change.ChangedBy) == "" {
		return WriteProblem(c, operatorMalformed("changed_by must not be empty"))
	}
	return h.answerChange(c, h.config.Configurations.ChangeZone(c.Request().Context(), zone, change))
}

// ListWorkers answers with the workers as this daemon sees them.
func (h *OperatorHandlers) ListWorkers(c echo.Context) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	return c.JSON(http.StatusOK, api.WorkerList{Workers: operatorList(h.config.Workers())})
}

// ListMinions answers with the minions as this daemon sees them.
func (h *OperatorHandlers) ListMinions(c echo.Context) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	return c.JSON(http.StatusOK, api.MinionList{Minions: operatorList(h.config.Minions())})
}

// GetStatus answers with the status of this daemon.
func (h *OperatorHandlers) GetStatus(c echo.Context) error {
	if ok, err := h.operator(c); !ok {
		return err
	}
	status := h.config.Status()
	status.Peers = operatorList(status.Peers)
	return c.JSON(http.StatusOK, status)
}

// answerChange answers with the head in force or with why there is no new one.
func (h *OperatorHandlers) answerChange(c echo.Context, outcome configuration.Outcome) error {
	var p api.Problem
	switch outcome.Status {
	case configuration.Accepted:
		outcome.Head.Zones = operatorList(outcome.Head.Zones)
		return c.JSON(http.StatusOK, outcome.Head)
	case configuration.Conflict:
		p = NewProblem(http.StatusConflict, api.OutcomeNotRun,
			fmt.Sprintf("Another change was accepted first; the current revision is %d.", outcome.Head.Revision))
		p.CurrentRevision = outcome.Head.Revision
	case configuration.Refused:
		p = NewProblem(http.StatusUnprocessableEntity, api.OutcomeNotRun, strings.Join(outcome.Reasons, "\n"))
	case configuration.NotRun:
		p = NewProblem(http.StatusServiceUnavailable, api.OutcomeNotRun, operatorCause("The change was not made", outcome.Err))
		p.RetryAfterMs = operatorRetryMs
	default:
		p = NewProblem(http.StatusGatewayTimeout, api.OutcomeUnknown,
			operatorCause("The change may have been made; look at the catalogue", outcome.Err))
	}
	return WriteProblem(c, p)
}

func operatorCause(sentence string, err error) string {
	if err == nil {
		return sentence + "."
	}
	return sentence + ": " + err.Error()
}

// operatorList gives an empty list instead of null in JSON.
func operatorList[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func operatorMalformed(detail string) api.Problem {
	return NewProblem(http.StatusBadRequest, api.OutcomeNotRun, detail)
}

// operatorBody decodes the body strictly: one JSON value, no unknown fields, and
// all required fields, whose paths are joined by dots.
func operatorBody(c echo.Context, target any, required ...string) *api.Problem {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxOperatorBodyBytes))
	if err != nil {
		p := operatorMalformed("The body cannot be read: " + err.Error())
		if len(text) >= maxOperatorBodyBytes {
			p = NewProblem(http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
				fmt.Sprintf("The body has more than %d bytes.", maxOperatorBodyBytes))
		}
		return &p
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		p := operatorMalformed("The body is not valid: " + err.Error())
		return &p
	}
	if _, err := decoder.Token(); err != io.EOF {
		p := operatorMalformed("The body has more than one JSON value.")
		return &p
	}
	if missing := operatorMissing(text, required); len(missing) > 0 {
		p := operatorMalformed("The body lacks " + strings.Join(missing, ", ") + ".")
		return &p
	}
	return nil
}

// operatorMissing returns the required paths that are absent or null.
func operatorMissing(text []byte, required []string) []string {
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
