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
	// writeWait is longer than a daemon settles a change whose answer was lost.
	writeWait = 12 * time.Second
	// readWait bounds a read; a frozen daemon does not answer.
	readWait = 2 * time.Second
	// envDaemon names another binary of the daemon, to see the specs fail with a
	// guard taken out.
	envDaemon = "SAMPHIREPATH_TEST_DAEMON"
)

func daemonPath() string { return os.Getenv(envDaemon) }

// answer holds the fields of a head and of a problem that the specs use.
type answer struct {
	api.Problem
	Revision int64 `json:"revision"`
}

// apply makes a change through a daemon.
func apply(ctx context.Context, d *harness.Daemon, expected int64, m mark) (int, answer) {
	return applyAt(ctx, d.OperatorsURL(), expected, m)
}

func applyAt(ctx context.Context, url string, expected int64, m mark) (int, answer) {
	var out answer
	status := client.Do(ctx, writeWait, http.MethodPut, url+"/v1/catalogue", harness.OperatorToken,
		api.CatalogueApply{ExpectedRevision: expected, Catalogue: m.catalogue(), ChangedBy: "test"}, &out)
	return status, out
}

// changeZone changes the state of a zone through a daemon.
func changeZone(ctx context.Context, d *harness.Daemon, zone string, state api.ZoneState) int64 {
	GinkgoHelper()
	var out answer
	status := client.Do(ctx, writeWait, http.MethodPut, d.OperatorsURL()+"/v1/zones/"+zone, harness.OperatorToken,
		api.ZoneChange{State: state, ChangedBy: "test"}, &out)
	Expect(status).To(Equal(http.StatusOK), out.Detail)
	return out.Revision
}

// readStored reads the newest revision from the store through a daemon.
func readStored(ctx context.Context, d *harness.Daemon) (int64, bool) {
	var out api.ConfigurationList
	status := client.Do(ctx, readWait, http.MethodGet, d.OperatorsURL()+"/v1/catalogue/history?limit=1", harness.OperatorToken, nil, &out)
	if status != http.StatusOK {
		return 0, false
	}
	if len(out.Heads) == 0 {
		return 0, true
	}
	return out.Heads[0].Revision, true
}

// stored is the newest revision of the store.
func stored(ctx context.Context) int64 {
	GinkgoHelper()
	var revision int64
	Eventually(func() (ok bool) {
		revision, ok = readStored(ctx, cluster.Daemons[0])
		return ok
	}, inForceWait, pollEvery).Should(BeTrue())
	return revision
}

func statusOf(ctx context.Context, d *harness.Daemon) (api.Status, bool) {
	var out api.Status
	return out, client.Do(ctx, readWait, http.MethodGet, d.OperatorsURL()+"/v1/status", harness.OperatorToken, nil, &out) == http.StatusOK
}

// held is the revision in force on a daemon, -1 without an answer.
func held(ctx context.Context, d *harness.Daemon) int64 {
	status, ok := statusOf(ctx, d)
	if !ok {
		return -1
	}
	return status.Revision
}
