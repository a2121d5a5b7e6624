package workerhealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/internal/workerhealth"
)

// tracked is a tracker at a time, with a fleet of equal workers.
type tracked struct {
	*workerhealth.Tracker
	now     time.Time
	workers []placement.Worker
}

func newTracked() *tracked {
	f := &tracked{Tracker: workerhealth.New(workerhealth.Config{}), now: time.Unix(1000, 0)}
	for i := range 8 {
		f.workers = append(f.workers, placement.Worker{ID: fmt.Sprint("w", i), Service: "s", Schedulable: true, Free: batch.Need{MilliCPU: 8000, Accelerators: 8}})
	}
	return f
}

func (f *tracked) note(worker string, kind workerhealth.Kind, task string, run int64) {
	f.Note(worker, 1, workerhealth.Evidence{Kind: kind, Task: task, Run: run}, f.now)
}

// fail records n failures of different tasks.
func (f *tracked) fail(worker string, n int) {
	for i := range n {
		f.note(worker, workerhealth.Failure, fmt.Sprintf("%s-%d-%d", worker, f.now.UnixNano(), i), 1)
	}
}

func (f *tracked) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.Advance(f.now)
}

func (f *tracked) state(worker string, demands ...placement.Demand) workerhealth.State {
	return f.Apply(f.workers, demands, f.now)[worker]
}

func (f *tracked) count(state workerhealth.State, demands ...placement.Demand) int {
	n := 0
	for _, s := range f.Apply(f.workers, demands, f.now) {
		if s == state {
			n++
		}
	}
	return n
}

// Guards against a worker that fails some of its tasks and loses its suspect state
// with each task that it completes.
func TestWorkersThatFailPartOfTheirTasks(t *testing.T) {
	for _, c := range []struct {
		name   string
		events string // f for a failure, s for a success
		state  workerhealth.State
	}{
		{"no failure", "sss", workerhealth.Healthy},
		{"one failure", "f", workerhealth.Suspect},
		{"a success after a failure", "fs", workerhealth.Suspect},
		{"two in a row", "ff", workerhealth.Suspect},
		{"every second one", "fsfs", workerhealth.Suspect},
		{"two of three", "ffsff", workerhealth.Quarantined},
		{"three in a row", "fff", workerhealth.Quarantined},
		{"three in a row, then three successes", "fffsss", workerhealth.Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTracked()
			for i, event := range c.events {
				kind := workerhealth.Success
				if event == 'f' {
					kind = workerhealth.Failure
				}
				f.note("w0", kind, fmt.Sprint(i), 1)
			}
			gomega.NewWithT(t).Expect(f.state("w0")).To(gomega.Equal(c.state))
		})
	}
}

// Guards against a worker that stays in quarantine after it was repaired, and against one that
// is not repaired and gets task after task.
func TestQuarantineEndsWithTrials(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	for _, quarantine := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		f.fail("w0", 3)
		f.pass(quarantine - time.Millisecond)
		g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined))
		f.pass(time.Millisecond)
		g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.OnTrial))
	}
	f.fail("w0", 1)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined))
	f.pass(16 * time.Second)
	f.note("w0", workerhealth.Success, "x", 1)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Suspect))
	f.note("w0", workerhealth.Success, "y", 1)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Healthy))
}

// Guards against a task that fails everywhere and makes the workers look faulty, also if it is
// a gang, and against faulty workers that explain each other's failures away.
func TestFailuresAreAttributed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	f.fail("w0", 2)
	f.note("w0", workerhealth.Failure, "task", 1)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined))
	f.note("w1", workerhealth.Failure, "task", 2)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined), "w0 is faulty without the task")
	f.note("w2", workerhealth.Failure, "task", 3)
	g.Expect([]workerhealth.State{f.state("w0"), f.state("w1"), f.state("w2")}).To(gomega.Equal(
		[]workerhealth.State{workerhealth.Suspect, workerhealth.Healthy, workerhealth.Healthy}))

	f = newTracked()
	f.note("w0", workerhealth.Failure, "gang", 1)
	f.note("w1", workerhealth.Failure, "gang", 1)
	g.Expect(f.count(workerhealth.Suspect)).To(gomega.Equal(2), "two members of one run")
	f.note("w2", workerhealth.Failure, "gang", 2)
	g.Expect(f.count(workerhealth.Suspect)).To(gomega.BeZero())
	f.note("w3", workerhealth.Success, "gang", 3)
	g.Expect(f.count(workerhealth.Suspect)).To(gomega.Equal(3), "the gang is not at fault")
}

