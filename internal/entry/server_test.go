package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/entry"
	"github.com/samphirepath/samphirepath/internal/router"
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

type fakeView struct{ current api.Configuration }

func (v *fakeView) Current() api.Configuration { return v.current }
func (v *fakeView) ConfirmZone(context.Context, string, time.Duration) (configuration.Confirmation, error) {
	return configuration.Confirmation{}, nil
}
func (v *fakeView) Changed() <-chan struct{} { return nil }

// fakeRequests implements entry.RequestService with fixed results and records the last
// request and key.
type fakeRequests struct {
	reply  router.Reply
	last   router.Request
	block  chan struct{}
	lookup api.RequestResult
	exists bool
	err    error
	key    string
}

func (f *fakeRequests) Submit(_ context.Context, request router.Request) router.Reply {
	if f.block != nil {
		<-f.block
	}
	f.last = request
	reply := f.reply
	reply.Result.RequestID, reply.Result.Key = request.ID, request.Submission.Key
	return reply
}

func (f *fakeRequests) Lookup(_ context.Context, _, key string) (api.RequestResult, bool, error) {
	f.key = key
	return f.lookup, f.exists, f.err
}

// stubHandlers stands in for the handlers that this file does not test.
type stubHandlers struct{ api.ServerInterface }

func (stubHandlers) SubmitJob(c echo.Context) error {
	var spec api.JobSpec
	if err := c.Bind(&spec); err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, api.Job{ID: spec.Key})
}
func (stubHandlers) GetStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, api.Status{VM: "vm"})
}

const goodBody = `{"entry":"refit","key":"k","body":"aGVsbG8="}`

