package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	// fleetWorkers is the largest fleet for which docs/CAPACITY.md has the memory of a
	// dispatcher on the smallest machine.
	fleetWorkers = 300
	// fleetDescriptors is the setting limits.max_fds of the machines of such a fleet.
	fleetDescriptors = 4100
	// fleetJobs jobs of jobTasks tasks each keep the fleet busy.
	fleetJobs = 100
	jobTasks  = 30
	// smallTaskJobs jobs of smallTasks tasks each, the most that a job may have, are far more
	// runs than any fleet has.
	smallTaskJobs = 60
	smallTasks    = 1500
	// largeAnswerBytes is the largest answer that a daemon reads from the store, and more than a
	// worker has reason to send. It consists of as many values as possible.
	largeAnswerBytes   = 8 << 20
	workersThatGoWrong = 3
	// fillRounds is how often the jobs are submitted, so that what is refused at first may be
	// accepted later.
	fillRounds = 20
)

// longJob is the body of a submission whose tasks run until the test ends.
var longJob = fmt.Sprintf(`{"spec":"{\"ms\":600000}","steps":[{"count":%d,"cpu":4000,"mem_mb":8192,"estimate_ms":600000}]}`, jobTasks)

// smallTasksJob is the body of a submission of tasks that need hardly any capacity.
var smallTasksJob = fmt.Sprintf(`{"spec":"{\"ms\":600000}","steps":[{"count":%d,"cpu":1,"estimate_ms":600000}]}`, smallTasks)

// startDispatcher starts a dispatcher of a fleet that is busy with jobs.
func startDispatcher() target {
	s := startSystemOf(1, fleetDescriptors)
	s.addWorkers(fleetWorkers)
	t := s.daemons[0]
	for i := range fleetJobs {
		Eventually(func() error { return submitJob(&t, t.tokens[i%len(t.tokens)], longJob) }).WithTimeout(answerTimeout).Should(Succeed())
	}
	time.Sleep(settleTime)
	AddReportEntry("before", fmt.Sprintf("%d MB", peakMemory(t.process.PID())>>20), ReportEntryVisibilityAlways)
	return t
}

var _ = Describe("Dispatcher of a fleet", func() {
	// Guards against limits that are sized as if the daemon did nothing else: bodies,
	// connections, accepted jobs and the fleet have to fit together.
	for _, l := range loads[:4] {
		It("stays within its limits with accepted jobs and "+l.title, func() {
			t := startDispatcher()
			AddReportEntry("answers", submitLargeJobs([]target{t}, t.tokens[1:]), ReportEntryVisibilityAlways)
			t.checkUnderLoad(l)
		})
	}

	for _, l := range returningLoads {
		It("stays within its limits with "+l.title, func() { t := startDispatcher(); t.checkUnderLoad(l) })
	}

	// Guards against a dispatcher that ends because of the answers of a few workers.
	It("stays within its limits with workers whose answers are large", func() {
		s := startSystem(1)
		s.addWorkers(rackSize)
		answer := `{"clock_ms":1,"born":1,"running":[[]` + strings.Repeat(",[]", largeAnswerBytes/3-20) + `]}`
		s.addWorkersThat(workersThatGoWrong, func(*standinfleet.Worker) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = io.WriteString(w, answer)
			})
		})
		t := s.daemons[0]
		descriptors := observeAll(s.daemons)
		for range fleetJobs {
			Eventually(t.submit).WithTimeout(answerTimeout).Should(Succeed())
		}
		time.Sleep(5 * settleTime)
		Eventually(t.submit).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds(s.daemons, descriptors)
	})

	// Guards against limits that hold one by one and not together.
	It("stays within its limits with jobs of many small tasks, many large jobs and several crowds", func() {
		t := startDispatcher()
		for range fillRounds {
			for i := range smallTaskJobs {
				_ = submitJob(&t, t.tokens[1+i%(len(t.tokens)-1)], smallTasksJob) // may be refused
			}
			submitLargeJobs([]target{t}, t.tokens[1:])
			time.Sleep(settleTime)
		}
		others := []*clients{loads[len(loads)-1].start(t), returningLoads[1].start(t)}
		t.checkUnderLoad(returningLoads[0])
		for _, c := range others {
			c.close()
		}
		checkBounds([]target{t}, nil)
	})

	// Guards against a dispatcher that starts more runs than fit into its memory.
	It("stays within its limits with jobs of many small tasks", func() {
		t := startDispatcher()
		descriptors := observeAll([]target{t})
		for i := range smallTaskJobs {
			_ = submitJob(&t, t.tokens[1+i%(len(t.tokens)-1)], smallTasksJob) // may be refused
		}
		time.Sleep(10 * settleTime)
		Eventually(t.submit).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds([]target{t}, descriptors)
	})
})
