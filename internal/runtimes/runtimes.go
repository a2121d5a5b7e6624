// Package runtimes estimates how long tasks take, from the ends and the progress of earlier
// runs. It does no I/O. A Model is owned by one goroutine.
package runtimes

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/batch"
)

const (
	// maxKinds bounds the kinds of a model; the least recently used one is removed first.
	maxKinds = 512
	// maxBins bounds a sketch to 2 KB. At accuracy, its bins cover a factor of 28,000.
	maxBins  = 256
	accuracy = 0.02
	// Run times outside of this range are ignored.
	minRunTime = time.Millisecond
	maxRunTime = 24 * time.Hour
	// maxForecast bounds what is forecast, so that sums of forecasts stay within 64 bits.
	maxForecast = batch.MaxEstimateMs * time.Millisecond
	// halfLife is the number of ends after which an observation counts half. The median of a
	// kind whose run time changes is at the new value after as many ends.
	halfLife = 16
	// maxWeight is the weight of a new observation at which all weights are scaled down.
	maxWeight = 1e6
	// minSamples is the weight of observations from which a kind predicts.
	minSamples = 4
	// projectionWeight is the weight of the extrapolated run time of a run in progress. It is
	// used until projectedKindEnds runs of the kind have ended.
	projectionWeight  = 0.5
	projectedKindEnds = 8
	// errorWindow is the number of ends over which the errors of the predictors are averaged.
	errorWindow = 16
	// maxError bounds the error of one end: a straggler says nothing about a predictor.
	maxError = 1.0
	// maxRatio bounds the ratio of a run time to its estimate.
	maxRatio = 1e3
	// farFactor is how much longer a task is expected to take away from its data, or a gang
	// that is spread over racks, until runs of the kind have shown it.
	farFactor = 3
	// reportedKindEnds is the number of ends from which changes of the median are reported.
	reportedKindEnds = 8
	// reportedChange is the relative change of the median that is reported.
	reportedChange = 1.0 / 3
)

// Kind is what tasks have in common that are expected to take equally long.
type Kind struct {
	Queue string
	Need  batch.Need
	Image string
	Label string
	// Far is set for tasks outside of the rack of their data, and for gangs that should be in
	// one rack and are not.
	Far bool
}

// Observation is the end of a run that was done.
type Observation struct {
	Kind Kind
	// Worker is the worker of the run. It is empty for a gang on several workers.
	Worker       string
	Estimate     time.Duration // of the caller; 0 if there is none
	RunTime      time.Duration
	Checkpointed bool // the run began with a checkpoint; it is ignored
}

// Change is a change of the median of a kind. The zero value means that there is none to
// report.
type Change struct {
	Before, After time.Duration
}

// predictor is how the median of a kind is predicted.
type predictor int

const (
	byEstimate predictor = iota // the caller's estimate
	byRatio                     // the median of the ratios of run time and estimate, times the estimate
	byRunTime                   // the median of the run times
	predictors
)

// kind is what is learned about a Kind. Run times are in ms, on a worker of average speed.
type kind struct {
	runTimes *ddsketch.DDSketch
	ratios   *ddsketch.DDSketch
	weight   float64 // of the next observation
	samples  float64 // sum of the weights of all observations, without decay
	ends     int
	errors   [predictors]float64
	used     uint64 // see Model.clock
	reported float64

	// The quantiles are computed again after an observation.
	current       bool
	runTimePoints quantiles
	ratioPoints   quantiles
}

// Model holds what is known of the run times of tasks.
type Model struct {
	kinds   map[Kind]*kind
	workers map[string]*worker
	// meanSlowness is the mean of the slowness of the workers, over recent ends.
	meanSlowness float64
	speedEnds    int
	clock        uint64 // counts uses of kinds and workers
	bins         mapping.IndexMapping
	prior        quantiles
}

// New returns a model that knows nothing.
func New() *Model {
	bins, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil { // accuracy is a constant between 0 and 1
		panic(eris.Wrap(err, "create the bins of the quantile sketches"))
	}
	return &Model{kinds: map[Kind]*kind{}, workers: map[string]*worker{}, bins: bins, prior: priorQuantiles()}
}

// Kinds returns the number of kinds.
func (m *Model) Kinds() int { return len(m.kinds) }

// Observe learns from the end of a run, and returns a change of the median that is worth a
// report.
func (m *Model) Observe(o Observation) (Change, error) {
	if o.Checkpointed || !learnable(o.RunTime) {
		return Change{}, nil
	}
	k := m.kindToLearn(o.Kind)
	nominal := milliseconds(o.RunTime) * m.Speed(o.Worker)
	m.observeSpeed(k, o)
	if err := k.add(nominal, milliseconds(o.Estimate), 1); err != nil {
		return Change{}, err
	}
	k.ends++
	return k.change(), nil
}

// Progress learns from a run in progress, as long as few runs of its kind have ended. It is
// called at most once for a run. It reports whether the progress was meaningful.
func (m *Model) Progress(of Kind, worker string, estimate time.Duration, p Progress) (bool, error) {
	total, share := p.bounded().total()
	if share < 1 {
		return false, nil
	}
	if k := m.kinds[of]; k != nil && k.ends >= projectedKindEnds || !learnable(total) {
		return true, nil
	}
	k := m.kindToLearn(of)
	// Among the runs at one moment, those that take long are more frequent than among all.
	weight := projectionWeight
	if estimate > 0 {
		weight *= min(1, max(0.1, estimate.Seconds()/total.Seconds()))
	}
	return true, k.add(milliseconds(total)*m.Speed(worker), milliseconds(estimate), weight)
}

