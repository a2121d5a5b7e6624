package product

import (
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

func encode(value any) []byte {
	GinkgoHelper()
	data, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func jobSpec(key string, accelerators int) api.JobSpec {
	return api.JobSpec{
		Key: key, Name: key, Entry: "refits", Tasks: 1, RunTimeS: 60,
		Resources: api.Resources{Cores: 1, MemoryMb: 64, Accelerators: accelerators}, Parameters: map[string]string{"run_ms": "60000"},
	}
}

var _ = Describe("HTTP errors", func() {
	request := func(key, entry string) []byte {
		return encode(api.RequestSubmit{Entry: entry, Key: key, Body: []byte("{}")})
	}

	// Guards against a refusal with a wrong status or outcome: callers decide by them
	// whether to retry, so a wrong one loses work or runs it twice.
	DescribeTable("refusals",
		func(ctx SpecContext, path, token string, body func() []byte, wantStatus int) {
			response := callRaw(ctx, http.MethodPost, cluster.Daemons[0].CallersURL()+path, token, body())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(wantStatus))
			Expect(response.Header.Get("Content-Type")).To(HavePrefix("application/problem+json"))
			var problem api.Problem
			Expect(json.NewDecoder(response.Body).Decode(&problem)).To(Succeed())
			Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
			Expect(problem.Status).To(Equal(wantStatus))
			Expect(problem.Detail).NotTo(BeEmpty())
		},
		Entry("malformed request", "/v1/requests", northToken, func() []byte { return []byte(`{"entry":`) }, 400),
		Entry("unknown field", "/v1/requests", northToken, func() []byte { return []byte(`{"entry":"plans","key":"k","body":"e30=","urgent":true}`) }, 400),
		Entry("malformed job", "/v1/jobs", northToken, func() []byte { return []byte(`[]`) }, 400),
		Entry("too large", "/v1/requests", northToken, func() []byte { return []byte(`{"body":"` + strings.Repeat("A", 1<<20) + `"}`) }, 413),
		Entry("no token", "/v1/requests", "", func() []byte { return request("k", "plans") }, 401),
		Entry("wrong token", "/v1/requests", "guess", func() []byte { return request("k", "plans") }, 401),
		Entry("entry of another organisation", "/v1/requests", southToken, func() []byte { return request("k", "plans") }, 403),
		Entry("a job that does not exist", "/v1/jobs/none/cancel", northToken, func() []byte { return nil }, 404),
	)

	// Guards against a second job, or a silently ignored body, for a reused key.
	It("answers 409 when the key of a job is reused with another body", func(ctx SpecContext) {
		url := cluster.Daemons[0].CallersURL() + "/v1/jobs"
		status, _ := call(ctx, http.MethodPost, url, northToken, encode(jobSpec("reused", 0)))
		Expect(status).To(Equal(http.StatusCreated))
		status, _ = call(ctx, http.MethodPost, url, northToken, encode(jobSpec("reused", 0)))
		Expect(status).To(Equal(http.StatusCreated))
		status, body := call(ctx, http.MethodPost, url, northToken, encode(jobSpec("reused", 1)))
		Expect(status).To(Equal(http.StatusConflict), string(body))
	})

	// Guards against a job that is accepted and then waits for ever.
	It("refuses a job that no worker can ever run, with the reason", func(ctx SpecContext) {
		status, body := call(ctx, http.MethodPost, cluster.Daemons[0].CallersURL()+"/v1/jobs", northToken, encode(jobSpec("impossible", 5)))
		Expect(status).To(Equal(http.StatusUnprocessableEntity), string(body))
		Expect(string(body)).To(ContainSubstring("5 accelerators"))
	})

	// Guards against callers that use the routes of operators.
	It("denies callers the routes of operators", func(ctx SpecContext) {
		status, _ := call(ctx, http.MethodGet, cluster.Daemons[0].OperatorsURL()+"/v1/status", northToken, nil)
		Expect(status).To(Equal(http.StatusForbidden))
		status, _ = call(ctx, http.MethodGet, cluster.Daemons[0].CallersURL()+"/v1/status", northToken, nil)
		Expect(status).To(Equal(http.StatusNotFound))
	})
})
