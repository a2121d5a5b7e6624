package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a worker that fails some of its tasks and loses its suspect state
// with each task that it completes.
func TestWorkersThatFailPartOfTheirTasks(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		events   string // f for a failure, s for a success
		suspect  time.Duration
		excluded bool
	}{
		{"no failure", "sss", 0, false},
		{"one failure", "f", suspectAfterFirst, false},
		{"a success after a failure", "fs", suspectAfterFirst, false},
		{"two in a row", "ff", suspectAfterRepeated, false},
		{"every second one", "fsfs", suspectAfterFirst, false},
		{"two of three", "ffsff", suspectAfterRepeated, true},
		{"three in a row", "fff", suspectAfterRepeated, true},
		{"three in a row, then three successes", "fffsss", suspectAfterRepeated, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := &workerState{}
			for _, event := range c.events {
				if event == 'f' {
					w.recordFailure(now)
				} else {
					w.recordSuccess()
				}
			}
			suspect := time.Duration(0)
			if !w.suspectUntil.IsZero() {
				suspect = w.suspectUntil.Sub(now)
			}
			g.Expect(suspect).To(gomega.Equal(c.suspect))
			g.Expect(w.failures >= excludeThreshold).To(gomega.Equal(c.excluded))
		})
	}
}
