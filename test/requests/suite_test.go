// Package requests_test checks the invariants of requests under faults, with
// processes of samphirepathd and of the stand-in for the platform.
package requests_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/test/harness"
)

// envDaemon names the environment variable with the path of another samphirepathd
// binary to test. Running the specs with a binary that lacks a safeguard shows that they
// detect the missing safeguard.
const envDaemon = "SAMPHIREPATH_TEST_DAEMON"

func TestRequests(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "requests", suite, reporter)
}

var _ = ginkgo.BeforeSuite(func() {
	_, err := harness.Build()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(func() { gomega.Expect(harness.RemoveBinaries()).To(gomega.Succeed()) })

func daemonPath() string { return os.Getenv(envDaemon) }

// report prints measured figures, even if the spec passes.
func report(name, format string, values ...any) {
	fmt.Printf("figures: %s: %s\n", name, fmt.Sprintf(format, values...))
}
