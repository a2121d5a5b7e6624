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

// longest is the longest time that a histogram holds.
const longest = 30 * 24 * time.Hour

// Result is what a run measured.
type Result struct {
	Arrivals, Cancelled, Refused, Unfinished int
	Preemptions                              int
	Lost                                     time.Duration // accelerator time
	End                                      time.Duration // of the last job

	// Completion is the time from submission to the end, in milliseconds.
	Large, Small *hdrhistogram.Histogram
	// Urgent is the time from submission to the first start of urgent jobs, and
	// CoveredStart that of jobs that start inside a guarantee.
	Urgent, CoveredStart *hdrhistogram.Histogram
	// Plan is the time of a plan, in microseconds.
	Plan *hdrhistogram.Histogram

	unusable, free float64 // accelerator time
	busy, all      float64
	first          map[string]bool
}

func newResult() *Result {
	times := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Milliseconds(), 3) }
	return &Result{Large: times(), Small: times(), Urgent: times(), CoveredStart: times(), Plan: times(), first: make(map[string]bool)}
}

// add records a time; those beyond the range of the histogram count as the longest.
func add(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(1, value), h.HighestTrackableValue()))
}

func (r *Result) record(j *api.Job, completion time.Duration) {
	h := r.Small
	if size(j) >= largeAccelerators {
		h = r.Large
	}
	add(h, completion.Milliseconds())
}

func (r *Result) started(j *api.Job, wait time.Duration) {
	if r.first[j.ID] {
		return
	}
	r.first[j.ID] = true
	if j.Urgency == api.Urgent {
		add(r.Urgent, wait.Milliseconds())
	}
	if j.Covered {
		add(r.CoveredStart, wait.Milliseconds())
	}
}

func (r *Result) planned(d time.Duration) { add(r.Plan, d.Microseconds()) }

// sample weighs fragmentation and use with the time until the next event.
func (r *Result) sample(s *planner.Snapshot, d time.Duration) {
	free, unusable, all := fragmentation(s)
	weight := d.Seconds()
	r.free += float64(free) * weight
	r.unusable += float64(unusable) * weight
	r.busy += float64(all-free) * weight
	r.all += float64(all) * weight
}

// fragmentation counts the free accelerators and those of them that the largest
// guaranteed shape cannot use, however often it is placed.
func fragmentation(s *planner.Snapshot) (free, unusable, all int) {
	rooms, index := make([]packing.Capacity, len(s.Workers)), make(map[string]int)
	racks, models := make([]string, len(s.Workers)), make([]string, len(s.Workers))
	for i, w := range s.Workers {
		rooms[i] = packing.Capacity{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: packing.FirstN(w.Accelerators)}
		racks[i], models[i], index[w.ID] = w.Rack, w.AcceleratorModel, i
		all += w.Accelerators
	}
	for i := range s.Jobs {
		for _, t := range s.Jobs[i].Placement {
			w := index[t.Worker]
			rooms[w] = rooms[w].Sub(packing.CapacityOf(s.Jobs[i].Spec.Resources, 1, packing.SetOf(t.Accelerators)))
		}
	}
	for _, room := range rooms {
		free += room.Accelerators.Len()
	}
	fleet := packing.NewTopology(racks, models)
	p := packing.NewPacker(fleet)
	shape := largestShape(s.Catalogue)
	unusable = free
	for {
		places, ok := p.Place(packing.Query{
			Gang:      packing.Gang{Tasks: shape.Tasks, Resources: shape.Resources, Adjacency: shape.Adjacency},
			Available: rooms, Candidates: fleet.AllWorkers,
		})
		if !ok {
			return free, unusable, all
		}
		for _, a := range places {
			rooms[a.Worker] = rooms[a.Worker].Sub(packing.CapacityOf(shape.Resources, 1, a.Accelerators))
		}
		unusable -= shape.Tasks * shape.Resources.Accelerators
	}
}

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

// Fragmentation is the share of free accelerators, over time, that the largest
// guaranteed shape could not use.
func (r *Result) Fragmentation() float64 { return ratio(r.unusable, r.free) }

// Use is the share of accelerators that jobs held, over time.
func (r *Result) Use() float64 { return ratio(r.busy, r.all) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Run measures first fit and the planner on the same arrivals and prints both.
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
		row(w, p.name, "large, completion", r.Large)
		row(w, p.name, "small, completion", r.Small)
		row(w, p.name, "urgent, wait for start", r.Urgent)
		row(w, p.name, "covered, wait for start", r.CoveredStart)
		totals = append(totals, fmt.Sprintf("%s\t%.1f %%\t%.1f %%\t%d\t%s\t%d\t%d\t%d\t%s\t%d us\t%d us", p.name, 100*r.Fragmentation(), 100*r.Use(),
			r.Preemptions, r.Lost.Round(time.Minute), r.Cancelled, r.Refused, r.Unfinished, r.End.Round(time.Minute),
			r.Plan.ValueAtQuantile(50), r.Plan.ValueAtQuantile(99)))
	}
	fmt.Fprintln(w, "\nplanner\tfragmentation\tuse\tpreemptions\tlost work\tcancelled\trefused\tunfinished\tlast end\tplan p50\tplan p99")
	for _, t := range totals {
		fmt.Fprintln(w, t)
	}
	return w.Flush()
}

func row(w io.Writer, name, jobs string, h *hdrhistogram.Histogram) {
	minutes := func(ms float64) string { return (time.Duration(ms) * time.Millisecond).Round(time.Second).String() }
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", name, jobs, h.TotalCount(), minutes(h.Mean()),
		minutes(float64(h.ValueAtQuantile(50))), minutes(float64(h.ValueAtQuantile(99))))
}
