package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// observe adds an end and returns the change of the median.
func observe(g *gomega.WithT, m *Model, o Observation) Change {
	change, err := m.Observe(o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return change
}

// simulatedRun is a run of a burst. Its progress is linear.
type simulatedRun struct {
	kind             Kind
	worker           string
	estimate, actual time.Duration
	start            time.Duration
	last             Progress
	reported         bool
	learned          bool
}

// burst returns runs of several kinds: estimates are off by up to a half, equal tasks differ
// by up to 0.3, 3 % are stragglers, and a quarter of the workers has less than half the speed
// of the others.
func burst(random *rand.Rand) []*simulatedRun {
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	var runs []*simulatedRun
	for step := range 150 {
		k := step % 6
		estimate := time.Duration(2+2*k) * time.Second
		offset := 0.5 + random.Float64()
		start := time.Duration(random.IntN(60_000)) * time.Millisecond
		for range 5 + 5*k {
			w := random.IntN(100)
			actual := estimate.Seconds() * offset * (1 + 0.3*(2*random.Float64()-1)) / speeds[w%4]
			if random.Float64() < 0.03 {
				actual *= 2 + 5*random.Float64()
			}
			runs = append(runs, &simulatedRun{
				kind: Kind{Queue: fmt.Sprint(k)}, worker: fmt.Sprint(w), estimate: estimate, actual: seconds(actual),
				start: start + time.Duration(random.IntN(2000))*time.Millisecond,
			})
		}
	}
	return runs
}

// report takes the progress of a run.
func (r *simulatedRun) report(m *Model, at time.Duration) error {
	percent := math.Floor(100 * at.Seconds() / r.actual.Seconds())
	if !r.reported {
		r.last, r.reported = Progress{FirstPercent: percent, FirstAt: at}, true
	}
	r.last.Percent, r.last.At = percent, at
	if r.learned {
		return nil
	}
	var err error
	r.learned, err = m.Progress(r.kind, r.worker, r.estimate, r.last)
	return err
}

// termChange is what a simulated new term knows.
type termChange int

const (
	sameTerm    termChange = iota
	emptyModel             // nothing
	storedModel            // the model, but no reports of the runs
)

// replay lets the runs of a burst go by, and a new term start at a time. It returns the
// errors of the ends that are expected from then on, for window: by the caller's estimate
// alone and by the model, in seconds; and the share of the late forecasts that were met.
func replay(g *gomega.WithT, runs []*simulatedRun, from, window time.Duration, change termChange) (guess, model []float64, met float64) {
	const step = 200 * time.Millisecond
	const reportEvery = 5 // steps, 1 s
	m := New()
	late := 0
	for now := time.Duration(0); now < from+window; now += step {
		if now == from && change != sameTerm {
			for _, r := range runs {
				r.reported, r.learned, r.last = false, false, Progress{}
			}
			if change == emptyModel {
				m = New()
			}
		}
		for i, r := range runs {
			elapsed := now - r.start
			if elapsed < 0 || elapsed-step >= r.actual {
				continue
			}
			if elapsed >= r.actual {
				if r.start >= from || now < from || change == sameTerm { // ends of adopted runs are not observed
					observe(g, m, Observation{Kind: r.kind, Worker: r.worker, Estimate: r.estimate, RunTime: r.actual})
				}
				continue
			}
			if (int(now/step)+i)%reportEvery == 0 {
				g.Expect(r.report(m, elapsed)).To(gomega.Succeed())
			}
			if now < from {
				continue
			}
			expected := r.estimate - elapsed
			if expected <= 0 {
				expected = r.estimate / 5
			}
			left := r.actual - elapsed
			median, lateEnd := m.Remaining(r.kind, r.worker, r.estimate, elapsed, r.last)
			guess = append(guess, math.Abs((expected - left).Seconds()))
			model = append(model, math.Abs((median - left).Seconds()))
			if left <= lateEnd {
				late++
			}
		}
	}
	slices.Sort(guess)
	slices.Sort(model)
	return guess, model, float64(late) / float64(len(model))
}

func at(sorted []float64, quantile float64) float64 {
	return sorted[int(quantile*float64(len(sorted)))]
}

// Guards against forecasts that are no better than the caller's estimate: reservations and
// evictions would then be for the wrong time.
func TestForecastsOfABurstAreBetterThanTheEstimates(t *testing.T) {
	g := gomega.NewWithT(t)
	guess, model, met := replay(g, burst(rand.New(rand.NewPCG(1, 1))), 0, time.Minute, sameTerm)
	t.Logf("error of the expected end: estimate median %.2f s, p90 %.2f s; model median %.2f s, p90 %.2f s; late forecast met %.3f",
		at(guess, 0.5), at(guess, 0.9), at(model, 0.5), at(model, 0.9), met)
	g.Expect(at(model, 0.5)).To(gomega.BeNumerically("<", 0.5*at(guess, 0.5)))
	g.Expect(at(model, 0.9)).To(gomega.BeNumerically("<", 0.6*at(guess, 0.9)))
	g.Expect(met).To(gomega.BeNumerically(">", 0.85))
}

// Guards against a new term that forecasts by estimates for long because its model is empty.
func TestForecastsAfterATakeOverAreSoonGood(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, window := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		for change, name := range []string{"no new term", "empty model", "stored model"} {
			guess, model, met := replay(g, burst(rand.New(rand.NewPCG(2, 2))), 30*time.Second, window, termChange(change))
			t.Logf("first %v, %s: estimate median %.2f s, p90 %.2f s; model median %.2f s, p90 %.2f s; late forecast met %.3f",
				window, name, at(guess, 0.5), at(guess, 0.9), at(model, 0.5), at(model, 0.9), met)
			if termChange(change) == emptyModel && window > time.Second { // a round of reports has come
				g.Expect(at(model, 0.5)).To(gomega.BeNumerically("<", 0.5*at(guess, 0.5)))
				g.Expect(at(model, 0.9)).To(gomega.BeNumerically("<", 0.7*at(guess, 0.9)))
			}
		}
	}
}

