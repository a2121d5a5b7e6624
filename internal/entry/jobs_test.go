package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
)

// stubJobs implements JobService and JobRows with fixed results, and records the
// submitted spec.
type stubJobs struct {
	submitResult jobs.SubmitResult
	cancelResult jobs.CancelResult
	spec         *api.JobSpec
	rows         map[string]*jobs.Row
	err          error
}

func (s *stubJobs) Submit(_ context.Context, _ string, spec api.JobSpec) jobs.SubmitResult {
	s.spec = &spec
	return s.submitResult
}

func (s *stubJobs) Cancel(_ context.Context, _ string, visible func(api.Job) bool) jobs.CancelResult {
	if s.cancelResult.Job.ID != "" && !visible(s.cancelResult.Job) {
		return jobs.CancelResult{Status: jobs.CancelNotFound}
	}
	return s.cancelResult
}

func (s *stubJobs) Get(id string) *jobs.Row { return s.rows[id] }

func (s *stubJobs) Rows() []*jobs.Row {
	var out []*jobs.Row
	for _, row := range s.rows {
		out = append(out, row)
	}
	return out
}

func (s *stubJobs) Fetch(context.Context, string) (*jobs.Row, error) { return nil, s.err }

// serveJob calls a handler as the caller and returns the answer, decoded if it is a
// problem.
func serveJob(s *stubJobs, caller Caller, body string, handle func(*JobHandlers, echo.Context) error) (*httptest.ResponseRecorder, api.Problem) {
	h := NewJobHandlers(JobHandlersConfig{Service: s, Rows: s, MaxBodyBytes: 400})
	recorder := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)), recorder)
	SetCaller(c, caller)
	Expect(handle(h, c)).To(Succeed())
	var problem api.Problem
	if recorder.Code >= http.StatusBadRequest {
		Expect(recorder.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(json.Unmarshal(recorder.Body.Bytes(), &problem)).To(Succeed())
	}
	return recorder, problem
}

var org = Caller{Organisation: "org"}

const goodBody = `{"key":"k","name":"fit","entry":"train","tasks":1,"resources":{"cores":1,"memory_mb":1,"accelerators":0}}`

func submit(h *JobHandlers, c echo.Context) error { return h.SubmitJob(c) }

// Guards against a status or outcome that does not match the result of a submission.
var _ = DescribeTable("submission outcomes", func(status jobs.SubmitStatus, code int, outcome api.Outcome, retry string) {
	s := &stubJobs{submitResult: jobs.SubmitResult{Status: status, Job: api.Job{ID: "j1"}, Reason: "because"}}
	recorder, problem := serveJob(s, org, goodBody, submit)
	Expect(recorder.Code).To(Equal(code))
	Expect(recorder.Header().Get("Retry-After")).To(Equal(retry))
	if code >= http.StatusBadRequest {
		Expect(problem).To(SatisfyAll(HaveField("Outcome", outcome), HaveField("Detail", "because"), HaveField("Status", code)))
	}
},
	Entry("accepted", jobs.Accepted, http.StatusCreated, api.Outcome(""), ""),
	Entry("existing", jobs.Existing, http.StatusCreated, api.Outcome(""), ""),
	Entry("key reused with another body", jobs.DifferentBody, http.StatusConflict, api.OutcomeNotRun, ""),
	Entry("malformed", jobs.MalformedSpec, http.StatusBadRequest, api.OutcomeNotRun, ""),
	Entry("refused", jobs.Refused, http.StatusUnprocessableEntity, api.OutcomeNotRun, ""),
	Entry("not run", jobs.NotRun, http.StatusServiceUnavailable, api.OutcomeNotRun, "1"),
	Entry("unknown", jobs.Unknown, http.StatusServiceUnavailable, api.OutcomeUnknown, "1"),
)

// Guards against malformed bodies that are accepted and interpreted as another job.
var _ = DescribeTable("strict bodies", func(body string, code int) {
	s := &stubJobs{}
	recorder, problem := serveJob(s, org, body, submit)
	Expect(recorder.Code).To(Equal(code))
	Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
	Expect(s.spec).To(BeNil())
},
	Entry("no JSON", "x", http.StatusBadRequest),
	Entry("empty", "", http.StatusBadRequest),
	Entry("unknown field", `{"key":"k","taks":1}`, http.StatusBadRequest),
	Entry("wrong type", `{"key":1}`, http.StatusBadRequest),
	Entry("second value", goodBody+"{}", http.StatusBadRequest),
	Entry("too large", `{"key":"`+strings.Repeat("k", 500)+`"}`, http.StatusRequestEntityTooLarge),
)

// Guards against jobs that are shown to or cancelled by another organisation.
var _ = DescribeTable("visibility", func(caller Caller, code int) {
	job := api.Job{ID: "j1", Organisation: "org", State: api.JobStateRunning}
	s := &stubJobs{rows: map[string]*jobs.Row{"j1": {Job: job}}, cancelResult: jobs.CancelResult{Status: jobs.CancelAccepted, Job: job}}
	recorder, _ := serveJob(s, caller, "", func(h *JobHandlers, c echo.Context) error { return h.GetJob(c, "j1") })
	Expect(recorder.Code).To(Equal(code))
	recorder, _ = serveJob(s, caller, "", func(h *JobHandlers, c echo.Context) error { return h.CancelJob(c, "j1") })
	Expect(recorder.Code).To(Equal(code))
	recorder, _ = serveJob(s, caller, "", func(h *JobHandlers, c echo.Context) error {
		return h.ListJobs(c, api.ListJobsParams{State: "running"})
	})
	Expect(strings.Contains(recorder.Body.String(), "j1")).To(Equal(code == http.StatusOK))
},
	Entry("own organisation", org, http.StatusOK),
	Entry("operator", Caller{Operator: true}, http.StatusOK),
	Entry("other organisation", Caller{Organisation: "other"}, http.StatusNotFound),
	Entry("nobody", Caller{}, http.StatusNotFound),
)

// Guards against failures that are answered without a problem document or with a wrong
// outcome.
var _ = It("answers other failures with a problem", func() {
	s := &stubJobs{err: errors.New("down")}
	recorder, _ := serveJob(s, org, "", func(h *JobHandlers, c echo.Context) error { return h.GetJob(c, "j1") })
	Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
	recorder, _ = serveJob(s, Caller{Operator: true}, goodBody, submit)
	Expect(recorder.Code).To(Equal(http.StatusForbidden))
	recorder, _ = serveJob(s, org, "", func(h *JobHandlers, c echo.Context) error { return h.ListJobs(c, api.ListJobsParams{State: "x"}) })
	Expect(recorder.Code).To(Equal(http.StatusBadRequest))
	for status, want := range map[jobs.CancelStatus]api.Outcome{jobs.CancelNotRun: api.OutcomeNotRun, jobs.CancelUnknown: api.OutcomeUnknown} {
		s.cancelResult = jobs.CancelResult{Status: status}
		_, problem := serveJob(s, org, "", func(h *JobHandlers, c echo.Context) error { return h.CancelJob(c, "j1") })
		Expect(problem.Outcome).To(Equal(want))
	}
})
