package entry

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// Explainer finds a subject that the caller may see and describes it in sentences.
type Explainer interface {
	// Explain returns false when no job, request or organisation that the caller may
	// see has this name.
	Explain(ctx context.Context, caller Caller, subject string) (api.Explanation, bool, error)
}

// ExplainHandlers serves the explanation route of api.ServerInterface.
type ExplainHandlers struct{ explainer Explainer }

// NewExplainHandlers returns handlers that answer with the explanations of explainer.
func NewExplainHandlers(explainer Explainer) *ExplainHandlers { return &ExplainHandlers{explainer} }

// Explain answers with sentences about a job, a request or an organisation.
func (h *ExplainHandlers) Explain(c echo.Context, subject string) error {
	explanation, found, err := h.explainer.Explain(c.Request().Context(), CallerOf(c), subject)
	switch {
	case err != nil:
		return WriteProblem(c, NewProblem(http.StatusServiceUnavailable, api.OutcomeNotRun, "The table service did not answer."))
	case !found:
		return WriteProblem(c, NewProblem(http.StatusNotFound, api.OutcomeNotRun, "No job, request or organisation has this name."))
	default:
		return c.JSON(http.StatusOK, explanation)
	}
}
