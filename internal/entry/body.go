package entry

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/ingress"
)

const (
	// maxDepth bounds the nesting of a body. Those of the schema have up to 6 levels.
	maxDepth = 32
	// callerElements and operatorElements bound the arrays and objects of a body. A job has
	// some tens of parameters; a catalogue has one entry for each service and kind of job.
	callerElements   = 10_000
	operatorElements = 100_000

	guardKey = "samphirepath.guard"
)

// setGuard stores the guard of the listener in the context.
func setGuard(guard *ingress.Guard) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			c.Set(guardKey, guard)
			return next(c)
		}
	}
}

// guardOf returns the guard of the listener, or nil in unit tests of handlers.
func guardOf(c echo.Context) *ingress.Guard {
	guard, _ := c.Get(guardKey).(*ingress.Guard)
	return guard
}

// receiveBody reads the body of an authenticated request into memory, within the limits of
// the guard. Nothing has been done when it refuses a body.
func receiveBody(maxBody int64, elements int) echo.MiddlewareFunc {
	limit := bodyLimit(maxBody)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			if request.ContentLength == 0 {
				return next(c)
			}
			caller := CallerOf(c)
			source := "organisation " + caller.Organisation
			if caller.Operator {
				source = "operators"
			}
			body, err := guardOf(c).ReadBody(c.Response().Writer, request, ingress.Body{Source: source, Max: limit})
			if err != nil {
				return writeProblemWithID(c, bodyProblem(err))
			}
			if err := body.CheckJSON(ingress.Shape{Depth: maxDepth, Elements: elements}); err != nil {
				return writeProblemWithID(c, NewProblem(http.StatusBadRequest, api.OutcomeNotRun, "malformed body: "+err.Error()))
			}
			request.Body = io.NopCloser(body.Reader())
			return next(c)
		}
	}
}

// bodyProblem returns the problem for a body that was refused.
func bodyProblem(err error) api.Problem {
	p := NewProblem(ingress.Status(err), api.OutcomeNotRun, err.Error())
	switch {
	case errors.Is(err, ingress.ErrIncomplete):
		p.Detail = "malformed body: unexpected EOF"
	case p.Status == http.StatusTooManyRequests || p.Status == http.StatusServiceUnavailable:
		p.RetryAfterMs = ingress.RetryAfter.Milliseconds()
	}
	return p
}

// decodeBody calls decode with the body when few others are being decoded, and then drops
// the body. It returns a problem if the request ends before.
func decodeBody(c echo.Context, decode func(io.Reader)) *api.Problem {
	err := guardOf(c).Decode(c.Request().Context(), func() { decode(c.Request().Body) })
	c.Request().Body = http.NoBody
	if err == nil {
		return nil
	}
	p := bodyProblem(err)
	return &p
}
