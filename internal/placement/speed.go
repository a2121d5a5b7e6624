package placement

import "time"

const (
	// slowSpeed is the relative speed below which a worker is slow. Tasks of one step differ by
	// up to 0.3 by themselves, so that smaller differences between workers are not certain.
	slowSpeed = 0.7
	// slowRunTimeFactor is how many times as long a task takes on a slow worker.
	slowRunTimeFactor = 2
	// slowWorkerPenalty, in cores, exceeds the leftover of any real worker and is far below
	// suspectPenalty.
	slowWorkerPenalty = 1e6
)

// slow reports whether tasks take much longer on a worker than elsewhere.
func (w *Worker) slow() bool { return w.Speed > 0 && w.Speed < slowSpeed }

// speedPenalty returns what is added to the score of a worker because of its speed. A demand
// that would be late on slow workers takes them last. Others take them first, which leaves the
// fast ones to work with little slack.
func (p *planner) speedPenalty(w int, demand *Demand) float64 {
	if p.Workers[w].slow() == demand.toleratesSlow(p.Now) {
		return 0
	}
	return slowWorkerPenalty
}

// toleratesSlow reports whether the demand meets its objective on slow workers if it starts now.
func (d *Demand) toleratesSlow(now time.Time) bool {
	return !now.Add((slowRunTimeFactor - 1) * d.runTime()).After(d.latestStart())
}
