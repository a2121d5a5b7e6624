package entry

import (
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/api"
)

// RequestAPI serves the routes of requests; *RequestHandlers does.
type RequestAPI interface {
	SubmitRequest(c echo.Context) error
	GetRequest(c echo.Context, key string) error
}

// JobAPI serves the routes of jobs.
type JobAPI interface {
	SubmitJob(c echo.Context) error
	ListJobs(c echo.Context, params api.ListJobsParams) error
	GetJob(c echo.Context, id string) error
	CancelJob(c echo.Context, id string) error
}

// ExplainAPI serves the route of explanations.
type ExplainAPI interface {
	Explain(c echo.Context, subject string) error
}

// OperatorAPI serves the routes of operators.
type OperatorAPI interface {
	GetCatalogue(c echo.Context) error
	ApplyCatalogue(c echo.Context) error
	GetCatalogueHistory(c echo.Context, params api.GetCatalogueHistoryParams) error
	ChangeZone(c echo.Context, zone string) error
	ListWorkers(c echo.Context) error
	ListMinions(c echo.Context) error
	GetStatus(c echo.Context) error
}

// Handlers serve all routes.
type Handlers struct {
	RequestAPI
	JobAPI
	ExplainAPI
	OperatorAPI
}

var _ api.ServerInterface = Handlers{}

// callerRoutes are the starts of the paths of the listener for callers.
var callerRoutes = []string{"/v1/requests", "/v1/jobs", "/v1/explain/"}

func isCallerRoute(path string) bool {
	for _, start := range callerRoutes {
		if strings.HasPrefix(path, start) {
			return true
		}
	}
	return false
}

// callerRouter registers only the routes for callers.
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
