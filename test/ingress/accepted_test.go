package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// jobClients submit jobsEach jobs of the largest size each, one after the other.
	jobClients = 50
	jobsEach   = 60
	// largeSteps and stepTasks make up the most tasks that a job may have.
	largeSteps = 100
	stepTasks  = 15
	// specBytes is close to the longest description that a task may have.
	specBytes = 3900
)

// largeJob is the body of a submission with the most steps and tasks that a job may have.
var largeJob = fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("x", specBytes),
	strings.TrimSuffix(strings.Repeat(fmt.Sprintf(`{"count":%d,"cpu":64000,"mem_mb":65536,"gpu":8,"estimate_ms":60000},`, stepTasks), largeSteps), ","))

// submitLargeJobs lets clients submit jobs of the largest size. Client i uses the daemon and
// the token with the index i, modulo their numbers. It returns the number of answers by status.
func submitLargeJobs(daemons []target, tokens []string) map[int]int {
	var mu sync.Mutex
	var clients sync.WaitGroup
	answers := map[int]int{}
	for i := range jobClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: writeTimeout}
			defer client.CloseIdleConnections()
			for range jobsEach {
				status := submitLargeJob(client, daemons[i%len(daemons)].address, tokens[i%len(tokens)])
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers
}

// submitLargeJob returns the status of the answer, 0 if there was none.
func submitLargeJob(client *http.Client, address, token string) int {
	request, err := newSubmission(address, token, largeJob)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil { // the daemon may close the connection
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var _ = Describe("Accepted jobs", func() {
	// Guards against a dispatcher that ends because one caller submits more jobs than fit into
	// its memory, and against other callers that are refused meanwhile.
	It("of the largest size of one caller leave room for those of others", func() {
		s := startSystem(1)
		descriptors := observeAll(s.daemons)
		answers := submitLargeJobs(s.daemons, s.daemons[0].tokens[:1])
		time.Sleep(settleTime)
		AddReportEntry("answers", answers, ReportEntryVisibilityAlways)
		other := s.daemons[0].tokens[1]
		Eventually(func() error { return submitJob(&s.daemons[0], other, smallJob) }).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(s.daemons[0].healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds(s.daemons, descriptors)
	})

	// Guards against the same with several callers and daemons, and against a successor that
	// ends on what the dispatcher before it has accepted.
	It("of several callers at three daemons fit into the next dispatcher", func() {
		s := startSystem(3)
		descriptors := observeAll(s.daemons)
		tokens := s.daemons[0].tokens
		answers := submitLargeJobs(s.daemons, tokens[:len(tokens)-1])
		time.Sleep(settleTime)
		AddReportEntry("answers", answers, ReportEntryVisibilityAlways)
		checkBounds(s.daemons, descriptors)
		former := s.dispatcher()
		Expect(former.process.Kill()).To(Succeed())
		Eventually(func() string { return s.dispatcher().name }).WithTimeout(answerTimeout).ShouldNot(Equal(former.name))
		former.start()
		Eventually(former.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		descriptors = observeAll(s.daemons)
		answers = submitLargeJobs(s.daemons, tokens[:len(tokens)-1])
		AddReportEntry("answers of the successor", answers, ReportEntryVisibilityAlways)
		for i := range s.daemons {
			Eventually(func() error { return submitJob(&s.daemons[i], tokens[len(tokens)-1], smallJob) }).WithTimeout(answerTimeout).Should(Succeed())
		}
		time.Sleep(settleTime)
		checkBounds(s.daemons, descriptors)
	})
})
