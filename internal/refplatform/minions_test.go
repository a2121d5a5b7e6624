package refplatform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

const minionTarget = "minions/m1"

func runMinion(c standin.MinionConfig) (*standin.Standin, string) {
	c.ID, c.Zone = "m1", "z1"
	s := runStandin(standin.Config{Minions: []standin.MinionConfig{c}})
	return s, s.Addresses().Minions["m1"]
}

func minionsClient(c refplatform.Config) *refplatform.MinionsClient {
	client := refplatform.NewMinions(c)
	closeAfterSpec(client)
	return client
}

func request(id, body string) refplatform.MinionRequest {
	return refplatform.MinionRequest{RequestID: id, Entry: "plan", Body: []byte(body), DeadlineMs: 1000}
}

// minionAnswer returns an HTTP answer with the headers of a minion to the request "r1".
func minionAnswer(status, body string) string {
	header := http.Header{}
	refplatform.SetBodyHeaders(header, []byte(body))
	header.Set(refplatform.HeaderRequestID, "r1")
	var text strings.Builder
	_ = header.Write(&text)
	return rawAnswer(status, text.String(), body)
}

var _ = ginkgo.Describe("MinionsClient", func() {
	ctx := context.Background()

	ginkgo.It("returns the complete answer to its own request", func() {
		s, address := runMinion(standin.MinionConfig{})
		client := minionsClient(refplatform.Config{})
		for i := range 3 {
			id := fmt.Sprint("r", i)
			reply := client.Send(ctx, address, request(id, `{"echo":"`+id+`","key":"k"}`))
			gomega.Expect(reply.Err).NotTo(gomega.HaveOccurred())
			gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionRan))
			var answer standin.MinionAnswer
			gomega.Expect(json.Unmarshal(reply.Body, &answer)).To(gomega.Succeed())
			gomega.Expect(answer.RequestID).To(gomega.Equal(id))
			gomega.Expect(string(answer.Echo)).To(gomega.Equal(`"` + id + `"`))
		}
		counters := s.MinionCounters()[0]
		gomega.Expect(counters.Executions).To(gomega.Equal(int64(3)))
		gomega.Expect(counters.ByRequest).To(gomega.HaveKeyWithValue("r1", 1))
		gomega.Expect(counters.ByKey).To(gomega.HaveKeyWithValue("k", 3))
	})

	// Guards against accepting a truncated answer, or one to another request, as a
	// success, and against reporting a request that ran as not run.
	ginkgo.DescribeTable("reports the outcome of a request when the minion fails",
		func(faults standin.Faults, status refplatform.MinionStatus, executions int) {
			s, address := runMinion(standin.MinionConfig{})
			client := minionsClient(refplatform.Config{Timeout: shortTimeout})
			setFaults(s, minionTarget, faults)
			reply := client.Send(ctx, address, request("r1", `{"echo":1}`))
			gomega.Expect(reply.Status).To(gomega.Equal(status))
			setFaults(s, minionTarget, standin.Faults{})
			gomega.Eventually(func() int { return len(s.Executions()) }, "3s").Should(gomega.Equal(executions))
		},
		ginkgo.Entry("healthy", standin.Faults{}, refplatform.MinionRan, 1),
		ginkgo.Entry("slow", standin.Faults{DelayMs: 20}, refplatform.MinionRan, 1),
		ginkgo.Entry("fails every request", standin.Faults{Fail: true}, refplatform.MinionFailed, 1),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("truncated failure", standin.Faults{Truncate: true, Fail: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("answer to another request", standin.Faults{MismatchAnswers: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("wrong checksum", standin.Faults{WrongChecksum: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 600}, refplatform.MinionUnknown, 0),
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, refplatform.MinionNotRun, 0),
		ginkgo.Entry("answers not run", standin.Faults{Down: true}, refplatform.MinionNotRun, 0),
	)

	ginkgo.It("does not accept the answer to an earlier request on the same connection", func() {
		s, address := runMinion(standin.MinionConfig{})
		client := minionsClient(refplatform.Config{Connections: 1})
		gomega.Expect(client.Send(ctx, address, request("r1", `{}`)).Status).To(gomega.Equal(refplatform.MinionRan))
		setFaults(s, minionTarget, standin.Faults{MismatchAnswers: true})
		reply := client.Send(ctx, address, request("r2", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionUnknown))
		gomega.Expect(reply.Body).To(gomega.BeNil())
	})

	ginkgo.It("reports that a minion is leaving", func() {
		s, address := runMinion(standin.MinionConfig{})
		setFaults(s, minionTarget, standin.Faults{Leaving: true})
		reply := minionsClient(refplatform.Config{}).Send(ctx, address, request("r1", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionRan))
		gomega.Expect(reply.Leaving).To(gomega.BeTrue())
		gomega.Expect(s.Executions()[0].Leaving).To(gomega.BeTrue())
	})

	ginkgo.DescribeTable("derives the outcome from the headers of the answer",
		func(answer string, status refplatform.MinionStatus) {
			reply := minionsClient(refplatform.Config{Timeout: time.Second, MaxAnswerBytes: 1000}).
				Send(ctx, rawServer(answer), request("r1", "{}"))
			gomega.Expect(reply.Status).To(gomega.Equal(status))
			if status == refplatform.MinionUnknown {
				gomega.Expect(reply.Err).To(gomega.HaveOccurred())
				gomega.Expect(reply.Body).To(gomega.BeNil())
			}
		},
		ginkgo.Entry("intact answer", minionAnswer("200 OK", "body"), refplatform.MinionRan),
		ginkgo.Entry("intact client error", minionAnswer("422 Unprocessable", "body"), refplatform.MinionRan),
		ginkgo.Entry("intact server error", minionAnswer("502 Bad Gateway", "body"), refplatform.MinionFailed),
		ginkgo.Entry("503 with an intact body", minionAnswer("503 Service Unavailable", "body"), refplatform.MinionFailed),
		ginkgo.Entry("no headers", rawAnswer("200 OK", "", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("server error without headers", rawAnswer("500 Internal Server Error", "", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("no checksum", rawAnswer("200 OK", "X-Request-Id: r1\r\nX-Body-Length: 4\r\n", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("wrong length", rawAnswer("200 OK", "X-Request-Id: r1\r\nX-Body-Length: 5\r\n", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("not run without an identifier", rawAnswer("503 Service Unavailable", "X-Not-Run: true\r\n", ""), refplatform.MinionNotRun),
		ginkgo.Entry("not run for another request", rawAnswer("503 Service Unavailable", "X-Not-Run: true\r\nX-Request-Id: r2\r\n", ""), refplatform.MinionUnknown),
		ginkgo.Entry("not run with another status", rawAnswer("500 Internal Server Error", "X-Not-Run: true\r\n", ""), refplatform.MinionUnknown),
		ginkgo.Entry("too large", minionAnswer("200 OK", strings.Repeat("x", 1001)), refplatform.MinionUnknown),
		ginkgo.Entry("truncated in the body", strings.TrimSuffix(minionAnswer("200 OK", "body"), "dy"), refplatform.MinionUnknown),
		ginkgo.Entry("truncated in the header", "HTTP/1.1 200 OK\r\nX-Req", refplatform.MinionUnknown),
	)

	ginkgo.DescribeTable("reports a request that it cannot send as not run",
		func(address, id string) {
			reply := minionsClient(refplatform.Config{}).Send(ctx, address, request(id, "{}"))
			gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionNotRun))
			gomega.Expect(reply.Err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("host name", "localhost:1", "r1"),
		ginkgo.Entry("no port", "127.0.0.1", "r1"),
		ginkgo.Entry("closed port", "127.0.0.1:1", "r1"),
		ginkgo.Entry("line break in the identifier", "127.0.0.1:1", "r1\r\nX-Not-Run: true"),
	)

	ginkgo.It("runs at most one request per slot and queues the others", func() {
		s, address := runMinion(standin.MinionConfig{Slots: 2})
		client := minionsClient(refplatform.Config{})
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() { client.Send(ctx, address, request(fmt.Sprint(i), `{"sleep_ms":100}`)) })
		}
		gomega.Eventually(func() int { return s.MinionCounters()[0].Queued }, "3s", "1ms").Should(gomega.Equal(4))
		gomega.Expect(s.MinionCounters()[0].Running).To(gomega.Equal(2))
		wg.Wait()
		gomega.Expect(s.Executions()).To(gomega.HaveLen(6))
		gomega.Expect(maxConcurrent(s.Executions())).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("waits for a free slot of a slow minion", func() {
		s, address := runMinion(standin.MinionConfig{Slots: 1})
		setFaults(s, minionTarget, standin.Faults{SlowMs: 100})
		client := minionsClient(refplatform.Config{})
		started := time.Now()
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { client.Send(ctx, address, request(fmt.Sprint(i), `{}`)) })
		}
		wg.Wait()
		gomega.Expect(time.Since(started)).To(gomega.BeNumerically(">=", 200*time.Millisecond))
	})

	ginkgo.It("reports not run on a connection above the limit of the minion", func() {
		s, address := runMinion(standin.MinionConfig{Slots: 2, Connections: 4})
		client := minionsClient(refplatform.Config{})
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := range 4 {
			wg.Go(func() { client.Send(ctx, address, request(fmt.Sprint(i), `{"sleep_ms":300}`)) })
		}
		inProgress := func() int { c := s.MinionCounters()[0]; return c.Running + c.Queued }
		gomega.Eventually(inProgress, "3s", "1ms").Should(gomega.Equal(4))
		reply := client.Send(ctx, address, request("surplus", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionNotRun))
	})

	ginkgo.It("reports not run when no connection becomes free in time", func() {
		s, address := runMinion(standin.MinionConfig{})
		client := minionsClient(refplatform.Config{Connections: 1})
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { client.Send(ctx, address, request("r1", `{"sleep_ms":500}`)) })
		gomega.Eventually(func() int { return len(s.Executions()) }, "3s", "1ms").Should(gomega.Equal(1))
		shortCtx, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		reply := client.Send(shortCtx, address, request("r2", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionNotRun))
	})

	// Guards against calls that are missing in the metrics.
	ginkgo.It("counts calls by outcome and records their durations", func() {
		_, address := runMinion(standin.MinionConfig{})
		scope := tally.NewTestScope("", nil)
		client := minionsClient(refplatform.Config{Scope: scope})
		client.Send(ctx, address, request("r1", `{}`))
		client.Send(ctx, address, request("r2", `{"fail":true}`))
		client.Send(ctx, "127.0.0.1:1", request("r3", `{}`))
		client.Send(ctx, "127.0.0.1:1", request("r4", `{}`))
		counts := map[string]int64{}
		for _, counter := range scope.Snapshot().Counters() {
			if counter.Name() == "calls" {
				counts[counter.Tags()["outcome"]] = counter.Value()
			}
		}
		gomega.Expect(counts).To(gomega.Equal(map[string]int64{"200": 1, "500": 1, "error": 2}))
		gomega.Expect(scope.Snapshot().Histograms()).To(gomega.HaveLen(1))
	})

	ginkgo.It("propagates the trace of the request, or of the span in the context", func() {
		traceparents := make(chan string, 2)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			traceparents <- r.Header.Get("Traceparent")
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		r := request("r1", "{}")
		r.Traceparent = parent
		minionsClient(refplatform.Config{}).Send(ctx, address, r)
		gomega.Expect(<-traceparents).To(gomega.Equal(parent))
		provider := sdk.NewTracerProvider()
		defer func() { _ = provider.Shutdown(ctx) }()
		minionsClient(refplatform.Config{Tracer: provider.Tracer("test")}).Send(ctx, address, r)
		gomega.Expect(<-traceparents).To(gomega.And(gomega.HavePrefix(parent[:36]), gomega.Not(gomega.Equal(parent))))
	})
})

// maxConcurrent returns the largest number of executions that overlap. Two executions
// do not overlap if one starts in the millisecond in which the other ends.
func maxConcurrent(executions []standin.Execution) int {
	maximum := 0
	for _, execution := range executions {
		overlapping := 0
		for _, other := range executions {
			if other.StartedMs <= execution.StartedMs && execution.StartedMs < other.EndedMs {
				overlapping++
			}
		}
		maximum = max(maximum, overlapping)
	}
	return maximum
}
