// Package entry serves the HTTP API: one listener for callers, one for operators.
package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// Caller is who sent a request, as its bearer token shows.
type Caller struct {
	Organisation string // empty for operators
	Operator     bool
}

const callerKey = "samphirepath.caller"

// SetCaller stores the caller that the token check found.
func SetCaller(c echo.Context, caller Caller) { c.Set(callerKey, caller) }

// CallerOf returns the caller that the token check found.
func CallerOf(c echo.Context) Caller {
	caller, _ := c.Get(callerKey).(Caller)
	return caller
}

// NewProblem returns a problem with the title that belongs to the status.
func NewProblem(status int, outcome api.Outcome, detail string) api.Problem {
	return api.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail}
}

// WriteProblem answers with application/problem+json, and with Retry-After in
// whole seconds when the problem says when a retry may succeed.
func WriteProblem(c echo.Context, p api.Problem) error {
	if p.RetryAfterMs > 0 {
		wait := (time.Duration(p.RetryAfterMs)*time.Millisecond + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64(wait), 10))
	}
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	c.Response().WriteHeader(p.Status)
	return c.Echo().JSONSerializer.Serialize(c, p, "")
}
