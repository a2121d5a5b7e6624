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

func answer(status int, value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}

func closedPort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return "http://" + l.Addr().String()
}

var _ = Describe("Main", func() {
	// A script on call relies on the exit code to tell "not run" from "unknown".
	DescribeTable("exit codes",
		func(handler http.HandlerFunc, want int) {
			server := httptest.NewServer(handler)
			defer server.Close()
			var out, errOut bytes.Buffer
			args := []string{"--server", server.URL, "request", "send", "rota", "--key", "k"}
			Expect(Main(args, &out, &errOut)).To(Equal(want), errOut.String())
		},
		Entry("ran", answer(200, api.RequestResult{Outcome: api.OutcomeRan}), exitDone),
		Entry("failed", answer(200, api.RequestResult{Outcome: api.OutcomeFailed}), exitFailed),
		Entry("unknown result", answer(200, api.RequestResult{Outcome: api.OutcomeUnknown}), exitUnknown),
		Entry("not run", answer(503, api.Problem{Status: 503, Outcome: api.OutcomeNotRun}), exitNotRun),
		Entry("key reused", answer(409, api.Problem{Status: 409, Outcome: api.OutcomeNotRun}), exitConflict),
		Entry("wrong token", answer(401, api.Problem{Status: 401, Outcome: api.OutcomeNotRun}), exitForbidden),
		Entry("not found", answer(404, api.Problem{Status: 404}), exitNotFound),
		Entry("an error that is no problem body", answer(500, "x"), exitUnknown),
		Entry("connection cut after the request was sent", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, exitUnknown),
	)

	It("tries the next daemon when a connection is refused", func() {
		server := httptest.NewServer(answer(200, api.RequestResult{Outcome: api.OutcomeRan}))
		defer server.Close()
		var out, errOut bytes.Buffer
		args := []string{"--server", closedPort(), "--server", server.URL, "request", "send", "rota", "--key", "k"}
		Expect(Main(args, &out, &errOut)).To(Equal(exitDone), errOut.String())
	})

	It("says that no daemon could be reached", func() {
		var out, errOut bytes.Buffer
		Expect(Main([]string{"--server", closedPort(), "job", "list"}, &out, &errOut)).To(Equal(exitUnreachable))
	})

	It("refuses a catalogue file with an unknown key before it calls a daemon", func() {
		file := filepath.Join(GinkgoT().TempDir(), "catalogue.toml")
		Expect(os.WriteFile(file, []byte("[[organisations]]\nname=\"a\"\nquota=3\n"), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		Expect(Main([]string{"catalogue", "apply", file}, &out, &errOut)).To(Equal(exitUsage))
		Expect(errOut.String()).To(ContainSubstring("quota"))
	})
})
