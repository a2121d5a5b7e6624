package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/entry"
)

// fakeConfigurations implements entry.ConfigurationService. It returns the same outcome
// for each change, counts the changes, and cannot read the history.
type fakeConfigurations struct {
	outcome configuration.Outcome
	changes int
}

func (f *fakeConfigurations) Current() api.Configuration { return api.Configuration{} }

func (f *fakeConfigurations) Apply(context.Context, api.CatalogueApply) configuration.Outcome {
	f.changes++
	return f.outcome
}

func (f *fakeConfigurations) ChangeZone(context.Context, string, api.ZoneChange) configuration.Outcome {
	f.changes++
	return f.outcome
}

func (f *fakeConfigurations) History(context.Context, int) ([]api.ConfigurationHead, error) {
	return nil, errors.New("store is down")
}

const (
	emptyCatalogue = `"catalogue":{"organisations":[],"teams":[],"classes":[],"entries":[]}`
	validChange    = `{"expected_revision":1,"changed_by":"op",` + emptyCatalogue + `}`
)

var operator = entry.Caller{Operator: true}

// serve calls a handler as the caller and returns the answer and the problem decoded
// from its body, which is empty if the body holds none.
func serve(caller entry.Caller, body string, handle func(echo.Context) error) (*httptest.ResponseRecorder, api.Problem) {
	answer := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPut, "/", strings.NewReader(body)), answer)
	entry.SetCaller(c, caller)
	if err := handle(c); err != nil {
		panic(err)
	}
	var problem api.Problem
	_ = json.Unmarshal(answer.Body.Bytes(), &problem)
	return answer, problem
}

// Guards against an outcome that is answered with the status of another one.
func TestOperatorOutcomes(t *testing.T) {
	head := api.ConfigurationHead{Revision: 7}
	for name, test := range map[string]struct {
		outcome     configuration.Outcome
		status      int
		wantOutcome api.Outcome
		detail      string
		revision    int64
	}{
		"accepted": {configuration.Outcome{Status: configuration.Accepted, Head: head}, 200, "", "", 0},
		"conflict": {configuration.Outcome{Status: configuration.Conflict, Head: head}, 409, api.OutcomeNotRun, "revision is 7", 7},
		"refused":  {configuration.Outcome{Status: configuration.Refused, Reasons: []string{"one", "two"}}, 422, api.OutcomeNotRun, "one\ntwo", 0},
		"not run":  {configuration.Outcome{Status: configuration.NotApplied, Err: errors.New("down")}, 503, api.OutcomeNotRun, "down", 0},
		"unknown":  {configuration.Outcome{Status: configuration.Unknown}, 504, api.OutcomeUnknown, "may have been made", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := entry.NewOperatorHandlers(entry.OperatorHandlersConfig{Configuration: &fakeConfigurations{outcome: test.outcome}})
			answer, problem := serve(operator, validChange, h.ApplyCatalogue)
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(problem.Outcome).To(Equal(test.wantOutcome))
			g.Expect(problem.Detail).To(ContainSubstring(test.detail))
			g.Expect(problem.CurrentRevision).To(Equal(test.revision))
			g.Expect(answer.Header().Get("Retry-After") != "").To(Equal(test.status == 503))
		})
	}
}

// Guards against changes made by callers, and against bodies that would delete a part
// of the catalogue because they leave the part out.
func TestOperatorRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		caller entry.Caller
		body   string
		status int
	}{
		"no token":            {entry.Caller{}, validChange, 401},
		"organisation":        {entry.Caller{Organisation: "north"}, validChange, 403},
		"no JSON":             {operator, `{`, 400},
		"unknown field":       {operator, strings.Replace(validChange, `"changed_by"`, `"changed":1,"changed_by"`, 1), 400},
		"two values":          {operator, validChange + `{}`, 400},
		"no catalogue":        {operator, `{"expected_revision":1,"changed_by":"op"}`, 400},
		"no classes":          {operator, strings.Replace(validChange, `"classes":[],`, ``, 1), 400},
		"null entries":        {operator, strings.Replace(validChange, `"entries":[]`, `"entries":null`, 1), 400},
		"no expected":         {operator, strings.Replace(validChange, `"expected_revision":1,`, ``, 1), 400},
		"nobody":              {operator, strings.Replace(validChange, `"op"`, `" "`, 1), 400},
		"wrong type":          {operator, strings.Replace(validChange, `1`, `"1"`, 1), 400},
		"more than the limit": {operator, strings.Repeat(" ", 9<<20), 413},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fake := &fakeConfigurations{}
			h := entry.NewOperatorHandlers(entry.OperatorHandlersConfig{Configuration: fake})
			answer, problem := serve(test.caller, test.body, h.ApplyCatalogue)
			g.Expect(answer.Code).To(Equal(test.status))
			g.Expect(answer.Header().Get("Content-Type")).To(Equal("application/problem+json"))
			g.Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
			g.Expect(fake.changes).To(BeZero())
		})
	}
}

// Guards against null instead of empty lists, and against reads by callers.
func TestOperatorReads(t *testing.T) {
	g := NewWithT(t)
	h := entry.NewOperatorHandlers(entry.OperatorHandlersConfig{Configuration: &fakeConfigurations{}})
	history := func(c echo.Context) error { return h.GetCatalogueHistory(c, api.GetCatalogueHistoryParams{}) }
	zone := func(c echo.Context) error { return h.ChangeZone(c, "a") }
	for _, handle := range []func(echo.Context) error{
		h.GetCatalogue, h.ListWorkers, h.ListMinions, h.GetStatus, history, zone,
	} {
		answer, _ := serve(entry.Caller{Organisation: "north"}, "", handle)
		g.Expect(answer.Code).To(Equal(http.StatusForbidden))
	}
	for _, handle := range []func(echo.Context) error{h.GetCatalogue, h.ListWorkers, h.ListMinions, h.GetStatus} {
		answer, _ := serve(operator, "", handle)
		g.Expect(answer.Code).To(Equal(http.StatusOK))
		g.Expect(answer.Body.String()).NotTo(ContainSubstring("null"))
	}
	answer, problem := serve(operator, "", history)
	g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(problem.Detail).To(ContainSubstring("store is down"))
}
