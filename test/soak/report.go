package main

import (
	"context"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// report is the outcome of a run.
type report struct {
	scenario
	broken  []string
	service []second
	jobs    int
	tasks   int // started
	peak    int64
	logs    map[string]string
	history []string
}

// run plays a scenario.
func run(ctx context.Context, path string, s scenario) (report, error) {
	w, err := newWorld(s, path)
	if err != nil {
		return report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.run(groupCtx) })
	c := &callers{world: w, began: time.Now()}
	check := &checker{world: w, callers: c, said: map[string]bool{}}
	calling, stopCalling := context.WithCancel(groupCtx)
	var clients sync.WaitGroup
	for i := range s.callers {
		clients.Go(func() { c.run(calling, rand.New(rand.NewPCG(s.seed, uint64(i)+2))) })
	}
	clients.Go(func() { check.follow(calling, rand.New(rand.NewPCG(s.seed, 0))) })
	sleep(groupCtx, warmup)
	w.inject(groupCtx)
	stopCalling()
	clients.Wait()
	check.settle(groupCtx)
	cancel()
	err = group.Wait()
	if closeErr := w.close(); err == nil {
		err = closeErr
	}
	return w.report(c, check), err
}

// inject plays the faults and returns when all are over.
func (w *world) inject(ctx context.Context) {
	began := time.Now()
	var active sync.WaitGroup
	for _, f := range w.faults {
		sleep(ctx, time.Until(began.Add(f.at)))
		if ctx.Err() != nil {
			break
		}
		end := f.kind.begin(w, f.target)
		active.Go(func() {
			sleep(ctx, f.lasts)
			end()
		})
	}
	sleep(ctx, time.Until(began.Add(w.duration)))
	active.Wait()
}

func (w *world) report(c *callers, check *checker) report {
	r := report{scenario: w.scenario, service: c.service, jobs: len(c.list()), logs: map[string]string{}}
	w.mu.Lock()
	r.broken = w.broken
	w.mu.Unlock()
	for _, d := range w.daemons {
		r.logs[d.name], r.peak = d.log(), max(r.peak, d.peak)
	}
	for _, list := range check.runs() {
		r.tasks += len(list)
		for _, run := range list {
			r.history = append(r.history, fmt.Sprintf("%s run=%d worker=%s started=%s ended=%s how=%s noted=%t",
				run.Task, run.Run, run.Worker, clock(run.Started), clock(run.Ended), run.EndReason, run.Acknowledged))
		}
	}
	return r
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func (r report) summary() string {
	var sum second
	for _, s := range r.service {
		sum.accepted, sum.refused, sum.unanswered = sum.accepted+s.accepted, sum.refused+s.refused, sum.unanswered+s.unanswered
	}
	verdict := "kept"
	if len(r.broken) > 0 {
		verdict = fmt.Sprintf("BROKEN %d", len(r.broken))
	}
	return fmt.Sprintf("seed %d: %s; %d zones, %d daemons, %d workers, %d faults; %d jobs, %d starts; submissions %d accepted, %d refused, %d unanswered; peak %d MB",
		r.seed, verdict, r.zones, r.daemons, r.workers, len(r.faults), r.jobs, r.tasks, sum.accepted, sum.refused, sum.unanswered, r.peak>>20)
}

// plot shows the submissions of each second beside the faults: # accepted, - refused,
// ? unanswered.
func (r report) plot() string {
	var text strings.Builder
	for _, b := range r.broken {
		fmt.Fprintf(&text, "  broken: %s\n", b)
	}
	for n, s := range r.service {
		bar := strings.Repeat("#", s.accepted) + strings.Repeat("-", s.refused) + strings.Repeat("?", s.unanswered)
		var active []string
		at := time.Duration(n)*time.Second - warmup
		for _, f := range r.faults {
			if f.at < at+time.Second && f.at+f.lasts >= at {
				active = append(active, f.String())
			}
		}
		fmt.Fprintf(&text, "  %3d s |%-24s| %s\n", n, bar, strings.Join(active, ", "))
	}
	return text.String()
}

// save writes the report, the starts and the logs of a failed run.
func (r report) save(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return eris.Wrap(err, "save the report")
	}
	files := map[string]string{"report.txt": r.summary() + "\n" + r.plot(), "starts.txt": strings.Join(r.history, "\n")}
	for name, log := range r.logs {
		files[name+".log"] = log
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return eris.Wrap(err, "save the report")
		}
	}
	return nil
}

//go:embed seeds.toml
var seedsFile []byte

// seed is a seed with the number of kinds of faults that it draws from.
type seed struct {
	Seed  uint64 `toml:"seed"`
	Kinds int    `toml:"kinds"`
	Cause string `toml:"cause"`
}

// failedBefore returns the seeds that ever broke a promise.
func failedBefore() []seed {
	var file struct {
		Seeds []seed `toml:"seeds"`
	}
	if err := toml.Unmarshal(seedsFile, &file); err != nil {
		panic(err) // the file is part of the program
	}
	return file.Seeds
}