// Guards against a model that holds on to old run times.
func TestKindWhoseRunTimeDoublesIsKnownAfterSomeTensOfEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	m, random := New(), rand.New(rand.NewPCG(3, 3))
	kind := Kind{Queue: "q"}
	end := func(mean float64) Change {
		return observe(g, m, Observation{Kind: kind, Estimate: 5 * time.Second, RunTime: seconds(mean * (0.85 + 0.3*random.Float64()))})
	}
	for range 500 {
		end(4)
	}
	median, late := m.RunTime(kind, 5*time.Second)
	g.Expect(median.Seconds()).To(gomega.BeNumerically("~", 4, 0.3))
	g.Expect(late.Seconds()).To(gomega.BeNumerically("~", 4.5, 0.3))
	known, reported := 0, 0
	for n := 1; n <= 60; n++ {
		if end(8) != (Change{}) {
			reported++
		}
		if median, _ = m.RunTime(kind, 5*time.Second); known == 0 && math.Abs(median.Seconds()-8) < 0.8 {
			known = n
		}
	}
	t.Logf("known after %d ends", known)
	g.Expect(known).To(gomega.And(gomega.BeNumerically(">", 5), gomega.BeNumerically("<=", 30)))
	g.Expect(reported).To(gomega.Equal(1))
}

// Guards against learning from what does not tell the run time of a task.
func TestWhatIsNoObservationChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	kind := Kind{Queue: "q"}
	for range 20 {
		observe(g, m, Observation{Kind: kind, Estimate: time.Second, RunTime: time.Minute, Checkpointed: true})
		observe(g, m, Observation{Kind: kind, Estimate: time.Second, RunTime: 25 * time.Hour})
		observe(g, m, Observation{Kind: kind, Estimate: time.Second, RunTime: -time.Second})
	}
	g.Expect(m.Kinds()).To(gomega.BeZero())
	median, late := m.RunTime(kind, time.Second)
	g.Expect(median).To(gomega.Equal(time.Second))
	g.Expect(late).To(gomega.BeNumerically("~", 1400*time.Millisecond, 20*time.Millisecond))
}

// Guards against the caller's estimates being given up although they are the best known, and
// against their use when they are systematically wrong.
func TestBestPredictorIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(4, 4))
	for name, actual := range map[string]func(estimate float64) float64{
		"estimate": func(estimate float64) float64 { return estimate * (0.98 + 0.04*random.Float64()) },
		"ratio":    func(estimate float64) float64 { return 1.7 * estimate * (0.98 + 0.04*random.Float64()) },
		"run time": func(float64) float64 { return 3 + 0.1*random.Float64() },
	} {
		m := New()
		for range 60 {
			estimate := 1 + 9*random.Float64()
			observe(g, m, Observation{Kind: Kind{Queue: name}, Estimate: seconds(estimate), RunTime: seconds(actual(estimate))})
		}
		median, _ := m.RunTime(Kind{Queue: name}, 10*time.Second)
		g.Expect(median.Seconds()).To(gomega.BeNumerically("~", actual(10), 0.06*actual(10)), name)
	}
}

// Guards against a slow worker that makes its kinds look slow, or stays unknown.
func TestSpeedOfWorkersIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	m, random := New(), rand.New(rand.NewPCG(5, 5))
	for n := range 2000 {
		speed := []float64{0.55, 1.2, 1.2, 1.2}[n%4]
		actual := 5 * (0.5 + random.Float64()) / speed
		observe(g, m, Observation{Kind: Kind{Queue: fmt.Sprint(n % 3)}, Worker: fmt.Sprint(n % 40), Estimate: 5 * time.Second, RunTime: seconds(actual)})
	}
	var ratios []float64
	for w := 0; w < 40; w += 4 {
		ratios = append(ratios, m.Speed(fmt.Sprint(w+1))/m.Speed(fmt.Sprint(w)))
	}
	slices.Sort(ratios)
	t.Logf("speed of a fast worker relative to a slow one: %.2f to %.2f, actual 2.18", ratios[0], ratios[len(ratios)-1])
	g.Expect(at(ratios, 0.5)).To(gomega.BeNumerically("~", 2.18, 0.5))
}

