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

// firstBurstJob is the number of the first job of a burst, above those of the stream.
const firstBurstJob = 1 << 20

// stream submits jobs at a steady rate and records those that were accepted.
type stream struct {
	cluster *testCluster
	daemon  *harness.Daemon
	spec    func(n int) api.JobSpec

	mu       sync.Mutex
	accepted []api.Job
	stop     context.CancelFunc
	done     chan struct{}
}

// stream starts a stream that submits a job to a daemon in each interval.
func (tc *testCluster) stream(ctx context.Context, d *harness.Daemon, every time.Duration, spec func(n int) api.JobSpec) *stream {
	s := &stream{cluster: tc, daemon: d, spec: spec, done: make(chan struct{})}
	ctx, s.stop = context.WithCancel(ctx)
	go s.run(ctx, every)
	return s
}

func (s *stream) run(ctx context.Context, every time.Duration) {
	defer close(s.done)
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; sleep(ctx, every); n++ {
		// A submission in progress is completed when the stream ends, because its
		// job may have been accepted.
		calls.Go(func() { s.submit(context.WithoutCancel(ctx), n) })
	}
}

func (s *stream) submit(ctx context.Context, n int) {
	job, err := s.cluster.submit(ctx, s.daemon, s.spec(n))
	if err != nil {
		return // refused, for example because the store is down
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, job)
}

// burst submits jobs concurrently, with numbers that the stream does not reach.
func (s *stream) burst(ctx context.Context, count int) {
	var calls sync.WaitGroup
	for n := range count {
		calls.Go(func() { s.submit(ctx, firstBurstJob+n) })
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
func (tc *testCluster) waitSucceeded(ctx context.Context, d *harness.Daemon, jobs []api.Job, timeout time.Duration) error {
	return waitUntil(ctx, timeout, fmt.Sprintf("%d jobs have succeeded", len(jobs)), func() (bool, error) {
		unfinished := 0
		var last error
		for _, job := range jobs {
			current, err := tc.job(ctx, d, job.ID)
			if err != nil || current.State != api.JobStateSucceeded {
				unfinished++
				last = eris.Errorf("job %s has not succeeded: state %s, reason %s, read error %v", job.ID, current.State, current.Reason, err)
			}
			if unfinished > 3 { // further reads cannot change the result
				break
			}
		}
		return unfinished == 0, last
	})
}
