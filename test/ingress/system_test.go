package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	fleetService = "gpu"
	// heartbeatEvery is the interval at which workers write their entries.
	heartbeatEvery = 1500 * time.Millisecond
	// rackSize is the number of workers in a rack.
	rackSize = 8
)

// system is several platform daemons over one store.
type system struct {
	store   *standinfleet.Store
	daemons []target
	workers int
}

// startSystem starts daemons with the names edge-1, edge-2 and so on.
func startSystem(daemons int) *system { return startSystemOf(daemons, platformDescriptors) }

func startSystemOf(daemons, descriptors int) *system {
	s := &system{store: standinfleet.NewStore()}
	server := httptest.NewServer(s.store)
	DeferCleanup(server.Close)
	DeferCleanup(server.CloseClientConnections)
	tokens := putConfiguration(s.store)
	for i := range daemons {
		t := newPlatformTarget(fmt.Sprintf("edge-%d", i+1), server.Listener.Addr().String(), descriptors, tokens)
		t.start()
		s.daemons = append(s.daemons, t)
	}
	for i := range s.daemons {
		Eventually(s.daemons[i].healthCheck).WithTimeout(answerTimeout).Should(Succeed())
	}
	Eventually(s.dispatcher).WithTimeout(answerTimeout).ShouldNot(BeNil())
	return s
}

// dispatcher returns the daemon that the row of the leader lease names, or nil.
func (s *system) dispatcher() *target {
	var row api.PlannerLease
	value, found := s.store.Value("leader", "control", "lease")
	if !found || json.Unmarshal(value, &row) != nil {
		return nil
	}
	for i := range s.daemons {
		if s.daemons[i].name == row.Holder {
			return &s.daemons[i]
		}
	}
	return nil
}

// addWorkers adds idle workers that announce themselves until the test ends.
func (s *system) addWorkers(n int) {
	s.addWorkersThat(n, func(w *standinfleet.Worker) http.Handler { return w })
}

// addWorkersThat adds workers with the given way to answer.
func (s *system) addWorkersThat(n int, answer func(*standinfleet.Worker) http.Handler) {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	for i := s.workers; i < s.workers+n; i++ {
		w := standinfleet.NewWorker(fmt.Sprintf("worker-%d", i))
		server := httptest.NewServer(answer(w))
		DeferCleanup(server.Close)
		DeferCleanup(server.CloseClientConnections)
		announce := func() {
			s.store.Put("servers", "", w.ID, w.Entry(fleetService, "zone-0", fmt.Sprintf("r%d", i/rackSize), strings.TrimPrefix(server.URL, "http://"), "ready"))
		}
		announce()
		go func() {
			ticker := time.NewTicker(heartbeatEvery)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					announce()
				}
			}
		}()
	}
	s.workers += n
}

// submitJob submits a job with a new name on a connection of its own.
func submitJob(t *target, token, body string) error {
	request, err := newSubmission(t.address, token, body)
	if err != nil {
		return err
	}
	return doOK(request)
}

// newSubmission returns a request that submits a job with a new name.
func newSubmission(address, token, body string) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/batch/%016x", address, submissions.Add(1))
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = jobsHost
	request.Header.Set("Authorization", "Token "+token)
	return request, nil
}

// checkBounds checks that daemons live within their memory and, if they were observed, their
// descriptors.
func checkBounds(daemons []target, descriptors []func() int) {
	for i, d := range daemons {
		Expect(d.process.Running()).To(BeTrue(), "%s has ended", d.name)
		memory, open := peakMemory(d.process.PID()), 0
		if descriptors != nil {
			open = descriptors[i]()
		}
		GinkgoWriter.Printf("%s\n", d.process.Logs())
		AddReportEntry("peak of "+d.name, fmt.Sprintf("%d MB, %d descriptors", memory>>20, open), ReportEntryVisibilityAlways)
		Expect(memory>>20).To(BeNumerically("<=", memoryLimitMB), "MB of memory of %s", d.name)
		Expect(open).To(BeNumerically("<=", d.descriptors), "descriptors of %s", d.name)
	}
}

func observeAll(daemons []target) (descriptors []func() int) {
	for _, d := range daemons {
		descriptors = append(descriptors, observeDescriptors(d.process.PID()))
	}
	return descriptors
}
