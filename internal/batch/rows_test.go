package batch_test

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// restore returns a new tracker with the stored progress of another one.
func restore(t *batch.Tracker) *batch.Tracker {
	rows, err := t.EncodeRows()
	Expect(err).NotTo(HaveOccurred())
	return restoreRows(t.Job, rows)
}

func restoreRows(job batch.Job, rows []batch.Row) *batch.Tracker {
	var pages [][]byte
	for _, row := range rows[1:] {
		pages = append(pages, row.Value)
	}
	restored := batch.NewTracker(job)
	Expect(restored.Restore(rows[0].Value, pages...)).To(Succeed())
	return restored
}

var _ = Describe("the rows of a job's progress", func() {
	now := time.UnixMilli(1_000_000)
	scheduled := func(tasks ...int) batch.Job {
		job := batch.Job{ID: "0123456789abcdef", Repeats: 2 * batch.MaxOpenOccurrences, FirstAtMs: 1}
		for i, n := range tasks {
			step := batch.Step{Tasks: n}
			if i > 0 {
				step.After = []int64{int64(i) - 1}
			}
			job.Steps = append(job.Steps, step)
		}
		return job
	}
	// assignAll assigns each task to a worker of its own, with names and counts of the
	// largest size.
	assignAll := func(t *batch.Tracker) {
		for _, unit := range t.Units {
			for i := range unit.Tasks {
				id := fmt.Sprintf("%0*d", batch.MaxWorkerIDBytes, i)
				t.Assign(unit, i, batch.WorkerIncarnation{ID: id, StartedMs: math.MaxInt64, Address: strings.Repeat("9", batch.MaxWorkerAddressBytes)})
				unit.Tasks[i].Run, unit.Tasks[i].Failures = math.MaxInt32, math.MaxInt32
				unit.Tasks[i].Checkpoint = strings.Repeat("s", batch.MaxCheckpointBytes)
				unit.Tasks[i].Losses = batch.Losses{All: 100, Early: 100, Isolated: 100, Widespread: 100, Stopped: 100}
				unit.Tasks[i].Isolated, unit.Tasks[i].AssignedAtMs, unit.Tasks[i].FailedRun = true, math.MaxInt64, math.MaxInt32
			}
		}
	}

	// A row that the store rejects stops the progress of all jobs: the rows of a scheduled
	// job grew with each overlapping occurrence and each checkpoint.
	DescribeTable("stay below the limit of the store", func(job batch.Job) {
		t := batch.NewTracker(job)
		t.OpenDue(now)
		assignAll(t)
		rows, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		for _, row := range rows {
			Expect(len(row.Value)).To(BeNumerically("<", batch.MaxRowBytes), row.Key)
		}
		Expect(restoreRows(job, rows)).To(Equal(t))
	},
		Entry("one small step", batch.Job{ID: "0123456789abcdef", Steps: []batch.Step{{Tasks: 100}}}),
		Entry("the largest step", batch.Job{ID: "0123456789abcdef", Steps: []batch.Step{{Tasks: batch.MaxTasks}}}),
		Entry("overlapping occurrences of three steps", scheduled(500, 499, 501)),
		Entry("overlapping occurrences of many steps", scheduled(make100(15)...)),
	)

	// Guards against jobs that count as started after a take-over because they were planned, and
	// against jobs of earlier versions that count as waiting although they may have run.
	It("tell whether a worker has confirmed a run", func() {
		for _, job := range []batch.Job{{ID: "j", Steps: []batch.Step{{Tasks: 1}}}, scheduled(1)} {
			t := batch.NewTracker(job)
			t.OpenDue(now)
			ref := t.Assign(t.Units[0], 0, batch.WorkerIncarnation{ID: "w"})
			Expect(t.State).To(Equal(batch.Running))
			Expect(restore(t).Started).To(BeFalse())
			unknown := ref
			unknown.Run++
			Expect(t.Confirm(unknown)).To(BeFalse())
			Expect(t.Drop(ref, "")).To(BeTrue())
			Expect(restore(t).Started).To(BeFalse())
			Expect(t.Confirm(ref)).To(BeTrue(), "the run was given up, and a worker lists it")
			Expect(t.Confirm(ref)).To(BeFalse())
			Expect(restore(t).Started).To(BeTrue())
		}
		// The row of a job of one task whose run was assigned, as versions before
		// confirmations were stored wrote it.
		planned := batch.NewTracker(batch.Job{ID: "j", Steps: []batch.Step{{Tasks: 1}}})
		row, err := cbor.Marshal(map[int]any{1: "running", 2: []any{map[int]any{3: []any{map[int]any{1: 1}}}}, 3: 1, 5: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(planned.Restore(row)).To(Succeed())
		Expect(planned.State).To(Equal(batch.Running))
		Expect(planned.Started).To(BeTrue())
	})

	// Guards against rows that the store rejects because many workers were unreachable.
	It("stay below the limit of the store with presumed losses of all tasks", func() {
		t := batch.NewTracker(batch.Job{ID: "0123456789abcdef", Steps: []batch.Step{{Tasks: 300}}})
		t.OpenDue(now)
		assignAll(t)
		for i := range t.Units[0].Tasks {
			for n := range int64(4) {
				t.Units[0].Presumed = append(t.Units[0].Presumed, batch.PresumedLoss{Index: i, ID: fmt.Sprintf("%0*d", batch.MaxWorkerIDBytes, i),
					StartedMs: math.MaxInt64 - n, Early: true, Widespread: true})
			}
		}
		rows, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(4))
		for _, row := range rows {
			Expect(len(row.Value)).To(BeNumerically("<", batch.MaxRowBytes), row.Key)
		}
		restored := restoreRows(t.Job, rows)
		Expect(restored.Units[0].Tasks).To(Equal(t.Units[0].Tasks))
		Expect(len(restored.Units[0].Presumed)).To(BeNumerically(">", 30))
	})

	It("leave out pages without progress", func() {
		t := batch.NewTracker(scheduled(1500))
		t.OpenDue(now)
		t.Assign(t.Units[3], 250, worker)
		rows, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
		Expect(rows[1].Key).To(Equal("0123456789abcdef/3/2"))
		Expect(restoreRows(t.Job, rows)).To(Equal(t))
	})

	It("do not revive an occurrence whose pages are still stored when it has been completed", func() {
		t := batch.NewTracker(scheduled(150))
		t.OpenDue(now)
		for i := range 150 {
			t.Finish(t.Assign(t.Units[0], i, worker))
		}
		t.Assign(t.Units[1], 7, worker)
		before, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		t.CompleteOccurrences(now)
		after, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		restored := restoreRows(t.Job, append(after[:1:1], before[1:]...))
		Expect(restored).To(Equal(t))
	})

	It("agree on a gang of which only some pages are stored", func() {
		job := batch.Job{ID: "0123456789abcdef", Steps: []batch.Step{{Tasks: 250, Gang: true}}}
		t := batch.NewTracker(job)
		t.OpenDue(now)
		refs := startAll(t, t.Units[0])
		before, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		t.Finish(refs[0])
		after, err := t.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		restored := restoreRows(job, []batch.Row{after[0], after[1], before[2], before[3]})
		Expect(restored.Units[0].Done()).To(BeTrue())
	})
})

// make100 returns 100 times the same number.
func make100(n int) []int {
	numbers := make([]int, 100)
	for i := range numbers {
		numbers[i] = n
	}
	return numbers
}
