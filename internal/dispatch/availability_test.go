package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/table"
)

// maxIdleWait is how long a task may wait beside idle capacity, by the platform's rules.
const maxIdleWait = 3 * time.Second

// switchedWorkers answers renewals of workers as set for each, and counts them.
type switchedWorkers struct {
	fleet.Client
	mu       sync.Mutex
	outcomes map[string]fleet.Outcome // accepted if it is not set
	calls    map[string]int
}

func newSwitchedWorkers() *switchedWorkers {
	return &switchedWorkers{outcomes: map[string]fleet.Outcome{}, calls: map[string]int{}}
}

func (s *switchedWorkers) set(worker string, outcome fleet.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[worker] = outcome
}

func (s *switchedWorkers) callsTo(worker string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[worker]
}

func (s *switchedWorkers) RenewLease(ctx context.Context, worker fleet.Worker, _ fleet.LeaseRenewal) fleet.Report {
	s.mu.Lock()
	outcome := cmp.Or(s.outcomes[worker.ID], fleet.Accepted)
	s.calls[worker.ID]++
	s.mu.Unlock()
	switch outcome {
	case fleet.Accepted:
		return fleet.Report{Reply: fleet.Reply{Outcome: outcome, Clock: 1000}, StartedMs: worker.StartedMs}
	case fleet.Unanswered:
		<-ctx.Done()
	}
	return fleet.Report{Reply: fleet.Reply{Outcome: outcome}}
}

// idleWorkers is a term with workers that have answered once and have no runs.
type idleWorkers struct {
	*term
	client *switchedWorkers
	zones  map[string]bool // out of service
}

func (i *idleWorkers) OutOfService(zone string) bool { return i.zones[zone] }

func testWorker(n int) fleet.Worker {
	return fleet.Worker{Incarnation: fleet.Incarnation{ID: fmt.Sprintf("w%d", n), StartedMs: 1000}, Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "z", Clock: 1000}
}

// newIdleWorkers returns a term after its first calls to a number of workers.
func newIdleWorkers(g *gomega.WithT, workers int) *idleWorkers {
	i := &idleWorkers{client: newSwitchedWorkers(), zones: map[string]bool{}}
	i.term = newLeasedTerm(g, table.NewMemory(), Config{Client: i.client, Zones: i, MaxWorkerLease: 6 * time.Second}, time.Now)
	i.jobsListed, i.workersListed = true, true
	for n := range workers {
		i.updateWorker(testWorker(n), 1, time.Now())
	}
	i.advance(3 * time.Second)
	return i
}

// advance runs the ticks and the events of a time.
func (i *idleWorkers) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		i.cfg.Lease.Step(context.Background())
		i.tick()
		time.Sleep(tickEvery)
		synctest.Wait()
		for len(i.events) > 0 {
			(<-i.events)()
		}
	}
}

// breakReport makes the term fail to apply the next answer of a worker.
func breakReport(w *workerState) func() {
	ref := batch.RunRef{TaskRef: batch.TaskRef{Job: "broken"}, Run: 1}
	w.runs[ref] = nil
	return func() { delete(w.runs, ref) }
}

