package placement

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/packing"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// maxRecordedTime is the upper bound of the histograms of job times.
const maxRecordedTime = 30 * 24 * time.Hour

// Result holds the measurements of a simulation.
type Result struct {
	Arrivals, Cancelled, Refused, Unfinished int
	Preemptions                              int
	LostWork                                 time.Duration // accelerator time of work that preemption discarded
	End                                      time.Duration // time of the last event

	// Large and Small hold the times from submission to completion, by the size of the
	// job, in milliseconds.
	Large, Small *hdrhistogram.Histogram
	// Urgent holds the times from submission to the first start of urgent jobs, and
	// CoveredStart those of jobs that start inside a guarantee, in milliseconds.
	Urgent, CoveredStart *hdrhistogram.Histogram
	// Plan holds the computation times of plans, in microseconds.
	Plan *hdrhistogram.Histogram

	unusable, free float64         // accelerator seconds
	busy, total    float64         // accelerator seconds
	startedJobs    map[string]bool // IDs of jobs that have started at least once
}

func newResult() *Result {
	times := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedTime.Milliseconds(), 3) }
	return &Result{Large: times(), Small: times(), Urgent: times(), CoveredStart: times(), Plan: times(), startedJobs: make(map[string]bool)}
}

// recordClamped records a value. A value outside the range of the histogram counts as the
// nearest bound.
func recordClamped(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(1, value), h.HighestTrackableValue()))
}

func (r *Result) recordCompletion(j *api.Job, completionTime time.Duration) {
	h := r.Small
	if totalAccelerators(j) >= minLargeAccelerators {
		h = r.Large
	}
	recordClamped(h, completionTime.Milliseconds())
}

func (r *Result) recordStart(j *api.Job, wait time.Duration) {
	if r.startedJobs[j.ID] {
		return
	}
	r.startedJobs[j.ID] = true
	if j.Urgency == api.Urgent {
		recordClamped(r.Urgent, wait.Milliseconds())
	}
	if j.Covered {
		recordClamped(r.CoveredStart, wait.Milliseconds())
	}
}

func (r *Result) recordPlanTime(d time.Duration) { recordClamped(r.Plan, d.Microseconds()) }

// recordUtilisation adds free, unusable and busy accelerators, weighted by the time
// until the next event.
func (r *Result) recordUtilisation(s *planner.Snapshot, d time.Duration) {
	free, unusable, total := fragmentation(s)
	weight := d.Seconds()
	r.free += float64(free) * weight
	r.unusable += float64(unusable) * weight
	r.busy += float64(total-free) * weight
	r.total += float64(total) * weight
}

// fragmentation counts all accelerators, the free ones, and the free ones that are left
// after the largest guaranteed shape has been placed as often as it fits.
func fragmentation(s *planner.Snapshot) (free, unusable, total int) {
	capacities, workerIndex := make([]packing.Capacity, len(s.Workers)), make(map[string]int)
	racks, models := make([]string, len(s.Workers)), make([]string, len(s.Workers))
	for i, w := range s.Workers {
		capacities[i] = packing.Capacity{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: packing.FirstN(w.Accelerators)}
		racks[i], models[i], workerIndex[w.ID] = w.Rack, w.AcceleratorModel, i
		total += w.Accelerators
	}
	for i := range s.Jobs {
		for _, t := range s.Jobs[i].Placement {
			w := workerIndex[t.Worker]
			capacities[w] = capacities[w].Sub(packing.CapacityOf(s.Jobs[i].Spec.Resources, 1, packing.SetOf(t.Accelerators)))
		}
	}
	for _, capacity := range capacities {
		free += capacity.Accelerators.Len()
	}
	topology := packing.NewTopology(racks, models)
	p := packing.NewPacker(topology)
	shape := largestShape(s.Catalogue)
	unusable = free
	for {
		tasks, ok := p.Place(packing.Query{
			Gang:      packing.Gang{Tasks: shape.Tasks, Resources: shape.Resources, Adjacency: shape.Adjacency},
			Available: capacities, Candidates: topology.AllWorkers,
		})
		if !ok {
			return free, unusable, total
		}
		for _, a := range tasks {
			capacities[a.Worker] = capacities[a.Worker].Sub(packing.CapacityOf(shape.Resources, 1, a.Accelerators))
		}
		unusable -= shape.Tasks * shape.Resources.Accelerators
	}
}

// largestShape returns the guaranteed shape with the most accelerators.
func largestShape(c api.Catalogue) api.Shape {
	var out api.Shape
	for _, o := range c.Organisations {
		for _, g := range o.Guarantees {
			if g.Tasks*g.Resources.Accelerators > out.Tasks*out.Resources.Accelerators {
				out = g
			}
		}
	}
	return out
}

// Fragmentation returns the share of the free accelerators, averaged over time, that the
// largest guaranteed shape could not use.
func (r *Result) Fragmentation() float64 { return ratio(r.unusable, r.free) }

// Utilisation returns the share of accelerators that jobs held, averaged over time.
func (r *Result) Utilisation() float64 { return ratio(r.busy, r.total) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Run simulates first fit and the planner on the same arrivals and writes a table of
// both results to out.
func Run(o Options, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d, %d workers, %d a rack, %d days, load %.2f\n", o.Seed, o.Workers, o.PerRack, o.Days, o.Load)
	fmt.Fprintln(w, "planner\tjobs\tn\tmean\tp50\tp99")
	var totals []string
	for _, p := range []struct {
		name string
		plan Planner
	}{{"first fit", FirstFit}, {"chosen", planner.Compute}} {
		r := simulate(o, p.plan)
		writeRow(w, p.name, "large, completion", r.Large)
		writeRow(w, p.name, "small, completion", r.Small)
		writeRow(w, p.name, "urgent, wait for start", r.Urgent)
		writeRow(w, p.name, "covered, wait for start", r.CoveredStart)
		totals = append(totals, fmt.Sprintf("%s\t%.1f %%\t%.1f %%\t%d\t%s\t%d\t%d\t%d\t%s\t%d us\t%d us", p.name, 100*r.Fragmentation(), 100*r.Utilisation(),
			r.Preemptions, r.LostWork.Round(time.Minute), r.Cancelled, r.Refused, r.Unfinished, r.End.Round(time.Minute),
			r.Plan.ValueAtQuantile(50), r.Plan.ValueAtQuantile(99)))
	}
	fmt.Fprintln(w, "\nplanner\tfragmentation\tuse\tpreemptions\tlost work\tcancelled\trefused\tunfinished\tlast end\tplan p50\tplan p99")
	for _, t := range totals {
		fmt.Fprintln(w, t)
	}
	return w.Flush()
}

func writeRow(w io.Writer, name, jobs string, h *hdrhistogram.Histogram) {
	formatMs := func(ms float64) string { return (time.Duration(ms) * time.Millisecond).Round(time.Second).String() }
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", name, jobs, h.TotalCount(), formatMs(h.Mean()),
		formatMs(float64(h.ValueAtQuantile(50))), formatMs(float64(h.ValueAtQuantile(99))))
}
