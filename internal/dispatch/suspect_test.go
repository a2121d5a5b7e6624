package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a worker that fails part of its tasks and is trusted anew after
// each one that it does.
func TestWorkersThatFailPartOfTheirTasks(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		events   string // f for a failure, s for a success
		suspect  time.Duration
		excluded bool
	}{
		{"sound", "sss", 0, false},
		{"one failure", "f", suspectShort, false},
		{"a success after a failure", "fs", suspectShort, false},
		{"two in a row", "ff", suspectLong, false},
		{"every second one", "fsfs", suspectShort, false},
		{"two of three", "ffsff", suspectLong, true},
		{"three in a row", "fff", suspectLong, true},
		{"three in a row, long ago", "fffsss", suspectLong, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := &host{}
			for _, event := range c.events {
				if event == 'f' {
					h.failed(now)
				} else {
					h.succeeded()
				}
			}
			suspect := time.Duration(0)
			if !h.suspect.IsZero() {
				suspect = h.suspect.Sub(now)
			}
			g.Expect(suspect).To(gomega.Equal(c.suspect))
			g.Expect(h.streak >= excludedAfter).To(gomega.Equal(c.excluded))
		})
	}
}