// Guards against workers that are sound, listed and idle, and get neither calls nor tasks for
// minutes: they missed a call, and nothing called them again once they had no runs.
func TestIdleWorkerGetsTasksSoonAfterItsFaultHasEnded(t *testing.T) {
	unanswered := func(i *idleWorkers, w *workerState) {
		i.client.set("w0", fleet.Unanswered)
		i.applyReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.Unanswered}})
	}
	for name, test := range map[string]struct {
		fault func(*idleWorkers, *workerState)
		heal  func(*idleWorkers, *workerState)
	}{
		"renewal unanswered when the last run was dropped": {fault: unanswered},
		"answer that could not be applied": {
			fault: func(i *idleWorkers, w *workerState) {
				repair := breakReport(w)
				i.applyReport(w, w.info, fleet.LeaseRenewal{Fence: w.fence}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.Accepted}, StartedMs: w.info.StartedMs})
				repair()
			},
		},
		"another worker answered at its address": {
			fault: func(i *idleWorkers, w *workerState) {
				i.client.set("w0", fleet.OtherIncarnation)
				i.applyReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.OtherIncarnation}})
			},
		},
		"refused a call as unhealthy": {
			fault: func(i *idleWorkers, w *workerState) {
				i.client.set("w0", fleet.Unhealthy)
				i.applyReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.Unhealthy}})
			},
		},
		"entry missing after an outage, and silent": {
			fault: func(i *idleWorkers, _ *workerState) {
				i.client.set("w0", fleet.Unanswered)
				i.reentryEnd = time.Now().Add(reentryTime)
				i.markMissing("w0", time.Now())
			},
			heal: func(i *idleWorkers, w *workerState) { i.updateWorker(w.info, 2, time.Now()) },
		},
		"silent, entry removed and written again": {
			fault: func(i *idleWorkers, w *workerState) {
				unanswered(i, w)
				w.unread, w.unreadUntil = true, time.Now().Add(unlistedReadTime) // it is kept for its ends
				i.markMissing("w0", time.Now())
			},
			heal: func(i *idleWorkers, w *workerState) {
				w.unread = false
				i.updateWorker(w.info, 2, time.Now())
			},
		},
		"silent at the first call of a term": {
			fault: func(i *idleWorkers, w *workerState) {
				unanswered(i, w)
				w.unread, w.lastAnswered, w.answeredAt = true, time.Time{}, time.Time{}
			},
		},
		"restarted while silent, entry written later": {
			fault: unanswered,
			heal: func(i *idleWorkers, w *workerState) {
				next := w.info
				next.StartedMs++
				i.updateWorker(next, 2, time.Now())
			},
		},
		"later incarnation answered before its entry was read": {
			fault: func(i *idleWorkers, w *workerState) {
				i.applyReport(w, w.info, fleet.LeaseRenewal{Fence: w.fence}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.Accepted}, StartedMs: w.info.StartedMs + 1})
			},
			heal: func(i *idleWorkers, w *workerState) { i.updateWorker(w.info, 2, time.Now()) },
		},
		"silent in a zone that was out of service": {
			fault: func(i *idleWorkers, w *workerState) {
				i.zones["z"] = true
				unanswered(i, w)
			},
			heal: func(i *idleWorkers, _ *workerState) { i.zones["z"] = false },
		},
		"silent after it had announced to leave, and stays": {
			fault: func(i *idleWorkers, w *workerState) {
				draining := w.info
				draining.Draining = true
				i.updateWorker(draining, 2, time.Now())
				unanswered(i, w)
			},
			heal: func(i *idleWorkers, w *workerState) {
				ready := w.info
				ready.Draining = false
				i.updateWorker(ready, 3, time.Now())
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				i := newIdleWorkers(g, 1)
				w := i.workers["w0"]
				g.Expect(i.ineligibility(w)).To(gomega.BeEmpty())
				test.fault(i, w)
				i.advance(2 * time.Second)
				i.client.set("w0", fleet.Accepted)
				if test.heal != nil {
					test.heal(i, w)
				}
				i.advance(maxIdleWait)
				g.Expect(i.ineligibility(i.workers["w0"])).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against a dispatcher that spends its time on calls to idle workers: those that answer
// are not called again for minutes, and those that do not answer no more often than a probe of
// an idle worker needs.
func TestIdleWorkersThatDoNotAnswerCostFewCalls(t *testing.T) {
	for _, silentShare := range []int{10, 1} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			const workers, duration = 1000, 20 * time.Second
			i := newIdleWorkers(g, workers)
			before := map[string]int{}
			for n := range workers {
				id := testWorker(n).ID
				before[id] = i.client.callsTo(id)
				if n%silentShare == 0 {
					i.client.set(id, fleet.Unanswered)
					w := i.workers[id]
					i.applyReport(w, w.info, fleet.LeaseRenewal{}, time.Now(), fleet.Report{Reply: fleet.Reply{Outcome: fleet.Unanswered}})
				}
			}
			i.advance(duration)
			silent := 0
			for n := range workers {
				id := testWorker(n).ID
				calls := i.client.callsTo(id) - before[id]
				if n%silentShare != 0 {
					g.Expect(calls).To(gomega.BeZero(), id)
					continue
				}
				silent += calls
				g.Expect(calls).To(gomega.BeNumerically(">", 0), id)
				g.Expect(calls).To(gomega.BeNumerically("<=", int(duration/idleProbeInterval)), id)
			}
			g.Expect(silent).To(gomega.BeNumerically("<=", maxIdleCalls*int(duration/tickEvery)))
			time.Sleep(callTransitTime) // calls in flight end
		})
	}
}
