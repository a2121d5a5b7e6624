package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/samphirepath/samphirepath/api"
)

// jsonOverhead is the number of bytes that a body may have beyond its encoded
// payload, for the other fields of the JSON object.
const jsonOverhead = 64 << 10

// assignRequestID assigns a new identifier to each HTTP request. An identifier sent
// by the caller is not used, because two callers may send the same one.
func assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderXRequestID, uuid.NewString())
		return next(c)
	}
}

// requestID returns the identifier assigned by assignRequestID.
func requestID(c echo.Context) string { return c.Response().Header().Get(echo.HeaderXRequestID) }

// instrument starts a span as a child of the caller's trace, and records the status
// and duration of the answer in the metrics.
func (s *Server) instrument(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
		ctx, span := s.tracer.Start(ctx, "entry", trace.WithAttributes(attribute.String("route", c.Path())))
		defer span.End()
		c.SetRequest(request.WithContext(ctx))
		started := time.Now()
		if err := next(c); err != nil {
			c.Error(err)
		}
		status := c.Response().Status
		span.SetAttributes(attribute.Int("status", status))
		scope := s.scope.Tagged(map[string]string{"route": routeTag(c), "status": strconv.Itoa(status)})
		scope.Counter("answers").Inc(1)
		scope.Timer("answer_time").Record(time.Since(started))
		return nil
	}
}

// routeTag returns the metric tag of a route. Unknown paths share one tag, which
// bounds the number of metrics.
func routeTag(c echo.Context) string {
	if path := c.Path(); path != "" {
		return c.Request().Method + " " + path
	}
	return "none"
}

// bodyLimit is the largest body with a payload of maxBody bytes.
func bodyLimit(maxBody int64) int64 { return maxBody/3*4 + jsonOverhead }

// limitBody rejects bodies that are larger than a JSON object with a base64 payload
// of maxBody bytes.
func limitBody(maxBody int64) echo.MiddlewareFunc {
	limit := bodyLimit(maxBody)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			if request.ContentLength > limit {
				guardOf(c).Abandon(c.Response().Writer, request)
				return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the body is too large")
			}
			return next(c)
		}
	}
}

// outcomeOfStatus returns the outcome for an error that no handler has classified: a
// server error may have come after the request was run.
func outcomeOfStatus(status int) api.Outcome {
	if status < http.StatusInternalServerError {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}