// Guards against a persistent task, or any single task, that quarantines a worker.
func TestOneTaskDoesNotQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	for run := range int64(10) {
		f.note("w0", workerhealth.Failure, "task", run)
		for i := range 5 {
			f.Note("w1", 1, workerhealth.Evidence{Kind: workerhealth.Failure, Task: fmt.Sprint("persistent", i), Run: run, Persistent: true}, f.now)
		}
	}
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Suspect))
	g.Expect(f.state("w1")).To(gomega.Equal(workerhealth.Suspect))
}

// Guards against quarantine that takes the capacity of a service, or the last workers on which
// waiting work fits.
func TestQuarantineIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	for i := range 8 {
		f.fail(fmt.Sprint("w", i), 3+i%2)
	}
	g.Expect(f.count(workerhealth.Quarantined)).To(gomega.Equal(2))
	g.Expect(f.state("w1")).To(gomega.Equal(workerhealth.Quarantined), "the worst come first")

	f = newTracked()
	f.fail("w0", 3)
	f.fail("w1", 3)
	f.workers[0].Labels, f.workers[2].Labels, f.workers[2].Schedulable = []string{"l"}, []string{"l"}, false
	labelled := placement.Demand{Service: "s", Tasks: []int{0}, Step: &batch.Step{Tasks: 1, Label: "l"}}
	g.Expect(f.state("w0", labelled)).To(gomega.Equal(workerhealth.Suspect))
	g.Expect(f.state("w1", labelled)).To(gomega.Equal(workerhealth.Quarantined))
	gang := placement.Demand{Service: "s", Tasks: []int{0, 1, 2, 3, 4, 5}, Step: &batch.Step{Tasks: 6, Gang: true, Need: batch.Need{Accelerators: 8}}}
	g.Expect(f.count(workerhealth.Quarantined, gang)).To(gomega.Equal(1))
	f.pass(2 * time.Second)
	g.Expect(f.count(workerhealth.OnTrial, gang)).To(gomega.Equal(1), "a worker on trial is no room for a gang")
}

// Guards against a repaired worker that is judged by what its former process did, and against
// flapping workers that get work each time.
func TestRestarts(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	f.fail("w0", 2)
	f.Note("w0", 2, workerhealth.Evidence{Kind: workerhealth.Restarted}, f.now)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Healthy))
	f.fail("w0", 2) // of incarnation 1
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Healthy))
	for incarnation := range int64(4) {
		f.pass(5 * time.Second)
		f.Note("w0", 3+incarnation, workerhealth.Evidence{Kind: workerhealth.Restarted}, f.now)
	}
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined))
}

// Guards against a worker that completes all of its tasks, but far too late, and against one
// that is judged by a single straggler.
func TestSlowWorkers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	f.note("w0", workerhealth.Slow, "a", 1)
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Healthy))
	for i := range 5 {
		f.pass(time.Second)
		f.note("w0", workerhealth.Slow, fmt.Sprint(i), 1)
	}
	g.Expect(f.state("w0")).To(gomega.Equal(workerhealth.Quarantined))
}

// Guards against memory that grows with the workers and tasks of the past.
func TestEvidenceIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTracked()
	f.fail("w0", 3)
	f.fail("w1", 1)
	f.pass(2 * time.Second)
	for range 60 {
		f.pass(10 * time.Second)
	}
	g.Expect(f.List()).To(gomega.BeEmpty())
	g.Expect(f.Apply(f.workers, nil, f.now)).To(gomega.BeNil())
}

func BenchmarkApply(b *testing.B) {
	f := newTracked()
	f.workers = nil
	var demands []placement.Demand
	for i := range 1104 {
		f.workers = append(f.workers, placement.Worker{ID: fmt.Sprint("w", i), Service: "s", Schedulable: true, Free: batch.Need{MilliCPU: 8000, Accelerators: 8}})
		if i%5 == 0 {
			f.fail(fmt.Sprint("w", i), 3)
		}
		demands = append(demands, placement.Demand{Service: "s", Tasks: []int{0, 1, 2, 3}, Step: &batch.Step{Tasks: 4, Gang: i%2 == 0, Need: batch.Need{MilliCPU: int64(i % 50), Accelerators: 1}}})
	}
	for b.Loop() {
		f.Apply(f.workers, demands, f.now)
	}
}
