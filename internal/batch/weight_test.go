package batch_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Guards against jobs that take more memory at the dispatcher than they are admitted for.
func TestWeightCoversTheMemoryOfJobs(t *testing.T) {
	wide := batch.Job{Spec: strings.Repeat("x", 4000)}
	for range batch.MaxSteps {
		wide.Steps = append(wide.Steps, batch.Step{Tasks: batch.MaxTasks / batch.MaxSteps})
	}
	chained := wide
	chained.Steps = nil
	for i := range batch.MaxSteps {
		step := batch.Step{Tasks: 1}
		for after := range i {
			step.After = append(step.After, int64(after))
		}
		chained.Steps = append(chained.Steps, step)
	}
	scheduled := batch.Job{Repeats: 1000, Steps: []batch.Step{{Tasks: 100}}}
	for name, job := range map[string]batch.Job{"wide": wide, "chained": chained, "scheduled": scheduled, "small": {Steps: []batch.Step{{Tasks: 1}}}} {
		t.Run(name, func(t *testing.T) {
			row, err := batch.EncodeJob(job)
			if err != nil {
				t.Fatal(err)
			}
			const n = 50
			trackers := make([]*batch.Tracker, n)
			before := heapBytes()
			for i := range trackers {
				decoded, err := batch.DecodeJob(row)
				if err != nil {
					t.Fatal(err)
				}
				decoded.ID = fmt.Sprintf("%016x", i)
				trackers[i] = batch.NewTracker(decoded)
				trackers[i].OpenDue(time.Now())
			}
			taken := (heapBytes() - before) / n
			if weight := batch.Weight(&job, len(row)); taken > weight {
				t.Errorf("a job takes %d bytes, its weight is %d", taken, weight)
			}
			runtime.KeepAlive(trackers)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