// Guards against the extrapolation of a resumed run as if it had started at 0.
func TestResumedRunIsExtrapolatedFromItsChange(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	// At 10 % of the work in a second, the rest takes 2 s.
	median, late := m.Remaining(Kind{}, "", 10*time.Second, 3*time.Second, Progress{FirstPercent: 60, FirstAt: time.Second, Percent: 80, At: 3 * time.Second, Resumed: true})
	g.Expect(median).To(gomega.BeNumerically("~", 2*time.Second, 50*time.Millisecond))
	g.Expect(late).To(gomega.BeNumerically(">", median))
	// The same, but nothing said that the run was resumed.
	median, _ = m.Remaining(Kind{}, "", 10*time.Second, 3*time.Second, Progress{FirstPercent: 60, FirstAt: time.Second, Percent: 80, At: 3 * time.Second})
	g.Expect(median).To(gomega.BeNumerically("~", 2*time.Second, 50*time.Millisecond))
}

// Guards against an overdue run that is expected to end at any moment, for ever.
func TestOverdueRunIsExpectedToTakeAsLongAsThoseThatTookLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	kind := Kind{Queue: "q"}
	for n := range 200 {
		runTime := time.Second
		if n%4 == 0 {
			runTime = 10 * time.Second
		}
		observe(g, m, Observation{Kind: kind, RunTime: runTime})
	}
	median, _ := m.Remaining(kind, "", 0, 2*time.Second, Progress{})
	g.Expect(median.Seconds()).To(gomega.BeNumerically("~", 8, 0.5))
	early, _ := m.Remaining(kind, "", 0, 20*time.Second, Progress{})
	later, late := m.Remaining(kind, "", 0, 40*time.Second, Progress{})
	g.Expect(later).To(gomega.BeNumerically(">", early))
	g.Expect(late).To(gomega.BeNumerically(">", later))
}

// Guards against forecasts that overflow or go back in time, and against unbounded memory,
// whatever callers and workers send.
func TestHostileValuesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	durations := []time.Duration{math.MinInt64, -1, 0, 1, time.Millisecond, time.Second, 24 * time.Hour, maxForecast, math.MaxInt64}
	percents := []float64{math.Inf(-1), -5, 0, 50, 100, 1e18, math.Inf(1)}
	for n := range 3 * maxKinds {
		kind := Kind{Queue: fmt.Sprint(n), Need: batch.Need{MilliCPU: batch.MaxAmount}, Far: n%2 == 0}
		for i, estimate := range durations {
			p := Progress{FirstPercent: percents[n%7], Percent: percents[(n+i)%7], FirstAt: durations[n%9], At: durations[(n+i)%9], Resumed: n%3 == 0}
			_, err := m.Progress(kind, "", estimate, p)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			observe(g, m, Observation{Kind: kind, Worker: fmt.Sprint(i * n), Estimate: estimate, RunTime: durations[(i+n)%9]})
			median, late := m.Remaining(kind, fmt.Sprint(i*n), estimate, durations[(2*i+n)%9], p)
			g.Expect(median).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", maxForecast)))
			g.Expect(late).To(gomega.And(gomega.BeNumerically(">=", median), gomega.BeNumerically("<=", maxForecast)))
		}
	}
	g.Expect(m.Kinds()).To(gomega.BeNumerically("<=", maxKinds))
	g.Expect(len(m.workers)).To(gomega.BeNumerically("<=", maxWorkers))
}

// Guards against a dispatcher that runs out of memory on a machine of 144 MB because callers
// use many kinds of tasks.
func TestMemoryOfAKindIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	m := New()
	const kinds = 64
	for n := range kinds {
		for i := range 300 { // run times and ratios from one bound to the other
			runTime := seconds(math.Pow(1.06, float64(i)) / 1000)
			observe(g, m, Observation{Kind: Kind{Queue: fmt.Sprint(n)}, Estimate: time.Duration(1+i*i) * time.Millisecond, RunTime: runTime})
		}
		m.RunTime(Kind{Queue: fmt.Sprint(n)}, time.Second)
	}
	perKind := (heap() - before) / kinds
	runtime.KeepAlive(m)
	t.Logf("%d bytes per kind", perKind)
	g.Expect(perKind).To(gomega.BeNumerically("<", 8<<10))
}

// Guards against a kind in use that is removed by many that are seen once.
func TestLeastRecentlyUsedKindIsRemovedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	used := Kind{Queue: "used"}
	for range 10 {
		observe(g, m, Observation{Kind: used, RunTime: time.Second})
	}
	for n := range 2 * maxKinds {
		observe(g, m, Observation{Kind: Kind{Queue: fmt.Sprint(n)}, RunTime: time.Second})
		m.RunTime(used, 0)
	}
	median, _ := m.RunTime(used, 0)
	g.Expect(median).To(gomega.BeNumerically("~", time.Second, 30*time.Millisecond))
}
