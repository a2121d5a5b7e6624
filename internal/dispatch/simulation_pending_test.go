package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/table"
)

// Bounds of the number of waiting jobs, of the platform: a machine that was not disturbed for
// simStableTime counts at least half of the jobs that were accepted simCountedAfter before and
// have not begun.
const (
	simStableTime   = 3 * time.Second
	simCountedAfter = 5 * time.Second
	// simCalmTime is the time without faults anywhere after which each machine knows the number:
	// the lease has changed hands, and the new dispatcher has counted.
	simCalmTime = 6 * time.Second
)

// Times of the jobs that wait because no worker has their service, and of the questions.
const (
	simWaitingQueue    = "waiting"
	simWaitingInterval = 2 * time.Second  // mean
	simMaxWaitingTime  = 30 * time.Second // until they are cancelled
	simPendingInterval = 100 * time.Millisecond
	simWatchInterval   = 10 * time.Millisecond
)

// simWaitingJob is a job that waits until it is cancelled.
type simWaitingJob struct {
	accepted, cancelled time.Time
}

// simPending is the number of waiting jobs of a queue that a machine gave.
type simPending struct {
	machine, queue  string
	count           int64
	known           bool
	asked, answered time.Time
	disturbed       time.Time // when a fault last acted on the machine
	anyDisturbed    time.Time // when one last acted on any machine
}

// submitWaitingJobs submits jobs that no worker can run, and cancels each later.
func (s *simulation) submitWaitingJobs(ctx context.Context, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(simWaitingInterval)))
		job := batch.Job{ID: fmt.Sprintf("w%d", i), Service: "absent", Queue: simWaitingQueue, MaxAttempts: 1, AcceptedAtMs: time.Now().UnixMilli(), Steps: []batch.Step{task(1)}}
		value, err := batch.EncodeJob(job)
		if err != nil {
			panic(err) // cannot happen: the job is valid
		}
		s.store.Commit(context.WithoutCancel(ctx), nil, []table.Write{{Key: dispatch.JobsPrefix + job.ID, Value: value}})
		waiting := &simWaitingJob{accepted: time.Now()}
		s.mu.Lock()
		if s.acceptsJobs() {
			s.waitingJobs = append(s.waitingJobs, waiting)
		}
		s.mu.Unlock()
		time.AfterFunc(time.Duration(random.Int64N(int64(simMaxWaitingTime))), func() {
			s.mu.Lock()
			waiting.cancelled = time.Now()
			s.mu.Unlock()
			s.store.Commit(context.WithoutCancel(ctx), nil, []table.Write{{Key: dispatch.JobsPrefix + job.ID + dispatch.CancelSuffix, Value: []byte{1}}})
		})
	}
}

// watchMachines records when faults act on machines or on their way to the store.
func (s *simulation) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for i, n := range s.nodes {
			if !s.undisturbed(n) {
				s.disturbed[i] = time.Now()
			}
		}
		s.mu.Unlock()
		time.Sleep(simWatchInterval)
	}
}

// undisturbed reports whether a machine runs and reaches the store. The caller holds the lock.
func (s *simulation) undisturbed(n *simNode) bool {
	link, back := [2]string{n.name, simStore}, [2]string{simStore, n.name}
	return n.alive.Load() && n.serving.Err() == nil && n.paused == nil && s.cut[link]+s.cut[back]+s.oneWay[link] == 0
}

// acceptsJobs reports whether a machine can accept a job now. The simulation also stores jobs at
// other times, which no caller takes for accepted. The caller holds the lock.
func (s *simulation) acceptsJobs() bool { return slices.ContainsFunc(s.nodes, s.undisturbed) }

// queryPending asks random machines for the numbers of waiting jobs.
func (s *simulation) queryPending(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(simPendingInterval)))
		i := random.IntN(simDispatchers)
		for _, queue := range []string{"q", simWaitingQueue} {
			go s.queryPendingAt(ctx, i, queue)
		}
	}
}

func (s *simulation) queryPendingAt(ctx context.Context, i int, queue string) {
	asked := time.Now()
	var count int64
	var outcome intake.Outcome
	if !s.call(ctx, i, simQueryTimeout, func(ctx context.Context, n *simNode) { count, outcome = n.intake.Pending(ctx, queue) }) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := slices.MaxFunc(s.disturbed[:], time.Time.Compare)
	s.pendings = append(s.pendings, simPending{machine: fmt.Sprintf("edge-%d", i), queue: queue, count: count, known: outcome == intake.Done,
		asked: asked, answered: time.Now(), disturbed: s.disturbed[i], anyDisturbed: last})
}

// pendingViolations returns the numbers of waiting jobs that were too low, or not known without
// a fault that explains it.
func (s *simulation) pendingViolations() (found []string) {
	waits := s.waits()
	for _, p := range s.pendings {
		if !p.known && p.answered.Sub(p.anyDisturbed) >= simCalmTime {
			found = append(found, fmt.Sprintf("%s does not know the number of waiting jobs at %s, without a fault since %s", p.machine, simTime(p.answered), simTime(p.anyDisturbed)))
		}
		if !p.known || p.answered.Sub(p.disturbed) < simStableTime {
			continue
		}
		owed := int64(0)
		for _, w := range waits[p.queue] {
			if w.from.Before(p.asked.Add(-simCountedAfter)) && (w.until.IsZero() || w.until.After(p.answered)) {
				owed++
			}
		}
		if 2*p.count < owed {
			found = append(found, fmt.Sprintf("%s gives %d as the number of waiting jobs of queue %s at %s, undisturbed since %s; %d were accepted over %s before and have not begun",
				p.machine, p.count, p.queue, simTime(p.answered), simTime(p.disturbed), owed, simCountedAfter))
		}
	}
	return found
}

// simWait is the time for which an accepted job waited; until is zero if it did to the end.
type simWait struct{ from, until time.Time }

// waits returns the waits of all accepted jobs by queue. They end with the first start of a task,
// with the cancellation, or when a caller was told that the job has ended.
func (s *simulation) waits() map[string][]simWait {
	until := map[string]time.Time{}
	end := func(id string, at time.Time) {
		if known, has := until[id]; !has || at.Before(known) {
			until[id] = at
		}
	}
	for _, w := range s.workers {
		for _, r := range w.Records() {
			id, _, _ := strings.Cut(r.Task, ".")
			end(id, r.Started)
		}
	}
	for _, a := range s.answers {
		if a.state.Final() {
			end(a.job, a.answered)
		}
	}
	for id, c := range s.cancels {
		end(id, c.sent)
	}
	waits := map[string][]simWait{}
	for _, job := range s.jobs {
		if s.accepted[job.ID] {
			waits[job.Queue] = append(waits[job.Queue], simWait{from: time.UnixMilli(job.AcceptedAtMs), until: until[job.ID]})
		}
	}
	for _, w := range s.waitingJobs {
		waits[simWaitingQueue] = append(waits[simWaitingQueue], simWait{from: w.accepted, until: w.cancelled})
	}
	return waits
}
