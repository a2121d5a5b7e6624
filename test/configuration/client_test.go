package configuration

import (
	"context"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// writeTimeout is longer than a daemon tries to resolve the outcome of a change whose
	// answer from the store was lost.
	writeTimeout = 12 * time.Second
	// readTimeout bounds a read, because a paused daemon does not answer.
	readTimeout = 2 * time.Second
	// envDaemon names the environment variable with the path of another samphirepathd
	// binary to test. Running the specs with a binary that lacks a safeguard shows that
	// they detect the missing safeguard.
	envDaemon = "SAMPHIREPATH_TEST_DAEMON"
)

func daemonPath() string { return os.Getenv(envDaemon) }

// answer decodes either a problem or the revision of a configuration head.
type answer struct {
	api.Problem
	Revision int64 `json:"revision"`
}

// apply applies the catalogue of a change through a daemon, on top of the expected
// revision. It returns status 0 without an answer.
func apply(ctx context.Context, d *harness.Daemon, expected int64, id changeID) (int, answer) {
	return applyAt(ctx, d.OperatorsURL(), expected, id)
}

func applyAt(ctx context.Context, url string, expected int64, id changeID) (int, answer) {
	var out answer
	status := client.Do(ctx, writeTimeout, http.MethodPut, url+"/v1/catalogue", harness.OperatorToken,
		api.CatalogueApply{ExpectedRevision: expected, Catalogue: id.catalogue(), ChangedBy: "test"}, &out)
	return status, out
}

// changeZone changes the state of a zone through a daemon and returns the new revision.
func changeZone(ctx context.Context, d *harness.Daemon, zone string, state api.ZoneState) int64 {
	GinkgoHelper()
	var out answer
	status := client.Do(ctx, writeTimeout, http.MethodPut, d.OperatorsURL()+"/v1/zones/"+zone, harness.OperatorToken,
		api.ZoneChange{State: state, ChangedBy: "test"}, &out)
	Expect(status).To(Equal(http.StatusOK), out.Detail)
	return out.Revision
}

// readStored reads the newest revision from the store through a daemon, and reports
// whether it could be read.
func readStored(ctx context.Context, d *harness.Daemon) (int64, bool) {
	var out api.ConfigurationList
	status := client.Do(ctx, readTimeout, http.MethodGet, d.OperatorsURL()+"/v1/catalogue/history?limit=1", harness.OperatorToken, nil, &out)
	if status != http.StatusOK {
		return 0, false
	}
	if len(out.Heads) == 0 {
		return 0, true
	}
	return out.Heads[0].Revision, true
}

// storedRevision returns the newest revision in the store.
func storedRevision(ctx context.Context) int64 {
	GinkgoHelper()
	var revision int64
	Eventually(func() (ok bool) {
		revision, ok = readStored(ctx, cluster.Daemons[0])
		return ok
	}, inForceTimeout, pollEvery).Should(BeTrue())
	return revision
}

func statusOf(ctx context.Context, d *harness.Daemon) (api.Status, bool) {
	var out api.Status
	return out, client.Do(ctx, readTimeout, http.MethodGet, d.OperatorsURL()+"/v1/status", harness.OperatorToken, nil, &out) == http.StatusOK
}

// revisionInForce returns the revision in force on a daemon, or -1 without an answer.
func revisionInForce(ctx context.Context, d *harness.Daemon) int64 {
	status, ok := statusOf(ctx, d)
	if !ok {
		return -1
	}
	return status.Revision
}
