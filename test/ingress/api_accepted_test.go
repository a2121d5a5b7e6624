package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
)

const (
	// parameterBytes is close to the longest parameter of a job on the own API.
	parameterBytes = 16_000
	// apiJobsEach is the number of jobs that each of jobClients submits.
	apiJobsEach = 120
)

// submitLargeAPIJobs lets clients with one token submit jobs that each need a whole worker.
// It returns the number of answers by status.
func submitLargeAPIJobs(ctx context.Context, t target) map[int]int {
	var mu sync.Mutex
	var clients sync.WaitGroup
	answers := map[int]int{}
	for i := range jobClients {
		clients.Go(func() {
			for n := range apiJobsEach {
				status := submitLargeAPIJob(ctx, t, fmt.Sprintf("large-%d-%d", i, n))
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers
}

// submitLargeAPIJob submits a job that needs a whole worker, with long parameters. It returns
// the status of the answer.
func submitLargeAPIJob(ctx context.Context, t target, key string) int {
	spec := api.JobSpec{Key: key, Name: key, Entry: jobEntry, Tasks: 1, Resources: api.Resources{Cores: 64, MemoryMb: 64},
		Parameters: map[string]string{"data": strings.Repeat("x", parameterBytes), standin.ParamRunMs: "600000"}}
	return client.Do(ctx, writeTimeout, http.MethodPost, "http://"+t.address+"/v1/jobs", t.tokens[0], spec, nil)
}

var _ = Describe("Daemon of the own API", func() {
	// Guards against a daemon that ends because one caller submits more jobs than fit into its
	// memory, and against other callers that are refused meanwhile.
	It("stays within its limits with accepted jobs of one caller", func(ctx SpecContext) {
		t := startAPI(ctx)
		descriptors := observeAll([]target{t})
		AddReportEntry("answers", submitLargeAPIJobs(ctx, t), ReportEntryVisibilityAlways)
		time.Sleep(settleTime)
		Eventually(t.submitOther).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds([]target{t}, descriptors)
	}, NodeTimeout(3*time.Minute))
})

const (
	// listedJobs jobs with long parameters make an answer of 5 MB.
	listedJobs = 320
	// listReaders do not read such an answer. Together they hold four times the memory of the
	// smallest machine if each answer is in memory.
	listReaders = 120
)

var _ = Describe("Daemon of the own API", func() {
	// Guards against a daemon that keeps a whole list in memory for each caller that does not
	// read it.
	It("stays within its limits with lists of jobs that are not read", func(ctx SpecContext) {
		t := startAPI(ctx)
		descriptors := observeAll([]target{t})
		for i := range listedJobs {
			Eventually(func() int { return submitLargeAPIJob(ctx, t, fmt.Sprintf("listed-%d", i)) }).WithTimeout(answerTimeout).Should(Equal(http.StatusCreated))
		}
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s %s\r\n\r\n", t.path, t.host, t.scheme, t.tokens[0])
		connectAll(listReaders, t.address, func(c net.Conn) { _, _ = io.WriteString(c, request) })
		time.Sleep(settleTime)
		Eventually(t.submitOther).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds([]target{t}, descriptors)
	}, NodeTimeout(3*time.Minute))
})
