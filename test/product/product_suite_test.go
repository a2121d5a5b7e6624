// Package product tests what callers and operators observe of a running system:
// HTTP errors, settings errors, explanations, traces and metrics.
package product

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/command"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

func TestProduct(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "product")
}

const (
	northToken   = "north-token"
	southToken   = "south-token"
	startTimeout = 30 * time.Second
)

var cluster *harness.Cluster

// The zone has two daemons and a single minion, so that one daemon owns no minion
// and forwards requests to its peer.
var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	cluster, err = harness.StartCluster(ctx, harness.Options{
		Zones: []harness.Zone{{
			Name: "kiruna", Region: "norrbotten", Daemons: 2, Workers: 2, Minions: 1,
			Worker: standin.WorkerConfig{Rack: "r", Cores: 8, MemoryMB: 8192, Accelerators: 4},
		}},
		Adjust: func(s *api.Settings) {
			s.Traces = api.TraceSettings{Exporter: "file", File: s.Daemon.VM + ".spans", SamplePercent: 100}
			s.Limits.MaxBodyBytes = 4096
		},
	})
	Expect(err).NotTo(HaveOccurred())
	applyCatalogue(ctx)
}, NodeTimeout(startTimeout))

var _ = AfterSuite(func() {
	if cluster != nil {
		Expect(cluster.Stop()).To(Succeed())
	}
	Expect(harness.RemoveBinaries()).To(Succeed())
})

func applyCatalogue(ctx context.Context) {
	GinkgoHelper()
	catalogue := api.Catalogue{
		Organisations: []api.Organisation{
			{Name: "north", TokenSha256: harness.TokenHash(northToken), QuotaAccelerators: 6},
			{Name: "south", TokenSha256: harness.TokenHash(southToken)},
		},
		Teams:   []api.Team{},
		Classes: []api.Class{{Name: "standard", Urgency: api.Standard, Adjacency: api.AdjacencyZone}},
		Entries: []api.Entry{
			{Name: "plans", Kind: api.EntryKindService, Owner: "north", Class: "standard"},
			{Name: "refits", Kind: api.EntryKindJob, Owner: "north", Class: "standard"},
		},
	}
	status, _ := call(ctx, http.MethodPut, cluster.Daemons[0].OperatorsURL()+"/v1/catalogue", harness.OperatorToken,
		encode(api.CatalogueApply{Catalogue: catalogue, ChangedBy: "test"}))
	Expect(status).To(Equal(http.StatusOK))
	for _, d := range cluster.Daemons {
		Eventually(func() int {
			status, _ := call(ctx, http.MethodGet, d.CallersURL()+"/v1/jobs", northToken, nil)
			return status
		}, "5s", "20ms").Should(Equal(http.StatusOK))
	}
}

// call makes one HTTP call and returns the status and the body.
func call(ctx context.Context, method, url, token string, body []byte, headers ...string) (int, []byte) {
	GinkgoHelper()
	response := callRaw(ctx, method, url, token, body, headers...)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, data
}

func callRaw(ctx context.Context, method, url, token string, body []byte, headers ...string) *http.Response {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	return response
}

// runCommand runs the command line against the first daemon and returns its exit
// code and output.
func runCommand(token string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"--server", cluster.Daemons[0].CallersURL(), "--token", token}, args...)
	code = command.Main(all, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}
