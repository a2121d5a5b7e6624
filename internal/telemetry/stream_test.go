package telemetry_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// blockingWriter is an output whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func newBlockingWriter() *blockingWriter { return &blockingWriter{open: make(chan struct{})} }

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []map[string]any
	for line := range strings.SplitSeq(strings.TrimSpace(w.text.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		out = append(out, fields)
	}
	return out
}

// Guards against a daemon that hangs because nothing reads its log output.
func TestStreamLoggerDoesNotBlockOnSlowReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newBlockingWriter()
	log, flush, err := telemetry.NewStreamLogger(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const lines = 10000
	start := time.Now()
	for i := range lines {
		log.Info("Line " + strconv.Itoa(i))
	}
	flush()
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 3*time.Second))
	close(out.open)
	g.Eventually(func() string {
		out.mu.Lock()
		defer out.mu.Unlock()
		return out.text.String()
	}).Should(gomega.ContainSubstring("Lines dropped."))
	dropped, delivered := 0, 0
	for _, fields := range out.lines(t) {
		if fields["message"] == "Lines dropped." {
			dropped += int(fields["lines"].(float64))
			continue
		}
		delivered++
	}
	g.Expect(delivered + dropped).To(gomega.Equal(lines))
}

// Guards against a log that grows with the request load.
func TestStreamLoggerSamplesRepeatedLines(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newBlockingWriter()
	close(out.open)
	log, flush, err := telemetry.NewStreamLogger(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const lines = 2000
	for i := range lines {
		log.Info("Submission answered.", zap.Int("job", i))
	}
	log.Warn("Store lost.")
	flush()
	got := out.lines(t)
	g.Expect(len(got)).To(gomega.BeNumerically("<", lines/2))
	g.Expect(got[len(got)-1]["message"]).To(gomega.Equal("Store lost."))
}
