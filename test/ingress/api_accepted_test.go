package ingress

import (
	"context"
	"fmt"
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
	parameter := strings.Repeat("x", parameterBytes)
	for i := range jobClients {
		clients.Go(func() {
			for n := range apiJobsEach {
				key := fmt.Sprintf("large-%d-%d", i, n)
				spec := api.JobSpec{Key: key, Name: key, Entry: jobEntry, Tasks: 1, Resources: api.Resources{Cores: 64, MemoryMb: 64},
					Parameters: map[string]string{"data": parameter, standin.ParamRunMs: "600000"}}
				status := client.Do(ctx, writeTimeout, http.MethodPost, "http://"+t.address+"/v1/jobs", t.tokens[0], spec, nil)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers
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
