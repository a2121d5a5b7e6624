package product

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/test/harness"
)

var _ = Describe("settings", func() {
	// Guards against a check that stops at the first error: an operator who is shown
	// one error at a time must restart a daemon once per error.
	It("reports three errors of a file at once and starts no daemon", func() {
		binaries, err := harness.Build()
		Expect(err).NotTo(HaveOccurred())
		text, err := os.ReadFile("../../examples/samphirepathd.toml")
		Expect(err).NotTo(HaveOccurred())
		broken := strings.NewReplacer(`poll_every = "500ms"`, `poll_every = "500"`, `callers = "127.0.0.1:8080"`, `callers = "localhost:8080"`,
			`level = "info"`, `verbosity = "info"`).Replace(string(text))
		file := filepath.Join(GinkgoT().TempDir(), "broken.toml")
		Expect(os.WriteFile(file, []byte(broken), 0o600)).To(Succeed())
		for _, subcommand := range []string{"check-settings", "run"} {
			output, err := exec.Command(binaries.Daemon, subcommand, file).CombinedOutput()
			var exitErr *exec.ExitError
			Expect(errors.As(err, &exitErr)).To(BeTrue())
			Expect(exitErr.ExitCode()).To(Equal(2))
			Expect(string(output)).To(And(ContainSubstring("poll_every"), ContainSubstring("callers"), ContainSubstring("verbosity")))
		}
	})

	// Guards against an example that daemons do not accept.
	It("accepts the example file", func() {
		binaries, err := harness.Build()
		Expect(err).NotTo(HaveOccurred())
		Expect(exec.Command(binaries.Daemon, "check-settings", "../../examples/samphirepathd.toml").Run()).To(Succeed())
	})
})

var _ = Describe("explain", func() {
	// Guards against an explanation that only says that a job waits, from which a
	// caller cannot decide which work to cancel, and against an explanation that
	// another organisation can read.
	It("names the reason why a gang waits, and what an organisation holds", func(ctx SpecContext) {
		submit := func(key string, accelerators int) string {
			status, body := call(ctx, http.MethodPost, cluster.Daemons[0].CallersURL()+"/v1/jobs", northToken, encode(jobSpec(key, accelerators)))
			Expect(status).To(Equal(http.StatusCreated), string(body))
			var accepted api.Job
			Expect(json.Unmarshal(body, &accepted)).To(Succeed())
			return accepted.ID
		}
		state := func(id string) func() string {
			return func() string {
				_, out, _ := runCommand(northToken, "job", "get", id)
				return out
			}
		}
		running := submit("holds", 4)
		Eventually(state(running), "8s", "50ms").Should(ContainSubstring("running"))
		waiting := submit("waits", 4) // the quota of the organisation is 6
		Eventually(func() string {
			_, out, _ := runCommand(northToken, "explain", waiting)
			return out
		}, "8s", "50ms").Should(And(ContainSubstring("quota"), ContainSubstring("6")))
		_, out, _ := runCommand(northToken, "explain", "north")
		Expect(out).To(ContainSubstring("4"))
		_, out, _ = runCommand(northToken, "explain", running)
		Expect(out).To(ContainSubstring("kiruna-worker-"))
		code, _, _ := runCommand(southToken, "explain", waiting)
		Expect(code).To(Equal(5), "another organisation must not see the job")
		for _, id := range []string{running, waiting} {
			code, _, errOut := runCommand(northToken, "job", "cancel", id)
			Expect(code).To(Equal(0), errOut)
		}
	})
})

var _ = Describe("traces", func() {
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"

	// Guards against a hop without the trace identifier of the caller: if the request is
	// slow there, the trace does not show it.
	It("shows each hop of a forwarded request under one trace identifier", func(ctx SpecContext) {
		// Right after its start each daemon considers itself the owner of the minion,
		// until it knows its peer.
		owners := func() map[string]bool {
			owners := map[string]bool{}
			for _, d := range cluster.Daemons {
				status, body := call(ctx, http.MethodGet, d.OperatorsURL()+"/v1/minions", harness.OperatorToken, nil)
				Expect(status).To(Equal(http.StatusOK))
				var list api.MinionList
				Expect(json.Unmarshal(body, &list)).To(Succeed())
				for _, m := range list.Minions {
					owners[m.Owner] = true
				}
			}
			return owners
		}
		Eventually(owners, "5s", "20ms").Should(HaveLen(1))
		// One of the two daemons forwards to the owner of the minion once both have
		// computed ownership from the same members.
		send := func() {
			for _, d := range cluster.Daemons {
				status, body := call(ctx, http.MethodPost, d.CallersURL()+"/v1/requests", northToken,
					encode(api.RequestSubmit{Entry: "plans", Key: "trace-" + d.ID(), Body: []byte(`{}`)}),
					"traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
				Expect(status).To(Equal(http.StatusOK), string(body))
			}
		}
		sendAndCount := func() map[string]int {
			send()
			counts := map[string]int{}
			for _, d := range cluster.Daemons {
				data, err := os.ReadFile(filepath.Join(d.Dir, d.ID()+".spans"))
				Expect(err).NotTo(HaveOccurred())
				for name, n := range countSpans(data, traceID) {
					counts[name] += n
				}
			}
			return counts
		}
		Eventually(sendAndCount, "10s", "100ms").Should(And(
			HaveKeyWithValue(HavePrefix("entry"), BeNumerically(">=", 2)),
			HaveKeyWithValue(ContainSubstring("peer"), BeNumerically(">=", 1)),
			HaveKeyWithValue(ContainSubstring("minion"), BeNumerically(">=", 2)),
		))
	})
})

// countSpans counts the spans of a trace by name in the output of the file exporter.
func countSpans(data []byte, traceID string) map[string]int {
	counts := map[string]int{}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	for {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if decoder.Decode(&span) != nil {
			return counts
		}
		if span.SpanContext.TraceID == traceID {
			counts[span.Name]++
		}
	}
}

var _ = Describe("metrics", func() {
	// Guards against metrics that Prometheus cannot scrape.
	It("serves the Prometheus text format with the processor time of the process", func(ctx SpecContext) {
		status, body := call(ctx, http.MethodGet, cluster.Daemons[0].OperatorsURL()+"/metrics", "", nil)
		Expect(status).To(Equal(http.StatusOK))
		Expect(string(body)).To(And(ContainSubstring("process_cpu_seconds_total"), ContainSubstring("samphirepath_configuration_revision")))
	})
})
