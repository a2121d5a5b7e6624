package refplatform_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/table"
	"github.com/samphirepath/samphirepath/table/tabletest"
)

func runTable() *standin.Standin {
	return runStandin(standin.Config{Seed: 7, Table: &standin.TableConfig{}})
}

func tableClient(address string, timeout time.Duration) *refplatform.TableClient {
	ginkgo.GinkgoHelper()
	client, err := refplatform.NewTable(refplatform.Config{URL: "http://" + address, Timeout: timeout})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	closeAfterSpec(client)
	return client
}

var oneWrite = []table.Write{{Key: "a", Value: []byte("1")}}

var _ = ginkgo.Describe("TableClient", func() {
	ctx := context.Background()

	tabletest.Contract(func() table.Store { return tableClient(runTable().Addresses().Table, 0) })

	// Guards against reporting an applied commit as not applied, or the reverse.
	ginkgo.DescribeTable("reports the status of a commit when the table service fails",
		func(faults standin.Faults, status table.CommitStatus, applied bool) {
			s := runTable()
			client := tableClient(s.Addresses().Table, shortTimeout)
			setFaults(s, standin.TargetTable, faults)
			result := client.Commit(ctx, []table.Condition{{Key: "a"}}, oneWrite)
			gomega.Expect(result.Status).To(gomega.Equal(status))
			gomega.Expect(result.Err).To(gomega.HaveOccurred())
			setFaults(s, standin.TargetTable, standin.Faults{})
			exists := func() bool {
				_, ok, err := client.Get(ctx, "a")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return ok
			}
			if applied {
				gomega.Eventually(exists, "3s").Should(gomega.BeTrue())
			} else {
				gomega.Consistently(exists, "100ms").Should(gomega.BeFalse())
			}
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, table.Unavailable, false),
		ginkgo.Entry("down", standin.Faults{Down: true}, table.Unavailable, false),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, table.Unknown, true),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}, table.Unknown, true),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 600}, table.Unknown, true),
		ginkgo.Entry("paused until after the timeout", standin.Faults{Silent: true}, table.Unknown, true),
	)

	ginkgo.DescribeTable("reports a failed read as an error, never as a missing row",
		func(faults standin.Faults) {
			s := runTable()
			client := tableClient(s.Addresses().Table, shortTimeout)
			gomega.Expect(client.Commit(ctx, nil, oneWrite).Status).To(gomega.Equal(table.Committed))
			setFaults(s, standin.TargetTable, faults)
			_, _, err := client.Get(ctx, "a")
			gomega.Expect(err).To(gomega.HaveOccurred())
			_, err = client.List(ctx, "", 0)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}),
		ginkgo.Entry("down", standin.Faults{Down: true}),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}),
		ginkgo.Entry("paused", standin.Faults{Silent: true}),
	)

	ginkgo.It("commits when the table service is slow but answers within the timeout", func() {
		s := runTable()
		setFaults(s, standin.TargetTable, standin.Faults{DelayMs: 100})
		result := tableClient(s.Addresses().Table, 5*time.Second).Commit(ctx, nil, oneWrite)
		gomega.Expect(result.Status).To(gomega.Equal(table.Committed))
	})

	ginkgo.It("waits when the table service is at its rate limit", func() {
		s := runStandin(standin.Config{Table: &standin.TableConfig{WritesPerSecond: 20}})
		client := tableClient(s.Addresses().Table, 5*time.Second)
		started := time.Now()
		for range 5 {
			gomega.Expect(client.Commit(ctx, nil, oneWrite).Status).To(gomega.Equal(table.Committed))
		}
		gomega.Expect(time.Since(started)).To(gomega.BeNumerically(">=", 190*time.Millisecond))
	})

	// Guards against reporting an applied commit as unavailable when a pooled connection
	// breaks while it is reused.
	ginkgo.It("never reports an applied commit as unavailable while the listener closes and reopens", func() {
		s := runTable()
		client := tableClient(s.Addresses().Table, 2*time.Second)
		stop := make(chan struct{})
		toggled := make(chan error, 1)
		go func() { toggled <- toggleListener(s, stop) }()
		results := map[string]table.CommitStatus{}
		for i := range 600 {
			key := fmt.Sprint(i)
			results[key] = client.Commit(ctx, []table.Condition{{Key: key}}, []table.Write{{Key: key}}).Status
		}
		close(stop)
		gomega.Expect(<-toggled).NotTo(gomega.HaveOccurred())
		counts := map[table.CommitStatus]int{}
		for key, status := range results {
			counts[status]++
			_, ok, err := client.Get(ctx, key)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			if status == table.Unavailable {
				gomega.Expect(ok).To(gomega.BeFalse(), key)
			}
			if status == table.Committed {
				gomega.Expect(ok).To(gomega.BeTrue(), key)
			}
		}
		ginkgo.GinkgoWriter.Println("commits by status:", counts)
		gomega.Expect(counts).To(gomega.And(gomega.HaveKey(table.Committed), gomega.HaveKey(table.Unavailable)))
	})

	ginkgo.DescribeTable("derives no definite result from an answer that does not state it",
		func(answer string, status table.CommitStatus) {
			client := tableClient(rawServer(answer), time.Second)
			gomega.Expect(client.Commit(ctx, nil, oneWrite).Status).To(gomega.Equal(status))
			_, ok, err := client.Get(ctx, "a")
			gomega.Expect(ok).To(gomega.BeFalse())
			gomega.Expect(err).To(gomega.HaveOccurred())
			_, err = client.List(ctx, "", 0)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("empty object", rawAnswer("200 OK", "", "{}"), table.Unknown),
		ginkgo.Entry("not JSON", rawAnswer("200 OK", "", "hello"), table.Unknown),
		ginkgo.Entry("two values", rawAnswer("200 OK", "", `{"version":1}{"version":1}`), table.Unknown),
		ginkgo.Entry("conflict without keys", rawAnswer("409 Conflict", "", "{}"), table.Unknown),
		ginkgo.Entry("404 of a missing path", rawAnswer("404 Not Found", "", ""), table.Unknown),
		ginkgo.Entry("500", rawAnswer("500 Internal Server Error", "", ""), table.Unknown),
		ginkgo.Entry("503 without the not-run header", rawAnswer("503 Service Unavailable", "", ""), table.Unknown),
		ginkgo.Entry("503 with the not-run header", rawAnswer("503 Service Unavailable", "X-Not-Run: true\r\n", ""), table.Unavailable),
		ginkgo.Entry("redirect", rawAnswer("307 Temporary Redirect", "Location: /v1/commit\r\n", ""), table.Unknown),
		ginkgo.Entry("not HTTP", "hello\r\n\r\n", table.Unknown),
		ginkgo.Entry("closed without an answer", "", table.Unknown),
	)

	ginkgo.It("limits the size of an answer with and without Content-Length", func() {
		body := strings.Repeat("x", 2000)
		for _, answer := range []string{rawAnswer("200 OK", "", body), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body} {
			client, err := refplatform.NewTable(refplatform.Config{URL: "http://" + rawServer(answer), MaxAnswerBytes: 1000})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			closeAfterSpec(client)
			_, _, err = client.Get(ctx, "a")
			gomega.Expect(errors.Is(err, refplatform.ErrAnswerTooLarge)).To(gomega.BeTrue())
		}
	})

	// Guards against a commit that changes another row because the JSON encoder replaces
	// invalid UTF-8 in its key.
	ginkgo.It("sends no commit with a key that is not valid UTF-8", func() {
		s := runTable()
		client := tableClient(s.Addresses().Table, 0)
		for _, result := range []table.CommitResult{
			client.Commit(ctx, nil, []table.Write{{Key: "a\xff"}}),
			client.Commit(ctx, []table.Condition{{Key: "a\xff"}}, oneWrite),
		} {
			gomega.Expect(result.Status).To(gomega.Equal(table.Unavailable))
		}
		gomega.Expect(s.TableCounters().Commits).To(gomega.BeZero())
	})

	ginkgo.It("accepts only http URLs with an IP address", func() {
		for _, url := range []string{"", "http://localhost:1", "https://127.0.0.1:1", "http://127.0.0.1", "http://127.0.0.1:1/?a=b", "127.0.0.1:1"} {
			_, err := refplatform.NewTable(refplatform.Config{URL: url})
			gomega.Expect(err).To(gomega.HaveOccurred(), url)
		}
		_, err := refplatform.NewTable(refplatform.Config{URL: "http://[::1]:8080/"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})
})

// rawAnswer returns an HTTP answer with Content-Length.
func rawAnswer(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// toggleListener repeatedly closes and reopens the listener of the table service until
// stop is closed, and leaves it open.
func toggleListener(s *standin.Standin, stop <-chan struct{}) error {
	for {
		for _, refuse := range []bool{true, false} {
			if err := s.SetFaults(standin.TargetTable, standin.Faults{Refuse: refuse}); err != nil {
				return err
			}
			time.Sleep(2 * time.Millisecond)
		}
		select {
		case <-stop:
			return nil
		default:
		}
	}
}
