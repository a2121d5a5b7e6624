package jobs

import (
	"strings"
	"testing"

	"github.com/samphirepath/samphirepath/api"
)

// Guards against jobs that are not counted, and so accepted without bound: after a change, and
// once they are gone.
func TestLoadCountsTheJobsOfTheCopy(t *testing.T) {
	f := NewFollower(FollowerConfig{})
	job := api.Job{ID: "a", Organisation: "o", Spec: api.JobSpec{Tasks: 2, Parameters: map[string]string{"data": strings.Repeat("x", 10_000)}}}
	weight := Weight(&job)
	if weight < 30_000 || weight > 40_000 {
		t.Errorf("the weight is %d", weight)
	}
	f.Observe(job, 1)
	f.Observe(job, 2)
	other := job
	other.ID = "b"
	f.Observe(other, 3)
	if load := f.Load(64 << 20); load.HeldBytes != 2*weight || load.BudgetBytes != 64<<20 {
		t.Errorf("%d of %d bytes are held", load.HeldBytes, load.BudgetBytes)
	}
	f.Remove("a", 4)
	if load := f.Load(64 << 20); load.HeldBytes != weight {
		t.Errorf("%d bytes are held after the job is gone", load.HeldBytes)
	}
}
