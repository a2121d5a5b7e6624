package main

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/test/harness"
)

func TestSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "soak")
}

var _ = ginkgo.AfterSuite(func() { gomega.Expect(harness.RemoveBinaries()).To(gomega.Succeed()) })

const (
	// shortSeeds from firstSeed on are played in each run of the tests.
	firstSeed     = 20261204
	shortSeeds    = 3
	shortDuration = 12 * time.Second
)

var _ = ginkgo.It("keeps the promises under a few random faults and on seeds that failed before", func() {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	short := options{Seed: firstSeed, Seeds: shortSeeds, Duration: shortDuration, Jobs: shortSeeds, Out: ginkgo.GinkgoT().TempDir()}
	gomega.Expect(runAll(ctx, short)).To(gomega.BeZero())
	again := options{Repeat: true, Duration: shortDuration, Jobs: shortSeeds, Out: ginkgo.GinkgoT().TempDir()}
	gomega.Expect(runAll(ctx, again)).To(gomega.BeZero())
})

var _ = ginkgo.It("draws the same faults for a seed", func() {
	o := options{Duration: time.Minute}
	first, second := scenarioOf(7, len(faultKinds), o), scenarioOf(7, len(faultKinds), o)
	gomega.Expect(len(first.faults)).To(gomega.BeNumerically(">", 10))
	for i, f := range first.faults {
		gomega.Expect(second.faults[i].String()).To(gomega.Equal(f.String()))
		gomega.Expect(second.faults[i].at).To(gomega.Equal(f.at))
	}
	gomega.Expect(scenarioOf(8, len(faultKinds), o).faults).NotTo(gomega.HaveLen(len(first.faults)))
})

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// record is a run of a task that began and ended at seconds after start; no end while
// it runs.
func record(worker string, run int64, began, ended int, how string, noted bool) standinfleet.RunRecord {
	r := standinfleet.RunRecord{RunKey: standinfleet.RunKey{Task: "t", Run: run}, Worker: worker, EndReason: how, Acknowledged: noted}
	r.Started = start.Add(time.Duration(began) * time.Second)
	if how != "" {
		r.Ended = start.Add(time.Duration(ended) * time.Second)
	}
	return r
}

// Guards against a soak that sees nothing.
var _ = ginkgo.DescribeTable("pairs of runs of a task", func(first, second standinfleet.RunRecord, want int) {
	w := &world{}
	c := &checker{world: w, said: map[string]bool{}}
	c.checkPair("t", first, second)
	gomega.Expect(w.broken).To(gomega.HaveLen(want))
},
	ginkgo.Entry("one after the other", record("a", 1, 0, 5, "stopped", true), record("b", 2, 5, 9, "done", true), 0),
	ginkgo.Entry("at the same time", record("a", 1, 0, 5, "stopped", true), record("b", 2, 4, 9, "done", true), 1),
	ginkgo.Entry("beside one that runs on", record("a", 1, 0, 0, "", false), record("b", 2, 4, 9, "done", true), 1),
	ginkgo.Entry("again after it was done", record("a", 1, 0, 5, "done", true), record("b", 2, 6, 9, "done", true), 1),
	ginkgo.Entry("again after an end that was lost with its worker", record("a", 1, 0, 5, "done", false), record("b", 2, 6, 9, "done", true), 0),
	ginkgo.Entry("again after it failed", record("a", 1, 0, 5, "failed", true), record("a", 2, 5, 9, "done", true), 0),
)

var _ = ginkgo.DescribeTable("the end of a job", func(last string, runs []standinfleet.RunRecord, want int) {
	w := &world{}
	c := &checker{world: w, said: map[string]bool{}}
	c.checkEnd(&job{id: "j", tasks: []string{"t"}, last: last}, map[string][]standinfleet.RunRecord{"t": runs})
	gomega.Expect(w.broken).To(gomega.HaveLen(want))
},
	ginkgo.Entry("completed", "completed", []standinfleet.RunRecord{record("a", 1, 0, 5, "done", true)}, 0),
	ginkgo.Entry("completed without a run", "completed", nil, 1),
	ginkgo.Entry("completed after a run that did not end well", "completed", []standinfleet.RunRecord{record("a", 1, 0, 5, "lapsed", true)}, 1),
	ginkgo.Entry("cancelled while it runs", "cancelled", []standinfleet.RunRecord{record("a", 1, 0, 0, "", false)}, 1),
	ginkgo.Entry("failed after all tries", "failed", []standinfleet.RunRecord{
		record("a", 1, 0, 1, "failed", true), record("a", 2, 1, 2, "failed", true), record("a", 3, 2, 3, "failed", true),
	}, 0),
	ginkgo.Entry("failed after too many tries", "failed", []standinfleet.RunRecord{
		record("a", 1, 0, 1, "failed", true), record("a", 2, 1, 2, "failed", true), record("a", 3, 2, 3, "failed", true), record("a", 4, 3, 4, "failed", true),
	}, 1),
)
