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

// tokens finds callers by bearer token.
type tokens struct {
	view     configuration.View
	operator string // hex SHA-256 of the token of operators
}

// find compares the token with all known hashes in constant time per hash, so
// that the time taken tells nothing about how much of a hash matches.
func (t tokens) find(token string) (Caller, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	caller, found := Caller{}, false
	if same(hash, t.operator) {
		caller, found = Caller{Operator: true}, true
	}
	for _, o := range t.view.Current().Catalogue.Organisations {
		if same(hash, o.TokenSha256) && !found {
			caller, found = Caller{Organisation: o.Name}, true
		}
	}
	return caller, found
}

func same(hash []byte, known string) bool {
	return subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(known))) == 1
}

// authenticate stores the caller in the context or answers 401.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix)
		if ok && token != "" {
			if caller, found := s.tokens.find(token); found {
				SetCaller(c, caller)
				return next(c)
			}
		}
		if s.config.View.Current().Head.Revision == 0 {
			p := NewProblem(http.StatusServiceUnavailable, api.OutcomeNotRun, "the configuration is not known yet")
			p.RetryAfterMs = time.Second.Milliseconds()
			return refuse(c, p)
		}
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
		return refuse(c, NewProblem(http.StatusUnauthorized, api.OutcomeNotRun, "the bearer token is missing or not known"))
	}
}

// operatorsOnly answers 403 to organisations.
func (s *Server) operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !CallerOf(c).Operator {
			return refuse(c, NewProblem(http.StatusForbidden, api.OutcomeNotRun, "this route is for operators"))
		}
		return next(c)
	}
}

// refuse answers with the problem and the identifier of the HTTP request.
func refuse(c echo.Context, p api.Problem) error {
	p.RequestID = requestID(c)
	return WriteProblem(c, p)
}
