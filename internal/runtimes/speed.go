package runtimes

import "math"

const (
	// maxWorkers bounds the workers whose speed is known.
	maxWorkers = 4096
	// speedWindow is the number of ends over which the speed of a worker is averaged.
	speedWindow = 24
	// speedPrior is the number of ends that the assumption of an average speed counts for.
	speedPrior = 3
	// maxSpeedStep bounds the effect of one end, which may be that of a straggler.
	maxSpeedStep = 0.7
	// minSlowness is the least logarithmic difference to the average that counts. Equal
	// workers differ by up to that over speedWindow ends, because equal tasks do.
	minSlowness = 0.1
	// meanWindow is the number of ends over which the mean slowness is averaged.
	meanWindow = 256
)

// worker is what is known of the speed of a worker.
type worker struct {
	slowness float64 // mean logarithm of its run times relative to the median of their kind
	ends     int
	used     uint64
}

// Speed returns how fast a worker is relative to the average of recent ends: a task takes the
// expected run time of its kind divided by the speed.
func (m *Model) Speed(id string) float64 {
	w := m.workers[id]
	if w == nil {
		return 1
	}
	n := float64(min(w.ends, speedWindow))
	slowness := (w.slowness - m.meanSlowness) * n / (n + speedPrior)
	if math.Abs(slowness) < minSlowness {
		return 1
	}
	return math.Exp(-slowness)
}

// observeSpeed learns the speed of the worker of a run, if its kind is known.
func (m *Model) observeSpeed(k *kind, o Observation) {
	if o.Worker == "" || k.samples < minSamples {
		return
	}
	points, unit := m.distribution(o.Kind, o.Estimate)
	expected := points.at(0.5) * unit
	if expected <= 0 {
		return
	}
	w := m.workers[o.Worker]
	if w == nil {
		if len(m.workers) >= maxWorkers {
			m.removeWorker()
		}
		w = &worker{slowness: m.meanSlowness}
		m.workers[o.Worker] = w
	}
	m.clock++
	w.used = m.clock
	w.ends++
	step := math.Log(milliseconds(o.RunTime)/expected) - w.slowness
	w.slowness += min(maxSpeedStep, max(-maxSpeedStep, step)) / float64(min(w.ends, speedWindow))
	// The mean is subtracted, because slower workers and longer kinds look the same.
	m.speedEnds++
	m.meanSlowness += (w.slowness - m.meanSlowness) / float64(min(m.speedEnds, meanWindow))
}

// removeWorker removes the worker whose ends are the longest ago.
func (m *Model) removeWorker() {
	oldest, used := "", uint64(math.MaxUint64)
	for id, w := range m.workers {
		if w.used < used {
			oldest, used = id, w.used
		}
	}
	delete(m.workers, oldest)
}
