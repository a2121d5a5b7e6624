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

// encodedSlack is the room in bytes that a body may take beside its payload, for
// the other fields of the JSON object.
const encodedSlack = 64 << 10

// identify gives each HTTP request an identifier of its own. One chosen by the
// caller is not taken over, because two callers may choose the same.
func identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderXRequestID, uuid.NewString())
		return next(c)
	}
}

// requestID returns the identifier given by identify.
func requestID(c echo.Context) string { return c.Response().Header().Get(echo.HeaderXRequestID) }

// observe starts a span below the trace of the caller and counts the answer.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
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

// routeTag keeps the number of metrics bounded: unknown paths share one tag.
func routeTag(c echo.Context) string {
	if path := c.Path(); path != "" {
		return c.Request().Method + " " + path
	}
	return "none"
}

// limitBody refuses bodies above the limit, whose payload is base64 in JSON.
func limitBody(maxBody int64) echo.MiddlewareFunc {
	limit := maxBody/3*4 + encodedSlack
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			if request.ContentLength > limit {
				return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the body is too large")
			}
			request.Body = http.MaxBytesReader(c.Response(), request.Body, limit)
			return next(c)
		}
	}
}

func outcomeOfStatus(status int) api.Outcome {
	if status < http.StatusInternalServerError {
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}
