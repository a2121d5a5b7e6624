package entry

import (
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// RequestAPI serves the request routes; *RequestHandlers implements it.
type RequestAPI interface {
	SubmitRequest(c echo.Context) error
	GetRequest(c echo.Context, key string) error
}

// JobAPI serves the job routes; *JobHandlers implements it.
type JobAPI interface {
	SubmitJob(c echo.Context) error
	ListJobs(c echo.Context, params api.ListJobsParams) error
	GetJob(c echo.Context, id string) error
	CancelJob(c echo.Context, id string) error
}

// ExplainAPI serves the explanation route; *ExplainHandlers implements it.
type ExplainAPI interface {
	Explain(c echo.Context, subject string) error
}

// OperatorAPI serves the operator routes; *OperatorHandlers implements it.
type OperatorAPI interface {
	GetCatalogue(c echo.Context) error
	ApplyCatalogue(c echo.Context) error
	GetCatalogueHistory(c echo.Context, params api.GetCatalogueHistoryParams) error
	ChangeZone(c echo.Context, zone string) error
	ListWorkers(c echo.Context) error
	ListMinions(c echo.Context) error
	GetStatus(c echo.Context) error
}

// Handlers serves all routes of api.ServerInterface.
type Handlers struct {
	RequestAPI
	JobAPI
	ExplainAPI
	OperatorAPI
}

var _ api.ServerInterface = Handlers{}

// callerRoutePrefixes are the path prefixes of the routes that callers may use. The
// listener for callers serves no others.
var callerRoutePrefixes = []string{"/v1/requests", "/v1/jobs", "/v1/explain/"}

func isCallerRoute(path string) bool {
	for _, prefix := range callerRoutePrefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// callerRouter is an api.EchoRouter that registers only the routes for callers.
type callerRouter struct{ *echo.Echo }

// GET implements api.EchoRouter.
func (r callerRouter) GET(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route {
	if !isCallerRoute(path) {
		return nil
	}
	return r.Echo.GET(path, h, m...)
}

// POST implements api.EchoRouter.
func (r callerRouter) POST(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route {
	if !isCallerRoute(path) {
		return nil
	}
	return r.Echo.POST(path, h, m...)
}

// PUT implements api.EchoRouter.
func (r callerRouter) PUT(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) *echo.Route {
	if !isCallerRoute(path) {
		return nil
	}
	return r.Echo.PUT(path, h, m...)
}
