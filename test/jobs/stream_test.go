package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/test/harness"
)

// burstFirst is the number of the first job of a burst.
const burstFirst = 1 << 20

// stream submits short jobs at a steady rate and keeps those that were accepted.
type stream struct {
	rig    *rig
	daemon *harness.Daemon
	spec   func(n int) api.JobSpec

	mu       sync.Mutex
	accepted []api.Job
	stop     context.CancelFunc
	done     chan struct{}
}

func (r *rig) stream(ctx context.Context, d *harness.Daemon, every time.Duration, spec func(n int) api.JobSpec) *stream {
	s := &stream{rig: r, daemon: d, spec: spec, done: make(chan struct{})}
	ctx, s.stop = context.WithCancel(ctx)
	go s.run(ctx, every)
	return s
}

func (s *stream) run(ctx context.Context, every time.Duration) {
	defer close(s.done)
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; sleep(ctx, every); n++ {
		// A submission that was sent counts even if the stream ends meanwhile.
		calls.Go(func() { s.submit(context.WithoutCancel(ctx), n) })
	}
}

func (s *stream) submit(ctx context.Context, n int) {
	job, err := s.rig.submit(ctx, s.daemon, s.spec(n))
	if err != nil {
		return // refused, as while the store is down
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, job)
}

// burst submits jobs at once, with numbers that the stream does not reach.
func (s *stream) burst(ctx context.Context, count int) {
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() { s.submit(ctx, burstFirst+n) })
	}
	calls.Wait()
}

// end stops the submissions and returns the accepted jobs.
func (s *stream) end() []api.Job {
	s.stop()
	<-s.done
	return s.accepted
}

// waitSucceeded waits until all jobs have succeeded.
func (r *rig) waitSucceeded(ctx context.Context, d *harness.Daemon, jobs []api.Job, wait time.Duration) error {
	return until(ctx, wait, fmt.Sprintf("%d jobs have succeeded", len(jobs)), func() (bool, error) {
		open := 0
		var last error
		for _, job := range jobs {
			now, err := r.job(ctx, d, job.ID)
			if err != nil || now.State != api.JobStateSucceeded {
				open++
				last = eris.Errorf("job %s is %s: %s (%v)", job.ID, now.State, now.Reason, err)
			}
			if open > 3 { // enough to know that it is not over
				break
			}
		}
		return open == 0, last
	})
}
