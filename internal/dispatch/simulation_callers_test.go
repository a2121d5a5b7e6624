package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/table"
)

// Times of the simulated callers.
const (
	simSubmitInterval = 700 * time.Millisecond // mean
	simQueryInterval  = 100 * time.Millisecond // mean
	simMaxRepeatDelay = 300 * time.Millisecond // from news to the same question at all machines
	simQueryTimeout   = 2 * time.Second
	simCancelTimeout  = 4 * time.Second
	simMaxCancelDelay = 12 * time.Second // from the submission to the cancellation
)

// simJobAnswer is what a caller was told about a job.
type simJobAnswer struct {
	job      string
	machine  string
	state    batch.State // empty if the job is not known
	asked    time.Time
	answered time.Time
}

// simCancel is the cancellation of a job.
type simCancel struct {
	sent  time.Time // first attempt
	acked time.Time // zero if none was acknowledged
}

// submitJobs submits jobs at random intervals until the faults have ended, and cancels some.
func (s *simulation) submitJobs(ctx context.Context, random *rand.Rand) {
	var cancels sync.WaitGroup
	defer cancels.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(simSubmitInterval)))
		job := drawJob(random, fmt.Sprintf("j%d", i))
		value, err := batch.EncodeJob(job)
		if err != nil {
			panic(err) // cannot happen: the job is valid
		}
		s.store.Commit(context.WithoutCancel(ctx), nil, []table.Write{{Key: dispatch.JobsPrefix + job.ID, Value: value}})
		s.mu.Lock()
		s.jobs = append(s.jobs, job)
		s.accepted[job.ID] = s.acceptsJobs()
		s.mu.Unlock()
		if random.IntN(6) == 0 {
			delay, first := time.Duration(random.Int64N(int64(simMaxCancelDelay))), random.IntN(simDispatchers)
			cancels.Go(func() {
				time.Sleep(delay)
				s.cancelJob(context.WithoutCancel(ctx), job.ID, first)
			})
		}
	}
}

// drawJob draws a job of one or two steps. The tasks of some jobs fail.
func drawJob(random *rand.Rand, id string) batch.Job {
	job := batch.Job{ID: id, Service: "s", Queue: "q", MaxAttempts: 3, Priority: random.IntN(3), AcceptedAtMs: time.Now().UnixMilli()}
	duration, end := 200+random.IntN(7000), "done"
	if random.IntN(5) == 0 {
		duration = random.IntN(35_000)
	}
	if random.IntN(8) == 0 {
		duration, end = min(duration, 3000), "failed"
	}
	job.Spec = fmt.Sprintf(`{"ms":%d,"ends":%q}`, duration, end)
	for i := range 1 + random.IntN(5)/4 {
		step := task(1)
		step.Tasks, step.Gang = 1+random.IntN(3), random.IntN(3) == 0
		if i > 0 {
			step.After = []int64{int64(i - 1)}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// call plays a call to a machine, and reports whether it was answered.
func (s *simulation) call(ctx context.Context, i int, timeout time.Duration, serve func(ctx context.Context, n *simNode)) bool {
	n := s.node(i)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(n.serving, cancel)() //nolint:contextcheck // the call also ends with the process of the machine
	return s.carry(ctx, simCaller, n.name, func() { serve(ctx, n) }) == nil
}

// cancelJob cancels a job at one machine after the other until the cancellation is
// acknowledged.
func (s *simulation) cancelJob(ctx context.Context, id string, first int) {
	c := &simCancel{sent: time.Now()}
	s.mu.Lock()
	s.cancels[id] = c
	s.mu.Unlock()
	for i := first; ; i++ {
		var outcome intake.Outcome
		answered := s.call(ctx, i%simDispatchers, simCancelTimeout, func(ctx context.Context, n *simNode) { outcome = n.intake.Cancel(ctx, id) })
		if answered && outcome == intake.Done {
			break
		}
		time.Sleep(time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.acked = time.Now()
}

// queryJobs asks random machines for the states of jobs, mostly of those that have not ended
// for the callers. When a state is new to the callers, all machines are asked for it: one that
// reads the store may be ahead of the dispatcher, or of the dispatcher of a former term.
func (s *simulation) queryJobs(ctx context.Context, random *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(simQueryInterval)))
		if id := s.drawQuery(random); id != "" {
			i := random.IntN(simDispatchers)
			var delays [simDispatchers]time.Duration
			for i := range delays {
				delays[i] = time.Duration(random.Int64N(int64(simMaxRepeatDelay)))
			}
			calls.Go(func() {
				if _, news := s.queryJob(ctx, id, i); !news {
					return
				}
				for i, delay := range delays {
					calls.Go(func() {
						time.Sleep(delay)
						s.queryJob(ctx, id, i)
					})
				}
			})
		}
	}
}

func (s *simulation) drawQuery(random *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	onlyOpen := random.IntN(4) > 0
	var ids []string
	for _, job := range s.jobs {
		if !onlyOpen || !s.newest[job.ID].Final() {
			ids = append(ids, job.ID)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[random.IntN(len(ids))]
}

// queryJob asks a machine for the state of a job, and reports whether it was answered and whether
// no caller had been told of this state or a later one before.
func (s *simulation) queryJob(ctx context.Context, id string, i int) (answered, news bool) {
	asked := time.Now()
	var state batch.State
	var outcome intake.Outcome
	if !s.call(ctx, i, simQueryTimeout, func(ctx context.Context, n *simNode) { state, outcome = n.intake.State(ctx, id) }) || outcome == intake.NotDone {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, simJobAnswer{job: id, machine: fmt.Sprintf("edge-%d", i), state: state, asked: asked, answered: time.Now()})
	news = simProgress(state) > simProgress(s.newest[id])
	if news {
		s.newest[id] = state
	}
	return true, news
}

// queryAllJobs asks for the state of each job once all faults are healed.
func (s *simulation) queryAllJobs() {
	for i, job := range s.jobs {
		if answered, _ := s.queryJob(s.t.Context(), job.ID, i%simDispatchers); !answered {
			s.t.Errorf("no machine returns the state of job %s without faults", job.ID)
		}
	}
}
