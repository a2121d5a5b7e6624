package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// DecodeStrict decodes one JSON value. Unknown fields and trailing data are errors.
func DecodeStrict(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return eris.Wrap(err, "malformed body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.New("malformed body: data after the JSON value")
	}
	return nil
}

// strictSerializer makes echo.Context.Bind use DecodeStrict in all handlers.
type strictSerializer struct{ echo.DefaultJSONSerializer }

// Deserialize implements echo.JSONSerializer.
func (strictSerializer) Deserialize(c echo.Context, into any) error {
	var err error
	if refused := decodeBody(c, func(body io.Reader) { err = DecodeStrict(body, into) }); refused != nil {
		return echo.NewHTTPError(refused.Status, refused.Detail).SetInternal(&problemError{*refused})
	}
	if err != nil {
		problem := decodeProblem(err)
		return echo.NewHTTPError(problem.Status, problem.Detail).SetInternal(err)
	}
	return nil
}

// problemError is an error with the problem that handleError answers with. Without it, a
// server error counts as one whose outcome is not known.
type problemError struct{ problem api.Problem }

func (e *problemError) Error() string { return e.problem.Detail }

// handleError answers with a problem when a handler has returned an error and has
// not written an answer.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, detail := http.StatusInternalServerError, "the request could not be handled"
	var httpError *echo.HTTPError
	if eris.As(err, &httpError) {
		status = httpError.Code
		if text, ok := httpError.Message.(string); ok {
			detail = text
		}
	}
	p := NewProblem(status, outcomeOfStatus(status), detail)
	var withProblem *problemError
	if errors.As(err, &withProblem) {
		p = withProblem.problem
	}
	if writeErr := writeProblemWithID(c, p); writeErr != nil {
		c.Logger().Debug(writeErr)
	}
}