var _ = Describe("server", func() {
	var (
		requests *fakeRequests
		view     *fakeView
		server   *entry.Server
		stop     context.CancelFunc
		ended    chan error
	)
	BeforeEach(func() {
		requests = &fakeRequests{reply: router.Reply{Result: api.RequestResult{Outcome: api.OutcomeRan, Body: []byte("answer")}}}
		view = &fakeView{api.Configuration{Head: api.ConfigurationHead{Revision: 1}, Catalogue: api.Catalogue{
			Organisations: []api.Organisation{{Name: "crew", TokenSha256: hashOf("crew-token")}, {Name: "guest", TokenSha256: strings.ToUpper(hashOf("guest-token"))}},
			Classes:       []api.Class{{Name: "quick", Urgency: api.Urgent}},
			Entries: []api.Entry{
				{Name: "refit", Kind: api.EntryKindService, Owner: "crew", Class: "quick", Limits: api.Limits{DeadlineMs: 1000, MaxBodyBytes: 10}},
				{Name: "training", Kind: api.EntryKindJob, Owner: "crew", Class: "quick"},
			},
		}}}
		stubs := stubHandlers{}
		server = entry.New(entry.Config{CallersAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0", OperatorTokenHash: hashOf("operator-token"),
			MaxBodyBytes: 1000, GracefulStop: 5 * time.Second, View: view,
			Handlers: entry.Handlers{RequestAPI: entry.NewRequestHandlers(requests, view), JobAPI: stubs, ExplainAPI: stubs, OperatorAPI: stubs},
			Metrics:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics")) })})
		Expect(server.Listen()).To(Succeed())
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		ended = make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
	})
	AfterEach(func() {
		stop()
		Expect(<-ended).To(Succeed())
	})

	send := func(address, method, path, token, body string) (*http.Response, []byte) {
		request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		answer, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		data, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		return answer, data
	}

	// Guards against bodies that never end, and a refusal of them that does not say that
	// nothing was done.
	It("refuses a body that does not arrive", func() {
		connection, err := net.Dial("tcp", server.CallersAddress())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		Expect(connection.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		_, err = io.WriteString(connection, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer crew-token\r\nContent-Length: 100\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		var problem api.Problem
		Expect(json.NewDecoder(answer.Body).Decode(&problem)).To(Succeed())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
	})

	// Guards against wrong statuses, and against refusals whose outcome is not "not run".
	DescribeTable("refuses", func(token, body string, status int) {
		answer, data := send(server.CallersAddress(), "POST", "/v1/requests", token, body)
		Expect(answer.StatusCode).To(Equal(status), string(data))
		Expect(answer.Header.Get("Content-Type")).To(Equal("application/problem+json"))
		var problem api.Problem
		Expect(json.Unmarshal(data, &problem)).To(Succeed())
		Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(problem.RequestID).To(Equal(answer.Header.Get("X-Request-Id")))
		Expect(problem.RequestID).NotTo(BeEmpty())
		Expect(requests.last.ID).To(BeEmpty())
	},
		Entry("no token", "", goodBody, 401),
		Entry("wrong token", "crew-tokem", goodBody, 401),
		Entry("not a caller of the entry", "guest-token", goodBody, 403),
		Entry("an operator", "operator-token", goodBody, 403),
		Entry("unknown entry", "crew-token", `{"entry":"x","key":"k","body":""}`, 404),
		Entry("an entry for jobs", "crew-token", `{"entry":"training","key":"k","body":""}`, 404),
		Entry("unknown field", "crew-token", `{"entry":"refit","key":"k","body":"","nonidempotent":true}`, 400),
		Entry("data after the object", "crew-token", goodBody+goodBody, 400),
		Entry("no body", "crew-token", `{"entry":"refit","key":"k"}`, 400),
		Entry("no key", "crew-token", `{"entry":"refit","key":"","body":""}`, 400),
		Entry("long key", "crew-token", `{"entry":"refit","key":"`+strings.Repeat("k", 129)+`","body":""}`, 400),
		Entry("negative deadline", "crew-token", `{"entry":"refit","key":"k","body":"","deadline_ms":-1}`, 400),
		Entry("truncated JSON", "crew-token", `{"entry":"refit"`, 400),
		Entry("wrong type", "crew-token", `{"entry":1,"key":"k","body":""}`, 400),
		Entry("payload above the limit of the entry", "crew-token", `{"entry":"refit","key":"k","body":"aGVsbG8gaGVsbG8="}`, 413),
		Entry("body above the limit of the server", "crew-token", `{"entry":"`+strings.Repeat("x", 80_000)+`"}`, 413),
	)

	// Guards against outcomes that are mapped to a misleading status.
	DescribeTable("answers", func(reply router.Reply, status int) {
		requests.reply = reply
		answer, data := send(server.CallersAddress(), "POST", "/v1/requests", "crew-token", goodBody)
		Expect(answer.StatusCode).To(Equal(status), string(data))
		Expect(string(data)).To(ContainSubstring(`"outcome":"` + string(reply.Result.Outcome) + `"`))
		if reply.RetryAfter > 0 {
			Expect(answer.Header.Get("Retry-After")).To(Equal("2"))
		}
		Expect(requests.last.Urgency).To(Equal(api.Urgent))
		Expect(time.Until(requests.last.Deadline)).To(BeNumerically("<=", time.Second))
		Expect(string(requests.last.Submission.Body)).To(Equal("hello"))
	},
		Entry("ran", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeRan}}, 200),
		Entry("in progress", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeUnknown, InProgress: true}}, 200),
		Entry("failed", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeFailed}}, 502),
		Entry("unknown", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeUnknown}}, 504),
		Entry("overloaded", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeNotRun}, Refusal: router.Overloaded, RetryAfter: 1500 * time.Millisecond}, 429),
		Entry("unavailable", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeNotRun}, Refusal: router.Unavailable, RetryAfter: 1500 * time.Millisecond}, 503),
		Entry("key reused", router.Reply{Result: api.RequestResult{Outcome: api.OutcomeNotRun}, Refusal: router.KeyReused}, 409),
	)

	// Guards against keys that cannot be looked up because of their escaping, and against
	// a lookup that reports a missing request as not run.
	It("looks results up by key", func() {
		requests.lookup, requests.exists = api.RequestResult{Key: "a/b ü", Outcome: api.OutcomeRan}, true
		answer, _ := send(server.CallersAddress(), "GET", "/v1/requests/a%2Fb%20%C3%BC", "crew-token", "")
		Expect(answer.StatusCode).To(Equal(200))
		Expect(requests.key).To(Equal("a/b ü"))
		requests.exists = false
		answer, data := send(server.CallersAddress(), "GET", "/v1/requests/k", "crew-token", "")
		Expect(answer.StatusCode).To(Equal(404))
		Expect(string(data)).To(ContainSubstring(`"outcome":"unknown"`))
		requests.err = io.ErrUnexpectedEOF
		answer, _ = send(server.CallersAddress(), "GET", "/v1/requests/k", "crew-token", "")
		Expect(answer.StatusCode).To(Equal(503))
	})

	// Guards against operator routes that callers can reach.
	DescribeTable("routes", func(operators bool, method, path, token string, status int) {
		address := server.CallersAddress()
		if operators {
			address = server.OperatorsAddress()
		}
		server.SetReady(true)
		answer, data := send(address, method, path, token, `{"key":"k"}`)
		Expect(answer.StatusCode).To(Equal(status), string(data))
	},
		Entry("caller, job", false, "POST", "/v1/jobs", "crew-token", 201),
		Entry("caller, status", false, "GET", "/v1/status", "crew-token", 404),
		Entry("caller listener, operator's route", false, "GET", "/v1/status", "operator-token", 404),
		Entry("caller listener, metrics", false, "GET", "/metrics", "operator-token", 404),
		Entry("operator, status", true, "GET", "/v1/status", "operator-token", 200),
		Entry("operator, job", true, "POST", "/v1/jobs", "operator-token", 201),
		Entry("organisation on the listener for operators", true, "GET", "/v1/status", "crew-token", 403),
		Entry("no token on the listener for operators", true, "GET", "/v1/status", "", 401),
		Entry("health", true, "GET", "/healthz", "", 200),
		Entry("readiness", true, "GET", "/readyz", "", 200),
		Entry("metrics", true, "GET", "/metrics", "", 200),
	)

	// Guards against handlers that use Bind and so accept unknown fields.
	It("rejects unknown fields in all handlers", func() {
		answer, _ := send(server.CallersAddress(), "POST", "/v1/jobs", "crew-token", `{"key":"k","colour":"red"}`)
		Expect(answer.StatusCode).To(Equal(400))
	})

	// Guards against 401 for a valid token while the configuration is not known yet.
	It("answers 503 until the configuration is known", func() {
		view.current = api.Configuration{}
		answer, _ := send(server.CallersAddress(), "POST", "/v1/requests", "crew-token", goodBody)
		Expect(answer.StatusCode).To(Equal(503))
		Expect(answer.Header.Get("Retry-After")).To(Equal("1"))
	})

	// Guards against requests in flight that are aborted by a planned stop.
	It("turns readiness off first and finishes requests in flight", func() {
		requests.block = make(chan struct{})
		server.SetReady(true)
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			answer, _ := send(server.CallersAddress(), "POST", "/v1/requests", "crew-token", goodBody)
			statuses <- answer.StatusCode
		}()
		time.Sleep(50 * time.Millisecond)
		stop()
		Eventually(func() int {
			answer, _ := send(server.OperatorsAddress(), "GET", "/readyz", "", "")
			return answer.StatusCode
		}).Should(Equal(503))
		close(requests.block)
		Expect(<-statuses).To(Equal(200))
	})
})

// Guards against panics, and against accepted requests that exceed the limits.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{goodBody, `{}`, `null`, `[]`, `{"entry":"e","key":"k","body":"!"}`, goodBody + "x",
		`{"entry":"e","key":"k","body":"","deadline_ms":9223372036854775807}`, `{"entry":"e","key":"\ud800","body":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		submission, err := entry.DecodeRequest(bytes.NewReader(data))
		if err != nil {
			return
		}
		if n := len([]rune(submission.Key)); submission.Entry == "" || submission.Body == nil || n < 1 || n > 128 || submission.DeadlineMs < 0 {
			t.Fatalf("accepted %q as %+v", data, submission)
		}
		encoded, err := json.Marshal(submission)
		if err != nil {
			t.Fatal(err)
		}
		again, err := entry.DecodeRequest(bytes.NewReader(encoded))
		if err != nil || fmt.Sprint(again) != fmt.Sprint(submission) {
			t.Fatalf("%q became %+v (%v)", encoded, again, err)
		}
	})
}
