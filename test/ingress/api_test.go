package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	jobEntry = "survey"
	// otherEntry belongs to the second organisation.
	otherEntry = "census"
)

var _ = Describe("Daemon of the own API", func() {
	for _, l := range loads {
		It("stays within its limits with "+l.title, func(ctx SpecContext) { startAPI(ctx).checkUnderLoad(l) }, NodeTimeout(2*time.Minute))
	}
})

// startAPI starts a daemon of the own API over the stand-in of its platform.
func startAPI(ctx context.Context) target {
	cluster, err := harness.StartCluster(ctx, harness.Options{
		Zones:  []harness.Zone{{Name: "north", Region: "r1", Daemons: 1, Workers: 1, Worker: standin.WorkerConfig{Cores: 64, MemoryMB: 131072}}},
		Adjust: func(s *api.Settings) { s.Limits.MaxBodyBytes = bodyBytes },
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Stop)
	d := cluster.Daemons[0]
	t := target{name: "daemon", slowStore: &atomic.Bool{}, process: d.Process, peerAddress: d.Settings.Listen.Peers, address: d.Settings.Listen.Callers, path: "/v1/jobs", host: d.Settings.Listen.Callers, scheme: "Bearer",
		body:        `{"key":"load","name":"load","entry":"` + jobEntry + `","tasks":1`,
		smallValues: `{"zones":[""` + strings.Repeat(`,""`, bodyBytes/3-8) + `]}`, descriptors: apiDescriptors}
	catalogue := api.Catalogue{
		Teams:   []api.Team{},
		Classes: []api.Class{{Name: "batch", Urgency: api.Batch, Adjacency: api.AdjacencyZone}},
		Entries: []api.Entry{{Name: jobEntry, Kind: api.EntryKindJob, Owner: "callers-0", Class: "batch"}, {Name: otherEntry, Kind: api.EntryKindJob, Owner: "callers-1", Class: "batch"}},
	}
	for i := range callerTokens {
		t.tokens = append(t.tokens, fmt.Sprintf("token-%d", i))
		catalogue.Organisations = append(catalogue.Organisations, api.Organisation{Name: fmt.Sprintf("callers-%d", i), TokenSha256: harness.TokenHash(t.tokens[i])})
	}
	_, err = client.Call[api.ConfigurationHead](d.OperatorsURL(), harness.OperatorToken, func(c *api.Client) (*http.Response, error) {
		return c.ApplyCatalogue(ctx, api.CatalogueApply{Catalogue: catalogue, ChangedBy: "test"})
	})
	Expect(err).NotTo(HaveOccurred())
	submit := func(token, entry string) error {
		key := fmt.Sprintf("small-%d", submissions.Add(1))
		spec := api.JobSpec{Key: key, Name: key, Entry: entry, Tasks: 1, Resources: api.Resources{Cores: 1, MemoryMb: 64},
			Parameters: map[string]string{standin.ParamRunMs: "10"}}
		status := client.Do(ctx, 5*time.Second, http.MethodPost, d.CallersURL()+"/v1/jobs", token, spec, nil)
		if status != http.StatusCreated {
			return eris.Errorf("the daemon answered with status %d", status)
		}
		return nil
	}
	t.submit = func() error { return submit(t.tokens[0], jobEntry) }
	t.submitOther = func() error { return submit(t.tokens[1], otherEntry) }
	t.healthCheck = func() error { return getOK(d.OperatorsURL() + "/readyz") }
	Eventually(t.submit).WithTimeout(answerTimeout).Should(Succeed())
	return t
}
