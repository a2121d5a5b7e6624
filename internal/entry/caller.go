// Package entry serves the HTTP API: one listener for callers, one for operators.
package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// Caller is the authenticated sender of a request, an organisation or an operator.
type Caller struct {
	Organisation string // empty for operators
	Operator     bool
}

const callerKey = "samphirepath.caller"

// SetCaller stores the authenticated caller in the context.
func SetCaller(c echo.Context, caller Caller) { c.Set(callerKey, caller) }

// CallerOf returns the authenticated caller, or the zero Caller if there is none.
func CallerOf(c echo.Context) Caller {
	caller, _ := c.Get(callerKey).(Caller)
	return caller
}

// NewProblem returns a problem whose title is the text of the HTTP status.
func NewProblem(status int, outcome api.Outcome, detail string) api.Problem {
	return api.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail}
}

// WriteProblem answers with application/problem+json. If the problem has a retry
// delay, it sets Retry-After to the delay, rounded up to whole seconds.
func WriteProblem(c echo.Context, p api.Problem) error {
	if p.RetryAfterMs > 0 {
		wait := (time.Duration(p.RetryAfterMs)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(wait), 10))
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	c.Response().WriteHeader(p.Status)
	return c.Echo().JSONSerializer.Serialize(c, p, "")
}
