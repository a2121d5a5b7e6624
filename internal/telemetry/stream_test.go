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

// gate is a reader of logs that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) lines(t *testing.T) []map[string]any {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []map[string]any
	for line := range strings.SplitSeq(strings.TrimSpace(g.text.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		out = append(out, fields)
	}
	return out
}

// Guards against a daemon that stops serving because nobody reads its logs.
func TestStreamLoggerDoesNotWaitForItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newGate()
	log, flush, err := telemetry.NewStreamLogger(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const lines = 10000
	began := time.Now()
	for i := range lines {
		log.Info("Line " + strconv.Itoa(i))
	}
	flush()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
	close(out.open)
	g.Eventually(func() string {
		out.mu.Lock()
		defer out.mu.Unlock()
		return out.text.String()
	}).Should(gomega.ContainSubstring("Lines dropped."))
	dropped, kept := 0, 0
	for _, fields := range out.lines(t) {
		if fields["message"] == "Lines dropped." {
			dropped += int(fields["lines"].(float64))
			continue
		}
		kept++
	}
	g.Expect(kept + dropped).To(gomega.Equal(lines))
}

// Guards against logs that grow with the load.
func TestStreamLoggerBoundsLinesOfOneKind(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newGate()
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
