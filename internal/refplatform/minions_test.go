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

func hostMinion(c standin.MinionConfig) (*standin.Standin, string) {
	c.ID, c.Zone = "m1", "z1"
	s := host(standin.Config{Minions: []standin.MinionConfig{c}})
	return s, s.Addresses().Minions["m1"]
}

func minionsClient(c refplatform.Config) *refplatform.MinionsClient {
	client := refplatform.NewMinions(c)
	closeAfter(client)
	return client
}

func request(id, body string) refplatform.MinionRequest {
	return refplatform.MinionRequest{RequestID: id, Entry: "plan", Body: []byte(body), DeadlineMs: 1000}
}

// withHeaders gives an answer with the headers of a minion, for the request "r1".
func withHeaders(status, body string) string {
	header := http.Header{}
	refplatform.SetBodyHeaders(header, []byte(body))
	header.Set(refplatform.HeaderRequestID, "r1")
	var text strings.Builder
	_ = header.Write(&text)
	return raw(status, text.String(), body)
}

var _ = ginkgo.Describe("MinionsClient", func() {
	ctx := context.Background()

	ginkgo.It("returns the whole answer to its own request", func() {
		s, address := hostMinion(standin.MinionConfig{})
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

	// Guards against a truncated or crossed answer that passes as success, and
	// against "not run" for a request that ran.
	ginkgo.DescribeTable("tells what became of a request when the minion fails",
		func(faults standin.Faults, status refplatform.MinionStatus, executions int) {
			s, address := hostMinion(standin.MinionConfig{})
			client := minionsClient(refplatform.Config{Timeout: shortTimeout})
			setFaults(s, minionTarget, faults)
			reply := client.Send(ctx, address, request("r1", `{"echo":1}`))
			gomega.Expect(reply.Status).To(gomega.Equal(status))
			setFaults(s, minionTarget, standin.Faults{})
			gomega.Eventually(func() int { return len(s.Executions()) }, "3s").Should(gomega.Equal(executions))
		},
		ginkgo.Entry("healthy", standin.Faults{}, refplatform.MinionRan, 1),
		ginkgo.Entry("slow", standin.Faults{DelayMs: 20}, refplatform.MinionRan, 1),
		ginkgo.Entry("fails all", standin.Faults{Fail: true}, refplatform.MinionFailed, 1),
		ginkgo.Entry("truncated", standin.Faults{Truncate: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("truncated failure", standin.Faults{Truncate: true, Fail: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("crossed", standin.Faults{Cross: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("wrong checksum", standin.Faults{WrongChecksum: true}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, refplatform.MinionUnknown, 1),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 600}, refplatform.MinionUnknown, 0),
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, refplatform.MinionNotRun, 0),
		ginkgo.Entry("says not run", standin.Faults{Down: true}, refplatform.MinionNotRun, 0),
	)

	ginkgo.It("does not take an earlier answer on the same connection for the present one", func() {
		s, address := hostMinion(standin.MinionConfig{})
		client := minionsClient(refplatform.Config{Connections: 1})
		gomega.Expect(client.Send(ctx, address, request("r1", `{}`)).Status).To(gomega.Equal(refplatform.MinionRan))
		setFaults(s, minionTarget, standin.Faults{Cross: true})
		reply := client.Send(ctx, address, request("r2", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionUnknown))
		gomega.Expect(reply.Body).To(gomega.BeNil())
	})

	ginkgo.It("learns that a minion is leaving", func() {
		s, address := hostMinion(standin.MinionConfig{})
		setFaults(s, minionTarget, standin.Faults{Leaving: true})
		reply := minionsClient(refplatform.Config{}).Send(ctx, address, request("r1", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionRan))
		gomega.Expect(reply.Leaving).To(gomega.BeTrue())
		gomega.Expect(s.Executions()[0].Leaving).To(gomega.BeTrue())
	})

	ginkgo.DescribeTable("judges an answer by its headers",
		func(answer string, status refplatform.MinionStatus) {
			reply := minionsClient(refplatform.Config{Timeout: time.Second, MaxAnswerBytes: 1000}).
				Send(ctx, rawServer(answer), request("r1", "{}"))
			gomega.Expect(reply.Status).To(gomega.Equal(status))
			if status == refplatform.MinionUnknown {
				gomega.Expect(reply.Err).To(gomega.HaveOccurred())
				gomega.Expect(reply.Body).To(gomega.BeNil())
			}
		},
		ginkgo.Entry("whole answer", withHeaders("200 OK", "body"), refplatform.MinionRan),
		ginkgo.Entry("whole client error", withHeaders("422 Unprocessable", "body"), refplatform.MinionRan),
		ginkgo.Entry("whole server error", withHeaders("502 Bad Gateway", "body"), refplatform.MinionFailed),
		ginkgo.Entry("503 with a whole body", withHeaders("503 Service Unavailable", "body"), refplatform.MinionFailed),
		ginkgo.Entry("no headers", raw("200 OK", "", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("server error without headers", raw("500 Internal Server Error", "", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("no checksum", raw("200 OK", "X-Request-Id: r1\r\nX-Body-Length: 4\r\n", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("other length", raw("200 OK", "X-Request-Id: r1\r\nX-Body-Length: 5\r\n", "body"), refplatform.MinionUnknown),
		ginkgo.Entry("not run without an identifier", raw("503 Service Unavailable", "X-Not-Run: true\r\n", ""), refplatform.MinionNotRun),
		ginkgo.Entry("not run for another request", raw("503 Service Unavailable", "X-Not-Run: true\r\nX-Request-Id: r2\r\n", ""), refplatform.MinionUnknown),
		ginkgo.Entry("not run with another status", raw("500 Internal Server Error", "X-Not-Run: true\r\n", ""), refplatform.MinionUnknown),
		ginkgo.Entry("too large", withHeaders("200 OK", strings.Repeat("x", 1001)), refplatform.MinionUnknown),
		ginkgo.Entry("cut before the end", strings.TrimSuffix(withHeaders("200 OK", "body"), "dy"), refplatform.MinionUnknown),
		ginkgo.Entry("cut in the header", "HTTP/1.1 200 OK\r\nX-Req", refplatform.MinionUnknown),
	)

	ginkgo.DescribeTable("does not run what it can't address or describe",
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

	ginkgo.It("runs as many requests as there are slots and queues the others", func() {
		s, address := hostMinion(standin.MinionConfig{Slots: 2})
		client := minionsClient(refplatform.Config{})
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() { client.Send(ctx, address, request(fmt.Sprint(i), `{"sleep_ms":100}`)) })
		}
		gomega.Eventually(func() int { return s.MinionCounters()[0].Queued }, "3s", "1ms").Should(gomega.Equal(4))
		gomega.Expect(s.MinionCounters()[0].Running).To(gomega.Equal(2))
		wg.Wait()
		gomega.Expect(s.Executions()).To(gomega.HaveLen(6))
		gomega.Expect(mostAtOnce(s.Executions())).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("waits for the slots of a slow minion", func() {
		s, address := hostMinion(standin.MinionConfig{Slots: 1})
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

	ginkgo.It("is told not run on a connection above the limit of the minion", func() {
		s, address := hostMinion(standin.MinionConfig{Slots: 2, Connections: 4})
		client := minionsClient(refplatform.Config{})
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := range 4 {
			wg.Go(func() { client.Send(ctx, address, request(fmt.Sprint(i), `{"sleep_ms":300}`)) })
		}
		busy := func() int { c := s.MinionCounters()[0]; return c.Running + c.Queued }
		gomega.Eventually(busy, "3s", "1ms").Should(gomega.Equal(4))
		reply := client.Send(ctx, address, request("surplus", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionNotRun))
	})

	ginkgo.It("says not run when no connection became free in time", func() {
		s, address := hostMinion(standin.MinionConfig{})
		client := minionsClient(refplatform.Config{Connections: 1})
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { client.Send(ctx, address, request("r1", `{"sleep_ms":500}`)) })
		gomega.Eventually(func() int { return len(s.Executions()) }, "3s", "1ms").Should(gomega.Equal(1))
		short, cancel := context.WithTimeout(ctx, shortTimeout)
		defer cancel()
		reply := client.Send(short, address, request("r2", `{}`))
		gomega.Expect(reply.Status).To(gomega.Equal(refplatform.MinionNotRun))
	})

	// Guards against calls that no metric shows.
	ginkgo.It("counts calls by outcome and their durations", func() {
		_, address := hostMinion(standin.MinionConfig{})
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

	ginkgo.It("passes the trace on, from the request or from the span in the context", func() {
		seen := make(chan string, 2)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Get("Traceparent")
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		r := request("r1", "{}")
		r.Traceparent = parent
		minionsClient(refplatform.Config{}).Send(ctx, address, r)
		gomega.Expect(<-seen).To(gomega.Equal(parent))
		provider := sdk.NewTracerProvider()
		defer func() { _ = provider.Shutdown(ctx) }()
		minionsClient(refplatform.Config{Tracer: provider.Tracer("test")}).Send(ctx, address, r)
		gomega.Expect(<-seen).To(gomega.And(gomega.HavePrefix(parent[:36]), gomega.Not(gomega.Equal(parent))))
	})
})

// mostAtOnce is the largest number of executions that overlap. Executions that
// only touch at a millisecond do not count as overlapping.
func mostAtOnce(executions []standin.Execution) int {
	most := 0
	for _, at := range executions {
		overlapping := 0
		for _, other := range executions {
			if other.StartedMs <= at.StartedMs && at.StartedMs < other.EndedMs {
				overlapping++
			}
		}
		most = max(most, overlapping)
	}
	return most
}
