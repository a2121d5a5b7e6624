package jobs

import (
	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/admission"
)

// Memory of a job at each daemon, which keeps a copy of all rows, in bytes.
const (
	jobBytes  = 4 << 10
	taskBytes = 512
	// textFactor is the memory of the texts of a job in multiples of their bytes: the decoded row,
	// and what is encoded and decoded when it changes.
	textFactor = 3
)

// Weight returns the memory that a job takes at each daemon while it runs.
func Weight(job *api.Job) int64 {
	text := parameterBytes(job.Spec) + len(job.Spec.Key) + len(job.Spec.Name)
	return jobBytes + taskBytes*int64(job.Spec.Tasks) + textFactor*int64(text)
}

// Load returns the weight of all jobs in the copy, with a budget.
func (f *Follower) Load(budget int64) admission.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := map[string]int64{}
	for _, row := range f.rows {
		held[row.Job.Organisation] += Weight(&row.Job)
	}
	return admission.NewLoad(f.version, budget, held)
}
