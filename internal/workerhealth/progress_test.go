package workerhealth_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

// Guards against runs that are stopped although they advance, wait for their gang, last, or
// stand still with all others, and against hung runs that are not found.
func TestHungRuns(t *testing.T) {
	start := time.Unix(1000, 0)
	// run is work that was seen every second until 40 s. Its progress went from one percent to
	// the next in a number of seconds, up to a time.
	run := func(worker string, perPercent, until int, change func(*workerhealth.Work)) workerhealth.Work {
		w := workerhealth.Work{Kind: "k", Service: "s", Workers: []string{worker}, Eligible: true, CompleteAt: start, Expected: 20 * time.Second}
		for second := range 41 {
			w.Progress.Report(int64(min(second, until)/perPercent), start.Add(time.Duration(second)*time.Second))
		}
		if change != nil {
			change(&w)
		}
		return w
	}
	advances := run("a", 1, 40, nil)
	for _, c := range []struct {
		name   string
		work   workerhealth.Work
		others []workerhealth.Work
		hung   bool
	}{
		{"advances", run("b", 1, 40, nil), []workerhealth.Work{advances}, false},
		{"stands still", run("b", 1, 30, nil), []workerhealth.Work{advances}, true},
		{"has never advanced", run("b", 1, 0, nil), []workerhealth.Work{advances}, true},
		{"for less than a quarter of the run time", run("b", 1, 36, nil), []workerhealth.Work{advances}, false},
		{"has never advanced, of unknown run time", run("b", 1, 0, func(w *workerhealth.Work) { w.Expected = 0 }), []workerhealth.Work{advances}, false},
		{"for less than 2 s, short", run("b", 1, 39, func(w *workerhealth.Work) { w.Expected = time.Second }), []workerhealth.Work{advances}, false},
		{"for 2 s, short", run("b", 1, 36, func(w *workerhealth.Work) { w.Expected = time.Second }), []workerhealth.Work{advances}, true},
		{"slow straggler", run("b", 6, 35, nil), []workerhealth.Work{advances}, false},
		{"not eligible", run("b", 1, 30, func(w *workerhealth.Work) { w.Eligible = false }), []workerhealth.Work{advances}, false},
		{"just complete", run("b", 1, 0, func(w *workerhealth.Work) { w.CompleteAt = start.Add(37 * time.Second) }), []workerhealth.Work{advances}, false},
		{"is about to end", run("b", 1, 30, func(w *workerhealth.Work) { w.Progress.Percent = 100 }), []workerhealth.Work{advances}, false},
		{"was moved twice", run("b", 1, 21, func(w *workerhealth.Work) { w.Moves = 2 }), []workerhealth.Work{advances}, false},
		{"was moved twice, for longer", run("b", 1, 19, func(w *workerhealth.Work) { w.Moves = 2 }), []workerhealth.Work{advances}, true},
		{"was moved often", run("b", 1, 30, func(w *workerhealth.Work) { w.Moves = workerhealth.MaxMoves }), []workerhealth.Work{advances}, false},
		{"alone", run("b", 1, 30, nil), nil, false},
		{"with the only other on the same worker", run("a", 1, 30, nil), []workerhealth.Work{advances}, false},
		{"with all of its kind", run("b", 1, 30, nil), []workerhealth.Work{run("c", 1, 30, nil), run("a", 1, 40, func(w *workerhealth.Work) { w.Kind = "other" })}, false},
		{"alone of its kind", run("b", 1, 30, nil), []workerhealth.Work{run("a", 1, 40, func(w *workerhealth.Work) { w.Kind = "other" })}, true},
		{"of another service", run("b", 1, 30, nil), []workerhealth.Work{run("a", 1, 40, func(w *workerhealth.Work) { w.Service = "other" })}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := false
			for _, h := range workerhealth.FindHung(append([]workerhealth.Work{c.work}, c.others...), 10) {
				found = found || h.Work == 0
			}
			gomega.NewWithT(t).Expect(found).To(gomega.Equal(c.hung))
		})
	}
	t.Run("suspects of a gang", func(t *testing.T) {
		g := gomega.NewWithT(t)
		gang := run("b", 1, 30, func(w *workerhealth.Work) { w.Workers = []string{"a", "b", "c", "b"} })
		work := []workerhealth.Work{gang, advances, run("d", 1, 40, nil)}
		g.Expect(workerhealth.FindHung(work, 10)).To(gomega.Equal([]workerhealth.HungWork{{Work: 0, Suspects: []string{"b", "c"}, Share: 0.5}}))
	})
	t.Run("beside work that advances", func(t *testing.T) {
		g := gomega.NewWithT(t)
		work := []workerhealth.Work{run("a", 1, 30, nil), advances, run("d", 1, 40, nil)}
		g.Expect(workerhealth.FindHung(work, 10)).To(gomega.Equal([]workerhealth.HungWork{{Work: 0, Suspects: []string{"a"}, Share: 0.4}}))
	})
	t.Run("bounded", func(t *testing.T) {
		g := gomega.NewWithT(t)
		work := []workerhealth.Work{run("b", 1, 30, nil), advances, run("c", 1, 20, nil), run("d", 1, 25, nil)}
		hung := workerhealth.FindHung(work, 2)
		g.Expect(hung).To(gomega.HaveLen(2))
		g.Expect([]int{hung[0].Work, hung[1].Work}).To(gomega.Equal([]int{2, 3}), "the longest first")
	})
}