// RunTime returns the median and the 0.9 quantile of the run time of a kind. estimate is
// that of the caller, 0 if there is none.
func (m *Model) RunTime(of Kind, estimate time.Duration) (median, late time.Duration) {
	points, unit := m.distribution(of, estimate)
	return duration(points.at(0.5) * unit), duration(points.at(lateQuantile) * unit)
}

// kindToLearn returns a kind, which it creates if it is not known.
func (m *Model) kindToLearn(of Kind) *kind {
	m.clock++
	k := m.kinds[of]
	if k == nil {
		if len(m.kinds) >= maxKinds {
			m.removeKind()
		}
		sketch := func() *ddsketch.DDSketch {
			return ddsketch.NewDDSketch(m.bins, store.NewCollapsingLowestDenseStore(maxBins), store.NewSparseStore())
		}
		k = &kind{runTimes: sketch(), ratios: sketch(), weight: 1}
		m.kinds[of] = k
	}
	k.used = m.clock
	return k
}

// removeKind removes the least recently used kind.
func (m *Model) removeKind() {
	var oldest Kind
	used := uint64(math.MaxUint64)
	for of, k := range m.kinds {
		if k.used < used {
			oldest, used = of, k.used
		}
	}
	delete(m.kinds, oldest)
}

// add learns a run time. It first rates the predictors by it.
func (k *kind) add(runTime, estimate, weight float64) error {
	k.rate(runTime, estimate)
	if err := k.runTimes.AddWithCount(runTime, k.weight*weight); err != nil {
		return eris.Wrap(err, "add a run time")
	}
	if estimate > 0 {
		ratio := min(maxRatio, max(1/maxRatio, runTime/estimate))
		if err := k.ratios.AddWithCount(ratio, k.weight*weight); err != nil {
			return eris.Wrap(err, "add a ratio of run time and estimate")
		}
	}
	k.samples += weight
	k.current = false
	// New observations get more weight instead of the old ones less, which would change all
	// bins each time.
	if k.weight *= math.Pow(2, weight/halfLife); k.weight < maxWeight {
		return nil
	}
	for _, sketch := range []*ddsketch.DDSketch{k.runTimes, k.ratios} {
		if sketch.IsEmpty() {
			continue
		}
		if err := sketch.Reweight(1 / k.weight); err != nil {
			return eris.Wrap(err, "scale the weights of a sketch")
		}
	}
	k.weight = 1
	return nil
}

// rate updates the errors of the predictors with what they would have predicted.
func (k *kind) rate(runTime, estimate float64) {
	if k.samples < minSamples {
		return
	}
	k.refresh()
	rate := 1 / min(errorWindow, max(1, k.samples-minSamples+1))
	for p := range predictors {
		predicted := 0.0
		switch p {
		case byEstimate:
			predicted = estimate
		case byRatio:
			predicted = estimate * k.ratioPoints.at(0.5)
		case byRunTime:
			predicted = k.runTimePoints.at(0.5)
		}
		e := maxError
		if predicted > 0 {
			e = min(maxError, math.Abs(math.Log(runTime/predicted)))
		}
		k.errors[p] += rate * (e - k.errors[p])
	}
}

// best returns the predictor with the smallest recent error for a task with an estimate.
func (k *kind) best(estimate time.Duration) predictor {
	if estimate <= 0 {
		return byRunTime
	}
	best := byEstimate
	for p := byRatio; p < predictors; p++ {
		if k.errors[p] < k.errors[best] {
			best = p
		}
	}
	return best
}

// change reports the median if it has changed by more than a third since the last report.
func (k *kind) change() Change {
	if k.ends < reportedKindEnds {
		return Change{}
	}
	k.refresh()
	before, after := k.reported, k.runTimePoints.at(0.5)
	if before > 0 && math.Abs(after-before) <= reportedChange*before {
		return Change{}
	}
	k.reported = after
	if before == 0 {
		return Change{}
	}
	return Change{Before: duration(before), After: duration(after)}
}

// refresh computes the quantiles again if there were observations since.
func (k *kind) refresh() {
	if k.current {
		return
	}
	k.current = true
	k.runTimePoints.read(k.runTimes)
	k.ratioPoints.read(k.ratios)
}

// distribution returns the quantiles of the run time of a kind in a unit of ms.
func (m *Model) distribution(of Kind, estimate time.Duration) (*quantiles, float64) {
	unit := milliseconds(estimate)
	k := m.kinds[of]
	if k != nil {
		m.clock++
		k.used = m.clock
	}
	if k == nil || k.samples < minSamples {
		if of.Far {
			unit *= farFactor
		}
		return &m.prior, unit
	}
	k.refresh()
	switch k.best(estimate) {
	case byRatio:
		return &k.ratioPoints, unit
	case byEstimate:
		return &k.ratioPoints, unit / max(1/maxRatio, k.ratioPoints.at(0.5))
	default:
		return &k.runTimePoints, 1
	}
}

func learnable(runTime time.Duration) bool { return runTime >= minRunTime && runTime <= maxRunTime }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration converts ms to a duration between 0 and maxForecast.
func duration(ms float64) time.Duration {
	return time.Duration(min(float64(maxForecast), max(0, ms*float64(time.Millisecond))))
}
