package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
)

const bearerPrefix = "Bearer "

// authenticator identifies callers by their bearer token.
type authenticator struct {
	view         configuration.View
	operatorHash string // hex SHA-256 of the bearer token of operators
}

// findCaller returns the caller with the token. It compares the token with all known
// hashes, each in constant time, so that the response time reveals nothing about how
// much of a hash matches.
func (a authenticator) findCaller(token string) (Caller, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	caller, found := Caller{}, false
	if matchesHash(hash, a.operatorHash) {
		caller, found = Caller{Operator: true}, true
	}
	for _, o := range a.view.Current().Catalogue.Organisations {
		if matchesHash(hash, o.TokenSha256) && !found {
			caller, found = Caller{Organisation: o.Name}, true
		}
	}
	return caller, found
}

// matchesHash reports whether the hash equals a known one, which may be in upper case.
func matchesHash(hash []byte, known string) bool {
	return subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(known))) == 1
}

// authenticate stores the caller in the context. If the bearer token is missing or
// unknown, it answers 401, or 503 while the configuration is not known.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix)
		if ok && token != "" {
			if caller, found := s.authenticator.findCaller(token); found {
				SetCaller(c, caller)
				return next(c)
			}
		}
		guardOf(c).Abandon(c.Response().Writer, c.Request())
		if s.config.View.Current().Head.Revision == 0 {
			p := NewProblem(http.StatusServiceUnavailable, api.OutcomeNotRun, "the configuration is not known yet")
			p.RetryAfterMs = time.Second.Milliseconds()
			return writeProblemWithID(c, p)
		}
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
		return writeProblemWithID(c, NewProblem(http.StatusUnauthorized, api.OutcomeNotRun, "the bearer token is missing or not known"))
	}
}

// operatorsOnly answers 403 to organisations.
func (s *Server) operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !CallerOf(c).Operator {
			return writeProblemWithID(c, NewProblem(http.StatusForbidden, api.OutcomeNotRun, "this route is for operators"))
		}
		return next(c)
	}
}

// writeProblemWithID answers with the problem, to which it adds the identifier of the
// HTTP request.
func writeProblemWithID(c echo.Context, p api.Problem) error {
	p.RequestID = requestID(c)
	return WriteProblem(c, p)
}
