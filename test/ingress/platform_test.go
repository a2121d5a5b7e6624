package ingress

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/platform"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	jobsHost     = "jobs.example"
	callerTokens = 8 // number of organisations, each with one token
)

var _ = Describe("Platform daemon", func() {
	for _, l := range append(slices.Clone(loads), slowReads) {
		It("stays within its limits with "+l.title, func() { startPlatform().checkUnderLoad(l) })
	}
})

// startPlatform starts a platform daemon over a stand-in for the store.
func startPlatform() target {
	store := standinfleet.NewStore()
	slow := &atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			time.Sleep(storeDelay)
		}
		store.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	DeferCleanup(server.CloseClientConnections)
	t := target{slowStore: slow, path: "/batch/00000000000000aa", host: jobsHost, scheme: "Token", body: `{"steps":[{"count":1}]`,
		smallValues: `{"steps":[{}` + strings.Repeat(",{}", bodyBytes/3-8) + `]}`, descriptors: platformDescriptors}
	var organisations []map[string]any
	for i := range callerTokens {
		t.tokens = append(t.tokens, fmt.Sprintf("token-%d", i))
		organisations = append(organisations, map[string]any{"name": fmt.Sprintf("callers-%d", i), "api_keys": t.tokens[i:]})
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "tenants": organisations, "services": []map[string]any{{"name": "gpu"}},
		"routes": []map[string]any{{"name": "batch", "host": jobsHost, "path_prefix": "/batch/", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": 1, "backend": "gpu", "max_attempts": 3, "stretch": 3}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	Expect(err).NotTo(HaveOccurred())
	store.Put("op", "", "config", configuration)

	front, ready := freeAddress(), freeAddress()
	file := filepath.Join(GinkgoT().TempDir(), "daemon.conf")
	Expect(os.WriteFile(file, []byte(fmt.Sprintf(`node=edge-1
ip=127.0.0.1
zone=zone-0
listen.front=%s
listen.ready=%s
port_range=%s
limits.cpu_share=0.4
limits.cores=1
limits.link_mbps=1000
limits.memory_mb=%d
limits.max_fds=%d
bounds.grace_s=6
bounds.status_s=120
bounds.max_hold_ms=6000
platform.address=%s
`, front, ready, freePortRange(), memoryLimitMB, platformDescriptors, server.Listener.Addr())), 0o600)).To(Succeed())
	binaries, err := harness.Build()
	Expect(err).NotTo(HaveOccurred())
	t.process, err = harness.Start(harness.Command{Name: "edge-1", Path: binaries.Daemon, Arguments: []string{"platform"}, Env: []string{platform.SettingsEnv + "=" + file}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.process.Stop)
	t.address = front
	t.healthCheck = func() error { return getOK("http://" + ready) }
	t.submit = func() error { return submitSmallJob(front, t.tokens[0]) }
	Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
	return t
}

var submissions atomic.Int64

// submitSmallJob submits a job of one task on a connection of its own.
func submitSmallJob(address, token string) error {
	url := fmt.Sprintf("http://%s/batch/%016x", address, submissions.Add(1))
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"spec":"small","steps":[{"count":1,"cpu":100,"estimate_ms":10}]}`)))
	if err != nil {
		return err
	}
	request.Host = jobsHost
	request.Header.Set("Authorization", "Token "+token)
	return doOK(request)
}

func getOK(url string) error {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	return doOK(request)
}

// doOK sends a request on a connection of its own. A status other than 200 is an error.
func doOK(request *http.Request) error {
	request.Close = true
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the daemon answered with status %d", response.StatusCode)
	}
	return nil
}

func freeAddress() string {
	address, err := harness.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// freePortRange returns a port range whose first two ports are free, for the settings.
func freePortRange() string {
	port := func() int {
		_, text, err := net.SplitHostPort(freeAddress())
		Expect(err).NotTo(HaveOccurred())
		n, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	first, second := port(), port()
	for second != first+1 {
		first, second = second, port()
	}
	return fmt.Sprintf("%d,%d", first, second)
}
