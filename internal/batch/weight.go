package batch

// Memory of a job at the dispatcher, in bytes. The test of Weight compares them with the heap.
const (
	jobBytes   = 2 << 10 // what the dispatcher holds of any job
	stepBytes  = 300     // a step as accepted
	unitBytes  = 300     // a step of an open occurrence
	taskBytes  = 200     // a task of an open occurrence
	afterBytes = 8       // a step that another comes after
)

// Weight returns the memory that a job whose row has rowBytes takes at the dispatcher while
// all tasks that can be open at the same time are.
func Weight(job *Job, rowBytes int) int64 {
	occurrence := int64(0)
	weight := int64(jobBytes + rowBytes)
	for i := range job.Steps {
		weight += stepBytes + afterBytes*int64(len(job.Steps[i].After))
		occurrence += unitBytes + taskBytes*int64(job.Steps[i].Tasks)
	}
	return weight + occurrence*min(max(job.Repeats, 1), MaxOpenOccurrences)
}
