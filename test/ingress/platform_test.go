package ingress

import (
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
	t := newPlatformTarget("edge-1", server.Listener.Addr().String(), platformDescriptors, putConfiguration(store))
	t.slowStore = slow
	t.start()
	Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
	return t
}

// putConfiguration stores a configuration with one queue and callerTokens organisations. It
// returns their tokens.
func putConfiguration(store *standinfleet.Store) (tokens []string) {
	var organisations []map[string]any
	for i := range callerTokens {
		tokens = append(tokens, fmt.Sprintf("token-%d", i))
		organisations = append(organisations, map[string]any{"name": fmt.Sprintf("callers-%d", i), "api_keys": tokens[i:]})
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "tenants": organisations, "services": []map[string]any{{"name": "gpu"}},
		"routes": []map[string]any{{"name": "batch", "host": jobsHost, "path_prefix": "/batch/", "timeout_ms": 3000,
			"target_duration_ms": 1000, "priority": 1, "backend": "gpu", "max_attempts": 3, "stretch": 3}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	Expect(err).NotTo(HaveOccurred())
	store.Put("op", "", "config", configuration)
	return tokens
}

// newPlatformTarget writes the settings of a platform daemon that is not running yet.
func newPlatformTarget(name, storeAddress string, descriptors int, tokens []string) target {
	front, ready := freeAddress(), freeAddress()
	ports, peers := freePortRange()
	t := target{name: name, slowStore: &atomic.Bool{}, path: "/batch/00000000000000aa", host: jobsHost, scheme: "Token", body: `{"steps":[{"count":1}]`,
		smallValues: `{"steps":[{}` + strings.Repeat(",{}", bodyBytes/3-8) + `]}`, descriptors: descriptors,
		tokens: tokens, address: front, peerAddress: peers, settingsFile: filepath.Join(GinkgoT().TempDir(), "daemon.conf")}
	Expect(os.WriteFile(t.settingsFile, []byte(fmt.Sprintf(`node=%s
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
`, name, front, ready, ports, memoryLimitMB, descriptors, storeAddress)), 0o600)).To(Succeed())
	t.healthCheck = func() error { return getOK("http://" + ready) }
	t.submit = func() error { return submitJob(&t, tokens[0], smallJob) }
	return t
}

// start starts the process of a platform daemon.
func (t *target) start() {
	binaries, err := harness.Build()
	Expect(err).NotTo(HaveOccurred())
	t.process, err = harness.Start(harness.Command{Name: t.name, Path: binaries.Daemon, Arguments: []string{"platform"}, Env: []string{platform.SettingsEnv + "=" + t.settingsFile}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.process.Stop)
}

var submissions atomic.Int64

// smallJob is the body of a submission of one task.
const smallJob = `{"spec":"small","steps":[{"count":1,"cpu":100,"estimate_ms":10}]}`

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

// freePortRange returns a port range whose first two ports are free, for the settings, and
// the address of the second one, on which peers connect.
func freePortRange() (ports, peerAddress string) {
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
	return fmt.Sprintf("%d,%d", first, second), fmt.Sprintf("127.0.0.1:%d", second)
}
