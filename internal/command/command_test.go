package command

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

func respondWith(status int, value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}

func closedURL() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return "http://" + l.Addr().String()
}

var _ = Describe("Main", func() {
	// Scripts of operators distinguish "not run" from "unknown" by the exit code.
	DescribeTable("exit codes",
		func(handler http.HandlerFunc, want int) {
			server := httptest.NewServer(handler)
			defer server.Close()
			var out, errOut bytes.Buffer
			args := []string{"--server", server.URL, "request", "send", "rota", "--key", "k"}
			Expect(Main(args, &out, &errOut)).To(Equal(want), errOut.String())
		},
		Entry("ran", respondWith(200, api.RequestResult{Outcome: api.OutcomeRan}), exitDone),
		Entry("failed", respondWith(200, api.RequestResult{Outcome: api.OutcomeFailed}), exitFailed),
		Entry("unknown result", respondWith(200, api.RequestResult{Outcome: api.OutcomeUnknown}), exitUnknown),
		Entry("not run", respondWith(503, api.Problem{Status: 503, Outcome: api.OutcomeNotRun}), exitNotRun),
		Entry("key reused", respondWith(409, api.Problem{Status: 409, Outcome: api.OutcomeNotRun}), exitConflict),
		Entry("wrong token", respondWith(401, api.Problem{Status: 401, Outcome: api.OutcomeNotRun}), exitForbidden),
		Entry("not found", respondWith(404, api.Problem{Status: 404}), exitNotFound),
		Entry("error without a problem body", respondWith(500, "x"), exitUnknown),
		// Guards against a request that ran and is reported as failed.
		Entry("success with a broken body", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"outcome":"ra`))
		}, exitUnknown),
		Entry("connection cut after the request was sent", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, exitUnknown),
	)

	It("tries the next daemon when a connection is refused", func() {
		server := httptest.NewServer(respondWith(200, api.RequestResult{Outcome: api.OutcomeRan}))
		defer server.Close()
		var out, errOut bytes.Buffer
		args := []string{"--server", closedURL(), "--server", server.URL, "request", "send", "rota", "--key", "k"}
		Expect(Main(args, &out, &errOut)).To(Equal(exitDone), errOut.String())
	})

	It("exits with its own code when no daemon can be reached", func() {
		var out, errOut bytes.Buffer
		Expect(Main([]string{"--server", closedURL(), "job", "list"}, &out, &errOut)).To(Equal(exitUnreachable))
	})

	It("refuses a catalogue file with an unknown key without calling a daemon", func() {
		file := filepath.Join(GinkgoT().TempDir(), "catalogue.toml")
		Expect(os.WriteFile(file, []byte("[[organisations]]\nname=\"a\"\nquota=3\n"), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		Expect(Main([]string{"catalogue", "apply", file}, &out, &errOut)).To(Equal(exitUsage))
		Expect(errOut.String()).To(ContainSubstring("quota"))
	})
})
