package telemetry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("telemetry", func() {
	It("serves process metrics and counters to a scraper", func() {
		m, err := telemetry.NewMetrics(map[string]string{"vm": "entry-1"}, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(m.Close()).To(Succeed()) }()
		telemetry.ControlSent(m.Scope, "table").Inc(7)
		scrape := func() []string {
			answer := httptest.NewRecorder()
			m.Handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return strings.Split(answer.Body.String(), "\n")
		}
		Eventually(scrape).WithTimeout(5 * time.Second).Should(ContainElements(
			HavePrefix("process_cpu_seconds_total "),
			HavePrefix("process_resident_memory_bytes "),
			Equal(`samphirepath_control_sent_bytes{channel="table",vm="entry-1"} 7`),
		))
	})

	It("flushes spans to the file on shutdown", func() {
		file := filepath.Join(GinkgoT().TempDir(), "traces.json")
		traces, err := telemetry.NewTraces(context.Background(),
			api.TraceSettings{Exporter: "file", File: file, SamplePercent: 100}, "entry-1", "a")
		Expect(err).NotTo(HaveOccurred())
		ctx, span := traces.Tracer("peers").Start(context.Background(), "call")
		parent := telemetry.Traceparent(ctx)
		Expect(parent).To(HaveLen(55))
		Expect(telemetry.Traceparent(telemetry.WithTraceparent(context.Background(), parent))).To(Equal(parent))
		span.End()
		Expect(traces.Shutdown(context.Background())).To(Succeed())
		Expect(os.ReadFile(file)).To(ContainSubstring(`"Name":"call"`))
	})

	It("starts with the exporter otlp while its receiver is unavailable", func() {
		traces, err := telemetry.NewTraces(context.Background(),
			api.TraceSettings{Exporter: "otlp", OtlpURL: "http://127.0.0.1:1"}, "entry-1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(traces.Shutdown(context.Background())).To(Succeed())
	})

	It("rejects unknown levels, formats and exporters", func() {
		_, err := telemetry.NewLogger(api.LogSettings{Level: "loud", Format: "json"})
		Expect(err).To(HaveOccurred())
		_, err = telemetry.NewLogger(api.LogSettings{Level: "info", Format: "xml"})
		Expect(err).To(HaveOccurred())
		_, err = telemetry.NewTraces(context.Background(), api.TraceSettings{Exporter: "fax"}, "", "")
		Expect(err).To(HaveOccurred())
		logger, err := telemetry.NewLogger(api.LogSettings{Level: "warn", Format: "console"})
		Expect(err).NotTo(HaveOccurred())
		Expect(telemetry.Named(logger, "peers").Name()).To(Equal("peers"))
	})
})
